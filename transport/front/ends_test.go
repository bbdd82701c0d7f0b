package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	"primroseward/io/logs"
)

// counted returns the value of a counter with one label.
func counted(s tally.TestScope, name, label string) int64 {
	for _, c := range s.Snapshot().Counters() {
		for _, v := range c.Tags() {
			if c.Name() == name && (v == label) {
				return c.Value()
			}
		}
	}
	return 0
}

// TestHandlerThatPanicsAnswers guards against a connection that is closed without an answer as a defect
// ends the work on a request: the caller would not know whether it has run.
func TestHandlerThatPanicsAnswers(t *testing.T) {
	panics := true
	d := &dispatcher{answer: func(context.Context) (*core.Reply, error) {
		if panics {
			panic("a defect")
		}
		return reply(200, strings.NewReader("ok"))
	}}
	f, srv := setUp(t, 1, d)
	scope := tally.NewTestScope("", nil)
	WithScope(scope)(f)
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	for _, panics = range []bool{true, false, true} {
		_, err = io.WriteString(c, strings.ReplaceAll(post("/a/x", "abc"), "\n", "\r\n"))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		if !panics {
			assert.Equal(t, resp.StatusCode, 200)
			continue
		}
		assert.Equal(t, resp.StatusCode, 500)
		assert.Assert(t, !resp.Close)
		var got struct{ Code, Outcome string }
		assert.NilError(t, json.Unmarshal(body, &got))
		assert.Equal(t, got.Code, "internal")
		assert.Equal(t, got.Outcome, string(core.OutcomeMayHaveRun))
	}
	assert.Equal(t, lines.FilterMessage(logs.HandlerPanicked).Len(), 2)
	assert.Equal(t, counted(scope, "handlers_panicked", "no"), int64(2))
}

// panicReader panics in place of the end of an answer.
type panicReader struct{}

func (panicReader) Read([]byte) (int, error) { panic("a defect") }

// TestEndsOfAnswersAreCounted guards against a connection that ends without a whole answer and leaves no
// log line and no counter that name the cause.
func TestEndsOfAnswersAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name  string
		end   io.Reader
		event string
		label string
	}{
		{"the answer is lost", iotest.ErrReader(core.MayHaveRun("answer_lost", "reset")), logs.AnswerCut, "answer_lost"},
		{"its deadline", iotest.ErrReader(core.MayHaveRun("timeout", "the deadline")), logs.AnswerCut, "timeout"},
		{"another error", iotest.ErrReader(io.ErrUnexpectedEOF), logs.AnswerCut, "internal"},
		{"a defect", panicReader{}, logs.HandlerPanicked, "yes"},
	} {
		d := &dispatcher{answer: func(context.Context) (*core.Reply, error) {
			return reply(200, io.MultiReader(strings.NewReader("half"), tt.end))
		}}
		f, srv := setUp(t, 1, d)
		scope := tally.NewTestScope("", nil)
		WithScope(scope)(f)
		_, body, err := send(t, srv, post("/a/x", ""))
		assert.Equal(t, body, "half", tt.name)
		assert.Assert(t, err != nil, tt.name)
		counter := "answers_cut"
		if tt.event == logs.HandlerPanicked {
			counter = "handlers_panicked"
		}
		assert.Equal(t, lines.FilterMessage(tt.event).Len(), 1, tt.name)
		assert.Equal(t, counted(scope, counter, tt.label), int64(1), tt.name)
	}
}

// TestCallersThatLeaveAreCounted guards against callers whose connections end before their answer, by
// their own doing or that of the network, without a line that differs from that of an answer that is cut.
func TestCallersThatLeaveAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer func(ctx context.Context) (*core.Reply, error)
	}{
		{"before the answer", func(ctx context.Context) (*core.Reply, error) {
			<-ctx.Done()
			return nil, core.MayHaveRun("caller_gone", "")
		}},
		{"in its middle", func(ctx context.Context) (*core.Reply, error) {
			return reply(200, io.MultiReader(strings.NewReader("half"), untilDone{ctx}))
		}},
	} {
		f, srv := setUp(t, 1, &dispatcher{answer: tt.answer})
		scope := tally.NewTestScope("", nil)
		WithScope(scope)(f)
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, strings.ReplaceAll(post("/a/x", ""), "\n", "\r\n"))
		assert.NilError(t, err)
		_ = c.Close()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if lines.FilterMessage(logs.CallerDisconnected).Len() == 1 && counted(scope, "answers_cut", "caller_gone") == 1 {
				return poll.Success()
			}
			return poll.Continue("%s: no line and counter yet", tt.name)
		}, poll.WithDelay(5*time.Millisecond))
		assert.Equal(t, lines.FilterMessage(logs.AnswerCut).Len(), 0, tt.name)
	}
}

// untilDone reads nothing until a context ends.
type untilDone struct{ ctx context.Context }

func (u untilDone) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, u.ctx.Err()
}

// TestForwardedRequestIsNotMeasuredAgain guards against a request in progress that the daemon it is forwarded
// to refuses as too large: the limits were lowered since it arrived, or the headers of forwarding do not fit.
func TestForwardedRequestIsNotMeasuredAgain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		body   string
		header string
	}{
		{"a body", strings.Repeat("x", 1001), ""},
		{"headers", "", strings.Repeat("x", 2000)},
	} {
		d := &dispatcher{answer: func(context.Context) (*core.Reply, error) { return reply(200, strings.NewReader("ok")) }}
		f, _ := setUp(t, 1, d)
		srv := httptest.NewServer(f.Forwarded(http.NotFoundHandler()))
		defer srv.Close()
		req := newRequest(t, srv.URL)
		req.Body = io.NopCloser(strings.NewReader(tt.body))
		req.ContentLength = int64(len(tt.body))
		req.Header.Set("X-Long", tt.header)
		(&core.Forward{From: "vm-1", Runs: 1, Attempts: 1}).Write(req.Header)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, 200, tt.name)
		assert.Equal(t, len(d.got.Body), len(tt.body), tt.name)
	}
}

// TestEndOfTheGraceTimeIsLogged guards against an answer that is cut as a daemon that leaves closes its
// connections, and that is taken for a caller that has left.
func TestEndOfTheGraceTimeIsLogged(t *testing.T) {
	d := &dispatcher{answer: func(ctx context.Context) (*core.Reply, error) {
		return reply(200, io.MultiReader(strings.NewReader("half"), untilDone{ctx}))
	}}
	f, srv := setUp(t, 1, d)
	resp, err := http.DefaultClient.Do(newRequest(t, srv.URL))
	assert.NilError(t, err)
	defer resp.Body.Close()
	f.Leave()
	_ = srv.Config.Close()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if seen := lines.FilterMessage(logs.CallerDisconnected).All(); len(seen) == 1 && seen[0].ContextMap()["leaving"] == true {
			return poll.Success()
		}
		return poll.Continue("no line yet")
	}, poll.WithDelay(5*time.Millisecond))
}

// newRequest returns a request for the route of setUp.
func newRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/a/x", http.NoBody)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Primroseward-Request-Id", "q1")
	return req
}

// TestForwardedRequestsOfALeavingDaemonAreAnswered guards against requests that other daemons pass on to a leaving one, which takes
// them too late to answer them, or cuts those that wait.
func TestForwardedRequestsOfALeavingDaemonAreAnswered(t *testing.T) {
	for _, tt := range []struct {
		name  string
		left  time.Duration // of the grace time
		wants int           // bytes of the body that are missing
		ran   bool
		want  string
	}{
		{"in time", time.Hour, 0, false, ""},
		{"too late", time.Millisecond, 0, false, `"not_run"`},
		{"waits for its answer", time.Hour, 0, true, `"may_have_run"`},
		{"waits for its body", time.Hour, 1, false, `"not_run"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			began := make(chan struct{})
			d := &dispatcher{answer: func(ctx context.Context) (*core.Reply, error) {
				if !tt.ran {
					return reply(200, strings.NewReader("ok"))
				}
				close(began)
				<-ctx.Done()
				if !errors.Is(context.Cause(ctx), core.ErrEnding) {
					return nil, context.Cause(ctx)
				}
				return nil, core.MayHaveRun(core.CodeLeaving, "the daemon ends")
			}}
			f, _ := setUp(t, 1, d)
			srv := httptest.NewServer(f.Forwarded(http.NotFoundHandler()))
			defer srv.Close()
			config := &core.Config{Version: 2, Routes: []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Kind: core.KindUnsafe, Timeout: 4 * time.Second}}}
			config.Index()
			f.catalog.SetConfig(config)
			req := newRequest(t, srv.URL)
			in, out := io.Pipe()
			defer out.Close()
			req.Body, req.ContentLength = in, int64(1+tt.wants)
			(&core.Forward{From: "vm-2", Attempts: 1}).Write(req.Header)
			f.Leave()
			f.EndAt(time.Now().Add(tt.left))
			go func() {
				_, _ = out.Write([]byte("x")) // fails if it is refused before
				switch {
				case tt.ran:
					<-began
				case tt.wants > 0:
					for f.Connections() == 0 {
						time.Sleep(time.Millisecond)
					}
				default:
					return
				}
				f.EndWaiting()
			}()
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			if tt.want == "" {
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				return
			}
			assert.Assert(t, strings.Contains(string(body), tt.want), "%d %s", resp.StatusCode, body)
			assert.Equal(t, resp.Header.Get(core.HeaderCode), core.CodeLeaving)
		})
	}
}
