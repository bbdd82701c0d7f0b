package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// stream is a stream of events. If it breaks off at its runner, it is resumed at another one
// if the route allows that.
type stream struct {
	ctx      context.Context
	j        *job
	runner   *core.Runner
	framing  core.Framing
	body     io.ReadCloser
	in       *eventReader
	ready    []byte
	err      error
	firstAt  time.Time
	lastAt   time.Time
	maxGap   time.Duration
	reads    int
	stepped  bool // an event of this runner has been read, from which the next step is measured
	harmless bool // the guard has been informed that this runner has worked on it for harmlessAfter
}

// recordEvent records the arrival of events and the longest pause between them.
func (s *stream) recordEvent() {
	now := s.j.d.clock.Now()
	if s.reads == 0 {
		s.firstAt = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.reads++
	s.j.stage = stageEvents
}

// newEventReader returns a reader of the events of a runner's answer. Whatever the runner sends shows
// that it works on the request, also a comment that is held back.
func (j *job) newEventReader(r *core.Runner, body io.Reader) *eventReader {
	loads := j.loadsOf(r)
	return &eventReader{in: body, budget: j.d.buffers, lastID: j.lastEvent, onRead: func() { loads.RecordActivity(r.ID) }}
}

// stream waits for the first event. If the answer breaks off before it, the request can
// still be retried at another runner or be refused.
func (j *job) stream(ctx context.Context, r *core.Runner, reply *core.Reply) (*core.Reply, error) {
	s := &stream{ctx: ctx, j: j}
	s.readFrom(r, reply)
	first, err := []byte(nil), error(nil)
	for {
		watch := j.watchForStall(ctx, s.runner, max(minStall, stallTargets*j.route.Target), 0)
		first, err = s.nextEvents()
		next := watch.stop(waitEndOf(err))
		if next == nil {
			break
		}
		reply = next.reply
		s.replaceBy(next)
	}
	r = s.runner
	if err != nil && err != io.EOF {
		s.in.close()
		_ = reply.Body.Close()
		return nil, j.handleError(ctx, r, eris.Wrap(err, "before the first event"))
	}
	if s.in.events > 0 || s.in.partial {
		if err := j.begin(r, reply); err != nil {
			s.in.close()
			_ = reply.Body.Close()
			return nil, j.handleError(ctx, r, err)
		}
	}
	j.committed = s.in.partial
	reply.Header.Del("Content-Length") // of this run alone; the stream may be resumed
	s.ready, s.err = first, err
	j.answerBegan()
	if j.engine() && !isDaemon(r) {
		j.d.pacer.ObserveFirstEvent(j.service, j.q.InputTokens, j.d.clock.Since(j.sentAt))
	}
	j.loadsOf(r).Answered(r.ID)
	s.recordEvent()
	s.stepped = s.in.events > 0
	reply.Body = s
	return reply, nil
}

// readFrom makes the stream go on with an answer.
func (s *stream) readFrom(r *core.Runner, reply *core.Reply) {
	s.runner, s.body, s.framing, s.in = r, reply.Body, reply.Framing, s.j.newEventReader(r, reply.Body)
	s.harmless, s.stepped = false, false
}

// replaceBy makes the stream go on with the answer that takes the place of a silent runner's. What that one
// has sent in the last moment is dropped, as the other one sends it too.
func (s *stream) replaceBy(next *replacement) {
	_ = s.body.Close()
	s.in.close()
	if s.j.begun {
		s.logResumed(next.runner)
	}
	s.readFrom(next.runner, next.reply)
}

// logResumed logs that the stream goes on at another runner.
func (s *stream) logResumed(to *core.Runner) {
	s.j.log.Info(logs.StreamResumed, zap.String("runner", to.ID), zap.String("version", to.Version), zap.String("after", s.j.lastEvent), zap.String("broken", s.runner.ID), zap.String("brokenversion", s.runner.Version),
		zap.Int64("bytes", s.in.bytes), zap.Int("events", s.in.events), zap.Int("leftover", s.in.leftover))
}

// Read returns events as they arrive. It returns io.EOF only at the stream's proper
// end.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.ready, s.err = s.next()
		if s.err == io.EOF {
			s.j.loadsOf(s.runner).RecordSuccess(s.runner.ID)
			s.j.d.guard.Served(s.j.q.Digest)
			s.j.run.Whole()
			if !isDaemon(s.runner) {
				s.j.d.pacer.ObserveStream(s.j.service, s.lastAt.Sub(s.firstAt))
				s.j.observeStream(s.lastAt.Sub(s.firstAt))
			}
		}
		if s.err != nil && s.err != io.EOF {
			s.err = s.resume(s.err)
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// next waits for the next events.
func (s *stream) next() ([]byte, error) {
	s.j.lastEvent = s.in.lastID
	for {
		watch := s.j.watchForStall(s.ctx, s.runner, max(minStall, stallGaps*s.j.route.MaxGap), 0)
		began, events := s.j.d.clock.Now(), s.in.events
		ready, err := s.nextEvents()
		if next := watch.stop(waitEndOf(err)); next != nil {
			s.replaceBy(next)
			continue
		}
		if err == nil {
			s.observeStep(began, s.in.events-events)
		}
		s.j.committed = s.in.partial
		if err == nil || err == io.EOF {
			s.recordEvent()
		}
		if err == nil {
			s.reportHarmless()
			s.j.answerBegan()
		}
		return ready, err
	}
}

// nextEvents reads the next events of the run. Its error is io.EOF only if the answer is complete.
func (s *stream) nextEvents() ([]byte, error) {
	ready, err := s.in.next()
	if err == io.EOF && s.in.events == 0 && s.framing == core.FramingClose {
		ready, err = nil, errNoEvent
	}
	if err == io.EOF {
		if err = s.j.confirmEnd(s.ctx, s.runner, s.framing); err != io.EOF {
			return nil, err
		}
	}
	if errors.Is(err, errInsideEvent) || errors.Is(err, errNoEvent) {
		err = endedEarly(s.framing, err)
	}
	return ready, err
}

// reportHarmless informs the guard, once per runner, that the request is harmless there.
func (s *stream) reportHarmless() {
	if !s.harmless && s.j.harmless() {
		s.harmless = true
		s.j.run.Worked(s.j.q.Digest)
	}
}

// resume continues the stream at another runner after the last event passed on. It first
// closes the connection to the previous runner, so that no two runners work on one request.
// While the caller waits for the next event, runners may get free slots, or the model may be
// loaded.
func (s *stream) resume(cause error) error {
	_ = s.body.Close()
	s.in.close()
	j := s.j
	j.lastEvent = s.in.lastID
	if err := j.handleError(s.ctx, s.runner, eris.Wrap(cause, "stream")); err != nil {
		return err
	}
	if err := j.learnOrigin(s.ctx); err != nil {
		return err
	}
	j.resumed, j.placementRequested = true, false
	until, rejections, refusals := s.lastAt.Add(j.eventWait()), 0, 0
	for {
		r, err := s.chooseUntil(until, resumeInterval<<rejections)
		if err != nil {
			return err
		}
		runs := j.runs
		reply, r, err := j.send(s.ctx, r)
		if err == nil && !reply.Info.NotRun {
			if _, err = j.checkOrigin(r, reply); err != nil {
				_ = reply.Body.Close()
			}
		}
		if err == nil && reply.Status == http.StatusOK && checkStamp(reply) == nil {
			s.logResumed(r)
			s.readFrom(r, reply)
			return nil
		}
		switch {
		case err != nil:
			err = j.handleError(s.ctx, r, err)
		case reply.Info.NotRun:
			_ = reply.Body.Close()
			if rejections++; rejections < resumeRejections {
				j.rejections = 0
			}
			err = j.handleRejection(r, reply)
		default:
			_ = reply.Body.Close()
			err = j.handleError(s.ctx, r, eris.Wrapf(core.ErrAnswerLost, "status %d", reply.Status))
		}
		if err == nil {
			continue
		}
		// Another daemon that has no room at first, and has not run the request, may have some soon.
		if !isDaemon(r) || j.runs > runs || !s.pause(until, forwardInterval<<refusals) || rejectedElsewhere(err) && !j.spendOnNext(j.reserveRetry(retryRejected)) {
			return err
		}
		refusals++
	}
}

// pause waits before the stream looks for a runner again. It returns false if the caller does not wait
// that long.
func (s *stream) pause(until time.Time, d time.Duration) bool {
	if s.ctx.Err() != nil || !s.j.d.clock.Now().Add(d).Before(until) {
		return false
	}
	core.Sleep(s.ctx, s.j.d.clock, d)
	// Runners and daemons without capacity before may have some now.
	s.j.tried = map[string]bool{s.runner.ID: true}
	return true
}

// chooseUntil is like nextRunner for a stream whose caller waits for an event until a given
// time. It tries again after each pause.
func (s *stream) chooseUntil(until time.Time, pause time.Duration) (*core.Runner, error) {
	j := s.j
	for {
		r, err := j.choose(s.ctx)
		if err == nil {
			if ok, err := j.permit(s.ctx, r); ok || err != nil {
				return r, err
			}
			continue
		}
		if !j.d.pathLost() && !j.versionServes(s.runner.ID) {
			err = errVersionGone // its caller may take it up at once, at the same runner too
		}
		if slices.Contains(finalReasons, err) || err == errBackoff && !j.backoffUntil.Before(until) || !s.pause(until, pause) {
			return nil, j.refuseFor(err)
		}
	}
}

// eventWait returns how long the caller waits for the next event of a stream.
func (j *job) eventWait() time.Duration {
	return max(minEventWait, eventWaitTargets*j.route.Target, eventWaitGaps*j.route.MaxGap) - eventWaitMargin
}

// Close ends the stream. A runner still working on it stops.
func (s *stream) Close() error {
	if s.err != io.EOF && s.ctx.Err() == nil {
		s.j.d.metrics.cut()
	}
	s.in.close()
	err := s.err
	if err == io.EOF {
		err = nil
	}
	s.j.log.Info(logs.StreamEnded, zap.String("runner", s.runner.ID), zap.String("version", s.runner.Version), zap.String("resumes", s.j.q.Resumes), zap.Duration("first", s.firstAt.Sub(s.j.q.Arrived)),
		zap.Duration("target", s.j.route.Target), zap.Duration("gap", s.maxGap), zap.Duration("maxgap", s.j.route.MaxGap), zap.Int("reads", s.reads), zap.Bool("whole", s.err == io.EOF),
		zap.String("framing", string(s.j.framing)), zap.Int64("bytes", s.in.bytes), zap.Int("events", s.in.events), zap.Int("leftover", s.in.leftover), logs.Err(err), zap.Duration("took", s.lastAt.Sub(s.j.q.Arrived)))
	return s.body.Close()
}
