// Package retry limits retries to a share of the requests, and some in addition, over all
// daemons and for each service. Without it the failure of half of a service doubles the load
// on the other half.
package retry

import (
	"sync"
	"time"

	"primroseward/core"
)

const (
	// windowIntervals is the number of intervals that the requests of a window are counted in.
	windowIntervals = 10
	// usedShare is the part of what is allowed that daemons use. Retries reach their runners
	// some time after they are taken, and daemons learn of others that start some time after
	// these have.
	usedShare = 0.9
	// savedShare is the part of that which a daemon may have saved up; the other part is what
	// it receives in one window.
	savedShare = 0.6
	// maxDelay is the part of a window after which a retry that was taken must not be sent any more. Those that
	// are sent late are received beside the ones of the next window.
	maxDelay = 0.2
)

// Limits are what all daemons together may send in a window.
type Limits struct {
	Window time.Duration
	Ratio  float64 // retries as a share of the requests
	Slack  float64 // retries in addition
}

// Budget holds the retries that this daemon may make. A service's retries are saved up from
// its requests and by time, up to a maximum, and a process starts with none. So in any window
// there are no more than could be saved before it and received in it, however often processes
// end and start meanwhile.
type Budget struct {
	clock   core.Clock
	limits  func() Limits
	daemons func() int // that may exist, reachable or not; 0: not known

	start    time.Time // intervals are counted from here, by the monotonic clock
	mu       sync.Mutex
	services map[string]*account
}

// account is the state of one service.
type account struct {
	saved    float64
	at       time.Time // up to which it has received retries by time
	current  int64     // index of the present interval
	requests [windowIntervals]int
	interval [windowIntervals]int64 // index of the interval that each element counts
}

// New returns the budget of one daemon, whose retries are divided by the number of daemons that
// may exist.
func New(clock core.Clock, limits func() Limits, daemons func() int) *Budget {
	return &Budget{clock: clock, limits: limits, daemons: daemons, start: clock.Now(), services: map[string]*account{}}
}

// State is what a decision of the budget is based on.
type State struct {
	Saved    float64 // retries left
	Max      float64 // that may be saved up
	Requests int     // of the window
	Daemons  int     // that the slack is divided by
}

// CountRequest counts a request that a caller has sent to a service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits, daemons := b.limits(), b.daemons()
	a := b.update(service, limits, daemons)
	a.requests[a.current%windowIntervals]++
	a.saved = min(a.saved+usedShare*(1-savedShare)*limits.Ratio, a.max(limits, daemons))
}

// Take takes one retry. It returns false if none is left, and the state before.
func (b *Budget) Take(service string) (State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, s := b.state(service)
	if s.Saved < 1 {
		return s, false
	}
	a.saved--
	return s, true
}

// Valid reports whether a retry may still be sent so long after it was taken.
func (b *Budget) Valid(age time.Duration) bool {
	return age <= time.Duration(maxDelay*float64(b.limits().Window))
}

// Left reports whether a retry is left.
func (b *Budget) Left(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, s := b.state(service)
	return s.Saved >= 1
}

// state updates an account and returns it. The caller holds the lock.
func (b *Budget) state(service string) (*account, State) {
	limits, daemons := b.limits(), b.daemons()
	a := b.update(service, limits, daemons)
	return a, State{Saved: a.saved, Max: a.max(limits, daemons), Requests: a.count(), Daemons: daemons}
}

// update returns a service's account with the retries that it has received by time. The caller
// holds the lock.
func (b *Budget) update(service string, limits Limits, daemons int) *account {
	a, ok := b.services[service]
	if !ok {
		a = &account{at: b.start}
		b.services[service] = a
	}
	a.current = int64(b.clock.Since(b.start) / max(1, limits.Window/windowIntervals))
	if i := a.current % windowIntervals; a.interval[i] != a.current {
		a.interval[i], a.requests[i] = a.current, 0
	}
	now := b.clock.Now()
	passed := now.Sub(a.at).Seconds() / limits.Window.Seconds()
	a.saved = min(a.saved+passed*(1-savedShare)*slack(limits, daemons), a.max(limits, daemons))
	a.at = now
	return a
}

// slack returns this daemon's part of the slack. It has none while the number of daemons is not known.
func slack(limits Limits, daemons int) float64 {
	if daemons == 0 {
		return 0
	}
	return usedShare * limits.Slack / float64(daemons)
}

// max returns how many retries may be saved up.
func (a *account) max(limits Limits, daemons int) float64 {
	return savedShare * (usedShare*limits.Ratio*float64(a.count()) + slack(limits, daemons))
}

// count returns the number of requests of the latest window.
func (a *account) count() int {
	n := 0
	for i, m := range a.requests {
		if age := a.current - a.interval[i]; age >= 0 && age < windowIntervals {
			n += m
		}
	}
	return n
}
