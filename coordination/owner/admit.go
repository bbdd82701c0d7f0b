package owner

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/tree"
)

func (r *runner) target(a *Attempt) time.Duration {
	t := r.mgr.replica.Tree()
	if t == nil {
		return 0
	}
	return t.Effective(r.coord(a)).Target(a.Class)
}

func (r *runner) coord(a *Attempt) tree.Coord {
	return tree.Coord{Service: a.Service, Model: a.Model, Place: r.spec.Place}
}

// admit refuses what may not or could not be served here in time. The queue
// tells exactly what is ahead, so the refusal is made now and not after a wait
// that cannot end well.
func (r *runner) admit(a *Attempt) *core.RequestError {
	if err := r.permit(a); err != nil {
		return err
	}
	wait := r.wait(a.Class)
	target := r.target(a)
	left := a.Deadline.Sub(r.mgr.clock.Now())
	if wait > min(target, left) {
		retry := max(minRetry, wait-target)
		return core.NotRun(http.StatusServiceUnavailable, core.CodeOverloaded, "the queue is longer than the class's target allows", retry)
	}
	return r.takeLimit(a)
}

// takeLimit lets an attempt through by the limit that the endpoint names.
func (r *runner) takeLimit(a *Attempt) *core.RequestError {
	limit, ok := r.mgr.limits.Limit(r.id)
	if !ok {
		return nil
	}
	got := r.mgr.limits.Take(r.id, a.Class.Rank())
	if got.OK {
		a.limited = true
		return nil
	}
	r.mgr.log.Info(logs.RunnerAtLimit, zap.String("runner", r.id), zap.String("request", a.Request.Request), zap.Float64("limit", limit.Rate),
		zap.Duration("heard", limit.Age), zap.Float64("left", got.Left), zap.Float64("asked", got.Asked), zap.Duration("retry", got.Retry))
	return core.NotRun(http.StatusServiceUnavailable, core.CodeLimited, "the endpoint takes no more for now", got.Retry)
}

// refuse ends an attempt that was admitted and is not sent.
func (r *runner) refuse(a *Attempt, err *core.RequestError) {
	if a.limited {
		r.mgr.limits.Give(r.id)
	}
	a.refuse(err)
}

// permit checks what must hold at the moment of sending: the settings in force
// here, the endpoint's leaving, and that the model is there to stay.
func (r *runner) permit(a *Attempt) *core.RequestError {
	t := r.mgr.replica.Tree()
	if t == nil || r.released {
		return core.NotRun(http.StatusServiceUnavailable, "not_owner", "this daemon does not own the runner", minRetry)
	}
	eff, ok := t.Allowed(r.coord(a))
	if !ok {
		return core.NotRun(http.StatusForbidden, "place_not_allowed", "settings do not allow the runner's place", 0)
	}
	if fresh := r.mgr.fresh(); eff.Fresh > 0 && (fresh < 0 || fresh > eff.Fresh) {
		return core.NotRun(http.StatusServiceUnavailable, "settings_not_fresh", "settings could not be confirmed lately", minRetry)
	}
	if r.isLeaving() {
		return core.NotRun(http.StatusServiceUnavailable, "runner_leaving", "the endpoint takes no new work", minRetry)
	}
	if r.misses >= missesToLose {
		return core.NotRun(http.StatusServiceUnavailable, "runner_unreachable", "the endpoint does not answer", minRetry)
	}
	if a.Model != "" && !r.serves(a.Model) {
		return core.NotRun(http.StatusServiceUnavailable, "model_not_ready", "the model is not ready on this runner", minRetry)
	}
	return nil
}

func (r *runner) isLeaving() bool {
	_, listed := r.mgr.spec(r.id)
	return r.leaving || r.spec.Drain || !listed || r.mgr.replica.Leaving(r.id)
}

// serves says whether a model is ready and not about to be evicted.
func (r *runner) serves(model string) bool {
	return r.ready[model] && (r.ledger == nil || !r.ledger.blocks(model))
}

// wait is the expected time until a new request of a class starts.
func (r *runner) wait(c core.Class) time.Duration {
	slots := max(1, r.spec.Slots)
	if len(r.running) < slots && r.queue.Len() == 0 {
		return 0
	}
	ahead := r.queue.Ahead(c)
	if len(r.running) >= slots {
		ahead += r.cost
	}
	return ahead / time.Duration(slots)
}
