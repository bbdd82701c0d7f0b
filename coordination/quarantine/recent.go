package quarantine

import (
	"sync"
	"time"

	"primroseward/core"
)

// maxRecent is how many served requests a daemon keeps track of: about 40 seconds at 200 per
// second, in half a megabyte.
const maxRecent = 8192

// recent holds when the requests were served that were served last.
type recent struct {
	clock core.Clock
	mu    sync.Mutex
	at    *digests[time.Time]
}

func newRecent(clock core.Clock) *recent {
	return &recent{clock: clock, at: newDigests[time.Time](maxRecent)}
}

// add records that a request was served now.
func (r *recent) add(d core.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.at.use(d) = r.clock.Now()
}

// servedWithin reports whether a request was served no longer ago than age.
func (r *recent) servedWithin(d core.Digest, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.at.get(d)
	return at != nil && r.clock.Since(*at) <= age
}
