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
	startedAt = time.UnixMilli(1764700000123)
	harmful   = core.DigestOf(&core.Request{Target: "/harmful"})
	other     = core.DigestOf(&core.Request{Target: "/other"})
)

func newRunners() *runners { return &runners{probeErrs: map[string]error{}, startedAt: startedAt} }

// broken is a request whose connection a runner has closed.
func broken(d core.Digest, runner string) core.LostRequest {
	return core.LostRequest{Digest: d, Runner: core.Runner{ID: runner, StartedAt: startedAt}, Route: "r", Service: "s", MayHaveRun: true}
}

// crash makes a runner exit under requests of a daemon.
func (r *runners) crash(at *daemon, runner string, digests ...core.Digest) {
	r.setProbeErr(runner, core.ErrNoListener)
	for _, d := range digests {
		at.ConnectionLost(broken(d, runner))
	}
}

// waitForAll waits for a condition at all daemons.
func waitForAll(t *testing.T, what string, daemons []*daemon, condition func(d *daemon) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, d := range daemons {
			if !condition(d) {
				return poll.Continue("%s: %s", d.name, what)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func isHeld(digest core.Digest) func(*daemon) bool {
	return func(d *daemon) bool { return d.HoldRemaining(digest) > 0 }
}

// hasHold reports whether a daemon has a hold for a request, expired or not.
func hasHold(digest core.Digest) func(*daemon) bool {
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

// A request brings down three runners, each noticed by another daemon of a small or a large
// fleet that loses one message in five. All daemons must hold it back.
func TestHoldReachesAllDaemons(t *testing.T) {
	for _, count := range []int{1, 3, 17, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			n, r := newNetwork(), newRunners()
			n.loss = 0.2
			all := n.fleet(t, count, r)
			for i := range 3 {
				r.crash(all[rand.N(count)], fmt.Sprint("r", i), harmful)
			}
			waitForAll(t, "held back", all, hasHold(harmful)) // the first hold may have expired before the last daemon gets it
			assert.Equal(t, all[0].HoldRemaining(other), time.Duration(0))
		})
	}
}

// Guards against a third exit for a request that had just begun at two runners when they
// exited, which happens to hardly any other request. Two such exits are enough, noticed by one
// daemon or by two.
func TestTwoFreshExitsCauseHold(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fresh bool
		held  bool
	}{
		{"just begun", true, true},
		{"begun earlier", false, false},
	} {
		n, r := newNetwork(), newRunners()
		all := n.fleet(t, 3, r)
		for i := range 2 {
			r.setProbeErr(fmt.Sprint("r", i), core.ErrNoListener)
			b := broken(harmful, fmt.Sprint("r", i))
			b.JustStarted = tt.fresh
			all[i].ConnectionLost(b)
		}
		if tt.held {
			waitForAll(t, tt.name, all, hasHold(harmful))
			continue
		}
		time.Sleep(2 * queryWait)
		assert.Assert(t, !hasHold(harmful)(all[0]), tt.name)
	}
}

// A request is held back after a time without holds, and one daemon misses every broadcast of
// the hold. That daemon went on sending the request to runners for up to fifteen seconds,
// because the others, which had no holds before, waited out the long idle interval before
// their next comparison. A changed hold must end that wait.
func TestChangedHoldStartsComparison(t *testing.T) {
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 4, r)
	compared := func(times int) func(*daemon) bool {
		return func(d *daemon) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.sums[d.name] >= times
		}
	}
	waitForAll(t, "compared", all, compared(1)) // and wait for the idle interval from now on
	began := time.Now()
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	waitForAll(t, "compared again", all, compared(2))
	assert.Assert(t, time.Since(began) < idleCompareInterval/2, "after %v, no sooner than without a changed hold", time.Since(began))
}

// Links are cut, VMs lose power, and runners fail requests without exiting: connections close
// while no request is at fault. None may be held back.
func TestUnprovenExitIsNotCounted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		probeErr error
	}{
		{"it answers the probe", nil},
		{"it is unreachable", core.ErrNotSent},
		{"it closes the next connection too", fmt.Errorf("%w: %w", core.ErrAnswerLost, core.ErrClosed)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n, r := newNetwork(), newRunners()
			d := n.start(t, "d", clockwork.NewRealClock(), r)
			for i := range 5 {
				id := fmt.Sprint("r", i)
				r.setProbeErr(id, tt.probeErr)
				d.ConnectionLost(broken(harmful, id))
			}
			time.Sleep(probeTimeout + queryWait + reportDelay + 200*time.Millisecond)
			assert.Equal(t, d.HoldRemaining(harmful), time.Duration(0))
		})
	}
}

// A runner that has restarted under its ID, or whose address belongs to another instance, has
// exited.
func TestRestartCountsAsExit(t *testing.T) {
	n, r := newNetwork(), newRunners()
	d := n.start(t, "d", clockwork.NewRealClock(), r)
	for i := range 2 {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrReplaced)
		d.ConnectionLost(broken(harmful, id))
	}
	again := broken(harmful, "r3")
	again.Runner.StartedAt = startedAt.Add(-time.Hour) // it reports a later start
	d.ConnectionLost(again)
	waitForAll(t, "held back", []*daemon{d}, isHeld(harmful))
}

// A harmless request arrives again and again, and is in progress at each runner that another
// request brings down. It has been served meanwhile, by a daemon that need not be a counter,
// and must not be held back. A request that brings down runners after it was served must be.
func TestServedRequestIsCleared(t *testing.T) {
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 5, r)
	all[4].Served(other)
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful, other)
	}
	waitForAll(t, "held back", all, isHeld(harmful))
	time.Sleep(2 * queryWait)
	for _, d := range all {
		assert.Equal(t, d.HoldRemaining(other), time.Duration(0), d.name)
	}
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("again", i), other)
	}
	waitForAll(t, "held back, as it was not served again", all, isHeld(other))
}

// A request is held back while a daemon is cut off, and another daemon starts later. Both must
// get the hold from the others, and its release as well.
func TestHoldReachesAbsentDaemons(t *testing.T) {
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 4, r)
	isolated := all[3]
	n.setIsolated(isolated, true)
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	waitForAll(t, "held back", all[:3], isHeld(harmful))
	assert.Equal(t, isolated.HoldRemaining(harmful), time.Duration(0))
	n.setIsolated(isolated, false)
	late := n.start(t, "late", clockwork.NewRealClock(), r)
	waitForAll(t, "held back", []*daemon{isolated, late}, isHeld(harmful))
	n.setIsolated(isolated, true)
	assert.Assert(t, all[0].Release(harmful))
	n.setIsolated(isolated, false)
	waitForAll(t, "released", append(all, late), released(harmful))
}

// A request is held back while the store is unavailable. Once the store is back, all daemons
// are killed at once. The next ones must still have the hold.
func TestHoldSurvivesAllDaemons(t *testing.T) {
	n, r, store := newNetwork(), newRunners(), memory.New()
	client := store.Client()
	reads := func() bool { return true }
	all := n.fleet(t, 3, r, WithStore(client, reads))
	client.SetDisconnected(true)
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	waitForAll(t, "held back", all, isHeld(harmful))
	client.SetDisconnected(false)
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
	waitForAll(t, "hold restored", next, func(d *daemon) bool {
		_, ok := d.table.Get(harmful)
		return ok
	})
}

// newSolo returns the Quarantine of a single daemon, and its clock.
func newSolo(t *testing.T) (*Quarantine, *clockwork.FakeClock) {
	t.Helper()
	return newSoloQuarantine()
}

func newSoloQuarantine() (*Quarantine, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := &daemon{net: newNetwork(), name: "d"}
	q := New(soloNetwork{d}, newRunners(), clock, zap.NewNop())
	return q, clock
}

// soloNetwork is a Network without peers.
type soloNetwork struct{ *daemon }

// Handle implements Network.
func (soloNetwork) Handle(string, peers.Handler) {}

// When a hold expires, one run of its request is admitted. The request brings down a runner
// again and is held back for longer; later it has been repaired, is served and released.
func TestTrial(t *testing.T) {
	q, clock := newSolo(t)
	ctx := context.Background()
	r := hold.Record{Digest: harmful, Route: "r", Service: "s", Runners: 3}
	q.hold(r)
	retry, ok := q.Admit(ctx, harmful)
	assert.Assert(t, !ok && retry == hold.Duration(0))
	clock.Advance(hold.Duration(0))
	assert.Equal(t, q.HoldRemaining(harmful), time.Duration(0), "a trial is due")
	_, ok = q.Admit(ctx, harmful)
	assert.Assert(t, ok)
	retry, ok = q.Admit(ctx, harmful)
	assert.Assert(t, !ok && retry == trialRetry, "one trial at a time")
	q.countExit(exitReport{Runner: "r9", Instance: 9, Affected: []affected{{Digest: harmful, Begun: true}}}, "d")
	assert.Equal(t, q.HoldRemaining(harmful), hold.Duration(1))
	clock.Advance(hold.Duration(1))
	_, ok = q.Admit(ctx, harmful)
	assert.Assert(t, ok)
	clock.Advance(trialDuration)
	_, ok = q.Admit(ctx, harmful)
	assert.Assert(t, ok, "the trial before had no result")
	q.Served(harmful)
	for range 2 {
		_, ok = q.Admit(ctx, harmful)
		assert.Assert(t, ok, "the hold is released")
	}
}

// A request was in progress at several runners when it was held back, and brings them down as
// well. That must not extend its hold.
func TestExitsDuringHoldAreIgnored(t *testing.T) {
	q, _ := newSolo(t)
	q.hold(hold.Record{Digest: harmful, Runners: 3})
	q.countExit(exitReport{Runner: "r9", Instance: 9, Affected: []affected{{Digest: harmful, Begun: true}}}, "d")
	assert.Equal(t, q.HoldRemaining(harmful), hold.Duration(0))
	assert.Equal(t, q.Records()[0].Level, 0)
}

func TestRecentIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecent(clock)
	r.add(harmful)
	for i := range maxRecent {
		assert.Assert(t, r.servedWithin(harmful, time.Minute), "%d", i)
		r.add(core.DigestOf(&core.Request{Target: fmt.Sprint(i)}))
	}
	assert.Assert(t, !r.servedWithin(harmful, time.Minute))
	assert.Equal(t, len(r.at.byDigest), maxRecent)
	r.add(harmful)
	clock.Advance(time.Second)
	assert.Assert(t, !r.servedWithin(harmful, time.Second/2))
}

func BenchmarkHeld(b *testing.B) {
	n, r := newNetwork(), newRunners()
	d := &daemon{net: n, name: "d"}
	q := New(soloNetwork{d}, r, clockwork.NewRealClock(), zap.NewNop())
	for _, tt := range []struct {
		name string
		held int
	}{{"none", 0}, {"1000", 1000}} {
		b.Run(tt.name, func(b *testing.B) {
			for i := range tt.held {
				q.merge(hold.Record{Digest: core.DigestOf(&core.Request{Target: fmt.Sprint(i)}), Version: 1, State: hold.StateHeld, Until: time.Now().Add(time.Hour)}, "d")
			}
			b.ReportAllocs()
			for b.Loop() {
				if q.HoldRemaining(harmful) > 0 {
					b.Fatal("held")
				}
				q.Served(harmful)
			}
		})
	}
}

// BenchmarkExit measures the bytes that all daemons send each other after the exit of a runner
// with 64 requests of random daemons.
func BenchmarkExit(b *testing.B) {
	for _, count := range []int{30, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			n, r := newNetwork(), newRunners()
			all := make([]*daemon, count)
			for i := range all {
				all[i] = n.start(b, fmt.Sprint("d", i), clockwork.NewRealClock(), r)
			}
			time.Sleep(time.Second) // each compares once
			before := n.bytesSent()
			for round := 0; b.Loop(); round++ {
				id := fmt.Sprint("r", round)
				for i := range 64 {
					r.crash(all[rand.N(count)], id, core.DigestOf(&core.Request{Target: fmt.Sprint(id, i)}))
				}
				time.Sleep(200 * time.Millisecond)
			}
			b.ReportMetric(float64(n.bytesSent()-before)/float64(b.N), "B/end")
		})
	}
}

// connectorFunc is a Connector that calls a function.
type connectorFunc func(ctx context.Context) error

func (f connectorFunc) Connect(ctx context.Context, _ *core.Runner) error { return f(ctx) }

// TestExitedNeedsProof guards against a runner that counts as exited, and whose whole answers count as
// broken, because this daemon alone does not reach it.
func TestExitedNeedsProof(t *testing.T) {
	refused := func(context.Context) error { return core.ErrNoListener }
	closed := func(context.Context) error { return core.ErrClosed }
	noAnswer := func(ctx context.Context) error {
		<-ctx.Done()
		return core.ErrNotSent
	}
	for _, tt := range []struct {
		name    string
		daemons int
		connect func(ctx context.Context) error
		other   error // what the other daemon gets
		want    bool
	}{
		{"it accepts connections", 2, func(context.Context) error { return nil }, nil, false},
		{"refused everywhere", 2, refused, core.ErrNoListener, true},
		{"refused, and there is no other daemon", 1, refused, nil, true},
		{"refused here only", 2, refused, nil, false},
		{"refused, and another instance answers elsewhere", 2, refused, core.ErrReplaced, true},
		{"no answer here, refused elsewhere", 2, noAnswer, core.ErrNoListener, true},
		{"no answer here, answers elsewhere", 2, noAnswer, nil, false},
		{"no answer anywhere", 2, noAnswer, core.ErrNotSent, true},
		{"closed at once here, answers elsewhere", 2, closed, nil, false},
		{"closed at once everywhere", 2, closed, core.ErrAnswerLost, true},
	} {
		r := &runners{probeErrs: map[string]error{"r1": tt.other}}
		list := newNetwork().fleet(t, tt.daemons, r, WithConnector(connectorFunc(tt.connect)))
		got := list[0].Exited(t.Context(), &core.Runner{ID: "r1"})
		assert.Equal(t, got, tt.want, tt.name)
	}
}
