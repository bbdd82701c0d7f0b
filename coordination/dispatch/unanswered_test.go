package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/coordination/reach"
	"primroseward/core"
)

// Guards against a request that waits until its deadline for a runner that does not answer this daemon,
// against new requests there, and against refusals while other daemons reach it.
func TestRunnerThatDoesNotAnswerThisDaemon(t *testing.T) {
	const noticed = 700 * time.Millisecond
	for _, tt := range []struct {
		name    string
		kind    core.RequestKind
		runners int
		before  time.Duration // from the discovery to the request; below 0: the request comes first
		slack   float64       // retries in the budget
		runs    []string
		forward int
		served  bool
		within  time.Duration
	}{
		{"a request in progress goes to another runner", core.KindSafe, 2, -noticed, 100, []string{"r0", "r1"}, 0, true, noticed + lostPathInterval},
		{"a request in progress goes to another daemon", core.KindSafe, 1, -noticed, 100, []string{"r0"}, 1, true, noticed + lostPathInterval},
		{"an unsafe request in progress stays", core.KindUnsafe, 2, -noticed, 100, []string{"r0"}, 0, false, 2 * time.Second},
		{"no retry is left", core.KindSafe, 2, -noticed, 0, []string{"r0"}, 0, false, 2 * time.Second},
		{"a new request goes to another runner", core.KindUnsafe, 2, 0, 100, []string{"r1"}, 0, true, 0},
		{"a new request goes to another daemon", core.KindUnsafe, 1, 0, 100, nil, 1, true, 0},
		{"a request finds out whether it answers", core.KindSafe, 1, time.Second, 100, []string{"r0"}, 1, true, unansweringSilence + lostPathInterval},
		{"not an unsafe one", core.KindUnsafe, 1, time.Second, 100, nil, 1, true, 0},
		{"not without a retry", core.KindSafe, 1, time.Second, 0, nil, 1, true, 0},
		{"in the end an unsafe one", core.KindUnsafe, 1, 8 * time.Second, 100, []string{"r0"}, 0, false, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{nextAct: func(runner string) act {
					if runner == "r0" {
						return hangs
					}
					return serves
				}}
				d := newDispatcher(f, tt.runners)
				d.budget = savedRetries(tt.slack)
				o := &otherDaemons{loads: load.New(d.clock)}
				WithHelpers("vm-1", o, func() bool { return false })(d)
				if tt.runners > 1 && tt.before < 0 {
					d.loads.RecordFailure("r1") // so that r0 is chosen first
				}
				if tt.before < 0 {
					time.AfterFunc(-tt.before, func() { d.loads.SetUnanswering("r0") })
				} else {
					d.loads.SetUnanswering("r0")
					time.Sleep(tt.before)
				}
				began := time.Now()
				_, _, err := call(d, route(tt.kind, false, 2))
				assert.Equal(t, err == nil, tt.served, "%v", err)
				assert.DeepEqual(t, f.runs, tt.runs)
				assert.Equal(t, len(o.sent), tt.forward)
				assert.Assert(t, time.Since(began) <= tt.within, "%v", time.Since(began))
			})
		})
	}
}

// answeredElsewhere is another daemon that all runners answer, or none.
type answeredElsewhere bool

func (a answeredElsewhere) AnsweredWithin(context.Context, string, time.Duration) reach.PeerView {
	if a {
		return reach.PeerView{Answers: "vm-2"}
	}
	return reach.PeerView{}
}

func (answeredElsewhere) HeardWithin(context.Context, []string, time.Duration) []load.Heard {
	return nil
}

// Guards against a daemon that goes on sending requests to runners without a check that reset its connections
// alone, against one that takes runners for unreachable that reset those of all daemons, and against one that
// does not use its path again.
func TestRunnersThatResetConnections(t *testing.T) {
	const lost, settle, interval = 3 * time.Second, time.Second, 20 * time.Millisecond
	for _, tt := range []struct {
		name      string
		elsewhere answeredElsewhere
	}{
		{"other daemons are answered", true},
		{"no daemon is answered", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, o, sends := newDispatcher(&fleet{}, 4), &otherDaemons{}, 0
				began := time.Now()
				d.sender = senderFunc(func(_ context.Context, r *core.Runner, _ *core.Request, out core.Outgoing) (*core.Reply, error) {
					if sends++; time.Since(began) < lost {
						return nil, fmt.Errorf("%w: %w", core.ErrAnswerLost, core.ErrClosed)
					}
					d.loads.RecordActivity(r.ID)
					return answer(http.StatusOK, core.ReplyInfo{Stamped: true}, eventText(out.LastEvent, eventCount), nil), nil
				})
				o.loads = load.New(d.clock)
				WithHelpers("vm-1", o, func() bool { return false })(d)
				m := reach.New(d.loads, nil, func() []reach.Target { return nil }, d.clock, zap.NewNop(), reach.WithPeers(tt.elsewhere))
				m.Start()
				defer m.Stop()
				send := func(duration time.Duration) (failed int) {
					for i := range int(duration / interval) {
						kind, before := []core.RequestKind{core.KindSafe, core.KindUnsafe}[i%2], sends+len(o.sent)
						if _, _, err := call(d, route(kind, false, 2)); err != nil {
							failed++
						}
						runs := sends + len(o.sent) - before
						assert.Assert(t, runs == 1 || runs == 2 && kind == core.KindSafe, "%d runs", runs)
						time.Sleep(interval)
					}
					return failed
				}
				send(settle)
				assert.Equal(t, send(lost-settle) == 0, bool(tt.elsewhere))
				send(2 * lost)
				forwarded := len(o.sent)
				assert.Equal(t, send(settle), 0)
				assert.Equal(t, len(o.sent), forwarded, "the path is used again")
			})
		})
	}
}
