package roster

import (
	"slices"
	"time"

	"primroseward/core"
)

// Status returns the state of a daemon, and whether the daemon is alive. If several hubs list
// it, the latest group state counts.
func (r *Roster) Status(now time.Time, code core.Code) (Status, bool) {
	var best *groupState
	for _, g := range r.groupStates {
		if _, ok := g.members[code]; ok && now.Sub(g.sentAt) < groupStateTTL && (best == nil || g.sentAt.After(best.sentAt)) {
			best = g
		}
	}
	if best == nil {
		return Status{}, false
	}
	return best.memberStatus(now, code), true
}

// Each calls fn with the state of each live daemon, as Status returns it. If several hubs list
// a daemon, fn is called once for each, and the last call counts.
func (r *Roster) Each(now time.Time, fn func(code core.Code, s Status)) {
	for _, g := range r.liveStates(now) {
		for code := range g.members {
			fn(code, g.memberStatus(now, code))
		}
	}
}

// liveStates returns the group states that have not expired, oldest first.
func (r *Roster) liveStates(now time.Time) []*groupState {
	var out []*groupState
	for _, g := range r.groupStates {
		if now.Sub(g.sentAt) < groupStateTTL {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *groupState) int { return a.sentAt.Compare(b.sentAt) })
	return out
}

// memberStatus returns the state of a member of the group.
func (g *groupState) memberStatus(now time.Time, code core.Code) Status {
	m := g.members[code]
	s := decodeFlags(m.flags)
	s.Settings, s.Confirmed = g.changes.Settings-m.settingsLag, g.confirmed
	c := g.claims[code]
	s.Term, s.LeaseRenewed = c.term, c.fresh
	if s.Confirmed >= 0 {
		s.Confirmed += now.Sub(g.sentAt)
	}
	return s
}
