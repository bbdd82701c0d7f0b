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
	maps.Copy(out, d.fairness.Usage())
	return out
}

// peerUsage applies how much the other daemons use of them. reachable is the number of
// reachable daemons, including this one, and known the number that there may be, or 0 while
// that is not known.
func (d *Daemon) peerUsage(reachable, known int, others map[core.Code]core.Usage) {
	d.allowances.UpdatePeers(reachable, known, others)
	d.limits.UpdatePeers(reachable, known, others)
	if d.balanced() {
		d.fairness.Update(reachable, d.catalog.Config().Workspaces, d.totalUsage(others))
	}
}

// totalUsage returns the usage of allowances by all reachable daemons.
func (d *Daemon) totalUsage(others map[core.Code]core.Usage) map[core.Code]core.Usage {
	out := d.allowances.Usage()
	maps.Copy(out, d.fairness.Usage())
	for code, u := range others {
		own := out[code]
		out[code] = core.Usage{Demand: own.Demand + u.Demand, Admitted: own.Admitted + u.Admitted}
	}
	return out
}
