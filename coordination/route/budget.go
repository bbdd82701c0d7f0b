package route

import (
	"sync"
	"time"

	"primroseward/core"
)

const (
	retryShare = 0.1 // retries per first attempt
	retryBurst = 10
	// penaltyStep is added to a runner's cost for each failed attempt. The penalty halves
	// every penaltyHalfLife, so that requests return to the runner slowly.
	penaltyStep     = 500 * time.Millisecond
	penaltyHalfLife = 2 * time.Second
	maxPenalty      = 10 * time.Second
)

// RetryBudget bounds retries to a share of first attempts. Without it, a failing data centre
// would double the load on the remaining ones just when they are full.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that starts with retryBurst retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// CountFirst counts a first attempt, which adds retryShare of a retry to the budget.
func (b *RetryBudget) CountFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// TakeRetry takes one retry from the budget; it returns false if there is none.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Health keeps a penalty for each runner with recent failures.
type Health struct {
	clock core.Clock
	mu    sync.Mutex
	marks map[string]mark
}

type mark struct {
	penalty  time.Duration
	markedAt time.Time
}

// NewHealth returns a Health without penalties.
func NewHealth(clock core.Clock) *Health {
	return &Health{clock: clock, marks: map[string]mark{}}
}

// RecordFailure raises a runner's penalty by penaltyStep, up to maxPenalty.
func (h *Health) RecordFailure(runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	penalty := min(maxPenalty, h.marks[runner].remaining(now)+penaltyStep)
	h.marks[runner] = mark{penalty: penalty, markedAt: now}
}

// RecordSuccess clears a runner's penalty.
func (h *Health) RecordSuccess(runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.marks, runner)
}

// Penalty returns what remains of a runner's penalty.
func (h *Health) Penalty(runner string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.marks[runner]
	if !ok {
		return 0
	}
	return m.remaining(h.clock.Now())
}

func (m mark) remaining(now time.Time) time.Duration {
	halvings := now.Sub(m.markedAt) / penaltyHalfLife
	if halvings > 20 {
		return 0
	}
	return m.penalty >> halvings
}
