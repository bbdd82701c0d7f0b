package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/state/catalog"
)

// leave records that a runner has announced that it is leaving.
func leave(d *Dispatcher, runner string) {
	d.catalog.RecordLeaving(runner, catalog.Departure{At: d.clock.Now()})
}

// leavingGuard makes a runner leave when a send is about to be permitted.
type leavingGuard struct {
	core.NoGuard
	permit func()
}

func (g leavingGuard) Admit(context.Context, core.Digest) (time.Duration, bool) {
	g.permit()
	return 0, true
}

// placerTo answers that a runner has the model now.
type placerTo string

func (p placerTo) Place(context.Context, PlacementKey) (string, time.Duration, error) {
	return string(p), 0, nil
}

// Guards against each path by which a request could reach a runner that has announced that it
// is leaving.
func TestNoPathLeadsToALeavingRunner(t *testing.T) {
	for _, tt := range []struct {
		name   string
		route  *core.Route
		acts   []act
		model  string
		setup  func(d *Dispatcher)
		status int
		runs   []string
	}{
		{"first send", route(core.KindSafe, false, 2), nil, "m", func(d *Dispatcher) { leave(d, "r0") }, http.StatusOK, []string{"r1"}},
		{
			"announced just before the send", route(core.KindSafe, false, 2), nil, "m",
			func(d *Dispatcher) { d.guard = leavingGuard{permit: func() { leave(d, "r0") }} }, http.StatusOK,
			[]string{"r1"},
		},
		{
			"announced during the dial", route(core.KindSafe, false, 2), nil, "m",
			func(d *Dispatcher) { d.sender.(*fleet).dial = func(string) { leave(d, "r0") } }, http.StatusOK,
			[]string{"r1"},
		},
		{"retry", route(core.KindSafe, false, 2), []act{losesAnswer}, "m", func(d *Dispatcher) { leave(d, "r0") }, http.StatusBadGateway, []string{"r1"}},
		{"resumed stream", route(core.KindStream, true, 2), []act{breaksOff}, "m", func(d *Dispatcher) { leave(d, "r0") }, http.StatusOK, []string{"r1"}},
		{
			"placed model", route(core.KindSafe, false, 2), nil, "other",
			func(d *Dispatcher) { d.placer = placerTo("r0"); leave(d, "r0") }, http.StatusServiceUnavailable, nil,
		},
		{"all leave", route(core.KindSafe, false, 2), nil, "m", func(d *Dispatcher) { leave(d, "r0"); leave(d, "r1") }, http.StatusServiceUnavailable, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: script(tt.acts...)}
				d := newDispatcher(f, 2)
				tt.setup(d)
				q := &core.Request{ID: "q", Model: tt.model, Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
				reply, err := d.Do(context.Background(), tt.route, q)
				status := http.StatusOK
				if err != nil {
					status = core.AsRequestError(err).Status
				} else {
					_, _ = readAll(reply)
				}
				assert.Equal(t, status, tt.status)
				assert.DeepEqual(t, f.runs, tt.runs)
			})
		})
	}
}
