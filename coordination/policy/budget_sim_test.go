package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/standin/budget"
)

// simBound is the budget that all daemons of a simulation share.
var simBound = budget.Bound{Ratio: 0.2, Slack: 56, Length: 10 * time.Second}

// usedShare is the part of the budget that daemons use.
const usedShare = 0.7

// simFleet are daemons whose requests are sent, and repeated as often as they are allowed to.
type simFleet struct {
	clock   *clockwork.FakeClock
	heard   int // daemons that each daemon hears, itself included
	daemons []*Budget
	log     budget.Log
	serial  int
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{clock: clockwork.NewFakeClock(), heard: n, daemons: make([]*Budget, n)}
	for i := range f.daemons {
		f.restart(i)
	}
	return f
}

func (f *simFleet) restart(i int) {
	f.daemons[i] = NewBudget(f.clock, simBound.Length, func() float64 { return simBound.Ratio * usedShare },
		func() float64 { return simBound.Slack * usedShare / float64(f.heard) })
}

// serve sends requests to a daemon that are served at once.
func (f *simFleet) serve(i, n int) {
	for range n {
		f.log.Sent(f.clock.Now())
		f.daemons[i].CountFirst("s")
	}
}

// send sends requests to a daemon. Each of them fails and is repeated if the budget allows it.
func (f *simFleet) send(i, n int) {
	for range n {
		f.serial++
		id := fmt.Sprint(f.serial)
		f.log.Sent(f.clock.Now())
		f.daemons[i].CountFirst("s")
		f.log.Arrived(id, f.clock.Now())
		if f.daemons[i].TakeRetry("s") {
			f.log.Arrived(id, f.clock.Now())
		}
	}
}

// TestBudgetHoldsInAnyWindow guards against retries beyond the budget in a window of any beginning: as
// daemons forget with a restart what they have sent, are cut off from each other and each uses the parts of
// the others, or count in a window shorter than the rule's.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(f *simFleet)
	}{
		{"in one window", func(f *simFleet) {
			for i := range f.daemons {
				f.send(i, 20)
			}
		}},
		{"bursts just within a window", func(f *simFleet) {
			f.clock.Advance(950 * time.Millisecond)
			for range 2 {
				for i := range f.daemons {
					f.send(i, 10)
				}
				f.clock.Advance(9100 * time.Millisecond)
			}
		}},
		{"cut off from each other", func(f *simFleet) {
			f.heard = 1
			for i := range f.daemons {
				f.send(i, 20)
			}
		}},
		{"restarted again and again", func(f *simFleet) {
			for range 5 {
				for i := range f.daemons {
					f.send(i, 10)
					f.restart(i)
				}
				f.clock.Advance(time.Second)
			}
		}},
		{"restarted between two windows of much traffic", func(f *simFleet) {
			for range 2 {
				for i := range f.daemons {
					f.restart(i)
					f.serve(i, 200)
				}
				f.clock.Advance(9900 * time.Millisecond)
				for i := range f.daemons {
					f.send(i, 40)
				}
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newSimFleet(8)
			tt.play(f)
			worst := simBound.Worst(&f.log)
			t.Log(worst)
			assert.Assert(t, worst.Excess() <= 0, "%s", worst)
		})
	}
}

// TestBudgetUnderRandomFaults guards against the same in any order and at any load.
func TestBudgetUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(rapid.IntRange(1, 8).Draw(t, "daemons"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.restart(i)
			case 1:
				f.heard = rapid.IntRange(1, len(f.daemons)).Draw(t, "heard")
			case 2, 3:
				f.send(i, rapid.IntRange(1, 200).Draw(t, "requests"))
			default:
				f.clock.Advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "pause")) * time.Millisecond)
			}
		}
		worst := simBound.Worst(&f.log)
		assert.Assert(t, worst.Excess() <= 0, "%s", worst)
	})
}
