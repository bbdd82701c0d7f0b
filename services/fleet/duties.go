package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/coordination/peers"
	"primroseward/platform"
)

// precedes says whether another daemon comes before this one where a few of all do
// something. All daemons agree on the order: those that may use more of a processor come
// first, as the duties are to watch the store and to plan for all runners; the others
// go by a hash, as names that sort together are of one place.
func (d *Daemon) precedes(p peers.Acquaintance) bool {
	if p.Cores != d.set.Limits.Cores {
		return p.Cores > d.set.Limits.Cores
	}
	return xxhash.Sum64String(p.Name) < xxhash.Sum64String(d.set.Name)
}

// watches says whether this daemon is one of the few that watch the store. All
// daemons that hear each other agree on them; one that hears nobody watches. Those
// for which the store fails are passed over; but where it fails here as well, the
// first of all keep trying and the others wait for their word: all at once made two
// thirds of the calls of a day with an outage, each of which is counted.
func (d *Daemon) watches() bool {
	failing := d.watcher.Failing()
	large, most := d.peers.Large(), watchers
	if large {
		most = placeWatchers
	}
	since := d.clock.Since(d.started)
	starting := since < d.patience()
	if !d.peers.Found() && since < findPatience {
		return false // others may be there
	}
	before := 0
	for _, p := range d.peers.Known() {
		if large && p.Place != d.set.Place || !d.precedes(p) {
			continue
		}
		if able(p, failing) || starting && !p.Alive {
			before++
		}
	}
	return before < most
}

// able says whether another daemon can read the store for others; with failing one for
// which the store fails can as well as any.
func able(p peers.Acquaintance, failing bool) bool {
	return p.Alive && p.Ready && !p.Leaving && (failing || !p.Failing)
}

// first says whether this daemon should read the store itself, so long after its
// start: at once where no daemon is known that would rather do so. Those that the
// store lists and that are silent yet count, as all may start together.
func (d *Daemon) first(since time.Duration) bool {
	if _, ok := d.nearest(); ok {
		return since > copyPatience
	}
	if !d.peers.Found() {
		return since > findPatience
	}
	if since > d.patience() {
		return true
	}
	large, before := d.peers.Large(), 0
	for _, p := range d.peers.Known() {
		if (!large || p.Place == d.set.Place) && d.precedes(p) {
			before++
		}
	}
	return before < startReaders
}

// readsHolds says whether this daemon is the one that reads the store's records of
// requests that are held back: the first of all that can. Those that the store lists may
// start together with this one.
func (d *Daemon) readsHolds() bool {
	if d.clock.Since(d.started) < d.patience() || !d.Ready() {
		return false
	}
	for _, p := range d.peers.Known() {
		if able(p, false) && d.precedes(p) {
			return false
		}
	}
	return true
}

// patience is how long this daemon leaves the store to others when it starts.
func (d *Daemon) patience() time.Duration {
	if d.peers.Large() {
		return largePatience
	}
	return startPatience
}

// pause is how long this daemon waits between two copies of the runners.
func (d *Daemon) pause() time.Duration {
	if d.peers.Large() {
		return largePause
	}
	return smallPause
}

// changed tells the others of a change at once. In a large fleet each place has a
// daemon that watches the runners for it.
func (d *Daemon) changed(kind string) {
	d.peers.Nudge(kind != platform.KindRunners || !d.peers.Large())
}

// foundDown tells the others at once that a runner refuses connections. In a large fleet
// the next beats tell: each of 85 daemons would find each of 15 crashed runners out in
// the same moment, and send all others a hundred thousand datagrams.
func (d *Daemon) foundDown() {
	if !d.peers.Large() {
		d.peers.Nudge(true)
	}
}
