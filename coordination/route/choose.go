// Package route decides which runner serves a request and whether a failed attempt may
// be retried. It does no I/O.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/state/directory"
)

const (
	// otherDataCentreCost is the cost of sending a request to another data centre: the
	// round trip.
	otherDataCentreCost = 3 * time.Millisecond
	// costPerQueued is the cost of each request beyond the number of slots, until the
	// owner's next report gives the actual wait.
	costPerQueued = 50 * time.Millisecond
	// prefillSavedPerKB is the approximate prefill time that each cached kilobyte of the
	// prompt saves.
	prefillSavedPerKB = 2 * time.Millisecond
	maxPrefixBytes    = 32 << 10
	// tieTolerance is the difference below which candidates count as equal, so that
	// entries with the same reports do not all choose the same runner.
	tieTolerance = 2 * time.Millisecond
)

// Candidate is a runner that may serve a request.
type Candidate struct {
	directory.Report
	Sent    int           // requests dispatched by this daemon since the report was made
	Penalty time.Duration // for recently failed attempts
}

// Requirements holds the properties of a request on which the choice depends.
type Requirements struct {
	DataCentre string // data centre of the entry
	Prefix     []byte // start of the prompt, for the engines' prefix caches
}

// Cost returns the expected time to first byte at a candidate, without the prefill.
func (a Requirements) Cost(c *Candidate) time.Duration {
	cost := c.Wait + c.Penalty
	if c.DataCentre != a.DataCentre {
		cost += otherDataCentreCost
	}
	if excess := c.Running + c.Queued + c.Sent - c.Slots + 1; excess > 0 {
		cost += time.Duration(excess) * costPerQueued / time.Duration(max(1, c.Slots))
	}
	return cost
}

// Choose returns the index of the best candidate, or -1 if there is none. The runner that
// the prompt's prefix hashes to is preferred: its cost is reduced by the prefill time that
// its cache is likely to save. This needs no cache events from the engines, and a wrong
// guess costs only time.
func (a Requirements) Choose(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	cached := a.cachedAt(candidates)
	saved := time.Duration(min(len(a.Prefix), maxPrefixBytes)/1024) * prefillSavedPerKB
	best := time.Duration(1<<63 - 1)
	var ties []int
	for i := range candidates {
		cost := a.Cost(&candidates[i])
		if i == cached {
			cost -= saved
		}
		switch {
		case cost < best-tieTolerance:
			best = cost
			ties = append(ties[:0], i)
		case cost <= best+tieTolerance:
			best = min(best, cost)
			ties = append(ties, i)
		}
	}
	if slices.Contains(ties, cached) && saved > 0 {
		return cached
	}
	return ties[rand.IntN(len(ties))]
}

// cachedAt returns the index of the candidate that the prefix hashes to (rendezvous
// hashing), or -1 without a prefix.
func (a Requirements) cachedAt(candidates []Candidate) int {
	if len(a.Prefix) == 0 {
		return -1
	}
	best := -1
	var bestScore uint64
	digest := xxhash.Sum64(a.Prefix[:min(len(a.Prefix), maxPrefixBytes)])
	for i := range candidates {
		score := (digest ^ xxhash.Sum64String(candidates[i].Runner)) * 0x9e3779b97f4a7c15
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
