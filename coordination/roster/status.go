package roster

import (
	"slices"
	"time"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// Status is the state of a daemon that is alive. Of two hubs that name it the later word
// counts.
func (r *Roster) Status(now time.Time, code core.Code) (Status, bool) {
	var best *part
	for _, p := range r.parts {
		if _, ok := p.members[code]; ok && now.Sub(p.at) < partLife && (best == nil || p.at.After(best.at)) {
			best = p
		}
	}
	if best == nil {
		return Status{}, false
	}
	return best.status(now, code), true
}

// Each calls fn with the state of each daemon that is alive, as Status returns it. Where
// several hubs name one the last call counts.
func (r *Roster) Each(now time.Time, fn func(code core.Code, s Status)) {
	for _, p := range r.live(now) {
		for code := range p.members {
			fn(code, p.status(now, code))
		}
	}
}

// live are the parts that hold, oldest first.
func (r *Roster) live(now time.Time) []*part {
	var out []*part
	for _, p := range r.parts {
		if now.Sub(p.at) < partLife {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *part) int { return a.at.Compare(b.at) })
	return out
}

// status is the state of one of a part's members.
func (p *part) status(now time.Time, code core.Code) Status {
	m := p.members[code]
	has := func(f rosterv1.Flag) bool { return m.flags&f != 0 }
	s := Status{
		Ready: has(rosterv1.Flag_FLAG_READY), Failing: has(rosterv1.Flag_FLAG_FAILING), Leaving: has(rosterv1.Flag_FLAG_LEAVING),
		Settings: p.knows.Settings - m.lag, Confirmed: p.confirmed,
	}
	if c, ok := p.claims[code]; ok {
		s.Term, s.Fresh = c.term, c.fresh
	}
	if s.Confirmed >= 0 {
		s.Confirmed += now.Sub(p.at)
	}
	return s
}
