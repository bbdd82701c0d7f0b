package policy

import (
	"maps"
	"time"

	"primroseward/core"
)

const (
	// exitLimit is how many runners that had started a request may exit while it is in
	// progress before it is held back. With a limit of one or two, requests that were
	// there by chance would be held back as well.
	exitLimit = 3
	// freshWeight is the weight of the exit of a runner that had just started the request.
	// A request that crashes its runner is always in that state, others hardly ever: two
	// such exits are enough. startedWeight is for a runner that had started the request at
	// any earlier time, queuedWeight for one where it may still have been queued.
	freshWeight   = 3
	startedWeight = 2
	queuedWeight  = 1
	// maxExitWeight is the sum of weights from which on a request is held back.
	maxExitWeight = exitLimit * startedWeight
	// exitRetention is how long a runner's exit counts.
	exitRetention = 10 * time.Minute
	// maxTrackedRequests bounds the requests with recorded exits. Each exit adds all requests
	// in progress at that runner, nearly all of which never come again.
	maxTrackedRequests = 8192
)

// Instance identifies one instance of a runner, from its start to its exit.
type Instance uint64

// ExitRecords records the requests that were in progress at runners that exited. A request in
// progress at an exit may have caused it or may have been there by chance; one that is
// present at every exit and is never served is taken for the cause. ExitRecords is not
// safe for concurrent use.
type ExitRecords struct {
	byDigest  map[core.Digest]*requestExits
	explained map[Instance]Explanation
}

type requestExits struct {
	exits    map[Instance]*exit
	lastExit time.Time
}

// exit is the exit of one runner with a request in progress, or with requests that share a prompt part.
type exit struct {
	weight int
	since  time.Time // when it was first reported
	// cleared: it does not count, also if it is reported again, as the request has been served since.
	cleared bool
	suspects
}

// counts reports whether it counts if it must have been reported until a time.
func (x *exit) counts(until time.Time) bool { return !x.cleared && !x.since.After(until) }

// NewExitRecords returns an empty ExitRecords.
func NewExitRecords() *ExitRecords {
	return &ExitRecords{byDigest: map[core.Digest]*requestExits{}, explained: map[Instance]Explanation{}}
}

// Add records the exit of a runner with a request in progress. Repeated reports of one exit
// count once. It returns how many runners have exited with the request in progress, and
// whether it must be held back.
func (e *ExitRecords) Add(now time.Time, d core.Digest, instance Instance, started bool) (runners int, hold bool) {
	if started {
		return e.add(now, d, instance, startedWeight)
	}
	return e.add(now, d, instance, queuedWeight)
}

// AddFresh is Add for a request that the runner had just started.
func (e *ExitRecords) AddFresh(now time.Time, d core.Digest, instance Instance) (runners int, hold bool) {
	return e.add(now, d, instance, freshWeight)
}

func (e *ExitRecords) add(now time.Time, d core.Digest, instance Instance, weight int) (runners int, hold bool) {
	if e.record(now, d, d, instance, weight) == nil {
		return 0, false
	}
	return e.byDigest[d].runners(), e.Held(d, now)
}

// runners counts the exits that have not been cleared.
func (r *requestExits) runners() int {
	n := 0
	for _, x := range r.exits {
		if !x.cleared {
			n++
		}
	}
	return n
}

// record records an exit under a request, or under a request with a prompt part. It returns nil if the cause
// of the exit is known.
func (e *ExitRecords) record(now time.Time, d, request core.Digest, instance Instance, weight int) *exit {
	if by, ok := e.explained[instance]; ok && by.Cause != d && (by.Part || by.Cause != request) {
		return nil
	}
	one := e.byDigest[d]
	if one == nil || now.Sub(one.lastExit) > exitRetention {
		e.evict(now)
		one = &requestExits{exits: map[Instance]*exit{}}
		e.byDigest[d] = one
	}
	one.lastExit = now
	x := one.exits[instance]
	if x == nil {
		maps.DeleteFunc(one.exits, func(_ Instance, old *exit) bool { return now.Sub(old.since) > exitRetention })
		x = &exit{since: now}
		one.exits[instance] = x
	}
	x.weight = max(x.weight, weight)
	return x
}

// SetAge records how long a request had been at a runner that exited.
func (e *ExitRecords) SetAge(d core.Digest, instance Instance, age time.Duration) {
	if one := e.byDigest[d]; one != nil && one.exits[instance] != nil {
		one.exits[instance].setAge("", age)
	}
}

// Held reports whether the exits that were reported until a time suffice to hold a request or prompt part
// back.
func (e *ExitRecords) Held(d core.Digest, until time.Time) bool {
	one := e.byDigest[d]
	if one == nil {
		return false
	}
	sum := 0
	var requests []core.Digest // no more than minSuspects, as there may be many
	for _, x := range one.exits {
		if !x.counts(until) {
			continue
		}
		sum += x.weight
		for _, r := range x.requests {
			if len(requests) < minSuspects {
				requests = addNew(requests, r)
			}
		}
	}
	return sum >= maxExitWeight && (requests == nil || len(requests) >= minSuspects)
}

// InDoubt reports whether something else that was in progress at the same exits may well be their cause: for
// a request that no runner had just started, and for the first part of prompts, which most requests share.
func (e *ExitRecords) InDoubt(d core.Digest) bool {
	one := e.byDigest[d]
	if one == nil {
		return false
	}
	fresh := false
	for _, x := range one.exits {
		if x.cleared {
			continue
		}
		if x.first {
			return true
		}
		fresh = fresh || x.weight == freshWeight
	}
	return !fresh
}

// Drop drops the recorded exits of a request.
func (e *ExitRecords) Drop(d core.Digest) { delete(e.byDigest, d) }

// Clear makes the exits that were reported so far not count for a request, as it has been served. Others may be
// reporting them still.
func (e *ExitRecords) Clear(d core.Digest) {
	if one := e.byDigest[d]; one != nil {
		for _, x := range one.exits {
			x.cleared = true
		}
	}
}

// evict removes expired records and, if that is not enough, the request with the fewest
// exits, the one with the oldest last exit first.
func (e *ExitRecords) evict(now time.Time) {
	if len(e.byDigest) < maxTrackedRequests {
		return
	}
	var victim core.Digest
	var fewest *requestExits
	for d, one := range e.byDigest {
		if now.Sub(one.lastExit) > exitRetention {
			delete(e.byDigest, d)
			continue
		}
		if fewest == nil || len(one.exits) < len(fewest.exits) || len(one.exits) == len(fewest.exits) && one.lastExit.Before(fewest.lastExit) {
			victim, fewest = d, one
		}
	}
	if len(e.byDigest) >= maxTrackedRequests {
		delete(e.byDigest, victim)
	}
}
