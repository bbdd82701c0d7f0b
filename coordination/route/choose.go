// Package route decides which runner serves a request and whether a failed
// attempt may be tried again. Its decisions are pure.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/state/directory"
)

const (
	// otherPlace is what a request to another place costs, both ways.
	otherPlace = 3 * time.Millisecond
	// perQueued is what one request more than there are slots costs, until an
	// owner's report says better.
	perQueued = 50 * time.Millisecond
	// prefillPerKB is what a cached kilobyte of prompt saves, roughly.
	prefillPerKB = 2 * time.Millisecond
	maxPrefix    = 32 << 10
	// tie is the difference below which candidates count as equal, so that
	// entries with the same reports do not all choose the same runner.
	tie = 2 * time.Millisecond
)

// Candidate is a runner that may serve a request.
type Candidate struct {
	directory.Report
	Sent    int           // dispatched from here since the report was made
	Penalty time.Duration // for lately failed attempts
}

// Ask is what a choice depends on besides the candidates.
type Ask struct {
	Place  string // of the entry
	Prefix []byte // start of the prompt, for the engines' prefix caches
}

// Cost is the expected time to first byte at a candidate beyond the prefill.
func (a Ask) Cost(c *Candidate) time.Duration {
	cost := c.Wait + c.Penalty
	if c.Place != a.Place {
		cost += otherPlace
	}
	if over := c.Running + c.Queued + c.Sent - c.Slots + 1; over > 0 {
		cost += time.Duration(over) * perQueued / time.Duration(max(1, c.Slots))
	}
	return cost
}

// Choose returns the index of the best candidate, or -1 when there is none.
// The runner that the prompt's prefix hashes to is preferred by the prefill
// that its cache is likely to save: no cache event is needed for that, and
// what is lost with a late or missing event is only time.
func (a Ask) Choose(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	home := a.home(candidates)
	saved := time.Duration(min(len(a.Prefix), maxPrefix)/1024) * prefillPerKB
	best := time.Duration(1<<63 - 1)
	var ties []int
	for i := range candidates {
		cost := a.Cost(&candidates[i])
		if i == home {
			cost -= saved
		}
		switch {
		case cost < best-tie:
			best = cost
			ties = append(ties[:0], i)
		case cost <= best+tie:
			best = min(best, cost)
			ties = append(ties, i)
		}
	}
	if slices.Contains(ties, home) && saved > 0 {
		return home
	}
	return ties[rand.IntN(len(ties))]
}

// home is the candidate that the prefix hashes to, or -1.
func (a Ask) home(candidates []Candidate) int {
	if len(a.Prefix) == 0 {
		return -1
	}
	home := -1
	var top uint64
	digest := xxhash.Sum64(a.Prefix[:min(len(a.Prefix), maxPrefix)])
	for i := range candidates {
		score := (digest ^ xxhash.Sum64String(candidates[i].Runner)) * 0x9e3779b97f4a7c15
		if home < 0 || score > top {
			home, top = i, score
		}
	}
	return home
}
