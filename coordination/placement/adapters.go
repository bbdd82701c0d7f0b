package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/dispatch"
	"primroseward/core"
	"primroseward/io/logs"
)

// retryAdapter is when a caller may come back for an adapter for which there is
// no place: requests hold adapters for about a second, and several places come
// free in that time.
const retryAdapter = 300 * time.Millisecond

// retryModel is when a caller may come back for a model that is not there: it
// takes between half a second and a few to load.
const retryModel = time.Second

const (
	// waitForPlace is how long a request waits for a place for its adapter: a
	// fraction of the shortest target, so that a refusal still leaves time to
	// come back.
	waitForPlace = 150 * time.Millisecond
	advanceEvery = 10 * time.Millisecond
)

// spareAdapters is how many places for adapters of a runner stay free for those
// that are asked for and absent.
const spareAdapters = 1

// place answers at once if a runner has what is wanted, and gets it otherwise.
func (h *Holder) place(w dispatch.Want, answer func(Placed)) {
	if !h.hold() {
		answer(Placed{Retry: retryModel})
		return
	}
	if len(h.hosts) == 0 {
		h.refresh()
	}
	if !h.offered(w) {
		answer(Placed{})
		return
	}
	if w.Adapter == "" {
		answer(h.placeModel(w))
		return
	}
	if one := h.withAdapter(w, present); one != nil {
		one.adapters[adapterKey{w.Model, w.Adapter}].used = h.clock.Now()
		answer(Placed{Runner: one.runner.ID})
		return
	}
	list, ok := h.waiting[w]
	if !ok {
		list = &waiters{since: h.clock.Now()}
		h.waiting[w] = list
	}
	list.answers = append(list.answers, answer)
	h.advance(w)
}

// offered says whether the configuration lists what is wanted. An order for
// anything else would be refused by the runner, again and again.
func (h *Holder) offered(w dispatch.Want) bool {
	config := h.catalog.Config()
	if config == nil || config.Services[w.Service] == nil || config.Services[w.Service].Engine == nil {
		return false
	}
	spec := config.Services[w.Service].Engine.Model(w.Model)
	if spec == nil {
		return false
	}
	return w.Adapter == "" || slices.Contains(spec.AdapterNames(), w.Adapter)
}

// waiters are the requests that wait for an adapter.
type waiters struct {
	since   time.Time
	answers []func(Placed)
}

// placeModel answers for a model. Its demand is known already; the next plan
// sees to it.
func (h *Holder) placeModel(w dispatch.Want) Placed {
	out := Placed{Retry: retryModel}
	for id, one := range h.hosts {
		if m, ok := one.models[w.Model]; ok && m.phase == present && h.mayServe(one, w) {
			out = Placed{Runner: id}
			if !one.limited {
				break
			}
		}
	}
	return out
}

// mayServe says whether requests for what is wanted may go to a runner.
func (h *Holder) mayServe(one *host, w dispatch.Want) bool {
	return one.usable(w.Service) && h.allowed(w.Service, w.Model, one.runner.Place)
}

func (h *host) usable(service string) bool {
	return h.runner.Service == service && !h.runner.Draining && !h.down
}

// withAdapter returns the least busy runner that has an adapter in a phase, and room for
// a request where those that have none are of no use.
func (h *Holder) withAdapter(w dispatch.Want, p phase) *host {
	var best *host
	low := 0
	for _, one := range h.hosts {
		a, ok := one.adapters[adapterKey{w.Model, w.Adapter}]
		if !ok || a.phase != p || !h.mayServe(one, w) {
			continue
		}
		n := h.loads.View(one.runner.ID).Requests
		if w.Busy && p == present && (one.limited || n >= one.engine.Slots) {
			continue
		}
		if best == nil || n < low {
			best, low = one, n
		}
	}
	return best
}

// advance does the next step for an adapter that requests wait for.
func (h *Holder) advance(w dispatch.Want) {
	list, ok := h.waiting[w]
	if !ok {
		return
	}
	if one := h.withAdapter(w, present); one != nil {
		h.answer(w, Placed{Runner: one.runner.ID})
		return
	}
	if h.withAdapter(w, loading) != nil {
		return // its confirmation is on the way
	}
	one, victim := h.adapterHost(w)
	switch {
	case one == nil && !w.Busy && h.clock.Since(list.since) < waitForPlace:
		h.after(advanceEvery, func() { h.advance(w) })
	case one == nil:
		h.answer(w, Placed{Retry: retryAdapter})
	case victim != (adapterKey{}):
		h.unloadAdapter(one, victim, w)
	default:
		h.loadAdapter(one, w)
	}
}

func (h *Holder) answer(w dispatch.Want, p Placed) {
	h.answerAll(w, p)
	if p.Runner != "" {
		w.Busy = !w.Busy // a runner that has just got the adapter has room for both
		h.answerAll(w, p)
	}
}

func (h *Holder) answerAll(w dispatch.Want, p Placed) {
	list, ok := h.waiting[w]
	if !ok {
		return
	}
	for _, fn := range list.answers {
		fn(p)
	}
	delete(h.waiting, w)
}

// adapterHost finds the runner for an adapter: the least busy one that has its
// model and a free place, or one where another adapter gives way.
func (h *Holder) adapterHost(w dispatch.Want) (*host, adapterKey) {
	var free, full *host
	var victim adapterKey
	var lowest float64
	low := 0
	copies := h.adapterCopies(w.Service)
	for _, one := range h.hosts {
		m, ok := one.models[w.Model]
		spec := one.engine.Model(w.Model)
		if !ok || spec == nil || m.phase != present || !h.mayServe(one, w) || !one.synced || one.sending || one.inPhase(loading) >= maxComing {
			continue
		}
		n := h.loads.View(one.runner.ID).Requests
		if _, has := one.adapters[adapterKey{w.Model, w.Adapter}]; has || w.Busy && n >= one.engine.Slots || one.limited && h.otherHas(w, one) {
			continue
		}
		if one.adaptersTaken() < one.engine.AdapterSlots && one.freeMB() >= spec.AdapterMB {
			if free == nil || n < low {
				free, low = one, n
			}
			continue
		}
		for key, a := range one.adapters {
			if value, ok := h.adapterValue(a, copies[key]); ok && (full == nil || value < lowest) {
				full, victim, lowest = one, key, value
			}
		}
	}
	if free != nil {
		return free, adapterKey{}
	}
	return full, victim
}

// otherHas says whether a runner that is not limited has the model of an adapter.
func (h *Holder) otherHas(w dispatch.Want, than *host) bool {
	for _, one := range h.hosts {
		if m, ok := one.models[w.Model]; one != than && ok && m.phase == present && !one.limited && h.mayServe(one, w) {
			return true
		}
	}
	return false
}

// adapterCopies counts the copies of each adapter of a service's models.
func (h *Holder) adapterCopies(service string) map[adapterKey]int {
	copies := map[adapterKey]int{}
	for _, one := range h.hosts {
		if one.usable(service) {
			for key := range one.adapters {
				copies[key]++
			}
		}
	}
	return copies
}

// adapterValue orders adapters by what is lost when one gives way for another
// that no runner has. One that has other copies may always go: otherwise busy
// adapters, which are asked for all the time, would keep all places of a runner
// that has the only copy of another model, and each request for that model's
// adapters would be refused. An only copy may go when nobody has asked for it
// lately.
func (h *Holder) adapterValue(a *item, copies int) (float64, bool) {
	unused := h.clock.Since(a.used)
	if a.phase != present || copies < 2 && unused <= keepAdapter {
		return 0, false
	}
	value := 1 / (1 + unused.Seconds())
	if copies < 2 {
		value++
	}
	return value, true
}

// loadAdapter orders an adapter and repeats the order until it is there.
func (h *Holder) loadAdapter(one *host, w dispatch.Want) {
	key := adapterKey{w.Model, w.Adapter}
	it := &item{phase: loading, used: h.clock.Now()}
	one.adapters[key] = it
	o := core.RunnerOrder{Load: true, Model: w.Model, Adapter: w.Adapter}
	h.send(one, o, func(result core.OrderResult) { h.adapterOrdered(one, w, it, result, confirmFirst) })
}

func (h *Holder) adapterOrdered(one *host, w dispatch.Want, it *item, result core.OrderResult, next time.Duration) {
	key := adapterKey{w.Model, w.Adapter}
	if one.adapters[key] != it {
		return // the runner has been read anew since
	}
	switch result {
	case core.OrderDone:
		it.phase = present
		h.count("adapters_loaded")
		h.tell(News{Runner: one.runner.ID, Model: w.Model, Adapter: w.Adapter, Held: true})
		h.answer(w, Placed{Runner: one.runner.ID})
	case core.OrderAccepted, core.OrderConflict:
		if one.synced {
			h.after(next, func() { h.confirmAdapter(one, w, it) })
		}
	case core.OrderUnknown, core.OrderRefused, core.OrderWrongHost:
		// It counts as taken until the runner has been read anew, which send sees to.
	}
}

func (h *Holder) confirmAdapter(one *host, w dispatch.Want, it *item) {
	if !h.mayOrder(one, one.adapters[adapterKey{w.Model, w.Adapter}], it) {
		return
	}
	if one.sending {
		h.after(confirmEvery, func() { h.confirmAdapter(one, w, it) })
		return
	}
	h.confirm(one, core.RunnerOrder{Load: true, Model: w.Model, Adapter: w.Adapter}, func(result core.OrderResult) {
		h.adapterOrdered(one, w, it, result, confirmEvery)
	})
}

// unloadAdapter makes room for an adapter that is waited for.
func (h *Holder) unloadAdapter(one *host, key adapterKey, w dispatch.Want) {
	it := one.adapters[key]
	it.phase = unloading
	h.tell(News{Runner: one.runner.ID, Model: key.model, Adapter: key.adapter})
	h.log.Info(logs.AdapterYields, zap.String("runner", one.runner.ID), zap.String("model", key.model), zap.String("adapter", key.adapter),
		zap.Duration("unused", h.clock.Since(it.used)))
	h.send(one, core.RunnerOrder{Model: key.model, Adapter: key.adapter}, func(result core.OrderResult) {
		if one.adapters[key] != it {
			return
		}
		switch result {
		case core.OrderDone:
			// The order was carried out at once, and counts as accepted.
			delete(one.adapters, key)
			one.sequence++
			h.advance(w)
		case core.OrderAccepted:
			it.phase = unloading
			h.after(modelEvery, func() { one.synced = false })
		case core.OrderUnknown, core.OrderConflict, core.OrderRefused, core.OrderWrongHost:
			// It counts as taken until the runner has been read anew, which send sees to.
		}
	})
}

// preload loads adapters ahead of requests for them into places that are free:
// every adapter once, then those asked for most again. A request for an absent
// adapter waits for it, and is refused while no daemon holds the lease.
func (h *Holder) preload(service string, engine *core.Engine) {
	copies := h.adapterCopies(service)
	for _, one := range h.hosts {
		if !one.usable(service) || !one.synced || one.sending || one.busy() || one.inPhase(loading) > 0 {
			continue
		}
		if one.adaptersTaken()+spareAdapters >= engine.AdapterSlots {
			continue
		}
		if key, ok := h.nextAdapter(one, copies); ok {
			copies[key]++
			h.loadAdapter(one, dispatch.Want{Service: service, Model: key.model, Adapter: key.adapter})
		}
	}
}

// nextAdapter is the adapter that a runner should load ahead: the one with the
// fewest copies for what is asked of it.
func (h *Holder) nextAdapter(one *host, copies map[adapterKey]int) (adapterKey, bool) {
	var best adapterKey
	bestScore, found := 0.0, false
	for name, m := range one.models {
		spec := one.engine.Model(name)
		if m.phase != present || spec == nil || one.freeMB() < spec.AdapterMB || !h.allowed(one.runner.Service, name, one.runner.Place) {
			continue
		}
		for _, adapter := range spec.AdapterNames() {
			key := adapterKey{name, adapter}
			if _, ok := one.adapters[key]; ok {
				continue
			}
			heat := h.heat[dispatch.Want{Service: one.runner.Service, Model: name, Adapter: key.adapter}]
			if copies[key] > 0 && (heat == 0 || h.paused()) {
				continue
			}
			score := (heat + 0.01) / float64(copies[key]*copies[key]+1)
			if !found || score > bestScore {
				best, bestScore, found = key, score, true
			}
		}
	}
	return best, found
}
