package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// provenAfter is how long a runner must have sent events of a stream for it to count
// as harmless there. A request that ends its runner does so when it is begun; long
// streams that are cut again and again by others' doing never come to their end.
const provenAfter = 2 * time.Second

// enter refuses a request that may not be served now, and counts it in. Its workspace's
// allowance comes last: what is refused for another reason takes nothing of it.
func (j *job) enter() (leave func(), err error) {
	if left := j.d.guard.Held(j.q.Digest); left > 0 {
		return nil, j.heldBack(left)
	}
	leave, err = j.hold()
	if err != nil {
		return nil, err
	}
	if err := j.admit(); err != nil {
		leave()
		return nil, err
	}
	return leave, nil
}

// next finds the runner for the next send. The guard is asked last, before each send: the
// request may have come to be held back while it waited, or by its own doing at the runner
// before.
func (j *job) next(ctx context.Context) (*core.Runner, error) {
	r, err := j.choose(ctx)
	if err != nil {
		return nil, j.refuseFor(err)
	}
	return j.permit(ctx, r)
}

// permit asks whether the request may be sent to a runner now.
func (j *job) permit(ctx context.Context, r *core.Runner) (*core.Runner, error) {
	if retry, ok := j.d.guard.Admit(ctx, j.q.Digest); !ok {
		return nil, j.heldBack(retry)
	}
	return r, j.authorize()
}

// heldBack is the answer to a request like one that has ended runners: what is true of
// this one, and when it may come back.
func (j *job) heldBack(retry time.Duration) error {
	j.log.Warn(logs.Refused, zap.String("code", core.CodeHeld), zap.Stringer("digest", j.q.Digest), zap.String("service", j.service),
		zap.String("model", j.q.Model), zap.Int("runs", j.runs), zap.Duration("retry", retry))
	return core.HeldBack(j.runs, retry)
}

// proven says whether the runner has worked for long on the request.
func (j *job) proven() bool {
	return j.stage == stageEvents && j.d.clock.Since(j.begunAt) >= provenAfter
}

// broke tells the guard of a connection that the runner has closed. A runner that had
// said that it leaves was taken away by the platform. One whose entry is missing may only
// have lost it to an outage of the store, and counts.
func (j *job) broke(r *core.Runner, err error) {
	if !errors.Is(err, core.ErrClosed) || j.proven() {
		return
	}
	e := j.d.catalog.Runner(r.ID)
	if e == nil || e.Draining || !e.Born.Equal(r.Born) {
		return
	}
	j.d.guard.Broke(core.Broken{
		Digest: j.q.Digest, Runner: *r, Route: j.route.Name, Service: j.service,
		Begun: j.stage != stageSent || !j.engine(), Fresh: j.stage == stageHead && j.engine(),
	})
}

// Hold ends the sends of a request that has come to be held back and whose answer has
// not begun: they may still wait for their turn at a runner, which they would end.
func (d *Dispatcher) Hold(digest core.Digest) {
	for _, drop := range d.asked.take(digest) {
		drop()
	}
}
