package dispatch

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"primroseward/core"
)

// tracer is the name of the tracer for spans of attempts.
const tracer = "primroseward"

// send sends the request to a runner, or forwards it to a daemon, and counts it as in progress
// there until the answer's body is closed. It returns the runner that has answered, which is another one
// if this one was silent for long.
func (j *job) send(ctx context.Context, r *core.Runner) (*core.Reply, *core.Runner, error) {
	if isDaemon(r) {
		return j.forward(ctx, r)
	}
	releaseRoom, probe := j.releaseRoom, j.probe
	j.releaseRoom, j.probe = func() {}, false
	endProbe := func(bool) {}
	if probe {
		endProbe = func(answered bool) { j.d.available.EndProbe(r.ID, answered) }
	}
	left := j.deadline.Sub(j.d.clock.Now())
	if left <= 0 {
		releaseRoom()
		endProbe(false)
		return nil, r, eris.Wrap(core.ErrNotSent, "deadline exceeded")
	}
	out := core.Outgoing{Timeout: left, Instance: r.ID, Priority: -1, LastEvent: j.lastEvent, Accepts: func() bool { return j.d.accepts(r, probe) }}
	if j.q.Model != "" {
		out.Priority = j.priority()
		j.sentPriority = out.Priority
		if out.Priority > j.rank() {
			j.d.metrics.sentLate()
		}
	}
	if j.q.Workspace != nil {
		out.Workspace = j.q.Workspace.Name
	}
	j.observeTokens()
	j.chargeAllowance()
	j.sends++
	j.chargeLimit(r.ID)
	j.sentAt, j.stage, j.framing = j.d.clock.Now(), stageSent, ""
	j.tried[r.ID] = true
	ctx, span := otel.Tracer(tracer).Start(ctx, "attempt", trace.WithAttributes(attribute.String("runner", r.ID), attribute.Int("number", j.sends)))
	sent := j.d.loads.BeginSend(r.ID)
	sending, cancelSend := context.WithCancel(ctx)
	done := j.d.byRunner.add(r.ID, cancelSend)
	answerBegan := j.addUnanswered(cancelSend)
	run := j.d.guard.RunBegan(j.parts, modelOf(j.q))
	j.cancelSend, j.answerBegan, j.run = cancelSend, answerBegan, run
	end := func() {
		run.Ended()
		span.End()
		done()
		answerBegan()
		cancelSend()
		sent.End()
		releaseRoom()
		j.d.backlog.Ended(core.CodeOf(r.ID))
	}
	reply, next, err := j.sendWithStallCheck(ctx, sending, r, out)
	if next != nil {
		endProbe(false)
		end()
		return next.reply, next.runner, nil
	}
	endProbe(err == nil && reply.Status != http.StatusMisdirectedRequest)
	if err == nil && !reply.Info.NotRun || err != nil && !errors.Is(err, core.ErrNotSent) {
		j.runs++
	}
	if errors.Is(err, core.ErrNotSent) {
		j.d.limits.Refund(r.ID)
	}
	if err != nil {
		span.RecordError(err)
		end()
		return nil, r, err
	}
	sent.Answered()
	j.stage, j.framing, j.answeredAt = stageHead, reply.Framing, j.d.clock.Now()
	reply.Body = &closeHook{ReadCloser: reply.Body, onClose: end}
	return reply, r, nil
}

// repeatable reports whether the request may be sent again after it may have run.
func (j *job) repeatable() bool { return j.route.Repeatable() && j.effective.Repeatable }

// attemptsLeft reports whether the route allows one more run in addition to the pending ones.
func (j *job) attemptsLeft(pending int) bool {
	return j.repeatable() && !j.committed && j.runs+pending < j.maxRuns()
}

// maxRuns returns how many sends may run: as many as the route allows, or as another daemon that
// has forwarded the request.
func (j *job) maxRuns() int {
	if f := j.q.Forward; f != nil {
		return min(j.route.MaxAttempts, f.Runs+f.Attempts)
	}
	return j.route.MaxAttempts
}
