package availability

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// backoffRetention is how long a backoff that is over is kept if no request follows it.
	backoffRetention = time.Minute
	// probeTimeout is how long other requests wait for the answer to the first request after a
	// backoff. Then another one is sent.
	probeTimeout = 500 * time.Millisecond
)

// backoff is a time during which a runner has asked this daemon to send nothing. It lasts until a
// request that is sent after its end is answered without asking for another one.
type backoff struct {
	startedAt time.Time // start of the runner's instance
	since     time.Time // when the runner first asked for it
	askedAt   time.Time // when the runner last asked for it
	until     time.Time
	probedAt  time.Time // when the request was sent that finds out whether it is over; zero: none in progress
}

// Backoff is a runner's backoff, as it concerns this daemon.
type Backoff struct {
	AskedAt time.Time // when the runner last asked for it
	Until   time.Time // earliest time for the next request
	Probing bool      // its time is over, and a request finds out whether the runner accepts requests
}

// Backoff returns a runner's backoff, false if it may get a request.
func (t *Table) Backoff(runner string) (Backoff, bool) {
	r := (*t.backoffs.Load())[runner]
	if r == nil {
		return Backoff{}, false
	}
	now := t.clock.Now()
	out := Backoff{AskedAt: r.askedAt, Until: r.until}
	if !now.Before(r.until) {
		out.Until, out.Probing = r.probedAt.Add(probeTimeout), true
	}
	return out, now.Before(out.Until)
}

// Admit reports whether a request may be sent to a runner now. If probe is set, it is the one
// that finds out whether the runner's backoff is over: EndProbe must be called with its outcome.
func (t *Table) Admit(runner string) (ok, probe bool) {
	if (*t.backoffs.Load())[runner] == nil {
		return true, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.backoffs.Load())[runner]
	if r == nil {
		return true, false
	}
	if _, backedOff := t.Backoff(runner); backedOff {
		return false, false
	}
	next := *r
	next.probedAt = t.clock.Now()
	t.store(runner, &next)
	return true, true
}

// EndProbe ends the request that finds out whether a runner's backoff is over. The backoff ends if
// the runner has answered, unless it has asked for another one.
func (t *Table) EndProbe(runner string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.backoffs.Load())[runner]
	if r == nil || r.probedAt.IsZero() {
		return
	}
	if answered {
		t.log.Info(logs.RunnerBackoffEnded, zap.String("runner", runner), zap.Duration("since", t.clock.Since(r.since)))
		t.store(runner, nil)
		return
	}
	next := *r
	next.probedAt = time.Time{}
	t.store(runner, &next)
}

// Forget drops the backoff of a runner that is gone or has started again.
func (t *Table) Forget(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if (*t.backoffs.Load())[runner] != nil {
		t.store(runner, nil)
	}
}

// setBackoff stores a backoff that ends at the latest time that the runner has asked for. A request
// of a former instance is ignored. The caller holds t.mu.
func (t *Table) setBackoff(r *core.Runner, asked time.Duration) {
	if e := t.catalog.Runner(r.ID); e != nil && e.StartedAt.After(r.StartedAt) {
		return
	}
	now := t.clock.Now()
	next := &backoff{startedAt: r.StartedAt, since: now, askedAt: now, until: now.Add(min(asked, t.maxBackoff))}
	if old := (*t.backoffs.Load())[r.ID]; old != nil && old.startedAt.Equal(r.StartedAt) {
		next.since = old.since
		if old.until.After(next.until) {
			next.until = old.until
		}
	}
	t.log.Info(logs.RunnerBackoff, zap.String("runner", r.ID), zap.Duration("asked", asked), zap.Duration("left", next.until.Sub(now)), zap.Duration("since", now.Sub(next.since)))
	t.store(r.ID, next)
}

// store replaces the backoff of a runner; nil removes it. The caller holds t.mu.
func (t *Table) store(runner string, r *backoff) {
	now := t.clock.Now()
	backoffs := maps.Clone(*t.backoffs.Load())
	if backoffs[runner] = r; r == nil {
		delete(backoffs, runner)
	}
	maps.DeleteFunc(backoffs, func(_ string, old *backoff) bool { return now.Sub(old.until) >= backoffRetention })
	t.backoffs.Store(&backoffs)
	t.scope.Gauge("runners_backed_off").Update(float64(len(backoffs)))
}
