package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/dispatch"
	"primroseward/core"
)

// Guards against not reloading a model of a runner that has restarted under the same id. The
// holder used the state and the sequence of the former instance, so that the runner refused
// every order. The plan must use the report of the new instance.
func TestRestartedRunnerIsSyncedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2, 2, faults{reportDelay: 200 * time.Millisecond}, 1)
		fx.run(1, func() {
			time.Sleep(8 * time.Second)
			assert.Assert(t, fx.engines["r1"].hasModel("m1"))
			fx.restart("r1", time.Now())
			time.Sleep(6 * time.Second)
			assert.Assert(t, fx.engines["r0"].hasModel("m1") || fx.engines["r1"].hasModel("m1"), "m1 has not been loaded again")
		})
	})
}

// restart restarts a runner under its id, without models or adapters.
func (fx *fixture) restart(id string, startedAt time.Time) {
	e := fx.engines[id]
	e.mu.Lock()
	e.models, e.adapters, e.loadingAdapters = map[string]bool{}, map[string]bool{}, map[string]bool{}
	e.sequence, e.order, e.history = 0, "", nil
	e.recordState()
	e.mu.Unlock()
	r := fx.catalog.Runner(id).Runner
	r.StartedAt, r.Holdings, r.Sequence = startedAt, nil, 0
	fx.catalog.Put(r, time.Now())
}

// Guards against a crash shortly after a restart. An order sent to the former instance was
// carried out late, when the new instance's sequence had reached the one that the order
// expected, in addition to what the new instance had been ordered to load. Restarts happen at
// arbitrary times, also twice within a second.
func TestLateOrdersOfAFormerLife(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 99))
			fx := newFixture(t, 3, 6, faults{late: 0.3, reportDelay: 200 * time.Millisecond}, seed)
			fx.run(1, func() {
				for range 12 {
					time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
					id := fmt.Sprintf("r%d", rnd.IntN(3))
					for range 1 + rnd.IntN(2) {
						fx.restart(id, time.Now())
						time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
					}
					fx.holder.AddDemand(map[dispatch.PlacementKey]float64{{Service: "s", Model: modelName(rnd.IntN(6)), Adapter: "a1"}: 5})
				}
			})
		})
	}
}

// Tests the same step by step: memory is reserved for an unanswered order to a former instance
// until the new instance's sequence has passed the expected one or the order has expired.
func TestReservationForALateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1, 0, faults{}, 1)
		for i := range 4 {
			fx.spec.Models = append(fx.spec.Models, core.Model{Name: modelName(i), MemoryMB: 60, AdapterMB: 4})
		}
		fx.configure(2)
		h := fx.holder
		h.refreshRunners()
		h.runners["r0"].sequence = 3
		h.runners["r0"].addUnanswered(core.RunnerOrder{Load: true, Model: "m3", Expected: 3}, time.Now())
		h.runners["r0"].addUnanswered(core.RunnerOrder{Load: true, Model: "m2", Expected: 3}, time.Now())
		h.runners["r0"].removeUnanswered(core.RunnerOrder{Load: true, Model: "m2", Expected: 3})
		fx.restart("r0", time.Now())
		h.refreshRunners()
		rs := h.runners["r0"]
		assert.Equal(t, rs.freeMB(), 140.0)
		rs.models["m0"], rs.models["m1"], rs.sequence = &placedItem{phase: present}, &placedItem{phase: present}, 2
		assert.Equal(t, rs.freeMB(), 20.0, "a third model does not fit beside the late one")
		rs.sequence = 4
		assert.Equal(t, rs.freeMB(), 80.0)
		rs.sequence = 2
		fx.restart("r0", time.Now().Add(time.Millisecond))
		h.refreshRunners()
		assert.Equal(t, h.runners["r0"].freeMB(), 140.0, "the reservation survives another restart")
		time.Sleep(maxOrderDelay)
		h.refreshRunners()
		assert.Equal(t, h.runners["r0"].freeMB(), 200.0)
		fx.holder.wg.Wait()
	})
}

// Guards against a crash some seconds after a restart. An order to the former instance had not
// been answered, and the sequence had since passed the one it expected: either later orders
// were accepted, or the order was sent again and this second one was accepted. The new instance
// counts from 0 and reaches the expected sequence again. Of several such orders for one model,
// only one can occupy memory.
func TestReservationForALateOrderPassedInAFormerLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1, 0, faults{}, 1)
		for i := range 4 {
			fx.spec.Models = append(fx.spec.Models, core.Model{Name: modelName(i), MemoryMB: 60})
		}
		fx.configure(2)
		h := fx.holder
		h.refreshRunners()
		rs := h.runners["r0"]
		for expected := range uint64(2) {
			rs.sequence = expected
			rs.addUnanswered(core.RunnerOrder{Load: true, Model: "m3", Expected: expected}, time.Now())
		}
		rs.addUnanswered(core.RunnerOrder{Load: true, Model: "m3", Expected: 1}, time.Now())
		rs.removeUnanswered(core.RunnerOrder{Load: true, Model: "m3", Expected: 1})
		rs.sequence = 7
		rs.addUnanswered(core.RunnerOrder{Load: true, Model: "m1", Expected: 7}, time.Now())
		rs.removeUnanswered(core.RunnerOrder{Load: true, Model: "m1", Expected: 7})
		fx.restart("r0", time.Now())
		h.refreshRunners()
		rs = h.runners["r0"]
		assert.Equal(t, rs.freeMB(), 140.0, "memory is reserved for m3 only once")
		rs.sequence = 1
		assert.Equal(t, rs.freeMB(), 140.0, "the order that was not answered")
		rs.sequence = 2
		assert.Equal(t, rs.freeMB(), 200.0, "no order expects this sequence")
		fx.holder.wg.Wait()
	})
}

// Guards against refusing requests for an adapter for seconds after a crash, since the holder
// answered with the exited runner, whose entry was still registered. The adapter must be
// loaded on another replica of the model immediately. Models are not moved: an exited process
// is back, empty, in less time than a load elsewhere takes, and the models that it would
// displace are in use.
func TestAdaptersOfARunnerThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newPairFixture(t)
		fx.run(1, func() {
			time.Sleep(2 * time.Second)
			first := fx.place("m0", "a1").Runner
			other := map[string]string{"r0": "r1", "r1": "r0"}[first]
			before := fx.engines[other].acceptedModelOrders()
			fx.holder.loads.ConnectionRefused(first)
			time.Sleep(2 * planInterval)
			assert.Equal(t, fx.place("m0", "a1").Runner, other)
			assert.Equal(t, fx.engines[other].acceptedModelOrders(), before, "an order for a model was accepted")
		})
	})
}

// Guards against requesting reports from a runner that has exited, and sending it orders,
// until its entry expires. Each attempt is a connection to a port on which nothing listens.
func TestNothingIsSentToAnExitedRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2, 2, faults{reportDelay: 200 * time.Millisecond}, 1)
		exited := &exitedRunner{fakeRunners: fx.engines}
		fx.holder.runnerClient = exited
		fx.run(1, func() {
			time.Sleep(settleTime + 2*time.Second)
			exited.runner.Store("r1")
			fx.holder.postBlocking(func() { fx.holder.runners["r1"].synced = false })
			time.Sleep(3 * time.Second)
			assert.Assert(t, exited.count.Load() <= 1, "%d", exited.count.Load())
			assert.Assert(t, fx.holder.loads.Down("r1"))
			assert.Assert(t, fx.engines["r0"].hasModel("m1"), "its model has not been loaded on the other runner")
		})
	})
}

// exitedRunner wraps fake runners of which one may have exited.
type exitedRunner struct {
	fakeRunners
	runner atomic.Value
	count  atomic.Int32 // orders and report requests sent to it
}

func (g *exitedRunner) refuseIfExited(r *core.Runner) error {
	if r.ID != g.runner.Load() {
		return nil
	}
	g.count.Add(1)
	return fmt.Errorf("%w: %w", core.ErrNotSent, core.ErrNoListener)
}

func (g *exitedRunner) Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	if err := g.refuseIfExited(r); err != nil {
		return core.OrderUnknown, err
	}
	return g.fakeRunners.Order(ctx, r, o)
}

func (g *exitedRunner) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	if err := g.refuseIfExited(r); err != nil {
		return nil, err
	}
	return g.fakeRunners.Report(ctx, r)
}

// Guards against refusing requests for an adapter because the only runner that has it is full,
// while other runners with its model have free slots. If w.Busy is set, the holder loads the
// adapter on another runner, or answers immediately if none has a free slot.
func TestAdapterOfAFullRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newPairFixture(t)
		fx.run(1, func() {
			time.Sleep(settleTime + 2*time.Second) // until adapters have been preloaded
			first := fx.place("m0", "a1").Runner
			assert.Assert(t, first != "")
			other := map[string]string{"r0": "r1", "r1": "r0"}[first]
			for id, e := range fx.engines {
				e.mu.Lock()
				delete(e.adapters, "m0/a1")
				if id == first {
					e.adapters["m0/a1"] = true
				}
				e.mu.Unlock()
			}
			delete(fx.holder.runners[other].adapters, adapterKey{"m0", "a1"})
			var ends []func()
			for range fx.spec.Slots {
				ends = append(ends, fx.holder.loads.Begin(first))
			}
			want := dispatch.PlacementKey{Service: "s", Model: "m0", Adapter: "a1", Busy: true}
			place := func() PlaceResult {
				ch := make(chan PlaceResult, 1)
				fx.holder.Place(want, func(p PlaceResult) { ch <- p })
				return <-ch
			}
			assert.Equal(t, place().Runner, other)
			for range fx.spec.Slots {
				fx.holder.loads.Begin(other)
			}
			began := time.Now()
			assert.Equal(t, place().Runner, "")
			assert.Assert(t, time.Since(began) < adapterSlotWait)
			for _, end := range ends {
				end()
			}
			assert.Equal(t, place().Runner, first, "it has free slots again")
		})
	})
}

// newPairFixture returns a fixture of two runners with the same model.
func newPairFixture(t *testing.T) *fixture {
	t.Helper()
	fx := newFixture(t, 2, 1, faults{reportDelay: 200 * time.Millisecond}, 1)
	fx.engines["r1"].models["m0"] = true
	fx.engines["r1"].recordState()
	return fx
}
