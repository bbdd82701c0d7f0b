package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/platform"
	"primroseward/state/catalog"
	"primroseward/transport/intake"
)

// dispatcher answers with the result of a function that the test sets.
type dispatcher struct {
	got    *core.Request
	answer func(ctx context.Context) (*core.Reply, error)
}

func (d *dispatcher) Do(ctx context.Context, _ *core.Route, q *core.Request) (*core.Reply, error) {
	d.got = q
	return d.answer(ctx)
}

func reply(status int, body io.Reader) (*core.Reply, error) {
	h := http.Header{"X-Primroseward-Server-Stamp": {"s"}, "Connection": {"keep-alive"}, "Keep-Alive": {"timeout=3"}}
	return &core.Reply{Status: status, Header: h, Body: io.NopCloser(body)}, nil
}

// lines are the log lines of the last Front that setUp has created.
var lines *observer.ObservedLogs

// setUp starts a server with one route, or without a configuration if version is 0.
func setUp(t *testing.T, version uint64, d *dispatcher) (*Front, *httptest.Server) {
	t.Helper()
	return setUpAt(t, clockwork.NewRealClock(), version, d)
}

func setUpAt(t *testing.T, clock core.Clock, version uint64, d *dispatcher, opts ...Option) (*Front, *httptest.Server) {
	t.Helper()
	c := catalog.New(clock)
	if version > 0 {
		config := &core.Config{
			Version: version, Limits: core.CallerLimits{BodyBytes: 1000, HeaderBytes: 2000},
			Routes: []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/"}},
		}
		config.Index()
		c.SetConfig(config)
	}
	var seen zapcore.Core
	seen, lines = observer.New(zap.InfoLevel)
	f := New(c, platform.Dialect{}, d, clock, zap.New(seen), opts...)
	srv := httptest.NewUnstartedServer(f)
	srv.Config = f.Server()
	srv.Listener = f.Listen(srv.Listener)
	srv.Start()
	t.Cleanup(srv.Close)
	return f, srv
}

// send writes the raw text of a request and reads the answer.
func send(t *testing.T, srv *httptest.Server, text string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\nHost: h.example\nX-Primroseward-Request-Id: q1\nContent-Length: %d\n\n%s", path, len(body), body)
}

// If a daemon that has no configuration yet answers 404 for all routes, callers give up for
// good. It must answer 503 with a Retry-After time.
func TestErrorStatusCodes(t *testing.T) {
	cases := []struct {
		name    string
		version uint64
		text    string
		err     error
		want    int
		retry   bool
		code    string // in the log line of the refusal
	}{
		{"no config", 0, post("/a/x", ""), nil, 503, true, "no_config"},
		{"no route", 1, post("/b/x", ""), nil, 404, false, "no_route"},
		{"no id", 1, strings.Replace(post("/a/x", ""), "X-Primroseward-Request-Id: q1\n", "", 1), nil, 400, false, "bad_request"},
		{"body too large", 1, post("/a/x", strings.Repeat("x", 1001)), nil, 413, false, "too_large"},
		{"headers too large", 1, strings.Replace(post("/a/x", ""), "Host:", "X-Long: "+strings.Repeat("x", 2000)+"\nHost:", 1), nil, 431, false, "headers_too_large"},
		{"refused by the dispatcher", 1, post("/a/x", ""), core.NotRun(503, "full", "", 250e6), 503, true, ""},
		{"may have run", 1, post("/a/x", ""), core.MayHaveRun("lost", ""), 502, false, ""},
		{"other error", 1, post("/a/x", ""), errors.New("odd"), 502, false, ""},
	}
	for _, tt := range cases {
		d := &dispatcher{answer: func(context.Context) (*core.Reply, error) {
			if tt.err != nil {
				return nil, tt.err
			}
			return reply(200, strings.NewReader("ok"))
		}}
		_, srv := setUp(t, tt.version, d)
		resp, _, err := send(t, srv, tt.text)
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, tt.want, tt.name)
		assert.Equal(t, resp.Header.Get("Retry-After") != "", tt.retry, tt.name)
		logged := lines.FilterMessage(logs.RefusedAtFront).All()
		assert.Equal(t, len(logged) > 0, tt.code != "", tt.name)
		if tt.code != "" {
			assert.Equal(t, logged[0].ContextMap()["code"], tt.code)
		}
	}
}

func TestChunkedBody(t *testing.T) {
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
	_, srv := setUp(t, 1, d)
	chunked := "POST /a/x?y=1 HTTP/1.1\nHost: h.example:80\nX-Primroseward-Request-Id: q1\nTransfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n"
	resp, body, err := send(t, srv, chunked)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, "ok")
	assert.Equal(t, string(d.got.Body), "abcde")
	assert.Equal(t, d.got.Target, "/a/x?y=1")
	assert.Equal(t, resp.Header.Get("Keep-Alive"), "", "hop-by-hop header of the runner's connection")
	assert.Equal(t, resp.Header.Get("X-Primroseward-Server-Stamp"), "s")
}

// TestBodyWithoutRoom guards against bodies that take all memory: a request without room for its body is refused as not
// run, and its connection, over which the body still arrives, serves the next one.
func TestBodyWithoutRoom(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		const headRoom = 64 << 10 // heads count too
		hold, began := make(chan struct{}), make(chan struct{}, 8)
		d := &dispatcher{answer: func(ctx context.Context) (*core.Reply, error) {
			began <- struct{}{}
			select {
			case <-hold:
			case <-ctx.Done():
			}
			return reply(200, strings.NewReader("ok"))
		}}
		in := intake.New(intake.Limits{Memory: 1<<20 + headRoom}, clockwork.NewRealClock(), zap.NewNop())
		f, srv := setUpAt(t, clockwork.NewRealClock(), 1, d, WithIntake(in))
		config := *f.catalog.Config()
		config.Limits.BodyBytes, config.Version = 4<<20, 2
		f.catalog.SetConfig(&config)
		call := func(size int) (*http.Response, error) {
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if chunked {
				body = struct{ io.Reader }{body}
			}
			req, err := http.NewRequest(http.MethodPost, srv.URL+"/a/x", body)
			assert.NilError(t, err)
			req.Host = "h.example"
			req.Header.Set("X-Primroseward-Request-Id", "q1")
			resp, err := srv.Client().Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			return resp, err
		}
		first := make(chan int, 1)
		go func() {
			resp, err := call(300 << 10)
			assert.Check(t, err)
			first <- resp.StatusCode
		}()
		<-began
		for range 20 {
			resp, err := call(700 << 10)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 503)
			assert.Equal(t, resp.Header.Get("Retry-After"), "1.000")
		}
		assert.Equal(t, lines.FilterMessage(logs.RefusedAtFront).All()[0].ContextMap()["code"], core.CodeOverloaded)
		close(hold)
		assert.Equal(t, <-first, 200)
		poll.WaitOn(t, func(poll.LogT) poll.Result { // the answer is read before the server has ended its request
			if used := in.Budget().Used(); used != 0 {
				return poll.Continue("%d bytes are held", used)
			}
			return poll.Success()
		})
		resp, err := call(300 << 10)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		resp, err = call(2 << 20)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 413)
		srv.Close()
		assert.Equal(t, in.Budget().Used(), int64(0))
	}
}

// TestRefusalDoesNotWaitForTheBody guards against a refusal that is held back until the rest of the body has arrived, or the time for
// it is over: the caller sends nothing more, and a daemon that ends closes the connection first.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for _, tt := range []struct {
		name, headers, limit string
		status               int
		end                  bool // whether the daemon ends
	}{
		{"late body", "", "100", http.StatusRequestTimeout, false},
		{"late body, expected", "Expect: 100-continue\n", "100", http.StatusRequestTimeout, false},
		{"the daemon ends", "", "60000", http.StatusServiceUnavailable, true},
		{"the daemon ends, expected", "Expect: 100-continue\n", "60000", http.StatusServiceUnavailable, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, srv := setUp(t, 1, &dispatcher{})
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			text := "POST /a/x HTTP/1.1\nHost: h.example\nX-Primroseward-Request-Id: q1\n" + platform.HeaderTimeout + ": " + tt.limit + "\n" + tt.headers + "Content-Length: 3\n\na"
			_, err = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
			assert.NilError(t, err)
			began := time.Now()
			if tt.end {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					for c := range f.conns.openNow() {
						if c.end.Load() != nil {
							return poll.Success()
						}
					}
					return poll.Continue("the body is not awaited yet")
				})
				f.EndWaiting()
			}
			in := bufio.NewReader(conn)
			resp, err := http.ReadResponse(in, nil)
			for err == nil && resp.StatusCode == http.StatusContinue {
				resp, err = http.ReadResponse(in, nil)
			}
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Assert(t, resp.Close)
			assert.Assert(t, time.Since(began) < intake.DrainTime, "%v", time.Since(began))
		})
	}
}

// openNow returns the open connections.
func (s *connections) openNow() map[*callerConn]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.open)
}

// broken returns an error in place of the end of a reader.
type broken struct{ io.Reader }

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = core.ErrAnswerLost
	}
	return n, err
}

// The caller must not take half an answer for a complete one: if the body breaks off, reading
// the answer must fail.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, broken{strings.NewReader("half")}) }}
	_, srv := setUp(t, 1, d)
	_, body, err := send(t, srv, post("/a/x", ""))
	assert.Equal(t, body, "half")
	assert.Assert(t, err != nil)
}

// A request must be cancelled when its caller disconnects. Otherwise runners continue to work
// for callers that are gone.
func TestDisconnectCancelsRequest(t *testing.T) {
	cancelled := make(chan struct{})
	d := &dispatcher{answer: func(ctx context.Context) (*core.Reply, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, core.MayHaveRun("gone", "")
	}}
	_, srv := setUp(t, 1, d)
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, strings.ReplaceAll(post("/a/x", ""), "\n", "\r\n"))
	assert.NilError(t, err)
	_ = c.Close()
	<-cancelled
}

func TestLeavingDaemonClosesConnections(t *testing.T) {
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
	f, srv := setUp(t, 1, d)
	for _, leaving := range []bool{false, true} {
		if leaving {
			f.Leave()
		}
		resp, _, err := send(t, srv, post("/a/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, resp.Close, leaving)
	}
}

// A Retry-After time of less than half a millisecond, as for a request whose hold is about to
// expire, would round to 0, which the caller cannot distinguish from never.
func TestRetryAfterIsNeverZero(t *testing.T) {
	for _, retry := range []time.Duration{1, 400 * time.Microsecond, time.Millisecond, 2 * time.Second} {
		w := httptest.NewRecorder()
		writeError(w, core.NotRun(http.StatusServiceUnavailable, "held_back", "held back", retry))
		s, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, s > 0, "%v", retry)
	}
}

// The body of a request without a known key must not be read, keys must not be sent to
// runners or logged, and callers of a route that needs no key must not be refused.
func TestKeyAuthorization(t *testing.T) {
	for _, tt := range []struct {
		name, path, header string
		status             int
		code, workspace    string
	}{
		{"a known key", "/a/x", "Authorization: Token good\n", 200, "", "w"},
		{"an unknown key", "/a/x", "Authorization: Token bad\n", 401, "unknown_key", ""},
		{"no key", "/a/x", "", 401, "no_key", ""},
		{"two keys", "/a/x", "Authorization: Token good\nauthorization: Token good\n", 401, "no_key", ""},
		{"a public route", "/open/x", "Authorization: Token bad\n", 200, "", ""},
		{"no route", "/none/x", "Authorization: Token bad\n", 404, "no_route", ""},
	} {
		d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
		f, srv := setUp(t, 1, d)
		config := &core.Config{
			Version:    2,
			Routes:     []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/"}, {Name: "o", Host: "h.example", Prefix: "/open/", Public: true}},
			Workspaces: []*core.Workspace{{Name: "w", Keys: []core.KeyID{core.KeyIDOf("good")}}},
		}
		config.Index()
		f.catalog.SetConfig(config)
		text := "POST " + tt.path + " HTTP/1.1\nHost: h.example\nX-Primroseward-Request-Id: q1\n" + tt.header + "Content-Length: 3\n\n"
		if tt.status != 401 {
			text += "abc"
		} // the body of a caller without a known key is never sent
		resp, _, err := send(t, srv, text)
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, tt.status, tt.name)
		if tt.status != 200 {
			assert.Assert(t, d.got == nil, tt.name)
			assert.Equal(t, lines.FilterMessage(logs.RefusedAtFront).All()[0].ContextMap()["code"], tt.code)
			for _, l := range lines.All() {
				assert.Assert(t, !strings.Contains(fmt.Sprint(l.ContextMap()), "bad"), "the log line contains a key: %v", l.ContextMap())
			}
			continue
		}
		assert.Equal(t, d.got.Header.Get("Authorization"), "", tt.name)
		assert.Equal(t, d.got.Workspace != nil, tt.workspace != "", tt.name)
	}
}

// Without workspaces callers need no keys, and an Authorization header must be forwarded to the
// runner: operators may use it for purposes of their own.
func TestAuthorizationIsForwardedWithoutWorkspaces(t *testing.T) {
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
	_, srv := setUp(t, 1, d)
	resp, _, err := send(t, srv, "GET /a/x HTTP/1.1\nHost: h.example\nX-Primroseward-Request-Id: q1\nAuthorization: Basic x\n\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, d.got.Header.Get("Authorization"), "Basic x")
}

// Keys that cannot be confirmed must not be used where the operators forbid it.
func TestUnconfirmedKeys(t *testing.T) {
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
	f, srv := setUp(t, 1, d)
	config := &core.Config{
		Version: 2, Routes: []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/"}},
		Workspaces: []*core.Workspace{{Name: "w", Keys: []core.KeyID{core.KeyIDOf("good")}}},
	}
	config.Index()
	f.catalog.SetConfig(config)
	for _, confirmed := range []bool{true, false} {
		WithKeysConfirmed(func() bool { return confirmed })(f)
		resp, _, err := send(t, srv, "GET /a/x HTTP/1.1\nHost: h.example\nX-Primroseward-Request-Id: q1\nAuthorization: Token good\n\n")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode == 200, confirmed)
		assert.Equal(t, resp.Header.Get("Retry-After") != "", !confirmed)
	}
}

// TestBrokenAnswersAtOldCallers guards against an answer that breaks off and looks complete to a caller
// that speaks HTTP/1.0, as the end of the connection is the end of the answer there.
func TestBrokenAnswersAtOldCallers(t *testing.T) {
	for _, tt := range []struct {
		version string
		broken  bool
	}{{"1.0", false}, {"1.0", true}, {"1.1", false}, {"1.1", true}} {
		d := &dispatcher{answer: func(context.Context) (*core.Reply, error) {
			if tt.broken {
				return reply(200, io.MultiReader(strings.NewReader("data: x\n\n"), iotest.ErrReader(core.ErrAnswerLost)))
			}
			return reply(200, strings.NewReader("data: x\n\n"))
		}}
		_, srv := setUp(t, 1, d)
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET /a/x HTTP/"+tt.version+"\r\nHost: h.example\r\nConnection: close\r\nX-Primroseward-Request-Id: q1\r\n\r\n")
		assert.NilError(t, err)
		data, err := io.ReadAll(conn)
		_ = conn.Close()
		complete := err == nil
		if tt.version == "1.1" {
			complete = complete && strings.HasSuffix(string(data), "0\r\n\r\n") || strings.Contains(string(data), "Content-Length: 9")
		}
		assert.Equal(t, complete, !tt.broken, "HTTP/%s: %v, %q", tt.version, err, data)
	}
}

// Guards against an error that may have run, with a status that promises the opposite, as a daemon of another
// release may state it.
func TestStatusOfWhatMayHaveRun(t *testing.T) {
	for status, mayHaveRun := range map[int]int{408: 502, 421: 502, 429: 502, 503: 502, 500: 500, 502: 502, 504: 504} {
		for _, outcome := range []core.Outcome{core.OutcomeMayHaveRun, core.OutcomeNotRun, ""} {
			d := &dispatcher{answer: func(context.Context) (*core.Reply, error) {
				return nil, &core.RequestError{Outcome: outcome, Status: status, Code: "c"}
			}}
			_, srv := setUp(t, 1, d)
			resp, _, err := send(t, srv, "GET /a/x HTTP/1.1\nHost: h.example\nX-Primroseward-Request-Id: q1\n\n")
			assert.NilError(t, err)
			want := mayHaveRun
			if outcome == core.OutcomeNotRun {
				want = status
			}
			assert.Equal(t, resp.StatusCode, want, "%d %s", status, outcome)
		}
	}
}
