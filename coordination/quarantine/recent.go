package quarantine

import (
	"sync"
	"time"

	"primroseward/core"
)

// maxRecent is how many served requests a daemon keeps track of: about 40 seconds at 200 per
// second, in half a megabyte.
const maxRecent = 8192

// recent holds the requests, or the prompt parts, that were served last.
type recent struct {
	clock core.Clock
	mu    sync.Mutex
	at    map[core.Digest]recentEntry
	ring  []core.Digest
	next  int
}

// recentEntry is when a request was served last, and whether that was again since the ring last came to
// it.
type recentEntry struct {
	at    time.Time
	again bool
}

func newRecent(clock core.Clock) *recent {
	return &recent{clock: clock, at: make(map[core.Digest]recentEntry), ring: make([]core.Digest, 0, maxRecent)}
}

// add records that a request was served now. When full, it drops the oldest entry that was not served
// again, so that those that are served often stay.
func (r *recent) add(d core.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.at[d]
	r.at[d] = recentEntry{at: r.clock.Now(), again: known}
	switch {
	case known:
	case len(r.ring) < maxRecent:
		r.ring = append(r.ring, d)
	default:
		r.dropOldest()
		r.ring[r.next] = d
		r.next = (r.next + 1) % maxRecent
	}
}

// dropOldest drops an entry and leaves next at its place in the ring. The caller holds the lock.
func (r *recent) dropOldest() {
	for {
		oldest := r.ring[r.next]
		e := r.at[oldest]
		if !e.again {
			delete(r.at, oldest)
			return
		}
		e.again = false
		r.at[oldest] = e
		r.next = (r.next + 1) % maxRecent
	}
}

// servedWithin reports whether a request was served no longer ago than age.
func (r *recent) servedWithin(d core.Digest, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.at[d]
	return ok && r.clock.Since(e.at) <= age
}
