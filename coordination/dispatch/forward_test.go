package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
)

// otherDaemons are two daemons that requests are forwarded to. answers gives their answers in turn;
// after the last one they serve.
type otherDaemons struct {
	loads   *load.Table
	answers []func() (*core.Reply, error)
	sent    []core.Outgoing
}

func (o *otherDaemons) Names() []string    { return []string{"vm-2", "vm-3"} }
func (o *otherDaemons) Loads() *load.Table { return o.loads }

func (o *otherDaemons) RecordUnreached(string, []core.Code) {}

func (o *otherDaemons) Choose(exclude map[string]bool, _ []core.Code) *core.Runner {
	for _, name := range o.Names() {
		if !exclude[name] {
			return &core.Runner{ID: name}
		}
	}
	return nil
}

func (o *otherDaemons) Send(_ context.Context, _ *core.Runner, _ *core.Request, out core.Outgoing) (*core.Reply, error) {
	o.sent = append(o.sent, out)
	if len(o.answers) == 0 {
		return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1, Origin: &core.Origin{Service: "s"}}, eventText(out.LastEvent, eventCount), nil), nil
	}
	next := o.answers[0]
	o.answers = o.answers[1:]
	return next()
}

func refuses(e *core.RequestError) func() (*core.Reply, error) {
	return func() (*core.Reply, error) { return nil, e }
}

func failsWith(err error) func() (*core.Reply, error) {
	return func() (*core.Reply, error) { return nil, eris.Wrap(err, "hop") }
}

// Guards against a forwarded request that runs twice, is refused as not run although it may have run,
// or is given up while another daemon could serve it.
func TestForwardedRequests(t *testing.T) {
	notRun := func(code string) func() (*core.Reply, error) {
		return refuses(core.NotRun(http.StatusServiceUnavailable, code, "m", time.Second))
	}
	mayHaveRun := refuses(&core.RequestError{Outcome: core.OutcomeMayHaveRun, Status: http.StatusBadGateway, Code: "answer_lost", Runs: 1})
	breaksOff := func() (*core.Reply, error) {
		return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1, Origin: &core.Origin{Service: "s"}}, eventText("", 3)+"id: 4\nda", core.ErrAnswerLost), nil
	}
	for _, tt := range []struct {
		name    string
		kind    core.RequestKind
		answers []func() (*core.Reply, error)
		code    string // of the final refusal; empty: served
		outcome core.Outcome
		sends   int
	}{
		{"served", core.KindUnsafe, nil, "", "", 1},
		{"the other daemon can't be reached", core.KindUnsafe, []func() (*core.Reply, error){failsWith(core.ErrNotSent)}, "", "", 2},
		{"the hop of an unsafe request breaks off", core.KindUnsafe, []func() (*core.Reply, error){failsWith(core.ErrAnswerLost)}, "answer_lost", core.OutcomeMayHaveRun, 1},
		{"the hop of a safe request breaks off", core.KindSafe, []func() (*core.Reply, error){failsWith(core.ErrAnswerLost)}, "", "", 2},
		{"the hop of a stream breaks off", core.KindStream, []func() (*core.Reply, error){breaksOff}, "", "", 2},
		{"an unsafe request may have run", core.KindUnsafe, []func() (*core.Reply, error){mayHaveRun}, "answer_lost", core.OutcomeMayHaveRun, 1},
		{"a safe request may have run", core.KindSafe, []func() (*core.Reply, error){mayHaveRun}, "", "", 2},
		{"no path there either", core.KindUnsafe, []func() (*core.Reply, error){notRun(core.CodePath)}, "", "", 2},
		{"no room for the body there", core.KindUnsafe, []func() (*core.Reply, error){notRun(core.CodeOverloaded)}, "", "", 2},
		{"that daemon ends", core.KindUnsafe, []func() (*core.Reply, error){notRun(core.CodeLeaving)}, "", "", 2},
		{"full there", core.KindUnsafe, []func() (*core.Reply, error){notRun("full")}, "full", core.OutcomeNotRun, 1},
		{"may have run, then full", core.KindSafe, []func() (*core.Reply, error){mayHaveRun, notRun("full")}, "full", core.OutcomeMayHaveRun, 2},
	} {
		f := &fleet{nextAct: func(string) act { return noListener }}
		d := newDispatcher(f, 2)
		o := &otherDaemons{loads: load.New(clockwork.NewRealClock()), answers: tt.answers}
		WithHelpers("vm-1", o, func() bool { return true })(d)
		status, body, err := call(d, route(tt.kind, true, 2))
		assert.Equal(t, len(o.sent), tt.sends, tt.name)
		assert.Equal(t, len(f.sends), 0, "%s: sent without a path", tt.name)
		if tt.code == "" {
			assert.NilError(t, err, tt.name)
			assert.Equal(t, body, eventText("", eventCount), tt.name)
			assert.Equal(t, status, http.StatusOK, tt.name)
			continue
		}
		var re *core.RequestError
		assert.Assert(t, errors.As(err, &re), tt.name)
		assert.Equal(t, re.Code, tt.code, tt.name)
		assert.Equal(t, re.Outcome, tt.outcome, tt.name)
		for i, out := range o.sent {
			assert.Equal(t, out.Forward.From, "vm-1")
			assert.Equal(t, out.Forward.Attempts, 1, tt.name)
			assert.Equal(t, out.Forward.Runs, i, tt.name)
		}
	}
}

// Guards against a request that is passed on a second time, and against a daemon without a path that
// keeps a forwarded request instead of refusing it at once.
func TestForwardedRequestIsNotPassedOn(t *testing.T) {
	f := &fleet{nextAct: func(string) act { return noListener }}
	d := newDispatcher(f, 2)
	o := &otherDaemons{loads: load.New(clockwork.NewRealClock())}
	lost := true
	WithHelpers("vm-2", o, func() bool { return lost })(d)
	do := func() *core.RequestError {
		q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Second, Forward: &core.Forward{From: "vm-1", Runs: 1, Attempts: 1}}
		_, err := d.Do(context.Background(), route(core.KindSafe, false, 2), q)
		var re *core.RequestError
		assert.Assert(t, errors.As(err, &re))
		return re
	}
	re := do()
	assert.Equal(t, re.Code, core.CodePath)
	assert.Equal(t, re.Outcome, core.OutcomeMayHaveRun, "the other daemon's send may have run")
	assert.Equal(t, len(f.sends), 0)
	lost = false
	assert.Equal(t, do().Code, "exhausted")
	assert.Equal(t, len(o.sent), 0)
}

// Guards against a request that is refused as its only runner seems to have exited, although other
// daemons reach it, and against asking them again for each request once they do not.
func TestOtherDaemonsAreAskedForARunnerThatIsDown(t *testing.T) {
	f := &fleet{nextAct: func(string) act { return noListener }}
	d := newDispatcher(f, 1)
	o := &otherDaemons{loads: load.New(clockwork.NewRealClock())}
	WithHelpers("vm-1", o, func() bool { return false })(d)
	for range 3 {
		_, _, err := call(d, route(core.KindUnsafe, false, 1))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(f.sends), 2, "the first request, and one that probes the runner")
	assert.Equal(t, len(o.sent), 3)
	down := refuses(core.NotRun(http.StatusServiceUnavailable, "down", "m", time.Second))
	o.answers = []func() (*core.Reply, error){down, down}
	for range 3 {
		_, _, err := call(d, route(core.KindUnsafe, false, 1))
		assert.Equal(t, core.AsRequestError(err).Code, "down")
	}
	assert.Equal(t, len(o.sent), 5, "both daemons were asked once")
}
