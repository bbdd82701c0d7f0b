package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// lasting is a Sender whose runner sends an event at once and one each 100 ms, and after a time crashes or ends its answer.
type lasting struct {
	duration time.Duration
	whole    bool
}

func (l *lasting) Send(context.Context, *core.Runner, *core.Request, core.Outgoing) (*core.Reply, error) {
	in, out := io.Pipe()
	go func() {
		for end := time.Now().Add(l.duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			_, _ = io.WriteString(out, "id: 1\ndata: x\n\n") // fails once the reader has closed
		}
		if l.whole {
			_ = out.Close()
			return
		}
		_ = out.CloseWithError(errCrashed)
	}()
	return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: core.ReplyInfo{Stamped: true}, Body: in}, nil
}

// Guards against prompt parts that are taken for harmless because the runner had sent events before it crashed, against
// sound ones whose whole answers do not become known, and against runs that are counted as in progress for ever.
func TestPartsOfCrashedRequests(t *testing.T) {
	for _, tt := range []struct {
		name   string
		sender Sender
		age    time.Duration // when it crashed
		worked bool          // the request itself is not suspected
		sound  bool
	}{
		{"queued", &crashing{}, 0, false, false},
		{"just started", &crashing{head: true}, 0, false, false},
		{"after some events at once", &crashing{events: 3}, 0, false, false},
		{"after events for 0.4 s", &lasting{duration: 400 * time.Millisecond}, 400 * time.Millisecond, false, false},
		{"after events for 0.9 s", &lasting{duration: 900 * time.Millisecond}, 900 * time.Millisecond, false, false},
		{"after events for 2.5 s", &lasting{duration: 2500 * time.Millisecond}, 2500 * time.Millisecond, true, false},
		{"never", &lasting{duration: 900 * time.Millisecond, whole: true}, 0, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &guard{admits: 9}
				d := newDispatcher(&fleet{nextAct: script()}, 1)
				d.sender = tt.sender
				WithGuard(g)(d)
				q := promptRequest(d)
				r := route(core.KindStream, false, 1)
				r.Timeout = q.Timeout
				reply, err := d.Do(t.Context(), r, q)
				if err == nil {
					_, _ = io.ReadAll(reply.Body) // its error is that of the runner
					_ = reply.Body.Close()
				}
				assert.Equal(t, len(g.sound) > 0, tt.sound)
				assert.Equal(t, g.running, 0)
				if tt.sound {
					assert.Equal(t, len(g.closed), 0)
					return
				}
				assert.Equal(t, len(g.closed), 1)
				assert.Equal(t, len(g.closed[0].Parts), 2)
				assert.Equal(t, g.closed[0].Age, tt.age)
				assert.Equal(t, g.closed[0].Worked, tt.worked)
			})
		})
	}
}

func promptRequest(d *Dispatcher) *core.Request {
	return &core.Request{ID: "q", Model: "m", SharedParts: []string{"a1", "bad"}, Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
}

// Guards against sending a request of which a prompt part is held, and against an answer to it that comes late or does
// not say when to come back.
func TestRequestWithAHeldPartIsRefused(t *testing.T) {
	bad := core.NewPart("", "bad")
	for _, tt := range []struct {
		name      string
		guard     *guard
		workspace *core.Workspace
		refused   bool
	}{
		{"held on arrival", &guard{admits: 9, held: bad.Digest}, nil, true},
		{"held while it waited", &guard{admits: 9, refused: bad.Digest}, nil, true},
		{"held at its model", &guard{admits: 9, held: bad.For("m").AtModel}, nil, true},
		{"held at its model while it waited", &guard{admits: 9, refused: bad.For("m").AtModel}, nil, true},
		{"held at another model", &guard{admits: 9, held: bad.For("m2").AtModel}, nil, false},
		{"held in another workspace", &guard{admits: 9, held: bad.Digest}, &core.Workspace{Name: "w"}, false},
	} {
		d := newDispatcher(&fleet{nextAct: script(serves)}, 1)
		WithGuard(tt.guard)(d)
		q := promptRequest(d)
		q.Workspace = tt.workspace
		reply, err := d.Do(t.Context(), route(core.KindStream, false, 1), q)
		if !tt.refused {
			assert.NilError(t, err, tt.name)
			_, err = io.ReadAll(reply.Body)
			assert.NilError(t, err, tt.name)
			continue
		}
		got := core.AsRequestError(err)
		assert.Equal(t, got.Code, core.CodeHeld, tt.name)
		assert.Equal(t, got.Outcome, core.OutcomeNotRun, tt.name)
		assert.Equal(t, got.Retry, holdTime, tt.name)
	}
}

// Guards against a request that is queued at a runner, and would crash it, when one of its parts comes to be held.
func TestQueuedRequestsWithAHeldPartAreCancelled(t *testing.T) {
	d := newDispatcher(&fleet{nextAct: script(hangs)}, 1)
	done := make(chan error, 1)
	go func() {
		_, err := d.Do(context.Background(), route(core.KindStream, false, 1), promptRequest(d))
		done <- err
	}()
	bad := core.NewPart("", "bad").Digest
	for !d.awaitsAnswer(bad) {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	d.CancelHeld(bad)
	assert.Assert(t, <-done != nil)
	assert.Assert(t, time.Since(began) < time.Second, "before its deadline")
}
