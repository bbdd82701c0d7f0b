package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// guard is a core.Guard that holds the request after it has been admitted some times.
type guard struct {
	mu     sync.Mutex
	admits int // how often the request is admitted; negative: held when it arrives
	closed []core.LostRequest
	worked int
	sound  []core.Part
	// running counts the runs that have begun and not ended.
	running int
	// held is a digest that is held, refused one that is not admitted.
	held, refused core.Digest
}

const holdTime = 7 * time.Second

func (g *guard) HoldRemaining(d core.Digest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admits < 0 || d != (core.Digest{}) && d == g.held {
		return holdTime
	}
	return 0
}

func (g *guard) Admit(_ context.Context, d core.Digest) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admits == 0 || d != (core.Digest{}) && d == g.refused {
		return holdTime, false
	}
	g.admits--
	return 0, true
}

func (g *guard) ConnectionLost(b core.LostRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = append(g.closed, b)
}

func (g *guard) Served(core.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.worked++
}

func (g *guard) RunBegan(parts []core.Part, _ string) core.Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
	return &guardRun{g: g, parts: parts}
}

// guardRun is a run of a request at a runner.
type guardRun struct {
	g     *guard
	parts []core.Part
	ended bool
}

func (r *guardRun) Worked(core.Digest) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.worked++
}

func (r *guardRun) Whole() {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.sound = append(r.g.sound, r.parts...)
}

func (r *guardRun) Ended() {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if !r.ended {
		r.ended = true
		r.g.running--
	}
}

// errCrashed is the error of a runner that exits with all of its connections.
var errCrashed = fmt.Errorf("%w: %w", core.ErrAnswerLost, core.ErrClosed)

// crashing is a Sender whose runners exit before an answer, or after some events of it.
type crashing struct {
	events     int
	head       bool // the response header is sent, but no event
	beforeExit func()
}

func (c *crashing) Send(_ context.Context, _ *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
	if c.beforeExit != nil {
		c.beforeExit()
	}
	if c.events == 0 && !c.head {
		return nil, errCrashed
	}
	return answer(http.StatusOK, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, c.events), errCrashed), nil
}

// callGuarded serves one request and returns the error that its caller receives.
func callGuarded(s Sender, g *guard, r *core.Route) (*core.RequestError, *Dispatcher) {
	d := newDispatcher(&fleet{nextAct: script()}, 3)
	d.sender = s
	WithGuard(g)(d)
	q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
	reply, err := d.Do(context.Background(), r, q)
	if err == nil {
		var buf [4096]byte
		for err == nil {
			_, err = reply.Body.Read(buf[:])
		}
		_ = reply.Body.Close()
	}
	return core.AsRequestError(err), d
}

// Answers to held requests must state truly whether the request may have run: a caller that
// wrongly receives "not run" retries, and the request runs twice. They must come at once rather
// than at the deadline, and say when to retry. This is checked for each kind of route.
func TestAnswersToHeldRequests(t *testing.T) {
	safe, unsafe := route(core.KindSafe, false, 3), route(core.KindUnsafe, false, 3)
	stream, whole := route(core.KindStream, true, 3), route(core.KindStream, false, 3)
	for _, tt := range []struct {
		name    string
		route   *core.Route
		events  int
		admits  int
		status  int
		outcome core.Outcome
		code    string
		retry   time.Duration
	}{
		{"safe, held on arrival", safe, 0, -1, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"unsafe, held on arrival", unsafe, 0, -1, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"a stream, held on arrival", stream, 0, -1, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"safe, held while it waited", safe, 0, 0, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"unsafe, held while it waited", unsafe, 0, 0, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"a stream, held while it waited", whole, 0, 0, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"safe, after it has crashed a runner", safe, 0, 1, 502, core.OutcomeMayHaveRun, core.CodeHeld, holdTime},
		{"unsafe, after it has crashed a runner", unsafe, 0, 1, 502, core.OutcomeMayHaveRun, "answer_lost", 0},
		{"a stream, before its first event", stream, 0, 1, 502, core.OutcomeMayHaveRun, core.CodeHeld, holdTime},
		{"a stream, after some events", stream, 3, 1, 502, core.OutcomeMayHaveRun, core.CodeHeld, holdTime},
		{"a stream that is not resumable, after some events", whole, 3, 1, 502, core.OutcomeMayHaveRun, "answer_lost", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, _ := callGuarded(&crashing{events: tt.events}, &guard{admits: tt.admits}, tt.route)
			assert.Equal(t, got.Status, tt.status)
			assert.Equal(t, got.Outcome, tt.outcome)
			assert.Equal(t, got.Code, tt.code)
			assert.Equal(t, got.Retry, tt.retry)
		})
	}
}

// Requests must not be held because the platform took their runners away.
func TestRunnersThatLeaveAreNotCounted(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(r *core.Runner)
		counted int
	}{
		{"it crashes", func(*core.Runner) {}, 1},
		{"it has announced that it leaves", func(r *core.Runner) { r.Draining = true }, 0},
		{"it is taken away by the platform", func(r *core.Runner) { r.Draining, r.LeavesIn = true, time.Second }, 0},
		{"it is known to have started again", func(r *core.Runner) { r.StartedAt = time.UnixMilli(1) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, s := &guard{admits: 1}, &crashing{}
			d := newDispatcher(&fleet{nextAct: script()}, 1)
			d.sender = s
			WithGuard(g)(d)
			s.beforeExit = func() {
				r := d.catalog.Runner("r0").Runner
				tt.change(&r)
				d.catalog.Put(r, d.clock.Now())
			}
			_, _, err := call(d, route(core.KindUnsafe, false, 1))
			assert.Assert(t, err != nil)
			assert.Equal(t, len(g.closed), tt.counted)
		})
	}
}

// A request whose runner exits as it starts to run it is reported differently from requests
// queued there and from streams that have sent events.
func TestFreshRequestsAreReported(t *testing.T) {
	for _, tt := range []struct {
		name         string
		engine       bool
		sender       Sender
		begun, fresh bool
	}{
		{"queued", true, &crashing{}, false, false},
		{"just started", true, &crashing{head: true}, true, true},
		{"after some events", true, &crashing{events: 3}, true, false},
		{"of a plain service", false, &crashing{head: true}, true, false},
	} {
		g := &guard{admits: 1}
		d := newDispatcher(&fleet{nextAct: script()}, 1)
		if tt.engine {
			d = newPacedDispatcher(&fleet{nextAct: script()}, 1)
		}
		d.sender = tt.sender
		WithGuard(g)(d)
		_, _, err := call(d, route(core.KindStream, false, 1))
		assert.Assert(t, err != nil, tt.name)
		assert.Equal(t, len(g.closed), 1, tt.name)
		assert.Equal(t, g.closed[0].MayHaveRun, tt.begun, tt.name)
		assert.Equal(t, g.closed[0].JustStarted, tt.fresh, tt.name)
	}
}

// A request that is queued at a runner when a hold is set on it must be cancelled, as it would
// crash that runner.
func TestQueuedRequestsAreCancelled(t *testing.T) {
	d := newDispatcher(&fleet{nextAct: script(hangs)}, 1)
	done := make(chan error, 1)
	go func() {
		_, _, err := call(d, route(core.KindUnsafe, false, 1))
		done <- err
	}()
	for !d.awaitsAnswer(core.Digest{}) {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	d.CancelHeld(core.Digest{})
	assert.Assert(t, <-done != nil)
	assert.Assert(t, time.Since(began) < time.Second, "before its deadline")
}

// awaitsAnswer reports whether a request with the given digest waits for its answer to begin.
func (d *Dispatcher) awaitsAnswer(digest core.Digest) bool {
	d.unanswered.mu.Lock()
	defer d.unanswered.mu.Unlock()
	return len(d.unanswered.cancels[digest]) > 0
}

// The guard is informed of requests that were served or that a runner worked on for long.
func TestGuardIsInformedOfServedRequests(t *testing.T) {
	for _, tt := range []struct {
		name   string
		act    act
		kind   core.RequestKind
		worked int
	}{
		{"a complete answer", serves, core.KindSafe, 1},
		{"a complete stream", serves, core.KindStream, 1},
		{"a runner's failure", fails, core.KindUnsafe, 0},
		{"a lost answer", losesAnswer, core.KindUnsafe, 0},
	} {
		g := &guard{admits: 5}
		d := newDispatcher(&fleet{nextAct: script(tt.act)}, 1)
		WithGuard(g)(d)
		_, _, _ = call(d, route(tt.kind, false, 1)) // only what the guard receives is checked
		assert.Equal(t, g.worked, tt.worked, tt.name)
	}
}
