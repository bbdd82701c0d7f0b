package planner

import (
	"sort"

	"primroseward/state/ledger"
)

// freeMemory evicts replicas from a runner so that a model will fit, and reports whether it
// did. It evicts nothing while the runner or too many others are changing. Only models with at
// least minReady ready replicas lose one.
func (p Policy) freeMemory(v *view, r *runner, m *model, minReady int) bool {
	if r.changing > 0 || !p.mayChangeMore(v) {
		return false
	}
	chosen := chooseVictims(p.victims(v, r, m, minReady), m.Bytes-r.freeBytes)
	for _, c := range chosen {
		v.evictGroup(r, c)
	}
	return len(chosen) > 0
}

// chooseVictims chooses victims that free at least need bytes: the single one of lowest value
// that is large enough, or else several, lowest value per byte first. It returns nil if all of
// them together are too small.
func chooseVictims(victims []victim, need int64) []victim {
	var single *victim
	for i := range victims {
		if victims[i].bytes >= need && (single == nil || victims[i].value < single.value) {
			single = &victims[i]
		}
	}
	if single != nil {
		return []victim{*single}
	}
	var chosen []victim
	for _, c := range victims {
		chosen = append(chosen, c)
		need -= c.bytes
		if need <= 0 {
			return chosen
		}
	}
	return nil
}

// evictGroup evicts a model, or only its adapters if it has any on the runner. A base model with
// adapters cannot be evicted, so a later plan evicts it after them.
func (v *view) evictGroup(r *runner, c victim) {
	if len(c.adapters) == 0 {
		v.planEvict(r, c.model, c.version, ReasonMemory)
		return
	}
	for _, a := range c.adapters {
		v.planEvict(r, a.model, a.version, ReasonMemory)
	}
}

// mayChangeMore reports whether another runner may start to change. The limit keeps a wrong
// signal from emptying a fleet.
func (p Policy) mayChangeMore(v *view) bool {
	changing := 0
	for _, r := range v.runners {
		if r.changing > 0 {
			changing++
		}
	}
	return changing < max(1, int(p.MaxChangingShare*float64(len(v.runners))))
}

// victim is a replica that may be evicted, with the adapters that are evicted with it.
type victim struct {
	model    *model
	version  string
	bytes    int64
	value    float64 // demand that the replica serves, in requests per second
	adapters []victim
}

// victims returns the replicas on a runner that may be evicted for a model, lowest value per
// byte first. Each of their models keeps other ready replicas. Unless the other model has no
// replica at all, their models must also be able to serve their load without the replica.
func (p Policy) victims(v *view, r *runner, incoming *model, minReady int) []victim {
	var out []victim
	for _, e := range r.Entries {
		if candidate, ok := p.victim(v, r, e, minReady); ok && e.Model != incoming.Base {
			out = append(out, candidate)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].value*float64(out[j].bytes) < out[j].value*float64(out[i].bytes)
	})
	return out
}

func (p Policy) victim(v *view, r *runner, e ledger.Entry, minReady int) (victim, bool) {
	m := v.models[e.Model]
	if m == nil || e.State != ledger.Ready || m.ready < minReady {
		return victim{}, false
	}
	demand := m.demand()
	if p.NoSlowAverage {
		demand = m.FastRate
	}
	if minReady >= minReplicasForDemand && m.lowestLoad() > p.LowLoad && demand > 0 {
		return victim{}, false
	}
	out := victim{model: m, version: e.Version, bytes: e.Bytes, value: demand / float64(m.ready)}
	for _, other := range r.Entries {
		if a := v.models[other.Model]; a == nil || a.Base != e.Model {
			continue
		}
		candidate, ok := p.victim(v, r, other, minReady)
		if !ok {
			return victim{}, false
		}
		out.adapters = append(out.adapters, candidate)
		out.bytes += candidate.bytes
		out.value += candidate.value
	}
	return out, true
}

func (v *view) hasAdapters(r *runner, base string) bool {
	for _, e := range r.Entries {
		if m := v.models[e.Model]; m != nil && m.Base == base {
			return true
		}
	}
	return false
}
