package owner

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/state/answer"
)

func newRunningAttempt(repeat bool) (*Attempt, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Attempt{Request: Request{AttemptID: "a", Repeatable: repeat}, Buffer: answer.NewBuffer(), ctx: ctx, cancel: cancel, startedAt: time.Unix(1000, 0)}, ctx
}

// Guards against a sweep that overwrites an attempt's start time. When the sweep kept its
// own timestamp in the same field, the time that a request held its slot was measured from
// the last sweep, and the queue admitted requests that could not be served in time.
func TestSweepKeepsStartTime(t *testing.T) {
	a, _ := newRunningAttempt(true)
	m := attempts{byID: map[string]*Attempt{"a": a}}
	detach := a.Buffer.Attach()
	defer detach()
	m.sweep(time.Unix(1060, 0), time.Minute, time.Hour, time.Second)
	assert.Equal(t, a.startedAt, time.Unix(1000, 0))
}

// Guards against accelerators that keep working for an entry that was killed: an attempt
// without a reader for a while is cancelled, unless its request is not repeatable.
func TestOrphanedAttemptsAreCancelled(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		a, ctx := newRunningAttempt(repeat)
		m := attempts{byID: map[string]*Attempt{"a": a}}
		detach := a.Buffer.Attach()
		now := time.Unix(1000, 0)
		sweep := func(after time.Duration) {
			now = now.Add(after)
			m.sweep(now, time.Minute, time.Hour, 15*time.Second)
		}
		sweep(time.Minute)
		detach()
		sweep(10 * time.Second)
		assert.NilError(t, ctx.Err(), "cancelled before the orphan timeout")
		sweep(10 * time.Second)
		assert.Equal(t, ctx.Err() != nil, repeat)
	}
}

// An attempt's ID stays known for as long as a late dispatch may arrive; its answer is
// released earlier.
func TestEndedAttemptsExpire(t *testing.T) {
	a, _ := newRunningAttempt(true)
	m := attempts{byID: map[string]*Attempt{"a": a}}
	assert.NilError(t, a.Buffer.Append(context.Background(), []byte("answer")))
	a.Buffer.Finish()
	now := time.Unix(1000, 0)
	m.sweep(now, 30*time.Second, 2*time.Minute, time.Second)
	m.sweep(now.Add(time.Minute), 30*time.Second, 2*time.Minute, time.Second)
	assert.Equal(t, a.Buffer.Size(), int64(0))
	joined, registered := m.register(&Attempt{Request: Request{AttemptID: "a"}})
	assert.Assert(t, !registered && joined == a, "a second dispatch joins the first attempt")
	m.sweep(now.Add(3*time.Minute), 30*time.Second, 2*time.Minute, time.Second)
	_, found := m.get("a")
	assert.Assert(t, !found)
}

// scriptedEndpoint answers with a stream, and knows no stream to resume.
type scriptedEndpoint struct {
	core.Endpoint
	text string
	end  error
}

func (e scriptedEndpoint) Do(context.Context, core.Call) (*core.Answer, error) {
	body := io.MultiReader(strings.NewReader(e.text), iotest.ErrReader(e.end))
	return &core.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(body)}, nil
}

func (e scriptedEndpoint) Resume(context.Context, core.Call, int64) (*core.Answer, error) {
	return nil, core.ErrNotFound
}

func (e scriptedEndpoint) Cancel(context.Context, string) error { return nil }

// TestStreamWithoutItsEndIsNotComplete guards against a stream that breaks off and is kept as complete for
// a later repeat.
func TestStreamWithoutItsEndIsNotComplete(t *testing.T) {
	const event = "data: {}\n\n"
	for _, tt := range []struct {
		name, text string
		end        error
		want       bool
	}{
		{"whole", event + "data: [DONE]\n\n", io.EOF, true},
		{"whole, CRLF", "data: {}\r\n\r\ndata: [DONE]\r\n\r\n", io.EOF, true},
		{"the marker alone", "data: [DONE]\n\n", io.EOF, true},
		{"no marker", event, io.EOF, false},
		{"nothing", "", io.EOF, false},
		{"inside an event", event + "data: {", io.EOF, false},
		{"inside the marker's event", event + "data: [DONE]\n", io.EOF, false},
		{"before the marker's line end", event + "data: [DONE]", io.EOF, false},
		{"the marker in a text", event + "data: x data: [DONE]\n\n", io.EOF, false},
		{"something behind the marker", "data: [DONE]\n\ndata: {", io.EOF, false},
		{"reset behind an event", event, io.ErrUnexpectedEOF, false},
	} {
		a, ctx := newRunningAttempt(false)
		a.endpoint = scriptedEndpoint{text: tt.text, end: tt.end}
		a.onAnswer = func(int, http.Header) *core.RequestError { return nil }
		a.onResume = func() {}
		a.Model, a.clock, a.Deadline = "m", clockwork.NewRealClock(), time.Now().Add(time.Minute)
		a.run(core.NoGuard{}, func(*Attempt) {})
		done, failure := a.Buffer.Done()
		assert.Assert(t, done, tt.name)
		assert.Equal(t, failure == nil, tt.want, "%s: %v", tt.name, failure)
		assert.Assert(t, ctx.Err() != nil, tt.name)
	}
}

// Guards against answers of ended attempts that take all memory until they are swept.
func TestEndedAttemptsHoldNoMoreThanTheirLimit(t *testing.T) {
	const size = 60
	m := attempts{byID: map[string]*Attempt{}, limit: 3 * size}
	var all []*Attempt
	for i := range 6 {
		a := &Attempt{Buffer: answer.NewBuffer()}
		assert.NilError(t, a.Buffer.Append(context.Background(), make([]byte, size)))
		a.Buffer.Finish()
		if i == 1 {
			defer a.Buffer.Attach()()
		}
		m.end(a)
		all = append(all, a)
	}
	for i, held := range []bool{false, true, false, true, true, true} { // the second one is being read
		assert.Equal(t, all[i].Buffer.Size() > 0, held, "attempt %d", i)
	}
	assert.Equal(t, m.held, int64(3*size))
}
