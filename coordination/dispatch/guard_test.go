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

// guard is a Guard that holds the request back once it has been let through some times.
type guard struct {
	mu     sync.Mutex
	admits int // how often it lets the request through; below 0: held back from the start
	broke  []core.Broken
	worked int
}

const holdTime = 7 * time.Second

func (g *guard) Held(core.Digest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admits < 0 {
		return holdTime
	}
	return 0
}

func (g *guard) Admit(context.Context, core.Digest) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admits == 0 {
		return holdTime, false
	}
	g.admits--
	return 0, true
}

func (g *guard) Broke(b core.Broken) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broke = append(g.broke, b)
}

func (g *guard) Worked(core.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.worked++
}

// errEnded is the error of a runner that ends with all of its connections.
var errEnded = fmt.Errorf("%w: %w", core.ErrLost, core.ErrClosed)

// crashing is a Sender whose runners end before an answer, or after some events of it.
type crashing struct {
	events int
	head   bool   // the answer's head comes, and no event
	do     func() // before the end
}

func (c *crashing) Send(_ context.Context, _ *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
	if c.do != nil {
		c.do()
	}
	if c.events == 0 && !c.head {
		return nil, errEnded
	}
	return answer(http.StatusOK, core.ReplyInfo{Stamped: true}, pieces(o.LastEvent, c.events), errEnded), nil
}

// guarded serves one request and returns the error that its caller is told.
func guarded(s Sender, g *guard, r *core.Route) (*core.RequestError, *Dispatcher) {
	d := newDispatcher(&fleet{next: script()}, 3)
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

// A caller is told that its request has not run, comes back and has run twice; or it waits
// for its deadline. What callers of each kind of route are told of a request that is held
// back is true of it, and says when to come back.
func TestAnswersToRequestsHeldBack(t *testing.T) {
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
		{"safe, from the start", safe, 0, -1, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"unsafe, from the start", unsafe, 0, -1, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"a stream, from the start", stream, 0, -1, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"safe, while it waited", safe, 0, 0, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"unsafe, while it waited", unsafe, 0, 0, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"a stream, while it waited", whole, 0, 0, 503, core.OutcomeNotRun, core.CodeHeld, holdTime},
		{"safe, after it has ended a runner", safe, 0, 1, 502, core.OutcomeMayHaveRun, core.CodeHeld, holdTime},
		{"unsafe, after it has ended a runner", unsafe, 0, 1, 502, core.OutcomeMayHaveRun, "answer_lost", 0},
		{"a stream, before its first event", stream, 0, 1, 502, core.OutcomeMayHaveRun, core.CodeHeld, holdTime},
		{"a stream, in its middle", stream, 3, 1, 502, core.OutcomeMayHaveRun, core.CodeHeld, holdTime},
		{"a stream that may not go on, in its middle", whole, 3, 1, 502, core.OutcomeMayHaveRun, "answer_lost", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, _ := guarded(&crashing{events: tt.events}, &guard{admits: tt.admits}, tt.route)
			assert.Equal(t, got.Status, tt.status)
			assert.Equal(t, got.Outcome, tt.outcome)
			assert.Equal(t, got.Code, tt.code)
			assert.Equal(t, got.Retry, tt.retry)
		})
	}
}

// Requests are held back for runners that the platform takes away.
func TestRunnersThatLeaveAreNotCounted(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(r *core.Runner)
		counted int
	}{
		{"it crashes", func(*core.Runner) {}, 1},
		{"it has said that it leaves", func(r *core.Runner) { r.Draining = true }, 0},
		{"it is taken away", func(r *core.Runner) { r.Draining, r.Leaves = true, time.Second }, 0},
		{"it is known to have started again", func(r *core.Runner) { r.Born = time.UnixMilli(1) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, s := &guard{admits: 1}, &crashing{}
			d := newDispatcher(&fleet{next: script()}, 1)
			d.sender = s
			WithGuard(g)(d)
			s.do = func() {
				r := d.catalog.Runner("r0").Runner
				tt.change(&r)
				d.catalog.Put(r, d.clock.Now())
			}
			_, _, err := call(d, route(core.KindUnsafe, false, 1))
			assert.Assert(t, err != nil)
			assert.Equal(t, len(g.broke), tt.counted)
		})
	}
}

// The request that ends its runner as it begins to run it is told apart from those that
// wait there and from those that are in the middle of their streams.
func TestRequestsThatHadJustBegunAreToldApart(t *testing.T) {
	for _, tt := range []struct {
		name         string
		engine       bool
		sender       Sender
		begun, fresh bool
	}{
		{"waits", true, &crashing{}, false, false},
		{"has just begun", true, &crashing{head: true}, true, true},
		{"in the middle", true, &crashing{events: 3}, true, false},
		{"of a plain service", false, &crashing{head: true}, true, false},
	} {
		g := &guard{admits: 1}
		d := newDispatcher(&fleet{next: script()}, 1)
		if tt.engine {
			d = inLine(&fleet{next: script()}, 1)
		}
		d.sender = tt.sender
		WithGuard(g)(d)
		_, _, err := call(d, route(core.KindStream, false, 1))
		assert.Assert(t, err != nil, tt.name)
		assert.Equal(t, len(g.broke), 1, tt.name)
		assert.Equal(t, g.broke[0].Begun, tt.begun, tt.name)
		assert.Equal(t, g.broke[0].Fresh, tt.fresh, tt.name)
	}
}

// A request waits for its turn at a runner, which it would end, when it comes to be held
// back. It is taken back.
func TestRequestsThatWaitAreTakenBack(t *testing.T) {
	d := newDispatcher(&fleet{next: script(hangs)}, 1)
	done := make(chan error, 1)
	go func() {
		_, _, err := call(d, route(core.KindUnsafe, false, 1))
		done <- err
	}()
	for !d.asks(core.Digest{}) {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	d.Hold(core.Digest{})
	assert.Assert(t, <-done != nil)
	assert.Assert(t, time.Since(began) < time.Second, "not at its deadline")
}

// asks says whether a request of a digest waits for its answer to begin.
func (d *Dispatcher) asks(digest core.Digest) bool {
	d.asked.mu.Lock()
	defer d.asked.mu.Unlock()
	return len(d.asked.by[digest]) > 0
}

// What has been served, or worked on for long, is told to the guard.
func TestWhatIsServedIsTold(t *testing.T) {
	for _, tt := range []struct {
		name   string
		act    act
		kind   core.RequestKind
		worked int
	}{
		{"a whole answer", serves, core.KindSafe, 1},
		{"a whole stream", serves, core.KindStream, 1},
		{"a runner's failure", fails, core.KindUnsafe, 0},
		{"a lost answer", loses, core.KindUnsafe, 0},
	} {
		g := &guard{admits: 5}
		d := newDispatcher(&fleet{next: script(tt.act)}, 1)
		WithGuard(g)(d)
		_, _, _ = call(d, route(tt.kind, false, 1)) // the guard tells
		assert.Equal(t, g.worked, tt.worked, tt.name)
	}
}
