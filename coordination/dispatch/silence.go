package dispatch

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// sendWithStallCheck sends the request. ctx is that of the request, sending that of this send. While the
// runner sends nothing, the request may be sent elsewhere as well; if it is accepted there, that
// answer is returned as the replacement.
func (j *job) sendWithStallCheck(ctx, sending context.Context, r *core.Runner, out core.Outgoing) (*core.Reply, *replacement, error) {
	watch := j.watchForStall(ctx, r, max(minStall, stallTargets*j.route.Target), 1)
	sent := j.beginSend(r)
	out.Began = sent.Arrived
	reply, err := j.senderTo(r).Send(sending, r, j.q, out)
	recordArrival(sent, err)
	if err == nil {
		j.loadsOf(r).RecordActivity(r.ID)
	}
	ended := waitGoesOn
	if err != nil || reply.Info.NotRun || reply.Status >= http.StatusInternalServerError || checkStamp(reply) != nil {
		ended = waitFailed
	}
	next := watch.stop(ended)
	if next != nil && err == nil {
		_ = reply.Body.Close()
	}
	return reply, next, err
}

// waitEnd is how the wait for a runner has ended.
type waitEnd int

const (
	waitGoesOn   waitEnd = iota // the runner has answered, and works on
	waitComplete                // the answer is complete
	waitFailed                  // the runner has not answered, or refuses or fails the request
)

// waitEndOf returns how a wait for events has ended.
func waitEndOf(err error) waitEnd {
	switch err {
	case nil:
		return waitGoesOn
	case io.EOF:
		return waitComplete
	}
	return waitFailed
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

// hedgeInterval is the time after which a request whose runner is still silent is sent elsewhere again.
// It doubles after each failure, maxHedgeDoublings times at most. hedgeGrace is how long an attempt elsewhere
// may still be accepted once the runner goes on; runners answer within a few milliseconds, unless they queue
// the request.
const (
	hedgeInterval     = 50 * time.Millisecond
	maxHedgeDoublings = 5
	hedgeGrace        = 50 * time.Millisecond
)

// replacement is an answer that takes the place of the one of a silent runner.
type replacement struct {
	runner *core.Runner
	reply  *core.Reply
}

// stallWatch detects that a runner has stalled. It then sends the request elsewhere as well, and closes
// the connection to the runner only once it is accepted there: a sound runner may be silent for a
// second and go on. While the watch runs, the job waits for its runner, so that only one goroutine at a
// time uses the job.
type stallWatch struct {
	ctx        context.Context
	job        *job
	runner     *core.Runner
	limit      time.Duration
	pending    int
	cancelSend context.CancelFunc
	began      time.Time

	mu          sync.Mutex
	ended       bool // the wait for the runner has ended: the request is not sent elsewhere any more
	unneeded    bool // the runner has gone on
	timer       clockwork.Timer
	failures    int                // attempts elsewhere that were not accepted
	cancelHedge context.CancelFunc // of the attempt elsewhere in progress
	hedged      chan struct{}      // closed when it has ended; nil: none is in progress
	next        *replacement
}

// watchForStall starts a stallWatch for the latest send, with a limit on the silence of its runner, if the
// request may be sent elsewhere. A runner that loses its power or its network does not reset its
// connections: its streams stall until the caller gives up two seconds later, and silence is the only
// sign. A runner that sends anything on any of its connections in that time is only slow, and leaving it
// would move the load of an overloaded runner to the next one. pending is the number of sends that are
// not counted as runs yet.
func (j *job) watchForStall(ctx context.Context, r *core.Runner, limit time.Duration, pending int) *stallWatch {
	s := &stallWatch{ctx: ctx, job: j, runner: r, limit: limit, pending: pending, cancelSend: j.cancelSend, began: j.d.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.repeatable() {
		s.timer = j.d.clock.AfterFunc(min(limit, lostPathInterval), s.check)
	}
	return s
}

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

func (s *stallWatch) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
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
	if !s.job.reserveHedge(s.runner, s.pending) {
		s.timer = clock.AfterFunc(s.limit/2, s.check)
		return
	}
	s.job.log.Info(logs.RunnerStalled, zap.String("runner", s.runner.ID), zap.Duration("idle", idle), zap.Duration("limit", limit), zap.String("stage", string(s.job.stage)),
		zap.Bool("pathlost", s.job.d.pathLost()), zap.Int("runs", s.job.runs), zap.Int("failures", s.failures))
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelHedge, s.hedged = cancel, make(chan struct{})
	go s.runHedge(ctx)
}

// runHedge sends the request elsewhere, and closes the connection to the silent runner if it is accepted
// there. Otherwise the request is again as it was, but for the runs that it may have had elsewhere.
func (s *stallWatch) runHedge(ctx context.Context) {
	j := s.job
	former, runs := j.counts, j.pendingRuns(s.runner, s.pending)
	j.runs += runs
	j.silent = append(j.silent, s.runner.ID)
	j.recordSilent(s.runner)
	next, err := j.sendElsewhere(ctx)
	j.silent = j.silent[:len(j.silent)-1]
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.hedged)
	s.hedged = nil
	if next != nil && !s.unneeded {
		s.next = next
		j.d.metrics.hedged(hedgeAccepted)
		j.log.Info(logs.RunnerReplaced, zap.String("runner", s.runner.ID), zap.String("by", next.runner.ID), zap.Duration("waited", j.d.clock.Since(s.began)))
		s.cancelSend()
		return
	}
	if next != nil {
		_ = next.reply.Body.Close()
	}
	s.cancelHedge()
	j.counts = former
	j.runs -= runs
	outcome := hedgeFailed
	if s.unneeded {
		outcome = hedgeUnneeded
	}
	j.d.metrics.hedged(outcome)
	j.log.Info(logs.RunnerKept, zap.String("runner", s.runner.ID), zap.String("outcome", outcome), zap.Int("failures", s.failures), logs.Err(err))
	if !s.ended {
		s.timer = j.d.clock.AfterFunc(hedgeInterval<<min(s.failures, maxHedgeDoublings), s.check)
		s.failures++
	}
}

// stop ends the watch. It returns the answer that takes the place of the runner's, or nil. If the runner has
// failed, it waits for the attempt elsewhere in progress. If the runner goes on, that one has hedgeGrace
// left: a run that has begun there would go on beside the runner's.
func (s *stallWatch) stop(end waitEnd) *replacement {
	s.mu.Lock()
	s.ended = true
	if s.timer != nil {
		s.timer.Stop()
	}
	hedged := s.hedged
	s.mu.Unlock()
	if hedged != nil {
		switch end {
		case waitGoesOn:
			s.await(hedged, hedgeGrace)
		case waitComplete:
			s.await(hedged, 0)
		}
		<-hedged
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// await waits for the attempt elsewhere, and ends it after a time.
func (s *stallWatch) await(hedged <-chan struct{}, limit time.Duration) {
	timer := s.job.d.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-hedged:
	case <-timer.Chan():
		s.mu.Lock()
		s.unneeded = true
		s.mu.Unlock()
		s.cancelHedge()
	}
}

// reserveHedge reports whether the request can be sent elsewhere than to its silent runner now, and
// takes a retry from the budget for it.
func (j *job) reserveHedge(silent *core.Runner, pending int) bool {
	if !j.attemptsLeft(j.pendingRuns(silent, pending)) {
		return false
	}
	// Other runners may accept the request by now, but not those that have it already.
	j.tried = map[string]bool{silent.ID: true}
	for _, id := range j.silent {
		j.tried[id] = true
	}
	_, candidates := j.candidates()
	forward := j.d.pathLost() || policy.AllDown(candidates) && j.d.loads.IsUnanswering(silent.ID)
	if policy.Choose(candidates, j.requirements()) < 0 && !(forward && j.hasHelper()) {
		return false
	}
	if j.spare == nil {
		j.spare = j.reserveRetry(retrySilent)
	}
	return j.spare != nil
}

// pendingRuns returns how many runs the latest send may still be counted as.
func (j *job) pendingRuns(r *core.Runner, pending int) int {
	if isDaemon(r) {
		return j.granted
	}
	return pending
}

// recordSilent records that a runner, or a daemon, has been silent for so long that the request is sent
// elsewhere.
func (j *job) recordSilent(r *core.Runner) {
	if isDaemon(r) {
		j.d.helpers.Loads().RecordFailure(r.ID)
		return
	}
	j.markFailed(r)
	if j.d.loads.IsUnanswering(r.ID) {
		j.unanswered++
	}
}

// sendElsewhere sends the request once, beside a silent runner that may still run it, and returns the
// answer if that can replace the silent runner's.
func (j *job) sendElsewhere(ctx context.Context) (*replacement, error) {
	if j.begun {
		if err := j.findBeginning(ctx); err != nil {
			return nil, err
		}
	}
	r, err := j.choose(ctx)
	if err != nil {
		return nil, err
	}
	j.spendOnNext(j.spare)
	j.spare = nil
	if ok, err := j.permit(ctx, r); !ok || err != nil {
		j.due, j.spare = nil, j.due
		return nil, err
	}
	reply, r, err := j.send(ctx, r)
	switch {
	case ctx.Err() != nil && err != nil:
		if isDaemon(r) && !errors.Is(err, core.ErrNotSent) {
			j.runs += j.granted // that daemon may have used them all
		}
		return nil, err
	case err != nil:
		j.recordError(r, err)
		return nil, err
	case reply.Info.NotRun:
		_ = reply.Body.Close()
		j.recordRejection(r, reply)
		return nil, errRejected
	}
	if err := j.checkReplacement(r, reply); err != nil {
		_ = reply.Body.Close()
		if !isDaemon(r) {
			j.markFailed(r)
		}
		return nil, err
	}
	return &replacement{r, reply}, nil
}

// checkReplacement checks that an answer can replace that of a silent runner.
func (j *job) checkReplacement(r *core.Runner, reply *core.Reply) error {
	if err := checkStamp(reply); err != nil {
		return err
	}
	if j.begun || j.origin != nil {
		if _, err := j.checkOrigin(r, reply); err != nil {
			return err
		}
	}
	if isStream := j.route.Kind == core.KindStream; isStream && (reply.Status != http.StatusOK || !hasEvents(reply)) || reply.Status >= http.StatusInternalServerError {
		return eris.Wrapf(core.ErrAnswerLost, "status %d", reply.Status)
	}
	return nil
}
