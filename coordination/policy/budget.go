package policy

import (
	"sync"
	"time"

	"primroseward/core"
)

// windowIntervals is the number of intervals that a budget's window is divided into.
const windowIntervals = 10

// Budget limits retries to a share of the first sends, per service, in a sliding window.
// Without it the failure of half of a service doubles the load on the other half.
type Budget struct {
	clock  core.Clock
	window time.Duration
	ratio  func() float64 // retries allowed as a share of first sends
	slack  func() float64 // retries allowed beyond the share

	start    time.Time // intervals are counted from here, by the monotonic clock
	mu       sync.Mutex
	services map[string]*sendCounts
}

type sendCounts struct {
	firstSends [windowIntervals]int
	retries    [windowIntervals]int
	interval   [windowIntervals]int64 // index of the interval that each element counts
}

// NewBudget returns the retry budget of one daemon.
func NewBudget(clock core.Clock, window time.Duration, ratio, slack func() float64) *Budget {
	return &Budget{clock: clock, window: window, ratio: ratio, slack: slack, start: clock.Now(), services: map[string]*sendCounts{}}
}

func (b *Budget) current(service string) (*sendCounts, int) {
	r, ok := b.services[service]
	if !ok {
		r = &sendCounts{}
		b.services[service] = r
	}
	interval := int64(b.clock.Since(b.start) / (b.window / windowIntervals))
	i := int(interval % windowIntervals)
	if r.interval[i] != interval {
		r.interval[i], r.firstSends[i], r.retries[i] = interval, 0, 0
	}
	return r, i
}

// CountFirst counts the first send of a request.
func (b *Budget) CountFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, i := b.current(service)
	r.firstSends[i]++
}

// TakeRetry takes one retry from the budget. It returns false if none is left.
func (b *Budget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := b.current(service)
	if !b.left(r, now) {
		return false
	}
	r.retries[now]++
	return true
}

// Left reports whether a retry is left in the budget.
func (b *Budget) Left(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.current(service))
}

// BudgetState is what the budget of a service is decided by.
type BudgetState struct {
	FirstSends, Retries int     // in the window
	Ratio, Slack        float64 // retries allowed for each first send, and in addition
}

// State returns the state of a service's budget.
func (b *Budget) State(service string) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := BudgetState{Ratio: b.ratio(), Slack: b.slack()}
	s.FirstSends, s.Retries = b.counts(b.current(service))
	return s
}

// left is Left for callers that hold the lock, with the result of current.
func (b *Budget) left(r *sendCounts, now int) bool {
	firstSends, retries := b.counts(r, now)
	return float64(retries+1) <= b.ratio()*float64(firstSends)+b.slack()
}

// counts returns the first sends and the retries of the window. Its arguments are the result of current.
func (b *Budget) counts(r *sendCounts, now int) (firstSends, retries int) {
	for i := range r.interval {
		if r.interval[now]-r.interval[i] < windowIntervals {
			firstSends += r.firstSends[i]
			retries += r.retries[i]
		}
	}
	return firstSends, retries
}
