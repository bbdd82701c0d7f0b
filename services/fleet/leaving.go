package fleet

import (
	"encoding/json"

	"go.uber.org/zap"

	"primroseward/coordination/availability"
	"primroseward/coordination/peers"
	"primroseward/io/logs"
)

// kindLeaving is the kind of the messages about runners that announce in their answers that
// they are leaving.
const kindLeaving = "leaving"

// broadcastLeaving sends all daemons that a runner is leaving.
func (d *Daemon) broadcastLeaving(u availability.Update) { d.peers.Broadcast(kindLeaving, u) }

// handleLeaving applies the message of another daemon that a runner is leaving.
func (d *Daemon) handleLeaving(from peers.Peer, body json.RawMessage, _ func(any)) {
	var u availability.Update
	if err := json.Unmarshal(body, &u); err != nil {
		d.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	d.available.ApplyUpdate(from.Name, u)
}
