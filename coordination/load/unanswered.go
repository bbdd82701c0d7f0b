package load

import (
	"slices"
	"sync"
	"time"
)

const (
	// minUnanswered is how many requests must wait for a runner before its path is doubted. A single
	// one may just be slow.
	minUnanswered = 2
	// minClosed is how many requests a runner must close the connections of before its path is doubted, and
	// closedSpan the least time from the first such failure to the send of the latest one: a process that
	// exits closes all its connections at once.
	minClosed  = 2
	closedSpan = 200 * time.Millisecond
	// maxClosedAge is how long ago the latest one may be when other daemons are asked. An answer that they
	// have got meanwhile lies between the failures, not after a restart that ended them.
	maxClosedAge = 150 * time.Millisecond
	// trialInterval is the time until a request is first sent to an unanswering runner again. It doubles
	// after each such request, up to maxTrialInterval.
	trialInterval    = time.Second
	maxTrialInterval = 4 * time.Second
	// unsafeTrialInterval is the time without any such request after which one that must not be sent
	// again elsewhere is used too.
	unsafeTrialInterval = 8 * time.Second
)

// Send is a request to a runner, from its send to the end of the answer.
type Send struct {
	table  *Table
	runner string
	at     time.Time
	count  *int // requests in progress at the runner
	end    sync.Once
}

// Answered records that the answer has begun.
func (s *Send) Answered() {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	if !s.stopWaiting() {
		return
	}
	if s.at.After(s.table.answered[s.runner]) {
		s.table.answered[s.runner] = s.at
	}
	delete(s.table.unanswering, s.runner)
}

// stopWaiting removes the request from those without an answer, and reports whether it was one; the
// caller holds the table's lock.
func (s *Send) stopWaiting() bool {
	list := s.table.waiting[s.runner]
	i := slices.Index(list, s)
	if i < 0 {
		return false
	}
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(s.table.waiting, s.runner)
		return true
	}
	s.table.waiting[s.runner] = list
	return true
}

// End records that the request has ended, answered or not. Further calls do nothing.
func (s *Send) End() {
	s.end.Do(func() {
		t := s.table
		t.mu.Lock()
		defer t.mu.Unlock()
		s.stopWaiting()
		t.paths.end()
		if *s.count--; *s.count == 0 && t.local[s.runner] == s.count {
			delete(t.local, s.runner)
		}
	})
}

// unanswering is a runner that answers other daemons but not this one.
type unanswering struct {
	since    time.Time
	triedAt  time.Time     // of the latest request sent to find out
	interval time.Duration // until the next one
}

// Unanswered is a runner that does not answer requests of this daemon.
type Unanswered struct {
	Runner   string
	Requests int
	Wait     time.Duration // for how long enough of them have waited, or since the first was closed
	Closed   bool          // it closes the connections of requests
}

// Unanswered returns the runners at which several requests have waited for the given time, and which
// have answered none that was sent later. Those that are already known not to answer are left out;
// while there are some, one request that has waited for the shorter time is enough.
func (t *Table) Unanswered(wait, shorter time.Duration) []Unanswered {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, least := t.clock.Now(), minUnanswered
	if len(t.unanswering) > 0 {
		wait, least = shorter, 1
	}
	var out []Unanswered
	for runner, list := range t.waiting {
		if len(list) < least || t.unanswering[runner] != nil {
			continue
		}
		at := list[least-1].at
		if now.Sub(at) >= wait && !t.answered[runner].After(at) {
			out = append(out, Unanswered{Runner: runner, Requests: len(list), Wait: now.Sub(at)})
		}
	}
	return out
}

// Closing returns the runners that close the connections of requests again and again and have sent nothing
// since the first of these failures, without those that are already known not to answer.
func (t *Table) Closing() []Unanswered {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Unanswered
	for runner, f := range t.paths.failedAt {
		if f.closed < minClosed || t.unanswering[runner] != nil {
			continue
		}
		if f.closedSent.Sub(f.first) >= closedSpan && now.Sub(f.closedAt) <= maxClosedAge {
			out = append(out, Unanswered{Runner: runner, Requests: f.closed, Wait: now.Sub(f.first), Closed: true})
		}
	}
	return out
}

// AnsweredWithin reports whether a runner has begun to answer a request of this daemon that was sent
// within the given time, and whether one that was sent before waits for an answer. A daemon that other
// runners do not answer may wait in vain, so that says nothing of the runner.
func (t *Table) AnsweredWithin(runner string, d time.Duration) (answered, waits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.clock.Now().Add(-d)
	list := t.waiting[runner]
	return t.answered[runner].After(since), len(t.unanswering) == 0 && len(list) > 0 && !list[0].at.After(since)
}

// SetUnanswering records that a runner answers other daemons but not this one. It counts as down for
// this daemon alone, until it answers.
func (t *Table) SetUnanswering(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.unanswering[runner] = &unanswering{since: now, triedAt: now, interval: trialInterval}
}

// ClearUnanswering records that a runner has answered a check on a new connection. It reports whether it
// was known not to answer.
func (t *Table) ClearUnanswering(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.unanswering[runner]
	delete(t.unanswering, runner)
	return ok
}

// Unanswering returns the runners that are known not to answer this daemon.
func (t *Table) Unanswering() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.unanswering))
	for runner := range t.unanswering {
		out = append(out, runner)
	}
	slices.Sort(out)
	return out
}

// IsUnanswering reports whether a runner is known not to answer this daemon.
func (t *Table) IsUnanswering(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unanswering[runner] != nil
}

// try records a request that finds out whether the runner answers, and reports whether it is due.
func (u *unanswering) try(now time.Time) bool {
	if now.Sub(u.triedAt) < u.interval {
		return false
	}
	u.triedAt, u.interval = now, min(maxTrialInterval, 2*u.interval)
	return true
}
