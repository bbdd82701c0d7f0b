package dispatch

import (
	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// pick chooses a runner, and takes of its limit if it names one. Without a runner, -1,
// limited says whether that is for such limits.
func (j *job) pick(candidates []policy.Candidate) int {
	j.limited = false
	for {
		i := policy.Choose(candidates, j.ask())
		if i < 0 {
			return j.pickLimited(candidates)
		}
		if j.take(candidates[i].ID, j.d.limits.TakeSpare) {
			return i
		}
		candidates[i].Limited = true
	}
}

// pickLimited is pick among the runners that are left to requests which no other one can
// serve.
func (j *job) pickLimited(candidates []policy.Candidate) int {
	for _, i := range policy.Limited(candidates, j.ask()) {
		if j.take(candidates[i].ID, j.d.limits.Take) {
			j.limited = false
			return i
		}
	}
	return -1
}

// take lets the request through to a runner, unless that would be more than it has named.
func (j *job) take(runner string, from func(runner string, rank int) core.Admission) bool {
	j.giveLimit()
	limit, ok := j.d.limits.Limit(runner)
	if !ok {
		return true
	}
	a := from(runner, j.rank())
	if a.OK {
		j.taken = runner
		return true
	}
	if !j.limited || a.Retry < j.retry {
		j.retry = a.Retry
	}
	j.limited = true
	j.atLimit = []zap.Field{
		zap.String("runner", runner), zap.Float64("limit", limit.Rate), zap.String("from", limit.From), zap.Duration("heard", limit.Age),
		zap.Float64("left", a.Left), zap.Float64("asked", a.Asked), zap.Int("daemons", a.Heard), zap.Int("known", a.Known), zap.Duration("age", a.Age),
	}
	j.log.Debug(logs.RunnerAtLimit, j.atLimit...)
	return false
}

// sent counts the request as sent to a runner.
func (j *job) sent(runner string) {
	if j.taken == runner {
		j.taken = ""
		return
	}
	j.giveLimit()
	j.d.limits.Charge(runner)
}

// giveLimit gives back what was taken of a runner's limit for a send that is not made.
func (j *job) giveLimit() {
	if j.taken != "" {
		j.d.limits.Give(j.taken)
		j.taken = ""
	}
}
