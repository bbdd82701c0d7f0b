package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/coordination/limit"
	"primroseward/coordination/load"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

// act is what a runner does with a request.
type act int

const (
	serves act = iota
	unreachable
	rejects
	fails     // answers 500
	loses     // runs it, no answer
	breaksOff // a stream, in the middle of an event
	hangs     // until the deadline
	unsigned  // a success without its signature
	freezes   // a stream, after some events, without a word
	pauses    // a stream, for longer than others are given up for
	deserted  // unreachable, as nothing listens
	acts
)

const events = 6

// fleet answers for all runners as a test tells it to.
type fleet struct {
	mu    sync.Mutex
	next  func(runner string) act
	runs  []string // runners that ran the request
	sends []core.Outgoing
}

func (f *fleet) Send(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, o)
	a := f.next(r.ID)
	if a != unreachable && a != deserted && a != rejects {
		f.runs = append(f.runs, r.ID)
	}
	info := core.ReplyInfo{Stamped: true}
	switch a {
	case unreachable:
		return nil, eris.Wrap(core.ErrNotSent, "dial")
	case deserted:
		return nil, fmt.Errorf("%w: %w", core.ErrNotSent, core.ErrNoListener)
	case loses:
		return nil, eris.Wrap(core.ErrLost, "reset")
	case hangs:
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, eris.Wrap(core.ErrLost, "closed")
	case rejects:
		info.NotRun = true
		return answer(http.StatusServiceUnavailable, info, "", nil), nil
	case fails:
		return answer(http.StatusInternalServerError, info, "failed", nil), nil
	case unsigned:
		return answer(http.StatusOK, core.ReplyInfo{}, "ok", nil), nil
	case freezes:
		return answer(http.StatusOK, info, pieces(o.LastEvent, 2), silent{ctx}), nil
	case pauses:
		body := io.MultiReader(strings.NewReader(pieces(o.LastEvent, 2)), &late{ctx: ctx, text: pieces(later(o.LastEvent, "2"), events)})
		return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: info, Body: io.NopCloser(body)}, nil
	case breaksOff:
		return answer(http.StatusOK, info, pieces(o.LastEvent, 3)+"id: 4\nda", io.ErrUnexpectedEOF), nil
	default:
		return answer(http.StatusOK, info, pieces(o.LastEvent, events), nil), nil
	}
}

// pieces is the events after last up to n.
func pieces(last string, n int) string {
	var b strings.Builder
	from := 0
	_, _ = fmt.Sscan(last, &from)
	for i := from + 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// later is the later one of two ids, "" being before all others.
func later(a, b string) string {
	if len(a) > len(b) || len(a) == len(b) && a > b {
		return a
	}
	return b
}

func answer(status int, info core.ReplyInfo, text string, end error) *core.Reply {
	return &core.Reply{Status: status, Header: http.Header{}, Info: info, Body: io.NopCloser(&ends{strings.NewReader(text), end})}
}

// ends gives an error instead of io.EOF.
type ends struct {
	io.Reader
	err error
}

func (e *ends) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != io.EOF || e.err == nil {
		return n, err
	}
	if s, ok := e.err.(silent); ok {
		<-s.ctx.Done()
	}
	return n, e.err
}

// late gives its text after a pause that is longer than others are given up for.
type late struct {
	ctx  context.Context
	text string
	done *strings.Reader
}

const latePause = stallLeast + 500*time.Millisecond

func (l *late) Read(p []byte) (int, error) {
	if l.done == nil {
		select {
		case <-time.After(latePause):
		case <-l.ctx.Done():
			return 0, l.ctx.Err()
		}
		l.done = strings.NewReader(l.text)
	}
	return l.done.Read(p)
}

// silent is the end of an answer whose connection gives no sign until it is
// dropped.
type silent struct{ ctx context.Context }

func (silent) Error() string { return "closed" }

type noPlacer struct{}

func (noPlacer) Place(context.Context, Want) (string, time.Duration, error) {
	return "", 0, core.ErrUnavailable
}

// newDispatcher has n runners with model m.
func newDispatcher(f *fleet, n int) *Dispatcher {
	clock := clockwork.NewRealClock()
	c := catalog.New(clock)
	config := &core.Config{Version: 1, Services: map[string]*core.Service{"s": {Name: "s"}}}
	config.Index()
	c.SetConfig(config)
	for i := range n {
		c.Put(core.Runner{ID: fmt.Sprint("r", i), Service: "s", Slots: 4, Holdings: []core.Holding{{Model: "m"}}}, clock.Now())
	}
	budget := policy.NewBudget(clock, 10*time.Second, func() float64 { return 0.2 }, func() float64 { return 100 })
	return New("p", c, load.New(clock), f, noPlacer{}, budget, NewDemand(), clock, zap.NewNop())
}

func route(kind core.RequestKind, resumable bool, attempts int) *core.Route {
	return &core.Route{
		Name: "r", Kind: kind, Resumable: resumable, MaxAttempts: attempts, Timeout: 2 * time.Second,
		Target: 100 * time.Millisecond, Shares: []core.Share{{Service: "s", Weight: 1}},
	}
}

// call serves one request and reads its answer to the end.
func call(d *Dispatcher, r *core.Route) (status int, body string, err error) {
	return callWith(d, r, 0)
}

// callWith is call with a prompt of a number of tokens.
func callWith(d *Dispatcher, r *core.Route, tokens int) (status int, body string, err error) {
	q := &core.Request{ID: "q", Model: "m", Input: tokens, Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
	reply, err := d.Do(context.Background(), r, q)
	if err != nil {
		return core.AsRequestError(err).Status, "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return reply.Status, string(data), err
}

// Whatever runners do, in whatever order: what may not be repeated runs once; a
// refusal says the truth; no runner sees more attempts than the route allows;
// a stream that ends whole has each event once; every request has its answer
// by its deadline.
func TestPromisesWhateverRunnersDo(t *testing.T) {
	routes := []*core.Route{
		route(core.KindUnsafe, false, 2), route(core.KindSafe, false, 2), route(core.KindSafe, false, 3),
		route(core.KindStream, false, 2), route(core.KindStream, true, 2), route(core.KindStream, true, 3),
	}
	rapid.Check(t, func(rt *rapid.T) {
		r := rapid.SampledFrom(routes).Draw(rt, "route")
		script := rapid.SliceOfN(rapid.IntRange(0, int(acts)-1), 8, 8).Draw(rt, "acts")
		runners := rapid.IntRange(0, 5).Draw(rt, "runners")
		var (
			f            *fleet
			status       int
			body         string
			err          error
			took         time.Duration
			stillRunning int
		)
		synctest.Test(t, func(*testing.T) {
			step := 0
			f = &fleet{next: func(string) act {
				step++
				return act(script[(step-1)%len(script)])
			}}
			d := newDispatcher(f, runners)
			began := time.Now()
			status, body, err = call(d, r)
			took, stillRunning = time.Since(began), d.Running()
		})
		// Outside of the bubble: a failed check ends its goroutine, and rapid then
		// shrinks the case and prints it.
		assert.Assert(rt, took <= r.Timeout+time.Millisecond, "%v", took)
		if !r.Repeatable() {
			assert.Assert(rt, len(f.runs) <= 1, "ran at %v", f.runs)
		}
		assert.Assert(rt, len(f.runs) <= r.MaxAttempts, "ran at %v", f.runs)
		var re *core.RequestError
		if errors.As(err, &re) && re.Outcome == core.OutcomeNotRun {
			assert.Equal(rt, len(f.runs), 0, "refused, though it ran at %v", f.runs)
		}
		if status == http.StatusOK && err == nil {
			assert.Equal(rt, body, pieces("", events))
		}
		for _, o := range f.sends {
			assert.Assert(rt, o.Timeout > 0 && o.Timeout <= r.Timeout)
		}
		assert.Equal(rt, stillRunning, 0)
	})
}

// A stream that is resumed at a runner which then pauses has each event once: a caller
// saw the third event twice when the test's own runner, asked to go on after the third,
// went on after the second.
func TestStreamResumedAtRunnerThatPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{next: script(deserted, fails, breaksOff, pauses)}
		_, body, err := call(newDispatcher(f, 4), route(core.KindStream, true, 3))
		assert.NilError(t, err)
		assert.Equal(t, body, pieces("", events))
		assert.Equal(t, f.sends[len(f.sends)-1].LastEvent, "3")
	})
}

func script(list ...act) func(string) act {
	return func(string) act {
		if len(list) == 0 {
			return serves
		}
		a := list[0]
		list = list[1:]
		return a
	}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		route *core.Route
		acts  []act
		want  int
		runs  int
	}{
		{"served", route(core.KindUnsafe, false, 1), nil, 200, 1},
		{"another runner after a rejection", route(core.KindUnsafe, false, 1), []act{rejects}, 200, 1},
		{"another runner where one is unreachable", route(core.KindUnsafe, false, 1), []act{unreachable}, 200, 1},
		{"an unsafe request is not repeated", route(core.KindUnsafe, false, 3), []act{loses}, 502, 1},
		{"a safe request is repeated", route(core.KindSafe, false, 2), []act{loses}, 200, 2},
		{"a safe request that fails is repeated", route(core.KindSafe, false, 2), []act{fails}, 200, 2},
		{"a failure is passed on", route(core.KindUnsafe, false, 2), []act{fails}, 500, 1},
		{"the last failure is passed on", route(core.KindSafe, false, 2), []act{fails, fails}, 500, 2},
		{"a success without signature is none", route(core.KindUnsafe, false, 1), []act{unsigned}, 502, 1},
		{"nothing by the deadline", route(core.KindUnsafe, false, 1), []act{hangs}, 504, 1},
		{"all reject", route(core.KindUnsafe, false, 1), []act{rejects, rejects, rejects, rejects, rejects}, 503, 0},
		{"a stream goes on elsewhere", route(core.KindStream, true, 2), []act{breaksOff}, 200, 2},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{next: script(one.acts...)}
			status, _, _ := call(newDispatcher(f, 5), one.route)
			assert.Equal(t, status, one.want, one.name)
			assert.Equal(t, len(f.runs), one.runs, one.name)
		})
	}
}

// A caller sees a sentence twice or with words missing. A runner breaks off in
// the middle of an event; the next one goes on after the last whole event.
func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	f := &fleet{next: script(breaksOff)}
	_, body, err := call(newDispatcher(f, 3), route(core.KindStream, true, 2))
	assert.NilError(t, err)
	assert.Equal(t, body, pieces("", events))
	assert.Equal(t, f.sends[1].LastEvent, "3")
	assert.Assert(t, f.runs[0] != f.runs[1])
}

// A caller sees a sentence stop and gives up. The runner has lost its power: its
// connection neither ends nor breaks. The stream goes on elsewhere within the
// two seconds that callers wait.
func TestSilentStreamGoesOn(t *testing.T) {
	for _, first := range []act{freezes, hangs} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{next: script(first)}
			began := time.Now()
			_, body, err := call(newDispatcher(f, 3), route(core.KindStream, true, 2))
			assert.NilError(t, err)
			assert.Equal(t, body, pieces("", events))
			assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "%v", time.Since(began))
		})
	}
}

// plainFull is more than a runner of a test takes.
const plainFull = 16

// A draft is cut and retyped, though its runner is only slow: its stream was silent
// for long, was let go of, and could not go on anywhere else. It is kept where there
// is no other runner, no room, or no repeat left in the budget.
func TestSilentStreamIsKeptWhereItCannotGoOn(t *testing.T) {
	cases := []struct {
		name    string
		runners int
		route   *core.Route
		slack   float64
		full    bool
		runs    int
	}{
		{"no other runner", 1, route(core.KindStream, true, 2), 100, false, 1},
		{"no attempt left", 3, route(core.KindStream, true, 1), 100, false, 1},
		{"no repeat left", 3, route(core.KindStream, true, 2), 0, false, 1},
		{"no room elsewhere", 2, route(core.KindStream, true, 2), 100, true, 1},
		{"elsewhere", 2, route(core.KindStream, true, 2), 100, false, 2},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{next: script(pauses)}
			d := newDispatcher(f, one.runners)
			d.budget = policy.NewBudget(d.clock, 10*time.Second, func() float64 { return 0 }, func() float64 { return one.slack })
			if next := f.next; one.full {
				f.next = func(id string) act { // others' requests fill both meanwhile
					for range plainFull {
						d.loads.Begin("r0")
						d.loads.Begin("r1")
					}
					return next(id)
				}
			}
			_, body, err := call(d, one.route)
			assert.NilError(t, err, one.name)
			assert.Equal(t, body, pieces("", events), one.name)
			assert.Equal(t, len(f.runs), one.runs, one.name)
		})
	}
}

// A stream that cannot go on must not look whole.
func TestBrokenStreamDoesNotEndWell(t *testing.T) {
	f := &fleet{next: script(breaksOff)}
	status, body, err := call(newDispatcher(f, 3), route(core.KindStream, false, 2))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, pieces("", 3))
	assert.Assert(t, err != nil)
}

// A runner that leaves gets a request that was on its way to be sent.
func TestLeavingRunnersGetNothing(t *testing.T) {
	f := &fleet{next: script()}
	d := newDispatcher(f, 2)
	for _, id := range []string{"r0", "r1"} {
		e := *d.catalog.Runner(id)
		e.Draining = true
		d.catalog.Put(e.Runner, d.clock.Now())
	}
	status, _, _ := call(d, route(core.KindSafe, false, 1))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.runs), 0)
}

func TestWholeEvents(t *testing.T) {
	cases := []struct {
		text string
		want int
	}{
		{"", 0},
		{"id: 1\n", 0},
		{"\n", 0},
		{"id: 1\ndata: x\n\n", 15},
		{"id: 1\ndata: x\n\nid: 2\nda", 15},
		{"id: 1\r\ndata: x\r\n\r\nid", 18},
		{"a\n\nb\n\nc", 6},
	}
	for _, one := range cases {
		assert.Equal(t, wholeEvents([]byte(one.text)), one.want, "%q", one.text)
	}
}

// slow gives a byte at a time.
type slow struct{ io.Reader }

func (s slow) Read(p []byte) (int, error) { return s.Reader.Read(p[:min(1, len(p))]) }

func TestEventsInAnyPieces(t *testing.T) {
	text := pieces("", events)
	in := &eventReader{in: slow{strings.NewReader(text)}}
	var got []byte
	for {
		part, err := in.next()
		got = append(got, part...)
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
	}
	assert.Equal(t, string(got), text)
	assert.Equal(t, in.last, fmt.Sprint(events))
}

func TestPickKeepsTheWeights(t *testing.T) {
	counts := map[string]int{}
	for range 10000 {
		counts[pick([]core.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}})]++
	}
	assert.Assert(t, counts["a"] > 8700 && counts["a"] < 9300, "%v", counts)
	assert.Equal(t, pick([]core.Share{{Service: "a", Weight: 0}}), "a")
	assert.Assert(t, slices.Contains([]string{"a", "b"}, pick([]core.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}})))
}

// An engineer has only the log of a request that failed. Each way to fail leaves
// a line that names its cause, with the request's id.
func TestEachFailureIsLogged(t *testing.T) {
	unsafe, safe, open := route(core.KindUnsafe, false, 1), route(core.KindSafe, false, 2), route(core.KindStream, false, 1)
	cases := []struct {
		name    string
		route   *core.Route
		runners int
		model   string
		acts    []act
		event   string
		field   string
		value   string
	}{
		{"no runner has the model", unsafe, 2, "other", nil, logs.Refused, "code", "absent"},
		{"why it could not be placed", unsafe, 2, "other", nil, logs.ModelNotPlaced, "error", "unavailable"},
		{"no runner at all", unsafe, 0, "m", nil, logs.Refused, "code", "absent"},
		{"all reject", unsafe, 4, "m", []act{rejects, rejects, rejects, rejects}, logs.Refused, "code", "rejected"},
		{"each rejection", unsafe, 4, "m", []act{rejects, rejects, rejects, rejects}, logs.RunnerRejected, "runner", "r"},
		{"all that there are reject", unsafe, 1, "m", []act{rejects}, logs.Refused, "code", "exhausted"},
		{"none is reached", unsafe, 6, "m", []act{unreachable, unreachable, unreachable, unreachable}, logs.Refused, "code", "unreachable"},
		{"each that is not reached", unsafe, 6, "m", []act{unreachable}, logs.RunnerUnreachable, "error", "dial"},
		{"lost", unsafe, 3, "m", []act{loses}, logs.AnswerLost, "error", "reset"},
		{"lost and tried again", safe, 3, "m", []act{loses}, logs.AnswerRetried, "error", "reset"},
		{"failed and tried again", safe, 3, "m", []act{fails}, logs.RunnerFailed, "runner", "r"},
		{"unsigned", unsafe, 3, "m", []act{unsigned}, logs.AnswerLost, "error", "signature"},
		{"late", unsafe, 3, "m", []act{hangs}, logs.DeadlineExceeded, "request", "q"},
		{"a cut stream", open, 3, "m", []act{breaksOff}, logs.AnswerLost, "error", "unexpected EOF"},
		{"a silent stream", route(core.KindStream, true, 2), 3, "m", []act{freezes}, logs.RunnerMute, "runner", "r"},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			d := newDispatcher(&fleet{next: script(one.acts...)}, one.runners)
			seen, lines := observer.New(zap.InfoLevel)
			d.log = zap.New(seen)
			q := &core.Request{ID: "q", Model: one.model, Header: http.Header{}, Arrived: d.clock.Now()}
			if reply, err := d.Do(context.Background(), one.route, q); err == nil {
				_, _ = io.ReadAll(reply.Body)
				_ = reply.Body.Close()
			}
			found := false
			for _, l := range lines.FilterMessage(one.event).All() {
				fields := l.ContextMap()
				found = found || fields["request"] == "q" && strings.Contains(fmt.Sprint(fields[one.field]), one.value)
			}
			assert.Assert(t, found, "%s: no line %q with %s=%s in %v", one.name, one.event, one.field, one.value, lines.All())
		})
	}
}

// held is a dispatcher whose two runners are in places north and south, with a
// settings tree of one service node.
func held(t *testing.T, f *fleet, set tree.Settings, age time.Duration) *Dispatcher {
	t.Helper()
	d := newDispatcher(f, 2)
	for i, place := range []string{"north", "south"} {
		r := d.catalog.Runner(fmt.Sprint("r", i)).Runner
		r.Place = place
		d.catalog.Put(r, d.clock.Now())
	}
	body, err := json.Marshal(tree.Stored{Node: &tree.Node{Set: set}})
	assert.NilError(t, err)
	replica := tree.NewReplica(tree.WithOverlay())
	replica.Adopt([]tree.Branch{{Name: "service/s", Version: 1, Body: body}}, 1)
	assert.Equal(t, len(replica.Problems()), 0)
	WithSettings(replica, func() time.Duration { return age }, limit.New(d.clock, func() int { return 1 }))(d)
	return d
}

// Regulated data leaves the places that operators allow, or a limit of theirs is
// not kept, because requests go by the configuration alone. Each request is held
// to the settings tree, at its first send and at each one after.
func TestRequestsAreHeldToTheSettings(t *testing.T) {
	south, nowhere, never := []string{"south"}, []string{"west"}, false
	cases := []struct {
		name  string
		set   tree.Settings
		age   time.Duration
		route *core.Route
		acts  []act
		want  int
		code  string
		runs  []string
	}{
		{"the allowed place", tree.Settings{Places: &south}, 0, route(core.KindSafe, false, 2), nil, 200, "", []string{"r1"}},
		{"no other place after a failure", tree.Settings{Places: &south}, 0, route(core.KindSafe, false, 2), []act{loses}, 502, "exhausted", []string{"r1"}},
		{"no other place for a broken stream", tree.Settings{Places: &south}, 0, route(core.KindStream, true, 2), []act{breaksOff}, 200, "exhausted", []string{"r1"}},
		{"a place without runners", tree.Settings{Places: &nowhere}, 0, route(core.KindSafe, false, 2), nil, 503, "absent", nil},
		{"not to be repeated", tree.Settings{Repeat: &never}, 0, route(core.KindSafe, false, 2), []act{loses}, 502, "answer_lost", []string{"r"}},
		{"a shorter deadline", tree.Settings{Deadline: core.Duration(50 * time.Millisecond)}, 0, route(core.KindUnsafe, false, 1), []act{hangs}, 504, "timeout", []string{"r"}},
		{"a smaller body", tree.Settings{Body: 3}, 0, route(core.KindSafe, false, 2), nil, 413, "body_too_large", nil},
		{"fresh enough", tree.Settings{Fresh: core.Duration(time.Second)}, time.Second / 2, route(core.KindSafe, false, 2), nil, 200, "", []string{"r"}},
		{"not confirmed for too long", tree.Settings{Fresh: core.Duration(time.Second)}, 2 * time.Second, route(core.KindSafe, false, 2), nil, 503, "settings_not_fresh", nil},
		{"never confirmed", tree.Settings{Fresh: core.Duration(time.Second)}, -1, route(core.KindSafe, false, 2), nil, 503, "settings_not_fresh", nil},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{next: script(one.acts...)}
			d := held(t, f, one.set, one.age)
			q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Body: []byte("belt"), Arrived: d.clock.Now(), Timeout: 3 * time.Second}
			reply, err := d.Do(context.Background(), one.route, q)
			status := 0
			if err == nil {
				status = reply.Status
				_, err = io.ReadAll(reply.Body)
				_ = reply.Body.Close()
			} else {
				status = core.AsRequestError(err).Status
			}
			code := ""
			if err != nil {
				code = core.AsRequestError(err).Code
			}
			assert.Equal(t, status, one.want, one.name)
			assert.Equal(t, code, one.code, one.name)
			assert.Equal(t, len(f.runs), len(one.runs), "%s: %v", one.name, f.runs)
			for i, want := range one.runs {
				assert.Assert(t, strings.HasPrefix(f.runs[i], want), "%s: %v", one.name, f.runs)
			}
			assert.Equal(t, d.Running(), 0)
		})
	}
}

// A stream goes on in a place that operators have taken away since it began: each
// further attempt goes by the settings of its moment.
func TestSettingsChangeBetweenAttempts(t *testing.T) {
	f := &fleet{}
	d := held(t, f, tree.Settings{}, 0)
	replica := d.settings.replica
	f.next = func(id string) act {
		other := map[string]string{"r0": "north", "r1": "south"}[id]
		body, err := json.Marshal(tree.Stored{Node: &tree.Node{Set: tree.Settings{Places: &[]string{other}}}})
		assert.NilError(t, err)
		replica.Apply([]tree.Branch{{Name: "service/s", Version: 2, Body: body}})
		return breaksOff
	}
	_, body, err := call(d, route(core.KindStream, true, 2))
	assert.Equal(t, core.AsRequestError(err).Code, "exhausted")
	assert.Equal(t, body, pieces("", 3))
	assert.Equal(t, len(f.runs), 1, "%v", f.runs)
}

// A service takes the whole system down: operators bound its requests in progress
// and its rate, and no daemon counts.
func TestLimitsOfTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{next: func(string) act { return hangs }}
		d := held(t, f, tree.Settings{Concurrency: 2}, 0)
		var wg sync.WaitGroup
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _, _ = call(d, route(core.KindUnsafe, false, 1))
			}()
		}
		synctest.Wait()
		status, _, err := call(d, route(core.KindUnsafe, false, 1))
		assert.Equal(t, status, http.StatusTooManyRequests)
		assert.Equal(t, core.AsRequestError(err).Outcome, core.OutcomeNotRun)
		assert.Assert(t, core.AsRequestError(err).Retry > 0)
		wg.Wait()
		f.next = script()
		status, _, _ = call(d, route(core.KindUnsafe, false, 1))
		assert.Equal(t, status, http.StatusOK, "the ones before are counted out")
	})
}

// An operator cannot follow a slow request: each attempt has a span of its own, which
// ends with its answer, below the span that the request came with.
func TestEachAttemptHasASpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSpanProcessor(spans)))
	defer otel.SetTracerProvider(before)
	d := newDispatcher(&fleet{next: script(breaksOff)}, 3)
	ctx, parent := otel.Tracer("test").Start(context.Background(), "request")
	q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now()}
	reply, err := d.Do(ctx, route(core.KindStream, true, 2), q)
	assert.NilError(t, err)
	_, err = io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	ended := spans.Ended()
	assert.Equal(t, len(ended), 2)
	for _, s := range ended {
		assert.Equal(t, s.Name(), "attempt")
		assert.Equal(t, s.SpanContext().TraceID(), parent.SpanContext().TraceID())
	}
}
