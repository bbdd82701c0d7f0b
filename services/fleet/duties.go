package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/coordination/peers"
	"primroseward/platform"
)

// ranksBefore reports whether another daemon ranks before this one for duties that only a
// few daemons have. All daemons compute the same ranking. Daemons that may use more
// of a processor rank first, because the duties are to watch the store and to plan for all
// runners. Ties are broken by a hash of the name, because names that sort next to each other
// belong to the same data centre.
func (d *Daemon) ranksBefore(p peers.PeerStatus) bool {
	if p.Cores != d.set.Limits.Cores {
		return p.Cores > d.set.Limits.Cores
	}
	return xxhash.Sum64String(p.Name) < xxhash.Sum64String(d.set.Name)
}

// shouldWatch reports whether this daemon is one of the few that watch the store. All
// daemons that reach each other select the same ones; a daemon that reaches no other watches.
// Daemons for which the store fails are skipped. If it fails for this daemon too, the
// highest-ranking daemons keep trying and the others wait for their updates: with all daemons
// trying at once, these attempts would be two thirds of the calls of a day with an outage,
// and each call is counted.
func (d *Daemon) shouldWatch() bool {
	failing := d.watcher.Failing()
	large, limit := d.peers.Large(), maxWatchers
	if large {
		limit = maxDataCentreWatchers
	}
	return d.isAmongFirst(limit, func(p peers.PeerStatus, starting bool) bool {
		return (!large || p.DataCentre == d.set.DataCentre) && (canReadStore(p, failing) || starting && !p.Alive)
	})
}

// isAmongFirst reports whether fewer than limit of the other daemons for which counts is true rank
// before this one. starting is set while daemons that start at the same time may not have
// sent anything yet.
func (d *Daemon) isAmongFirst(limit int, counts func(p peers.PeerStatus, starting bool) bool) bool {
	since := d.clock.Since(d.started)
	starting := since < d.startWait()
	if !d.peers.Discovered() && since < discoveryWait {
		return false // there may be other daemons that are not discovered yet
	}
	before := 0
	for _, p := range d.peers.Known() {
		if d.ranksBefore(p) && counts(p, starting) {
			before++
		}
	}
	return before < limit
}

// mayHoldLease reports whether this daemon may take the lease of orders over from another one:
// like shouldWatch, without the daemons that reach no runner while others do.
func (d *Daemon) mayHoldLease() bool {
	if !d.reach.Lost() && !d.anyPathLost() {
		return d.shouldWatch()
	}
	if d.reach.Lost() && d.peersWithPath() > 0 {
		return false
	}
	failing := d.watcher.Failing()
	return d.isAmongFirst(maxWatchers, func(p peers.PeerStatus, _ bool) bool { return canReadStore(p, failing) && !p.PathLost })
}

// shouldResignLease reports whether this daemon should give up the lease of orders, as it reaches
// no runner and others do.
func (d *Daemon) shouldResignLease() bool {
	return d.reach.LostFor() >= leasePathLossTime && d.peersWithPath() > 0
}

// canReadStore reports whether another daemon can read the store on behalf of others. If
// failing is set, daemons for which the store fails are included.
func canReadStore(p peers.PeerStatus, failing bool) bool {
	return p.Alive && p.Ready && !p.Leaving && (failing || !p.Failing)
}

// shouldReadStore reports whether a starting daemon should read the store itself, given the
// time since its start. If another daemon is ready, it should only after snapshotWait, as it can
// fetch that daemon's snapshot; until the store has listed the daemons, only after discoveryWait.
// Otherwise it should at once if it is one of the startReaders highest-ranking known daemons, or
// else after the start wait. Daemons that the store lists but that have not sent anything yet are
// included in the ranking, as all daemons may start at the same time.
func (d *Daemon) shouldReadStore(since time.Duration) bool {
	if _, ok := d.selectPeer(); ok {
		return since > snapshotWait
	}
	if !d.peers.Discovered() {
		return since > discoveryWait
	}
	if since > d.startWait() {
		return true
	}
	large, before := d.peers.Large(), 0
	for _, p := range d.peers.Known() {
		if (!large || p.DataCentre == d.set.DataCentre) && d.ranksBefore(p) {
			before++
		}
	}
	return before < startReaders
}

// shouldReadHolds reports whether this daemon is the one that reads the store's records of
// requests on hold: the highest-ranking daemon that can. It waits for the start wait first,
// as the daemons that the store lists may be starting at the same time.
func (d *Daemon) shouldReadHolds() bool {
	if d.clock.Since(d.started) < d.startWait() || !d.Ready() {
		return false
	}
	for _, p := range d.peers.Known() {
		if canReadStore(p, false) && d.ranksBefore(p) {
			return false
		}
	}
	return true
}

// startWait returns how long after its start this daemon leaves reading the store to others.
func (d *Daemon) startWait() time.Duration {
	if d.peers.Large() {
		return largeStartWait
	}
	return smallStartWait
}

// followPause returns how long this daemon waits between two snapshots of the runners while
// it does not watch the store.
func (d *Daemon) followPause() time.Duration {
	if d.peers.Large() {
		return largeFollowPause
	}
	return smallFollowPause
}

// storeChanged announces a change in the store to the other daemons at once. In a large fleet
// a change of runners is announced only within the data centre, as each data centre has a
// daemon that watches the runners.
func (d *Daemon) storeChanged(kind string) {
	d.peers.SendState(kind != platform.KindRunners || !d.peers.Large())
}

// runnerDown announces to the other daemons at once that a runner refuses connections. In a
// large fleet this is left to the next heartbeats: each of 85 daemons would detect each of 15
// crashed runners at the same moment, and together they would send a hundred thousand
// datagrams.
func (d *Daemon) runnerDown() {
	if !d.peers.Large() {
		d.peers.SendState(true)
	}
}
