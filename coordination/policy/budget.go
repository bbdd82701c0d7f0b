package policy

import (
	"sync"
	"time"

	"primroseward/core"
)

// buckets divide a budget's window.
const buckets = 10

// Budget bounds the requests sent a second time to a share of the first ones,
// per service, in a sliding window. Without it a failing half of a service
// doubles the load of the half that is left.
type Budget struct {
	clock  core.Clock
	window time.Duration
	ratio  func() float64 // repeats allowed as a share of first sends
	slack  func() float64 // repeats allowed beyond the share

	start    time.Time // turns are counted from here, by the monotonic clock
	mu       sync.Mutex
	services map[string]*ring
}

type ring struct {
	first  [buckets]int
	repeat [buckets]int
	epoch  [buckets]int64 // which turn of the window a bucket belongs to
}

// NewBudget makes a Budget of one daemon.
func NewBudget(clock core.Clock, window time.Duration, ratio, slack func() float64) *Budget {
	return &Budget{clock: clock, window: window, ratio: ratio, slack: slack, start: clock.Now(), services: map[string]*ring{}}
}

func (b *Budget) at(service string) (*ring, int) {
	r, ok := b.services[service]
	if !ok {
		r = &ring{}
		b.services[service] = r
	}
	turn := int64(b.clock.Since(b.start) / (b.window / buckets))
	i := int(turn % buckets)
	if r.epoch[i] != turn {
		r.epoch[i], r.first[i], r.repeat[i] = turn, 0, 0
	}
	return r, i
}

// First counts a request's first send.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, i := b.at(service)
	r.first[i]++
}

// Repeat takes a repeat from the budget; false when there is none left.
func (b *Budget) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := b.at(service)
	first, repeat := 0, 0
	for i := range r.epoch {
		if r.epoch[now]-r.epoch[i] < buckets {
			first += r.first[i]
			repeat += r.repeat[i]
		}
	}
	if float64(repeat+1) > b.ratio()*float64(first)+b.slack() {
		return false
	}
	r.repeat[now]++
	return true
}
