package dispatch

import (
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/backlog"
	"primroseward/coordination/balance"
	"primroseward/coordination/load"
	"primroseward/coordination/policy"
	"primroseward/core"
)

// work returns what package balance needs to know of the request.
func (j *job) work() balance.Work {
	w := balance.Work{Target: j.route.Target, Left: j.timeLeft(), Duration: j.d.estimator.Duration(j.service)}
	spec := j.spec()
	if spec == nil || spec.Engine == nil {
		return w
	}
	w.Engine = true
	w.Duration, w.Prefill = j.d.pacer.StreamDuration(j.service), j.d.pacer.PrefillTime(j.service, j.q.InputTokens)
	if spec.NearestTarget > 0 {
		w.Target = min(w.Target, spec.NearestTarget) // it must not lengthen a queue beyond the limit of other kinds
	}
	w.AheadShare = j.d.estimator.AheadShare(j.service, j.priority())
	if j.freeSlotOnly {
		w.Waits, w.Reserved = true, backlog.Reserved(spec.Engine.Slots, spec.Ranked && j.rank() > spec.TopRank)
	}
	w.Tokens, w.MeanTokens, w.CacheTokens = j.q.InputTokens, j.d.estimator.Tokens(j.service), spec.Engine.CacheTokens
	return w
}

// timeLeft returns how long the request's caller still waits.
func (j *job) timeLeft() time.Duration {
	until := j.deadline
	if j.route.Kind == core.KindStream && !j.begun {
		if first := j.q.Arrived.Add(j.eventWait()); first.Before(until) {
			until = first
		}
	}
	return max(0, until.Sub(j.d.clock.Now()))
}

// pickBalanced is like pickCandidate where requests are balanced by counts of the whole fleet.
func (j *job) pickBalanced(candidates []policy.Candidate) int {
	j.atLimit = false
	work := j.work()
	for {
		d := balance.Choose(candidates, work, j.d.random)
		j.decision = &d
		j.d.metrics.malformed(d.Malformed)
		if d.Outcome != balance.Serve {
			i := j.pickLimited(candidates)
			if i >= 0 {
				j.decision = nil
			}
			return i
		}
		if j.takeLimit(candidates[d.Index].ID, j.d.limits.TakeSpare) {
			return d.Index
		}
		candidates[d.Index].Limited = true
	}
}

// balanceFields returns log fields on the latest choice, if it was balanced, and counts it.
func (j *job) balanceFields() []zap.Field {
	d := j.decision
	if d == nil {
		return nil
	}
	j.d.metrics.balanceChosen()
	return []zap.Field{
		zap.Int("believed", d.Requests), zap.Duration("age", d.Age), zap.Float64("pace", d.Pace),
		zap.Float64("level", d.Level), zap.Float64("chance", d.Chance), zap.Duration("expected", d.Expected),
		zap.Int("priority", j.priority()), zap.Bool("returned", j.returned),
	}
}

// balancedRetry returns when a request that is refused as no runner has room should come back, and counts it. It
// returns false if its latest choice was not balanced.
func (j *job) balancedRetry(code string) (time.Duration, bool) {
	if j.decision == nil || j.decision.Index < 0 {
		return 0, false
	}
	switch code {
	case errFull.Error():
		j.d.metrics.balanceRefused(string(j.decision.Outcome))
	case errRejected.Error(), errExhausted.Error():
		j.d.metrics.balanceRefused(code)
	default:
		return 0, false
	}
	return j.decision.RetryAfter(j.work(), j.deadline.Sub(j.d.clock.Now()), j.d.random), true
}

// recordFullness records the load that a rejection has stated, now that the rejected request no longer counts as in
// progress there: recorded before, it would make the runner look one request emptier than it has stated.
func (j *job) recordFullness(r *core.Runner, reply *core.Reply) {
	if j.d.balanced() && reply.Info.Load != nil && !isDaemon(r) {
		j.d.loads.SetReportedLoad(r.ID, *reply.Info.Load)
	}
}

// observeAnswer records how long the answer to a plain request took.
func (j *job) observeAnswer(r *core.Runner) {
	if j.decision != nil && !isDaemon(r) && !j.engine() {
		j.d.estimator.ObserveAnswer(j.service, j.d.clock.Since(j.sentAt), j.decision.Requests, r.Slots)
	}
}

// observeTokens records what the request needs of a runner's memory: only its prompt, as callers state nothing but the
// largest size of an output.
func (j *job) observeTokens() {
	if spec := j.spec(); j.decision != nil && spec != nil && spec.Engine != nil {
		j.d.estimator.ObserveTokens(j.service, j.q.InputTokens, spec.Engine.CacheTokens)
	}
}

// observeStream records how long a runner worked on a stream.
func (j *job) observeStream(took time.Duration) {
	if j.d.balanced() {
		j.d.estimator.ObserveStream(j.service, j.sentPriority, took)
	}
}

// ownCountAge is the age of counts where no other daemon sends to the runners.
const ownCountAge = time.Microsecond

// ageOf returns the age of what is known of a runner's requests, 0 if that is not known.
func (d *Dispatcher) ageOf(v load.View) time.Duration {
	if v.Age == 0 && d.daemons() <= 1 {
		return ownCountAge
	}
	return v.Age
}
