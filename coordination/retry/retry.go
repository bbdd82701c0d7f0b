// Package retry limits retries to a share of the requests, and some in addition, over all
// daemons and for each service. Without it the failure of half of a service doubles the load
// on the other half.
package retry

import (
	"errors"
	"sync"
	"time"

	"primroseward/core"
)

const (
	// windowIntervals is the number of intervals that the requests of a window are counted in.
	windowIntervals = 10
	// usedShare is the part of what is allowed that daemons use. Retries reach their runners some time after
	// they are spent, as connections are dialed first.
	usedShare = 0.95
	// savedShare is the part of that which a daemon may have saved up; the other part is what
	// it receives in one window.
	savedShare = 0.35
	// advanceWindows is the number of windows in which a daemon must not have made any retry, and for which its process
	// must have lived, before it makes one in advance.
	advanceWindows = 1.1
)

// Errors of Spend.
var (
	// ErrWait: too many repeats are in flight. The retry is kept and may be spent later.
	ErrWait = errors.New("too many repeats are in flight")
	// ErrNone: the retry is not left any more, because what may be saved up has fallen meanwhile.
	ErrNone = errors.New("the retry is not left any more")
)

// Limits are what all daemons together may send in a window.
type Limits struct {
	Window time.Duration
	Ratio  float64 // retries as a share of the requests
	Slack  float64 // retries in addition
}

// Budget holds the retries that this daemon may make. A service's retries are saved up from
// its requests and by time, up to a maximum, and a process starts with none. Those that have been sent and may
// still arrive count towards the maximum. So in any window there are no more than could be saved before it and
// received in it, however often processes end and start meanwhile.
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
	saved    float64   // below 0 if more repeats may still arrive than may be saved up
	reserved int       // retries of these that have been taken and not spent yet
	late     int       // repeats that may still arrive
	spentAt  time.Time // when the latest retry was spent
	at       time.Time // up to which it has received retries by time
	current  int64     // index of the present interval
	requests [windowIntervals]int
	interval [windowIntervals]int64 // index of the interval that each element counts
	// uncertain holds the requests of which repeats may still arrive, and how many.
	uncertain map[*Sends]int
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
	Late     int     // repeats that may still arrive
}

// CountRequest counts a request that a caller has sent to a service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits, daemons := b.limits(), b.daemons()
	a := b.update(service, limits, daemons)
	a.requests[a.current%windowIntervals]++
	a.receive(usedShare*(1-savedShare)*limits.Ratio, limits, daemons)
}

// Retry is a retry that has been taken. A nil Retry is that of a send that needs none.
type Retry struct {
	budget  *Budget
	account *account
	advance bool
	ended   bool
}

// Take takes one retry, which counts as saved until it is spent. It returns nil if none is left, and the state
// before.
func (b *Budget) Take(service string) (*Retry, State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, s := b.state(service)
	advance := s.Saved < 1
	if advance && !b.mayAdvance(a, s) {
		return nil, s
	}
	a.reserved++
	return &Retry{budget: b, account: a, advance: advance}, s
}

// mayAdvance reports whether a retry may be made before it has been received: a daemon with few requests would
// never save up a whole one. The requests of half a window count, as any window that the retry is in covers them. The
// caller holds the lock.
func (b *Budget) mayAdvance(a *account, s State) bool {
	limits := b.limits()
	since := time.Duration(advanceWindows * float64(limits.Window))
	last := a.spentAt
	if last.IsZero() {
		last = b.start
	}
	share := limits.Ratio*float64(a.count(windowIntervals/2)) + slack(limits, s.Daemons)
	return a.reserved == 0 && a.late == 0 && b.clock.Since(last) >= since && usedShare*share >= 1
}

// Waits reports whether too many repeats are in flight for the retry to be spent now.
func (r *Retry) Waits() bool {
	if r == nil {
		return false
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limits, daemons := b.limits(), b.daemons()
	b.updateAccount(r.account, limits, daemons)
	return !r.account.mayBeLate(limits, daemons)
}

// Spend spends the retry just before the next of the request's sends, nil if that is known to arrive at once. Its error is
// ErrWait or ErrNone.
func (r *Retry) Spend(next *Sends) error {
	if r == nil {
		return nil
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return ErrNone
	}
	a := r.account
	limits, daemons := b.limits(), b.daemons()
	b.updateAccount(a, limits, daemons)
	if !a.mayBeLate(limits, daemons) {
		return ErrWait
	}
	r.end()
	if a.saved < 1 && !r.advance {
		return ErrNone
	}
	a.saved--
	a.spentAt = b.clock.Now()
	if next != nil {
		next.spent++
		a.track(next)
	}
	return nil
}

// Release gives up the retry, unless it has been spent.
func (r *Retry) Release() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.end()
}

// end ends the reservation. The caller holds the lock.
func (r *Retry) end() {
	if !r.ended {
		r.ended = true
		r.account.reserved--
	}
}

// Left reports whether a retry is left.
func (b *Budget) Left(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, s := b.state(service)
	return s.Saved >= 1 || b.mayAdvance(a, s)
}

// state updates an account and returns it. The caller holds the lock.
func (b *Budget) state(service string) (*account, State) {
	limits, daemons := b.limits(), b.daemons()
	a := b.update(service, limits, daemons)
	return a, State{Saved: a.saved - float64(a.reserved), Max: a.max(limits, daemons), Requests: a.count(windowIntervals), Daemons: daemons, Late: a.late}
}

// update returns a service's account with the retries that it has received by time. The caller
// holds the lock.
func (b *Budget) update(service string, limits Limits, daemons int) *account {
	a := b.account(service)
	b.updateAccount(a, limits, daemons)
	return a
}

// account returns a service's account. The caller holds the lock.
func (b *Budget) account(service string) *account {
	a, ok := b.services[service]
	if !ok {
		a = &account{at: b.start, uncertain: map[*Sends]int{}}
		b.services[service] = a
	}
	return a
}

// updateAccount adds what an account has received by time. The caller holds the lock.
func (b *Budget) updateAccount(a *account, limits Limits, daemons int) {
	a.current = int64(b.clock.Since(b.start) / max(1, limits.Window/windowIntervals))
	if i := a.current % windowIntervals; a.interval[i] != a.current {
		a.interval[i], a.requests[i] = a.current, 0
	}
	now := b.clock.Now()
	passed := now.Sub(a.at).Seconds() / limits.Window.Seconds()
	a.settle(now)
	a.receive(passed*usedShare*(1-savedShare)*slack(limits, daemons), limits, daemons)
	a.at = now
}

// receive adds to what is saved, up to the maximum, of which the repeats that may still arrive are a part.
func (a *account) receive(n float64, limits Limits, daemons int) {
	a.saved = min(a.saved+n, a.max(limits, daemons)-float64(a.late))
}

// slack returns this daemon's part of the slack. It has none while the number of daemons is not known.
func slack(limits Limits, daemons int) float64 {
	if daemons == 0 {
		return 0
	}
	return limits.Slack / float64(daemons)
}

// max returns how many retries may be saved up.
func (a *account) max(limits Limits, daemons int) float64 {
	return usedShare * savedShare * (limits.Ratio*float64(a.count(windowIntervals)) + slack(limits, daemons))
}

// count returns the number of requests of the latest intervals.
func (a *account) count(intervals int64) int {
	n := 0
	for i, m := range a.requests {
		if age := a.current - a.interval[i]; age >= 0 && age < intervals {
			n += m
		}
	}
	return n
}
