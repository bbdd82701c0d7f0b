package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// sendOrStall gives a stream that may be repeated up when its runner is silent.
func (j *job) sendOrStall(ctx context.Context, r *core.Runner, out core.Outgoing) (*core.Reply, error) {
	watch := j.watchSilence(r, max(stallLeast, stallTargets*j.route.Target), 1)
	defer watch.stop()
	reply, err := j.d.sender.Send(ctx, r, j.q, out)
	if err == nil {
		j.d.loads.Note(r.ID)
	}
	return reply, err
}

// watchSilence drops the latest send's connection when its runner has been
// silent for a time, if the stream may go on elsewhere. A runner that loses its
// power or its network resets nothing: its streams stand still until the caller
// gives up two seconds later, and only silence tells. A runner that sends
// anything else in that time is alive and only slow; to leave it would move the
// load of an overloaded runner to the next one. pending is how many sends are not
// counted as runs yet.
func (j *job) watchSilence(r *core.Runner, limit time.Duration, pending int) *silence {
	s := &silence{job: j, runner: r.ID, limit: limit, pending: pending, drop: j.drop, began: j.d.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.route.Kind == core.KindStream && j.repeatable() {
		s.timer = j.d.clock.AfterFunc(limit, s.check)
	}
	return s
}

// silence is a watch of one runner.
type silence struct {
	job     *job
	runner  string
	limit   time.Duration
	pending int
	drop    context.CancelFunc
	began   time.Time
	mu      sync.Mutex
	timer   clockwork.Timer
}

func (s *silence) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	clock := s.job.d.clock
	heard := s.job.d.loads.LastHeard(s.runner)
	if heard.Before(s.began) {
		heard = s.began
	}
	if quiet := clock.Since(heard); quiet < s.limit {
		s.timer = clock.AfterFunc(s.limit-quiet, s.check)
		return
	}
	if !s.job.mayMove(s.pending) {
		// A slow answer is better than a cut one.
		s.timer = clock.AfterFunc(s.limit/2, s.check)
		return
	}
	s.job.log.Info(logs.RunnerMute, zap.String("runner", s.runner), zap.Duration("limit", s.limit))
	s.drop()
}

// mayMove says whether a stream can go on elsewhere now, and keeps a repeat of the
// budget for it. It is called while the job waits for its runner, which the watch's
// lock sees to.
func (j *job) mayMove(pending int) bool {
	if !j.attemptsLeft(pending) {
		return false
	}
	if _, candidates := j.candidates(); policy.Choose(candidates, j.ask()) < 0 {
		return false
	}
	j.kept = j.d.budget.Repeat(j.service)
	return j.kept
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
