// Package placement orders runners to load and unload models and adapters. One
// daemon does it, the holder of the lease of orders.
package placement

import (
	"slices"
	"strings"
	"time"

	"primroseward/coordination/policy"
	"primroseward/core"
)

// phase is where a model or an adapter is on its way.
type phase int

const (
	loading phase = iota
	present
	unloading
)

// item is a model or an adapter on a runner.
type item struct {
	phase phase
	used  time.Time // when it was last asked for; of a model, when its load was ordered
	// accepted: the runner has said that it carries out the load.
	accepted bool
}

// adapterKey names an adapter of a model.
type adapterKey struct{ model, adapter string }

// host is a runner as the holder knows it: its state at sequence, and what has
// been ordered since.
type host struct {
	runner  core.Runner
	engine  *core.Engine
	synced  bool // state and sequence are known
	asking  bool // a report is on its way
	retryAt time.Time
	sending bool // an order is on its way
	// down: its process has ended, though its entry stands. Its adapters count as gone,
	// which are loaded elsewhere in 10 ms, and so do its models that no other runner has.
	down     bool
	limited  bool // takes fewer requests a second than it is likely to be sent
	sequence uint64
	models   map[string]*item
	adapters map[adapterKey]*item
	loaded   map[string]time.Time // when loads were done
	promised string               // model that gets the room of the one being unloaded
	// unanswered are the orders to this life of the runner that may come late, and
	// late those to its former lives.
	unanswered []lateOrder
	late       []lateOrder
}

// lateOrder is a load that a runner has not answered. It may be carried out seconds
// later, as long as the runner's sequence is the one that it expects. A runner that has
// started again counts its orders from 0, so that one to its former life may be carried
// out when the count comes by, on top of what the new life has been ordered to load:
// more than its memory holds, at which it crashes. Room is kept for it until then.
type lateOrder struct {
	model, adapter string
	expected       uint64
	until          time.Time
}

// lateFor is how long an order without an answer may still be carried out: they were
// seen up to 12 s late.
const lateFor = 15 * time.Second

// mayCome are the orders that may yet be carried out by the next life of the runner.
func (h *host) mayCome() []lateOrder {
	return append(slices.Clone(h.late), h.unanswered...)
}

// lateLoads calls fn once for each model and adapter whose load, ordered of a former
// life, may still be carried out.
func (h *host) lateLoads(fn func(lateOrder)) {
	seen := map[adapterKey]bool{}
	for _, o := range h.late {
		key := adapterKey{o.model, o.adapter}
		if h.sequence <= o.expected && !seen[key] {
			seen[key] = true
			fn(o)
		}
	}
}

// adaptersTaken is how many places for adapters are taken, or kept for late orders.
func (h *host) adaptersTaken() int {
	n := len(h.adapters)
	h.lateLoads(func(o lateOrder) {
		if _, ok := h.adapters[adapterKey{o.model, o.adapter}]; !ok && o.adapter != "" {
			n++
		}
	})
	return n
}

func newHost(r core.Runner, engine *core.Engine) *host {
	return &host{runner: r, engine: engine, models: map[string]*item{}, adapters: map[adapterKey]*item{}, loaded: map[string]time.Time{}}
}

// busy says whether an order for a model is in progress.
func (h *host) busy() bool {
	for _, m := range h.models {
		if m.phase != present {
			return true
		}
	}
	return false
}

// freeMB is the memory that is neither taken nor promised. What is being
// unloaded still has its memory.
func (h *host) freeMB() float64 {
	free := h.engine.MemoryMB
	for name := range h.models {
		if m := h.engine.Model(name); m != nil {
			free -= m.MemoryMB
		} else {
			free = 0 // a model that the config no longer lists: its size is not known
		}
	}
	for key := range h.adapters {
		if m := h.engine.Model(key.model); m != nil {
			free -= m.AdapterMB
		}
	}
	h.lateLoads(func(o lateOrder) {
		if m := h.engine.Model(o.model); m != nil && o.adapter != "" {
			free -= m.AdapterMB
		} else if _, ok := h.models[o.model]; m != nil && !ok {
			free -= m.MemoryMB
		}
	})
	return free
}

// hasLocal says whether a model loads from a copy that the runner keeps, and so
// does not count against the weight store's rate. The runner drops copies that
// it has not used for long, so only its latest description counts, and what has
// been loaded since.
func (h *host) hasLocal(model string, now time.Time) bool {
	return slices.Contains(h.runner.OnDisk, model) || slices.Contains(h.runner.InMemory, model) ||
		now.Sub(h.loaded[model]) < descriptionLag
}

// loadTime is how long a load of a model is said to take here.
func (h *host) loadTime(model string) time.Duration {
	spec := h.engine.Model(model)
	switch {
	case spec == nil:
		return 0
	case slices.Contains(h.runner.InMemory, model):
		return spec.WarmLoad
	case slices.Contains(h.runner.OnDisk, model):
		return spec.DiskLoad
	default:
		return spec.Load
	}
}

// descriptionLag is how much later than a load a runner's description may tell
// of the copy that it left.
const descriptionLag = 2 * time.Second

// inPhase counts the adapters in a phase.
func (h *host) inPhase(p phase) int {
	n := 0
	for _, a := range h.adapters {
		if a.phase == p {
			n++
		}
	}
	return n
}

// take sets the state from a report. An order without an answer that it does not
// show may still be carried out, but only at the report's sequence: the next
// order that is accepted at it makes that one void.
func (h *host) take(r *core.Report, now time.Time) {
	used := h.adapters
	h.models = map[string]*item{}
	h.adapters = map[adapterKey]*item{}
	for _, held := range r.Holdings {
		h.models[held.Model] = &item{phase: present}
		for _, a := range held.Adapters {
			h.adapters[adapterKey{held.Model, a}] = &item{phase: present, used: lastUse(used, adapterKey{held.Model, a}, now)}
		}
	}
	for _, c := range r.Coming {
		if model, adapter, ok := cutAdapter(c); ok {
			h.adapters[adapterKey{model, adapter}] = &item{phase: loading, used: now}
		}
	}
	h.runner.OnDisk, h.runner.InMemory = r.OnDisk, r.InMemory
	h.promised = ""
	h.sequence = r.Sequence
	h.synced = true
}

func lastUse(old map[adapterKey]*item, key adapterKey, now time.Time) time.Time {
	if a, ok := old[key]; ok {
		return a.used
	}
	return now
}

func cutAdapter(name string) (model, adapter string, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

// state is the runner as the policy sees it.
func (h *host) state(requests int, now time.Time) *policy.HostState {
	models := make(map[string]bool, len(h.models))
	for name, m := range h.models {
		if m.phase != unloading {
			models[name] = true
		}
	}
	if h.promised != "" {
		models[h.promised] = true
	}
	local := map[string]bool{}
	for i := range h.engine.Models {
		if name := h.engine.Models[i].Name; h.hasLocal(name, now) {
			local[name] = true
		}
	}
	return &policy.HostState{
		ID: h.runner.ID, Place: h.runner.Place, FreeMB: h.freeMB(), Models: models, Promised: h.promised, Local: local,
		Busy: !h.synced || h.sending || h.busy(), Leaving: h.runner.Draining, Down: h.down, Limited: h.limited, Requests: requests,
	}
}
