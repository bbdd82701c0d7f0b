package main

import (
	"primroseward/coordination/planner"
	"primroseward/core"
	"primroseward/state/ledger"
)

// variant is one way to decide what is loaded where.
type variant interface {
	// tick is called once a second.
	tick(w *world)
	// refused is called when no runner takes a request.
	refused(w *world, r *request)
}

// planned runs the planner.
type planned struct{ policy planner.Policy }

func (p planned) tick(w *world) {
	if w.outage {
		return
	}
	moves, _ := p.policy.Plan(w.state())
	for _, m := range moves {
		apply(w, m)
	}
}

func apply(w *world, m planner.Move) {
	for _, e := range w.engines {
		if e.id != m.Runner {
			continue
		}
		if m.Kind == core.OrderLoad {
			w.load(e, w.byName[m.Model], m.Reason)
		} else {
			w.evict(e, w.byName[m.Model])
		}
	}
}

func (planned) refused(*world, *request) {}

// static places models once, floors and second replicas, and only loads again
// on a runner that returns what it held.
type static struct {
	inner planned
	held  map[string][]string // runner to models
}

func (s *static) tick(w *world) {
	if w.now < warmUp {
		s.inner.tick(w)
		for _, e := range w.engines {
			s.held[e.id] = nil
			for _, one := range e.entries {
				s.held[e.id] = append(s.held[e.id], one.Model)
			}
		}
		return
	}
	for _, e := range w.engines {
		for _, name := range s.held[e.id] {
			m := w.byName[name]
			if m.Base == "" || e.serves(w.byName[m.Base]) {
				w.load(e, m, "static")
			}
		}
	}
}

func (*static) refused(*world, *request) {}

// lru loads a model when it is asked for and not there, or when all that have
// it are full, and makes room by evicting what was used least recently.
type lru struct{}

func (lru) tick(w *world) {
	for _, m := range w.models {
		if len(m.parked) > 0 && !coming(w, m) {
			lruLoad(w, m)
		}
	}
}

func (lru) refused(w *world, r *request) {
	if w.now-r.at > r.target {
		return
	}
	if !coming(w, r.model) {
		lruLoad(w, r.model)
	}
	if !w.ready(r.model) {
		r.model.parked = append(r.model.parked, r)
	}
}

func coming(w *world, m *served) bool {
	for _, e := range w.engines {
		if one := e.find(m.Name); one != nil && one.State == ledger.Loading {
			return true
		}
	}
	return false
}

// lruLoad loads a model on the runner with the least work that may have it.
func lruLoad(w *world, m *served) {
	var best *engine
	for _, e := range w.engines {
		if e.dead || !m.Places[e.spec.Place] || e.find(m.Name) != nil {
			continue
		}
		if m.Base != "" && !e.serves(w.byName[m.Base]) {
			continue
		}
		if best == nil || len(e.running)+e.queue.Len() < len(best.running)+best.queue.Len() {
			best = e
		}
	}
	if best == nil {
		if base := w.byName[m.Base]; base != nil && !w.ready(base) && !coming(w, base) {
			lruLoad(w, base)
		}
		return
	}
	if best.committed()+m.Bytes > best.capacity() {
		lruEvict(w, best, m)
	}
	w.load(best, m, "on demand")
}

func lruEvict(w *world, e *engine, m *served) {
	free := e.capacity() - e.committed()
	for _, one := range e.entries {
		if one.State == ledger.Evicting || one.State == ledger.Quarantine {
			free += one.Bytes
		}
	}
	for free < m.Bytes {
		var oldest *ledger.Entry
		for i := range e.entries {
			one := &e.entries[i]
			if one.State == ledger.Ready && one.Model != m.Base && (oldest == nil || e.used[one.Model] < e.used[oldest.Model]) {
				oldest = one
			}
		}
		if oldest == nil {
			return
		}
		free += oldest.Bytes
		base := oldest.Model
		w.evict(e, w.byName[base])
		for i := range e.entries {
			if w.byName[e.entries[i].Model].Base == base {
				w.evict(e, w.byName[e.entries[i].Model])
			}
		}
	}
}
