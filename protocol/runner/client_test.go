package runner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/platform"
)

const idHeader = "X-Primroseward-Request-Id"

// rawRunner is a runner whose answers are written byte by byte by the test.
type rawRunner struct {
	runner core.Runner
	mu     sync.Mutex
	seen   []string // request lines
	conns  int
}

// serve starts a runner that calls answer for each request, with the request's number
// (counted from 1), its connection and the request. The connection is closed after
// answer returns false.
func serve(t *testing.T, answer func(n int, c net.Conn, r *http.Request) bool) *rawRunner {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &rawRunner{runner: core.Runner{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serveConn(c, answer)
		}
	}()
	return s
}

func (s *rawRunner) serveConn(c net.Conn, answer func(int, net.Conn, *http.Request) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen = append(s.seen, r.Method+" "+r.RequestURI)
		n := len(s.seen)
		s.mu.Unlock()
		if !answer(n, c, r) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func (s *rawRunner) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

func reply(c io.Writer, id, text string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(text), text)
}

func client() *Client { return New(clockwork.NewRealClock(), platform.Dialect{}) }

func request(id string, body string) *core.Request {
	return &core.Request{ID: id, Method: http.MethodPost, Host: "h", Target: "/a%2Fb?x=1&&y", Header: http.Header{idHeader: {id}}, Body: []byte(body)}
}

func get(c *Client, s *rawRunner, q *core.Request) (string, error) {
	reply, err := c.Send(context.Background(), &s.runner, q, core.Outgoing{Timeout: time.Second, Instance: "i-1", Priority: -1})
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
}

// Guards against running a request twice. http.Transport resends a request when a
// reused connection closes before the answer. The request must arrive once, whatever
// its method, and fail with ErrAnswerLost.
func TestRequestIsNeverResent(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		s := serve(t, func(n int, c net.Conn, r *http.Request) bool {
			if n > 1 {
				return false
			}
			reply(c, r.Header.Get(idHeader), "ok")
			return true
		})
		c := client()
		_, err := get(c, s, request("a", ""))
		assert.NilError(t, err)
		q := request("b", "")
		q.Method = method
		q.Header.Set("Idempotency-Key", "k")
		_, err = get(c, s, q)
		assert.ErrorIs(t, err, core.ErrAnswerLost)
		assert.Equal(t, s.requests(), 2, method)
	}
}

// Guards against normalizing the target: if escapes or empty parts of it were cleaned
// up, the request would run on a path that the caller did not name.
func TestTargetAndBodyAreSentUnchanged(t *testing.T) {
	body := strings.Repeat("x", 40<<10)
	s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
		data, _ := io.ReadAll(r.Body)
		reply(c, r.Header.Get(idHeader), r.RequestURI+" "+r.Host+" "+fmt.Sprint(string(data) == body))
		return true
	})
	got, err := get(client(), s, request("a", body))
	assert.NilError(t, err)
	assert.Equal(t, got, "/a%2Fb?x=1&&y h true")
}

// Guards against giving a caller the answer to another request: a runner answers a
// request a second time, or late, on a connection that is then reused.
func TestAnswerOfAnotherRequestIsNeverReturned(t *testing.T) {
	cases := []struct {
		name  string
		extra func(c net.Conn, id string)
	}{
		{"second answer immediately", func(c net.Conn, id string) { reply(c, id, "again") }},
		{"second answer after 20 ms", func(c net.Conn, id string) {
			time.Sleep(20 * time.Millisecond)
			reply(c, id, "again")
		}},
		{"bytes that are not HTTP", func(c net.Conn, _ string) { _, _ = io.WriteString(c, "garbage") }},
	}
	for _, tc := range cases {
		s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
			id := r.Header.Get(idHeader)
			reply(c, id, "answer "+id)
			tc.extra(c, id)
			return true
		})
		c := client()
		for i := range 4 {
			id := fmt.Sprint("r", i)
			got, err := get(c, s, request(id, ""))
			if err == nil {
				assert.Equal(t, got, "answer "+id, tc.name)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// An answer to an earlier request precedes the answer to this one. It is recognized by
// its id and skipped.
func TestLateAnswerIsSkipped(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
		reply(c, "other", "not yours")
		reply(c, r.Header.Get(idHeader), "yours")
		return true
	})
	got, err := get(client(), s, request("a", ""))
	assert.NilError(t, err)
	assert.Equal(t, got, "yours")
}

// Guards against accepting a truncated answer as complete.
func TestTruncatedAnswersAreDetected(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n"
	cases := []struct {
		name, text string
		complete   bool
	}{
		{"shorter than Content-Length", head + "Content-Length: 9\r\n\r\nok", false},
		{"chunked without the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"truncated status line", "HTTP/1.1 2", false},
		{"empty", "", false},
		{"not HTTP", "hello\r\n\r\n", false},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"ended by closing the connection", head + "\r\nok", true},
		{"after an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true},
	}
	for _, tc := range cases {
		s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, tc.text)
			return false
		})
		got, err := get(client(), s, request("a", ""))
		if tc.complete {
			assert.NilError(t, err, tc.name)
			assert.Equal(t, got, "ok", tc.name)
			continue
		}
		assert.Assert(t, err != nil, tc.name)
	}
}

// Guards against reusing a connection whose request body is only partly written. A
// runner may answer before it has read the whole body; it would then read the next
// request as the rest of that body.
func TestEarlyAnswerToLongBodyClosesTheConnection(t *testing.T) {
	var first sync.Once
	s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
		reply(c, r.Header.Get(idHeader), "early")
		first.Do(func() { time.Sleep(50 * time.Millisecond) })
		return true
	})
	c := client()
	for i := range 3 {
		got, err := get(c, s, request(fmt.Sprint("r", i), strings.Repeat("x", 4<<20)))
		assert.NilError(t, err)
		assert.Equal(t, got, "early")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.seen {
		assert.Equal(t, line, "POST /a%2Fb?x=1&&y")
	}
}

// When a caller disconnects, the runner must be able to stop work: cancelling the
// request closes its connection at once.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := client().Send(ctx, &s.runner, request("a", ""), core.Outgoing{Timeout: time.Minute})
	assert.ErrorIs(t, err, core.ErrAnswerLost)
	<-closed
}

func TestUnreachableRunnerReturnsErrNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawRunner{runner: core.Runner{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}}
	_ = ln.Close()
	_, err = get(client(), s, request("a", ""))
	assert.ErrorIs(t, err, core.ErrNotSent)
}

// A connection is reused for as long as the runner keeps it open, and never after an
// answer that announces its closing.
func TestConnectionsAreReused(t *testing.T) {
	cases := []struct {
		name, header string
		conns        int
	}{
		{"kept", "", 1},
		{"kept for 5 s", "Keep-Alive: timeout=5\r\n", 1},
		{"kept for 0 s", "Keep-Alive: timeout=0\r\n", 3},
		{"closed", "Connection: close\r\n", 3},
	}
	for _, tc := range cases {
		s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
			var b bytes.Buffer
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", idHeader, r.Header.Get(idHeader), tc.header)
			_, _ = c.Write(b.Bytes())
			return true
		})
		c := client()
		for i := range 3 {
			_, err := get(c, s, request(fmt.Sprint("r", i), ""))
			assert.NilError(t, err)
		}
		assert.Equal(t, s.conns, tc.conns, tc.name)
	}
}

func TestOrderAndReport(t *testing.T) {
	s := serve(t, func(n int, c net.Conn, r *http.Request) bool {
		if r.Method == http.MethodGet {
			reply(c, "", `{"models":[{"name":"m","version":1,"adapters":["a1"]}],"busy":true,"sequence":7,"coming":["m/a2@1"]}`)
			return true
		}
		data, _ := io.ReadAll(r.Body)
		assert.Check(t, strings.Contains(string(data), `"expected":7`))
		assert.Check(t, r.Header.Get("X-Primroseward-Expect-Instance") == "i-1")
		fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", []int{202, 200, 409, 421, 412, 500}[n-2])
		return true
	})
	c := client()
	report, err := c.Report(context.Background(), &s.runner)
	assert.NilError(t, err)
	assert.Assert(t, report.Busy && report.Sequence == 7)
	assert.DeepEqual(t, report.LoadingAdapters, []string{"m/a2"})
	for _, want := range []core.OrderResult{core.OrderAccepted, core.OrderDone, core.OrderConflict, core.OrderWrongInstance, core.OrderRefused, core.OrderUnknown} {
		got, err := c.Order(context.Background(), &s.runner, core.RunnerOrder{Load: true, Model: "m", Expected: 7, Holder: "d", Fence: 3})
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
}

// Guards against counting a runner as crashed, and loading its models elsewhere, when it
// is only slow to accept connections or behind a network partition. Only a refused
// connection shows that the runner's process has exited. In both cases the request has
// not been sent.
func TestRefusedConnectionReturnsErrNoListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := netip.MustParseAddrPort(ln.Addr().String())
	assert.NilError(t, ln.Close())
	c := New(clockwork.NewRealClock(), platform.Dialect{})
	q := &core.Request{ID: "q", Method: "GET", Host: "h", Target: "/", Header: http.Header{}}
	_, err = c.Send(context.Background(), &core.Runner{ID: "i-1", Addr: closed}, q, core.Outgoing{Timeout: time.Second})
	assert.ErrorIs(t, err, core.ErrNotSent)
	assert.ErrorIs(t, err, core.ErrNoListener)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Send(ctx, &core.Runner{ID: "i-1", Addr: closed}, q, core.Outgoing{Timeout: time.Second})
	assert.ErrorIs(t, err, core.ErrNotSent)
	assert.Assert(t, !errors.Is(err, core.ErrNoListener))
}

// Guards against applying what an answer announces to a runner whose address another instance
// has now.
func TestAnswersOfOtherInstancesAreNotObserved(t *testing.T) {
	for _, tt := range []struct {
		name, status, header string
		observed             bool
	}{
		{"served", "200 OK", "", true},
		{"rejected", "503 Service Unavailable", "", true},
		{"misdirected, of an unknown instance", "421 Misdirected Request", "", false},
		{"misdirected, of another instance", "421 Misdirected Request", "X-Primroseward-Instance-Id: i-2\r\n", false},
		{"misdirected, of the instance", "421 Misdirected Request", "X-Primroseward-Instance-Id: i-1\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
				fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\nServer-Leaving: 1\r\n%sContent-Length: 0\r\n\r\n", tt.status, idHeader, r.Header.Get(idHeader), tt.header)
				return true
			})
			observed := false
			c := New(clockwork.NewRealClock(), platform.Dialect{}, WithAnswerCallback(func(r *core.Runner, info core.ReplyInfo) {
				observed = r.ID == "i-1" && info.Leaving.Announced
			}))
			_, err := get(c, s, request("a", ""))
			assert.NilError(t, err)
			assert.Equal(t, observed, tt.observed)
		})
	}
}

// Guards against what runners announce being read from answers to requests only.
func TestAnswersToOrdersAndReportsAreObserved(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nServer-Limit: 4\r\nContent-Length: 2\r\n\r\n{}")
		return true
	})
	observed := 0
	c := New(clockwork.NewRealClock(), platform.Dialect{}, WithAnswerCallback(func(_ *core.Runner, info core.ReplyInfo) {
		if info.Leaving.Announced && info.Limit.Announced {
			observed++
		}
	}))
	_, err := c.Order(context.Background(), &s.runner, core.RunnerOrder{Load: true, Model: "m"})
	assert.NilError(t, err)
	_, err = c.Report(context.Background(), &s.runner)
	assert.NilError(t, err)
	assert.Equal(t, observed, 2)
}

// Guards against sending to a runner that has stopped accepting requests while the connection
// was dialed.
func TestSendIsWithdrawn(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
		reply(c, r.Header.Get(idHeader), "ok")
		return true
	})
	c := client()
	for _, accepts := range []bool{false, true, false} {
		before := s.requests()
		answer, err := c.Send(context.Background(), &s.runner, request("a", ""), core.Outgoing{Timeout: time.Second, Instance: "i-1", Priority: -1, Accepts: func() bool { return accepts }})
		if accepts {
			assert.NilError(t, err)
			_, err = io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.NilError(t, answer.Body.Close())
			assert.Equal(t, s.requests(), before+1)
			continue
		}
		assert.ErrorIs(t, err, core.ErrNotSent)
		assert.ErrorIs(t, err, core.ErrWithdrawn)
		assert.Equal(t, s.requests(), before)
	}
	assert.Equal(t, s.conns, 1, "a connection that carried nothing is not reused")
}

// TestConnectFindsAnExitedRunner guards against an exited runner that counts as running, because its
// listener still accepted a connection while the process ended, and against a connection that is not
// used by the next request.
func TestConnectFindsAnExitedRunner(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, r.Header.Get(idHeader))
		return true
	})
	c := New(clockwork.NewRealClock(), platform.Dialect{})
	assert.NilError(t, c.Connect(t.Context(), &s.runner))
	reply, err := c.Send(t.Context(), &s.runner, &core.Request{ID: "q1", Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{idHeader: {"q1"}}}, core.Outgoing{})
	assert.NilError(t, err)
	_ = reply.Body.Close()
	s.mu.Lock()
	assert.Equal(t, s.conns, 1)
	s.mu.Unlock()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		conn, err := ln.Accept()
		_ = ln.Close()
		if err == nil {
			_ = conn.Close()
		}
	}()
	exited := core.Runner{ID: "i-2", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	assert.ErrorIs(t, c.Connect(t.Context(), &exited), core.ErrNoListener)
	assert.ErrorIs(t, c.Connect(t.Context(), &exited), core.ErrNoListener)
}

// TestConnectToARunnerThatResets guards against an exited runner that counts as running, because the kernel reset the
// connections that its process had not accepted yet, or each that it had; and against one that runs and does not accept
// one connection, as it has too many, and counts as exited.
func TestConnectToARunnerThatResets(t *testing.T) {
	reset := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	open := serve(t, func(int, net.Conn, *http.Request) bool { return true })
	for _, tt := range []struct {
		name  string
		dials []error // nil: the connection is opened
		want  error   // nil: it is connected
	}{
		{"reset, then refused", []error{reset, refused}, core.ErrNoListener},
		{"reset again and again", []error{reset, reset, reset, reset}, core.ErrClosed},
		{"reset once", []error{reset, nil}, nil},
	} {
		c := client()
		dial, n := c.dial, 0
		c.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			err := tt.dials[n]
			if n++; err != nil {
				return nil, err
			}
			return dial(ctx, network, addr)
		}
		err := c.Connect(t.Context(), &open.runner)
		assert.Equal(t, n, len(tt.dials), tt.name)
		if tt.want == nil {
			assert.NilError(t, err, tt.name)
			continue
		}
		assert.ErrorIs(t, err, core.ErrNotSent, tt.name)
		assert.ErrorIs(t, err, tt.want, tt.name)
	}
}
