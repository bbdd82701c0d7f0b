package planner

import (
	"fmt"
	"sort"

	"primroseward/core"
	"primroseward/state/ledger"
)

// Policy is the planner's parameters. The zero value of a switch is the chosen
// policy; the others exist to measure what each part brings.
type Policy struct {
	High     float64 // load above which a model wants another replica
	Low      float64 // load below which a model's replica may make room
	Horizon  float64 // seconds that a change of demand is expected to last
	MoveCost float64 // requests that a move must win, times the price of moves
	Share    float64 // of runners that may be changing at once

	NoSecond bool // no second replica in another place
	NoDemand bool // no replica for demand
	NoSlow   bool // the fast average alone decides what may make room
	NoCost   bool // moves cost nothing
	NoSpread bool // replicas go to the runner with most memory, not least load
}

// Default is the chosen policy.
func Default() Policy {
	return Policy{High: 0.7, Low: 0.4, Horizon: 120, MoveCost: 100, Share: 0.34}
}

// Plan returns the moves to make now, most urgent first, and which models
// cannot be placed and why.
func (p Policy) Plan(s *State) ([]Move, []string) {
	v := newView(s)
	p.floors(v)
	p.retire(v)
	if s.Pause {
		return v.moves, v.lacking
	}
	p.versions(v)
	if !p.NoSecond {
		p.seconds(v)
	}
	if !p.NoDemand {
		p.demand(v)
	}
	return v.moves, v.lacking
}

// spareForDemand is how many ready replicas a model must have to lose one for
// another model's demand: two are kept, so that no single death makes a model
// unreachable. Only a model without any replica may take a second one's place.
const spareForDemand = 3

// floors gives each model without a replica the next load, always.
func (p Policy) floors(v *view) {
	for _, name := range v.names {
		m := v.models[name]
		if m.ready+m.coming > 0 {
			continue
		}
		if why := p.place(v, m, ReasonFloor); why != "" {
			v.lacking = append(v.lacking, fmt.Sprintf("model %s: %s", name, why))
		}
	}
}

// place loads a model where it fits, or makes room for it. It says why neither
// can be done; a load that only waits for the store is no reason.
func (p Policy) place(v *view, m *model, reason string) string {
	hosts := p.hosts(v, m)
	if len(hosts) == 0 {
		return p.whyNowhere(m)
	}
	if v.loads >= v.Slots {
		return ""
	}
	for _, r := range hosts {
		if r.free >= m.Bytes {
			v.load(r, m, reason)
			return ""
		}
	}
	for _, r := range hosts {
		if p.makeRoom(v, r, m, 2) {
			return ""
		}
	}
	if room := roomComing(hosts, m); room {
		return ""
	}
	return fmt.Sprintf("no runner has %d bytes free or to be freed", m.Bytes)
}

func roomComing(hosts []*runner, m *model) bool {
	for _, r := range hosts {
		free := r.free
		for _, e := range r.Entries {
			if e.State == ledger.Evicting || e.State == ledger.Quarantine {
				free += e.Bytes
			}
		}
		if free >= m.Bytes {
			return true
		}
	}
	return false
}

func (p Policy) whyNowhere(m *model) string {
	if m.Base != "" {
		return "its base model is not ready on any runner that may serve it"
	}
	if len(m.Places) == 0 {
		return "its settings allow no place"
	}
	return "no runner is in its allowed places"
}

// hosts returns the runners that may take a model, best first.
func (p Policy) hosts(v *view, m *model) []*runner {
	var out []*runner
	for _, r := range v.runners {
		if r.Gone || !m.Places[r.Place] || m.on(r) || r.Capacity < m.Bytes {
			continue
		}
		if m.Base != "" && (v.models[m.Base] == nil || !v.models[m.Base].readyOn(r)) {
			continue
		}
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if p.NoSpread || near(a.load, b.load) {
			return a.free > b.free
		}
		return a.load < b.load
	})
	return out
}

func near(a, b float64) bool {
	d := a - b
	return d < 0.1 && d > -0.1
}

func (v *view) load(r *runner, m *model, reason string) {
	v.moves = append(v.moves, Move{Kind: core.OrderLoad, Runner: r.ID, Model: m.Name, Version: m.Version, Reason: reason})
	r.free -= m.Bytes
	r.busy++
	v.loads++
	m.coming++
	m.replicas = append(m.replicas, replica{r, ledger.Entry{Model: m.Name, Version: m.Version, Bytes: m.Bytes, State: ledger.Loading}})
}

func (v *view) evict(r *runner, m *model, version, reason string) {
	v.moves = append(v.moves, Move{Kind: core.OrderEvict, Runner: r.ID, Model: m.Name, Version: version, Reason: reason})
	r.busy++
	for i := range m.replicas {
		rep := &m.replicas[i]
		if rep.runner == r && rep.entry.Version == version && rep.entry.State == ledger.Ready {
			rep.entry.State = ledger.Evicting
			m.ready--
		}
	}
}

// retire evicts what the settings no longer want: models that are gone from
// the tree, and replicas in places that are no longer allowed, once the model
// is ready where it is allowed.
func (p Policy) retire(v *view) {
	for _, r := range v.runners {
		for _, e := range r.Entries {
			if e.State != ledger.Ready || r.Gone || v.hasAdapters(r, e.Model) {
				continue
			}
			m := v.models[e.Model]
			switch {
			case m == nil:
				v.evict(r, &model{Model: &Model{Name: e.Model}}, e.Version, ReasonPlace)
			case !m.Places[r.Place] && m.ready > 0:
				v.evict(r, m, e.Version, ReasonPlace)
			}
		}
	}
}

// versions replaces replicas of another version: the new one is loaded first,
// on the same runner where it fits, and the old one goes when the new is ready.
func (p Policy) versions(v *view) {
	for _, name := range v.names {
		m := v.models[name]
		old, current := m.byVersion()
		if len(old) == 0 {
			continue
		}
		if len(current) > 0 {
			p.dropOld(v, m, old, current)
			continue
		}
		if v.loads >= v.Slots || m.coming > 0 {
			continue
		}
		if r := old[0].runner; r.free >= m.Bytes {
			v.load(r, m, ReasonVersion)
			continue
		}
		p.place(v, m, ReasonVersion)
	}
}

// byVersion parts a model's ready replicas into outdated and current ones.
func (m *model) byVersion() (old, current []replica) {
	for _, rep := range m.replicas {
		switch {
		case rep.entry.State != ledger.Ready:
		case rep.entry.Version == m.Version:
			current = append(current, rep)
		default:
			old = append(old, rep)
		}
	}
	return old, current
}

func (p Policy) dropOld(v *view, m *model, old, current []replica) {
	for _, rep := range old {
		if !v.hasAdapters(rep.runner, m.Name) || m.currentOn(rep.runner, current) {
			v.evict(rep.runner, m, rep.entry.Version, ReasonVersion)
		}
	}
}

func (m *model) currentOn(r *runner, current []replica) bool {
	for _, rep := range current {
		if rep.runner == r {
			return true
		}
	}
	return false
}

// demand adds replicas of models whose runners are too busy, the largest
// expected win per byte first.
func (p Policy) demand(v *view) {
	type wish struct {
		m   *model
		win float64
	}
	var wishes []wish
	for _, name := range v.names {
		m := v.models[name]
		if m.ready == 0 || m.coming > 0 || m.pressure() < p.High {
			continue
		}
		win := p.win(m)
		if !p.NoCost && win < p.MoveCost*m.Moves {
			continue
		}
		wishes = append(wishes, wish{m, win / float64(max(1, m.Bytes))})
	}
	sort.SliceStable(wishes, func(i, j int) bool { return wishes[i].win > wishes[j].win })
	for _, w := range wishes {
		if v.loads >= v.Slots {
			return
		}
		p.relieve(v, w.m)
	}
}

// win is the number of requests that another replica is expected to bring to
// their target while the demand lasts, times their weight.
func (p Policy) win(m *model) float64 {
	over := 1 - p.High/max(p.High, m.pressure())
	return m.Fast * over * p.Horizon * m.Attainment
}

// relieve places one more replica on a runner with clearly less load.
func (p Policy) relieve(v *view, m *model) {
	for _, r := range p.hosts(v, m) {
		if r.load > m.pressure()*p.High {
			continue
		}
		if r.free >= m.Bytes {
			v.load(r, m, ReasonDemand)
			return
		}
	}
	for _, r := range p.hosts(v, m) {
		if r.load <= m.pressure()*p.High && p.makeRoom(v, r, m, spareForDemand) {
			return
		}
	}
}

// seconds gives models a second replica in another place, so that the loss of
// a runner or a place leaves one. It takes memory that a third replica of
// another model holds, and half of the store's slots at most: the other half
// is left to demand.
func (p Policy) seconds(v *view) {
	for _, name := range v.names {
		m := v.models[name]
		if v.loads >= max(1, v.Slots/2) {
			return
		}
		if m.ready == 1 && m.coming == 0 {
			p.second(v, m)
		}
	}
}

func (p Policy) second(v *view, m *model) {
	home := m.home()
	var others []*runner
	for _, r := range p.hosts(v, m) {
		if r.Place != home {
			others = append(others, r)
		}
	}
	for _, r := range others {
		if r.free >= m.Bytes {
			v.load(r, m, ReasonSecond)
			return
		}
	}
	if roomComing(others, m) {
		return
	}
	for _, r := range others {
		if p.makeRoom(v, r, m, spareForDemand) {
			return
		}
	}
}
