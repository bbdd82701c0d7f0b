package policy

import (
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
	explained map[Instance]time.Time // exits whose cause is known, and since when
}

type requestExits struct {
	weights  map[Instance]int // of each runner instance's exit
	lastExit time.Time
	// suspects are the requests in progress at each exit that have the prompt part; nil in the record
	// of a request.
	suspects map[Instance]suspects
}

// NewExitRecords returns an empty ExitRecords.
func NewExitRecords() *ExitRecords {
	return &ExitRecords{byDigest: map[core.Digest]*requestExits{}, explained: map[Instance]time.Time{}}
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
	one := e.record(now, d)
	one.weights[instance] = max(one.weights[instance], weight)
	return len(one.weights), one.tooMany()
}

// record returns the record of a request or prompt part at which an exit is to be added.
func (e *ExitRecords) record(now time.Time, d core.Digest) *requestExits {
	one := e.byDigest[d]
	if one == nil || now.Sub(one.lastExit) > exitRetention {
		e.evict(now)
		one = &requestExits{weights: map[Instance]int{}}
		e.byDigest[d] = one
	}
	one.lastExit = now
	return one
}

// tooMany reports whether the sum of the exits' weights is reached that holds a request back.
func (r *requestExits) tooMany() bool {
	sum := 0
	for _, w := range r.weights {
		sum += w
	}
	return sum >= maxExitWeight
}

// Clear drops the recorded exits of a request.
func (e *ExitRecords) Clear(d core.Digest) { delete(e.byDigest, d) }

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
		if fewest == nil || len(one.weights) < len(fewest.weights) || len(one.weights) == len(fewest.weights) && one.lastExit.Before(fewest.lastExit) {
			victim, fewest = d, one
		}
	}
	if len(e.byDigest) >= maxTrackedRequests {
		delete(e.byDigest, victim)
	}
}
