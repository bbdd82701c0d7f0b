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

// sendWithStallCheck sends the request, and gives up the attempt of a resumable stream if its
// runner sends nothing.
func (j *job) sendWithStallCheck(ctx context.Context, r *core.Runner, out core.Outgoing) (*core.Reply, error) {
	watch := j.watchForStall(r, max(minStall, stallTargets*j.route.Target), 1)
	defer watch.stop()
	reply, err := j.d.sender.Send(ctx, r, j.q, out)
	if err == nil {
		j.d.loads.RecordActivity(r.ID)
	}
	return reply, err
}

// watchForStall cancels the latest send when its runner has sent nothing for the given limit,
// if the stream can be resumed elsewhere. A runner that loses its power or its network does
// not reset its connections: its streams stall until the caller gives up two seconds later,
// and silence is the only sign. A runner that sends anything on any of its connections in that
// time is only slow, and leaving it would move the load of an overloaded runner to the next
// one. pending is the number of sends that are not counted as runs yet.
func (j *job) watchForStall(r *core.Runner, limit time.Duration, pending int) *stallWatch {
	s := &stallWatch{job: j, runner: r.ID, limit: limit, pending: pending, cancelSend: j.cancelSend, began: j.d.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.route.Kind == core.KindStream && j.repeatable() {
		s.timer = j.d.clock.AfterFunc(limit, s.check)
	}
	return s
}

// stallWatch detects that a runner has stalled.
type stallWatch struct {
	job        *job
	runner     string
	limit      time.Duration
	pending    int
	cancelSend context.CancelFunc
	began      time.Time
	mu         sync.Mutex
	timer      clockwork.Timer
}

func (s *stallWatch) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	clock := s.job.d.clock
	lastSign := s.job.d.loads.LastActivity(s.runner)
	if lastSign.Before(s.began) {
		lastSign = s.began
	}
	if idle := clock.Since(lastSign); idle < s.limit {
		s.timer = clock.AfterFunc(s.limit-idle, s.check)
		return
	}
	if !s.job.reserveResume(s.pending) {
		// A slow answer is better than one that breaks off.
		s.timer = clock.AfterFunc(s.limit/2, s.check)
		return
	}
	s.job.log.Info(logs.RunnerStalled, zap.String("runner", s.runner), zap.Duration("limit", s.limit))
	s.cancelSend()
}

// reserveResume reports whether the stream can be resumed elsewhere now, and takes a retry from
// the budget for it. It reads and writes the job without a lock of its own: the job waits for
// its runner meanwhile, which the lock of the stallWatch ensures.
func (j *job) reserveResume(pending int) bool {
	if !j.attemptsLeft(pending) {
		return false
	}
	if _, candidates := j.candidates(); policy.Choose(candidates, j.requirements()) < 0 {
		return false
	}
	j.retryReserved = j.d.budget.TakeRetry(j.service)
	return j.retryReserved
}

func (s *stallWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
