package planner

import (
	"fmt"
	"sort"

	"primroseward/core"
	"primroseward/state/ledger"
)

// Policy holds the planner's parameters. With all switches off it is the policy in use; the
// switches exist to measure the effect of each part.
type Policy struct {
	HighLoad         float64 // load above which a model gets another replica
	LowLoad          float64 // load up to which a replica of a model may be evicted for another model
	Horizon          float64 // seconds that a change of demand is expected to last
	MoveCost         float64 // expected gain in requests that justifies a move, per unit of MovePrice
	MaxChangingShare float64 // share of the runners that may be changing at the same time

	NoSecondReplica  bool // no second replica in another data centre
	NoDemandReplicas bool // no further replicas for demand
	NoSlowAverage    bool // which replicas may be evicted depends on the fast average only
	NoMoveCost       bool // moves cost nothing
	MostMemoryFirst  bool // replicas go to the runner with most free memory, not least load
}

// Default returns the policy in use.
func Default() Policy {
	return Policy{HighLoad: 0.7, LowLoad: 0.4, Horizon: 120, MoveCost: 100, MaxChangingShare: 0.34}
}

// Plan returns the moves to make now, most urgent first, and which models cannot be placed
// and why.
func (p Policy) Plan(s *State) ([]Move, []string) {
	v := newView(s)
	p.addFloors(v)
	p.evictUnwanted(v)
	if s.Pause {
		return v.moves, v.unplaceable
	}
	p.replaceVersions(v)
	if !p.NoSecondReplica {
		p.addSecondReplicas(v)
	}
	if !p.NoDemandReplicas {
		p.addDemandReplicas(v)
	}
	return v.moves, v.unplaceable
}

// minReplicasForDemand is how many ready replicas a model must have for one of them to be
// evicted for another model's demand. Two remain, so that the loss of one runner makes no
// model unreachable. Only for a model without any replica may another model's second replica
// be evicted.
const minReplicasForDemand = 3

// addFloors loads each model that has no replica. It runs before all other moves, also while the
// settings allow only repairs.
func (p Policy) addFloors(v *view) {
	for _, name := range v.names {
		m := v.models[name]
		if m.ready+m.loading > 0 {
			continue
		}
		if why := p.placeModel(v, m, ReasonFloor); why != "" {
			v.unplaceable = append(v.unplaceable, fmt.Sprintf("model %s: %s", name, why))
		}
	}
}

// placeModel loads a model on a runner with enough free memory, or else evicts replicas to free
// memory for it. It returns the reason if neither is possible. Waiting for a free load slot of
// the weight store, or for memory that is already being freed, is not a reason.
func (p Policy) placeModel(v *view, m *model, reason string) string {
	candidates := p.candidates(v, m)
	if len(candidates) == 0 {
		return p.whyNoCandidate(m)
	}
	if v.loads >= v.LoadSlots {
		return ""
	}
	for _, r := range candidates {
		if r.freeBytes >= m.Bytes {
			v.planLoad(r, m, reason)
			return ""
		}
	}
	for _, r := range candidates {
		if p.freeMemory(v, r, m, 2) {
			return ""
		}
	}
	if pending := memoryPending(candidates, m); pending {
		return ""
	}
	return fmt.Sprintf("no runner has %d bytes free or can free them", m.Bytes)
}

// memoryPending reports whether a candidate will have enough memory for a model once its
// evictions in progress and its entries in quarantine have ended.
func memoryPending(candidates []*runner, m *model) bool {
	for _, r := range candidates {
		free := r.freeBytes
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

func (p Policy) whyNoCandidate(m *model) string {
	if m.Base != "" {
		return "its base model is not ready on any runner that may serve it"
	}
	if len(m.AllowedDataCentres) == 0 {
		return "its settings allow no data centre"
	}
	return "no runner is in its allowed data centres"
}

// candidates returns the runners on which a model may be loaded, best first.
func (p Policy) candidates(v *view, m *model) []*runner {
	var out []*runner
	for _, r := range v.runners {
		if r.Unavailable || !m.AllowedDataCentres[r.DataCentre] || m.placedOn(r) || r.Capacity < m.Bytes {
			continue
		}
		if m.Base != "" && (v.models[m.Base] == nil || !v.models[m.Base].readyOn(r)) {
			continue
		}
		out = append(out, r)
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if p.MostMemoryFirst || similarLoad(a.load, b.load) {
			return a.freeBytes > b.freeBytes
		}
		return a.load < b.load
	})
	return out
}

func similarLoad(a, b float64) bool {
	d := a - b
	return d < 0.1 && d > -0.1
}

func (v *view) planLoad(r *runner, m *model, reason string) {
	v.moves = append(v.moves, Move{Kind: core.OrderLoad, Runner: r.ID, Model: m.Name, Version: m.Version, Reason: reason})
	r.freeBytes -= m.Bytes
	r.changing++
	v.loads++
	m.loading++
	m.replicas = append(m.replicas, replica{r, ledger.Entry{Model: m.Name, Version: m.Version, Bytes: m.Bytes, State: ledger.Loading}})
}

func (v *view) planEvict(r *runner, m *model, version, reason string) {
	v.moves = append(v.moves, Move{Kind: core.OrderEvict, Runner: r.ID, Model: m.Name, Version: version, Reason: reason})
	r.changing++
	for i := range m.replicas {
		rep := &m.replicas[i]
		if rep.runner == r && rep.entry.Version == version && rep.entry.State == ledger.Ready {
			rep.entry.State = ledger.Evicting
			m.ready--
		}
	}
}

// evictUnwanted evicts replicas that the settings no longer include: those of models removed
// from the settings tree, and those in data centres that are no longer allowed, once the model
// is ready in an allowed one.
func (p Policy) evictUnwanted(v *view) {
	for _, r := range v.runners {
		for _, e := range r.Entries {
			if e.State != ledger.Ready || r.Unavailable || v.hasAdapters(r, e.Model) {
				continue
			}
			m := v.models[e.Model]
			switch {
			case m == nil:
				v.planEvict(r, &model{Model: &Model{Name: e.Model}}, e.Version, ReasonNotAllowed)
			case !m.AllowedDataCentres[r.DataCentre] && m.ready > 0:
				v.planEvict(r, m, e.Version, ReasonNotAllowed)
			}
		}
	}
}

// replaceVersions replaces replicas of other versions. The current version is loaded first, on
// the same runner if it fits there, and the old replicas are evicted once it is ready.
func (p Policy) replaceVersions(v *view) {
	for _, name := range v.names {
		m := v.models[name]
		old, current := m.byVersion()
		if len(old) == 0 {
			continue
		}
		if len(current) > 0 {
			p.evictOldVersions(v, m, old, current)
			continue
		}
		if v.loads >= v.LoadSlots || m.loading > 0 {
			continue
		}
		if r := old[0].runner; r.freeBytes >= m.Bytes {
			v.planLoad(r, m, ReasonVersion)
			continue
		}
		p.placeModel(v, m, ReasonVersion)
	}
}

// byVersion splits a model's ready replicas into those of other versions and of the current one.
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

func (p Policy) evictOldVersions(v *view, m *model, old, current []replica) {
	for _, rep := range old {
		if !v.hasAdapters(rep.runner, m.Name) || m.currentOn(rep.runner, current) {
			v.planEvict(rep.runner, m, rep.entry.Version, ReasonVersion)
		}
	}
}

// currentOn reports whether one of the current replicas is on a runner.
func (m *model) currentOn(r *runner, current []replica) bool {
	for _, rep := range current {
		if rep.runner == r {
			return true
		}
	}
	return false
}

// addDemandReplicas adds replicas of models whose runners are overloaded, the largest expected
// gain per byte first.
func (p Policy) addDemandReplicas(v *view) {
	type demandGain struct {
		m    *model
		gain float64
	}
	var gains []demandGain
	for _, name := range v.names {
		m := v.models[name]
		if m.ready == 0 || m.loading > 0 || m.lowestLoad() < p.HighLoad {
			continue
		}
		gain := p.gain(m)
		if !p.NoMoveCost && gain < p.MoveCost*m.MovePrice {
			continue
		}
		gains = append(gains, demandGain{m, gain / float64(max(1, m.Bytes))})
	}
	sort.SliceStable(gains, func(i, j int) bool { return gains[i].gain > gains[j].gain })
	for _, g := range gains {
		if v.loads >= v.LoadSlots {
			return
		}
		p.addDemandReplica(v, g.m)
	}
}

// gain returns the number of additional requests that are expected to meet their target latency
// with another replica while the demand lasts, times their weight.
func (p Policy) gain(m *model) float64 {
	over := 1 - p.HighLoad/max(p.HighLoad, m.lowestLoad())
	return m.FastRate * over * p.Horizon * m.AttainmentWeight
}

// addDemandReplica adds a replica on a runner whose load is clearly lower.
func (p Policy) addDemandReplica(v *view, m *model) {
	for _, r := range p.candidates(v, m) {
		if r.load > m.lowestLoad()*p.HighLoad {
			continue
		}
		if r.freeBytes >= m.Bytes {
			v.planLoad(r, m, ReasonDemand)
			return
		}
	}
	for _, r := range p.candidates(v, m) {
		if r.load <= m.lowestLoad()*p.HighLoad && p.freeMemory(v, r, m, minReplicasForDemand) {
			return
		}
	}
}

// addSecondReplicas adds a second replica in another data centre to models that have only one,
// so that one is left after the loss of a runner or a data centre. It evicts only replicas of
// models that have at least three, and uses at most half of the weight store's load slots; the
// other half is left for demand.
func (p Policy) addSecondReplicas(v *view) {
	for _, name := range v.names {
		m := v.models[name]
		if v.loads >= max(1, v.LoadSlots/2) {
			return
		}
		if m.ready == 1 && m.loading == 0 {
			p.addSecondReplica(v, m)
		}
	}
}

// addSecondReplica adds a replica of a model in another data centre than its first one.
func (p Policy) addSecondReplica(v *view, m *model) {
	firstDataCentre := m.firstDataCentre()
	var others []*runner
	for _, r := range p.candidates(v, m) {
		if r.DataCentre != firstDataCentre {
			others = append(others, r)
		}
	}
	for _, r := range others {
		if r.freeBytes >= m.Bytes {
			v.planLoad(r, m, ReasonSecondReplica)
			return
		}
	}
	if memoryPending(others, m) {
		return
	}
	for _, r := range others {
		if p.freeMemory(v, r, m, minReplicasForDemand) {
			return
		}
	}
}
