package retry

import (
	"slices"
	"time"
)

// maxUncertain is how long a send may still arrive if nothing is heard of its receiver.
const maxUncertain = 2 * time.Minute

// Sends are the sends of one request. A runner may read a request long after it was sent, also when its connection
// has been closed since. Repeats of the request that may still arrive count as saved.
type Sends struct {
	budget    *Budget
	account   *account
	arrived   bool    // a send has arrived, here or at another daemon
	spent     int     // retries for sends that have not begun
	uncertain []*Send // that may still arrive
}

// Send is a send that may not have arrived yet.
type Send struct {
	of      *Sends
	at      time.Time
	arrived func() bool // whether its receiver must have read it by now
}

// Sends returns the record of a request's sends.
func (b *Budget) Sends(service string) *Sends {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Sends{budget: b, account: b.account(service)}
}

// Begin records that the request is sent. arrived reports whether its receiver must have read it by now, or never
// will. It is called with the budget locked.
func (s *Sends) Begin(arrived func() bool) *Send {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &Send{of: s, at: b.clock.Now(), arrived: arrived}
	s.uncertain = append(s.uncertain, n)
	s.spent = max(0, s.spent-1)
	s.account.track(s)
	return n
}

// Arrived records that the send has been read by its receiver, or that its connection has ended there.
func (n *Send) Arrived() { n.end(true) }

// NotSent records that nothing was sent.
func (n *Send) NotSent() { n.end(false) }

func (n *Send) end(arrived bool) {
	s := n.of
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if i := slices.Index(s.uncertain, n); i >= 0 {
		s.uncertain = slices.Delete(s.uncertain, i, i+1)
		s.arrived = s.arrived || arrived
		s.account.track(s)
	}
}

// Sent reports whether the request has been sent.
func (s *Sends) Sent() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.arrived || len(s.uncertain) > 0
}

// End records that the request is not sent any more by this daemon. elsewhere is whether another one may send it.
func (s *Sends) End(elsewhere bool) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.spent = 0
	s.arrived = s.arrived || elsewhere
	s.account.track(s)
}

// repeats returns how many arrivals beyond the first may still come. The caller holds the lock.
func (s *Sends) repeats() int {
	if s.arrived {
		return s.spent + len(s.uncertain)
	}
	return s.spent + max(0, len(s.uncertain)-1)
}

// settle drops the sends that must have arrived by now. The caller holds the lock.
func (s *Sends) settle(now time.Time) {
	s.uncertain = slices.DeleteFunc(s.uncertain, func(n *Send) bool {
		if now.Sub(n.at) < maxUncertain && !n.arrived() {
			return false
		}
		s.arrived = true
		return true
	})
}

// track keeps a request in the account while repeats of it may still arrive. The caller holds the lock.
func (a *account) track(s *Sends) {
	n := s.repeats()
	a.late += n - a.uncertain[s]
	if n == 0 {
		delete(a.uncertain, s)
		return
	}
	a.uncertain[s] = n
}

// settle drops what must have arrived by now. The caller holds the lock.
func (a *account) settle(now time.Time) {
	for s := range a.uncertain {
		s.settle(now)
		a.track(s)
	}
}

// mayBeLate reports whether one more repeat may be in flight. They cannot be cancelled if the traffic falls, so that
// they must fit in this daemon's part of the slack. A daemon whose part is below one may have one in flight.
func (a *account) mayBeLate(limits Limits, daemons int) bool {
	return float64(a.late+1) <= max(1, usedShare*slack(limits, daemons))
}
