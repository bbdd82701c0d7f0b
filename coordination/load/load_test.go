package load

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/coordination/peers"
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
	l.Begin("r")
	l.Begin("r")
	assert.Equal(t, requests(), 2)
	l.Heard("d2", map[string]int{"r": 3, "other": 9})
	assert.Equal(t, requests(), 5)
	l.Said("r", core.Load{Running: 6, Waiting: 4, Slots: 8})
	assert.Equal(t, requests(), 10)
	l.Begin("r")
	assert.Equal(t, requests(), 11)
	clock.Advance(reportMemory)
	assert.Equal(t, requests(), 6, "the runner's word is old")
	clock.Advance(peerMemory)
	assert.Equal(t, requests(), 3, "the daemon is silent")
	for range 3 {
		l.End("r")
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

// One in six requests goes to a runner that has no room: of a runner's requests a
// daemon of a large fleet sees those of its own place only. The places tell each
// other their sums, which count until they are old.
func TestLoadsOfOtherPlaces(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := New(clock)
	a.Begin("r1")
	a.Heard("near", map[string]int{"r1": 2, "r2": 1})
	assert.DeepEqual(t, a.Place(), map[string]int{"r1": 3, "r2": 1})
	a.HeardPlace("south", map[string]int{"r1": 4})
	a.HeardPlace("south", map[string]int{"r1": 5})
	a.HeardPlace("east", map[string]int{"r1": 1})
	n, _ := a.Requests("r1")
	assert.Equal(t, n, 9)
	assert.DeepEqual(t, a.Place(), map[string]int{"r1": 3, "r2": 1}) // what others told is not told again
	clock.Advance(peerMemory)
	n, _ = a.Requests("r1")
	assert.Equal(t, n, 1)
}

// Two daemons of each other place are told, the same ones whoever tells.
func TestSpeakers(t *testing.T) {
	var alive []peers.Peer
	for i := range 40 {
		p := peers.Peer{Name: fmt.Sprint("d", i), Place: fmt.Sprint("p", i%4), Leaving: i < 8}
		p.Ready = i != 9
		alive = append(alive, p)
	}
	told := speakers(alive, "p0")
	assert.Equal(t, len(told), 3*shareTo)
	slices.Reverse(alive)
	assert.DeepEqual(t, names(speakers(alive, "p0")), names(told))
	for _, p := range told {
		assert.Assert(t, p.Place != "p0" && !p.Leaving && p.Ready, "%v", p)
	}
}

func names(list []peers.Peer) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Name)
	}
	return out
}
