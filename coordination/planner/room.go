package planner

import (
	"sort"

	"primroseward/state/ledger"
)

// makeRoom evicts from a runner what can be spared until a model fits. Only
// models with at least spare ready replicas lose one.
func (p Policy) makeRoom(v *view, r *runner, m *model, spare int) bool {
	if r.busy > 0 || !p.mayTouch(v) {
		return false
	}
	chosen := cheapest(p.victims(v, r, m, spare), m.Bytes-r.free)
	for _, c := range chosen {
		v.evictGroup(r, c)
	}
	return len(chosen) > 0
}

// cheapest chooses victims that free at least need bytes: the single one of
// least worth that is large enough, else several, least worth per byte first;
// nil if all together are too small.
func cheapest(victims []victim, need int64) []victim {
	var one *victim
	for i := range victims {
		if victims[i].bytes >= need && (one == nil || victims[i].worth < one.worth) {
			one = &victims[i]
		}
	}
	if one != nil {
		return []victim{*one}
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

// evictGroup evicts a model, or first the adapters on it: a base with adapters
// cannot go, so it follows when they have gone.
func (v *view) evictGroup(r *runner, c victim) {
	if len(c.adapters) == 0 {
		v.evict(r, c.model, c.version, ReasonRoom)
		return
	}
	for _, a := range c.adapters {
		v.evict(r, a.model, a.version, ReasonRoom)
	}
}

// mayTouch bounds the runners that are changing at once: a wrong signal must
// not empty a fleet.
func (p Policy) mayTouch(v *view) bool {
	touched := 0
	for _, r := range v.runners {
		if r.busy > 0 {
			touched++
		}
	}
	return touched < max(1, int(p.Share*float64(len(v.runners))))
}

// victim is a replica that can be spared, with the adapters that go with it.
type victim struct {
	model    *model
	version  string
	bytes    int64
	worth    float64
	adapters []victim
}

// victims returns the replicas on a runner that can be spared for a model,
// least worth per byte first: each model keeps other ready replicas and, unless
// a floor is at stake, carries its load without this one.
func (p Policy) victims(v *view, r *runner, wanting *model, spare int) []victim {
	var out []victim
	for _, e := range r.Entries {
		if one, ok := p.victim(v, r, e, spare); ok && e.Model != wanting.Base {
			out = append(out, one)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].worth*float64(out[j].bytes) < out[j].worth*float64(out[i].bytes)
	})
	return out
}

func (p Policy) victim(v *view, r *runner, e ledger.Entry, spare int) (victim, bool) {
	m := v.models[e.Model]
	if m == nil || e.State != ledger.Ready || m.ready < spare {
		return victim{}, false
	}
	demand := m.demand()
	if p.NoSlow {
		demand = m.Fast
	}
	if spare >= spareForDemand && m.pressure() > p.Low && demand > 0 {
		return victim{}, false
	}
	out := victim{model: m, version: e.Version, bytes: e.Bytes, worth: demand / float64(m.ready)}
	for _, other := range r.Entries {
		if a := v.models[other.Model]; a == nil || a.Base != e.Model {
			continue
		}
		one, ok := p.victim(v, r, other, spare)
		if !ok {
			return victim{}, false
		}
		out.adapters = append(out.adapters, one)
		out.bytes += one.bytes
		out.worth += one.worth
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
