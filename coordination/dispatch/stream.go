package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// whole is an answer in memory.
type whole struct{ *bytes.Reader }

func newWhole(data []byte) io.ReadCloser { return whole{bytes.NewReader(data)} }

func (whole) Close() error { return nil }

// stream is a series of events. When its runner breaks off it goes on at
// another one, if its route allows that.
type stream struct {
	ctx     context.Context
	j       *job
	runner  *core.Runner
	body    io.ReadCloser
	in      *eventReader
	ready   []byte
	ended   error
	firstAt time.Time
	lastAt  time.Time
	maxGap  time.Duration
	count   int
	proven  bool // the guard knows that this runner has worked on it for long
}

// arrived keeps how long the pauses between events were.
func (s *stream) arrived() {
	now := s.j.d.clock.Now()
	if s.count == 0 {
		s.firstAt = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.count++
	s.j.stage = stageEvents
	s.j.d.loads.Note(s.runner.ID)
}

// stream waits for the first event, so that a runner that breaks off before it
// can still be answered for by another, or by a refusal.
func (j *job) stream(ctx context.Context, r *core.Runner, reply *core.Reply) (*core.Reply, error) {
	s := &stream{ctx: ctx, j: j, runner: r, body: reply.Body, in: &eventReader{in: reply.Body, last: j.last}}
	watch := j.watchSilence(r, max(stallLeast, stallTargets*j.route.Target), 0)
	first, err := s.in.next()
	watch.stop()
	if err != nil && err != io.EOF {
		_ = reply.Body.Close()
		return nil, j.afterError(ctx, r, eris.Wrap(err, "before the first event"))
	}
	s.ready, s.ended = first, err
	j.began()
	if j.engine() {
		j.d.pace.Learn(j.service, j.q.Input, j.d.clock.Since(j.sentAt))
	}
	j.d.loads.Answered(r.ID)
	s.arrived()
	reply.Body = s
	return reply, nil
}

// Read returns events as they come. Its error is io.EOF only at the stream's
// own end.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.ended != nil {
			return 0, s.ended
		}
		s.ready, s.ended = s.next()
		if s.ended == io.EOF {
			s.j.d.loads.Worked(s.runner.ID)
			s.j.d.guard.Worked(s.j.q.Digest)
			s.j.d.pace.Ended(s.j.service, s.lastAt.Sub(s.firstAt))
		}
		if s.ended != nil && s.ended != io.EOF {
			s.ended = s.resume(s.ended)
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// next waits for the next events.
func (s *stream) next() ([]byte, error) {
	watch := s.j.watchSilence(s.runner, max(stallLeast, stallGaps*s.j.route.MaxGap), 0)
	defer watch.stop()
	ready, err := s.in.next()
	if err == nil || err == io.EOF {
		s.arrived()
	}
	if err == nil {
		s.prove()
		s.j.began()
	}
	return ready, err
}

// prove tells the guard once that the runner has worked on the stream for long.
func (s *stream) prove() {
	if s.proven || !s.j.proven() {
		return
	}
	s.proven = true
	s.j.d.guard.Worked(s.j.q.Digest)
}

// resume goes on at another runner after the last event passed on. The runner
// before is let go of first: two must not work on one request. As long as the caller
// waits for the next event, room may come free, or a model be loaded.
func (s *stream) resume(cause error) error {
	_ = s.body.Close()
	j := s.j
	j.last = s.in.last
	if err := j.afterError(s.ctx, s.runner, eris.Wrap(cause, "stream")); err != nil {
		return err
	}
	j.resumed, j.asked = true, false
	until, rejects := s.lastAt.Add(j.eventWait()), 0
	for {
		r, err := s.nextUntil(until, resumeEvery<<rejects)
		if err != nil {
			return err
		}
		reply, err := j.send(s.ctx, r)
		if err == nil && reply.Status == http.StatusOK && check(reply) == nil {
			j.log.Info(logs.StreamResumed, zap.String("runner", r.ID), zap.String("after", j.last))
			s.runner, s.body, s.in = r, reply.Body, &eventReader{in: reply.Body, last: j.last}
			s.proven = false
			return nil
		}
		switch {
		case err != nil:
			err = j.afterError(s.ctx, r, err)
		case reply.Info.NotRun:
			_ = reply.Body.Close()
			if rejects++; rejects < resumeRejections {
				j.rejects = 0
			}
			err = j.afterRejection(r, reply)
		default:
			_ = reply.Body.Close()
			err = j.afterError(s.ctx, r, eris.Wrapf(core.ErrLost, "status %d", reply.Status))
		}
		if err != nil {
			return err
		}
	}
}

// nextUntil is next for a stream whose caller waits for an event until a time. It looks
// again after each pause.
func (s *stream) nextUntil(until time.Time, pause time.Duration) (*core.Runner, error) {
	j := s.j
	for {
		r, err := j.choose(s.ctx)
		if err == nil {
			return j.permit(s.ctx, r)
		}
		if s.ctx.Err() != nil || !j.d.clock.Now().Add(pause).Before(until) {
			return nil, j.refuseFor(err)
		}
		core.Sleep(s.ctx, j.d.clock, pause)
		// Runners that had no room may have some now.
		j.tried = map[string]bool{s.runner.ID: true}
	}
}

// eventWait is how long the caller waits for the next event of a stream.
func (j *job) eventWait() time.Duration {
	return max(eventWaitLeast, eventWaitTargets*j.route.Target, eventWaitGaps*j.route.MaxGap) - eventWaitMargin
}

// Close ends the stream; a runner that still works on it stops.
func (s *stream) Close() error {
	if s.ended != io.EOF && s.ctx.Err() == nil {
		s.j.d.metrics.cut()
	}
	s.j.log.Info(logs.StreamEnded, zap.String("runner", s.runner.ID), zap.Duration("first", s.firstAt.Sub(s.j.q.Arrived)),
		zap.Duration("target", s.j.route.Target), zap.Duration("gap", s.maxGap), zap.Duration("maxgap", s.j.route.MaxGap), zap.Int("reads", s.count), zap.Bool("whole", s.ended == io.EOF), zap.Duration("took", s.lastAt.Sub(s.j.q.Arrived)))
	return s.body.Close()
}
