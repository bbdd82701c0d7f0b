// Package reach finds out whether this daemon has lost its own path to the runners, or to single ones.
// A refused or silent connection says as much of the path as of the runner: only where some runners
// still answer is it the runner that is gone, and only where a runner answers other daemons is it the
// path to it.
package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// maxSilence is for how long no runner at all may send anything, while requests are in
	// progress, before runners are checked. Streams send events more often, plain services
	// answer faster.
	maxSilence = 250 * time.Millisecond
	// pollInterval is how often the silence is looked at.
	pollInterval = 50 * time.Millisecond
	// checkTimeout is far above a round trip within a country, also where this VM is busy.
	// checkedRunners are checked at the same time.
	checkTimeout   = 500 * time.Millisecond
	checkedRunners = 3
	// checkInterval is the least time between two rounds of checks, answeredInterval after one in
	// which a runner has answered: runners that reset connections cause doubt all the time.
	checkInterval    = 200 * time.Millisecond
	answeredInterval = 500 * time.Millisecond
	// heardTime is how long ago a runner may have sent something on an old connection for its check to tell
	// whether new ones work. Those in use send more often.
	heardTime = time.Second
	// A path that comes and goes must hold for longer: for maxRounds rounds of checks instead of one,
	// unless it has held for settledTime since it was last regained.
	settledTime = 10 * time.Second
	maxRounds   = 8
)

// Checker checks whether anything answers at a runner's address. Its error is core.ErrAnswerLost without
// core.ErrClosed if a connection was made on which nothing came.
type Checker interface {
	Check(ctx context.Context, r *core.Runner, path string) error
}

// Target is a runner that may be checked, and the path of the check.
type Target struct {
	Runner core.Runner
	Path   string
}

// Monitor decides whether this daemon has lost its path to the runners.
type Monitor struct {
	loads    *load.Table
	checker  Checker
	targets  func() []Target // runners that may be checked
	clock    core.Clock
	log      *zap.Logger
	scope    tally.Scope
	onChange func(lost bool)

	peers      Peers                // nil: none
	inquiredAt map[string]time.Time // within inquiryInterval, by runner; used by the loop only
	inquiries  chan struct{}        // those in progress

	lost   atomic.Bool
	since  atomic.Int64 // Unix nanoseconds of the last change
	failed chan struct{}
	losses int // since the path last held for settledTime
	rounds int // successful rounds of checks in a row

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// Option configures a Monitor.
type Option func(*Monitor)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(m *Monitor) { m.scope = s } }

// WithOnChange sets a function that is called when the path is lost or regained.
func WithOnChange(fn func(lost bool)) Option { return func(m *Monitor) { m.onChange = fn } }

// New returns a Monitor that counts the path as working.
func New(loads *load.Table, checker Checker, targets func() []Target, clock core.Clock, log *zap.Logger, opts ...Option) *Monitor {
	m := &Monitor{
		loads: loads, checker: checker, targets: targets, clock: clock, log: log, scope: tally.NoopScope,
		onChange: func(bool) {}, failed: make(chan struct{}, 1),
		inquiredAt: map[string]time.Time{}, inquiries: make(chan struct{}, maxInquiries),
	}
	for _, o := range opts {
		o(m)
	}
	m.since.Store(clock.Now().UnixNano())
	loads.OnPathFailure(m.noteFailure)
	return m
}

// noteFailure makes the loop look at the evidence at once.
func (m *Monitor) noteFailure() {
	select {
	case m.failed <- struct{}{}:
	default: // a look is pending
	}
}

// Lost reports whether this daemon has lost its path to the runners.
func (m *Monitor) Lost() bool { return m.lost.Load() }

// LostFor returns for how long the path has been lost, 0 if it is not.
func (m *Monitor) LostFor() time.Duration {
	if !m.lost.Load() {
		return 0
	}
	return m.clock.Since(time.Unix(0, m.since.Load()))
}

// Start starts the Monitor's goroutine.
func (m *Monitor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.wg.Add(1)
	go m.loop(ctx)
}

// Stop ends the goroutine and its checks.
func (m *Monitor) Stop() {
	m.stop()
	m.wg.Wait()
}

func (m *Monitor) loop(ctx context.Context) {
	defer m.wg.Done()
	tick := m.clock.NewTicker(pollInterval)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.failed:
		case <-tick.Chan():
		}
		m.lookAtUnanswered(ctx)
		if now := m.clock.Now(); !now.Before(next) {
			next = now.Add(m.look(ctx))
		}
	}
}

// look decides whether runners have to be checked, and does so. It returns for how long none has to be
// checked again.
func (m *Monitor) look(ctx context.Context) time.Duration {
	s := m.loads.PathState()
	if !m.lost.Load() && s.Failing == 0 && s.Closed == 0 && s.Silence < maxSilence {
		return 0
	}
	targets := m.targets()
	if len(targets) == 0 {
		return 0
	}
	if m.lost.Load() {
		m.lookForPath(ctx, targets)
		return checkInterval
	}
	switch doubtful := s.Doubtful(len(targets)) || s.Silence >= maxSilence; {
	case doubtful:
		m.sortForDoubt(targets)
	case s.DoubtfulIfNew():
		targets = m.heardLately(targets)
	default:
		return 0
	}
	if len(targets) == 0 {
		return 0
	}
	began := m.clock.Now()
	got := m.check(ctx, targets)
	if got.answered > 0 {
		m.loads.PathChecked()
		return answeredInterval
	}
	if got.silent > 0 && m.silenceOfRunners(ctx, got.runners, m.clock.Since(began)) {
		m.scope.Counter("path_silences").Inc(1)
		return checkInterval
	}
	if s = m.loads.PathState(); ctx.Err() == nil && (s.Doubtful(len(targets)) || s.DoubtfulIfNew()) {
		m.set(true, s, len(got.runners))
	}
	return checkInterval
}

// sortForDoubt sorts runners for checks that decide whether the path is the cause of failures: those
// come first that have not failed, and were heard last.
func (m *Monitor) sortForDoubt(targets []Target) {
	heard, failing := m.loads.LastHeard(), m.loads.FailingRunners()
	slices.SortStableFunc(targets, func(a, b Target) int {
		switch x, y := failing[a.Runner.ID], failing[b.Runner.ID]; {
		case x && !y:
			return 1
		case y && !x:
			return -1
		}
		return heard[b.Runner.ID].Compare(heard[a.Runner.ID])
	})
}

// heardLately returns the runners that have sent something within heardTime, in random order. Where these do not
// answer checks, it is the new connections that fail; others may have exited.
func (m *Monitor) heardLately(targets []Target) []Target {
	heard := m.loads.LastHeard()
	out := slices.DeleteFunc(targets, func(t Target) bool { return m.clock.Since(heard[t.Runner.ID]) > heardTime })
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

// lookForPath checks whether a lost path is back.
func (m *Monitor) lookForPath(ctx context.Context, targets []Target) {
	rand.Shuffle(len(targets), func(i, k int) { targets[i], targets[k] = targets[k], targets[i] })
	got := m.check(ctx, targets)
	if 2*got.answered <= len(got.runners) {
		m.rounds = 0
		return
	}
	if m.rounds++; m.rounds >= m.requiredRounds() {
		m.loads.PathRegained()
		m.set(false, m.loads.PathState(), len(got.runners))
	}
}

// requiredRounds returns how many rounds of checks in a row must succeed for the path to count as
// back.
func (m *Monitor) requiredRounds() int {
	if m.losses > 1 {
		return maxRounds
	}
	return 1
}

// set records a change and logs what it is based on.
func (m *Monitor) set(lost bool, s load.PathState, checked int) {
	now := m.clock.Now()
	lasted := now.Sub(time.Unix(0, m.since.Load()))
	m.since.Store(now.UnixNano())
	m.lost.Store(lost)
	m.rounds = 0
	event, gauge := logs.PathRegained, 0.0
	if lost {
		event, gauge = logs.PathLost, 1
		if lasted >= settledTime {
			m.losses = 0
		}
		m.losses++
	}
	m.scope.Gauge("path_lost").Update(gauge)
	m.log.Warn(event, zap.Int("failing", s.Failing), zap.Int("closed", s.Closed), zap.Int("heard", s.Heard), zap.Duration("silence", s.Silence),
		zap.Int("checked", checked), zap.Int("losses", m.losses), zap.Duration("since", lasted))
	m.onChange(lost)
}

// checks is the outcome of a round of checks.
type checks struct {
	runners  []string
	answered int
	silent   int // connections that were made, and on which nothing came
}

// check checks the first runners of a list. Those that did not answer count as failed attempts.
func (m *Monitor) check(ctx context.Context, targets []Target) checks {
	targets = targets[:min(len(targets), checkedRunners)]
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var out checks
	results := make(chan error, len(targets))
	for _, one := range targets {
		out.runners = append(out.runners, one.Runner.ID)
		m.wg.Add(1)
		go m.runCheck(ctx, one, results)
	}
	for range targets {
		switch err := <-results; {
		case err == nil:
			out.answered++
		case errors.Is(err, core.ErrAnswerLost) && !errors.Is(err, core.ErrClosed):
			out.silent++
		}
	}
	return out
}

func (m *Monitor) runCheck(ctx context.Context, one Target, results chan<- error) {
	defer m.wg.Done()
	err := m.checker.Check(ctx, &one.Runner, one.Path)
	if err != nil {
		m.loads.RecordPathFailure(one.Runner.ID)
	}
	results <- err
}
