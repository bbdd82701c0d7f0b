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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/platform"
)

const idHeader = "X-Primroseward-Request-Id"

// raw is a runner that answers each request as a test writes it.
type raw struct {
	runner core.Runner
	mu     sync.Mutex
	seen   []string // request lines
	conns  int
}

// serve calls answer with the number of a request, its connection and the
// request; it returns false to close the connection.
func serve(t *testing.T, answer func(n int, c net.Conn, r *http.Request) bool) *raw {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &raw{runner: core.Runner{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.one(c, answer)
		}
	}()
	return s
}

func (s *raw) one(c net.Conn, answer func(int, net.Conn, *http.Request) bool) {
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

func (s *raw) requests() int {
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

func get(c *Client, s *raw, q *core.Request) (string, error) {
	reply, err := c.Send(context.Background(), &s.runner, q, core.Outgoing{Timeout: time.Second, Instance: "i-1", Priority: -1})
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
}

// A belt is ordered twice: a library sends a request again when a reused
// connection closes before the answer. It must arrive once, whatever its method,
// and its outcome must be open.
func TestNoRequestIsSentAgain(t *testing.T) {
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
		assert.ErrorIs(t, err, core.ErrLost)
		assert.Equal(t, s.requests(), 2, method)
	}
}

// A request is run on a path that no caller named: escapes and empty parts of
// the target are cleaned up on the way.
func TestTargetAndBodyGoAsTheyCame(t *testing.T) {
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

// A caller gets another's answer: a runner answers a request a second time, or
// late, on a connection that is used again.
func TestAnswersOfOtherRequests(t *testing.T) {
	cases := []struct {
		name  string
		extra func(c net.Conn, id string)
	}{
		{"at once after the answer", func(c net.Conn, id string) { reply(c, id, "again") }},
		{"a moment later", func(c net.Conn, id string) {
			time.Sleep(20 * time.Millisecond)
			reply(c, id, "again")
		}},
		{"bytes that are no answer", func(c net.Conn, _ string) { _, _ = io.WriteString(c, "garbage") }},
	}
	for _, one := range cases {
		s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
			id := r.Header.Get(idHeader)
			reply(c, id, "answer "+id)
			one.extra(c, id)
			return true
		})
		c := client()
		for i := range 4 {
			id := fmt.Sprint("r", i)
			got, err := get(c, s, request(id, ""))
			if err == nil {
				assert.Equal(t, got, "answer "+id, one.name)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// The answer to the request before comes where this one's is due. It is told by
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

// Half an answer passes for a whole one.
func TestCutAnswersAreNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n"
	cases := []struct {
		name, text string
		whole      bool
	}{
		{"short of its length", head + "Content-Length: 9\r\n\r\nok", false},
		{"chunks without their end", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"no head", "HTTP/1.1 2", false},
		{"nothing", "", false},
		{"no answer in the protocol", "hello\r\n\r\n", false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"ends with its connection", head + "\r\nok", true},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true},
	}
	for _, one := range cases {
		s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, one.text)
			return false
		})
		got, err := get(client(), s, request("a", ""))
		if one.whole {
			assert.NilError(t, err, one.name)
			assert.Equal(t, got, "ok", one.name)
			continue
		}
		assert.Assert(t, err != nil, one.name)
	}
}

// A runner takes the next request for the rest of a body: it answered before it
// had read all of it, and the connection was used again.
func TestEarlyAnswerToALongBody(t *testing.T) {
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

// A caller's leaving must reach the runner: its connection is closed at once.
func TestLeavingClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := client().Send(ctx, &s.runner, request("a", ""), core.Outgoing{Timeout: time.Minute})
	assert.ErrorIs(t, err, core.ErrLost)
	<-closed
}

func TestUnreachableIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &raw{runner: core.Runner{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}}
	_ = ln.Close()
	_, err = get(client(), s, request("a", ""))
	assert.ErrorIs(t, err, core.ErrNotSent)
}

// A connection is used again while the runner keeps it, and not where the runner
// says that it closes it.
func TestConnectionsAreReused(t *testing.T) {
	cases := []struct {
		name, header string
		conns        int
	}{
		{"kept", "", 1},
		{"kept for some time", "Keep-Alive: timeout=5\r\n", 1},
		{"kept for no time", "Keep-Alive: timeout=0\r\n", 3},
		{"closed", "Connection: close\r\n", 3},
	}
	for _, one := range cases {
		s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
			var b bytes.Buffer
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", idHeader, r.Header.Get(idHeader), one.header)
			_, _ = c.Write(b.Bytes())
			return true
		})
		c := client()
		for i := range 3 {
			_, err := get(c, s, request(fmt.Sprint("r", i), ""))
			assert.NilError(t, err)
		}
		assert.Equal(t, s.conns, one.conns, one.name)
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
	assert.DeepEqual(t, report.Coming, []string{"m/a2"})
	for _, want := range []core.OrderResult{core.OrderAccepted, core.OrderDone, core.OrderConflict, core.OrderWrongHost, core.OrderRefused, core.OrderUnknown} {
		got, err := c.Order(context.Background(), &s.runner, core.RunnerOrder{Load: true, Model: "m", Expected: 7, Holder: "d", Fence: 3})
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
}

// A runner that is only slow to take connections, or behind a cut, counts as crashed, and
// its models are loaded elsewhere: just a refused connection says that its process has
// ended, and the request has not been sent in either case.
func TestRefusedConnectionIsTold(t *testing.T) {
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
