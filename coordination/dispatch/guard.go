package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// harmlessAfter is how long a runner must have sent events of a stream before a crash counts against the
// request no more than against others that were there. Without this rule a long stream that is broken off again
// and again for other reasons would count as a cause and never complete.
const harmlessAfter = 2 * time.Second

// sharedParts returns the shared parts of a request's prompt.
func sharedParts(q *core.Request) []core.Part {
	workspace := ""
	if q.Workspace != nil {
		workspace = q.Workspace.Name
	}
	out := make([]core.Part, 0, len(q.SharedParts))
	for _, id := range q.SharedParts {
		out = append(out, core.NewPart(workspace, id).For(modelOf(q)))
	}
	return out
}

// modelOf returns the model and adapter that a request needs.
func modelOf(q *core.Request) string {
	if q.Adapter == "" {
		return q.Model
	}
	return q.Model + "/" + q.Adapter
}

// held returns for how much longer the request is held, 0 if it is not, and the part of its prompt
// that is the reason; a Part without ID if it is the request itself.
func (j *job) held() (left time.Duration, reason core.Part) {
	left, reason = j.d.guard.HoldRemaining(j.q.Digest), core.Part{Digest: j.q.Digest}
	for _, p := range j.parts {
		for _, d := range p.Digests() {
			if of := j.d.guard.HoldRemaining(d); of > left {
				left, reason = of, core.Part{ID: p.ID, Digest: d}
			}
		}
	}
	return left, reason
}

// guardAdmits reports whether the guard admits a send of the request now. If not, it returns when the
// caller may retry, and the reason as held does.
func (j *job) guardAdmits(ctx context.Context) (retry time.Duration, reason core.Part, ok bool) {
	if left, reason := j.held(); left > 0 {
		return left, reason, false // before a trial is taken that could not run
	}
	if retry, ok := j.d.guard.Admit(ctx, j.q.Digest); !ok {
		return retry, core.Part{Digest: j.q.Digest}, false
	}
	for _, p := range j.parts {
		for _, d := range p.Digests() {
			if retry, ok := j.d.guard.Admit(ctx, d); !ok {
				return retry, core.Part{ID: p.ID, Digest: d}, false
			}
		}
	}
	return 0, core.Part{}, true
}

// admit refuses a request that may not be served now, and counts it in otherwise. The
// workspace's allowance is checked last, so that requests refused for other reasons use
// none of it.
func (j *job) admit() error {
	if left, reason := j.held(); left > 0 {
		return j.refuseHeld(left, reason)
	}
	if err := j.applySettings(); err != nil {
		return err
	}
	if err := j.takeAllowance(); err != nil {
		j.leaveLimits()
		return err
	}
	return nil
}

// nextRunner finds the runner for the next send. It consults the guard last, before each send:
// a hold may have been set on the request while it waited, or because of what it did at the
// previous runner.
func (j *job) nextRunner(ctx context.Context) (*core.Runner, error) {
	w := &roomWait{j: j}
	j.wait = w
	r, err := j.nextRunnerAfter(ctx, w)
	w.end(err)
	return r, err
}

// nextRunnerAfter is nextRunner with a wait for room.
func (j *job) nextRunnerAfter(ctx context.Context, w *roomWait) (*core.Runner, error) {
	waitedForRoom := time.Duration(0)
	for waited := time.Duration(0); ; {
		if err := w.beforeChoice(ctx); err != nil {
			return nil, err
		}
		r, err := j.choose(ctx)
		if !j.freeSlotOnly && j.roomAwaited(ctx, err, &waitedForRoom) {
			continue
		}
		if w.awaitsRoom(err) {
			more, ended := w.await(ctx)
			if ended != nil {
				return nil, ended
			}
			if more || w.acceptsQueue() {
				continue
			}
		}
		if err == errBackoff && j.probeAwaited && waited < maxProbeWait {
			waited += probePollInterval
			core.Sleep(ctx, j.d.clock, probePollInterval)
			continue
		}
		if err != nil && w.waiter != nil && ctx.Err() != nil {
			w.outcome = waitEnded
			return nil, j.contextError(ctx, core.ErrNotSent)
		}
		if err != nil {
			return nil, j.refuseFor(err)
		}
		if ok, err := j.permit(ctx, r); ok || err != nil {
			return r, err
		}
	}
}

// permit reports whether the request may be sent to a runner now. If not, and without an
// error, the runner has stopped accepting requests since it was chosen, or other repeats have been sent since.
func (j *job) permit(ctx context.Context, r *core.Runner) (bool, error) {
	if j.q.Gone != nil && j.q.Gone() {
		return false, errCallerGone()
	}
	if err := j.awaitSpend(ctx); err != nil {
		return false, err
	}
	if isDaemon(r) {
		if err := j.authorize(); err != nil {
			return false, err
		}
		return j.spendRetry()
	}
	if retry, reason, ok := j.guardAdmits(ctx); !ok {
		return false, j.refuseHeld(retry, reason)
	}
	if err := j.authorize(); err != nil {
		return false, err
	}
	if !j.d.accepts(r, true) {
		return false, nil
	}
	release, ok := j.d.available.TakeRoom(r)
	if !ok {
		return false, nil
	}
	if ok, j.probe = j.d.available.Admit(r.ID); !ok {
		release()
		return false, nil
	}
	if spent, err := j.spendRetry(); !spent {
		release()
		if j.probe {
			j.d.available.EndProbe(r.ID, false)
		}
		return false, err
	}
	j.releaseRoom = release
	return true, nil
}

// refuseHeld refuses a request that is held because runners have crashed under identical ones, or under
// ones with the same part in their prompts. The error states whether this one may have run, and when to
// retry it.
func (j *job) refuseHeld(retry time.Duration, reason core.Part) error {
	j.log.Warn(logs.Refused, zap.String("code", core.CodeHeld), zap.Stringer("digest", j.q.Digest), j.partsField(), zap.String("part", reason.ID), zap.Stringer("held", reason.Digest), zap.String("service", j.service),
		zap.String("model", j.q.Model), zap.Int("runs", j.runs), zap.Duration("retry", retry))
	return core.HeldBack(j.runs, retry)
}

// harmless reports whether the runner has worked on the request for harmlessAfter.
func (j *job) harmless() bool {
	return j.stage == stageEvents && j.d.clock.Since(j.answeredAt) >= harmlessAfter
}

// reportClosed reports to the guard that the runner has closed the connection, or has ended its
// answer inside an event, as a process that exits may do. It leaves out runners that had announced that they leave, as the platform took those away. A runner
// whose entry is missing may only have lost it to an outage of the store, and counts.
func (j *job) reportClosed(r *core.Runner, err error) {
	if !errors.Is(err, core.ErrClosed) && !errors.Is(err, errInsideEvent) {
		return
	}
	e := j.d.catalog.Runner(r.ID)
	if e == nil || !e.Usable() || !e.StartedAt.Equal(r.StartedAt) {
		return
	}
	j.d.guard.ConnectionLost(core.LostRequest{
		Digest: j.q.Digest, Runner: *r, Route: j.route.Name, Service: j.service, Model: modelOf(j.q), Age: j.d.clock.Since(j.sentAt),
		MayHaveRun: j.stage != stageSent || !j.engine(), JustStarted: j.stage == stageHead && j.engine(), Worked: j.harmless(),
		Parts: j.parts,
	})
}

// addUnanswered holds a send whose answer has not begun under the request's digests, until the returned
// function is called.
func (j *job) addUnanswered(cancel context.CancelFunc) (answerBegan func()) {
	done := []func(){j.d.unanswered.add(j.q.Digest, cancel)}
	for _, p := range j.parts {
		for _, d := range p.Digests() {
			done = append(done, j.d.unanswered.add(d, cancel))
		}
	}
	return func() {
		for _, fn := range done {
			fn()
		}
	}
}

// CancelHeld cancels the sends of requests that are now held and whose answers have not begun. They
// may still be queued at a runner, which they would crash.
func (d *Dispatcher) CancelHeld(digest core.Digest) {
	for _, cancel := range d.unanswered.removeAll(digest) {
		cancel()
	}
}
