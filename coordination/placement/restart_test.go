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

// A model of a runner that has started again under its id is not brought back: the
// holder goes by what it knows of the former life, orders by its sequence, and each
// order is refused. The plan is made from what the new life reports.
func TestRestartedRunnerIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2, trouble{reportIn: 200 * time.Millisecond}, 1)
		w.run(1, func() {
			time.Sleep(8 * time.Second)
			assert.Assert(t, w.engines["r1"].has("m1"))
			w.restart("r1", time.Now())
			time.Sleep(6 * time.Second)
			assert.Assert(t, w.engines["r0"].has("m1") || w.engines["r1"].has("m1"), "m1 is not back")
		})
	})
}

// restart lets a runner start again under its id, empty.
func (w *world) restart(id string, born time.Time) {
	e := w.engines[id]
	e.mu.Lock()
	e.models, e.adapters, e.coming = map[string]bool{}, map[string]bool{}, map[string]bool{}
	e.sequence, e.order, e.history = 0, "", nil
	e.note()
	e.mu.Unlock()
	r := w.catalog.Runner(id).Runner
	r.Born, r.Holdings, r.Sequence = born, nil, 0
	w.catalog.Put(r, time.Now())
}

// A runner crashes as soon as it is back: an order to its former life was carried out
// late, when the new life's count of orders had come to the one that it expected, on top
// of what the new life had been ordered to load. Restarts come at any moment, twice
// within a second, too, and holders change in between.
func TestLateOrdersOfAFormerLife(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 99))
			w := newWorld(t, 3, 6, trouble{late: 0.3, reportIn: 200 * time.Millisecond}, seed)
			w.run(1, func() {
				for range 12 {
					time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
					id := fmt.Sprintf("r%d", rnd.IntN(3))
					for range 1 + rnd.IntN(2) {
						w.restart(id, time.Now())
						time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
					}
					w.holder.Demand(map[dispatch.Want]float64{{Service: "s", Model: modelName(rnd.IntN(6)), Adapter: "a1"}: 5})
				}
			})
		})
	}
}

// The same, step by step: room is kept for an order that a former life has not answered
// until the new life's count has gone by what it expects, or it can't come any more.
func TestRoomForALateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0, trouble{}, 1)
		for i := range 4 {
			w.spec.Models = append(w.spec.Models, core.Model{Name: modelName(i), MemoryMB: 60, AdapterMB: 4})
		}
		w.configure(2)
		h := w.holder
		h.refresh()
		h.hosts["r0"].sequence = 3
		h.hosts["r0"].sentOut(core.RunnerOrder{Load: true, Model: "m3", Expected: 3}, time.Now())
		h.hosts["r0"].sentOut(core.RunnerOrder{Load: true, Model: "m2", Expected: 3}, time.Now())
		h.hosts["r0"].answeredFor(core.RunnerOrder{Load: true, Model: "m2", Expected: 3})
		w.restart("r0", time.Now())
		h.refresh()
		one := h.hosts["r0"]
		assert.Equal(t, one.freeMB(), 140.0)
		one.models["m0"], one.models["m1"], one.sequence = &item{phase: present}, &item{phase: present}, 2
		assert.Equal(t, one.freeMB(), 20.0, "a third model and the late one do not fit")
		one.sequence = 4
		assert.Equal(t, one.freeMB(), 80.0)
		one.sequence = 2
		w.restart("r0", time.Now().Add(time.Millisecond))
		h.refresh()
		assert.Equal(t, h.hosts["r0"].freeMB(), 140.0, "kept over another restart")
		time.Sleep(lateFor)
		h.refresh()
		assert.Equal(t, h.hosts["r0"].freeMB(), 200.0)
		w.holder.wg.Wait()
	})
}

// A runner crashes some seconds after it has started again. An order to its former life
// had not been answered, and later orders were accepted, so that its count had gone by
// what the order expected, or it was sent again and that copy was accepted. The new life
// counts from 0 and comes by it again. Of several such orders for one model one can fill
// the memory.
func TestRoomForALateOrderThatTheFormerLifeHadPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0, trouble{}, 1)
		for i := range 4 {
			w.spec.Models = append(w.spec.Models, core.Model{Name: modelName(i), MemoryMB: 60})
		}
		w.configure(2)
		h := w.holder
		h.refresh()
		one := h.hosts["r0"]
		for expected := range uint64(2) {
			one.sequence = expected
			one.sentOut(core.RunnerOrder{Load: true, Model: "m3", Expected: expected}, time.Now())
		}
		one.sentOut(core.RunnerOrder{Load: true, Model: "m3", Expected: 1}, time.Now())
		one.answeredFor(core.RunnerOrder{Load: true, Model: "m3", Expected: 1})
		one.sequence = 7
		one.sentOut(core.RunnerOrder{Load: true, Model: "m1", Expected: 7}, time.Now())
		one.answeredFor(core.RunnerOrder{Load: true, Model: "m1", Expected: 7})
		w.restart("r0", time.Now())
		h.refresh()
		one = h.hosts["r0"]
		assert.Equal(t, one.freeMB(), 140.0, "room for m3, once")
		one.sequence = 1
		assert.Equal(t, one.freeMB(), 140.0, "the copy that was not answered")
		one.sequence = 2
		assert.Equal(t, one.freeMB(), 200.0, "no order expects this any more")
		w.holder.wg.Wait()
	})
}

// Requests for an adapter are refused for seconds after a crash: the holder answers with
// the runner that had it, whose entry stands. It is loaded on another copy of the model
// at once. The models stay where they are: a process that ends is back, empty, in less
// time than they take to load elsewhere, and what they would displace is in use.
func TestAdaptersOfARunnerThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPair(t)
		w.run(1, func() {
			time.Sleep(2 * time.Second)
			first := w.ask("m0", "a1").Runner
			other := map[string]string{"r0": "r1", "r1": "r0"}[first]
			before := w.engines[other].loadsSoFar()
			w.holder.loads.Refused(first)
			time.Sleep(2 * planEvery)
			assert.Equal(t, w.ask("m0", "a1").Runner, other)
			assert.Equal(t, w.engines[other].loadsSoFar(), before, "a model was ordered")
		})
	})
}

// The holder goes on to ask a runner that has ended, and to send it orders, until its
// entry lapses; each one is a connection to a port where nothing listens.
func TestNothingIsSentToARunnerThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2, trouble{reportIn: 200 * time.Millisecond}, 1)
		gone := &goneOrders{orders: w.engines}
		w.holder.orders = gone
		w.run(1, func() {
			time.Sleep(settleFor + 2*time.Second)
			gone.runner.Store("r1")
			w.holder.postSure(func() { w.holder.hosts["r1"].synced = false })
			time.Sleep(3 * time.Second)
			assert.Assert(t, gone.count.Load() <= 1, "%d", gone.count.Load())
			assert.Assert(t, w.holder.loads.Down("r1"))
			assert.Assert(t, w.engines["r0"].has("m1"), "its model is loaded where there is room")
		})
	})
}

// goneOrders are runners of which one may have ended.
type goneOrders struct {
	orders
	runner atomic.Value
	count  atomic.Int32 // sends to it
}

func (g *goneOrders) refuse(r *core.Runner) error {
	if r.ID != g.runner.Load() {
		return nil
	}
	g.count.Add(1)
	return fmt.Errorf("%w: %w", core.ErrNotSent, core.ErrNoListener)
}

func (g *goneOrders) Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	if err := g.refuse(r); err != nil {
		return core.OrderUnknown, err
	}
	return g.orders.Order(ctx, r, o)
}

func (g *goneOrders) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	if err := g.refuse(r); err != nil {
		return nil, err
	}
	return g.orders.Report(ctx, r)
}

// Requests for an adapter are refused while its model's other runners are half idle: the
// only runner that has the adapter is full. Asked for room, the holder loads it on
// another one; where there is none with room, it says so at once.
func TestAdapterOfAFullRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPair(t)
		w.run(1, func() {
			time.Sleep(settleFor + 2*time.Second) // adapters have been loaded ahead
			first := w.ask("m0", "a1").Runner
			assert.Assert(t, first != "")
			other := map[string]string{"r0": "r1", "r1": "r0"}[first]
			for id, e := range w.engines {
				e.mu.Lock()
				delete(e.adapters, "m0/a1")
				if id == first {
					e.adapters["m0/a1"] = true
				}
				e.mu.Unlock()
			}
			delete(w.holder.hosts[other].adapters, adapterKey{"m0", "a1"})
			var ends []func()
			for range w.spec.Slots {
				ends = append(ends, w.holder.loads.Begin(first))
			}
			want := dispatch.Want{Service: "s", Model: "m0", Adapter: "a1", Busy: true}
			ask := func() Placed {
				ch := make(chan Placed, 1)
				w.holder.Place(want, func(p Placed) { ch <- p })
				return <-ch
			}
			assert.Equal(t, ask().Runner, other)
			for range w.spec.Slots {
				w.holder.loads.Begin(other)
			}
			began := time.Now()
			assert.Equal(t, ask().Runner, "")
			assert.Assert(t, time.Since(began) < waitForPlace)
			for _, end := range ends {
				end()
			}
			assert.Equal(t, ask().Runner, first, "it has room again")
		})
	})
}

// newPair is two runners with the same model.
func newPair(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 2, 1, trouble{reportIn: 200 * time.Millisecond}, 1)
	w.engines["r1"].models["m0"] = true
	w.engines["r1"].note()
	return w
}
