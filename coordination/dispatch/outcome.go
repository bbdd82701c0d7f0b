package dispatch

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// afterError decides on a send without a whole answer.
func (j *job) afterError(ctx context.Context, r *core.Runner, err error) error {
	if ctx.Err() != nil {
		return j.ended(ctx, err)
	}
	j.failed(r)
	j.broke(r, err)
	if errors.Is(err, core.ErrNotSent) {
		news := errors.Is(err, core.ErrNoListener) && j.d.loads.Refused(r.ID)
		j.log.Info(logs.RunnerUnreachable, zap.String("runner", r.ID), zap.Bool("news", news), logs.Err(err))
		if news {
			j.d.down()
		}
		if j.dials++; j.dials < maxDials {
			return nil
		}
		return j.refuse("unreachable", "no runner could be reached", err)
	}
	if j.mayRepeat() {
		j.log.Info(logs.AnswerRetried, append(j.lost(r), logs.Err(err))...)
		return nil
	}
	j.log.Warn(logs.AnswerLost, append(j.lost(r), zap.Int("runs", j.runs), logs.Err(err))...)
	return core.MayHaveRun("answer_lost", err.Error())
}

// stage is how far the answer to a send has come.
type stage string

// Stages of an answer. A runner that works on requests by turns sends the head when a
// request's turn comes.
const (
	stageSent   stage = "sent"
	stageHead   stage = "head"
	stageEvents stage = "events"
)

// lost tells of a send without a whole answer. Of the requests that were at a runner when
// it ended, those whose digest was there at other ends too may be the cause, and most of
// all those that the runner had just begun.
func (j *job) lost(r *core.Runner) []zap.Field {
	return []zap.Field{
		zap.String("runner", r.ID), zap.Stringer("digest", j.q.Digest), zap.Stringer("caller", j.q.Caller),
		zap.String("stage", string(j.stage)), zap.Duration("since", j.d.clock.Since(j.sentAt)),
	}
}

// failed marks a runner for a failed attempt, unless it was one at a former life of it.
func (j *job) failed(r *core.Runner) {
	if e := j.d.catalog.Runner(r.ID); e == nil || e.Born.Equal(r.Born) {
		j.d.loads.Failed(r.ID)
	}
}

// afterRejection decides on a runner's statement that it did not run the
// request.
func (j *job) afterRejection(r *core.Runner, reply *core.Reply) error {
	j.rejects++
	j.log.Info(logs.RunnerRejected, zap.String("runner", r.ID), zap.Int("status", reply.Status), zap.Int("rejections", j.rejects))
	if reply.Status == http.StatusMisdirectedRequest && j.q.Adapter != "" {
		j.d.catalog.Learn(r.ID, j.q.Model, j.q.Adapter, false)
	}
	if j.rejects >= maxRejections || !j.d.budget.Repeat(j.service) {
		return j.refuse("rejected", "the runners that may serve the request have no room", nil)
	}
	return nil
}

// ended is the answer to a request whose caller has gone or whose time is up.
func (j *job) ended(ctx context.Context, err error) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: statusClientGone, Code: "caller_gone", Message: "the caller has gone"}
	}
	if j.runs == 0 && errors.Is(err, core.ErrNotSent) {
		return j.refuse("timeout", "the deadline was reached before a runner was found", err)
	}
	j.log.Warn(logs.DeadlineExceeded, zap.Int("sends", j.sends))
	return &core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: http.StatusGatewayTimeout, Code: "timeout", Message: "the deadline was reached"}
}

// refuse is the answer to a request that has not run. One that may have run at
// an earlier attempt must not be called not run, even where it may be repeated:
// callers count on the word.
func (j *job) refuse(code, message string, err error) error {
	retry := policy.RetryAfter(j.route.Target, j.engine())
	if j.retry > 0 && (code == errAbsent.Error() || code == errDown.Error() || code == errLimited.Error()) {
		retry = j.retry
	}
	log := j.log
	if code == errLimited.Error() {
		log = log.With(j.atLimit...)
	}
	log.Warn(logs.Refused, zap.String("code", code), zap.String("service", j.service), zap.String("model", j.q.Model),
		zap.String("adapter", j.q.Adapter), zap.Int("runs", j.runs), zap.Int("rejections", j.rejects), zap.Strings("places", j.eff.Places), zap.Duration("retry", retry), logs.Err(err))
	if j.runs > 0 {
		return core.MayHaveRun(code, message)
	}
	return core.NotRun(http.StatusServiceUnavailable, code, message, retry)
}
