package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
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
				d.budget = savedRetries(tt.slack)
				began := time.Now()
				WithHelpers("vm-1", &otherDaemons{loads: load.New(d.clock), answers: tt.others}, func() bool { return tt.pathLost && time.Since(began) > 0 })(d)
				_, body, err := call(d, tt.route)
				assert.NilError(t, err)
				assert.Equal(t, body, eventText("", eventCount))
			})
		})
	}
}

// TestSilentRunnerGoesOnAsAnotherIsAsked guards against two runs of one stream side by side, and against
// events that are missing or come twice, where a silent runner goes on while the request is on its way to
// another one.
func TestSilentRunnerGoesOnAsAnotherIsAsked(t *testing.T) {
	for _, tt := range []struct {
		name  string
		goOn  time.Duration // from the send to the other one
		head  time.Duration // of the other one's answer, from the same moment
		other bool          // that one's answer is used
	}{
		{"the other accepts first", 20 * time.Millisecond, 5 * time.Millisecond, true},
		{"the runner goes on first, the other accepts at once", 5 * time.Millisecond, 20 * time.Millisecond, true},
		{"both at once", 10 * time.Millisecond, 10 * time.Millisecond, true},
		{"the other queues the request", 5 * time.Millisecond, 200 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var runs []string
				var mu sync.Mutex
				open, accepted := 0, false
				send := func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
					mu.Lock()
					defer mu.Unlock()
					runs = append(runs, r.ID)
					open++
					context.AfterFunc(ctx, func() {
						mu.Lock()
						defer mu.Unlock()
						open--
					})
					head, body := eventText("", 2), strings.TrimPrefix(eventText("", eventCount), eventText("", 2))
					pause := minStall + tt.goOn
					if len(runs) > 1 {
						head, body, pause = "", eventText(o.LastEvent, eventCount), time.Nanosecond
						mu.Unlock()
						core.Sleep(ctx, clockwork.NewRealClock(), tt.head)
						mu.Lock()
						if ctx.Err() != nil {
							return nil, eris.Wrap(core.ErrAnswerLost, "closed")
						}
						accepted = true
					}
					return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: core.ReplyInfo{Stamped: true}, Body: io.NopCloser(io.MultiReader(strings.NewReader(head), &delayedReader{ctx: ctx, text: body, pause: pause}))}, nil
				}
				d := newDispatcher(&fleet{}, 2)
				d.sender = senderFunc(send)
				_, body, err := call(d, route(core.KindStream, true, 2))
				assert.NilError(t, err)
				assert.Equal(t, body, eventText("", eventCount))
				assert.Equal(t, len(runs), 2)
				synctest.Wait()
				assert.Equal(t, accepted, tt.other)
				assert.Equal(t, open, 0)
			})
		})
	}
}

// TestBrokenStreamWaitsForAnotherDaemon guards against a broken stream that is cut because another daemon has
// no room for it at first, while its caller still waits.
func TestBrokenStreamWaitsForAnotherDaemon(t *testing.T) {
	const soon = 500 * time.Millisecond
	for _, tt := range []struct {
		name  string
		code  string
		runs  int           // of the request that the other daemon states
		until time.Duration // for which it refuses
		whole bool
	}{
		{"full", "full", 1, soon, true},
		{"at its limit", core.CodeLimited, 1, soon, true},
		{"no path either, so that the next one is asked at once", core.CodePath, 1, soon / 2, true},
		{"full for longer than the caller waits", "full", 1, time.Minute, false},
		{"it has run there", "answer_lost", 2, soon, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: script(breaksOff)}
				d := newDispatcher(f, 1)
				began, asked := time.Now(), false
				o := &otherDaemons{loads: load.New(d.clock)}
				refusal := func() (*core.Reply, error) {
					asked = true
					if time.Since(began) >= tt.until {
						return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 2, Origin: &core.Origin{Service: "s"}}, eventText("3", eventCount), nil), nil
					}
					return nil, &core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: http.StatusBadGateway, Code: tt.code, Runs: tt.runs}
				}
				for range 100 {
					o.answers = append(o.answers, refusal)
				}
				WithHelpers("vm-1", o, func() bool { return len(f.runs) > 0 })(d)
				_, body, err := call(d, route(core.KindStream, true, 2))
				assert.Equal(t, err == nil, tt.whole, "%v", err)
				assert.Assert(t, asked)
				if tt.whole {
					assert.Equal(t, body, eventText("", eventCount))
				}
				assert.Assert(t, time.Since(began) < minEventWait, "%v", time.Since(began))
			})
		})
	}
}
