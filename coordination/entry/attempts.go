package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"primroseward/coordination/owner"
	"primroseward/coordination/route"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/answer"
	"primroseward/state/directory"
	"primroseward/transport/peer"
)

const (
	// maxAttempts is the largest number of attempts per request, including
	// those that a runner's owner refuses.
	maxAttempts = 8
	// runnerTimeout is how long a request waits for a runner when the directory
	// lists none, as after the failure of a daemon that owns runners.
	// runnerPollInterval is the time between two lookups.
	runnerTimeout      = 4 * time.Second
	runnerPollInterval = 100 * time.Millisecond
	// maxResumes is how often a broken connection to an owner is replaced
	// within one attempt.
	maxResumes    = 3
	resumeDelay   = 200 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// execution is the state of a request between its first attempt and its
// complete answer or final error.
type execution struct {
	e            *Entry
	request      *Request
	held         *answer.Held
	relay        *relay
	excluded     map[string]bool    // runners that refused the request or failed
	lastErr      *core.RequestError // returned to the caller if no attempt succeeds
	possibleRuns int                // attempts that may have run
	retries      int
	attemptCount int // attempts made, including refused ones
}

// runAttempts sends the request to one runner after another until an answer is
// complete. After a refusal, when nothing was sent to the runner, the next
// runner is tried without charge to the retry budget. An attempt that may have
// run is retried only if the request is repeatable and the retry budget allows
// it.
func (e *Entry) runAttempts(ctx context.Context, a *Request, held *answer.Held) error {
	x := &execution{e: e, request: a, held: held, relay: newRelay(a, held.Buffer), excluded: map[string]bool{}}
	e.budget.CountFirst()
	for ; x.attemptCount < maxAttempts; x.attemptCount++ {
		runner, err := x.chooseRunner(ctx)
		if err != nil {
			return err
		}
		if retry, ok := e.guard.Admit(ctx, a.Digest); !ok {
			return core.HeldBack(x.possibleRuns, retry)
		}
		err = x.attempt(ctx, runner)
		if err == nil {
			return nil
		}
		if final := x.afterFailure(ctx, runner, err); final == errAnswerComplete {
			return nil
		} else if final != nil {
			return final
		}
	}
	return x.lastErr
}

// errAnswerComplete means that an attempt failed after the caller had received
// all the content of the answer.
var errAnswerComplete = errors.New("the answer is already complete")

// afterFailure returns the error to end the request with after a failed
// attempt. It returns nil if another attempt should follow, and
// errAnswerComplete if the answer needs no further attempt.
func (x *execution) afterFailure(ctx context.Context, runner directory.Report, err error) error {
	re := core.AsRequestError(err)
	x.e.log.Info("attempt failed", zap.String("request", x.request.ID), zap.String("runner", runner.Runner),
		zap.String("outcome", string(re.Outcome)), zap.String("code", re.Code), zap.String("cause", re.Message))
	if ctx.Err() != nil {
		return x.finalError(re)
	}
	if re.Outcome == core.OutcomeNotRun {
		x.excluded[runner.Runner] = true
		x.recordRefusal(re)
		return nil
	}
	x.possibleRuns++
	x.e.health.RecordFailure(runner.Runner)
	x.lastErr = re
	if !x.request.Repeatable {
		return re
	}
	if x.relay.completeStream(ctx) {
		return errAnswerComplete
	}
	if !x.relay.canContinue() {
		return re
	}
	if !x.e.budget.TakeRetry() {
		re.Retry = time.Second
		return re
	}
	x.e.count("retries")
	x.retries++
	x.excluded[runner.Runner] = true
	return nil
}

// finalError returns the error of a request whose deadline has passed or whose
// caller has disconnected. An earlier attempt that may have run takes
// precedence over the last error.
func (x *execution) finalError(re *core.RequestError) error {
	if x.lastErr != nil && x.lastErr.Outcome == core.OutcomeMayHaveRun {
		return x.lastErr
	}
	return re
}

// recordRefusal keeps the refusal with the shortest retry delay as the error for
// the caller. An error of an attempt that may have run is never replaced.
func (x *execution) recordRefusal(re *core.RequestError) {
	switch {
	case x.lastErr != nil && x.lastErr.Outcome == core.OutcomeMayHaveRun:
	case x.lastErr == nil || re.Retry > 0 && (x.lastErr.Retry == 0 || re.Retry < x.lastErr.Retry):
		x.lastErr = re
	}
}

// chooseRunner returns the best runner for the next attempt. When the directory
// lists none, it polls for up to runnerTimeout: after a daemon fails, its runners
// are missing from the directory until other daemons own them.
func (x *execution) chooseRunner(ctx context.Context) (directory.Report, error) {
	giveUpAt := x.e.clock.Now().Add(runnerTimeout)
	for {
		candidates, known := x.candidates(ctx)
		requirements := route.Requirements{DataCentre: x.e.members.Self().DataCentre, Prefix: x.request.Prefix}
		if i := requirements.Choose(candidates); i >= 0 {
			return candidates[i].Report, nil
		}
		if known && x.lastErr != nil {
			return directory.Report{}, x.lastErr
		}
		if !x.e.clock.Now().Before(giveUpAt) {
			return directory.Report{}, x.noRunnerError()
		}
		select {
		case <-ctx.Done():
			return directory.Report{}, x.noRunnerError()
		case <-x.e.clock.After(runnerPollInterval):
		}
	}
}

// noRunnerError returns the error for a request that no runner can serve now.
func (x *execution) noRunnerError() error {
	if x.lastErr != nil {
		return x.lastErr
	}
	return core.NotRun(http.StatusServiceUnavailable, "no_runner", "no runner in the allowed data centres serves this model or service now", 2*time.Second)
}

// candidates returns the runners in allowed data centres that the next attempt
// may use. known is false if there are none and no excluded runner may still be
// overloaded, at its limit or backed off. Excluded runners then become eligible again, since
// refusals for other reasons are likely to be out of date.
func (x *execution) candidates(ctx context.Context) ([]route.Candidate, bool) {
	t := x.e.replica.Tree()
	reports, sent := x.e.locator.find(ctx, x.request.directoryKey())
	var out []route.Candidate
	known := false
	for _, r := range reports {
		if _, ok := t.Allowed(x.request.selector(r.DataCentre)); !ok || r.Leaving {
			continue
		}
		m, ok := owner.Of(x.e.members, r.Runner, r.DataCentre)
		if !ok {
			continue
		}
		r.Owner = m.Name
		if x.excluded[r.Runner] {
			known = known || x.lastErr != nil && (x.lastErr.Code == core.CodeOverloaded || x.lastErr.Code == core.CodeLimited || x.lastErr.Code == core.CodeBackoff)
			continue
		}
		known = true
		out = append(out, route.Candidate{Report: r, Sent: sent[r.Runner], Penalty: x.e.health.Penalty(r.Runner)})
	}
	if len(out) == 0 && !known {
		clear(x.excluded)
	}
	return out, known
}

// attempt makes one attempt at a runner and copies its answer.
func (x *execution) attempt(ctx context.Context, runner directory.Report) error {
	id := uuid.NewString()
	ctx, span := otel.Tracer("primroseward").Start(ctx, "attempt")
	span.SetAttributes(attribute.String("runner", runner.Runner), attribute.String("owner", runner.Owner), attribute.String("attempt", id))
	defer span.End()
	x.e.locator.countSent(x.request.directoryKey(), runner.Runner)
	x.relay.beginAttempt(runner)
	x.relay.ranBefore = x.possibleRuns > 0
	req := x.newRequest(id, runner.Runner)
	var err error
	if runner.Owner == x.e.members.Self().Name {
		err = x.attemptLocal(ctx, req)
	} else {
		err = x.attemptRemote(ctx, runner.Owner, req)
	}
	if err == nil {
		err = x.relay.finish(ctx)
	}
	if errors.Is(err, errOtherVersion) {
		err = core.MayHaveRun("other_version", err.Error())
	}
	switch {
	case err != nil:
	case x.relay.status >= http.StatusInternalServerError:
		x.e.health.RecordFailure(runner.Runner) // a runner that fails at once would look idle
	default:
		x.e.health.RecordSuccess(runner.Runner)
	}
	return err
}

// newRequest returns the message of an attempt for the runner's owner.
func (x *execution) newRequest(id, runner string) owner.Request {
	a := x.request
	return owner.Request{
		RequestID:  a.ID,
		AttemptID:  id,
		Service:    a.Service,
		Model:      a.Model,
		Runner:     runner,
		Class:      a.Class,
		Deadline:   a.Deadline,
		Method:     a.Method,
		Path:       a.Path,
		Header:     a.Header,
		Body:       x.relay.nextBody(),
		Repeatable: a.Repeatable,
		Retry:      x.retries > 0,
		Digest:     a.Digest,
	}
}

// attemptLocal makes an attempt at a runner that this daemon owns.
func (x *execution) attemptLocal(ctx context.Context, req owner.Request) error {
	running := x.e.owner.Dispatch(ctx, req)
	detach := running.Buffer.Attach()
	defer detach()
	head, err := running.Buffer.Head(ctx)
	if err != nil {
		return x.abandon(ctx, running.AttemptID, err)
	}
	x.relay.SetHead(*head)
	for offset := int64(0); ; {
		data, whole, err := running.Buffer.Next(ctx, offset)
		if err != nil {
			return x.abandon(ctx, running.AttemptID, err)
		}
		if whole {
			return nil
		}
		if err := x.relay.Append(ctx, data); err != nil {
			return x.abandon(ctx, running.AttemptID, err)
		}
		offset += int64(len(data))
	}
}

// abandon handles an error while the answer of a local attempt is read. If the
// request has ended, or the answer can't be used, it cancels the attempt; only an attempt that had not been
// sent counts as not run.
func (x *execution) abandon(ctx context.Context, attempt string, err error) error {
	if errors.Is(err, errOtherVersion) {
		x.e.owner.Cancel(attempt)
		return err
	}
	if ctx.Err() == nil {
		return err
	}
	if x.e.owner.Cancel(attempt) {
		return core.NotRun(http.StatusServiceUnavailable, "cancelled", "the request was cancelled before it was sent", 0)
	}
	return x.deadlineError(err)
}

// deadlineError returns the error of an attempt whose answer this entry stopped
// reading: err itself if it is a RequestError, otherwise a timeout.
func (x *execution) deadlineError(err error) error {
	var re *core.RequestError
	if errors.As(err, &re) {
		return re
	}
	out := core.MayHaveRun("deadline", "the answer was not whole by the deadline")
	out.Status = http.StatusGatewayTimeout
	return out
}

// attemptRemote makes an attempt at a runner that another daemon owns. When the
// connection breaks or stalls, the rest of the answer is read over a new one. When
// the owner has not received the attempt, it is barred there; only then is it
// certain that the attempt does not run.
func (x *execution) attemptRemote(ctx context.Context, ownerName string, req owner.Request) error {
	m, err := x.e.members.Get(ownerName)
	if err != nil {
		return core.NotRun(http.StatusServiceUnavailable, "owner_unknown", "the runner's owner is not in the member list", time.Second)
	}
	sentAt := x.e.clock.Now()
	startOffset := x.relay.received()
	stream, err := x.e.dial(m.Peer).Dispatch(ctx, connect.NewRequest(DispatchToWire(req, sentAt)))
	if err == nil {
		err = x.readFrames(ctx, stream, req.AttemptID, 0)
		_ = stream.Close()
	} else {
		err = peer.FromConnectError(err)
	}
	if errors.Is(err, errOtherVersion) {
		_ = x.cancelRemote(m, req.AttemptID, sentAt, nil) // its outcome is that of the stream
		return err
	}
	if peer.IsDialError(err) && x.relay.received() == startOffset {
		return core.NotRun(http.StatusServiceUnavailable, "owner_unreachable", "cannot connect to the runner's owner", time.Second)
	}
	for try := 0; errors.Is(err, core.ErrUnavailable) && try < maxResumes && x.shouldResume(ctx, m); try++ {
		x.e.count("resumes")
		err = x.resume(ctx, m, req.AttemptID, startOffset)
	}
	if errors.Is(err, core.ErrNotFound) || ctx.Err() != nil {
		return x.cancelRemote(m, req.AttemptID, sentAt, err)
	}
	if errors.Is(err, core.ErrUnavailable) || errors.Is(err, core.ErrGone) {
		return core.MayHaveRun("owner_lost", "cannot read the rest of the answer from the runner's owner: "+err.Error())
	}
	return err
}

// shouldResume reports whether to reconnect to the same owner. If the request is
// repeatable and the owner is suspected of having failed, another runner answers
// sooner.
func (x *execution) shouldResume(ctx context.Context, m core.Member) bool {
	if ctx.Err() != nil {
		return false
	}
	now, err := x.e.members.Get(m.Name)
	return !x.request.Repeatable || err == nil && now.State < core.MemberSuspect
}

// readFrames copies the frames of an attempt, from offset on, to the caller's
// answer.
func (x *execution) readFrames(ctx context.Context, s *connect.ServerStreamForClient[peerv1.Frame], attempt string, offset int64) error {
	return copyFrames(ctx, s, x.relay, attempt, offset)
}

// resume reads the rest of an attempt's answer over a new connection.
// startOffset is the number of bytes received before the attempt began.
func (x *execution) resume(ctx context.Context, m core.Member, attempt string, startOffset int64) error {
	select {
	case <-ctx.Done():
		return core.ErrUnavailable
	case <-x.e.clock.After(resumeDelay):
	}
	offset := x.relay.received() - startOffset
	stream, err := x.e.dial(m.Peer).Resume(ctx, connect.NewRequest(&peerv1.ResumeRequest{Attempt: attempt, Offset: offset}))
	if err != nil {
		return peer.FromConnectError(err)
	}
	defer stream.Close()
	return x.readFrames(ctx, stream, attempt, offset)
}

// cancelRemote cancels an attempt at its owner: an attempt that has not arrived
// is barred and never runs, and one that has arrived is stopped. Unless the owner
// confirms that the attempt is barred, the outcome is uncertain. The confirmation
// counts only from the incarnation that the attempt was sent to, and only within
// owner.AttemptRetention, while that daemon still has the ids of ended attempts.
// Otherwise an owner could confirm that it never received an attempt that has run.
func (x *execution) cancelRemote(m core.Member, attempt string, sentAt time.Time, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	resp, err := x.e.dial(m.Peer).Cancel(ctx, connect.NewRequest(&peerv1.CancelRequest{Attempt: attempt}))
	confirmed := err == nil && resp.Msg.Barred && resp.Msg.Boot == m.Boot
	if confirmed && x.e.clock.Since(sentAt) < owner.AttemptRetention {
		return core.NotRun(http.StatusServiceUnavailable, "not_arrived", "the attempt had not reached the runner's owner", time.Second)
	}
	if cause == nil || errors.Is(cause, core.ErrNotFound) {
		return core.MayHaveRun("owner_lost", "the runner's owner has no record of the attempt")
	}
	return x.deadlineError(cause)
}
