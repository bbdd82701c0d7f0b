package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/load"
	"primroseward/coordination/retry"
	"primroseward/core"
	"primroseward/state/catalog"
)

// act is what a runner does with a request.
type act int

const (
	serves act = iota
	unreachable
	rejects
	fails       // answers 500
	losesAnswer // runs it and gives no answer
	breaksOff   // breaks a stream off in the middle of an event
	hangs       // gives no answer until the deadline
	unsigned    // answers with success but without its signature
	stalls      // stalls a stream after some events
	pauses      // pauses a stream for longer than the limit on silence
	pausesFirst // is as long silent before it answers
	noListener  // is unreachable because nothing listens on its address
	// The runner answers with a status that promises that the request has not run, without the header that
	// states it.
	answers408
	answers429
	answers503
	// Only for streams: the runner closes the connection with which its answer ends inside an event,
	// sends the last chunk there, or closes the connection before the first event.
	closesInside
	endsInside
	closesEmpty
	numActs
	numPlainActs = closesInside
)

// promisingStatus are the statuses of answers that promise that a request has not run.
var promisingStatus = map[act]int{answers408: http.StatusRequestTimeout, answers429: http.StatusTooManyRequests, answers503: http.StatusServiceUnavailable}

const eventCount = 6

// fleet answers for all runners as scripted by a test.
type fleet struct {
	mu       sync.Mutex
	nextAct  func(runner string) act
	runs     []string // runners that ran the request
	sends    []core.Outgoing
	limits   map[string]core.RateLimit // limits that the runners announce
	backoffs map[string]time.Duration  // backoffs that the runners ask for; they reject all requests
	observe  func(r *core.Runner, info core.ReplyInfo)
	dial     func(runner string) // called before each send; nil: nothing
}

func (f *fleet) Send(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
	if f.dial != nil {
		f.dial(r.ID)
	}
	if o.Accepts != nil && !o.Accepts() {
		return nil, fmt.Errorf("%w: %w", core.ErrNotSent, core.ErrWithdrawn)
	}
	reply, err := f.send(ctx, r, o)
	if err == nil {
		f.observe(r, reply.Info)
	}
	return reply, err
}

func (f *fleet) send(ctx context.Context, r *core.Runner, o core.Outgoing) (*core.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, o)
	if asked, ok := f.backoffs[r.ID]; ok {
		return answer(http.StatusServiceUnavailable, core.ReplyInfo{NotRun: true, Backoff: core.Backoff{Announced: true, Duration: asked}}, "", nil), nil
	}
	a := f.nextAct(r.ID)
	if a != unreachable && a != noListener && a != rejects && promisingStatus[a] == 0 {
		f.runs = append(f.runs, r.ID)
	}
	info := core.ReplyInfo{Stamped: true, Limit: f.limits[r.ID]}
	switch a {
	case unreachable:
		return nil, eris.Wrap(core.ErrNotSent, "dial")
	case noListener:
		return nil, fmt.Errorf("%w: %w", core.ErrNotSent, core.ErrNoListener)
	case losesAnswer:
		return nil, eris.Wrap(core.ErrAnswerLost, "reset")
	case hangs:
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, eris.Wrap(core.ErrAnswerLost, "closed")
	case pausesFirst:
		f.mu.Unlock()
		defer f.mu.Lock()
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(core.ErrAnswerLost, "closed")
		case <-time.After(longPause):
		}
		return answer(http.StatusOK, info, eventText(o.LastEvent, eventCount), nil), nil
	case rejects:
		info.NotRun = true
		return answer(http.StatusServiceUnavailable, info, "", nil), nil
	case answers408, answers429, answers503:
		return answer(promisingStatus[a], info, "not now", nil), nil
	case fails:
		return answer(http.StatusInternalServerError, info, "failed", nil), nil
	case unsigned:
		return answer(http.StatusOK, core.ReplyInfo{}, "ok", nil), nil
	case stalls:
		return answer(http.StatusOK, info, eventText(o.LastEvent, 2), stalledConn{ctx}), nil
	case pauses:
		before := eventText(o.LastEvent, 2)
		after := strings.TrimPrefix(eventText(o.LastEvent, eventCount), before)
		body := io.MultiReader(strings.NewReader(before), &delayedReader{ctx: ctx, text: after})
		return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: info, Body: io.NopCloser(body)}, nil
	case closesInside, endsInside:
		reply := answer(http.StatusOK, info, eventText(o.LastEvent, 3)+"id: 4\nda", nil)
		reply.Framing = map[act]core.Framing{closesInside: core.FramingClose, endsInside: core.FramingChunked}[a]
		return reply, nil
	case closesEmpty:
		reply := answer(http.StatusOK, info, ": ping\n", nil)
		reply.Framing = core.FramingClose
		return reply, nil
	case breaksOff:
		return answer(http.StatusOK, info, eventText(o.LastEvent, 3)+"id: 4\nda", io.ErrUnexpectedEOF), nil
	default:
		return answer(http.StatusOK, info, eventText(o.LastEvent, eventCount), nil), nil
	}
}

// eventText returns the events after the one with id last, up to n.
func eventText(last string, n int) string {
	var b strings.Builder
	from := 0
	_, _ = fmt.Sscan(last, &from)
	for i := from + 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func answer(status int, info core.ReplyInfo, text string, end error) *core.Reply {
	return &core.Reply{Status: status, Header: http.Header{}, Info: info, Body: io.NopCloser(&errorReader{strings.NewReader(text), end})}
}

// errorReader returns an error instead of io.EOF.
type errorReader struct {
	io.Reader
	err error
}

func (e *errorReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != io.EOF || e.err == nil {
		return n, err
	}
	if s, ok := e.err.(stalledConn); ok {
		<-s.ctx.Done()
	}
	return n, e.err
}

// delayedReader returns its text after a pause, which is longer than the limit on silence by default.
type delayedReader struct {
	ctx   context.Context
	text  string
	pause time.Duration // 0: longPause
	done  *strings.Reader
}

const longPause = minStall + 500*time.Millisecond

func (l *delayedReader) Read(p []byte) (int, error) {
	if l.done == nil {
		select {
		case <-time.After(cmp.Or(l.pause, longPause)):
		case <-l.ctx.Done():
			return 0, l.ctx.Err()
		}
		l.done = strings.NewReader(l.text)
	}
	return l.done.Read(p)
}

// stalledConn is the error of an answer whose connection sends nothing more and stays open until
// the caller closes it.
type stalledConn struct{ ctx context.Context }

func (stalledConn) Error() string { return "closed" }

type noPlacer struct{}

func (noPlacer) Place(context.Context, PlacementKey) (string, time.Duration, error) {
	return "", 0, core.ErrUnavailable
}

// savedRetries returns a budget that has n retries left and receives no more.
func savedRetries(n float64) *retry.Budget {
	clock := clockwork.NewFakeClock()
	limits := retry.Limits{Window: time.Second, Slack: 10 * (n + 1)} // more than n of which are saved up
	b := retry.New(clock, func() retry.Limits { return limits }, func() int { return 1 })
	clock.Advance(time.Minute)
	for {
		r, s := b.Take("s")
		if r == nil {
			return b
		}
		if _ = r.Spend(nil); s.Saved < n+2 {
			return b
		}
	}
}

// newDispatcher returns a Dispatcher with n runners that have model m.
func newDispatcher(f *fleet, n int) *Dispatcher {
	clock := clockwork.NewRealClock()
	c := catalog.New(clock)
	config := &core.Config{Version: 1, Services: map[string]*core.Service{"s": {Name: "s"}}}
	config.Index()
	c.SetConfig(config)
	for i := range n {
		c.Put(core.Runner{ID: fmt.Sprint("r", i), Service: "s", Slots: 4, Holdings: []core.Holding{{Model: "m"}}}, clock.Now())
	}
	d := New("p", c, load.New(clock), f, noPlacer{}, savedRetries(100), NewDemand(), clock, zap.NewNop())
	f.observe = d.ObserveAnswer
	return d
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

// callWith is like call with a prompt of the given number of tokens.
func callWith(d *Dispatcher, r *core.Route, tokens int) (status int, body string, err error) {
	q := &core.Request{ID: "q", Model: "m", InputTokens: tokens, Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
	reply, err := d.Do(context.Background(), r, q)
	if err != nil {
		return core.AsRequestError(err).Status, "", err
	}
	data, err := readAll(reply)
	return reply.Status, data, err
}

// readAll reads an answer to its end and closes it.
func readAll(reply *core.Reply) (string, error) {
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
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

// senderFunc is a Sender that calls a function.
type senderFunc func(ctx context.Context, r *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error)

func (f senderFunc) Send(ctx context.Context, r *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error) {
	return f(ctx, r, q, o)
}
