package roster

import (
	"math"
	"time"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// addUsage adds what is asked for and used; what is left is not a sum.
func addUsage(to, from map[core.Code]core.Usage) {
	for code, u := range from {
		sum := to[code]
		to[code] = core.Usage{Asked: sum.Asked + u.Asked, Spent: sum.Spent + u.Spent, Left: math.NaN()}
	}
}

// settle puts the hub's own word for what is left into its group's usage.
func (p *part) settle(own map[core.Code]core.Usage) {
	for code, u := range p.usage {
		u.Left = math.NaN()
		if is, ok := own[code]; ok {
			u.Left = is.Left
		}
		p.usage[code] = u
	}
}

// fleetUsage sums up the usage of all groups. What is left is the mean of what their hubs
// think.
func (r *Roster) fleetUsage(now time.Time) map[core.Code]core.Usage {
	out := map[core.Code]core.Usage{}
	type mean struct {
		sum float64
		n   int
	}
	left := map[core.Code]mean{}
	for _, p := range r.parts {
		if now.Sub(p.at) >= TouchFor {
			continue
		}
		addUsage(out, p.usage)
		for code, u := range p.usage {
			if m := left[code]; !math.IsNaN(u.Left) {
				left[code] = mean{m.sum + u.Left, m.n + 1}
			}
		}
	}
	for code, m := range left {
		u := out[code]
		u.Left = m.sum / float64(m.n)
		out[code] = u
	}
	return out
}

// TouchFor is how long after its last word a daemon counts as in touch, where that decides
// on what may be let in: one that is cut off is to be missed soon, and to miss one wrongly
// for a moment costs next to nothing.
const TouchFor = 500 * time.Millisecond

// Touch is how many daemons, this one included, are in touch by what hubs have told lately;
// they may have told it longer ago in fleets of so many groups that a hub tells of them in
// turns.
func (r *Roster) Touch(now time.Time) int {
	within := TouchFor + time.Duration(len(r.parts)/partsPerTurn)*TellEvery
	n := 0
	for _, p := range r.parts {
		if now.Sub(p.at) < within {
			n += p.touch
		}
	}
	return max(1, n)
}

// usageComplete says whether the sum of usage is that of all groups. One of a hub that has
// just begun to act would make workspaces seem idle.
func (r *Roster) usageComplete(now time.Time) bool {
	if now.Sub(r.acting) >= loadLife {
		return true
	}
	for _, p := range r.parts {
		if p.usageAt.IsZero() && now.Sub(p.at) < partLife {
			return false
		}
	}
	return true
}

func usageTo(usage map[core.Code]core.Usage) *rosterv1.Usage { return splitUsage(usage, 1)[0] }

// usageChunks writes usage in chunks that fit into packets.
func usageChunks(usage map[core.Code]core.Usage) []*rosterv1.Usage {
	return splitUsage(usage, max(1, (len(usage)+maxUsage-1)/maxUsage))
}

func splitUsage(usage map[core.Code]core.Usage, chunks int) []*rosterv1.Usage {
	out := make([]*rosterv1.Usage, chunks)
	for i := range out {
		out[i] = &rosterv1.Usage{Chunk: uint32(i), Chunks: uint32(chunks)}
	}
	for code, u := range usage {
		one := out[int(code)%chunks]
		one.Workspaces = append(one.Workspaces, uint32(code))
		one.Asked = append(one.Asked, float32(u.Asked))
		one.Spent = append(one.Spent, float32(u.Spent))
		one.Left = append(one.Left, float32(u.Left))
	}
	return out
}

// mergeUsage puts a chunk in place of what was told before of its workspaces.
func mergeUsage(usage map[core.Code]core.Usage, m *rosterv1.Usage) map[core.Code]core.Usage {
	return replaceChunk(usage, usageFrom(m), m.GetChunk(), m.GetChunks())
}

// usageFrom reads usage; rates that are none are left out.
func usageFrom(m *rosterv1.Usage) map[core.Code]core.Usage {
	out := make(map[core.Code]core.Usage, len(m.GetWorkspaces()))
	for i, code := range m.GetWorkspaces() {
		if i >= len(m.GetAsked()) || i >= len(m.GetSpent()) || i >= len(m.GetLeft()) {
			break
		}
		u := core.Usage{Asked: float64(m.Asked[i]), Spent: float64(m.Spent[i]), Left: float64(m.Left[i])}
		if rate(u.Asked) && rate(u.Spent) && !math.IsInf(u.Left, 0) {
			out[core.Code(code)] = u
		}
	}
	return out
}

// rate says whether a number can be a rate.
func rate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
