package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	waiting [][]waitingRetry // by daemon
	late    []lateArrival    // that are under way, first to arrive first
}

// lateArrival is a send that its receiver reads later.
type lateArrival struct {
	id   string
	at   time.Time
	read func()
}

// waitingRetry is a retry that waits until there is room for its request.
type waitingRetry struct {
	id    string
	retry *Retry
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{clock: clockwork.NewFakeClock(), daemons: make([]*Budget, n), waiting: make([][]waitingRetry, n)}
	for i := range f.daemons {
		f.restart(i)
	}
	return f
}

// advance lets time pass. What is under way arrives meanwhile.
func (f *simFleet) advance(d time.Duration) {
	until := f.clock.Now().Add(d)
	for len(f.late) > 0 && !f.late[0].at.After(until) {
		next := f.late[0]
		f.late = f.late[1:]
		f.clock.Advance(next.at.Sub(f.clock.Now()))
		f.log.Arrived(next.id, f.clock.Now())
		next.read()
	}
	f.clock.Advance(until.Sub(f.clock.Now()))
}

// deliver makes a send of a request arrive after a time. An answer or the end of the connection shows that if known is true;
// otherwise the daemon has given it up, and finds out as its receiver goes on.
func (f *simFleet) deliver(id string, sends *Sends, after time.Duration, known bool) {
	at := f.clock.Now().Add(after)
	send := sends.Begin(func() bool { return !f.clock.Now().Before(at) })
	arrival := lateArrival{id, at, func() {}}
	if known {
		arrival.read = send.Arrived
	}
	if after == 0 {
		f.log.Arrived(id, at)
		arrival.read()
		return
	}
	f.late = append(f.late, arrival)
	slices.SortStableFunc(f.late, func(a, b lateArrival) int { return a.at.Compare(b.at) })
}

// sendLate sends requests to a daemon, each of which is sent once more at once, if the budget allows it. The sends arrive after
// the given times.
func (f *simFleet) sendLate(i, n int, first, second time.Duration) {
	for range n {
		f.serial++
		id := fmt.Sprint(f.serial)
		f.log.Sent(f.clock.Now())
		f.daemons[i].CountRequest("s")
		sends := f.daemons[i].Sends("s")
		f.deliver(id, sends, first, first == 0)
		if r, _ := f.daemons[i].Take("s"); r != nil && r.Spend(sends) == nil {
			f.deliver(id, sends, second, second == 0)
		}
		sends.End(false)
	}
}

func (f *simFleet) restart(i int) {
	f.waiting[i] = nil
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
	f.hold(i, n)
	f.sendWaiting(i)
}

// hold is send, but the repeats wait.
func (f *simFleet) hold(i, n int) {
	for range n {
		f.serial++
		id := fmt.Sprint(f.serial)
		f.log.Sent(f.clock.Now())
		f.daemons[i].CountRequest("s")
		f.log.Arrived(id, f.clock.Now())
		if r, _ := f.daemons[i].Take("s"); r != nil {
			f.waiting[i] = append(f.waiting[i], waitingRetry{id, r})
		}
	}
}

// sendWaiting sends the repeats that wait at a daemon.
func (f *simFleet) sendWaiting(i int) {
	for _, w := range f.waiting[i] {
		if w.retry.Spend(nil) == nil {
			f.log.Arrived(w.id, f.clock.Now())
		}
	}
	f.waiting[i] = nil
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
			f.advance(time.Minute)
			for range 10 {
				for i := range f.daemons {
					f.serve(i, 40)
				}
				f.advance(990 * time.Millisecond)
			}
			for range 10 {
				for i := range f.daemons {
					f.send(i, 40)
				}
				f.advance(990 * time.Millisecond)
			}
		}},
		{"bursts just within a window", func(f *simFleet) {
			f.advance(time.Minute + 950*time.Millisecond)
			for range 2 {
				for i := range f.daemons {
					f.send(i, 10)
				}
				f.advance(9100 * time.Millisecond)
			}
		}},
		{"saved up, all used at once", func(f *simFleet) {
			f.advance(time.Minute)
			for i := range f.daemons {
				f.send(i, 20)
			}
		}},
		{"little traffic after much", func(f *simFleet) {
			for range 60 {
				for i := range f.daemons {
					f.serve(i, 40)
				}
				f.advance(time.Second)
			}
			f.advance(25 * time.Second)
			for i := range f.daemons {
				f.send(i, 50)
			}
		}},
		{"waiting while others are saved up, then sent at once", func(f *simFleet) {
			for range 40 {
				for i := range f.daemons {
					f.hold(i, 20)
				}
				f.advance(time.Second)
			}
			for i := range f.daemons {
				f.sendWaiting(i)
			}
			for range 9 {
				for i := range f.daemons {
					f.send(i, 20)
				}
				f.advance(time.Second)
			}
		}},
		{"waiting while the traffic ends", func(f *simFleet) {
			for range 20 {
				for i := range f.daemons {
					f.hold(i, 100)
				}
				f.advance(time.Second)
			}
			f.advance(25 * time.Second)
			for i := range f.daemons {
				f.sendWaiting(i)
			}
		}},
		{"few requests, one retry in advance", func(f *simFleet) {
			for step := range 400 {
				for i := range f.daemons {
					f.send(i, (step+i)%3/2)
				}
				f.advance(250 * time.Millisecond)
			}
		}},
		{"to receivers that stand still, and go on together", func(f *simFleet) {
			f.advance(time.Minute)
			for step := range 60 {
				for i := range f.daemons {
					f.sendLate(i, 10, time.Duration(80-step)*500*time.Millisecond, 0)
				}
				f.advance(500 * time.Millisecond)
			}
			f.advance(9 * time.Second)
			for range 20 {
				for i := range f.daemons {
					f.send(i, 10)
				}
				f.advance(500 * time.Millisecond)
			}
		}},
		{"rejected, then to receivers that stand still", func(f *simFleet) {
			f.advance(time.Minute)
			for step := range 18 {
				for i := range f.daemons {
					f.sendLate(i, 8, 0, time.Duration(18-step)*500*time.Millisecond)
				}
				f.advance(500 * time.Millisecond)
			}
			for range 18 {
				for i := range f.daemons {
					f.send(i, 8)
				}
				f.advance(500 * time.Millisecond)
			}
		}},
		{"the traffic ends while receivers stand still", func(f *simFleet) {
			f.advance(time.Minute)
			for step := range 60 {
				for i := range f.daemons {
					f.sendLate(i, 30, time.Duration(120-step)*500*time.Millisecond, 0)
				}
				f.advance(500 * time.Millisecond)
			}
			f.advance(25 * time.Second)
			for range 10 {
				for i := range f.daemons {
					f.send(i, 1)
				}
				f.advance(time.Second)
			}
		}},
		{"given up one after the other", func(f *simFleet) {
			for range 40 {
				for i := range f.daemons {
					f.sendLate(i, 5, 20*time.Second, 15*time.Second)
				}
				f.advance(time.Second)
			}
			f.advance(20 * time.Second)
		}},
		{"restarted again and again", func(f *simFleet) {
			f.advance(time.Minute)
			for range 10 {
				for i := range f.daemons {
					f.send(i, 5)
					f.restart(i)
				}
				f.advance(900 * time.Millisecond)
			}
		}},
		{"restarted between two windows of much traffic", func(f *simFleet) {
			for range 2 {
				for i := range f.daemons {
					f.restart(i)
					f.serve(i, 200)
				}
				f.advance(9900 * time.Millisecond)
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
			step := rapid.IntRange(0, 9).Draw(t, "step")
			switch step {
			case 8, 9: // up to the longest time that callers give a request
				f.sendLate(i, rapid.IntRange(1, 50).Draw(t, "requests"), randomLateness(t), randomLateness(t))
			case 0, 1:
				if len(f.late) > 0 {
					f.advance(maxLateness) // a process that ends forgets what is under way
				}
				for k := range f.daemons {
					if all := step == 1; all || k == i {
						f.restart(k)
					}
				}
			case 4:
				f.hold(i, rapid.IntRange(1, 200).Draw(t, "requests"))
			case 5:
				f.sendWaiting(i)
			case 2, 3:
				f.send(i, rapid.IntRange(1, 200).Draw(t, "requests"))
			default:
				f.advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "pause")) * time.Millisecond)
			}
		}
		worst := simBound.Worst(&f.log)
		assert.Assert(t, worst.Excess() <= 0, "%s", worst)
	})
}

// maxLateness is the longest time after which a request that its receiver has not read is read in these tests: callers
// give it no more time.
const maxLateness = 15 * time.Second

// randomLateness returns how long a send is under way; most are read at once.
func randomLateness(t *rapid.T) time.Duration {
	if rapid.Bool().Draw(t, "at once") {
		return 0
	}
	return time.Duration(rapid.IntRange(1, int(maxLateness.Milliseconds())).Draw(t, "late")) * time.Millisecond
}

// TestRepeatsUnderWayOutliveTheirDaemon guards against repeats beyond the budget as processes end that know of repeats which
// have not arrived yet, while their receivers stand still.
func TestRepeatsUnderWayOutliveTheirDaemon(t *testing.T) {
	f := newSimFleet(8)
	for life := range 6 {
		for range 11 {
			for i := range f.daemons {
				f.sendLate(i, 10, time.Duration(66-11*life)*time.Second, 0)
			}
			f.advance(time.Second)
		}
		for i := range f.daemons {
			f.restart(i)
		}
	}
	f.advance(time.Minute)
	worst := simBound.Worst(&f.log)
	assert.Assert(t, worst.Excess() <= 0, "%s", worst)
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
			} else if r, _ := b.Take("s"); r != nil && r.Spend(nil) == nil {
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

// TestBudgetIsUsed guards against callers that are refused retries which the budget allows, while runners go on failing or fail
// soon after the daemons have started.
func TestBudgetIsUsed(t *testing.T) {
	const (
		minUsed    = 0.6 // of what is allowed in steady failure
		failing    = 0.7 // of all sends
		perDaemon  = 10  // requests per second
		tick       = 50 * time.Millisecond
		simulated  = time.Minute
		warmUp     = 20 * time.Second
		startAfter = 5 * time.Second
	)
	for _, daemons := range []int{4, 8, 60, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			f := newSimFleet(daemons)
			began := f.clock.Now()
			random := rand.New(rand.NewPCG(1, uint64(daemons)))
			atStart := -1
			for f.clock.Now().Sub(began) < simulated {
				for i := range f.daemons {
					if random.Float64() >= perDaemon*tick.Seconds() {
						continue
					}
					if random.Float64() < failing {
						f.send(i, 1)
					} else {
						f.serve(i, 1)
					}
				}
				f.advance(tick)
				if atStart < 0 && f.clock.Now().Sub(began) >= startAfter {
					atStart = f.log.Repeats()
				}
			}
			used, most, windows := 0.0, 0.0, 0
			for from := began.Add(warmUp); from.Before(f.clock.Now().Add(-simBound.Length)); from = from.Add(time.Second) {
				w := simBound.At(&f.log, from)
				used += float64(w.Repeats) / w.Allowed
				most = max(most, float64(w.Repeats)/w.Allowed)
				windows++
			}
			worst := simBound.Worst(&f.log)
			t.Logf("mean window %.2f, worst window %.2f, %d in the first %v", used/float64(windows), most, atStart, startAfter)
			assert.Assert(t, worst.Excess() <= 0, "%s", worst)
			assert.Assert(t, used/float64(windows) >= minUsed)
		})
	}
}
