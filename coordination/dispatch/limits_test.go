package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// A limited runner must not be chosen by requests that other runners can serve, even if it
// has fewer requests in progress. If all runners are limited, refusals must name this cause and
// say when to retry.
func TestLimitedRunnersAreReserved(t *testing.T) {
	const rate, requests = 2, 100 // over ten seconds
	for _, tt := range []struct {
		name      string
		limited   []string
		runners   int
		served    [2]int // least and most
		atLimited [2]int // least and most runs at limited runners
	}{
		{"one of three", []string{"r0"}, 3, [2]int{requests, requests}, [2]int{2, 10 * rate}},
		{"the only one", []string{"r0"}, 1, [2]int{8 * rate, 10*rate + 3}, [2]int{8 * rate, 10*rate + 3}},
		{"all of two", []string{"r0", "r1"}, 2, [2]int{2 * 8 * rate, 2 * (10*rate + 3)}, [2]int{2 * 8 * rate, 2 * (10*rate + 3)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: script(), limits: map[string]core.RateLimit{}}
				d := newDispatcher(f, tt.runners)
				d.limits.UpdatePeers(1, 1, nil)
				for _, r := range tt.limited {
					f.limits[r] = core.RateLimit{Announced: true, Rate: rate}
					d.limits.ObserveAnswer(r, core.ReplyInfo{Limit: f.limits[r]})
				}
				served := 0
				for range requests {
					q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Second}
					began := time.Now()
					reply, err := d.Do(context.Background(), route(core.KindSafe, false, 2), q)
					var re *core.RequestError
					if errors.As(err, &re) {
						assert.Equal(t, re.Code, core.CodeLimited)
						assert.Equal(t, re.Outcome, core.OutcomeNotRun)
						assert.Assert(t, re.Retry > 0 && time.Since(began) == 0, "after %v, retry %v", time.Since(began), re.Retry)
					} else {
						served++
						_ = reply.Body.Close()
					}
					time.Sleep(100 * time.Millisecond)
				}
				atLimited := 0
				for _, r := range f.runs {
					if f.limits[r].Announced {
						atLimited++
					}
				}
				assert.Assert(t, served >= tt.served[0] && served <= tt.served[1], "%d served", served)
				assert.Assert(t, atLimited >= tt.atLimited[0] && atLimited <= tt.atLimited[1], "%d at limited runners", atLimited)
			})
		})
	}
}

// What is taken from a limit for a send that is not made or does not arrive must be available
// to other requests again.
func TestUnusedLimitIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{nextAct: func(string) act { return unreachable }, limits: map[string]core.RateLimit{}}
		d := newDispatcher(f, 1)
		d.limits.UpdatePeers(1, 1, nil)
		d.limits.ObserveAnswer("r0", core.ReplyInfo{Limit: core.RateLimit{Announced: true, Rate: 2}})
		time.Sleep(10 * time.Second) // the bucket is full
		before := d.limits.States()[0].Left
		_, _, err := call(d, route(core.KindSafe, false, 2))
		assert.Assert(t, err != nil)
		assert.Equal(t, d.limits.States()[0].Left, before)
	})
}
