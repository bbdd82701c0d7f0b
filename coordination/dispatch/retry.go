package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/retry"
	"primroseward/core"
	"primroseward/io/logs"
)

// Causes of retries.
const (
	retryFailed   = "failed"   // the answer has not arrived, or states a failure
	retryRejected = "rejected" // the runner has not run the request
	retrySilent   = "silent"   // the runner sends nothing
	retryVerify   = "verify"   // the runner may not answer this daemon
	retryLate     = "late"     // another daemon has spent one, but the request had to wait here
)

// forwardedDelay is how long a forwarded request whose retry another daemon has spent may wait until it is sent.
const forwardedDelay = 500 * time.Millisecond

// maxSpendWait is how long a send waits while too many retries are in flight, spendInterval how often it looks. A runner
// that is not frozen answers sooner.
const (
	maxSpendWait  = 500 * time.Millisecond
	spendInterval = 10 * time.Millisecond
)

// errBudget: the retry that was taken is not left any more.
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

// reserveRetry takes a retry from the budget, nil if none is left.
func (j *job) reserveRetry(cause string) *retry.Retry {
	taken, state := j.d.budget.Take(j.service)
	message := logs.RetryDenied
	if taken != nil {
		message = logs.RetryTaken
	}
	j.d.metrics.retry(cause, taken != nil)
	j.log.Info(message, zap.String("service", j.service), zap.String("cause", cause), zap.Float64("saved", state.Saved), zap.Float64("max", state.Max),
		zap.Int("requests", state.Requests), zap.Int("daemons", state.Daemons), zap.Int("late", state.Late), zap.Int("runs", j.runs), zap.Int("sends", j.sends), zap.Bool("forwarded", j.q.Forward != nil))
	return taken
}

// spendOnNext makes the next send spend a retry. It returns false for nil.
func (j *job) spendOnNext(r *retry.Retry) bool {
	if r == nil {
		return false
	}
	j.due.Release()
	j.due = r
	return true
}

// takeRetry takes a retry for the next send, if the route allows one.
func (j *job) takeRetry() bool {
	r := j.spare
	j.spare = nil
	if !j.attemptsLeft(0) {
		r.Release()
		return false
	}
	if r == nil {
		r = j.reserveRetry(retryFailed)
	}
	return j.spendOnNext(r)
}

// spendRetry spends the retry that the next send needs, if it needs one. It returns false without an error if too many retries
// are in flight; the retry is kept then.
func (j *job) spendRetry() (bool, error) {
	if j.due == nil && j.forwardedLate() && !j.spendOnNext(j.reserveRetry(retryLate)) {
		return false, j.refuseFor(errBudget)
	}
	err := j.due.Spend(j.arrivals)
	if errors.Is(err, retry.ErrWait) {
		return false, nil
	}
	j.due = nil
	if err != nil {
		return false, j.refuseFor(errBudget)
	}
	return true, nil
}

// awaitSpend waits until the retry that the next send needs may be spent.
func (j *job) awaitSpend(ctx context.Context) error {
	for waited := time.Duration(0); j.due.Waits(); waited += spendInterval {
		if ctx.Err() != nil {
			return j.contextError(ctx, core.ErrNotSent)
		}
		if waited >= maxSpendWait {
			j.due.Release()
			j.due = nil
			return j.refuseFor(errBudget)
		}
		core.Sleep(ctx, j.d.clock, spendInterval)
	}
	return nil
}

// forwardedLate reports whether the next send is the one that another daemon has spent a retry on, too long ago.
func (j *job) forwardedLate() bool {
	f := j.q.Forward
	return f != nil && f.Runs > 0 && j.sends == 0 && j.d.clock.Since(j.q.Arrived) > forwardedDelay
}

// releaseRetries gives up the retries that have not been spent.
func (j *job) releaseRetries() {
	j.due.Release()
	j.spare.Release()
}

// rejectedElsewhere reports whether an error is the refusal of another daemon whose runners have rejected the
// request. What follows is a retry that nobody has taken yet.
func rejectedElsewhere(err error) bool {
	var refusal *core.RequestError
	return errors.As(err, &refusal) && (refusal.Arrived || refusal.Code == errRejected.Error())
}

// readWithin is how long a receiver that is not frozen takes to read what has been sent to it. After sentWithin TCP has given
// up what a lost path has not delivered.
const (
	readWithin = 500 * time.Millisecond
	sentWithin = 2 * time.Second
)

// beginSend records that the request is sent to a runner or a daemon.
func (j *job) beginSend(r *core.Runner) *retry.Send {
	at, d, loads := j.d.clock.Now(), j.d, j.loadsOf(r)
	return j.arrivals.Begin(func() bool { return d.mustHaveArrived(r, at, loads.LastActivity(r.ID)) })
}

// mustHaveArrived reports whether what was sent to a runner or a daemon at a time has been read by now, or never will be:
// it has sent something later, its process has ended, or it is not frozen, as other daemons hear it, but this daemon's
// path to it is lost.
func (d *Dispatcher) mustHaveArrived(r *core.Runner, sent, heard time.Time) bool {
	if heard.Sub(sent) >= readWithin {
		return true
	}
	if isDaemon(r) {
		return false
	}
	return d.hasEnded(r) || d.clock.Since(sent) >= sentWithin && (d.pathLost() || d.loads.IsUnanswering(r.ID))
}

// recordArrival records what the outcome of a send says of its arrival.
func recordArrival(sent *retry.Send, err error) {
	var refusal *core.RequestError
	switch {
	case errors.Is(err, core.ErrNotSent), errors.As(err, &refusal) && !refusal.Arrived:
		sent.NotSent()
	case err == nil, refusal != nil, errors.Is(err, core.ErrClosed):
		sent.Arrived()
	}
}
