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

// orderCounter wraps fake runners and counts the orders sent to one of them.
type orderCounter struct {
	fakeRunners
	runner string
	count  atomic.Int32
}

func (o *orderCounter) Order(ctx context.Context, r *core.Runner, order core.RunnerOrder) (core.OrderResult, error) {
	if r.ID == o.runner {
		o.count.Add(1)
	}
	return o.fakeRunners.Order(ctx, r, order)
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
			before := counter.count.Load()
			for range 6 {
				fx.place("m1", "a6")
				time.Sleep(500 * time.Millisecond)
				r := fx.catalog.Runner("r1").Runner
				fx.catalog.Put(r, time.Now()) // its entry is still written as ready
			}
			assert.Equal(t, counter.count.Load(), before)
			assert.Assert(t, fx.engines["r0"].hasModel("m1"), "its model has not been loaded on the other runner")
			assert.Equal(t, fx.place("m1", "a6").Runner, "r0")
		})
	})
}
