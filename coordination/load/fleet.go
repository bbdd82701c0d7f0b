package load

import (
	"maps"
	"time"

	"primroseward/core"
)

const (
	// fleetCountTTL is how long the fleet's counts are used after they were measured. Older ones tell
	// less of a runner than the data centre's own counts.
	fleetCountTTL = time.Second
	// restartMargin is how much earlier than the mean time of a measurement some daemons may have counted:
	// one interval of their reports.
	restartMargin = 100 * time.Millisecond
)

// fleetCounts are the requests of all other daemons of the fleet.
type fleetCounts struct {
	measured time.Time // mean time at which they were counted; zero: never
	counts   map[core.Code]int
}

// SetFleetRequests records the requests in progress of all other daemons of the fleet and the paces that
// they have heard, and when the requests were counted.
func (t *Table) SetFleetRequests(counts map[core.Code]int, paces map[core.Code]core.PaceReport, measured time.Time) {
	t.mu.Lock()
	t.fleet = fleetCounts{measured, maps.Clone(counts)}
	maps.DeleteFunc(t.restartedAt, func(code core.Code, at time.Time) bool {
		if measured.Sub(at) > restartMargin {
			return true
		}
		delete(t.fleet.counts, code)
		return false
	})
	t.mu.Unlock()
	t.SetFleetPaces(paces)
}

// fleetRequests returns the requests of the other daemons of the fleet at a runner and when they were
// counted, and false if that is not known or too old. The caller holds t.mu.
func (t *Table) fleetRequests(code core.Code, now time.Time) (n int, measured time.Time, ok bool) {
	if t.fleet.measured.IsZero() || now.Sub(t.fleet.measured) >= fleetCountTTL {
		return 0, time.Time{}, false
	}
	return t.fleet.counts[code], t.fleet.measured, true
}

// restartedInFleet drops the fleet's counts of a runner, and those that were measured before now but
// have not arrived yet. The caller holds t.mu.
func (t *Table) restartedInFleet(code core.Code) {
	delete(t.fleet.counts, code)
	now := t.clock.Now()
	maps.DeleteFunc(t.restartedAt, func(_ core.Code, at time.Time) bool { return now.Sub(at) > fleetCountTTL+restartMargin })
	t.restartedAt[code] = now
}
