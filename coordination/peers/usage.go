package peers

import (
	"math"
	"time"

	"primroseward/coordination/roster"
	"primroseward/core"
)

// notifyUsage passes the peers' usage of the workspaces' allowances to onUsage.
func (p *Peers) notifyUsage() {
	p.mu.Lock()
	now := p.clock.Now()
	reachable, known, _ := p.countDaemons(now)
	var usage map[core.Code]core.Usage
	if p.large() {
		usage = p.roster.OtherUsage(now)
	} else {
		usage = p.sumUsage(now)
	}
	p.mu.Unlock()
	p.onUsage(reachable, known, usage)
}

// CountKnown returns the number of daemons that may be alive, this one included, or 0 until the store
// has been listed and those that may be alive know this one.
func (p *Peers) CountKnown() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known, unheard := p.countDaemons(p.clock.Now())
	if p.created && unheard > 0 {
		return 0 // they may not know this daemon, and divide without it
	}
	return known
}

// mayBeAlive reports whether a peer is alive, or may be although it is silent. One that was leaving has stopped
// once its grace time is over. The caller holds the lock.
func (p *Peers) mayBeAlive(now time.Time, k *knownPeer) bool {
	return k.alive(now) || !k.Leaving || now.Sub(k.lastSeen) < p.grace()
}

// countDaemons returns how many daemons are reachable and how many may be alive, both with
// this one; known is 0 until the store has been listed. unheard of them have never been heard. The caller
// holds the lock.
func (p *Peers) countDaemons(now time.Time) (reachable, known, unheard int) {
	reachable, known = 1, 1
	for _, k := range p.known {
		if k.alive(now) && now.Sub(k.lastSeen) < roster.ReachableFor {
			reachable++
		}
		if !p.mayBeAlive(now, k) {
			continue
		}
		known++
		if !k.reached {
			unheard++
		}
	}
	if p.large() {
		reachable = max(1, p.roster.CountReachable(now))
	}
	if !p.discovered {
		known = 0
	}
	return reachable, known, unheard
}

// sumUsage adds up the usage of the peers that are alive. What is left of an allowance is
// the mean of their values, NaN where that is infinite. The caller holds the lock.
func (p *Peers) sumUsage(now time.Time) map[core.Code]core.Usage {
	out, counts := map[core.Code]core.Usage{}, map[core.Code]float64{}
	for _, k := range p.known {
		if !k.alive(now) {
			continue
		}
		for code, u := range k.usage {
			sum := out[code]
			out[code] = core.Usage{Demand: sum.Demand + u.Demand, Admitted: sum.Admitted + u.Admitted, Available: sum.Available + u.Available}
			counts[code]++
		}
	}
	for code, u := range out {
		if u.Available /= counts[code]; math.IsInf(u.Available, 0) {
			u.Available = math.NaN()
		}
		out[code] = u
	}
	return out
}
