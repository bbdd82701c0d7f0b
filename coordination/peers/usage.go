package peers

import (
	"math"
	"time"

	"primroseward/coordination/roster"
	"primroseward/core"
)

// tellUsage tells what the other daemons use of the workspaces' allowances.
func (p *Peers) tellUsage() {
	p.mu.Lock()
	now := p.clock.Now()
	heard, known := p.sizes(now)
	var others map[core.Code]core.Usage
	if p.large() {
		others = p.roster.Usage(now)
	} else {
		others = p.sum(now)
	}
	p.mu.Unlock()
	p.users(heard, known, others)
}

// sizes returns how many daemons are in touch, this one included, and how many may be
// alive; 0 as long as that is not known. One that has left and is silent has ended. The
// caller holds the lock.
func (p *Peers) sizes(now time.Time) (heard, known int) {
	heard, known = 1, 1
	for _, k := range p.known {
		alive := k.alive(now)
		if alive && now.Sub(k.heard) < roster.TouchFor {
			heard++
		}
		if alive || !k.Leaving {
			known++
		}
	}
	if p.large() {
		heard = max(1, p.roster.Touch(now))
	}
	if !p.found {
		known = 0
	}
	return heard, known
}

// sum adds up the usage of the daemons in touch; what is left is the mean of what they
// think. The caller holds the lock.
func (p *Peers) sum(now time.Time) map[core.Code]core.Usage {
	out, words := map[core.Code]core.Usage{}, map[core.Code]float64{}
	for _, k := range p.known {
		if !k.alive(now) {
			continue
		}
		for code, u := range k.usage {
			was := out[code]
			out[code] = core.Usage{Asked: was.Asked + u.Asked, Spent: was.Spent + u.Spent, Left: was.Left + u.Left}
			words[code]++
		}
	}
	for code, u := range out {
		if u.Left /= words[code]; math.IsInf(u.Left, 0) {
			u.Left = math.NaN()
		}
		out[code] = u
	}
	return out
}
