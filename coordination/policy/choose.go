// Package policy holds the decisions on requests: which runner, whether to
// refuse, whether to try again. It has no network and no clock of its own.
package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// otherPlace is what a runner in another place costs, in parts of a
	// runner's slots: the traffic between places is paid for, and is slower by
	// a few milliseconds only. A quarter of the slots keeps requests in their
	// place until it is clearly the busier one.
	otherPlace = 0.25
	// waiting is what a second's wait before the send costs, in parts of a runner's
	// slots: a tenth of one costs as much as another place.
	waiting = 2.5
	// leaving is what a runner costs that goes before the request is likely to
	// end.
	leaving = 2
	// engineOver and plainOver are how many requests a runner may have, in
	// parts of its slots, before more are refused. An engine's requests last
	// seconds, so a queue of them is time that no caller has. A plain
	// service's last some 10 ms.
	engineOver = 1.25
	plainOver  = 4
)

// Candidate is a runner that may serve a request, as seen by one daemon.
type Candidate struct {
	ID        string
	Slots     int
	Requests  int // in progress there, from all daemons, as far as known
	SamePlace bool
	Leaving   bool
	Penalty   float64 // for lately failed attempts, in parts of its slots
	// Wait is how long a prompt would wait for its turn to be sent there.
	Wait time.Duration
}

// cost is the expected delay at a runner, in parts of its slots.
func (c *Candidate) cost() float64 {
	cost := float64(c.Requests)/float64(max(1, c.Slots)) + c.Penalty + waiting*c.Wait.Seconds()
	if !c.SamePlace {
		cost += otherPlace
	}
	if c.Leaving {
		cost += leaving
	}
	return cost
}

// Full says whether a runner has no room for one request more.
func (c *Candidate) Full(engine bool) bool {
	over := float64(plainOver)
	if engine {
		over = engineOver
	}
	return float64(c.Requests) >= over*float64(max(1, c.Slots))
}

// Choose returns the index of the best candidate that has room, or -1. Equal
// ones are drawn, so that daemons that know the same do not all choose alike.
func Choose(candidates []Candidate, engine bool) int {
	best, ties := -1, 0
	for i := range candidates {
		c := &candidates[i]
		if c.Full(engine) {
			continue
		}
		switch {
		case best < 0 || c.cost() < candidates[best].cost():
			best, ties = i, 1
		case c.cost() == candidates[best].cost():
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Bounds of Retry-After.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
)

// RetryAfter is when a refused caller is likely to find room: after about a
// quarter of what requests of its route are meant to last, a share of the
// places has become free.
func RetryAfter(target time.Duration) time.Duration {
	return min(max(target/2, minRetry), maxRetry)
}
