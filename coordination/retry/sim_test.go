package retry

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

// simFleet are daemons whose requests are sent, and repeated as often as they are allowed to.
type simFleet struct {
	clock   *clockwork.FakeClock
	daemons []*Budget
	log     budget.Log
	serial  int
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{clock: clockwork.NewFakeClock(), daemons: make([]*Budget, n)}
	for i := range f.daemons {
		f.restart(i)
	}
	return f
}

func (f *simFleet) restart(i int) {
	f.daemons[i] = New(f.clock, func() Limits { return Limits{Window: simBound.Length, Ratio: simBound.Ratio, Slack: simBound.Slack} }, func() int { return len(f.daemons) })
}

// serve sends requests to a daemon that are served at once.
func (f *simFleet) serve(i, n int) {
	for range n {
		f.log.Sent(f.clock.Now())
		f.daemons[i].CountRequest("s")
	}
}

// send sends requests to a daemon. Each of them fails and is repeated if the budget allows it.
func (f *simFleet) send(i, n int) {
	for range n {
		f.serial++
		id := fmt.Sprint(f.serial)
		f.log.Sent(f.clock.Now())
		f.daemons[i].CountRequest("s")
		f.log.Arrived(id, f.clock.Now())
		if _, ok := f.daemons[i].Take("s"); ok {
			f.log.Arrived(id, f.clock.Now())
		}
	}
}

// TestBudgetHoldsInAnyWindow guards against retries beyond the budget in a window of any beginning: as
// daemons forget with a restart what they have sent, or count in a window shorter than the budget's.
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
		{"saved up, used up and received again", func(f *simFleet) {
			f.clock.Advance(time.Minute)
			for range 10 {
				for i := range f.daemons {
					f.serve(i, 40)
				}
				f.clock.Advance(990 * time.Millisecond)
			}
			for range 10 {
				for i := range f.daemons {
					f.send(i, 40)
				}
				f.clock.Advance(990 * time.Millisecond)
			}
		}},
		{"bursts just within a window", func(f *simFleet) {
			f.clock.Advance(time.Minute + 950*time.Millisecond)
			for range 2 {
				for i := range f.daemons {
					f.send(i, 10)
				}
				f.clock.Advance(9100 * time.Millisecond)
			}
		}},
		{"saved up, all used at once", func(f *simFleet) {
			f.clock.Advance(time.Minute)
			for i := range f.daemons {
				f.send(i, 20)
			}
		}},
		{"little traffic after much", func(f *simFleet) {
			for range 60 {
				for i := range f.daemons {
					f.serve(i, 40)
				}
				f.clock.Advance(time.Second)
			}
			f.clock.Advance(25 * time.Second)
			for i := range f.daemons {
				f.send(i, 50)
			}
		}},
		{"restarted again and again", func(f *simFleet) {
			f.clock.Advance(time.Minute)
			for range 10 {
				for i := range f.daemons {
					f.send(i, 5)
					f.restart(i)
				}
				f.clock.Advance(900 * time.Millisecond)
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
				for i := range f.daemons {
					f.restart(i)
				}
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

// TestRetriesAreBounded guards against the failure of half of a service that doubles the load on the
// other half, which would fail as well.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		const ratio, slack = 0.2, 5.0
		b := New(clock, func() Limits { return Limits{Window: 10 * time.Second, Ratio: ratio, Slack: slack} }, func() int { return 1 })
		clock.Advance(time.Minute)
		type event struct {
			at      time.Time
			isRetry bool
		}
		var events []event
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.CountRequest("s")
				events = append(events, event{clock.Now(), false})
			} else if _, ok := b.Take("s"); ok {
				events = append(events, event{clock.Now(), true})
			}
		}
		// Requests count in the current window or in the one before it.
		for _, end := range events {
			firstSends, retries := 0, 0
			for _, e := range events {
				age := end.at.Sub(e.at)
				if age < 0 || age >= 20*time.Second {
					continue
				}
				if !e.isRetry {
					firstSends++
				} else if age < 10*time.Second {
					retries++
				}
			}
			assert.Assert(t, float64(retries) <= ratio*float64(firstSends)+slack, "%d retries of %d requests", retries, firstSends)
		}
	})
}
