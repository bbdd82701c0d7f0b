package load

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
)

// All daemons send to the runner that each of them thinks idle. The count is the
// higher of what all have told and what the runner told, with what was sent from
// here since.
func TestRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock)
	requests := func() int {
		n, _ := l.Requests("r")
		return n
	}
	l.Begin("r", 1)
	l.Begin("r", 1)
	assert.Equal(t, requests(), 2)
	l.Heard("d2", map[string]core.Counts{"r": {0, 3}, "other": {9}})
	assert.Equal(t, requests(), 5)
	l.Said("r", core.Load{Running: 6, Waiting: 4, Slots: 8})
	assert.Equal(t, requests(), 10)
	l.Begin("r", 1)
	assert.Equal(t, requests(), 11)
	clock.Advance(reportMemory)
	assert.Equal(t, requests(), 6, "the runner's word is old")
	clock.Advance(peerMemory)
	assert.Equal(t, requests(), 3, "the daemon is silent")
	for range 3 {
		l.End("r", 1)
	}
	assert.Equal(t, requests(), 0)
	assert.Equal(t, len(l.Own()), 0)
}

// A runner that fails is left alone for a while and probed back by a few.
func TestPenalty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock)
	penalty := func() float64 {
		_, p := l.Requests("r")
		return p
	}
	for range 20 {
		l.Failed("r")
	}
	assert.Equal(t, penalty(), float64(penaltyMax))
	clock.Advance(penaltyHalf)
	assert.Equal(t, penalty(), float64(penaltyMax)/2)
	l.Worked("r")
	assert.Equal(t, penalty(), float64(penaltyMax)/4)
	for range 10 {
		l.Worked("r")
	}
	assert.Equal(t, penalty(), 0.0)
	l.Failed("r")
	l.Forget("r")
	assert.Equal(t, penalty(), 0.0)
	clock.Advance(time.Hour)
	assert.Equal(t, penalty(), 0.0)
}

// Urgent labels are refused while runners are full of drafts, which would give way to
// them: only what is at least as urgent is in a request's way.
func TestAhead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Begin("r", 0)
	l.Begin("r", 2)
	l.Heard("d2", map[string]core.Counts{"r": {1, 0, 5, 2}})
	ahead := func() (out []int) {
		for p := range 5 {
			out = append(out, l.Ahead("r", p))
		}
		return out
	}
	assert.DeepEqual(t, ahead(), []int{2, 2, 8, 10, 10})
	l.Said("r", core.Load{Running: 12, Waiting: 8})
	assert.DeepEqual(t, ahead(), []int{4, 4, 16, 20, 20})
	assert.Equal(t, l.Ahead("other", 0), 0)
	l.Said("other", core.Load{Running: 7})
	assert.Equal(t, l.Ahead("other", 0), 7, "nothing is known of their urgency")
}
