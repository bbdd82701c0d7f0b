package placement

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/state/catalog"
)

// orderCounter wraps fake runners and counts the orders and report requests sent to one of
// them.
type orderCounter struct {
	fakeRunners
	runner          string
	orders, reports atomic.Int32
}

func (o *orderCounter) Order(ctx context.Context, r *core.Runner, order core.RunnerOrder) (core.OrderResult, error) {
	if r.ID == o.runner {
		o.orders.Add(1)
	}
	return o.fakeRunners.Order(ctx, r, order)
}

func (o *orderCounter) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	if r.ID == o.runner {
		o.reports.Add(1)
	}
	return o.fakeRunners.Report(ctx, r)
}

// Guards against orders to a runner that has announced that it is leaving while its entry is
// ready, and against models and adapters that are unreachable once it has gone.
func TestLeavingRunnerGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2, 2, faults{reportDelay: 200 * time.Millisecond}, 1)
		counter := &orderCounter{fakeRunners: fx.engines, runner: "r1"}
		fx.holder.runnerClient = counter
		fx.run(1, func() {
			time.Sleep(settleTime + 2*time.Second)
			fx.catalog.RecordLeaving("r1", catalog.Departure{At: time.Now()})
			before := counter.orders.Load()
			for range 6 {
				fx.place("m1", "a6")
				time.Sleep(500 * time.Millisecond)
				r := fx.catalog.Runner("r1").Runner
				fx.catalog.Put(r, time.Now()) // its entry is still written as ready
			}
			assert.Equal(t, counter.orders.Load(), before)
			assert.Assert(t, fx.engines["r0"].hasModel("m1"), "its model has not been loaded on the other runner")
			assert.Equal(t, fx.place("m1", "a6").Runner, "r0")
		})
	})
}

// Guards against orders and report requests to a runner during the backoff that it has asked for,
// and against evicting its models because of the backoff.
func TestBackedOffRunnerGetsNoOrders(t *testing.T) {
	const backoff = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2, 2, faults{reportDelay: 200 * time.Millisecond}, 1)
		counter := &orderCounter{fakeRunners: fx.engines, runner: "r1"}
		fx.holder.runnerClient = counter
		fx.run(1, func() {
			time.Sleep(settleTime + 2*time.Second)
			r := fx.catalog.Runner("r1").Runner
			fx.holder.available.ObserveAnswer(&r, core.ReplyInfo{Backoff: core.Backoff{Announced: true, Duration: backoff}})
			fx.holder.postBlocking(func() { fx.holder.runners["r1"].synced = false })
			before := counter.orders.Load() + counter.reports.Load()
			for began := time.Now(); time.Since(began) < backoff-100*time.Millisecond; time.Sleep(100 * time.Millisecond) {
				fx.place("m1", "a6")
			}
			assert.Equal(t, counter.orders.Load()+counter.reports.Load(), before)
			assert.Assert(t, fx.engines["r1"].hasModel("m1"), "its model has been evicted")
			time.Sleep(time.Second)
			assert.Assert(t, counter.orders.Load()+counter.reports.Load() > before, "it is left out after its backoff")
		})
	})
}
