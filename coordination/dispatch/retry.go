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

// reserveRetry takes a retry from the budget. It returns false if none is left.
func (j *job) reserveRetry(cause string) bool {
	state := j.d.budget.State(j.service)
	taken := j.d.budget.TakeRetry(j.service)
	message := logs.RetryDenied
	if taken {
		message = logs.RetryTaken
	}
	j.d.metrics.retry(cause, taken)
	j.log.Info(message, zap.String("service", j.service), zap.String("cause", cause), zap.Int("firsts", state.FirstSends), zap.Int("retries", state.Retries),
		zap.Float64("ratio", state.Ratio), zap.Float64("slack", state.Slack), zap.Int("runs", j.runs), zap.Int("sends", j.sends), zap.Bool("forwarded", j.q.Forward != nil))
	return taken
}
