package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/coordination/dispatch"
	"primroseward/coordination/peers"
	"primroseward/coordination/quarantine"
	"primroseward/core"
)

const (
	fatalModel = "mx"
	// loadsBorne bounds the loads of a model that ends runners, within a minute: three
	// until that is known, those that were under way then at the other runners, and three
	// more.
	loadsBorne = 3 + 3 + 3
)

// fatalOrders are runners that end when they are ordered to load one model, and have
// started again, empty, a moment later.
type fatalOrders struct {
	w     *world
	mu    sync.Mutex
	loads int
}

func (f *fatalOrders) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	report, err := f.w.engines.Report(ctx, r)
	if err == nil {
		report.Born = f.w.catalog.Runner(r.ID).Born
	}
	return report, err
}

func (f *fatalOrders) Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	if !o.Load || o.Model != fatalModel {
		return f.w.engines.Order(ctx, r, o)
	}
	f.mu.Lock()
	f.loads++
	f.mu.Unlock()
	f.w.restart(r.ID, time.Now())
	return core.OrderUnknown, fmt.Errorf("%w: %w", core.ErrLost, core.ErrClosed)
}

// alone is the network of a daemon without others.
type alone struct{}

func (alone) Self() peers.Peer             { return peers.Peer{Name: "d1"} }
func (a alone) Alive() []peers.Peer        { return []peers.Peer{a.Self()} }
func (alone) Handle(string, peers.Handler) {}
func (alone) Tell(peers.Peer, string, any) {}
func (alone) TellAll(string, any)          {}
func (alone) Ask(context.Context, peers.Peer, string, any, any, time.Duration) error {
	return peers.ErrNoAnswer
}

// Runners end again and again, each with the models that it has: the weights of one
// model are broken, or are not what the configuration says, and each runner that is
// ordered to load it ends. Requests for it keep coming, so that it is ordered again, at
// one runner after the other: the holder forgot that an order had ended its runner. Now
// the load is held back as a request is.
func TestModelThatEndsRunnersIsNotLoadedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 4, trouble{reportIn: 200 * time.Millisecond}, 1)
		w.spec.Models = append(w.spec.Models, core.Model{Name: fatalModel, MemoryMB: 60, Load: 2 * time.Second})
		w.configure(2)
		orders := &fatalOrders{w: w}
		w.holder.orders = orders
		guard := quarantine.New(alone{}, orders, w.holder.clock, zap.NewNop())
		w.holder.guard = guard
		w.run(1, func() {
			for range 60 {
				for i := range 4 {
					w.holder.Demand(map[dispatch.Want]float64{{Service: "s", Model: modelName(i)}: 3})
				}
				w.holder.Demand(map[dispatch.Want]float64{{Service: "s", Model: fatalModel}: 10})
				time.Sleep(time.Second)
			}
		})
		orders.mu.Lock()
		defer orders.mu.Unlock()
		t.Logf("%d loads", orders.loads)
		assert.Check(t, orders.loads > 0)
		assert.Check(t, orders.loads <= loadsBorne, "%d loads", orders.loads)
		for i := range 4 {
			found := false
			for _, e := range w.engines {
				found = found || e.has(modelName(i))
			}
			assert.Check(t, found, "%s is nowhere", modelName(i))
		}
	})
}

// A harmless model is not loaded for seconds: the runners that the holder chose for it had
// ended before they heard of it, which counted as ends under its load. Those that end
// while they carry it out still count.
func TestLoadsThatARunnerNeverHeardOfAreNotCounted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		accepted bool
		err      error
		counted  int
	}{
		{"it had ended before", false, core.ErrNoListener, 0},
		{"it ended as it loaded", true, core.ErrNoListener, 1},
		{"it ended as it was ordered to", false, core.ErrClosed, 1},
	} {
		w := newWorld(t, 1, 1, trouble{}, 1)
		g := &countingGuard{}
		w.holder.guard = g
		r := w.catalog.Runner("r0").Runner
		one := newHost(r, w.spec)
		one.models["m9"] = &item{phase: loading, accepted: tt.accepted}
		w.holder.noteLoadEnd(one, core.RunnerOrder{Load: true, Model: "m9"}, fmt.Errorf("order: %w", tt.err))
		assert.Equal(t, g.broke, tt.counted, tt.name)
	}
}

// countingGuard counts what it is told of.
type countingGuard struct {
	core.NoGuard
	broke int
}

func (g *countingGuard) Broke(core.Broken) { g.broke++ }
