package load

import (
	"maps"
	"time"
)

// pathFailureTTL is how long a failed attempt to reach a runner counts as evidence on this
// daemon's own path to the runners.
const pathFailureTTL = 4 * time.Second

// minPathFailures is how many runners must be unreachable, if there are that many, for this daemon
// to doubt its path instead of the runners.
const minPathFailures = 2

// minPathClosed is how many connections runners must have closed under requests within pathFailureTTL for this
// daemon to doubt its path even where the runners have sent something since: old connections may live on while
// new ones are reset. The doubt costs checks of three runners.
const minPathClosed = 2

// pathEvidence is what this daemon's own attempts say of its path to the runners. The table's
// lock guards it.
type pathEvidence struct {
	failedAt  map[string]pathFailure   // by runner, since it last sent something
	heardAt   time.Time                // when any runner last sent anything
	running   int                      // requests in progress at all runners
	busySince time.Time                // when the first of them began
	checkedAt time.Time                // when a runner last answered a check on a new connection
	closedAt  [minPathClosed]time.Time // when runners last closed connections under requests, latest first
	onFailure func()
}

// pathFailure is a series of failed attempts to reach a runner.
type pathFailure struct {
	first, last time.Time
	noConn      bool      // no connection could be made
	closed      int       // requests whose connection was closed before the answer was complete
	closedAt    time.Time // when the latest of these was closed
	closedSent  time.Time // when it was sent
}

func newPathEvidence() pathEvidence {
	return pathEvidence{failedAt: map[string]pathFailure{}, onFailure: func() {}}
}

func (e *pathEvidence) begin(now time.Time) {
	if e.running++; e.running == 1 {
		e.busySince = now
	}
}

func (e *pathEvidence) end() { e.running-- }

func (e *pathEvidence) heard(runner string, now time.Time) {
	e.heardAt = now
	delete(e.failedAt, runner)
}

// OnPathFailure sets a function that is called after each failed attempt to reach a runner. It
// must be called before the table is used, and fn must not block.
func (t *Table) OnPathFailure(fn func()) { t.paths.onFailure = fn }

// RecordPathFailure records that a runner could not be reached, or did not answer a check.
func (t *Table) RecordPathFailure(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPathFailure(runner, t.clock.Now())
}

// RecordClosed records that a runner closed the connection of a request, sent at the given time, before the
// answer was complete.
func (t *Table) RecordClosed(runner string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.recordPathFailure(runner, now)
	f := t.paths.failedAt[runner]
	f.closed, f.closedAt, f.closedSent = f.closed+1, now, sent
	t.paths.failedAt[runner] = f
	copy(t.paths.closedAt[1:], t.paths.closedAt[:])
	t.paths.closedAt[0] = now
}

// recordPathFailure is RecordPathFailure at a given time; the caller holds t.mu.
func (t *Table) recordPathFailure(runner string, now time.Time) {
	f, ok := t.paths.failedAt[runner]
	if !ok || now.Sub(f.last) >= pathFailureTTL {
		f = pathFailure{first: now}
	}
	f.last = now
	t.paths.failedAt[runner] = f
	t.paths.onFailure()
}

// RecordNoConnection records that an attempt to connect to a runner got no answer. The runner counts
// as down for this daemon alone: others may reach it.
func (t *Table) RecordNoConnection(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPathFailure(runner, t.clock.Now())
	f := t.paths.failedAt[runner]
	f.noConn = true
	t.paths.failedAt[runner] = f
}

// noConnection reports whether a recent attempt to connect to a runner got no answer; the caller
// holds t.mu.
func (t *Table) noConnection(runner string, now time.Time) bool {
	f, ok := t.paths.failedAt[runner]
	return ok && f.noConn && now.Sub(f.last) < downTTL
}

// PathState is what this daemon's own attempts say of its path to the runners.
type PathState struct {
	Failing int           // runners that could not be reached and have sent nothing since
	Heard   int           // runners that have sent something since the first of these failures
	Closed  int           // connections that runners have closed under requests, at most minPathClosed
	Silence time.Duration // for how long no runner has sent anything although requests are in progress
}

// Doubtful reports whether so many runners are unreachable that the path of this daemon may be the
// cause. listed is the number of runners that there are. Runners that still send on old
// connections do not show that new ones work.
func (s PathState) Doubtful(listed int) bool {
	return s.Failing > 0 && s.Failing >= min(minPathFailures, listed)
}

// DoubtfulIfNew reports whether so many connections were closed that new ones may not work, although runners
// send on old ones.
func (s PathState) DoubtfulIfNew() bool { return s.Closed >= minPathClosed }

// PathChecked records that a runner has answered a check on a new connection: earlier failures
// were not due to this daemon's path.
func (t *Table) PathChecked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.checkedAt = t.clock.Now()
}

// LastHeard returns when each runner last sent anything to this daemon.
func (t *Table) LastHeard() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.lastReceived)
}

// FailingRunners returns the runners that could not be reached lately and have sent nothing since.
func (t *Table) FailingRunners() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]bool, len(t.paths.failedAt))
	for runner := range t.paths.failedAt {
		out[runner] = true
	}
	return out
}

// PathState returns what this daemon's own attempts say of its path to the runners.
func (t *Table) PathState() PathState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, out := t.clock.Now(), PathState{}
	var since time.Time
	for runner, f := range t.paths.failedAt {
		if now.Sub(f.last) >= pathFailureTTL {
			delete(t.paths.failedAt, runner)
			continue
		}
		if f.last.Before(t.paths.checkedAt) {
			continue
		}
		out.Failing++
		if since.IsZero() || f.first.Before(since) {
			since = f.first
		}
	}
	if out.Failing > 0 {
		for _, at := range t.lastReceived {
			if at.After(since) {
				out.Heard++
			}
		}
	}
	for _, at := range t.paths.closedAt {
		if now.Sub(at) < pathFailureTTL && at.After(t.paths.checkedAt) {
			out.Closed++
		}
	}
	if t.paths.running > 0 {
		last := t.paths.busySince
		if t.paths.heardAt.After(last) {
			last = t.paths.heardAt
		}
		out.Silence = now.Sub(last)
	}
	return out
}

// Heard is what a daemon knows of runners that do not answer checks of another one.
type Heard struct {
	Asked   bool // one of them has sent something to it within the time
	Any     bool // any runner has
	Waiting int  // those of them at which it has requests from before that time, if none of them has
}

// HeardWithin returns what this daemon has received within a time from the given runners, and from any.
func (t *Table) HeardWithin(runners []string, d time.Duration) Heard {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, out := t.clock.Now().Add(-d), Heard{}
	out.Any = t.paths.heardAt.After(since)
	for _, r := range runners {
		if t.lastReceived[r].After(since) {
			return Heard{Asked: true, Any: true}
		}
		list := t.waiting[r]
		if t.unanswering[r] == nil && (t.localRequests(r) > len(list) || len(list) > 0 && !list[0].at.After(since)) {
			out.Waiting++
		}
	}
	return out
}

// PathRegained drops the evidence of failed attempts, and of requests without an answer: they were due
// to this daemon's own path.
func (t *Table) PathRegained() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.paths.failedAt)
	clear(t.paths.closedAt[:])
	clear(t.down)
	clear(t.failures)
	clear(t.unanswering)
	clear(t.waiting)
	t.paths.heardAt = t.clock.Now()
}
