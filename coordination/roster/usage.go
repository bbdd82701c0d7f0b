package roster

import (
	"math"
	"time"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// addUsage adds the demand and the admitted units of from to those of to. Available is not
// additive and is set to NaN.
func addUsage(to, from map[core.Code]core.Usage) {
	for code, u := range from {
		sum := to[code]
		to[code] = core.Usage{Demand: sum.Demand + u.Demand, Admitted: sum.Admitted + u.Admitted, Available: math.NaN()}
	}
}

// setRemaining sets Available in the usage of the group to the hub's own values, or to
// NaN where the hub has none.
func (g *groupState) setRemaining(own map[core.Code]core.Usage) {
	for code, u := range g.usage {
		u.Available = math.NaN()
		if last, ok := own[code]; ok {
			u.Available = last.Available
		}
		g.usage[code] = u
	}
}

// sumUsage sums up the usage of all groups. Available is the mean of the values of their hubs.
func (r *Roster) sumUsage(now time.Time) map[core.Code]core.Usage {
	out := map[core.Code]core.Usage{}
	type mean struct {
		sum float64
		n   int
	}
	left := map[core.Code]mean{}
	for _, g := range r.groupStates {
		if now.Sub(g.sentAt) >= ReachableFor {
			continue
		}
		addUsage(out, g.usage)
		for code, u := range g.usage {
			if m := left[code]; !math.IsNaN(u.Available) {
				left[code] = mean{m.sum + u.Available, m.n + 1}
			}
		}
	}
	for code, m := range left {
		u := out[code]
		u.Available = m.sum / float64(m.n)
		out[code] = u
	}
	return out
}

// ReachableFor is how long after its last message a daemon counts as reachable where that decides
// on admission. It is short as a daemon that is cut off has to be left out soon, while leaving
// out a reachable one for a moment costs next to nothing.
const ReachableFor = 500 * time.Millisecond

// CountReachable returns the number of daemons, including this one, that are reachable according to
// recent group states. The states may be older than ReachableFor in fleets with so many groups
// that a hub sends their states in rotation.
func (r *Roster) CountReachable(now time.Time) int {
	maxAge := ReachableFor + time.Duration(len(r.groupStates)/groupsPerTick)*ReportInterval
	n := 0
	for _, g := range r.groupStates {
		if now.Sub(g.sentAt) < maxAge {
			n += g.reachable
		}
	}
	return max(1, n)
}

// usageComplete reports whether the sum of usage covers all groups. The sum of a hub that has
// just begun to act would make workspaces seem idle.
func (r *Roster) usageComplete(now time.Time) bool {
	if now.Sub(r.actingSince) >= loadTTL {
		return true
	}
	for _, g := range r.groupStates {
		if g.usageAt.IsZero() && now.Sub(g.sentAt) < groupStateTTL {
			return false
		}
	}
	return true
}

func encodeUsage(usage map[core.Code]core.Usage) *rosterv1.Usage { return splitUsage(usage, 1)[0] }

// usageChunks encodes usage in chunks that each fit into a packet.
func usageChunks(usage map[core.Code]core.Usage) []*rosterv1.Usage {
	return splitUsage(usage, max(1, (len(usage)+maxChunkWorkspaces-1)/maxChunkWorkspaces))
}

func splitUsage(usage map[core.Code]core.Usage, chunks int) []*rosterv1.Usage {
	out := make([]*rosterv1.Usage, chunks)
	for i := range out {
		out[i] = &rosterv1.Usage{Chunk: uint32(i), Chunks: uint32(chunks)}
	}
	for code, u := range usage {
		chunk := out[int(code)%chunks]
		chunk.Workspaces = append(chunk.Workspaces, uint32(code))
		chunk.Asked = append(chunk.Asked, float32(u.Demand))
		chunk.Spent = append(chunk.Spent, float32(u.Admitted))
		chunk.Left = append(chunk.Left, float32(u.Available))
	}
	return out
}

// mergeUsage replaces the usage of the workspaces that a chunk covers by that in the chunk.
func mergeUsage(usage map[core.Code]core.Usage, m *rosterv1.Usage) map[core.Code]core.Usage {
	return replaceChunk(usage, decodeUsage(m), m.GetChunk(), m.GetChunks())
}

// decodeUsage decodes usage and leaves out entries with invalid values.
func decodeUsage(m *rosterv1.Usage) map[core.Code]core.Usage {
	out := make(map[core.Code]core.Usage, len(m.GetWorkspaces()))
	for i, code := range m.GetWorkspaces() {
		if i >= len(m.GetAsked()) || i >= len(m.GetSpent()) || i >= len(m.GetLeft()) {
			break
		}
		u := core.Usage{Demand: float64(m.Asked[i]), Admitted: float64(m.Spent[i]), Available: float64(m.Left[i])}
		if isRate(u.Demand) && isRate(u.Admitted) && !math.IsInf(u.Available, 0) {
			out[core.Code(code)] = u
		}
	}
	return out
}

// isRate reports whether a number can be a rate.
func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
