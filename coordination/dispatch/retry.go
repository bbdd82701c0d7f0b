package dispatch

import (
	"go.uber.org/zap"

	"primroseward/io/logs"
)

// Causes of retries.
const (
	retryFailed   = "failed"   // the answer has not arrived, or states a failure
	retryRejected = "rejected" // the runner has not run the request
	retrySilent   = "silent"   // the runner sends nothing
	retryVerify   = "verify"   // the runner may not answer this daemon
)

// countRequest counts the request for the retry budget, unless the daemon that it is forwarded to
// or that has forwarded it counts it.
func (j *job) countRequest() {
	j.counted = j.q.Forward != nil && j.q.Forward.Counted
	if !j.counted && !j.countedElsewhere {
		j.counted = true
		j.d.budget.CountRequest(j.service)
	}
}

// reserveRetry takes a retry from the budget. It returns false if none is left.
func (j *job) reserveRetry(cause string) bool {
	state, taken := j.d.budget.Take(j.service)
	message := logs.RetryDenied
	if taken {
		message = logs.RetryTaken
	}
	j.d.metrics.retry(cause, taken)
	j.log.Info(message, zap.String("service", j.service), zap.String("cause", cause), zap.Float64("saved", state.Saved), zap.Float64("max", state.Max),
		zap.Int("requests", state.Requests), zap.Int("daemons", state.Daemons), zap.Int("runs", j.runs), zap.Int("sends", j.sends), zap.Bool("forwarded", j.q.Forward != nil))
	return taken
}
