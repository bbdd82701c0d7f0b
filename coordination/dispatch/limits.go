package dispatch

import (
	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// pickCandidate chooses a runner and takes one request from its limit, if it has one. If it
// returns -1, j.atLimit reports whether used-up limits are the reason.
func (j *job) pickCandidate(candidates []policy.Candidate) int {
	if j.decision = nil; j.d.balanced() {
		return j.pickBalanced(candidates)
	}
	j.atLimit = false
	for {
		i := policy.Choose(candidates, j.requirements())
		if i < 0 {
			return j.pickLimited(candidates)
		}
		if j.takeLimit(candidates[i].ID, j.d.limits.TakeSpare) {
			return i
		}
		candidates[i].Limited = true
	}
}

// pickLimited is like pickCandidate for limited runners, which are reserved for requests that
// no other runner can serve.
func (j *job) pickLimited(candidates []policy.Candidate) int {
	for _, i := range policy.RankLimited(candidates, j.requirements()) {
		if j.takeLimit(candidates[i].ID, j.d.limits.Take) {
			j.atLimit = false
			return i
		}
	}
	return -1
}

// takeLimit takes one request from a runner's limit. It returns false if the limit is used up.
func (j *job) takeLimit(runner string, from func(runner string, rank int) core.Admission) bool {
	j.refundLimit()
	limit, ok := j.d.limits.Limit(runner)
	if !ok {
		return true
	}
	a := from(runner, j.rank())
	if a.OK {
		j.limitTakenFrom = runner
		return true
	}
	if !j.atLimit || a.Retry < j.retryAfter {
		j.retryAfter = a.Retry
	}
	j.atLimit = true
	j.limitFields = []zap.Field{
		zap.String("runner", runner), zap.Float64("limit", limit.Rate), zap.String("from", limit.From), zap.Duration("heard", limit.Age),
		zap.Float64("left", a.Available), zap.Float64("asked", a.Demand), zap.Int("daemons", a.ReachableDaemons), zap.Int("known", a.TotalDaemons), zap.Duration("age", a.Age),
	}
	j.log.Debug(logs.RunnerAtLimit, j.limitFields...)
	return false
}

// chargeLimit counts the request as sent to a runner.
func (j *job) chargeLimit(runner string) {
	if j.limitTakenFrom == runner {
		j.limitTakenFrom = ""
		return
	}
	j.refundLimit()
	j.d.limits.Charge(runner)
}

// refundLimit refunds what was taken from a runner's limit for a send that is not made.
func (j *job) refundLimit() {
	if j.limitTakenFrom != "" {
		j.d.limits.Refund(j.limitTakenFrom)
		j.limitTakenFrom = ""
	}
}
