package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// callerStats are the answers to the requests of a test, and how many sends each runner got.
type callerStats struct {
	served, refused int
	sends           map[string][]time.Time
	earliestRetry   time.Duration // since the refusal
}

// sendEvery sends a request every interval for a duration and checks that refusals are
// immediate and true.
func sendEvery(t *testing.T, d *Dispatcher, f *fleet, interval, duration time.Duration) callerStats {
	t.Helper()
	out := callerStats{sends: map[string][]time.Time{}, earliestRetry: time.Hour}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		before := len(f.sends)
		began := time.Now()
		q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: began, Timeout: time.Second}
		reply, err := d.Do(context.Background(), route(core.KindUnsafe, false, 2), q)
		for _, o := range f.sends[before:] {
			out.sends[o.Instance] = append(out.sends[o.Instance], began)
		}
		var re *core.RequestError
		if !errors.As(err, &re) {
			out.served++
			_ = reply.Body.Close()
			continue
		}
		out.refused++
		assert.Equal(t, re.Code, errBackoff.Error())
		assert.Equal(t, re.Outcome, core.OutcomeNotRun)
		assert.Assert(t, time.Since(began) == 0, "refused after %v", time.Since(began))
		out.earliestRetry = min(out.earliestRetry, re.Retry)
	}
	return out
}

// Guards against sending to a runner during the backoff that it has asked for, against refusing
// requests that other runners can serve, and against leaving a runner out after its backoff.
func TestBackoffsAreKept(t *testing.T) {
	const interval = 10 * time.Millisecond
	for _, tt := range []struct {
		name               string
		backedOff, runners int
		backoff            time.Duration
	}{
		{"one of four", 1, 4, 3 * time.Second},
		{"three of four", 3, 4, 3 * time.Second},
		{"all of four", 4, 4, 3 * time.Second},
		{"the only one", 1, 1, time.Second},
		{"a fraction", 1, 2, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: script(), backoffs: map[string]time.Duration{}}
				d := newDispatcher(f, tt.runners)
				for i := range tt.backedOff {
					f.backoffs[fmt.Sprint("r", i)] = tt.backoff
				}
				backoffs := 4
				got := sendEvery(t, d, f, interval, time.Duration(backoffs)*tt.backoff)
				for i := range tt.backedOff {
					sends := got.sends[fmt.Sprint("r", i)]
					assert.Assert(t, len(sends) > 0 && len(sends) <= backoffs, "%d sends in %d backoffs", len(sends), backoffs)
					for k := 1; k < len(sends); k++ {
						assert.Assert(t, sends[k].Sub(sends[k-1]) >= tt.backoff, "%v apart", sends[k].Sub(sends[k-1]))
					}
				}
				if tt.backedOff < tt.runners {
					assert.Equal(t, got.refused, 0)
					return
				}
				assert.Equal(t, got.served, 0)
				assert.Assert(t, got.earliestRetry >= interval, "%v", got.earliestRetry)
				clear(f.backoffs)
				time.Sleep(tt.backoff)
				got = sendEvery(t, d, f, interval, time.Second)
				assert.Equal(t, got.refused, 0, "refused after the end of the backoff")
				for i := range tt.backedOff {
					assert.Assert(t, len(got.sends[fmt.Sprint("r", i)]) > 0, "r%d gets no requests", i)
				}
			})
		})
	}
}

// Guards against callers that are sent back before a backoff ends, and against less urgent ones
// that return before more urgent ones.
func TestRefusalsDuringABackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{nextAct: script(), backoffs: map[string]time.Duration{"r0": 3 * time.Second, "r1": 2 * time.Second}}
		d := newDispatcher(f, 2)
		var retries [2][]time.Duration
		for range 100 {
			for rank := range retries {
				r := route(core.KindUnsafe, false, 2)
				r.Priority = rank
				_, _, err := call(d, r)
				re := core.AsRequestError(err)
				assert.Equal(t, re.Outcome, core.OutcomeNotRun)
				assert.Assert(t, re.Retry >= 2*time.Second && re.Retry < 3*time.Second, "%v", re.Retry)
				retries[rank] = append(retries[rank], re.Retry)
			}
		}
		assert.Assert(t, slices.Max(retries[0]) <= slices.Min(retries[1]))
		assert.Assert(t, slices.Max(retries[0]) > slices.Min(retries[0]), "callers return at the same time")
	})
}

// Guards against requests that were delayed, or were about to be sent, when their runner asked
// for a backoff.
func TestBackoffBeginsWhileARequestWaits(t *testing.T) {
	asked := core.ReplyInfo{Backoff: core.Backoff{Announced: true, Duration: time.Second}}
	t.Run("delayed by pacing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{nextAct: script()}
			d := newPacedDispatcher(f, 2)
			for _, id := range []string{"r0", "r1"} {
				time.AfterFunc(5*time.Millisecond, func() {
					d.available.ObserveAnswer(&d.catalog.Runner(id).Runner, asked)
				})
			}
			_, _, err := callWith(d, route(core.KindStream, false, 1), 1000)
			assert.Equal(t, core.AsRequestError(err).Code, errBackoff.Error())
			assert.Equal(t, len(f.sends), 0)
		})
	})
	t.Run("about to be sent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{nextAct: script()}
			d := newDispatcher(f, 2)
			d.guard = leavingGuard{permit: func() {
				d.available.ObserveAnswer(&d.catalog.Runner("r0").Runner, asked)
			}}
			_, _, err := call(d, route(core.KindSafe, false, 1))
			assert.NilError(t, err)
			assert.DeepEqual(t, f.runs, []string{"r1"})
		})
	})
}

// Guards against a broken stream whose caller waits for a backoff that ends too late, and against
// one that is given up although the backoff ends in time.
func TestBrokenStreamAndBackoff(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backoff time.Duration
		resumed bool
	}{{"ends too late", 10 * time.Second, false}, {"ends in time", time.Second, true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: func(id string) act {
					if id == "r0" {
						return breaksOff
					}
					return serves
				}}
				d := newDispatcher(f, 2)
				d.available.ObserveAnswer(&d.catalog.Runner("r1").Runner, core.ReplyInfo{Backoff: core.Backoff{Announced: true, Duration: tt.backoff}})
				r := route(core.KindStream, true, 2)
				r.Timeout = 5 * time.Second
				began := time.Now()
				_, body, err := call(d, r)
				if tt.resumed {
					assert.NilError(t, err)
					assert.Equal(t, body, eventText("", eventCount))
					return
				}
				assert.Assert(t, err != nil)
				assert.Assert(t, time.Since(began) < 100*time.Millisecond, "given up after %v", time.Since(began))
			})
		})
	}
}
