package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"primroseward/coordination/load"
	"primroseward/coordination/retry"
	"primroseward/core"
)

// TestRejectionsElsewhereArePaid guards against repeats beyond the budget: a broken stream that runners reject at
// one daemon, whatever that one then refuses it for, was sent to the next daemon without a retry.
func TestRejectionsElsewhereArePaid(t *testing.T) {
	for _, tt := range []struct {
		name    string
		retries float64
		code    string
		arrived bool
		sends   int
	}{
		{"a retry is left", 2, errRejected.Error(), true, 3},
		{"none is left", 1, errRejected.Error(), true, 2},
		{"none is left, a daemon that does not state it", 1, errRejected.Error(), false, 2},
		{"none is left, nothing arrived", 1, errFull.Error(), false, 3},
		{"a retry is left, then no other runner is", 2, errExhausted.Error(), true, 3},
		{"none is left, then no other runner is", 1, errExhausted.Error(), true, 2},
		{"none is left, no other runner is, nothing arrived", 1, errExhausted.Error(), false, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(&fleet{}, 2)
				d.budget = savedRetries(tt.retries)
				refusal := core.NotRun(http.StatusServiceUnavailable, tt.code, "m", time.Second)
				refusal.Arrived = tt.arrived
				o := &otherDaemons{loads: load.New(d.clock), answers: []func() (*core.Reply, error){
					func() (*core.Reply, error) {
						return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1, Origin: &core.Origin{Service: "s"}}, eventText("", 3), core.ErrAnswerLost), nil
					},
					refuses(refusal),
				}}
				WithHelpers("vm-1", o, func() bool { return true })(d)
				_, body, err := call(d, route(core.KindStream, true, 3))
				assert.Check(t, cmp.Equal(len(o.sent), tt.sends))
				assert.Equal(t, err == nil && body == eventText("", eventCount), tt.sends == 3, "%q %v", body, err)
			})
		})
	}
}

// TestRequestOfACallerThatHasGoneIsNotSent guards against runs for nobody: a daemon that stood still reads requests whose
// connections have been closed meanwhile.
func TestRequestOfACallerThatHasGoneIsNotSent(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: script()}
				d := newDispatcher(f, 1)
				q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Second, Gone: func() bool { return gone }}
				reply, err := d.Do(t.Context(), route(core.KindSafe, false, 2), q)
				assert.Equal(t, len(f.sends) == 0, gone)
				if err == nil {
					_ = reply.Body.Close()
				}
				assert.Equal(t, err != nil, gone)
			})
		})
	}
}

// TestRepeatsThatMayStillArriveAreKept guards against repeats beyond the budget: those that a silent receiver has not read
// yet were forgotten as soon as they were sent.
func TestRepeatsThatMayStillArriveAreKept(t *testing.T) {
	errBegun := fmt.Errorf("%w: slow", core.ErrAnswerLost)
	hear := func(d *Dispatcher, r core.Runner) { d.loads.RecordActivity(r.ID) }
	for _, tt := range []struct {
		name  string
		sent  error // the outcome of the repeat
		after time.Duration
		then  func(d *Dispatcher, r core.Runner)
		late  int // repeats that may still arrive
	}{
		{"nothing is heard of the runner", core.ErrAnswerLost, time.Minute, func(*Dispatcher, core.Runner) {}, 1},
		{"it sends something that it may have sent before", core.ErrAnswerLost, readWithin - 1, hear, 1},
		{"it sends something later", core.ErrAnswerLost, readWithin, hear, 0},
		{"it has been started again", core.ErrAnswerLost, 0, func(d *Dispatcher, r core.Runner) {
			r.StartedAt = d.clock.Now()
			d.catalog.Put(r, d.clock.Now())
		}, 0},
		{"it answers other daemons, not this one", core.ErrAnswerLost, sentWithin, func(d *Dispatcher, r core.Runner) { d.loads.SetUnanswering(r.ID) }, 0},
		{"the same, what was sent may be under way", core.ErrAnswerLost, sentWithin - 1, func(d *Dispatcher, r core.Runner) { d.loads.SetUnanswering(r.ID) }, 1},
		{"it has closed the connection", core.ErrClosed, 0, func(*Dispatcher, core.Runner) {}, 0},
		{"it has sent a part of the answer", errBegun, 0, func(*Dispatcher, core.Runner) {}, 0},
		{"nothing was sent", core.ErrNotSent, 0, func(*Dispatcher, core.Runner) {}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(&fleet{}, 2)
				var receivers []core.Runner
				d.sender = senderFunc(func(_ context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
					receivers = append(receivers, *r)
					if tt.sent == errBegun {
						o.Began()
					}
					if len(receivers) > 1 {
						return nil, tt.sent
					}
					return answer(http.StatusInternalServerError, core.ReplyInfo{Stamped: true}, "failed", nil), nil
				})
				_, _, _ = call(d, route(core.KindSafe, false, 2))
				time.Sleep(tt.after)
				tt.then(d, receivers[1])
				_, state := d.budget.Take("s")
				assert.Equal(t, state.Late, tt.late)
			})
		})
	}
}

// TestRepeatsWaitForEachOther guards against streams that are cut although a retry is left for each: many break at once, and
// only one repeat may be under way.
func TestRepeatsWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 12
		d := newDispatcher(&fleet{}, 4)
		d.budget = retry.New(d.clock, func() retry.Limits { return retry.Limits{Window: 10 * time.Second, Ratio: 1, Slack: 1} }, func() int { return 300 })
		time.Sleep(time.Minute)
		for range 10 * streams {
			d.budget.CountRequest("s")
		}
		d.sender = senderFunc(func(_ context.Context, _ *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
			time.Sleep(5 * time.Millisecond)
			if o.LastEvent == "" {
				return answer(http.StatusOK, core.ReplyInfo{Stamped: true}, eventText("", 3), core.ErrAnswerLost), nil
			}
			return answer(http.StatusOK, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil), nil
		})
		var whole atomic.Int64
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				if _, body, err := call(d, route(core.KindStream, true, 2)); err == nil && body == eventText("", eventCount) {
					whole.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, whole.Load(), int64(streams))
	})
}

// TestUnusedRetriesAreGivenBack guards against retries that are taken and never sent, and are lost to the requests after.
func TestUnusedRetriesAreGivenBack(t *testing.T) {
	for _, tt := range []struct {
		name string
		act  act // of the runner that does not answer this daemon at first
		kind core.RequestKind
	}{
		{"it answers", serves, core.KindSafe},
		{"a stream that ends", serves, core.KindStream},
		{"it fails, and the route allows no further run", fails, core.KindSafe},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(&fleet{nextAct: script(tt.act, tt.act, tt.act)}, 1)
				d.budget = savedRetries(1)
				for range 3 {
					d.loads.SetUnanswering("r0")
					time.Sleep(time.Second)
					_, _, _ = call(d, route(tt.kind, true, 2))
					d.loads.ClearUnanswering("r0")
				}
				first, _ := d.budget.Take("s")
				assert.Assert(t, first != nil)
				second, _ := d.budget.Take("s")
				assert.Assert(t, second == nil)
			})
		})
	}
}
