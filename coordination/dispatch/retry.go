package dispatch

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// Causes of retries.
const (
	retryFailed   = "failed"   // the answer has not arrived, or states a failure
	retryRejected = "rejected" // the runner has not run the request
	retrySilent   = "silent"   // the runner sends nothing
	retryVerify   = "verify"   // the runner may not answer this daemon
	retryLate     = "late"     // the retry taken before was not sent in time
)

// errBudget: the retry that was taken has expired, and no other is left.
var errBudget = errors.New("budget")

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
	if taken {
		j.takenAt = j.d.clock.Now()
	}
	message := logs.RetryDenied
	if taken {
		message = logs.RetryTaken
	}
	j.d.metrics.retry(cause, taken)
	j.log.Info(message, zap.String("service", j.service), zap.String("cause", cause), zap.Float64("saved", state.Saved), zap.Float64("max", state.Max),
		zap.Int("requests", state.Requests), zap.Int("daemons", state.Daemons), zap.Int("runs", j.runs), zap.Int("sends", j.sends), zap.Bool("forwarded", j.q.Forward != nil))
	return taken
}

// retryValid reports whether a retry taken at a time may still be sent; at the zero time none was taken.
func (d *Dispatcher) retryValid(takenAt time.Time) bool {
	return takenAt.IsZero() || d.budget.Valid(d.clock.Since(takenAt))
}

// hasReserved reports whether a retry is reserved for the next send.
func (j *job) hasReserved() bool { return j.retryReserved && j.d.retryValid(j.takenAt) }

// renewRetry takes another retry for the next send if the one taken for it has expired while the request
// waited. It returns an error if none is left.
func (j *job) renewRetry() error {
	if j.d.retryValid(j.takenAt) || j.reserveRetry(retryLate) {
		return nil
	}
	return j.refuseFor(errBudget)
}

// beginRetry marks the retry that was taken for a send as used, and returns a function that keeps it for the
// next send, as nothing has arrived. One that is reserved is for the send after this one.
func (j *job) beginRetry() (keep func()) {
	if j.retryReserved {
		return func() {}
	}
	takenAt := j.takenAt
	j.takenAt = time.Time{}
	return func() {
		if j.takenAt.IsZero() {
			j.takenAt = takenAt
		}
	}
}

// rejectedElsewhere reports whether an error is the refusal of another daemon whose runners have rejected the
// request. What follows is a retry that nobody has taken yet.
func rejectedElsewhere(err error) bool {
	var refusal *core.RequestError
	return errors.As(err, &refusal) && refusal.Code == errRejected.Error()
}
