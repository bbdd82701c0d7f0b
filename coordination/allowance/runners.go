package allowance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// problemEvery is how often at most a limit that can't be read is logged.
const problemEvery = time.Second

// Runners keeps the limits that runners name in their answers.
type Runners struct {
	clock core.Clock
	log   *zap.Logger
	scope tally.Scope

	limits atomic.Pointer[map[string]limit]

	mu        sync.Mutex // of those who change the limits
	problemAt time.Time  // when one that can't be read was last logged
}

// limit is what a runner has named.
type limit struct {
	rate  float64 // requests a second
	began time.Time
	at    time.Time // when it was last heard
	from  string    // the daemon that heard it from the runner; empty: this one
}

// NewRunners returns Runners that knows no limits.
func NewRunners(clock core.Clock, log *zap.Logger, scope tally.Scope) *Runners {
	r := &Runners{clock: clock, log: log, scope: scope}
	r.limits.Store(&map[string]limit{})
	return r
}

// Answered takes in what an answer of a runner says of its limit. A rejection that names
// none may have been written by another instance, or before the request was looked at.
func (r *Runners) Answered(runner string, info core.ReplyInfo) {
	_, limited := (*r.limits.Load())[runner]
	if !limited && info.Limit == (core.RateLimit{}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.Limit.Problem != "" {
		r.noteProblem(runner, info.Limit.Problem)
	}
	switch {
	case info.Limit.Named:
		r.set(runner, info.Limit.Rate, "")
	case info.Stamped && !info.NotRun:
		r.unset(runner, "")
	}
}

// noteProblem counts a limit that can't be read; the caller holds the lock.
func (r *Runners) noteProblem(runner, problem string) {
	r.scope.Counter("runner_limits_unreadable").Inc(1)
	if now := r.clock.Now(); now.Sub(r.problemAt) >= problemEvery {
		r.problemAt = now
		r.log.Warn(logs.RunnerLimitUnreadable, zap.String("runner", runner), zap.String("problem", problem))
	}
}

// set takes in a runner's limit; the caller holds the lock.
func (r *Runners) set(runner string, rate float64, from string) {
	now := r.clock.Now()
	was, known := (*r.limits.Load())[runner]
	next := limit{rate: rate, began: was.began, at: now, from: from}
	if !known {
		next.began = now
	}
	if !known || was.rate != rate {
		r.log.Info(logs.RunnerLimit, zap.String("runner", runner), zap.Float64("rate", rate), zap.Float64("former", was.rate),
			zap.Bool("limited", true), zap.String("from", from), zap.Duration("since", now.Sub(next.began)))
	}
	limits := maps.Clone(*r.limits.Load())
	limits[runner] = next
	r.limits.Store(&limits)
}

// unset takes in that a runner names no limit any more; the caller holds the lock.
func (r *Runners) unset(runner, from string) {
	was, known := (*r.limits.Load())[runner]
	if !known {
		return
	}
	r.log.Info(logs.RunnerLimit, zap.String("runner", runner), zap.Float64("former", was.rate), zap.Bool("limited", false),
		zap.String("from", from), zap.Duration("since", r.clock.Since(was.began)))
	limits := maps.Clone(*r.limits.Load())
	delete(limits, runner)
	r.limits.Store(&limits)
}

// Limit is what a runner has named, as this daemon knows it.
type Limit struct {
	Rate float64       // requests a second
	Age  time.Duration // since a daemon heard it from the runner
	From string        // that daemon; empty: this one
}

// Limit returns a runner's limit, false if it has none.
func (r *Runners) Limit(runner string) (Limit, bool) {
	l, ok := (*r.limits.Load())[runner]
	if !ok {
		return Limit{}, false
	}
	return Limit{Rate: l.rate, Age: r.clock.Since(l.at), From: l.from}, true
}

// Forget drops what is known of a runner that is gone, or has started again.
func (r *Runners) Forget(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unset(runner, "")
}
