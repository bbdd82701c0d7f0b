package routers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/answer"
)

// newAPI returns an API without an entry, so that most requests end in a panic, with its log lines and
// counters.
func newAPI() (*API, *observer.ObservedLogs, tally.TestScope) {
	seen, lines := observer.New(zapcore.InfoLevel)
	scope := tally.NewTestScope("", nil)
	return New(nil, clockwork.NewRealClock(), zap.New(seen), 1<<20, time.Second, WithScope(scope)), lines, scope
}

// counted returns the value of a counter with one label.
func counted(s tally.TestScope, name, label string) int64 {
	for _, c := range s.Snapshot().Counters() {
		for _, v := range c.Tags() {
			if c.Name() == name && v == label {
				return c.Value()
			}
		}
	}
	return 0
}

// TestHandlerThatPanicsAnswers guards against a connection that is closed without an answer as a defect
// ends the work on a request.
func TestHandlerThatPanicsAnswers(t *testing.T) {
	a, lines, scope := newAPI()
	srv := httptest.NewServer(a.Handler())
	defer srv.Close()
	for range 2 {
		resp, err := http.Get(srv.URL + "/v1/models")
		assert.NilError(t, err)
		var got errorBody
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, 500)
		assert.Equal(t, got.Error.Code, "internal")
		assert.Equal(t, got.Error.Outcome, core.OutcomeMayHaveRun)
	}
	assert.Equal(t, lines.FilterMessage(logs.HandlerPanicked).Len(), 2)
	assert.Equal(t, counted(scope, "handlers_panicked", "no"), int64(2))
}

// TestEndsOfAnswersAreCounted guards against a connection that ends without a whole answer and leaves no
// log line and no counter that name the cause.
func TestEndsOfAnswersAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name, media, event, cause string
		fail                      *core.RequestError
	}{
		{"a lost answer", "application/json", logs.AnswerCut, "owner_lost", core.MayHaveRun("owner_lost", "")},
		{"a lost stream", "text/event-stream", logs.AnswerCut, "deadline", core.MayHaveRun("deadline", "")},
		{"a caller that leaves", "text/event-stream", logs.CallerDisconnected, logs.CauseCallerGone, nil},
	} {
		a, lines, scope := newAPI()
		buf := answer.NewBuffer()
		buf.SetHead(answer.Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {tt.media}}})
		assert.NilError(t, buf.Append(context.Background(), []byte("half")))
		srv := httptest.NewServer(a.answerPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if a.writeAnswer(w, r, "q", buf, 0) != nil {
				panic(http.ErrAbortHandler)
			}
		})))
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, nil)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err, tt.name)
		_, err = io.ReadFull(resp.Body, make([]byte, len("half")))
		assert.NilError(t, err, tt.name)
		if tt.fail != nil {
			buf.Fail(tt.fail)
		} else {
			cancel()
		}
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, tt.name)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if lines.FilterMessage(tt.event).Len() == 1 && counted(scope, "answers_cut", tt.cause) == 1 {
				return poll.Success()
			}
			return poll.Continue("%s: no line and counter yet", tt.name)
		}, poll.WithDelay(5*time.Millisecond))
		_ = resp.Body.Close()
		cancel()
		srv.Close()
		assert.Equal(t, lines.FilterMessage(logs.HandlerPanicked).Len(), 0, tt.name)
	}
}
