package dispatch

import (
	"context"
	"math"
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
	reply, err := j.senderTo(r).Send(ctx, r, j.q, out)
	if err == nil {
		j.loadsOf(r).RecordActivity(r.ID)
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
	s := &stallWatch{job: j, runner: r, limit: limit, pending: pending, cancelSend: j.cancelSend, began: j.d.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.repeatable() {
		s.timer = j.d.clock.AfterFunc(min(limit, lostPathInterval), s.check)
	}
	return s
}

// lostPathInterval is how often a request that waits for its answer looks whether this daemon has
// lost its path to the runners, or to its runner. If so it is sent elsewhere once its runner has sent
// nothing for lostPathSilence, or for unansweringSilence: one that is sent to find out whether the
// runner answers again needs time for an answer.
const (
	lostPathInterval   = 300 * time.Millisecond
	lostPathSilence    = 200 * time.Millisecond
	unansweringSilence = 700 * time.Millisecond
)

// stallLimit returns after which silence of the runner the request is sent elsewhere. Only streams
// leave a runner that is silent while this daemon has a path to the others.
func (s *stallWatch) stallLimit() time.Duration {
	switch {
	case !isDaemon(s.runner) && s.job.d.pathLost():
		return lostPathSilence
	case !isDaemon(s.runner) && s.job.d.loads.IsUnanswering(s.runner.ID):
		return unansweringSilence
	case s.job.route.Kind == core.KindStream:
		return s.limit
	}
	return math.MaxInt64
}

// stallWatch detects that a runner has stalled.
type stallWatch struct {
	job        *job
	runner     *core.Runner
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
	lastSign := s.job.loadsOf(s.runner).LastActivity(s.runner.ID)
	if lastSign.Before(s.began) {
		lastSign = s.began
	}
	idle, limit := clock.Since(lastSign), s.stallLimit()
	if idle < limit {
		s.timer = clock.AfterFunc(min(limit-idle, lostPathInterval), s.check)
		return
	}
	if !s.job.reserveResume(s.runner, s.pending) {
		// A slow answer is better than one that breaks off.
		s.timer = clock.AfterFunc(s.limit/2, s.check)
		return
	}
	s.job.log.Info(logs.RunnerStalled, zap.String("runner", s.runner.ID), zap.Duration("idle", idle), zap.Duration("limit", limit), zap.String("stage", string(s.job.stage)),
		zap.Bool("pathlost", s.job.d.pathLost()), zap.Int("runs", s.job.runs))
	s.cancelSend()
}

// reserveResume reports whether the request can be sent elsewhere than to its silent runner now, and
// takes a retry from the budget for it. It reads and writes the job without a lock of its own: the job
// waits for its runner meanwhile, which the lock of the stallWatch ensures.
func (j *job) reserveResume(silent *core.Runner, pending int) bool {
	if !j.attemptsLeft(pending) {
		return false
	}
	_, candidates := j.candidates()
	forward := j.d.pathLost() || policy.AllDown(candidates) && j.d.loads.IsUnanswering(silent.ID)
	if policy.Choose(candidates, j.requirements()) < 0 && !(forward && j.hasHelper()) {
		return false
	}
	j.retryReserved = j.retryReserved || j.d.budget.TakeRetry(j.service)
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
