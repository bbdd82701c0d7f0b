package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/coordination/policy"
	"primroseward/core"
)

// TestAnswerOfSilentRunnerIsNotCut guards against an answer that is given up because its runner is silent
// for a second, while nothing else takes the request, although its runner goes on.
func TestAnswerOfSilentRunnerIsNotCut(t *testing.T) {
	stream, safe := route(core.KindStream, true, 2), route(core.KindSafe, false, 2)
	full := func() (*core.Reply, error) { return nil, core.MayHaveRun("full", "m") }
	for _, tt := range []struct {
		name  string
		route *core.Route
		first act
		then  act // of all other runners
		slack float64
		// pathLost: the daemon has lost its path, and other daemons give these answers.
		pathLost bool
		others   []func() (*core.Reply, error)
	}{
		{"in the middle, the others reject", stream, pauses, rejects, 100, false, nil},
		{"in the middle, the others reject, no retry is left", stream, pauses, rejects, 1, false, nil},
		{"in the middle, the others are not reached", stream, pauses, unreachable, 100, false, nil},
		{"in the middle, nothing listens at the others", stream, pauses, noListener, 100, false, nil},
		{"in the middle, the others fail it", stream, pauses, fails, 100, false, nil},
		{"in the middle, the others lose it", stream, pauses, losesAnswer, 100, false, nil},
		{"at first, the others reject", stream, pausesFirst, rejects, 100, false, nil},
		{"at first, the others reject, no retry is left", stream, pausesFirst, rejects, 1, false, nil},
		{"at first, the others are not reached", stream, pausesFirst, unreachable, 100, false, nil},
		{"at first, the others lose it", stream, pausesFirst, losesAnswer, 100, false, nil},
		{"in the middle, another daemon has no room", stream, pauses, rejects, 100, true, []func() (*core.Reply, error){full, full, full}},
		{"at first, another daemon has no room", stream, pausesFirst, rejects, 100, true, []func() (*core.Reply, error){full, full, full}},
		{"plain, another daemon has no room", safe, pausesFirst, rejects, 100, true, []func() (*core.Reply, error){full, full, full}},
		{"in the middle, the hop breaks off", stream, pauses, rejects, 100, true, []func() (*core.Reply, error){failsWith(core.ErrAnswerLost), failsWith(core.ErrAnswerLost)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				acts := []act{tt.first}
				f := &fleet{nextAct: func(string) act {
					if len(acts) == 0 {
						return tt.then
					}
					acts = nil
					return tt.first
				}}
				d := newDispatcher(f, 3)
				d.budget = policy.NewBudget(d.clock, 10*time.Second, func() float64 { return 0 }, func() float64 { return tt.slack })
				began := time.Now()
				WithHelpers("vm-1", &otherDaemons{loads: load.New(d.clock), answers: tt.others}, func() bool { return tt.pathLost && time.Since(began) > 0 })(d)
				_, body, err := call(d, tt.route)
				assert.NilError(t, err)
				assert.Equal(t, body, eventText("", eventCount))
			})
		})
	}
}
