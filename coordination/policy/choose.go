// Package policy decides which runner serves a request, whether to refuse it and
// whether to retry it, and which models to load on which runner. It does no network
// I/O and takes the current time from its caller or an injected clock.
package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// remoteCost is added for a runner in another data centre, as a fraction of the
	// runner's slots. Traffic between data centres is paid for, and slower by only a
	// few milliseconds. A quarter of the slots keeps requests in their own data
	// centre until it is clearly the busier one.
	remoteCost = 0.25
	// waitCostPerSecond is added per second of delay before the send, as a fraction
	// of the runner's slots: a delay of 0.1 s costs as much as another data centre.
	waitCostPerSecond = 2.5
	// leavingCost is added for a runner that is announced to leave before the request
	// is likely to end.
	leavingCost = 2
	// MaxPlainLoad is how many requests a runner of a plain service may have in
	// progress, as a multiple of its slots, before further ones are refused. These
	// requests last some 10 ms.
	MaxPlainLoad = 4
	// maxQueue bounds the queue for an engine's slots, as a fraction of the slots.
	// Requests to engines last seconds, and in a queue longer than half the slots
	// callers give up before a slot is free.
	maxQueue = 0.5
	// queueTargetShare is the part of a target latency that may be spent in the queue
	// for a slot. The rest is needed to read the prompt.
	queueTargetShare = 0.75
)

// Requirements is what a request needs of its runner.
type Requirements struct {
	Engine bool
	// QueueLimit is how many requests may be queued for a slot of the runner ahead of
	// this one, as a fraction of the slots.
	QueueLimit float64
}

// QueueLimit returns the longest queue, as a fraction of a runner's slots, in which a
// request can still meet its target latency when streams last length on average: a slot
// becomes free for each stream that ends. While the demand for a model exceeds the
// capacity of its replicas, all its runners fill up. With longer queues each request
// served there is late and the runners' throughput is no higher: of requests that find
// a runner of 32 slots with 36 or more requests, 94 in 100 get a late first event; of
// those that find 28, 11 in 100.
func QueueLimit(target, length time.Duration) float64 {
	if length <= 0 {
		return maxQueue
	}
	return min(maxQueue, queueTargetShare*target.Seconds()/length.Seconds())
}

// UrgentQueueLimit returns the queue limit for the most urgent requests of a service. A
// full runner starts them at once too and preempts its least urgent request for each.
func UrgentQueueLimit() float64 { return maxQueue }

// Candidate is a runner that may serve a request, with the state known to this daemon.
type Candidate struct {
	ID             string
	Slots          int
	Requests       int // in progress there from all daemons, as far as known
	SameDataCentre bool
	Leaving        bool
	Penalty        float64 // for recent failed attempts, as a fraction of its slots
	// Down is set if the runner's process has exited although its entry still exists.
	Down bool
	// Reported is set if it is Down by the reports of other daemons only.
	Reported bool
	// BackedOff is set if the runner has asked for no requests for a time.
	BackedOff bool
	// Limited is set if the runner has announced a request limit. Such runners are reserved
	// for requests that no other runner can serve.
	Limited bool
	// NoRoom is set if the runner is brittle and this daemon has used up its part of the slots.
	NoRoom bool
	// Wait is how long a prompt would be delayed before it is sent to this runner.
	Wait time.Duration
	// Age is how old Requests is, 0 if that is not known. Pace is how long work takes there, as a multiple of
	// the usual, 0 if that is not known, and PaceAge its age. Only package balance uses them.
	Age     time.Duration
	Pace    float64
	PaceAge time.Duration
}

// cost returns the expected delay at a runner, as a fraction of its slots.
func (c *Candidate) cost() float64 {
	return float64(c.Requests)/float64(max(1, c.Slots)) + c.Surcharge() + c.PlaceCost()
}

// Surcharge returns what is added to a runner's load for recent failures and for a delay before the send, as
// a fraction of its slots.
func (c *Candidate) Surcharge() float64 { return c.Penalty + waitCostPerSecond*c.Wait.Seconds() }

// PlaceCost returns what is added for a runner in another data centre and for one that is about to leave, as a
// fraction of its slots.
func (c *Candidate) PlaceCost() float64 {
	cost := 0.0
	if !c.SameDataCentre {
		cost += remoteCost
	}
	if c.Leaving {
		cost += leavingCost
	}
	return cost
}

// Full reports whether the runner has no capacity for one more request.
func (c *Candidate) Full(req Requirements) bool {
	if c.NoRoom {
		return true
	}
	maxLoad := float64(MaxPlainLoad)
	if req.Engine {
		maxLoad = 1 + req.QueueLimit
	}
	return float64(c.Requests) >= maxLoad*float64(max(1, c.Slots))
}

// Choose returns the index of the cheapest candidate with capacity, or -1. It skips limited and
// backed off candidates. Candidates that are down are only chosen if all are, as they may have started
// again, and those that only other daemons report as down before those that this one found down.
// Among candidates of equal cost it picks one at random, so that daemons with the same data do not
// all choose the same runner.
func Choose(candidates []Candidate, req Requirements) int {
	best, lowest, ties := -1, 0.0, 0
	filter := NewFilter(candidates)
	for i := range candidates {
		c := &candidates[i]
		if !filter.Eligible(c) || c.Full(req) {
			continue
		}
		cost := c.cost()
		switch {
		case best < 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Filter selects the candidates that a request may be sent to, whatever their load.
type Filter struct{ allDown, anyReported bool }

// NewFilter returns the filter for a choice among candidates.
func NewFilter(candidates []Candidate) Filter {
	allDown := AllDown(candidates)
	return Filter{allDown, allDown && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Reported })}
}

// Eligible reports whether a request may be sent to a candidate if that has capacity.
func (f Filter) Eligible(c *Candidate) bool {
	return !(c.Down && (!f.allDown || f.anyReported && !c.Reported)) && !c.Limited && !c.BackedOff && !c.NoRoom
}

// RankLimited returns the indexes of the limited candidates that have capacity, cheapest first.
func RankLimited(candidates []Candidate, req Requirements) []int {
	var out []int
	for i := range candidates {
		if c := &candidates[i]; c.Limited && !c.BackedOff && !c.Down && !c.Full(req) {
			out = append(out, i)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	slices.SortStableFunc(out, func(i, k int) int { return cmp.Compare(candidates[i].cost(), candidates[k].cost()) })
	return out
}

// Occupancy returns the requests in progress at the candidates that are up, as a fraction of their slots.
func Occupancy(candidates []Candidate) float64 {
	requests, slots := 0, 0
	for i := range candidates {
		if c := &candidates[i]; !c.Down {
			requests += c.Requests
			slots += max(1, c.Slots)
		}
	}
	return float64(requests) / float64(max(1, slots))
}

// AllDown reports whether the processes of all candidates have exited.
func AllDown(candidates []Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Down })
}

// OnlyBackedOff reports whether all candidates that are up are backed off, and at least one is.
func OnlyBackedOff(candidates []Candidate) bool {
	return !AllDown(candidates) && !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Down && !c.BackedOff })
}

// Bounds of Retry-After for plain services and for engines.
const (
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = 2 * time.Second
	minEngineRetryAfter = 500 * time.Millisecond
	maxEngineRetryAfter = 4 * time.Second
	// retryTargets is the delay for callers of an engine, as a multiple of the target
	// latency. The refused request can't meet its target any more, and demand exceeds
	// the capacity of a model's replicas for the seconds until a burst passes or more
	// replicas are loaded. Most callers retry once; with a delay of half a target they
	// found the same runners still full.
	retryTargets = 4
	// backoffSpread is the time over which callers of one rank return after a runner's backoff, those
	// of the next rank after them. backoffMargin is the time before it in which the first request
	// finds out whether the backoff is over.
	backoffSpread  = 200 * time.Millisecond
	backoffMargin  = 50 * time.Millisecond
	maxBackoffRank = 5
	// retryJitter is the fraction of the delay that is randomised, so that callers
	// refused at the same time do not retry at the same time.
	retryJitter = 0.3
)

// maxDelay returns the longest delay that RetryAfter returns. At a plain service a share of the slots is free again
// after a fraction of the target latency of its requests.
func maxDelay(target time.Duration, engine bool) time.Duration {
	if !engine {
		return min(max(target/2, minRetryAfter), maxRetryAfter)
	}
	return min(max(retryTargets*target, minEngineRetryAfter), maxEngineRetryAfter)
}

// MinRetryAfter returns the shortest delay that RetryAfter returns.
func MinRetryAfter(target time.Duration, engine bool) time.Duration {
	wait := maxDelay(target, engine)
	if !engine {
		return wait
	}
	return time.Duration((1 - retryJitter) * float64(wait))
}

// RetryAfter returns the delay after which a refused caller is likely to find capacity.
func RetryAfter(target time.Duration, engine bool) time.Duration {
	wait := maxDelay(target, engine)
	if !engine {
		return wait
	}
	return wait - time.Duration(retryJitter*rand.Float64()*float64(wait))
}

// RetryAfterBackoff returns the delay for a caller refused because the runners are backed off, the
// first of them for a time left. Rank 0 is the most urgent.
func RetryAfterBackoff(left time.Duration, rank int) time.Duration {
	turn := float64(min(rank, maxBackoffRank)) + rand.Float64()
	return max(0, left) + backoffMargin + time.Duration(turn*float64(backoffSpread))
}
