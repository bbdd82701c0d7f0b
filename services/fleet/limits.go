package fleet

import (
	"encoding/json"
	"maps"

	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/io/logs"
)

// kindLimit is the kind of the messages about limits that runners declare in their answers.
const kindLimit = "limit"

// broadcastLimit sends a runner's limit to all daemons.
func (d *Daemon) broadcastLimit(u allowance.LimitUpdate) { d.peers.Broadcast(kindLimit, u) }

// handleLimit applies the limit of a runner that another daemon has broadcast.
func (d *Daemon) handleLimit(from peers.Peer, body json.RawMessage, _ func(any)) {
	var u allowance.LimitUpdate
	if err := json.Unmarshal(body, &u); err != nil {
		d.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	d.limits.ApplyUpdate(from.Name, u)
}

// localUsage returns how much this daemon uses of the allowances and limits that all daemons
// share.
func (d *Daemon) localUsage() map[core.Code]core.Usage {
	out := d.allowances.Usage()
	maps.Copy(out, d.limits.Usage())
	return out
}

// peerUsage applies how much the other daemons use of them. reachable is the number of
// reachable daemons, including this one, and known the number that there may be, or 0 while
// that is not known.
func (d *Daemon) peerUsage(reachable, known int, others map[core.Code]core.Usage) {
	d.allowances.UpdatePeers(reachable, known, others)
	d.limits.UpdatePeers(reachable, known, others)
}
