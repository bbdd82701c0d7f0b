package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"primroseward/core"
)

const (
	// readWait is how long a test waits for bytes or for the end of a connection. endWait is how long
	// it looks for an end that must not come.
	readWait = 5 * time.Second
	endWait  = 30 * time.Millisecond
)

// limitsTest is a server with a clock of its own and one connection.
type limitsTest struct {
	t     *testing.T
	clock *clockwork.FakeClock
	front *Front
	srv   *httptest.Server
	scope tally.TestScope
	conn  net.Conn
	in    *bufio.Reader
}

func startLimitsTest(t *testing.T) *limitsTest {
	t.Helper()
	l := &limitsTest{t: t, clock: clockwork.NewFakeClock(), scope: tally.NewTestScope("", nil)}
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
	l.front, l.srv = setUpAt(t, l.clock, 1, d, WithScope(l.scope))
	l.await(1)
	l.dial()
	return l
}

// dial opens the connection.
func (l *limitsTest) dial() {
	l.t.Helper()
	var err error
	l.conn, err = net.Dial("tcp", l.srv.Listener.Addr().String())
	assert.NilError(l.t, err)
	l.t.Cleanup(func() { _ = l.conn.Close() })
	l.in = bufio.NewReader(l.conn)
	for l.front.conns.count() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// await waits until the sweeps sleep.
func (l *limitsTest) await(sleepers int) {
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	assert.NilError(l.t, l.clock.BlockUntilContext(ctx, sleepers))
}

// pass lets time pass, with all its sweeps.
func (l *limitsTest) pass(d time.Duration) {
	for ; d > 0; d -= sweepInterval {
		l.clock.Advance(min(d, sweepInterval))
		l.await(1)
	}
}

// setLimits stores a configuration with other limits.
func (l *limitsTest) setLimits(version uint64, idle, headers time.Duration) {
	config := &core.Config{
		Version: version, Limits: core.CallerLimits{IdleTimeout: idle, HeaderTimeout: headers},
		Routes: []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/"}},
	}
	config.Index()
	l.front.catalog.SetConfig(config)
}

func (l *limitsTest) write(text string) {
	l.t.Helper()
	_, err := io.WriteString(l.conn, strings.ReplaceAll(text, "\n", "\r\n"))
	assert.NilError(l.t, err)
}

// exchange makes one request on the connection, and waits until the connection is idle again.
func (l *limitsTest) exchange() {
	l.t.Helper()
	l.write(post("/a/x", "abc"))
	l.readAnswer()
}

func (l *limitsTest) readAnswer() {
	l.t.Helper()
	assert.NilError(l.t, l.conn.SetReadDeadline(time.Now().Add(readWait)))
	resp, err := http.ReadResponse(l.in, nil)
	assert.NilError(l.t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(l.t, err)
	assert.Equal(l.t, resp.StatusCode, http.StatusOK)
	l.awaitPhase(phaseIdle)
}

// awaitPhase waits until the connection is in a phase.
func (l *limitsTest) awaitPhase(want phase) {
	l.t.Helper()
	for until := time.Now().Add(readWait); ; time.Sleep(time.Millisecond) {
		l.front.conns.mu.Lock()
		found := false
		for c := range l.front.conns.open {
			p, _ := c.state.Load().split()
			found = found || p == want
		}
		l.front.conns.mu.Unlock()
		if found {
			return
		}
		assert.Assert(l.t, time.Now().Before(until), "the connection is not in phase %d", want)
	}
}

// closed reports whether the connection has ended.
func (l *limitsTest) closed(wait time.Duration) bool {
	l.t.Helper()
	assert.NilError(l.t, l.conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := l.in.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (l *limitsTest) expectOpen() {
	l.t.Helper()
	assert.Assert(l.t, !l.closed(endWait), "a caller within the limits was disconnected")
}

// expectClosed checks that the connection has ended and is counted once.
func (l *limitsTest) expectClosed(reason string) {
	l.t.Helper()
	assert.Assert(l.t, l.closed(readWait), "the connection is open after its limit")
	total := int64(0)
	for _, c := range l.scope.Snapshot().Counters() {
		if c.Name() == "connections_closed" {
			assert.Equal(l.t, c.Tags()["reason"], reason)
			total += c.Value()
		}
	}
	assert.Equal(l.t, total, int64(1))
}

// sweepMargin is how long after the limit and its margin a connection is closed at the latest.
const sweepMargin = 3 * sweepInterval

// Guards against limits of the configuration that have no effect: a connection is closed after the
// configured idle time, not before, and not at the arrival of a request at its very end.
func TestIdleTimeIsThatOfTheConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name             string
		before, after    time.Duration // limits before and after the change, 0: none stated
		changeAfter      time.Duration // the connection is idle
		wantOpenUntilEnd time.Duration
	}{
		{"none stated", 0, 0, 0, idleTimeout},
		{"shorter than the default", 5 * time.Second, 5 * time.Second, 0, 5 * time.Second},
		{"longer than the default", 300 * time.Second, 300 * time.Second, 0, 300 * time.Second},
		{"raised while idle", 5 * time.Second, 90 * time.Second, 4 * time.Second, 90 * time.Second},
		{"lowered while idle", 90 * time.Second, 5 * time.Second, 3 * time.Second, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := startLimitsTest(t)
			l.setLimits(2, tt.before, 0)
			l.exchange()
			l.pass(tt.changeAfter)
			l.setLimits(3, tt.after, 0)
			l.pass(tt.wantOpenUntilEnd - tt.changeAfter)
			l.exchange() // at the very end
			l.pass(tt.wantOpenUntilEnd)
			l.expectOpen()
			l.pass(limitMargin + sweepMargin)
			l.expectClosed("idle")
		})
	}
}

// Guards against a lowered limit that leaves connections open that have long been idle.
func TestLoweredIdleTimeClosesOpenConnections(t *testing.T) {
	l := startLimitsTest(t)
	l.exchange()
	l.pass(30 * time.Second)
	l.expectOpen()
	l.setLimits(2, 5*time.Second, 0)
	l.pass(sweepMargin)
	l.expectClosed("idle")
}

// Guards against headers that may take longer or must arrive sooner than the configuration states.
func TestHeaderTimeIsThatOfTheConfiguration(t *testing.T) {
	for _, headers := range []time.Duration{3 * time.Second, 40 * time.Second} {
		for _, kept := range []bool{false, true} {
			l := startLimitsTest(t)
			l.setLimits(2, 20*time.Second, headers)
			if kept {
				l.exchange()
			}
			l.pass(19 * time.Second)
			text := post("/a/x", "abc")
			l.write(text[:20])
			l.awaitPhase(phaseHeaders)
			l.pass(headers)
			l.write(text[20:])
			l.readAnswer()
			l.write(text[:20])
			l.awaitPhase(phaseHeaders)
			l.pass(headers)
			l.expectOpen()
			l.pass(limitMargin + sweepMargin)
			l.expectClosed("headers")
		}
	}
}

// Guards against a limit on connections that applies to bodies and answers too.
func TestLimitsDoNotApplyToRequestsInProgress(t *testing.T) {
	l := startLimitsTest(t)
	l.setLimits(2, time.Second, time.Second)
	text := post("/a/x", "abc")
	l.write(text[:len(text)-1])
	l.awaitPhase(phaseServing)
	l.pass(time.Minute)
	l.write(text[len(text)-1:])
	l.readAnswer()
}

// Guards against connections that are closed after a pause of the process although requests arrived on
// them meanwhile.
func TestPauseClosesNoConnection(t *testing.T) {
	l := startLimitsTest(t)
	l.setLimits(2, 5*time.Second, 5*time.Second)
	l.exchange()
	l.clock.Advance(time.Minute)
	l.await(1)
	l.expectOpen()
	l.exchange()
	l.pass(5 * time.Second)
	l.expectOpen()
}

// BenchmarkConnections measures what a request adds to a connection's state, with many connections at once.
func BenchmarkConnections(b *testing.B) {
	s := newConnections(clockwork.NewRealClock(), func() core.CallerLimits { return core.CallerLimits{} })
	b.RunParallel(func(pb *testing.PB) {
		c := &callerConn{waiting: waiting{conns: s}, overdue: noState}
		s.mu.Lock()
		s.open[c] = struct{}{}
		s.mu.Unlock()
		for pb.Next() {
			c.enter(phaseHeaders)
			c.enter(phaseServing)
			s.changed(c, http.StateIdle)
		}
	})
}

// Guards against requests that are run by a daemon that ends before their answers are complete: they must
// be refused as not run.
func TestLateRequestsAreRefused(t *testing.T) {
	for _, tt := range []struct {
		name                  string
		kind                  core.RequestKind
		timeout, target, left time.Duration
		deadline              string
		want                  int
	}{
		{"a plain request in time", core.KindSafe, 4 * time.Second, 500 * time.Millisecond, 2 * time.Second, "", http.StatusOK},
		{"a plain request too late", core.KindSafe, 4 * time.Second, 500 * time.Millisecond, 2*time.Second - 1, "", http.StatusServiceUnavailable},
		{"a stream in time", core.KindStream, 4 * time.Second, 500 * time.Millisecond, 4 * time.Second, "", http.StatusOK},
		{"a stream too late", core.KindStream, 4 * time.Second, 500 * time.Millisecond, 4*time.Second - 1, "", http.StatusServiceUnavailable},
		{"a short time limit of the caller", core.KindStream, 4 * time.Second, 500 * time.Millisecond, time.Second, "X-Primroseward-Deadline-Ms: 1000\n", http.StatusOK},
		{"no target", core.KindUnsafe, time.Second, 0, time.Second - 1, "", http.StatusServiceUnavailable},
		{"no limits", core.KindUnsafe, 0, 0, time.Second, "", http.StatusOK},
	} {
		clock := clockwork.NewFakeClock()
		d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
		f, srv := setUpAt(t, clock, 1, d)
		config := &core.Config{Version: 2, Routes: []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Kind: tt.kind, Timeout: tt.timeout, Target: tt.target}}}
		config.Index()
		f.catalog.SetConfig(config)
		f.Leave()
		f.EndAt(clock.Now().Add(tt.left))
		resp, body, err := send(t, srv, strings.Replace(post("/a/x", ""), "Content-Length", tt.deadline+"Content-Length", 1))
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, tt.want, tt.name)
		assert.Assert(t, resp.Close, tt.name)
		if tt.want != http.StatusOK {
			assert.Assert(t, strings.Contains(body, `"not_run"`), "%s: %s", tt.name, body)
			assert.Assert(t, resp.Header.Get("Retry-After") != "", tt.name)
			assert.Assert(t, d.got == nil, tt.name)
		}
	}
}

// Guards against a stop that closes a connection on which a request has begun to arrive.
func TestCloseIdleLeavesBegunRequests(t *testing.T) {
	for _, begun := range []bool{false, true} {
		l := startLimitsTest(t)
		l.exchange()
		text := post("/a/x", "abc")
		if begun {
			l.write(text[:1])
			l.awaitPhase(phaseHeaders)
		}
		l.front.CloseIdle()
		if !begun {
			assert.Assert(t, l.closed(readWait))
			continue
		}
		l.write(text[1:])
		l.readAnswer()
	}
}

// Guards against requests that wait as their daemon ends and get no answer, and against running those that
// arrive after that.
func TestEndWaiting(t *testing.T) {
	text := post("/a/x", "abc")
	for _, tt := range []struct {
		name, send   string
		ended        bool // before the request arrives
		status       int
		body         string
		wantDispatch bool
	}{
		{"waits for its body", text[:len(text)-1], false, http.StatusServiceUnavailable, `"not_run"`, false},
		{"waits for its answer", text, false, http.StatusBadGateway, `"may_have_run"`, true},
		{"arrives later", text, true, http.StatusServiceUnavailable, `"not_run"`, false},
	} {
		began := make(chan struct{})
		d := &dispatcher{answer: func(ctx context.Context) (*core.Reply, error) {
			close(began)
			<-ctx.Done()
			assert.Check(t, errors.Is(context.Cause(ctx), core.ErrEnding), tt.name)
			return nil, core.MayHaveRun("x", "")
		}}
		l := &limitsTest{t: t}
		l.front, l.srv = setUp(t, 1, d)
		l.dial()
		if tt.ended {
			l.front.EndWaiting()
		}
		l.write(tt.send)
		if tt.wantDispatch {
			<-began
		}
		if !tt.ended {
			l.awaitPhase(phaseServing)
			l.front.EndWaiting()
		}
		resp, err := http.ReadResponse(l.in, nil)
		assert.NilError(t, err, tt.name)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, tt.status, tt.name)
		assert.Assert(t, strings.Contains(string(data), tt.body), "%s: %s", tt.name, data)
		assert.Equal(t, d.got != nil, tt.wantDispatch, tt.name)
	}
}

// Guards against cutting an answer that has begun when the requests that wait are ended.
func TestEndWaitingLeavesBegunAnswers(t *testing.T) {
	rest, more := io.Pipe()
	d := &dispatcher{answer: func(ctx context.Context) (*core.Reply, error) {
		context.AfterFunc(ctx, func() { _ = more.CloseWithError(core.ErrAnswerLost) })
		return reply(http.StatusOK, rest)
	}}
	l := &limitsTest{t: t}
	l.front, l.srv = setUp(t, 1, d)
	l.dial()
	l.write(post("/a/x", "abc"))
	_, err := io.WriteString(more, "wh")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(l.in, nil)
	assert.NilError(t, err)
	l.front.EndWaiting()
	_, err = io.WriteString(more, "ole")
	assert.NilError(t, err)
	assert.NilError(t, more.Close())
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
}
