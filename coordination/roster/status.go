package roster

import (
	"slices"
	"time"

	"primroseward/core"
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
	s := statusOf(m.flags)
	s.Settings, s.Confirmed = p.knows.Settings-m.lag, p.confirmed
	c := p.claims[code]
	s.Term, s.Fresh = c.term, c.fresh
	if s.Confirmed >= 0 {
		s.Confirmed += now.Sub(p.at)
	}
	return s
}
