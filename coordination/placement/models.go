package placement

import (
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/dispatch"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// planService sends the orders for a service's models that the policy decides on, and
// preloads adapters.
func (h *Holder) planService(service string, engine *core.Engine) {
	demand := map[string]float64{}
	for w, v := range h.demand {
		if w.Service == service {
			demand[w.Model] += v
		}
	}
	if len(demand) == 0 && h.clock.Since(h.lastNewRunner) < settleTime {
		// Models of runners that are not listed yet would count as absent, and replicas of
		// busy models would be unloaded in their favour. With 12 runners, 6 of 25 loads
		// from the weight store in a day would be such moves, with 18 runners 6 of 42. No
		// request is waiting for a model yet.
		return
	}
	var states []*policy.HostState
	for _, rs := range h.runners {
		if rs.runner.Service == service {
			requests := h.loads.View(rs.runner.ID).Requests
			s := rs.policyState(requests, h.clock.Now())
			if h.settingsInForce() != nil {
				s.Allows = func(model string) bool { return h.allowed(service, model, s.DataCentre) }
			}
			states = append(states, s)
		}
	}
	if len(demand) == 0 {
		demand = h.priorDemandFor(service, engine, states)
	}
	var opts []policy.PlaceOption
	if h.paused() {
		opts = append(opts, policy.RepairOnly())
	}
	for _, m := range h.planMoves(service, engine, states, demand, opts...) {
		if m.Load && h.loadHeld(service, m.Model) || !m.Load && h.loadHeld(service, m.For) {
			continue
		}
		rs := h.runners[m.Runner]
		if m.Load && !rs.hasLocalCopy(m.Model, h.clock.Now()) && !h.takeStoreToken(engine) {
			continue
		}
		h.orderModel(rs, m)
	}
	h.preloadAdapters(service, engine)
}

// paused reports whether the settings allow only orders that keep models and adapters
// reachable.
func (h *Holder) paused() bool {
	t := h.settingsInForce()
	return t != nil && t.Store().Pause
}

// priorDemandFor returns the demand assumed for a service's models before any is measured.
// It is computed once per term, since the plan's own moves would change it. It is empty
// while the state of one of the service's runners is unknown.
func (h *Holder) priorDemandFor(service string, engine *core.Engine, states []*policy.HostState) map[string]float64 {
	if p, ok := h.priorDemand[service]; ok {
		return p
	}
	for _, rs := range h.runners {
		if rs.runner.Service == service && !rs.synced && !rs.backedOff {
			return map[string]float64{}
		}
	}
	prior := policy.PriorDemand(states)
	if h.balanced() && policy.LoadsSlowly(engine) {
		policy.ExpectShift(prior)
	}
	h.priorDemand[service] = prior
	return h.priorDemand[service]
}

// takeStoreToken reports whether a load may start within the weight store's rate, and
// counts it.
func (h *Holder) takeStoreToken(engine *core.Engine) bool {
	now := h.clock.Now()
	h.storeTokens = min(loadBurst(engine), h.storeTokens+now.Sub(h.storeTokensAt).Seconds()*engine.LoadsPerSec)
	h.storeTokensAt = now
	if h.storeTokens < 1 {
		return false
	}
	h.storeTokens--
	return true
}

// loadBurst returns how many loads from the weight store may start at once.
func loadBurst(engine *core.Engine) float64 {
	return max(minLoadBurst, loadBurstWindow.Seconds()*engine.LoadsPerSec)
}

// orderModel sends an order for a model. Before an unload it notifies all daemons and waits
// for unloadNotice.
func (h *Holder) orderModel(rs *runnerState, m policy.Move) {
	if m.Reason != "" {
		h.log.Info(logs.MovePlanned, zap.String("runner", rs.runner.ID), zap.String("model", m.Model), zap.Bool("load", m.Load), zap.String("for", m.For),
			zap.Float64("need", m.Need), zap.Float64("room", m.Room), zap.String("reason", m.Reason))
	}
	if m.Load {
		item := &placedItem{phase: loading, lastUsed: h.clock.Now()}
		rs.models[m.Model] = item
		h.sendModel(rs, m, item)
		return
	}
	item := rs.models[m.Model]
	item.phase, item.lastUsed = unloading, h.clock.Now()
	rs.reservedFor = m.For
	h.broadcast(HoldingUpdate{Runner: rs.runner.ID, Model: m.Model})
	h.postAfter(unloadNotice, func() {
		if h.mayStillOrder(rs, rs.models[m.Model], item) {
			h.sendModel(rs, m, item)
		}
	})
}

// mayStillOrder reports whether a delayed order may still be sent: the runner's current item
// is the one for which the order was decided, and this daemon still holds the lease.
func (h *Holder) mayStillOrder(rs *runnerState, current, decided *placedItem) bool {
	return current == decided && h.runners[rs.runner.ID] == rs && h.ensureTerm()
}

func (h *Holder) sendModel(rs *runnerState, m policy.Move, item *placedItem) {
	if rs.orderPending {
		h.postAfter(confirmInterval, func() {
			if h.mayStillOrder(rs, rs.models[m.Model], item) {
				h.sendModel(rs, m, item)
			}
		})
		return
	}
	h.log.Info(logs.OrderSent, zap.String("runner", rs.runner.ID), zap.String("model", m.Model), zap.Bool("load", m.Load),
		zap.String("for", m.For), zap.Uint64("expected", rs.sequence), zap.Bool("local", rs.hasLocalCopy(m.Model, h.clock.Now())))
	h.send(rs, core.RunnerOrder{Load: m.Load, Model: m.Model}, func(result core.OrderResult) {
		h.handleModelResult(rs, m, item, result)
	})
}

func (h *Holder) handleModelResult(rs *runnerState, m policy.Move, item *placedItem, result core.OrderResult) {
	if rs.models[m.Model] != item {
		return // a report has replaced the state since
	}
	switch result {
	case core.OrderDone:
		h.finishModelMove(rs, m, item)
	case core.OrderAccepted, core.OrderConflict:
		// A conflict after the order was accepted means that the same order is in progress. A
		// conflict before that means that the sequence is unknown, and send has marked the
		// state as unknown, so that a new report is requested.
		if rs.synced {
			h.postAfter(h.confirmDelay(rs, m, item), func() { h.confirmModel(rs, m, item) })
		}
	case core.OrderUnknown, core.OrderRefused, core.OrderWrongInstance:
		// send has marked the state as unknown. The memory counts as occupied until a new report.
	}
}

// confirmDelay returns how long to wait before checking again whether an order has been
// carried out.
func (h *Holder) confirmDelay(rs *runnerState, m policy.Move, item *placedItem) time.Duration {
	if !m.Load {
		return modelConfirmInterval
	}
	return max(modelConfirmInterval, rs.loadTime(m.Model)*modelConfirmPercent/100-h.clock.Since(item.lastUsed))
}

func (h *Holder) confirmModel(rs *runnerState, m policy.Move, item *placedItem) {
	if !h.mayStillOrder(rs, rs.models[m.Model], item) {
		return
	}
	if rs.orderPending {
		h.postAfter(modelConfirmInterval, func() { h.confirmModel(rs, m, item) })
		return
	}
	h.confirm(rs, core.RunnerOrder{Load: m.Load, Model: m.Model}, func(result core.OrderResult) {
		h.handleModelResult(rs, m, item, result)
	})
}

func (h *Holder) finishModelMove(rs *runnerState, m policy.Move, item *placedItem) {
	h.log.Info(logs.OrderDone, zap.String("runner", rs.runner.ID), zap.String("model", m.Model), zap.Bool("load", m.Load))
	if m.Load {
		item.phase = present
		rs.loadedAt[m.Model] = h.clock.Now()
		h.guard.Served(core.LoadDigest(rs.runner.Service, m.Model))
		h.count("models_loaded")
		h.broadcast(HoldingUpdate{Runner: rs.runner.ID, Model: m.Model, Held: true})
		h.modelLoaded(rs, m.Model)
		return
	}
	delete(rs.models, m.Model)
	for key := range rs.adapters {
		if key.model == m.Model {
			delete(rs.adapters, key)
		}
	}
	h.count("models_unloaded")
	next := rs.reservedFor
	rs.reservedFor = ""
	w := dispatch.PlacementKey{Service: rs.runner.Service, Model: next}
	if _, held := rs.models[next]; next == "" || held || !rs.usable(w.Service) || !h.configured(w) || h.loadHeld(w.Service, next) {
		return
	}
	if spec := rs.engine.Model(next); spec != nil && rs.freeMB() >= spec.MemoryMB && (rs.hasLocalCopy(next, h.clock.Now()) || h.takeStoreToken(rs.engine)) {
		h.orderModel(rs, policy.Move{Runner: rs.runner.ID, Model: next, Load: true})
	}
}
