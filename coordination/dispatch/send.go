package dispatch

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"primroseward/core"
)

// tracer names the spans of attempts.
const tracer = "primroseward"

// send sends the request to a runner and keeps count of it until the answer's
// body is closed.
func (j *job) send(ctx context.Context, r *core.Runner) (*core.Reply, error) {
	left := j.deadline.Sub(j.d.clock.Now())
	if left <= 0 {
		return nil, eris.Wrap(core.ErrNotSent, "deadline exceeded")
	}
	out := core.Outgoing{Timeout: left, Instance: r.ID, Priority: -1, LastEvent: j.last}
	if j.q.Model != "" {
		out.Priority = j.rank()
	}
	if j.q.Workspace != nil {
		out.Workspace = j.q.Workspace.Name
	}
	j.charge()
	if j.sends == 0 {
		j.d.budget.First(j.service)
	}
	j.sends++
	j.sent(r.ID)
	j.sentAt, j.stage = j.d.clock.Now(), stageSent
	j.tried[r.ID] = true
	ctx, span := otel.Tracer(tracer).Start(ctx, "attempt", trace.WithAttributes(attribute.String("runner", r.ID), attribute.Int("number", j.sends)))
	leave := j.d.loads.Begin(r.ID)
	ctx, j.drop = context.WithCancel(ctx)
	done := j.d.sent.add(r.ID, j.drop)
	j.began = j.d.asked.add(j.q.Digest, j.drop)
	reply, err := j.sendOrStall(ctx, r, out)
	if err == nil && !reply.Info.NotRun || err != nil && !errors.Is(err, core.ErrNotSent) {
		j.runs++
	}
	if errors.Is(err, core.ErrNotSent) {
		j.d.limits.Give(r.ID)
	}
	if err != nil {
		span.RecordError(err)
		span.End()
		done()
		j.began()
		j.drop()
		leave()
		return nil, err
	}
	j.stage, j.begunAt = stageHead, j.d.clock.Now()
	j.d.limits.Answered(r.ID, reply.Info)
	if reply.Info.Load != nil {
		j.d.loads.Said(r.ID, *reply.Info.Load)
	}
	drop, began := j.drop, j.began
	reply.Body = &ending{ReadCloser: reply.Body, end: func() {
		span.End()
		done()
		began()
		drop()
		leave()
	}}
	return reply, nil
}

// repeatable says whether the request may be sent again after it may have run.
func (j *job) repeatable() bool { return j.route.Repeatable() && j.eff.Repeat }

// mayRepeat takes one more send from the budget, if the route allows one.
func (j *job) mayRepeat() bool {
	kept := j.kept
	j.kept = false
	return j.attemptsLeft(0) && (kept || j.d.budget.Repeat(j.service))
}

// attemptsLeft says whether the route allows one more run besides those that are pending.
func (j *job) attemptsLeft(pending int) bool {
	return j.repeatable() && j.runs+pending < j.route.MaxAttempts
}
