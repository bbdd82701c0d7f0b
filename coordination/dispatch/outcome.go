package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// errRejected: a runner has stated that it did not run the request.
var errRejected = errors.New("rejected")

// handleError decides what follows a send that got no complete answer.
func (j *job) handleError(ctx context.Context, r *core.Runner, err error) error {
	if ctx.Err() != nil {
		return j.contextError(ctx, err)
	}
	if isDaemon(r) {
		return j.handleForwardError(r, err)
	}
	j.recordError(r, err)
	if errors.Is(err, core.ErrNotSent) {
		return nil
	}
	if j.takeRetry() {
		j.log.Info(logs.AnswerRetried, append(j.lostFields(r), logs.Err(err))...)
		return nil
	}
	j.log.Warn(logs.AnswerLost, append(j.lostFields(r), zap.Int("runs", j.runs), logs.Err(err))...)
	return core.MayHaveRun("answer_lost", err.Error())
}

// recordError records what a send that got no complete answer says of its runner or daemon.
func (j *job) recordError(r *core.Runner, err error) {
	if isDaemon(r) {
		j.recordForwardError(r, err)
		return
	}
	if errors.Is(err, core.ErrWithdrawn) {
		j.log.Info(logs.SendWithdrawn, zap.String("runner", r.ID))
		return
	}
	j.markFailed(r)
	j.reportClosed(r, err)
	if j.d.loads.IsUnanswering(r.ID) {
		j.unanswered++
	}
	if errors.Is(err, core.ErrNotSent) {
		newlyDown := j.recordUnreachable(r, err)
		j.log.Info(logs.RunnerUnreachable, zap.String("runner", r.ID), zap.Bool("news", newlyDown), logs.Err(err))
		if newlyDown {
			j.d.onDown()
		}
		j.failedDials++
		return
	}
	j.d.metrics.broken(j.framing, err)
	if errors.Is(err, core.ErrClosed) {
		j.closed++
		j.d.loads.RecordClosed(r.ID, j.sentAt)
	}
}

// endedEarly returns the error for an answer whose body ended where its content shows that it is not
// complete.
func endedEarly(framing core.Framing, cause error) error {
	if framing == core.FramingClose {
		return fmt.Errorf("%w: %w: %w", core.ErrAnswerLost, core.ErrClosed, cause)
	}
	return fmt.Errorf("%w: %w", core.ErrAnswerLost, cause)
}

// errExited: the answer ended with its connection, and the runner's process has exited.
var errExited = errors.New("the runner has exited")

// confirmEnd returns io.EOF for an answer whose body has ended, unless it may be the exit of the
// runner's process that ended it: that closes the connection too, with which such an answer ends. A
// runner that is leaving exits as well, whatever it works on.
func (j *job) confirmEnd(ctx context.Context, r *core.Runner, framing core.Framing) error {
	if framing != core.FramingClose || j.d.exits == nil || isDaemon(r) || !j.d.exits.Exited(ctx, r) {
		return io.EOF
	}
	return endedEarly(framing, errExited)
}

// recordUnreachable records that no connection to a runner could be made, and reports whether it
// newly counts as down.
func (j *job) recordUnreachable(r *core.Runner, err error) bool {
	if errors.Is(err, core.ErrNoListener) {
		return j.d.loads.ConnectionRefused(r.ID)
	}
	j.d.loads.RecordNoConnection(r.ID)
	return false
}

// stage is how far the answer to a send has come.
type stage string

// Stages of an answer. A runner that queues requests sends the response header when the
// request gets a slot.
const (
	stageSent   stage = "sent"
	stageHead   stage = "head"
	stageEvents stage = "events"
)

// lostFields returns log fields on a send without a complete answer. When a runner exits, its
// requests in progress are suspects: those whose digest was present at other exits too, and
// most of all those that the runner had just started.
func (j *job) lostFields(r *core.Runner) []zap.Field {
	return []zap.Field{
		zap.String("runner", r.ID), zap.Stringer("digest", j.q.Digest), j.partsField(), zap.Stringer("caller", j.q.Caller),
		zap.String("stage", string(j.stage)), zap.String("framing", string(j.framing)), zap.Duration("since", j.d.clock.Since(j.sentAt)),
	}
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partsField returns a log field with the first shared parts of the request's prompt.
func (j *job) partsField() zap.Field {
	return zap.Strings("parts", j.q.SharedParts[:min(len(j.q.SharedParts), maxLoggedParts)])
}

// markFailed records a failed attempt at a runner, unless it was at an earlier instance of it.
func (j *job) markFailed(r *core.Runner) {
	if j.d.isCurrent(r) {
		j.d.loads.RecordFailure(r.ID)
	}
}

// handleRejection decides what follows a runner's statement that it did not run the request.
func (j *job) handleRejection(r *core.Runner, reply *core.Reply) error {
	j.recordRejection(r, reply)
	if j.rejections >= maxRejections || !j.spendOnNext(j.reserveRetry(retryRejected)) {
		return j.refuse(errRejected.Error(), "the runners that may serve the request have no room", nil)
	}
	return nil
}

// recordRejection records a runner's statement that it did not run the request.
func (j *job) recordRejection(r *core.Runner, reply *core.Reply) {
	j.recordFullness(r, reply)
	if reply.Info.Backoff.Duration == 0 { // after a backoff it gets no further request that it could reject
		j.rejections++
		if reply.Status != http.StatusMisdirectedRequest {
			j.markFailed(r) // a runner that rejects at once would look idle
		}
	}
	j.log.Info(logs.RunnerRejected, zap.String("runner", r.ID), zap.Int("status", reply.Status), zap.Int("rejections", j.rejections), zap.Duration("backoff", reply.Info.Backoff.Duration))
	j.misdirected = j.misdirected || reply.Status == http.StatusMisdirectedRequest
	switch {
	case reply.Status != http.StatusMisdirectedRequest || isDaemon(r):
	case j.d.balanced() && j.q.Model != "":
		// Without this the runner would look idle to all choices until its next description.
		j.d.catalog.RecordMisdirected(r, j.q.Model, j.q.Adapter, j.sentAt)
	case j.q.Adapter != "":
		j.d.catalog.RecordHolding(r.ID, j.q.Model, j.q.Adapter, false)
	}
}

// contextError returns the error for a request whose caller has disconnected, whose deadline
// has passed or whose daemon ends.
func (j *job) contextError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), core.ErrEnding) {
		if !errors.Is(err, core.ErrNotSent) { // runs does not include those of a forwarded request yet
			return core.MayHaveRun(core.CodeLeaving, "the daemon ends")
		}
		return j.refuse(core.CodeLeaving, "the daemon ends", err)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errCallerGone()
	}
	if j.runs == 0 && errors.Is(err, core.ErrNotSent) {
		return j.refuse("timeout", "the deadline was reached before a runner was found", err)
	}
	j.log.Warn(logs.DeadlineExceeded, zap.Int("sends", j.sends))
	return &core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: http.StatusGatewayTimeout, Code: "timeout", Message: "the deadline was reached"}
}

// errCallerGone returns the error for a request whose caller has closed its connection.
func errCallerGone() *core.RequestError {
	return &core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: statusClientGone, Code: "caller_gone", Message: "the caller has gone"}
}

// refuse returns the error for a request that is given up before a further run. If an earlier
// attempt may have run, the outcome must not be not-run, even for repeatable requests, because
// callers rely on it.
func (j *job) refuse(code, message string, err error) error {
	retry := policy.RetryAfter(j.route.Target, j.engine())
	if j.retryAfter > 0 && (code == errAbsent.Error() || code == errDown.Error() || code == errLimited.Error() || code == errBackoff.Error() || code == core.CodePath) {
		retry = j.retryAfter
	}
	if balanced, ok := j.balancedRetry(code); ok {
		retry = balanced
	}
	if load, ok := j.loadRetry(code); ok {
		retry = load
	}
	if code == errVersionGone.Error() {
		retry = 0
		j.d.metrics.takenUp(takenUpGone)
	}
	log := j.log
	if code == errLimited.Error() {
		log = log.With(j.limitFields...)
	}
	log.Warn(logs.Refused, zap.String("code", code), zap.String("service", j.service), zap.String("model", j.q.Model),
		zap.String("adapter", j.q.Adapter), zap.Int("runs", j.runs), zap.Int("rejections", j.rejections), zap.Strings("places", j.effective.DataCentres), zap.Duration("retry", retry), j.beganField(), j.omittedField(), logs.Err(err))
	if j.runs > 0 {
		return core.MayHaveRun(code, message)
	}
	return core.NotRun(http.StatusServiceUnavailable, code, message, retry)
}
