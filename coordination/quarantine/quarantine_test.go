package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/standin/memory"
	"primroseward/state/hold"
)

var (
	born    = time.UnixMilli(1764700000123)
	harmful = core.DigestOf(&core.Request{Target: "/harmful"})
	other   = core.DigestOf(&core.Request{Target: "/other"})
)

func newRunners() *runners { return &runners{says: map[string]error{}, born: born} }

// broke is a request whose connection a runner has closed.
func broke(d core.Digest, runner string) core.Broken {
	return core.Broken{Digest: d, Runner: core.Runner{ID: runner, Born: born}, Route: "r", Service: "s", Begun: true}
}

// crash ends a runner under requests at a daemon.
func (r *runners) crash(at *daemon, runner string, digests ...core.Digest) {
	r.end(runner, core.ErrNoListener)
	for _, d := range digests {
		at.Broke(broke(d, runner))
	}
}

// until waits for a condition at all daemons.
func until(t *testing.T, what string, daemons []*daemon, ok func(d *daemon) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, d := range daemons {
			if !ok(d) {
				return poll.Continue("%s: %s", d.name, what)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func holds(digest core.Digest) func(*daemon) bool {
	return func(d *daemon) bool { return d.Held(digest) > 0 }
}

// knows says whether a daemon knows that a request is held back, its term over or not.
func knows(digest core.Digest) func(*daemon) bool {
	return func(d *daemon) bool {
		r, ok := d.table.Get(digest)
		return ok && r.State == hold.StateHeld
	}
}

func released(digest core.Digest) func(*daemon) bool {
	return func(d *daemon) bool {
		r, ok := d.table.Get(digest)
		return ok && r.State == hold.StateReleased
	}
}

// A request ends three runners, each seen by another daemon of a small or a large fleet
// that loses one message in five. All daemons hold it back.
func TestHeldBackEverywhere(t *testing.T) {
	for _, count := range []int{1, 3, 17, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			n, r := newNetwork(), newRunners()
			n.loss = 0.2
			all := n.fleet(t, count, r)
			for i := range 3 {
				r.crash(all[rand.N(count)], fmt.Sprint("r", i), harmful)
			}
			until(t, "held back", all, knows(harmful)) // the first may have had its term when the last learns
			assert.Equal(t, all[0].Held(other), time.Duration(0))
		})
	}
}

// A request that has just begun at two runners when they end costs a third one, though
// nothing else is in that state. Two are enough, seen by one daemon or by two.
func TestTwoRunnersThatHadJustBegunIt(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fresh bool
		held  bool
	}{
		{"just begun", true, true},
		{"begun at some time", false, false},
	} {
		n, r := newNetwork(), newRunners()
		all := n.fleet(t, 3, r)
		for i := range 2 {
			r.end(fmt.Sprint("r", i), core.ErrNoListener)
			b := broke(harmful, fmt.Sprint("r", i))
			b.Fresh = tt.fresh
			all[i].Broke(b)
		}
		if tt.held {
			until(t, tt.name, all, knows(harmful))
			continue
		}
		time.Sleep(2 * consultTime)
		assert.Assert(t, !knows(harmful)(all[0]), tt.name)
	}
}

// A request is held back after a calm time, and one daemon misses each message that tells
// so. It goes on sending the request to runners for up to fifteen seconds: the others,
// which held nothing back before, were in their long pause between two comparisons and
// slept on. Now a decision ends that pause.
func TestDecisionBeginsComparisons(t *testing.T) {
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 4, r)
	compared := func(times int) func(*daemon) bool {
		return func(d *daemon) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.sums[d.name] >= times
		}
	}
	until(t, "compared", all, compared(1)) // and rest from now on
	began := time.Now()
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	until(t, "compared again", all, compared(2))
	assert.Assert(t, time.Since(began) < idleEvery/2, "after %v, no sooner than without a decision", time.Since(began))
}

// Links are cut, VMs lose power, runners fail requests and live: connections close while
// no request is at fault. None is held back.
func TestRunnerThatHasNotEndedTellsNothing(t *testing.T) {
	for _, tt := range []struct {
		name string
		says error
	}{
		{"it answers", nil},
		{"it can't be reached", core.ErrNotSent},
		{"it closes the next connection too", fmt.Errorf("%w: %w", core.ErrLost, core.ErrClosed)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n, r := newNetwork(), newRunners()
			d := n.start(t, "d", clockwork.NewRealClock(), r)
			for i := range 5 {
				id := fmt.Sprint("r", i)
				r.end(id, tt.says)
				d.Broke(broke(harmful, id))
			}
			time.Sleep(checkLimit + consultTime + tellLag + 200*time.Millisecond)
			assert.Equal(t, d.Held(harmful), time.Duration(0))
		})
	}
}

// A runner that has started again under its id, or whose address another instance has, has
// ended.
func TestRunnerThatHasStartedAgainHasEnded(t *testing.T) {
	n, r := newNetwork(), newRunners()
	d := n.start(t, "d", clockwork.NewRealClock(), r)
	for i := range 2 {
		id := fmt.Sprint("r", i)
		r.end(id, core.ErrReplaced)
		d.Broke(broke(harmful, id))
	}
	again := broke(harmful, "r3")
	again.Runner.Born = born.Add(-time.Hour) // it reports to have been born later
	d.Broke(again)
	until(t, "held back", []*daemon{d}, holds(harmful))
}

// A harmless request comes again and again, and is at work on each runner that another
// one ends. It has been served meanwhile, by a daemon that no counter need be, and is not
// held back; one that ended runners after it was served is.
func TestRequestThatIsServedIsCleared(t *testing.T) {
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 5, r)
	all[4].Worked(other)
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful, other)
	}
	until(t, "held back", all, holds(harmful))
	time.Sleep(2 * consultTime)
	for _, d := range all {
		assert.Equal(t, d.Held(other), time.Duration(0), d.name)
	}
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("again", i), other)
	}
	until(t, "held back, as it was not served since", all, holds(other))
}

// A request is held back while a daemon is cut off, and another one starts later. Both
// learn of it from the others, and so they do of its release.
func TestDaemonsThatWereAwayLearn(t *testing.T) {
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 4, r)
	away := all[3]
	n.setCut(away, true)
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	until(t, "held back", all[:3], holds(harmful))
	assert.Equal(t, away.Held(harmful), time.Duration(0))
	n.setCut(away, false)
	late := n.start(t, "late", clockwork.NewRealClock(), r)
	until(t, "held back", []*daemon{away, late}, holds(harmful))
	n.setCut(away, true)
	assert.Assert(t, all[0].Release(harmful))
	n.setCut(away, false)
	until(t, "released", append(all, late), released(harmful))
}

// A request is held back while the store is away. When that is back all daemons are
// killed at once: the next ones know it all the same.
func TestDecisionsOutliveAllDaemons(t *testing.T) {
	n, r, store := newNetwork(), newRunners(), memory.New()
	client := store.Client()
	reads := func() bool { return true }
	all := n.fleet(t, 3, r, WithStore(client, reads))
	client.Cut(true)
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	until(t, "held back", all, holds(harmful))
	client.Cut(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Get(context.Background(), core.KindHolds, harmful.String()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	for _, d := range all {
		d.kill()
	}
	next := n.fleet(t, 3, r, WithStore(client, reads))
	until(t, "known", next, func(d *daemon) bool {
		_, ok := d.table.Get(harmful)
		return ok
	})
}

// atRest is one daemon on a clock of the test's own.
func atRest(t *testing.T) (*Quarantine, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	d := &daemon{net: newNetwork(), name: "d"}
	q := New(mute{d}, newRunners(), clock, zap.NewNop())
	return q, clock
}

// mute is a Network without others.
type mute struct{ *daemon }

// Handle implements Network.
func (mute) Handle(string, peers.Handler) {}

// Its term is over, and one run of a request is let through. It ends a runner once more
// and is held back for longer; then it has been repaired, is served and released.
func TestTrial(t *testing.T) {
	q, clock := atRest(t)
	ctx := context.Background()
	r := hold.Record{Digest: harmful, Route: "r", Service: "s", Runners: 3}
	q.hold(r)
	retry, ok := q.Admit(ctx, harmful)
	assert.Assert(t, !ok && retry == hold.Term(0))
	clock.Advance(hold.Term(0))
	assert.Equal(t, q.Held(harmful), time.Duration(0), "it may be tried")
	_, ok = q.Admit(ctx, harmful)
	assert.Assert(t, ok)
	retry, ok = q.Admit(ctx, harmful)
	assert.Assert(t, !ok && retry == trialRetry, "one at a time")
	q.countEnd(runnerEnd{Runner: "r9", Life: 9, Affected: []affected{{Digest: harmful, Begun: true}}}, "d")
	assert.Equal(t, q.Held(harmful), hold.Term(1))
	clock.Advance(hold.Term(1))
	_, ok = q.Admit(ctx, harmful)
	assert.Assert(t, ok)
	clock.Advance(trialTime)
	_, ok = q.Admit(ctx, harmful)
	assert.Assert(t, ok, "nothing came of the one before")
	q.Worked(harmful)
	for range 2 {
		_, ok = q.Admit(ctx, harmful)
		assert.Assert(t, ok, "it is released")
	}
}

// A request was in progress at several runners when it came to be held back, and ends
// them as well. It is not held back for longer because of that.
func TestEndsUnderAHeldRequestChangeNothing(t *testing.T) {
	q, _ := atRest(t)
	q.hold(hold.Record{Digest: harmful, Runners: 3})
	q.countEnd(runnerEnd{Runner: "r9", Life: 9, Affected: []affected{{Digest: harmful, Begun: true}}}, "d")
	assert.Equal(t, q.Held(harmful), hold.Term(0))
	assert.Equal(t, q.Records()[0].Level, 0)
}

func TestRecentIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecent(clock)
	r.add(harmful)
	for i := range recentMost {
		assert.Assert(t, r.within(harmful, time.Minute), "%d", i)
		r.add(core.DigestOf(&core.Request{Target: fmt.Sprint(i)}))
	}
	assert.Assert(t, !r.within(harmful, time.Minute))
	assert.Equal(t, len(r.at), recentMost)
	r.add(harmful)
	clock.Advance(time.Second)
	assert.Assert(t, !r.within(harmful, time.Second/2))
}

func BenchmarkHeld(b *testing.B) {
	n, r := newNetwork(), newRunners()
	d := &daemon{net: n, name: "d"}
	q := New(mute{d}, r, clockwork.NewRealClock(), zap.NewNop())
	for _, tt := range []struct {
		name string
		held int
	}{{"none", 0}, {"1000", 1000}} {
		b.Run(tt.name, func(b *testing.B) {
			for i := range tt.held {
				q.take(hold.Record{Digest: core.DigestOf(&core.Request{Target: fmt.Sprint(i)}), Version: 1, State: hold.StateHeld, Until: time.Now().Add(time.Hour)}, "d")
			}
			b.ReportAllocs()
			for b.Loop() {
				if q.Held(harmful) > 0 {
					b.Fatal("held")
				}
				q.Worked(harmful)
			}
		})
	}
}

// BenchmarkEnd is the end of a runner with 64 requests of daemons drawn at random: what
// the daemons tell each other, all together.
func BenchmarkEnd(b *testing.B) {
	for _, count := range []int{30, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			n, r := newNetwork(), newRunners()
			all := make([]*daemon, count)
			for i := range all {
				all[i] = n.start(b, fmt.Sprint("d", i), clockwork.NewRealClock(), r)
			}
			time.Sleep(time.Second) // they compare once
			before := n.sent()
			for round := 0; b.Loop(); round++ {
				id := fmt.Sprint("r", round)
				for i := range 64 {
					r.crash(all[rand.N(count)], id, core.DigestOf(&core.Request{Target: fmt.Sprint(id, i)}))
				}
				time.Sleep(200 * time.Millisecond)
			}
			b.ReportMetric(float64(n.sent()-before)/float64(b.N), "B/end")
		})
	}
}
