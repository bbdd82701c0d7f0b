// Package policy holds the decisions on requests: which runner, whether to
// refuse, whether to try again. It has no network and no clock of its own.
package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
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
	// plainOver is how many requests a plain service's runner may have, in parts
	// of its slots, before more are refused: they last some 10 ms.
	plainOver = 4
	// maxQueue bounds the line for an engine's slots, in parts of them: its
	// requests last seconds, and beyond half of them callers leave before their
	// turn.
	maxQueue = 0.5
	// queueShare is the part of a target that may be spent in line for a slot;
	// the prompt is read in the rest.
	queueShare = 0.75
)

// Ask is what a request asks of its runner.
type Ask struct {
	Engine bool
	// Queue is how many requests may be in line for a slot of the runner ahead of
	// it, in parts of the slots.
	Queue float64
}

// Queue is the line that a request of a target can be in and still be in time, in parts
// of a runner's slots, where streams take as long as length: a slot comes free for each
// stream that ends. Filled beyond that, as all runners of a busy model are while more
// is asked of it than its copies can do, each request that is served is late, and the
// runners do no more for it: of requests that found a runner of 32 slots with 36 or more,
// 94 in 100 had a late first event, of those that found 28, 11.
func Queue(target, length time.Duration) float64 {
	if length <= 0 {
		return maxQueue
	}
	return min(maxQueue, queueShare*target.Seconds()/length.Seconds())
}

// UrgentQueue is the line for the most urgent requests of a service. They are taken in
// at once also by a full runner, which puts off its least urgent request for each.
func UrgentQueue() float64 { return maxQueue }

// Candidate is a runner that may serve a request, as seen by one daemon.
type Candidate struct {
	ID        string
	Slots     int
	Requests  int // in progress there, from all daemons, as far as known
	SamePlace bool
	Leaving   bool
	Penalty   float64 // for lately failed attempts, in parts of its slots
	// Down: its process has ended, though its entry stands.
	Down bool
	// Limited: it has named how much it takes, and is left to requests that no other runner
	// can serve.
	Limited bool
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
func (c *Candidate) Full(a Ask) bool {
	over := float64(plainOver)
	if a.Engine {
		over = 1 + a.Queue
	}
	return float64(c.Requests) >= over*float64(max(1, c.Slots))
}

// Choose returns the index of the best candidate that has room, or -1. Candidates that
// are down are only chosen where there is no other, as they may have started again.
// Equal ones are drawn, so that daemons that know the same do not all choose alike.
func Choose(candidates []Candidate, a Ask) int {
	best, least, ties := -1, 0.0, 0
	allDown := AllDown(candidates)
	for i := range candidates {
		c := &candidates[i]
		if c.Down && !allDown || c.Limited || c.Full(a) {
			continue
		}
		cost := c.cost()
		switch {
		case best < 0 || cost < least:
			best, least, ties = i, cost, 1
		case cost == least:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Limited returns the indexes of the limited candidates that have room, the best one first.
func Limited(candidates []Candidate, a Ask) []int {
	var out []int
	for i := range candidates {
		if c := &candidates[i]; c.Limited && !c.Down && !c.Full(a) {
			out = append(out, i)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	slices.SortStableFunc(out, func(i, k int) int { return cmp.Compare(candidates[i].cost(), candidates[k].cost()) })
	return out
}

// AllDown says whether no candidate's process runs.
func AllDown(candidates []Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Down })
}

// Bounds of Retry-After, for plain services and for engines.
const (
	minRetry       = 100 * time.Millisecond
	maxRetry       = 2 * time.Second
	minEngineRetry = 500 * time.Millisecond
	maxEngineRetry = 4 * time.Second
	// retryTargets is how many targets a caller of an engine stays away: it can't be
	// served in time any more, and more is asked of a model than its copies can do
	// for the seconds in which a burst passes or more copies are loaded. Most callers
	// come back once; told half a target, they found the same full runners.
	retryTargets = 4
	// retrySpread is the part of the time by which callers are told different ones:
	// those that were refused together must not come back together.
	retrySpread = 0.3
)

// RetryAfter is when a refused caller is likely to find room. At a plain service a
// share of the places has become free after a fraction of what its requests are meant
// to last.
func RetryAfter(target time.Duration, engine bool) time.Duration {
	if !engine {
		return min(max(target/2, minRetry), maxRetry)
	}
	wait := min(max(retryTargets*target, minEngineRetry), maxEngineRetry)
	return wait - time.Duration(retrySpread*rand.Float64()*float64(wait))
}
