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
		return l.View("r").Requests
	}
	ends := []func(){l.Begin("r"), l.Begin("r")}
	assert.Equal(t, requests(), 2)
	l.Heard("d2", map[core.Code]int{core.CodeOf("r"): 3, core.CodeOf("other"): 9})
	assert.Equal(t, requests(), 5)
	l.Said("r", core.Load{Running: 6, Waiting: 4, Slots: 8})
	assert.Equal(t, requests(), 10)
	ends = append(ends, l.Begin("r"))
	assert.Equal(t, requests(), 11)
	clock.Advance(reportMemory)
	assert.Equal(t, requests(), 6, "the runner's word is old")
	clock.Advance(peerMemory)
	assert.Equal(t, requests(), 3, "the daemon is silent")
	for i := range ends {
		ends[i]()
	}
	assert.Equal(t, requests(), 0)
	assert.Equal(t, len(l.Own()), 0)
}

// A runner that fails is left alone for a while and probed back by a few.
func TestPenalty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock)
	penalty := func() float64 {
		return l.View("r").Penalty
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

// A runner that has started again gets no work, or too much: requests to its former
// life are counted as in progress, and their ends are counted as ends of new ones.
func TestRestart(t *testing.T) {
	l := New(clockwork.NewFakeClock())
	requests := func() int {
		return l.View("r").Requests
	}
	former := l.Begin("r")
	l.Heard("d2", map[core.Code]int{core.CodeOf("r"): 3})
	l.Said("r", core.Load{Running: 9, Slots: 8})
	l.Failed("r")
	l.Restarted("r")
	v := l.View("r")
	n, penalty := v.Requests, v.Penalty
	assert.Equal(t, n, 0)
	assert.Equal(t, penalty, 0.0)
	next := l.Begin("r")
	former()
	assert.Equal(t, requests(), 1)
	next()
	next()
	assert.Equal(t, requests(), 0)
	assert.Equal(t, len(l.Own()), 0)
}

// The models of a runner that has crashed are not brought back, and each daemon sends it
// requests: its entry stands for three heartbeats. A refused connection tells at once,
// here and at the daemons that are told; an answer, a restart or time take it back.
func TestRunnersThatRefuseConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := New(clock), New(clock)
	assert.Assert(t, a.Refused("r"))
	assert.Assert(t, !a.Refused("r"), "it is known")
	assert.DeepEqual(t, a.OwnDown(), []core.Code{core.CodeOf("r")})
	b.HeardDown(a.OwnDown())
	assert.Assert(t, a.Down("r") && b.Down("r") && !a.Down("other"))
	assert.Equal(t, len(b.OwnDown()), 0, "a word is not passed on")
	clock.Advance(toldMemory)
	assert.Assert(t, a.Down("r") && !b.Down("r"), "a word holds for as long as it is repeated")
	clock.Advance(downMemory)
	assert.Assert(t, !a.Down("r") && len(a.OwnDown()) == 0)
	assert.Assert(t, b.Probe("r") && !b.Probe("r"), "one request may try it")
	clock.Advance(probeEvery)
	assert.Assert(t, b.Probe("r"))
	for _, back := range []func(*Table){
		func(l *Table) { l.Answered("r") }, func(l *Table) { l.Restarted("r") }, func(l *Table) { l.Forget("r") },
	} {
		a.Refused("r")
		a.HeardDown([]core.Code{core.CodeOf("r")})
		a.Probe("r")
		back(a)
		assert.Assert(t, !a.Down("r") && a.Probe("r"))
	}
}
