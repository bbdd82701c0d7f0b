package owner

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/tree"
)

// targetLatency returns the target time to first byte of the attempt's class by the
// settings in force, or 0 while there are none.
func (r *runner) targetLatency(a *Attempt) time.Duration {
	t := r.mgr.replica.Tree()
	if t == nil {
		return 0
	}
	return t.Effective(r.settingsCoord(a)).Target(a.Class)
}

// settingsCoord returns the coordinates under which the settings of an attempt on this
// runner are looked up.
func (r *runner) settingsCoord(a *Attempt) tree.Selector {
	return tree.Selector{Service: a.Service, Model: a.Model, DataCentre: r.spec.DataCentre}
}

// admit refuses an attempt that may not be served here or cannot be served in time. The
// work ahead in the queue is known at this point, so an attempt that would exceed its
// target or its deadline is refused at once instead of after a useless wait.
func (r *runner) admit(a *Attempt) *core.RequestError {
	if err := r.checkSendable(a); err != nil {
		return err
	}
	target := r.targetLatency(a)
	left := a.Deadline.Sub(r.mgr.clock.Now())
	if backoff := r.backoffLeft(); backoff > min(target, left) {
		return core.NotRun(http.StatusServiceUnavailable, core.CodeBackoff, messageBackoff, backoff)
	}
	wait := r.expectedWait(a.Class)
	if wait > min(target, left) {
		retry := max(minRetryAfter, wait-target)
		return core.NotRun(http.StatusServiceUnavailable, core.CodeOverloaded, "the queue is longer than the class's target allows", retry)
	}
	return r.takeToken(a)
}

// takeToken takes a token from the bucket that enforces the endpoint's published limit,
// and refuses the attempt if there is none. Endpoints without a limit need no token.
func (r *runner) takeToken(a *Attempt) *core.RequestError {
	limit, ok := r.mgr.limits.Limit(r.id)
	if !ok {
		return nil
	}
	admission := r.mgr.limits.Take(r.id, a.Class.Rank())
	if admission.OK {
		a.tookToken = true
		return nil
	}
	r.mgr.log.Info(logs.RunnerAtLimit, zap.String("runner", r.id), zap.String("request", a.Request.RequestID), zap.Float64("limit", limit.Rate),
		zap.Duration("heard", limit.Age), zap.Float64("left", admission.Available), zap.Float64("asked", admission.Demand), zap.Duration("retry", admission.Retry))
	return core.NotRun(http.StatusServiceUnavailable, core.CodeLimited, "the endpoint's rate limit is reached", admission.Retry)
}

// refuse ends an attempt that was admitted but is not sent, and gives its token back.
func (r *runner) refuse(a *Attempt, err *core.RequestError) {
	if a.tookToken {
		r.mgr.limits.Refund(r.id)
	}
	a.refuse(err)
}

// checkSendable checks what must hold when an attempt is sent: this daemon owns the
// runner, the settings in force allow its data centre and are recent enough, the endpoint
// answers and is not leaving, and the model is ready and not about to be evicted.
func (r *runner) checkSendable(a *Attempt) *core.RequestError {
	t := r.mgr.replica.Tree()
	if t == nil || r.released {
		return core.NotRun(http.StatusServiceUnavailable, "not_owner", "this daemon does not own the runner", minRetryAfter)
	}
	eff, ok := t.Allowed(r.settingsCoord(a))
	if !ok {
		return core.NotRun(http.StatusForbidden, "place_not_allowed", "settings do not allow the runner's data centre", 0)
	}
	if age := r.mgr.settingsAge(); eff.MaxUnconfirmed > 0 && (age < 0 || age > eff.MaxUnconfirmed) {
		return core.NotRun(http.StatusServiceUnavailable, "settings_not_fresh", "settings have not been confirmed recently", minRetryAfter)
	}
	if r.isLeaving() {
		return core.NotRun(http.StatusServiceUnavailable, codeLeaving, messageLeaving, minRetryAfter)
	}
	if r.misses >= unreachableAfter {
		return core.NotRun(http.StatusServiceUnavailable, "runner_unreachable", "the endpoint does not answer", minRetryAfter)
	}
	if a.Model != "" && !r.serves(a.Model) {
		return core.NotRun(http.StatusServiceUnavailable, "model_not_ready", "the model is not ready on this runner", minRetryAfter)
	}
	return nil
}

// isLeaving reports whether the endpoint accepts no new requests: its state or its answers say
// so, it is drained or marked as leaving, or the settings no longer list it.
func (r *runner) isLeaving() bool {
	_, listed := r.mgr.spec(r.id)
	of := r.instances.current().runner(r.id)
	return r.leaving || r.mgr.available.Leaving(&of) || r.spec.Drain || !listed || r.mgr.replica.Leaving(r.id)
}

// serves reports whether a model is ready and not about to be evicted.
func (r *runner) serves(model string) bool {
	return r.ready[model] && (r.ledger == nil || !r.ledger.evictingOnlyVersion(model))
}

// expectedWait returns the expected time until a new request of a class starts.
func (r *runner) expectedWait(c core.Class) time.Duration {
	slots, backoff := max(1, r.spec.Slots), r.backoffLeft()
	if len(r.running) < slots && r.queue.Len() == 0 {
		return backoff
	}
	ahead := r.queue.Ahead(c)
	if len(r.running) >= slots {
		ahead += r.cost
	}
	return backoff + ahead/time.Duration(slots)
}
