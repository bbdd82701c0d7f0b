package quarantine

import (
	"sync"
	"time"

	"primroseward/core"
)

// recentMost is how many served requests a daemon remembers: those of some 40 seconds at
// 200 a second, in half a megabyte.
const recentMost = 8192

// recent remembers the requests that were served last.
type recent struct {
	clock core.Clock
	mu    sync.Mutex
	at    map[core.Digest]time.Time
	ring  []core.Digest
	next  int
}

func newRecent(clock core.Clock) *recent {
	return &recent{clock: clock, at: make(map[core.Digest]time.Time), ring: make([]core.Digest, 0, recentMost)}
}

// add remembers that a request was served now, in the place of the one remembered first.
func (r *recent) add(d core.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.at[d]
	r.at[d] = r.clock.Now()
	switch {
	case known:
	case len(r.ring) < recentMost:
		r.ring = append(r.ring, d)
	default:
		delete(r.at, r.ring[r.next])
		r.ring[r.next] = d
		r.next = (r.next + 1) % recentMost
	}
}

// within says whether a request was served not longer ago than a time.
func (r *recent) within(d core.Digest, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.at[d]
	return ok && r.clock.Since(at) <= age
}
