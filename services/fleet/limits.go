package fleet

import (
	"maps"

	"primroseward/core"
)

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
