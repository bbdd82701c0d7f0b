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
	// maxFatalLoads bounds the loads within a minute of a model under which runners exit:
	// three until the hold begins, those in progress at that time on the other three
	// runners, and three more.
	maxFatalLoads = 3 + 3 + 3
)

// fatalRunners are runners that exit when they are ordered to load one model, and restart
// empty a moment later.
type fatalRunners struct {
	fx    *fixture
	mu    sync.Mutex
	loads int
}

func (f *fatalRunners) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	report, err := f.fx.engines.Report(ctx, r)
	if err == nil {
		report.StartedAt = f.fx.catalog.Runner(r.ID).StartedAt
	}
	return report, err
}

func (f *fatalRunners) Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error) {
	if !o.Load || o.Model != fatalModel {
		return f.fx.engines.Order(ctx, r, o)
	}
	f.mu.Lock()
	f.loads++
	f.mu.Unlock()
	f.fx.restart(r.ID, time.Now())
	return core.OrderUnknown, fmt.Errorf("%w: %w", core.ErrAnswerLost, core.ErrClosed)
}

// singleDaemon is the network of a daemon without peers.
type singleDaemon struct{}

func (singleDaemon) Self() peers.Peer             { return peers.Peer{Name: "d1"} }
func (a singleDaemon) Alive() []peers.Peer        { return []peers.Peer{a.Self()} }
func (singleDaemon) Handle(string, peers.Handler) {}
func (singleDaemon) Send(peers.Peer, string, any) {}
func (singleDaemon) Broadcast(string, any)        {}
func (singleDaemon) Request(context.Context, peers.Peer, string, any, any, time.Duration) error {
	return peers.ErrNoReply
}

// Guards against repeated exits of runners, each of which loses all its models. Each runner
// that is ordered to load one model exits, since the model's weights are corrupt or differ
// from the configuration. While requests for the model continued, the holder ordered it on
// one runner after another, since it did not record that the order made the runner exit.
// Such a load is now put on hold like a request under which runners exit.
func TestFatalModelIsNotLoadedRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 4, 4, faults{reportDelay: 200 * time.Millisecond}, 1)
		fx.spec.Models = append(fx.spec.Models, core.Model{Name: fatalModel, MemoryMB: 60, Load: 2 * time.Second})
		fx.configure(2)
		runners := &fatalRunners{fx: fx}
		fx.holder.runnerClient = runners
		guard := quarantine.New(singleDaemon{}, runners, fx.holder.clock, zap.NewNop())
		fx.holder.guard = guard
		fx.run(1, func() {
			for range 60 {
				for i := range 4 {
					fx.holder.AddDemand(map[dispatch.PlacementKey]float64{{Service: "s", Model: modelName(i)}: 3})
				}
				fx.holder.AddDemand(map[dispatch.PlacementKey]float64{{Service: "s", Model: fatalModel}: 10})
				time.Sleep(time.Second)
			}
		})
		runners.mu.Lock()
		defer runners.mu.Unlock()
		t.Logf("%d loads", runners.loads)
		assert.Check(t, runners.loads > 0)
		assert.Check(t, runners.loads <= maxFatalLoads, "%d loads", runners.loads)
		for i := range 4 {
			found := false
			for _, e := range fx.engines {
				found = found || e.hasModel(modelName(i))
			}
			assert.Check(t, found, "%s is nowhere", modelName(i))
		}
	})
}

// Guards against a harmless model not being loaded for seconds. The runners chosen for it had
// exited before they received the order, which counted as exits under its load. Runners that
// exit while they carry out the load still count.
func TestUnreceivedLoadsAreNotCounted(t *testing.T) {
	for _, tt := range []struct {
		name      string
		accepted  bool
		err       error
		wantExits int
	}{
		{"the runner had exited before", false, core.ErrNoListener, 0},
		{"the runner exited while loading", true, core.ErrNoListener, 1},
		{"the runner exited when it received the order", false, core.ErrClosed, 1},
	} {
		fx := newFixture(t, 1, 1, faults{}, 1)
		g := &countingGuard{}
		fx.holder.guard = g
		r := fx.catalog.Runner("r0").Runner
		rs := newRunnerState(r, fx.spec)
		rs.models["m9"] = &placedItem{phase: loading, accepted: tt.accepted}
		fx.holder.noteLoadExit(rs, core.RunnerOrder{Load: true, Model: "m9"}, fmt.Errorf("order: %w", tt.err))
		assert.Equal(t, g.exits, tt.wantExits, tt.name)
	}
}

// countingGuard counts the exits reported to it.
type countingGuard struct {
	core.NoGuard
	exits int
}

func (g *countingGuard) ConnectionLost(core.LostRequest) { g.exits++ }
