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

// observableEndpoint is an endpoint that only tells its state.
type observableEndpoint struct {
	core.Endpoint
	bootID string
	err    error
}

func (e *observableEndpoint) Observe(context.Context) (core.Observation, error) {
	return core.Observation{Boot: e.bootID}, e.err
}

// An endpoint's end is missed, or blamed on requests of its next life.
func TestEndpointRestartIsDetected(t *testing.T) {
	for _, tt := range []struct {
		name         string
		next         observableEndpoint
		wantErr      error
		sameInstance bool
	}{
		{"it lives", observableEndpoint{bootID: "a"}, nil, true},
		{"it tells nothing of itself", observableEndpoint{err: core.ErrNotFound}, nil, true},
		{"nothing listens", observableEndpoint{err: core.ErrNoListener}, core.ErrNoListener, false},
		{"it does not answer", observableEndpoint{err: core.ErrUnavailable}, core.ErrUnavailable, true},
		{"it has started again", observableEndpoint{bootID: "b"}, nil, false},
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
		assert.Equal(t, r.instances.current().startedAt.Equal(before.Born), tt.sameInstance, tt.name)
		if err == nil {
			assert.Equal(t, report.Born.Equal(before.Born), tt.sameInstance, tt.name)
		}
		if !tt.sameInstance {
			_, err = m.Report(context.Background(), &before)
			assert.Assert(t, errors.Is(err, core.ErrReplaced), tt.name)
		}
	}
}
