package route

import (
	"sync"
	"time"

	"primroseward/core"
)

const (
	retryShare = 0.1 // of first tries
	retryBurst = 10
	// penaltyStep is added to a runner's cost for each failed attempt and
	// halves every penaltyHalf, so that it is probed back slowly.
	penaltyStep     = 500 * time.Millisecond
	penaltyHalfLife = 2 * time.Second
	maxPenalty      = 10 * time.Second
)

// Budget bounds retries to a share of first tries. Without it a failing place
// doubles the load on the places that are left just when they are full.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows a first burst.
func NewBudget() *Budget { return &Budget{tokens: retryBurst} }

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// Retry takes a token; false when there is none.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Health remembers which runners failed lately.
type Health struct {
	clock core.Clock
	mu    sync.Mutex
	marks map[string]mark
}

type mark struct {
	penalty  time.Duration
	markedAt time.Time
}

// NewHealth returns a Health without marks.
func NewHealth(clock core.Clock) *Health {
	return &Health{clock: clock, marks: map[string]mark{}}
}

// Failed marks a runner.
func (h *Health) Failed(runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	penalty := min(maxPenalty, h.marks[runner].remaining(now)+penaltyStep)
	h.marks[runner] = mark{penalty: penalty, markedAt: now}
}

// Worked clears a runner's mark.
func (h *Health) Worked(runner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.marks, runner)
}

// Penalty is what is left of a runner's mark.
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
