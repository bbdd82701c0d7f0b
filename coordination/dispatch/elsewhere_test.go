package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
)

// pausingAnswer returns an answer with a pause between two parts.
func pausingAnswer(ctx context.Context, head, rest string, pause time.Duration, info core.ReplyInfo) *core.Reply {
	info.Stamped = true
	return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: info, Body: io.NopCloser(io.MultiReader(strings.NewReader(head), &delayedReader{ctx: ctx, text: rest, pause: pause}))}
}

// waitOpen waits while the connection of a send is open.
func waitOpen(ctx context.Context, d time.Duration) error {
	core.Sleep(ctx, clockwork.NewRealClock(), d)
	if ctx.Err() != nil {
		return eris.Wrap(core.ErrAnswerLost, "closed")
	}
	return nil
}

// sendRecorder records sends, and how many are open at once at each runner.
type sendRecorder struct {
	mu   sync.Mutex
	sent []string
	open map[string]int
	max  map[string]int
}

func (r *sendRecorder) add(ctx context.Context, id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open, r.max = map[string]int{}, map[string]int{}
	}
	r.sent = append(r.sent, id)
	r.open[id]++
	r.max[id] = max(r.max[id], r.open[id])
	context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.open[id]--
	})
	return len(r.sent)
}

// TestSilentRunnersGetARequestOnce guards against a runner that gets a request a second time while it still
// has it, as the next one is silent too.
func TestSilentRunnersGetARequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 2)
		d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
			rec.add(ctx, r.ID)
			<-ctx.Done()
			return nil, eris.Wrap(core.ErrAnswerLost, "closed")
		})
		rt := route(core.KindStream, true, 3)
		rt.Timeout = 6 * time.Second
		_, _, _ = call(d, rt)
		for id, n := range rec.max {
			assert.Check(t, n <= 1, "%s has %d at once", id, n)
		}
	})
}

// TestFailureOfSilentRunnerWaitsForTheOther guards against the failure of a silent runner that is passed on although another one is about to
// answer.
func TestFailureOfSilentRunnerWaitsForTheOther(t *testing.T) {
	for _, tt := range []struct {
		name string
		a    *core.Reply
	}{
		{"500", answer(500, core.ReplyInfo{Stamped: true}, "failed", nil)},
		{"not run", answer(503, core.ReplyInfo{NotRun: true}, "", nil)},
		{"unsigned", answer(200, core.ReplyInfo{}, "x", nil)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rec := &sendRecorder{}
				d := newDispatcher(&fleet{}, 3)
				d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
					if rec.add(ctx, r.ID) == 1 {
						if err := waitOpen(ctx, minStall+20*time.Millisecond); err != nil {
							return nil, err
						}
						return tt.a, nil
					}
					if err := waitOpen(ctx, 150*time.Millisecond); err != nil {
						return nil, err
					}
					return answer(200, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil), nil
				})
				_, body, err := call(d, route(core.KindStream, true, 2))
				assert.Check(t, err == nil)
				assert.Check(t, len(rec.sent) <= 2, "%v", rec.sent)
				assert.Equal(t, body, eventText("", eventCount))
			})
		})
	}
}

// TestWithdrawnForwardCounts guards against more runs than the route allows, as one at another daemon that was withdrawn is not counted.
func TestWithdrawnForwardCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 3)
		began := time.Now()
		d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
			if rec.add(ctx, r.ID) == 1 {
				r := pausingAnswer(ctx, eventText("", 2), "id: 3\ndata: piece 3\n\nid: 4\nda", 800*time.Millisecond, core.ReplyInfo{})
				return r, nil
			}
			return answer(200, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil), nil
		})
		h := &slowDaemons{otherDaemons: otherDaemons{loads: load.New(d.clock)}, rec: rec}
		WithHelpers("vm-1", h, func() bool { e := time.Since(began); return e > 0 && e < 820*time.Millisecond })(d)
		_, _, _ = call(d, route(core.KindStream, true, 2))
		assert.Check(t, len(rec.sent) <= 2, "max attempts 2, runs at %v", rec.sent)
	})
}

// slowDaemons never answer.
type slowDaemons struct {
	otherDaemons
	rec *sendRecorder
}

func (s *slowDaemons) Send(ctx context.Context, r *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
	s.rec.add(ctx, "run by "+r.ID)
	<-ctx.Done()
	return nil, eris.Wrap(core.ErrAnswerLost, "closed")
}

// TestFailedDialsBesideSilentRunner guards against a broken stream that is given up because of runners that were not reached before, while
// its runner was silent.
func TestFailedDialsBesideSilentRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 5)
		began := time.Now()
		d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
			if rec.add(ctx, r.ID) == 1 {
				return pausingAnswer(ctx, eventText("", 2), "id: 3\ndata: piece 3\n\nid: 4\nda", 1900*time.Millisecond, core.ReplyInfo{}), nil
			}
			if time.Since(began) < 1890*time.Millisecond {
				return nil, eris.Wrap(core.ErrNotSent, "dial")
			}
			return answer(200, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil), nil
		})
		rt := route(core.KindStream, true, 3)
		rt.Timeout = 10 * time.Second
		_, body, err := call(d, rt)
		assert.NilError(t, err)
		assert.Equal(t, body, eventText("", eventCount))
	})
}

// TestStreamOfUnknownOriginIsNotReplaced guards against events of two software versions in a stream whose helper did not state its own and is
// silent.
func TestStreamOfUnknownOriginIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 3)
		og := &origins{findErr: core.ErrOriginUnknown}
		WithOrigins(og)(d)
		d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
			rec.add(ctx, r.ID)
			return answer(200, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil), nil
		})
		began := time.Now()
		h := &originless{otherDaemons: otherDaemons{loads: load.New(d.clock)}, rec: rec}
		WithHelpers("vm-1", h, func() bool { return time.Since(began) == 0 })(d)
		_, _, err := call(d, route(core.KindStream, true, 3))
		assert.Check(t, !(err == nil && len(rec.sent) > 1), "went on at %v without its version being known", rec.sent)
	})
}

// originless daemons do not state where a stream began, and are silent in the middle of it.
type originless struct {
	otherDaemons
	rec *sendRecorder
}

func (s *originless) Send(ctx context.Context, r *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
	s.rec.add(ctx, "run by "+r.ID)
	return pausingAnswer(ctx, eventText("", 2), strings.TrimPrefix(eventText("", eventCount), eventText("", 2)), 10*time.Second, core.ReplyInfo{Runs: 1}), nil
}

// TestReplacementAfterResumeKeepsTheVersion guards against events of two software versions in a resumed stream whose next runner is silent.
func TestReplacementAfterResumeKeepsTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 3)
		d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
			switch rec.add(ctx, r.ID) {
			case 1:
				return answer(200, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, 3)+"id: 4\nda", io.ErrUnexpectedEOF), nil
			case 2:
				return pausingAnswer(ctx, "", eventText(o.LastEvent, eventCount), 3*time.Second, core.ReplyInfo{}), nil
			}
			e := *r
			e.Version, e.StartedAt = "v2", d.clock.Now()
			d.catalog.Put(e, d.clock.Now())
			return answer(200, core.ReplyInfo{Stamped: true}, strings.ReplaceAll(eventText(o.LastEvent, eventCount), "piece", "v2 piece"), nil), nil
		})
		rt := route(core.KindStream, true, 3)
		_, body, _ := call(d, rt)
		assert.Check(t, !strings.Contains(body, "v2"), "events of two versions: %q", body)
	})
}

// TestRunsOfHelperBesideAnother guards against runs that are not counted where another daemon was asked beside the one that serves.
func TestRunsOfHelperBesideAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 3)
		h := &countingDaemons{otherDaemons: otherDaemons{loads: load.New(d.clock)}, rec: rec}
		WithHelpers("vm-1", h, func() bool { return true })(d)
		rt := route(core.KindStream, true, 4)
		rt.Timeout = 6 * time.Second
		reply, err := d.Do(context.Background(), rt, &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second})
		if err == nil {
			assert.Check(t, reply.Info.Runs >= 3, "3 runs were made (2 at vm-2, 1 at vm-3), %d stated", reply.Info.Runs)
			_ = reply.Body.Close()
		}
	})
}

// countingDaemons state runs: the first answers late, the others lose the request.
type countingDaemons struct {
	otherDaemons
	rec *sendRecorder
}

func (s *countingDaemons) Send(ctx context.Context, r *core.Runner, _ *core.Request, out core.Outgoing) (*core.Reply, error) {
	if s.rec.add(ctx, r.ID) > 1 {
		return nil, &core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: 502, Code: "answer_lost", Runs: out.Forward.Runs + 1}
	}
	if err := waitOpen(ctx, 940*time.Millisecond); err != nil {
		return nil, err
	}
	return answer(200, core.ReplyInfo{Stamped: true, Runs: 2, Origin: &core.Origin{Service: "s"}}, eventText(out.LastEvent, eventCount), nil), nil
}

// TestKeyTakenAwayWhileRunnerIsSilent guards against a request that is passed on to another daemon after its key was taken away.
func TestKeyTakenAwayWhileRunnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := &sendRecorder{}
		d := newDispatcher(&fleet{}, 1)
		set := func(v uint64, name string) {
			config := &core.Config{Version: v, Services: map[string]*core.Service{"s": {Name: "s"}}, Workspaces: []*core.Workspace{{Name: name, Keys: []core.KeyID{callerKey}, Unit: core.UnitTokens, Rate: 1}}}
			if name == "" {
				config.Workspaces = []*core.Workspace{{Name: "other"}}
			}
			config.Index()
			d.catalog.SetConfig(config)
		}
		set(2, "w")
		began := time.Now()
		d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
			rec.add(ctx, r.ID)
			set(3, "")
			return pausingAnswer(ctx, eventText("", 2), "id: 3\ndata: piece 3\n\n", 1500*time.Millisecond, core.ReplyInfo{}), nil
		})
		o := &otherDaemons{loads: load.New(d.clock)}
		WithHelpers("vm-1", o, func() bool { return time.Since(began) > 0 })(d)
		rt := route(core.KindStream, true, 2)
		q := &core.Request{ID: "q", Model: "m", Key: callerKey, Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second, Workspace: d.catalog.Config().Workspaces[0]}
		reply, err := d.Do(context.Background(), rt, q)
		assert.NilError(t, err)
		_, err = readAll(reply)
		j := &job{d: d, q: q, route: rt, log: d.log}
		now := j.authorize()
		assert.Check(t, now == nil || len(o.sent) == 0, "passed on %d times", len(o.sent))
	})
}

// TestNothingIsLeftOfAnAttemptElsewhere guards against sends, load and counts that stay of a request whose caller leaves, or whose time is
// up, while it is also sent elsewhere.
func TestNothingIsLeftOfAnAttemptElsewhere(t *testing.T) {
	for _, leave := range []time.Duration{0, minStall + 10*time.Millisecond, minStall + 3*time.Millisecond} {
		for _, attempts := range []int{2, 3} {
			synctest.Test(t, func(t *testing.T) {
				rec := &sendRecorder{}
				d := newDispatcher(&fleet{}, 3)
				d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
					if n := rec.add(ctx, r.ID); n == 1 {
						return pausingAnswer(ctx, eventText("", 2), "", 10*time.Second, core.ReplyInfo{}), nil
					}
					<-ctx.Done()
					return nil, eris.Wrap(core.ErrAnswerLost, "closed")
				})
				ctx, cancel := context.WithCancel(context.Background())
				if leave > 0 {
					time.AfterFunc(leave, cancel)
				}
				q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
				reply, err := d.Do(ctx, route(core.KindStream, true, attempts), q)
				if err == nil {
					_, err = readAll(reply)
				}
				cancel()
				synctest.Wait()
				for id, n := range rec.open {
					assert.Check(t, n == 0, id)
					assert.Check(t, d.loads.View(id).Requests == 0, id)
				}
				assert.Check(t, d.Running() == 0)
				assert.Check(t, len(d.byRunner.cancels) == 0)
				assert.Check(t, len(d.unanswered.cancels) == 0)
			})
		}
	}
}
