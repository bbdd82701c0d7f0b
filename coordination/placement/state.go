// Package placement sends orders to runners to load and unload models and adapters.
// Only one daemon does so at a time: the holder of the lease of orders.
package placement

import (
	"slices"
	"strings"
	"time"

	"primroseward/coordination/policy"
	"primroseward/core"
)

// phase is the stage of a model or an adapter on a runner.
type phase int

const (
	loading phase = iota
	present
	unloading
)

// placedItem is a model or an adapter on a runner.
type placedItem struct {
	phase    phase
	lastUsed time.Time // adapter: when it was last requested; model: when its load or unload was ordered
	// accepted is set once the runner has accepted the order to load.
	accepted bool
}

// adapterKey identifies an adapter of a model.
type adapterKey struct{ model, adapter string }

// runnerState is the holder's view of a runner: the state at the runner's sequence and
// the orders sent since.
type runnerState struct {
	runner        core.Runner
	engine        *core.Engine
	synced        bool // models, adapters and sequence are those of the runner
	reportPending bool // a report has been requested and has not arrived
	reportAfter   time.Time
	orderPending  bool // an order has been sent and not answered
	// down is set if the runner's process has exited but its entry is still registered.
	// Its adapters count as gone, since loading them elsewhere takes 10 ms, and so do its
	// models that no other runner has.
	down        bool
	leaving     bool // accepts no new work, by its entry or by its answers
	backedOff   bool // has asked this daemon for no requests for a time
	limited     bool // accepts fewer requests a second than it is likely to be sent
	sequence    uint64
	models      map[string]*placedItem
	adapters    map[adapterKey]*placedItem
	loadedAt    map[string]time.Time // model to the completion of its last load
	reservedFor string               // model that gets the memory of the one being unloaded
	// unanswered are the loads ordered from this instance of the runner that have not been
	// answered, and formerUnanswered those ordered from its former instances.
	unanswered       []unansweredLoad
	formerUnanswered []unansweredLoad
}

// unansweredLoad is an order to load that a runner has not answered. The runner may carry
// it out seconds later, as long as its sequence equals expected. A restarted runner counts
// orders from 0 again, so an order sent to its former instance may be carried out when the
// new instance reaches that sequence, in addition to the loads ordered from the new
// instance. That can exceed its memory and crash it, so memory is reserved for the order
// until it can no longer be carried out.
type unansweredLoad struct {
	model, adapter string
	expected       uint64
	expiresAt      time.Time
}

// maxOrderDelay is how long an unanswered order may still be carried out. Delays of up to
// 12 s have been observed.
const maxOrderDelay = 15 * time.Second

// ordersForNextInstance returns the loads that the next instance of the runner may still
// carry out.
func (rs *runnerState) ordersForNextInstance() []unansweredLoad {
	return append(slices.Clone(rs.formerUnanswered), rs.unanswered...)
}

// forEachLateLoad calls fn once for each model and adapter whose load was ordered from a
// former instance and may still be carried out.
func (rs *runnerState) forEachLateLoad(fn func(unansweredLoad)) {
	seen := map[adapterKey]bool{}
	for _, o := range rs.formerUnanswered {
		key := adapterKey{o.model, o.adapter}
		if rs.sequence <= o.expected && !seen[key] {
			seen[key] = true
			fn(o)
		}
	}
}

// adapterSlotsUsed returns the number of adapter slots that are occupied or reserved for
// late orders.
func (rs *runnerState) adapterSlotsUsed() int {
	n := len(rs.adapters)
	rs.forEachLateLoad(func(o unansweredLoad) {
		if _, ok := rs.adapters[adapterKey{o.model, o.adapter}]; !ok && o.adapter != "" {
			n++
		}
	})
	return n
}

func newRunnerState(r core.Runner, engine *core.Engine) *runnerState {
	return &runnerState{runner: r, engine: engine, models: map[string]*placedItem{}, adapters: map[adapterKey]*placedItem{}, loadedAt: map[string]time.Time{}}
}

// busy reports whether an order for a model is in progress.
func (rs *runnerState) busy() bool {
	for _, m := range rs.models {
		if m.phase != present {
			return true
		}
	}
	return false
}

// freeMB returns the memory that is neither occupied nor reserved. A model that is being
// unloaded still occupies its memory.
func (rs *runnerState) freeMB() float64 {
	free := rs.engine.MemoryMB
	for name := range rs.models {
		if m := rs.engine.Model(name); m != nil {
			free -= m.MemoryMB
		} else {
			free = 0 // the configuration no longer lists this model, so its size is unknown
		}
	}
	for key := range rs.adapters {
		if m := rs.engine.Model(key.model); m != nil {
			free -= m.AdapterMB
		}
	}
	rs.forEachLateLoad(func(o unansweredLoad) {
		if m := rs.engine.Model(o.model); m != nil && o.adapter != "" {
			free -= m.AdapterMB
		} else if _, ok := rs.models[o.model]; m != nil && !ok {
			free -= m.MemoryMB
		}
	})
	return free
}

// hasLocalCopy reports whether a model loads from a local copy on the runner and so does
// not count against the weight store's rate. The runner deletes copies that it has not used
// for long, so only its latest description and the loads since then count.
func (rs *runnerState) hasLocalCopy(model string, now time.Time) bool {
	return slices.Contains(rs.runner.OnDisk, model) || slices.Contains(rs.runner.InMemory, model) ||
		now.Sub(rs.loadedAt[model]) < descriptionLag
}

// loadTime returns the configured time to load a model on this runner.
func (rs *runnerState) loadTime(model string) time.Duration {
	spec := rs.engine.Model(model)
	switch {
	case spec == nil:
		return 0
	case slices.Contains(rs.runner.InMemory, model):
		return spec.WarmLoad
	case slices.Contains(rs.runner.OnDisk, model):
		return spec.DiskLoad
	default:
		return spec.Load
	}
}

// descriptionLag is the longest time from a load until the runner's description lists the
// local copy that the load left.
const descriptionLag = 2 * time.Second

// countInPhase returns the number of adapters in a phase.
func (rs *runnerState) countInPhase(p phase) int {
	n := 0
	for _, a := range rs.adapters {
		if a.phase == p {
			n++
		}
	}
	return n
}

// applyReport replaces the state by that of a report. An unanswered order that the report
// does not show may still be carried out, but only at the report's sequence. The next order
// that the runner accepts at this sequence makes the unanswered one void.
func (rs *runnerState) applyReport(r *core.Report, now time.Time) {
	previous := rs.adapters
	rs.models = map[string]*placedItem{}
	rs.adapters = map[adapterKey]*placedItem{}
	for _, held := range r.Holdings {
		rs.models[held.Model] = &placedItem{phase: present}
		for _, a := range held.Adapters {
			rs.adapters[adapterKey{held.Model, a}] = &placedItem{phase: present, lastUsed: lastUse(previous, adapterKey{held.Model, a}, now)}
		}
	}
	for _, c := range r.LoadingAdapters {
		if model, adapter, ok := splitAdapterName(c); ok {
			rs.adapters[adapterKey{model, adapter}] = &placedItem{phase: loading, lastUsed: now}
		}
	}
	rs.runner.OnDisk, rs.runner.InMemory = r.OnDisk, r.InMemory
	rs.reservedFor = ""
	rs.sequence = r.Sequence
	rs.synced = true
}

func lastUse(old map[adapterKey]*placedItem, key adapterKey, now time.Time) time.Time {
	if a, ok := old[key]; ok {
		return a.lastUsed
	}
	return now
}

func splitAdapterName(name string) (model, adapter string, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

// policyState returns the runner's state as input for the policy.
func (rs *runnerState) policyState(requests int, now time.Time) *policy.HostState {
	models, beingLoaded := make(map[string]bool, len(rs.models)), ""
	for name, m := range rs.models {
		if m.phase == loading {
			beingLoaded = name
		}
		if m.phase != unloading {
			models[name] = true
		}
	}
	if rs.reservedFor != "" {
		models[rs.reservedFor] = true
	}
	local, fresh := map[string]bool{}, map[string]bool{}
	for i := range rs.engine.Models {
		m := &rs.engine.Models[i]
		if rs.hasLocalCopy(m.Name, now) {
			local[m.Name] = true
		}
		if now.Sub(rs.loadedAt[m.Name]) < m.Load {
			fresh[m.Name] = true
		}
	}
	return &policy.HostState{
		ID: rs.runner.ID, DataCentre: rs.runner.DataCentre, FreeMB: rs.freeMB(), Models: models, Pending: rs.reservedFor, Loading: beingLoaded, Local: local, Fresh: fresh,
		Busy: !rs.synced || rs.orderPending || rs.busy() || rs.backedOff, Leaving: rs.leaving, Down: rs.down, Limited: rs.limited || rs.backedOff, Requests: requests,
	}
}
