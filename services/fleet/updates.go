package fleet

import (
	"encoding/json"

	"primroseward/coordination/allowance"
	"primroseward/coordination/availability"
	"primroseward/coordination/peers"
)

// Kinds of the messages about what runners announce in their answers: limits, that they are leaving,
// and that they are brittle.
const (
	kindLimit   = "limit"
	kindLeaving = "leaving"
	kindBrittle = "brittle"
)

// broadcastLimit sends a runner's limit to all daemons.
func (d *Daemon) broadcastLimit(u allowance.LimitUpdate) { d.peers.Broadcast(kindLimit, u) }

// broadcastLeaving sends all daemons that a runner is leaving.
func (d *Daemon) broadcastLeaving(u availability.Update) { d.peers.Broadcast(kindLeaving, u) }

// broadcastBrittle sends all daemons that a runner is brittle, or no longer.
func (d *Daemon) broadcastBrittle(u availability.BrittleUpdate) { d.peers.Broadcast(kindBrittle, u) }

// senders returns the names of the daemons that send requests to runners now, this one included.
func (d *Daemon) senders() []string {
	var all []string
	for _, p := range d.peers.Alive() {
		if p.Ready && !p.PathLost || p.Name == d.set.Name {
			all = append(all, p.Name)
		}
	}
	return all
}

// handleUpdate returns the handler of messages that apply takes, with the name of the daemon that
// has sent them.
func handleUpdate[U any](d *Daemon, apply func(from string, u U)) peers.Handler {
	return func(from peers.Peer, body json.RawMessage, _ func(any)) {
		var u U
		if peers.Decode(d.log, from, body, &u) {
			apply(from.Name, u)
		}
	}
}
