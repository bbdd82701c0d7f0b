package placement

import (
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

func (h *Holder) planService(service string, engine *core.Engine) {
	heat := map[string]float64{}
	for w, v := range h.heat {
		if w.Service == service {
			heat[w.Model] += v
		}
	}
	if len(heat) == 0 && h.clock.Since(h.grown) < settleFor {
		// Models of runners that are not listed yet would count as absent, and copies of
		// the busy ones give way for them: 6 of 25 loads from the weight store in a day
		// of 12 runners, 6 of 42 in one of 18. Nobody waits for a model yet.
		return
	}
	var states []*policy.HostState
	for _, one := range h.hosts {
		if one.runner.Service == service {
			requests := h.loads.View(one.runner.ID).Requests
			s := one.state(requests, h.clock.Now())
			if h.settings() != nil {
				s.Allows = func(model string) bool { return h.allowed(service, model, s.Place) }
			}
			states = append(states, s)
		}
	}
	if len(heat) == 0 {
		heat = h.priorOf(service, states)
	}
	var opts []policy.PlaceOption
	if h.paused() {
		opts = append(opts, policy.RepairOnly())
	}
	for _, m := range policy.Place(engine, states, heat, opts...) {
		if m.Load && h.loadHeld(service, m.Model) || !m.Load && h.loadHeld(service, m.For) {
			continue
		}
		one := h.hosts[m.Runner]
		if m.Load && !one.hasLocal(m.Model, h.clock.Now()) && !h.storeToken(engine) {
			continue
		}
		h.orderModel(one, m)
	}
	h.preload(service, engine)
}

// paused says whether operators want no orders but those that keep models and
// adapters reachable.
func (h *Holder) paused() bool {
	t := h.settings()
	return t != nil && t.Store().Pause
}

// priorOf is read once in a term: the plan's own moves would change it.
func (h *Holder) priorOf(service string, states []*policy.HostState) map[string]float64 {
	if p, ok := h.prior[service]; ok {
		return p
	}
	for _, one := range h.hosts {
		if one.runner.Service == service && !one.synced {
			return map[string]float64{}
		}
	}
	h.prior[service] = policy.Prior(states)
	return h.prior[service]
}

// storeToken takes a load from the weight store's rate.
func (h *Holder) storeToken(engine *core.Engine) bool {
	now := h.clock.Now()
	h.storeTok = min(burst(engine), h.storeTok+now.Sub(h.storeAt).Seconds()*engine.LoadsPerSec)
	h.storeAt = now
	if h.storeTok < 1 {
		return false
	}
	h.storeTok--
	return true
}

// burst is how many loads from the weight store may begin at once.
func burst(engine *core.Engine) float64 {
	return max(loadBurst, burstFor.Seconds()*engine.LoadsPerSec)
}

// orderModel sends an order for a model. Before an unload the daemons learn of
// it.
func (h *Holder) orderModel(one *host, m policy.Move) {
	if m.Load {
		it := &item{phase: loading, used: h.clock.Now()}
		one.models[m.Model] = it
		h.sendModel(one, m, it)
		return
	}
	it := one.models[m.Model]
	it.phase = unloading
	one.promised = m.For
	h.tell(News{Runner: one.runner.ID, Model: m.Model})
	h.after(retireLead, func() {
		if h.mayOrder(one, one.models[m.Model], it) {
			h.sendModel(one, m, it)
		}
	})
}

// mayOrder says whether an order that was put off may be sent: the runner's item is
// still the one that it was decided on, and this daemon still holds the lease.
func (h *Holder) mayOrder(one *host, now, decided *item) bool {
	return now == decided && h.hosts[one.runner.ID] == one && h.hold()
}

func (h *Holder) sendModel(one *host, m policy.Move, it *item) {
	if one.sending {
		h.after(confirmEvery, func() {
			if h.mayOrder(one, one.models[m.Model], it) {
				h.sendModel(one, m, it)
			}
		})
		return
	}
	h.log.Info(logs.OrderSent, zap.String("runner", one.runner.ID), zap.String("model", m.Model), zap.Bool("load", m.Load),
		zap.String("for", m.For), zap.Uint64("expected", one.sequence), zap.Bool("local", one.hasLocal(m.Model, h.clock.Now())))
	h.send(one, core.RunnerOrder{Load: m.Load, Model: m.Model}, func(result core.OrderResult) {
		h.modelOrdered(one, m, it, result)
	})
}

func (h *Holder) modelOrdered(one *host, m policy.Move, it *item, result core.OrderResult) {
	if one.models[m.Model] != it {
		return // the runner has been read anew since
	}
	switch result {
	case core.OrderDone:
		h.modelDone(one, m, it)
	case core.OrderAccepted, core.OrderConflict:
		// A conflict after an acceptance is the order itself in progress; one
		// before it leaves the sequence in doubt, and send has seen to that.
		if one.synced {
			h.after(h.untilAsked(one, m, it), func() { h.confirmModel(one, m, it) })
		}
	case core.OrderUnknown, core.OrderRefused, core.OrderWrongHost:
		// It counts as taken until the runner has been read anew, which send sees to.
	}
}

// untilAsked is when to ask next whether an order has been carried out.
func (h *Holder) untilAsked(one *host, m policy.Move, it *item) time.Duration {
	if !m.Load {
		return modelEvery
	}
	return max(modelEvery, one.loadTime(m.Model)*modelShare/100-h.clock.Since(it.used))
}

func (h *Holder) confirmModel(one *host, m policy.Move, it *item) {
	if !h.mayOrder(one, one.models[m.Model], it) {
		return
	}
	if one.sending {
		h.after(modelEvery, func() { h.confirmModel(one, m, it) })
		return
	}
	h.confirm(one, core.RunnerOrder{Load: m.Load, Model: m.Model}, func(result core.OrderResult) {
		h.modelOrdered(one, m, it, result)
	})
}

func (h *Holder) modelDone(one *host, m policy.Move, it *item) {
	h.log.Info(logs.OrderDone, zap.String("runner", one.runner.ID), zap.String("model", m.Model), zap.Bool("load", m.Load))
	if m.Load {
		it.phase = present
		one.loaded[m.Model] = h.clock.Now()
		h.guard.Worked(core.LoadDigest(one.runner.Service, m.Model))
		h.count("models_loaded")
		h.tell(News{Runner: one.runner.ID, Model: m.Model, Held: true})
		return
	}
	delete(one.models, m.Model)
	for key := range one.adapters {
		if key.model == m.Model {
			delete(one.adapters, key)
		}
	}
	h.count("models_unloaded")
	next := one.promised
	one.promised = ""
	if _, held := one.models[next]; next == "" || held || !one.usable(one.runner.Service) || h.loadHeld(one.runner.Service, next) {
		return
	}
	if spec := one.engine.Model(next); spec != nil && one.freeMB() >= spec.MemoryMB && (one.hasLocal(next, h.clock.Now()) || h.storeToken(one.engine)) {
		h.orderModel(one, policy.Move{Runner: one.runner.ID, Model: next, Load: true})
	}
}
