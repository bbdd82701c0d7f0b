package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
)

// TestRejectionsElsewhereArePaid guards against repeats beyond the budget: a broken stream that runners reject at
// one daemon without a retry left was sent to the next daemon without one.
func TestRejectionsElsewhereArePaid(t *testing.T) {
	for _, tt := range []struct {
		name    string
		retries float64
		code    string
		sends   int
	}{
		{"a retry is left", 2, errRejected.Error(), 3},
		{"none is left", 1, errRejected.Error(), 2},
		{"none is left, nothing arrived", 1, errFull.Error(), 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(&fleet{}, 2)
				d.budget = savedRetries(tt.retries)
				o := &otherDaemons{loads: load.New(d.clock), answers: []func() (*core.Reply, error){
					func() (*core.Reply, error) {
						return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1, Origin: &core.Origin{Service: "s"}}, eventText("", 3), core.ErrAnswerLost), nil
					},
					refuses(core.NotRun(http.StatusServiceUnavailable, tt.code, "m", time.Second)),
				}}
				WithHelpers("vm-1", o, func() bool { return true })(d)
				_, body, err := call(d, route(core.KindStream, true, 3))
				assert.Equal(t, len(o.sent), tt.sends)
				assert.Equal(t, err == nil && body == eventText("", eventCount), tt.sends == 3, "%q %v", body, err)
			})
		})
	}
}

// TestRetriesAreSentSoonAfterTheyAreTaken guards against repeats beyond the budget: retries that requests took long
// before, to find out whether a runner answers, and that are all sent as it fails.
func TestRetriesAreSentSoonAfterTheyAreTaken(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration // until the stream breaks
		sends int
	}{
		{"at once", 100 * time.Millisecond, 2},
		{"later", 800 * time.Millisecond, 2},
		{"much later", 2500 * time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{}
				d := newDispatcher(f, 1)
				d.budget = savedRetries(1)
				d.loads.SetUnanswering("r0")
				time.Sleep(time.Second)
				sends := 0
				d.sender = senderFunc(func(ctx context.Context, r *core.Runner, _ *core.Request, o core.Outgoing) (*core.Reply, error) {
					if sends++; sends > 1 {
						return answer(http.StatusOK, core.ReplyInfo{Stamped: true}, eventText(o.LastEvent, eventCount), nil), nil
					}
					e := *r
					e.ID = "r1"
					d.catalog.Put(e, d.clock.Now())
					go d.keepActive(ctx, r.ID)
					return pausingAnswer(ctx, eventText("", 2), "id: 3\nda", tt.after, core.ReplyInfo{}), nil
				})
				rt := route(core.KindStream, true, 2)
				rt.Timeout = 6 * time.Second
				_, _, _ = call(d, rt)
				assert.Equal(t, sends, tt.sends)
			})
		})
	}
}

// keepActive makes a runner look as if it sent something on other connections.
func (d *Dispatcher) keepActive(ctx context.Context, runner string) {
	for ctx.Err() == nil {
		d.loads.RecordActivity(runner)
		core.Sleep(ctx, d.clock, 50*time.Millisecond)
	}
}
