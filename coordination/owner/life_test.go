package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
)

// observableEndpoint is an endpoint that only answers observations.
type observableEndpoint struct {
	core.Endpoint
	bootID string
	err    error
}

func (e *observableEndpoint) Observe(context.Context) (core.Observation, error) {
	return core.Observation{Instance: e.bootID}, e.err
}

// Guards against an endpoint's exit that goes unnoticed, or that is attributed to requests
// of the next instance.
func TestEndpointRestartIsDetected(t *testing.T) {
	for _, tt := range []struct {
		name         string
		next         observableEndpoint
		wantErr      error
		sameInstance bool
	}{
		{"same boot ID", observableEndpoint{bootID: "a"}, nil, true},
		{"no state interface", observableEndpoint{err: core.ErrNotFound}, nil, true},
		{"nothing listens", observableEndpoint{err: core.ErrNoListener}, core.ErrNoListener, false},
		{"no answer", observableEndpoint{err: core.ErrUnavailable}, core.ErrUnavailable, true},
		{"new boot ID", observableEndpoint{bootID: "b"}, nil, false},
	} {
		clock := clockwork.NewFakeClock()
		e := &observableEndpoint{bootID: "a"}
		r := &runner{endpoint: e, instances: instanceTracker{clock: clock, latest: instance{startedAt: clock.Now()}}}
		m := &Manager{clock: clock, runners: map[string]*runner{"e": r}}
		_, err := r.observe(context.Background())
		assert.NilError(t, err)
		before := r.instances.current().runner("e")
		clock.Advance(time.Second)
		*e = tt.next
		report, err := m.Report(context.Background(), &before)
		assert.Assert(t, errors.Is(err, tt.wantErr), "%s: %v", tt.name, err)
		assert.Equal(t, r.instances.current().startedAt.Equal(before.StartedAt), tt.sameInstance, tt.name)
		if err == nil {
			assert.Equal(t, report.StartedAt.Equal(before.StartedAt), tt.sameInstance, tt.name)
		}
		if !tt.sameInstance {
			_, err = m.Report(context.Background(), &before)
			assert.Assert(t, errors.Is(err, core.ErrReplaced), tt.name)
		}
	}
}
