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

// kindLimit is the kind of messages on the limits that runners name.
const kindLimit = "limit"

// tellLimit tells all daemons of a runner's limit.
func (d *Daemon) tellLimit(w allowance.Word) { d.peers.TellAll(kindLimit, w) }

func (d *Daemon) handleLimit(from peers.Peer, body json.RawMessage, _ func(any)) {
	var w allowance.Word
	if err := json.Unmarshal(body, &w); err != nil {
		d.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	d.limits.Told(from.Name, w)
}

// usage is what this daemon uses of the rates that it shares with the others.
func (d *Daemon) usage() map[core.Code]core.Usage {
	out := d.allowances.Usage()
	maps.Copy(out, d.limits.Usage())
	return out
}

// heardUsage takes in what the others use of them.
func (d *Daemon) heardUsage(heard, known int, others map[core.Code]core.Usage) {
	d.allowances.Heard(heard, known, others)
	d.limits.Heard(heard, known, others)
}

// isLimited says whether a runner names a limit.
func (d *Daemon) isLimited(runner string) bool {
	_, ok := d.limits.Limit(runner)
	return ok
}
