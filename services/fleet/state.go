package fleet

import (
	"time"

	"primroseward/coordination/load"
	"primroseward/coordination/peers"
	"primroseward/core"
)

// stateKnown reports whether everything is known that callers are served by.
func (d *Daemon) stateKnown() bool { return d.storeKnown() && d.departures.known.Load() }

// storeKnown reports whether the configuration, the runners and the operators' settings are
// known.
func (d *Daemon) storeKnown() bool {
	return d.catalog.Config() != nil && d.watcher.RunnersListed() && d.settings.Tree() != nil
}

// keysConfirmed reports whether the known callers' keys may be used now. The configuration
// comes from the store in the same way as the operators' settings, so the age of the settings
// applies to it as well.
func (d *Daemon) keysConfirmed() bool {
	keys := d.current.Load().Keys
	if !keys.FailClosed {
		return true
	}
	age := d.watcher.SettingsAge()
	return age >= 0 && age <= time.Duration(keys.MaxUnconfirmed)
}

// state returns the state that is sent to the other daemons.
func (d *Daemon) state() peers.State {
	term, fresh := d.lease.Claim()
	s := peers.State{
		Ready: d.stateKnown(), Failing: d.watcher.Failing(), Term: term, LeaseRenewed: fresh,
		LastChanges: d.watcher.Changes(), Confirmed: d.watcher.SettingsAge(), PathLost: d.reach.Lost(),
	}
	if !s.PathLost {
		s.RefusingRunners = d.loads.LocalDown() // without a path this daemon knows nothing of the runners
	}
	return s
}

// Ready reports whether the daemon can serve callers.
func (d *Daemon) Ready() bool {
	return d.stateKnown() && !d.leaving.Load()
}

// serving returns the number of daemons that share the callers.
func (d *Daemon) serving() int { return d.peers.Count() }

// peerUpdate applies the state that another daemon sends, or the loads of the other daemons
// of the data centre.
func (d *Daemon) peerUpdate(from peers.Peer, counts map[core.Code]int) {
	if counts != nil {
		d.loads.SetPeerRequests(from.Name, counts)
	}
	if from.Name == load.DataCentrePeers {
		return
	}
	d.loads.SetPeerDown(from.Name, from.RefusingRunners)
	d.watcher.Hint(from.Name, from.DataCentre == d.set.DataCentre, from.LastChanges)
	d.watcher.Confirm(from.LastChanges.Settings, from.Confirmed)
}

// groupSummary applies the summary that a hub sends of its group.
func (d *Daemon) groupSummary(s peers.Summary) {
	d.loads.SetPeerDown("a hub of "+s.DataCentre, s.RefusingRunners)
	for _, c := range s.Changes {
		if c.Source != d.set.Name {
			d.watcher.Hint(c.Source, s.DataCentre == d.set.DataCentre, c.Changes)
		}
	}
	d.watcher.Confirm(s.Settings, s.Confirmed)
}
