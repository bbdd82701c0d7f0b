package quarantine

import (
	"sync"
	"time"

	"primroseward/core"
)

// maxRecent is how many served requests a daemon keeps track of: about 40 seconds at 200 per
// second, in half a megabyte.
const maxRecent = 8192

// recent holds the requests that were served last.
type recent struct {
	clock core.Clock
	mu    sync.Mutex
	at    map[core.Digest]time.Time
	ring  []core.Digest
	next  int
}

func newRecent(clock core.Clock) *recent {
	return &recent{clock: clock, at: make(map[core.Digest]time.Time), ring: make([]core.Digest, 0, maxRecent)}
}

// add records that a request was served now, and drops the oldest entry when full.
func (r *recent) add(d core.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.at[d]
	r.at[d] = r.clock.Now()
	switch {
	case known:
	case len(r.ring) < maxRecent:
		r.ring = append(r.ring, d)
	default:
		delete(r.at, r.ring[r.next])
		r.ring[r.next] = d
		r.next = (r.next + 1) % maxRecent
	}
}

// servedWithin reports whether a request was served no longer ago than age.
func (r *recent) servedWithin(d core.Digest, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.at[d]
	return ok && r.clock.Since(at) <= age
}
