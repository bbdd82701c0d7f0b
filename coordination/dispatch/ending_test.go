package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
)

// waitingPlacer waits until the request ends.
type waitingPlacer struct{}

func (waitingPlacer) Place(ctx context.Context, _ PlacementKey) (string, time.Duration, error) {
	<-ctx.Done()
	return "", 0, core.ErrUnavailable
}

// Guards against requests that get no answer, or a false one, when their daemon ends while they wait: as not
// run only if they have not been sent.
func TestRequestsOfAnEndingDaemon(t *testing.T) {
	waits := func(err error) senderFunc {
		return func(ctx context.Context, _ *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
			<-ctx.Done()
			return nil, err
		}
	}
	notSent, lost := eris.Wrap(core.ErrNotSent, "dial"), eris.Wrap(core.ErrAnswerLost, "closed")
	f := &fleet{nextAct: script(stalls)}
	for _, tt := range []struct {
		name    string
		kind    core.RequestKind
		model   string
		sender  Sender
		cause   error
		status  int
		outcome core.Outcome
	}{
		{"a model that is being placed", core.KindSafe, "other", waits(lost), core.ErrEnding, http.StatusServiceUnavailable, core.OutcomeNotRun},
		{"a connection that is being made", core.KindUnsafe, "m", waits(notSent), core.ErrEnding, http.StatusServiceUnavailable, core.OutcomeNotRun},
		{"a plain answer that is awaited", core.KindUnsafe, "m", waits(lost), core.ErrEnding, http.StatusBadGateway, core.OutcomeMayHaveRun},
		{"a repeatable answer that is awaited", core.KindSafe, "m", waits(lost), core.ErrEnding, http.StatusBadGateway, core.OutcomeMayHaveRun},
		{"a stream whose first event is awaited", core.KindStream, "m", waits(lost), core.ErrEnding, http.StatusBadGateway, core.OutcomeMayHaveRun},
		{"a plain answer that has begun", core.KindUnsafe, "m", f, core.ErrEnding, http.StatusBadGateway, core.OutcomeMayHaveRun},
		{"its caller has gone", core.KindUnsafe, "m", waits(lost), nil, statusClientGone, core.OutcomeMayHaveRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(f, 2)
				d.sender, d.placer = tt.sender, waitingPlacer{}
				ctx, cancel := context.WithCancelCause(context.Background())
				time.AfterFunc(100*time.Millisecond, func() { cancel(tt.cause) })
				q := &core.Request{ID: "q", Model: tt.model, Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
				_, err := d.Do(ctx, route(tt.kind, false, 2), q)
				var re *core.RequestError
				assert.Assert(t, errors.As(err, &re), "%v", err)
				assert.Equal(t, re.Status, tt.status)
				assert.Equal(t, re.Outcome, tt.outcome)
				assert.Assert(t, time.Since(q.Arrived) < 200*time.Millisecond)
				assert.Equal(t, d.Running(), 0)
			})
		})
	}
}

// Guards against a forwarded request that is refused as not run when its daemon ends, although the other
// daemon may have run it.
func TestForwardedRequestOfAnEndingDaemon(t *testing.T) {
	for _, tt := range []struct {
		err    error
		status int
	}{{core.ErrAnswerLost, http.StatusBadGateway}, {core.ErrNotSent, http.StatusServiceUnavailable}} {
		d := newDispatcher(&fleet{nextAct: script()}, 2)
		ctx, cancel := context.WithCancelCause(context.Background())
		o := &otherDaemons{loads: load.New(d.clock), answers: []func() (*core.Reply, error){func() (*core.Reply, error) {
			cancel(core.ErrEnding)
			return failsWith(tt.err)()
		}}}
		WithHelpers("vm-1", o, func() bool { return true })(d)
		q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second}
		_, err := d.Do(ctx, route(core.KindUnsafe, false, 2), q)
		var re *core.RequestError
		assert.Assert(t, errors.As(err, &re), "%v", err)
		assert.Equal(t, re.Status, tt.status)
		assert.Equal(t, len(o.sent), 1)
	}
}
