package dispatch

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// exitDetector is an ExitDetector that knows which runners have exited, and counts the questions.
type exitDetector struct {
	exited map[string]bool
	asked  int
}

func (e *exitDetector) Exited(_ context.Context, r *core.Runner) bool {
	e.asked++
	return e.exited[r.ID]
}

// TestAnswerOfARunnerThatExits guards against an answer that counts as complete because the exit of its
// runner closed the connection with which it ends, whether it is leaving or not, and against a whole one that
// counts as broken.
func TestAnswerOfARunnerThatExits(t *testing.T) {
	for _, tt := range []struct {
		name    string
		route   *core.Route
		framing core.Framing
		exits   bool
		leaves  bool
		lost    bool // this daemon's path to the runners
		status  int
		whole   bool
		runs    int
		asked   int
	}{
		{"a stream that is resumed", route(core.KindStream, true, 2), core.FramingClose, true, false, false, 200, true, 2, 1},
		{"a stream that may not be resumed", route(core.KindStream, false, 2), core.FramingClose, true, false, false, 200, false, 1, 1},
		{"a safe request", route(core.KindSafe, false, 2), core.FramingClose, true, false, false, 200, true, 2, 1},
		{"an unsafe request", route(core.KindUnsafe, false, 2), core.FramingClose, true, false, false, 502, false, 1, 1},
		{"the runner runs on", route(core.KindUnsafe, false, 2), core.FramingClose, false, false, false, 200, true, 1, 1},
		{"in chunks", route(core.KindStream, false, 2), core.FramingChunked, true, false, false, 200, true, 1, 0},
		{"with a length", route(core.KindUnsafe, false, 2), core.FramingLength, true, false, false, 200, true, 1, 0},
		{"the runner is leaving", route(core.KindStream, false, 2), core.FramingClose, true, true, false, 200, false, 1, 1},
		{"a stream that is resumed, the runner is leaving", route(core.KindStream, true, 2), core.FramingClose, true, true, false, 200, true, 2, 1},
		{"the runner is leaving and runs on", route(core.KindStream, false, 2), core.FramingClose, false, true, false, 200, true, 1, 1},
		{"this daemon has lost its path", route(core.KindStream, false, 2), core.FramingClose, true, false, true, 200, false, 1, 1},
		{"this daemon has lost its path, the runner runs on", route(core.KindStream, false, 2), core.FramingClose, false, false, true, 200, true, 1, 1},
	} {
		runs := 0
		exits := &exitDetector{exited: map[string]bool{}}
		d := newDispatcher(&fleet{nextAct: script()}, 2)
		WithExits(exits)(d)
		d.pathLost = func() bool { return tt.lost }
		g := &guard{admits: 10}
		WithGuard(g)(d)
		d.sender = senderFunc(func(_ context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
			runs++
			exits.exited[r.ID] = tt.exits && runs == 1
			if e := *d.catalog.Runner(r.ID); tt.leaves {
				e.Draining = true
				d.catalog.Put(e.Runner, d.clock.Now())
			}
			reply := answer(http.StatusOK, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil)
			reply.Framing = tt.framing
			if runs == 2 {
				reply.Framing = core.FramingChunked
			}
			return reply, nil
		})
		status, body, err := call(d, tt.route)
		assert.Equal(t, status, tt.status, tt.name)
		assert.Equal(t, err == nil, tt.whole, "%s: %v", tt.name, err)
		assert.Equal(t, body == eventText("", eventCount), status == 200, tt.name)
		assert.Equal(t, runs, tt.runs, tt.name)
		assert.Equal(t, exits.asked, tt.asked, tt.name)
		assert.Equal(t, len(g.closed), map[bool]int{true: 1}[tt.exits && !tt.leaves && tt.asked > 0], tt.name)
	}
}
