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

// reporter is an endpoint that only tells its state.
type reporter struct {
	core.Endpoint
	boot string
	err  error
}

func (e *reporter) Observe(context.Context) (core.Observation, error) {
	return core.Observation{Boot: e.boot}, e.err
}

// An endpoint's end is missed, or blamed on requests of its next life.
func TestEndsOfAnEndpointAreToldApart(t *testing.T) {
	for _, tt := range []struct {
		name string
		next reporter
		want error
		same bool
	}{
		{"it lives", reporter{boot: "a"}, nil, true},
		{"it tells nothing of itself", reporter{err: core.ErrNotFound}, nil, true},
		{"nothing listens", reporter{err: core.ErrNoListener}, core.ErrNoListener, false},
		{"it does not answer", reporter{err: core.ErrUnavailable}, core.ErrUnavailable, true},
		{"it has started again", reporter{boot: "b"}, nil, false},
	} {
		clock := clockwork.NewFakeClock()
		e := &reporter{boot: "a"}
		r := &runner{endpoint: e, alive: lives{clock: clock, is: life{begun: clock.Now()}}}
		m := &Manager{clock: clock, runners: map[string]*runner{"e": r}}
		_, err := r.observe(context.Background())
		assert.NilError(t, err)
		was := r.alive.now().runner("e")
		clock.Advance(time.Second)
		*e = tt.next
		report, err := m.Report(context.Background(), &was)
		assert.Assert(t, errors.Is(err, tt.want), "%s: %v", tt.name, err)
		assert.Equal(t, r.alive.now().begun.Equal(was.Born), tt.same, tt.name)
		if err == nil {
			assert.Equal(t, report.Born.Equal(was.Born), tt.same, tt.name)
		}
		if !tt.same {
			_, err = m.Report(context.Background(), &was)
			assert.Assert(t, errors.Is(err, core.ErrReplaced), tt.name)
		}
	}
}
