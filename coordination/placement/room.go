package placement

import (
	"math"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/coordination/dispatch"
	"primroseward/coordination/policy"
	"primroseward/core"
)

const (
	// durationHalfLife is the half-life of the mean time that requests for a model take. It changes with the
	// kinds of request that ask for the model, within tens of seconds.
	durationHalfLife = 20 * time.Second
	// durationPrior is the number of requests whose weight the mean time over all models of the service has
	// in that of one model. A model that has just come into demand has few of its own.
	durationPrior = 4
	// targetMemory is how long the shortest target among the requests for a model counts. Patient requests
	// that ask 0.3 times a second for a model leave gaps of 10 s in 1 of 20 cases.
	targetMemory = 10 * time.Second
	// idleTime is how long nobody must have asked for a model for it to be idle. Of models that are asked
	// for 0.7 times a second, 3 in 100 are.
	idleTime = 5 * time.Second
	// usesGap is after how long without messages the sums count as begun anew. By then a quarter of them is left.
	usesGap = 2 * demandHalfLife
	// minBegun is the part of a sum that is there after demandInterval.
	minBegun = 0.13
	// maxModelWaiters bounds the requests that wait for models; each takes about 100 bytes.
	maxModelWaiters = 4096
	// maxModelWait bounds how long a request waits for a model. Loads take up to 6.4 s; a wait is half of a
	// target of at least two loads.
	maxModelWait = 20 * time.Second
	// drainEstimate is the time to unload a model for another one: 0.16 s without requests there, 1 s with
	// one or two of them.
	drainEstimate = time.Second
	// maxOverdue is how long after its configured time a load still counts as under way. Its end is confirmed each
	// modelConfirmInterval; a runner that is silent then is not known to load any more.
	maxOverdue = time.Second
)

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// modelUse is what the requests for a model need, summed over all daemons and decayed.
type modelUse struct {
	requests float64 // with demandHalfLife
	work     float64 // the part of the demand that is in requests, decayed like the demand
	ended    float64 // with durationHalfLife
	busy     float64 // seconds, with durationHalfLife
	target   time.Duration
	targetAt time.Time     // when that target was last stated
	urgent   time.Duration // shortest target ever stated
	askedAt  time.Time
}

// WithBalance sets the function that returns whether operators want requests to be balanced by counts of the
// whole fleet. Without it replicas are planned by demand alone.
func WithBalance(fn func() core.Balance) Option { return func(h *Holder) { h.balance = fn } }

// WithScope sets the scope for the metrics of the plan.
func WithScope(s tally.Scope) Option { return func(h *Holder) { h.scope = s } }

// balanced reports whether replicas are planned by the room that requests need.
func (h *Holder) balanced() bool { return h.balance().Enabled(h.catalog.Config()) }

// AddUses adds what the requests counted by a daemon need. counts is the demand of the same message.
func (h *Holder) AddUses(counts map[dispatch.PlacementKey]float64, uses map[dispatch.PlacementKey]dispatch.Use) {
	if len(uses) > 0 {
		h.post(func() { h.addUses(counts, uses) })
	}
}

func (h *Holder) addUses(counts map[dispatch.PlacementKey]float64, uses map[dispatch.PlacementKey]dispatch.Use) {
	if !h.balanced() {
		return
	}
	h.decayDemand()
	now := h.clock.Now()
	if now.Sub(h.usesAt) > usesGap {
		h.usesSince = now
	}
	h.usesAt = now
	for w, u := range uses {
		if !h.configured(dispatch.PlacementKey{Service: w.Service, Model: w.Model}) {
			continue
		}
		m := h.use(w)
		m.ended += float64(u.Ended)
		m.busy += u.Busy.Seconds()
		if u.Requests > 0 {
			m.requests += float64(u.Requests)
			m.work += counts[w]
			h.noteTarget(m, u.Target)
		}
	}
}

func (h *Holder) use(w dispatch.PlacementKey) *modelUse {
	key := modelKey{w.Service, w.Model}
	m := h.uses[key]
	if m == nil {
		m = &modelUse{}
		h.uses[key] = m
	}
	return m
}

// noteTarget records that a request with a target has asked for a model.
func (h *Holder) noteTarget(m *modelUse, target time.Duration) {
	now := h.clock.Now()
	m.askedAt = now
	if target > 0 && (m.urgent == 0 || target < m.urgent) {
		m.urgent = target
	}
	if target > 0 && (m.target == 0 || target <= m.target || now.Sub(m.targetAt) >= targetMemory) {
		m.target, m.targetAt = target, now
	}
}

// noteWanted records that a request waits for a model before the demand that includes it arrives.
func (h *Holder) noteWanted(w dispatch.PlacementKey) {
	if w.Wait > 0 && h.balanced() {
		h.noteTarget(h.use(w), 2*w.Wait)
	}
}

// decayUses reduces the sums by the time since the last call. demandShare is what is left of the demand. A rate
// is derived from the requests, for which halfLifeDecay is too coarse: in small steps it takes 1.4 times as long.
func (h *Holder) decayUses(passed time.Duration, demandShare float64) {
	requests := math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
	durations := math.Exp2(-passed.Seconds() / durationHalfLife.Seconds())
	for _, m := range h.uses {
		m.requests, m.work, m.ended, m.busy = m.requests*requests, m.work*demandShare, m.ended*durations, m.busy*durations
	}
}

// needs returns what the requests for a service's models need. ok is false while no daemon has stated how
// long requests take.
func (h *Holder) needs(service string, demand map[string]float64) (out map[string]policy.Need, ok bool) {
	ended, busy := 0.0, 0.0
	for key, m := range h.uses {
		if key.service == service {
			ended, busy = ended+m.ended, busy+m.busy
		}
	}
	if ended < 1 || busy <= 0 {
		return nil, false
	}
	out = map[string]policy.Need{}
	now := h.clock.Now()
	// A sum that has just begun is that part of what it will be.
	begun := max(minBegun, 1-math.Exp2(-now.Sub(h.usesSince).Seconds()/demandHalfLife.Seconds()))
	for key, m := range h.uses {
		if key.service != service {
			continue
		}
		rate := m.requests * math.Ln2 / demandHalfLife.Seconds() / begun
		if m.work > minDemand {
			rate *= max(1, demand[key.model]/m.work) // for daemons that state no requests
		}
		mean := (m.busy + durationPrior*busy/ended) / (m.ended + durationPrior)
		out[key.model] = policy.Need{Running: rate * mean, Target: m.target, Urgent: m.urgent, Idle: now.Sub(m.askedAt) >= idleTime}
	}
	return out, true
}

// planMoves returns the moves for a service's models.
func (h *Holder) planMoves(service string, engine *core.Engine, states []*policy.HostState, demand map[string]float64, opts ...policy.PlaceOption) []policy.Move {
	if !h.balanced() || !policy.LoadsSlowly(engine) {
		return policy.Place(engine, states, demand, opts...)
	}
	needs, ok := h.needs(service, demand)
	if !ok {
		return policy.Place(engine, states, demand, opts...)
	}
	plan := policy.PlaceByRoom(engine, states, needs, opts...)
	h.reportRoom(service, plan)
	return plan.Moves
}

// reportRoom sets the metrics of a service's plan.
func (h *Holder) reportRoom(service string, plan policy.RoomPlan) {
	scope := h.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("placement_short").Update(float64(plan.Short))
	scope.Gauge("placement_surplus").Update(float64(plan.Surplus))
	h.reported[service] = true
}

// clearRoom clears the metrics of a service's plan.
func (h *Holder) clearRoom(service string) {
	h.reportRoom(service, policy.RoomPlan{})
	delete(h.reported, service)
}

// endTerm refuses the requests that wait for a model and clears the metrics of the plan, as another daemon holds
// the lease.
func (h *Holder) endTerm() {
	for service := range h.reported {
		h.clearRoom(service)
	}
	for w, list := range h.waitingModel {
		for _, answer := range list.answers {
			answer(PlaceResult{Retry: modelRetryDelay})
		}
		delete(h.waitingModel, w)
	}
}

// awaitModel keeps a request that may wait until its model is loaded, and reports whether it does.
func (h *Holder) awaitModel(w dispatch.PlacementKey, answer func(PlaceResult)) bool {
	if w.Wait <= 0 || !h.balanced() {
		return false
	}
	waiting := 0
	for _, list := range h.waitingModel {
		waiting += len(list.answers)
	}
	if waiting >= maxModelWaiters {
		return false
	}
	list := h.waitingModel[w]
	if list == nil {
		list = &waiters{since: h.clock.Now()}
		h.waitingModel[w] = list
	}
	list.answers = append(list.answers, answer)
	return true
}

// awaitsModel reports whether a request for an adapter may wait until its model is loaded, and it is not.
func (h *Holder) awaitsModel(w dispatch.PlacementKey) bool {
	return w.Wait > 0 && h.balanced() && h.runnerWithModel(w) == ""
}

// answerExpected answers the requests that wait for an adapter if no runner has its model, and it is known when one will.
func (h *Holder) answerExpected(w dispatch.PlacementKey) bool {
	if h.runnerWithModel(w) != "" {
		return false
	}
	result := h.absent(w)
	if result.Expected {
		h.answerWaiters(w, result)
	}
	return result.Expected
}

// answerModelWaiters answers the requests whose model is loaded or that have waited as long as they may.
func (h *Holder) answerModelWaiters() {
	for w, list := range h.waitingModel {
		result := h.placeModel(w)
		if result.Runner == "" && h.clock.Since(list.since) < w.Wait {
			continue
		}
		for _, answer := range list.answers {
			answer(result)
		}
		delete(h.waitingModel, w)
	}
}

// modelLoaded answers the requests that wait for a model which a runner has just loaded.
func (h *Holder) modelLoaded(rs *runnerState, model string) {
	h.answerModelWaiters()
	for w := range h.waiting {
		if w.Wait > 0 && w.Service == rs.runner.Service && w.Model == model {
			h.advanceAdapter(w)
		}
	}
}

// absent returns the answer to a request whose model no runner has.
func (h *Holder) absent(w dispatch.PlacementKey) PlaceResult {
	if left, ok := h.timeToReplica(w); ok {
		return PlaceResult{Retry: left, Expected: true}
	}
	return PlaceResult{Retry: modelRetryDelay}
}

// timeToReplica returns the time until the first replica of a model that no runner has is expected to serve. ok is
// false if none is known to be loaded: balancing is not in effect, the load time is not configured, the settings
// pause orders or allow the model on no runner, or runners have exited while loading it.
func (h *Holder) timeToReplica(w dispatch.PlacementKey) (left time.Duration, ok bool) {
	spec := h.catalog.Config().Engine(w.Service).Model(w.Model)
	if !h.balanced() || spec == nil || spec.Load <= 0 || h.paused() || h.loadHeld(w.Service, w.Model) {
		return 0, false
	}
	planned := max(0, termStartDelay-h.clock.Since(h.termBegan)) + planInterval
	loads := false // whether a load is under way; if so, the plan adds none
	for _, rs := range h.runners {
		if !h.mayServe(rs, w) {
			continue // one that is down is empty when it is back, and is planned again
		}
		next, loading, known := h.timeToLoaded(rs, w.Model)
		if !known {
			// Replicas are not planned by software versions.
			if w.Version != "" || loads || ok && planned+rs.loadTime(w.Model) >= left {
				continue
			}
			next = planned + h.timeToLoad(rs, spec)
		}
		if !ok || loading && !loads || loading == loads && next < left {
			left, loads, ok = next, loading, true
		}
	}
	return left, ok
}

// timeToLoaded returns the time until a runner has loaded a model that it loads or drains another one for. known is
// false if it does neither.
func (h *Holder) timeToLoaded(rs *runnerState, model string) (left time.Duration, loads, known bool) {
	if m := rs.models[model]; m != nil && m.phase == loading {
		left = rs.loadTime(model) - h.clock.Since(m.lastUsed)
		loads = left > -maxOverdue
		return max(modelConfirmInterval, left), loads, loads
	}
	if rs.reservedFor != model {
		return 0, false, false
	}
	for _, m := range rs.models {
		if m.phase == unloading {
			left = max(left, modelConfirmInterval, drainEstimate-h.clock.Since(m.lastUsed))
		}
	}
	return left + rs.loadTime(model), false, true
}

// timeToLoad returns how long a runner would take to load a model by a new order. Local copies count only where no
// model has to be unloaded first: whether the plan evicts one there is not known.
func (h *Holder) timeToLoad(rs *runnerState, spec *core.Model) time.Duration {
	if rs.synced && !rs.orderPending && !rs.busy() && rs.freeMB() >= spec.MemoryMB {
		return rs.loadTime(spec.Name)
	}
	return drainEstimate + spec.Load
}
