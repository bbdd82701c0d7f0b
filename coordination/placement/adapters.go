package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/dispatch"
	"primroseward/core"
	"primroseward/io/logs"
)

// adapterRetryDelay is when a caller should retry if there is no free slot for its
// adapter. Requests occupy adapters for about a second, so several slots become free
// within this time.
const adapterRetryDelay = 300 * time.Millisecond

// modelRetryDelay is when a caller should retry if no runner has its model. A model takes
// between half a second and a few seconds to load.
const modelRetryDelay = time.Second

const (
	// adapterSlotWait is how long a request waits for a free adapter slot. It is a
	// fraction of the shortest target latency, so that the caller still has time to
	// retry after a refusal.
	adapterSlotWait = 150 * time.Millisecond
	advanceInterval = 10 * time.Millisecond
)

// spareAdapterSlots is how many adapter slots of a runner preloading leaves free for
// requested adapters that the runner does not have.
const spareAdapterSlots = 1

// place answers immediately if a runner has the model or adapter, and otherwise has it
// loaded.
func (h *Holder) place(w dispatch.PlacementKey, answer func(PlaceResult)) {
	if !h.ensureTerm() {
		answer(PlaceResult{Retry: modelRetryDelay})
		return
	}
	if len(h.runners) == 0 {
		h.refreshRunners()
	}
	if !h.configured(w) {
		answer(PlaceResult{})
		return
	}
	w.Wait = max(0, min(w.Wait, maxModelWait))
	h.noteWanted(w)
	if w.Adapter == "" {
		if result := h.placeModel(w); result.Runner != "" || !h.awaitModel(w, answer) {
			answer(result)
		}
		return
	}
	if rs := h.runnerWithAdapter(w, present); rs != nil {
		rs.adapters[adapterKey{w.Model, w.Adapter}].lastUsed = h.clock.Now()
		answer(PlaceResult{Runner: rs.runner.ID})
		return
	}
	list, ok := h.waiting[w]
	if !ok {
		list = &waiters{since: h.clock.Now()}
		h.waiting[w] = list
	}
	list.answers = append(list.answers, answer)
	h.advanceAdapter(w)
}

// configured reports whether the configuration lists a model or adapter. A runner would
// refuse every order for one that is not listed.
func (h *Holder) configured(w dispatch.PlacementKey) bool {
	spec := h.catalog.Config().Engine(w.Service).Model(w.Model)
	if spec == nil {
		return false
	}
	return w.Adapter == "" || slices.Contains(spec.AdapterNames(), w.Adapter)
}

// waiters are the requests that wait for an adapter.
type waiters struct {
	since   time.Time
	answers []func(PlaceResult)
}

// placeModel answers a request for a model. A model that no runner has is loaded by the
// next plan, which already includes the demand of this request.
func (h *Holder) placeModel(w dispatch.PlacementKey) PlaceResult {
	if id := h.runnerWithModel(w); id != "" {
		return PlaceResult{Runner: id}
	}
	return h.absent(w)
}

// runnerWithModel returns a runner that has a model, preferably one without a limit, or "".
func (h *Holder) runnerWithModel(w dispatch.PlacementKey) string {
	found := ""
	for id, rs := range h.runners {
		if m, ok := rs.models[w.Model]; ok && m.phase == present && h.mayServe(rs, w) {
			found = id
			if !rs.limited {
				break
			}
		}
	}
	return found
}

// mayServe reports whether requests for a model or adapter may be sent to a runner.
func (h *Holder) mayServe(rs *runnerState, w dispatch.PlacementKey) bool {
	return rs.usable(w.Service) && rs.hasVersion(w) && h.allowed(w.Service, w.Model, rs.runner.DataCentre)
}

// hasVersion reports whether a runner has the software version that a request needs.
func (rs *runnerState) hasVersion(w dispatch.PlacementKey) bool {
	return w.Version == "" || rs.runner.Version == w.Version
}

func (rs *runnerState) usable(service string) bool {
	return rs.runner.Service == service && !rs.leaving && !rs.backedOff && !rs.down
}

// runnerWithAdapter returns the least busy runner that has an adapter in a phase. If w.Busy
// is set and the phase is present, it considers only runners without a limit that have a
// free slot.
func (h *Holder) runnerWithAdapter(w dispatch.PlacementKey, p phase) *runnerState {
	var best *runnerState
	fewest := 0
	for _, rs := range h.runners {
		a, ok := rs.adapters[adapterKey{w.Model, w.Adapter}]
		if !ok || a.phase != p || !h.mayServe(rs, w) {
			continue
		}
		requests := h.loads.View(rs.runner.ID).Requests
		if w.Busy && p == present && (rs.limited || requests >= rs.engine.Slots) {
			continue
		}
		if best == nil || requests < fewest {
			best, fewest = rs, requests
		}
	}
	return best
}

// advanceAdapter takes the next step to load an adapter that requests wait for.
func (h *Holder) advanceAdapter(w dispatch.PlacementKey) {
	list, ok := h.waiting[w]
	if !ok {
		return
	}
	if rs := h.runnerWithAdapter(w, present); rs != nil {
		h.answerWaiters(w, PlaceResult{Runner: rs.runner.ID})
		return
	}
	if h.runnerWithAdapter(w, loading) != nil {
		return // its load is already being confirmed
	}
	rs, victim := h.chooseAdapterRunner(w)
	switch {
	case rs == nil && h.awaitsModel(w):
		if h.clock.Since(list.since) >= w.Wait {
			h.answerWaiters(w, h.absent(w))
		} // else the next plan or the end of the load tries again
	case rs == nil && h.answerExpected(w):
	case rs == nil && !w.Busy && h.clock.Since(list.since) < adapterSlotWait:
		h.postAfter(advanceInterval, func() { h.advanceAdapter(w) })
	case rs == nil:
		h.answerWaiters(w, PlaceResult{Retry: adapterRetryDelay})
	case victim != (adapterKey{}):
		h.unloadAdapter(rs, victim, w)
	default:
		h.loadAdapter(rs, w)
	}
}

// answerWaiters answers the requests that wait for an adapter. If a runner has been found, this
// includes those that wait with the opposite value of Busy, as a runner that has just loaded the
// adapter has capacity for both, and those for which the runner's version is as good.
func (h *Holder) answerWaiters(w dispatch.PlacementKey, p PlaceResult) {
	h.answerEach(w, p)
	rs := h.runners[p.Runner]
	if rs == nil {
		return
	}
	for other := range h.waiting {
		if other.Service == w.Service && other.Model == w.Model && other.Adapter == w.Adapter && rs.hasVersion(other) {
			h.answerEach(other, p)
		}
	}
}

func (h *Holder) answerEach(w dispatch.PlacementKey, p PlaceResult) {
	list, ok := h.waiting[w]
	if !ok {
		return
	}
	for _, fn := range list.answers {
		fn(p)
	}
	delete(h.waiting, w)
}

// chooseAdapterRunner returns the runner on which to load an adapter: the least busy one
// that has its model and a free adapter slot, or else one on which another adapter can be
// unloaded, with that adapter.
func (h *Holder) chooseAdapterRunner(w dispatch.PlacementKey) (*runnerState, adapterKey) {
	var withFreeSlot, withVictim *runnerState
	var victim adapterKey
	var lowestValue float64
	fewest := 0
	replicas := h.adapterReplicas(w.Service)
	for _, rs := range h.runners {
		m, ok := rs.models[w.Model]
		spec := rs.engine.Model(w.Model)
		if !ok || spec == nil || m.phase != present || !h.mayServe(rs, w) || !rs.synced || rs.orderPending || rs.countInPhase(loading) >= maxAdaptersLoading {
			continue
		}
		requests := h.loads.View(rs.runner.ID).Requests
		if _, has := rs.adapters[adapterKey{w.Model, w.Adapter}]; has || w.Busy && requests >= rs.engine.Slots || rs.limited && h.unlimitedRunnerHas(w, rs) {
			continue
		}
		if rs.adapterSlotsUsed() < rs.engine.AdapterSlots && rs.freeMB() >= spec.AdapterMB {
			if withFreeSlot == nil || requests < fewest {
				withFreeSlot, fewest = rs, requests
			}
			continue
		}
		for key, a := range rs.adapters {
			if value, ok := h.evictionValue(a, replicas[key]); ok && (withVictim == nil || value < lowestValue) {
				withVictim, victim, lowestValue = rs, key, value
			}
		}
	}
	if withFreeSlot != nil {
		return withFreeSlot, adapterKey{}
	}
	return withVictim, victim
}

// unlimitedRunnerHas reports whether a runner without a limit, other than exclude, has an
// adapter's model.
func (h *Holder) unlimitedRunnerHas(w dispatch.PlacementKey, exclude *runnerState) bool {
	for _, rs := range h.runners {
		if m, ok := rs.models[w.Model]; rs != exclude && ok && m.phase == present && !rs.limited && h.mayServe(rs, w) {
			return true
		}
	}
	return false
}

// adapterReplicas counts the replicas of each adapter of a service's models.
func (h *Holder) adapterReplicas(service string) map[adapterKey]int {
	replicas := map[adapterKey]int{}
	for _, rs := range h.runners {
		if rs.usable(service) {
			for key := range rs.adapters {
				replicas[key]++
			}
		}
	}
	return replicas
}

// evictionValue returns the cost of unloading an adapter in favour of one that no runner
// has, and whether it may be unloaded. An adapter that has other replicas may always be
// unloaded. Otherwise busy adapters, which are requested all the time, would occupy all
// adapter slots of a runner that has the only replica of another model, and every request
// for that model's adapters would be refused. The only replica of an adapter may be
// unloaded if it has not been requested for minAdapterIdle.
func (h *Holder) evictionValue(a *placedItem, replicas int) (float64, bool) {
	unused := h.clock.Since(a.lastUsed)
	if a.phase != present || replicas < 2 && unused <= minAdapterIdle {
		return 0, false
	}
	value := 1 / (1 + unused.Seconds())
	if replicas < 2 {
		value++
	}
	return value, true
}

// loadAdapter orders a runner to load an adapter and repeats the order until it is loaded.
func (h *Holder) loadAdapter(rs *runnerState, w dispatch.PlacementKey) {
	key := adapterKey{w.Model, w.Adapter}
	item := &placedItem{phase: loading, lastUsed: h.clock.Now()}
	rs.adapters[key] = item
	o := core.RunnerOrder{Load: true, Model: w.Model, Adapter: w.Adapter}
	h.send(rs, o, func(result core.OrderResult) { h.handleAdapterResult(rs, w, item, result, firstConfirmDelay) })
}

func (h *Holder) handleAdapterResult(rs *runnerState, w dispatch.PlacementKey, item *placedItem, result core.OrderResult, next time.Duration) {
	key := adapterKey{w.Model, w.Adapter}
	if rs.adapters[key] != item {
		return // a report has replaced the state since
	}
	switch result {
	case core.OrderDone:
		item.phase = present
		h.count("adapters_loaded")
		h.broadcast(HoldingUpdate{Runner: rs.runner.ID, Model: w.Model, Adapter: w.Adapter, Held: true})
		h.answerWaiters(w, PlaceResult{Runner: rs.runner.ID})
	case core.OrderAccepted, core.OrderConflict:
		if rs.synced {
			h.postAfter(next, func() { h.confirmAdapter(rs, w, item) })
		}
	case core.OrderUnknown, core.OrderRefused, core.OrderWrongInstance:
		// send has marked the state as unknown. The slot counts as occupied until a new report.
	}
}

func (h *Holder) confirmAdapter(rs *runnerState, w dispatch.PlacementKey, item *placedItem) {
	if !h.mayStillOrder(rs, rs.adapters[adapterKey{w.Model, w.Adapter}], item) {
		return
	}
	if rs.orderPending {
		h.postAfter(confirmInterval, func() { h.confirmAdapter(rs, w, item) })
		return
	}
	h.confirm(rs, core.RunnerOrder{Load: true, Model: w.Model, Adapter: w.Adapter}, func(result core.OrderResult) {
		h.handleAdapterResult(rs, w, item, result, confirmInterval)
	})
}

// unloadAdapter unloads an adapter so that a requested one can be loaded.
func (h *Holder) unloadAdapter(rs *runnerState, key adapterKey, w dispatch.PlacementKey) {
	item := rs.adapters[key]
	item.phase = unloading
	h.broadcast(HoldingUpdate{Runner: rs.runner.ID, Model: key.model, Adapter: key.adapter})
	h.log.Info(logs.AdapterDisplaced, zap.String("runner", rs.runner.ID), zap.String("model", key.model), zap.String("adapter", key.adapter),
		zap.Duration("unused", h.clock.Since(item.lastUsed)))
	h.send(rs, core.RunnerOrder{Model: key.model, Adapter: key.adapter}, func(result core.OrderResult) {
		if rs.adapters[key] != item {
			return
		}
		switch result {
		case core.OrderDone:
			// The runner carried out the order immediately, which also advances its sequence.
			delete(rs.adapters, key)
			rs.sequence++
			h.advanceAdapter(w)
		case core.OrderAccepted:
			item.phase = unloading
			h.postAfter(modelConfirmInterval, func() { rs.synced = false })
		case core.OrderUnknown, core.OrderConflict, core.OrderRefused, core.OrderWrongInstance:
			// send has marked the state as unknown. The slot counts as occupied until a new report.
		}
	})
}

// preloadAdapters loads adapters into free slots before they are requested: first every
// adapter once, then further replicas of those in highest demand. A request for an adapter
// that is not loaded has to wait, and is refused while no daemon holds the lease.
func (h *Holder) preloadAdapters(service string, engine *core.Engine) {
	replicas := h.adapterReplicas(service)
	for _, rs := range h.runners {
		if !rs.usable(service) || !rs.synced || rs.orderPending || rs.busy() || rs.countInPhase(loading) > 0 {
			continue
		}
		if rs.adapterSlotsUsed()+spareAdapterSlots >= engine.AdapterSlots {
			continue
		}
		if key, ok := h.nextAdapter(rs, replicas); ok {
			replicas[key]++
			h.loadAdapter(rs, dispatch.PlacementKey{Service: service, Model: key.model, Adapter: key.adapter})
		}
	}
}

// nextAdapter returns the adapter that a runner should preload: the one with the fewest
// replicas relative to its demand.
func (h *Holder) nextAdapter(rs *runnerState, replicas map[adapterKey]int) (adapterKey, bool) {
	var best adapterKey
	bestScore, found := 0.0, false
	for name, m := range rs.models {
		spec := rs.engine.Model(name)
		if m.phase != present || spec == nil || rs.freeMB() < spec.AdapterMB || !h.allowed(rs.runner.Service, name, rs.runner.DataCentre) {
			continue
		}
		for _, adapter := range spec.AdapterNames() {
			key := adapterKey{name, adapter}
			if _, ok := rs.adapters[key]; ok {
				continue
			}
			demand := h.demand[dispatch.PlacementKey{Service: rs.runner.Service, Model: name, Adapter: key.adapter}]
			if replicas[key] > 0 && (demand == 0 || h.paused()) {
				continue
			}
			score := (demand + 0.01) / float64(replicas[key]*replicas[key]+1)
			if !found || score > bestScore {
				best, bestScore, found = key, score, true
			}
		}
	}
	return best, found
}
