package policy

import (
	"time"

	"primroseward/core"
)

const (
	// crashLimit is how many runners that had begun a request may end under it before it is
	// held back. With one or two, requests that were there by chance would be held as well.
	crashLimit = 3
	// freshBlame weighs the end of a runner that had just begun the request. One that ends
	// its runner is always in that state, of the others hardly any: two ends are enough.
	// strongBlame is for one that had begun it at any time, weakBlame for one where it may
	// still have waited for its turn.
	freshBlame  = 3
	strongBlame = 2
	weakBlame   = 1
	// blameMemory is how long the end of a runner counts.
	blameMemory = 10 * time.Minute
	// blameMost bounds the requests of which ends are kept. Each runner that ends leaves
	// as many as it had in progress, nearly all of which never come again.
	blameMost = 8192
)

// Life stands for one life of a runner, from a start to its end.
type Life uint64

// Blame keeps under which requests runners have ended. A request that was at work on
// a runner when it ended may have ended it, or only have been there; one that is there at
// every end and is never served is taken for the cause. It is not safe for concurrent use.
type Blame struct {
	by map[core.Digest]*blamed
}

type blamed struct {
	lives map[Life]int // weight of each runner's end
	last  time.Time
}

// NewBlame returns an empty Blame.
func NewBlame() *Blame { return &Blame{by: map[core.Digest]*blamed{}} }

// Strike counts the end of a runner under a request, once however often it is told. It
// returns how many runners have ended under it, and whether it is to be held back.
func (b *Blame) Strike(now time.Time, d core.Digest, life Life, begun bool) (runners int, hold bool) {
	if begun {
		return b.strike(now, d, life, strongBlame)
	}
	return b.strike(now, d, life, weakBlame)
}

// StrikeFresh is Strike for a request that the runner had just begun.
func (b *Blame) StrikeFresh(now time.Time, d core.Digest, life Life) (runners int, hold bool) {
	return b.strike(now, d, life, freshBlame)
}

func (b *Blame) strike(now time.Time, d core.Digest, life Life, weight int) (runners int, hold bool) {
	one := b.by[d]
	if one == nil || now.Sub(one.last) > blameMemory {
		b.makeRoom(now)
		one = &blamed{lives: map[Life]int{}}
		b.by[d] = one
	}
	one.lives[life] = max(one.lives[life], weight)
	one.last = now
	sum := 0
	for _, w := range one.lives {
		sum += w
	}
	return len(one.lives), sum >= crashLimit*strongBlame
}

// Clear forgets what is held against a request.
func (b *Blame) Clear(d core.Digest) { delete(b.by, d) }

// makeRoom drops what is too old, and where that is not enough the requests under which
// the fewest runners have ended, oldest first.
func (b *Blame) makeRoom(now time.Time) {
	if len(b.by) < blameMost {
		return
	}
	var least core.Digest
	var found *blamed
	for d, one := range b.by {
		if now.Sub(one.last) > blameMemory {
			delete(b.by, d)
			continue
		}
		if found == nil || len(one.lives) < len(found.lives) || len(one.lives) == len(found.lives) && one.last.Before(found.last) {
			least, found = d, one
		}
	}
	if len(b.by) >= blameMost {
		delete(b.by, least)
	}
}
