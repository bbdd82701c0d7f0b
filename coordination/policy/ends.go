package policy

import (
	"time"

	"primroseward/core"
)

const (
	// crashLimit is how many runners that had begun a request may end under it before it is
	// held back. With one or two, requests that were there by chance would be held as well.
	crashLimit = 3
	// freshWeight weighs the end of a runner that had just begun the request. One that ends
	// its runner is always in that state, of the others hardly any: two ends are enough.
	// begunWeight is for one that had begun it at any time, waitingWeight for one where it may
	// still have waited for its turn.
	freshWeight   = 3
	begunWeight   = 2
	waitingWeight = 1
	// endMemory is how long the end of a runner counts.
	endMemory = 10 * time.Minute
	// endsMost bounds the requests of which ends are kept. Each runner that ends leaves
	// as many as it had in progress, nearly all of which never come again.
	endsMost = 8192
)

// Life stands for one life of a runner, from a start to its end.
type Life uint64

// Ends keeps under which requests runners have ended. A request that was at work on
// a runner when it ended may have ended it, or only have been there; one that is there at
// every end and is never served is taken for the cause. It is not safe for concurrent use.
type Ends struct {
	by map[core.Digest]*endings
}

type endings struct {
	lives map[Life]int // weight of each runner's end
	last  time.Time
}

// NewEnds returns an empty Ends.
func NewEnds() *Ends { return &Ends{by: map[core.Digest]*endings{}} }

// Add counts the end of a runner under a request, once however often it is told. It
// returns how many runners have ended under it, and whether it is to be held back.
func (e *Ends) Add(now time.Time, d core.Digest, life Life, begun bool) (runners int, hold bool) {
	if begun {
		return e.add(now, d, life, begunWeight)
	}
	return e.add(now, d, life, waitingWeight)
}

// AddFresh is Add for a request that the runner had just begun.
func (e *Ends) AddFresh(now time.Time, d core.Digest, life Life) (runners int, hold bool) {
	return e.add(now, d, life, freshWeight)
}

func (e *Ends) add(now time.Time, d core.Digest, life Life, weight int) (runners int, hold bool) {
	one := e.by[d]
	if one == nil || now.Sub(one.last) > endMemory {
		e.makeRoom(now)
		one = &endings{lives: map[Life]int{}}
		e.by[d] = one
	}
	one.lives[life] = max(one.lives[life], weight)
	one.last = now
	sum := 0
	for _, w := range one.lives {
		sum += w
	}
	return len(one.lives), sum >= crashLimit*begunWeight
}

// Clear forgets what is held against a request.
func (e *Ends) Clear(d core.Digest) { delete(e.by, d) }

// makeRoom drops what is too old, and where that is not enough the requests under which
// the fewest runners have ended, oldest first.
func (e *Ends) makeRoom(now time.Time) {
	if len(e.by) < endsMost {
		return
	}
	var least core.Digest
	var found *endings
	for d, one := range e.by {
		if now.Sub(one.last) > endMemory {
			delete(e.by, d)
			continue
		}
		if found == nil || len(one.lives) < len(found.lives) || len(one.lives) == len(found.lives) && one.last.Before(found.last) {
			least, found = d, one
		}
	}
	if len(e.by) >= endsMost {
		delete(e.by, least)
	}
}
