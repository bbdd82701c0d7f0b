package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
)

// origins knows where streams began as scripted by a test.
type origins struct {
	refused map[core.Origin]bool // where streams may not begin
	known   map[core.StreamKey]core.Origin
	findErr error // for streams that are not known
	admits  int   // calls of Admit until all are admitted; 0: at once
	began   []core.Origin
	ended   int
}

func (o *origins) Admitted(at core.Origin) bool { return !o.refused[at] }

func (o *origins) Admit(_ context.Context, at core.Origin) bool {
	if o.admits--; o.admits <= 0 {
		delete(o.refused, at)
	}
	return !o.refused[at]
}

func (o *origins) Begin(k core.StreamKey, _ *core.Workspace, at core.Origin) func() {
	o.began = append(o.began, at)
	if o.known == nil {
		o.known = map[core.StreamKey]core.Origin{}
	}
	o.known[k] = at
	return func() { o.ended++ }
}

func (o *origins) Find(_ context.Context, k *core.StreamKey, _ string) (core.FoundOrigin, error) {
	if k != nil {
		if at, ok := o.known[*k]; ok {
			return core.FoundOrigin{Origin: at, Source: core.OriginOwn}, nil
		}
	}
	return core.FoundOrigin{}, o.findErr
}

// TestStreamsThatCallersTakeUp guards against a stream that goes on at another version or another service,
// that is refused although its version serves, or whose refusal does not say truly whether to come back.
func TestStreamsThatCallersTakeUp(t *testing.T) {
	first, second := core.Origin{Service: "s", Version: "v1"}, core.Origin{Service: "s", Version: "v2"}
	for _, tt := range []struct {
		name    string
		origin  core.Origin // of stream q0, if it is known
		findErr error
		resumes string
		forward *core.Forward
		prepare func(d *Dispatcher)
		runs    string // runner that runs it; empty: refused
		code    string
		retry   bool // says when to come back
	}{
		{"its version serves", first, nil, "q0", nil, nil, "r0", "", false},
		{"the other version began it", second, nil, "q0", nil, nil, "r1", "", false},
		{"not known", first, core.ErrOriginUnknown, "q7", nil, nil, "", codeOriginUnknown, false},
		{"could not be found out", first, core.ErrOriginUnanswered, "q7", nil, nil, "", codeOriginUnknown, true},
		{"the caller names no stream", first, core.ErrOriginUnknown, "", nil, nil, "", codeOriginUnknown, false},
		{"another service of the route began it", core.Origin{Service: "s2", Version: "v1"}, nil, "q0", nil, nil, "", "version_gone", false},
		{"its version has no runner", core.Origin{Service: "s", Version: "v9"}, nil, "q0", nil, nil, "", "version_gone", false},
		{"its last runner leaves", first, nil, "q0", nil, func(d *Dispatcher) {
			r := d.catalog.Runner("r0").Runner
			r.Draining = true
			d.catalog.Put(r, d.clock.Now())
		}, "", "version_gone", false},
		{"its last runner has another model", first, nil, "q0", nil, func(d *Dispatcher) {
			r := d.catalog.Runner("r0").Runner
			r.Holdings = []core.Holding{{Model: "other"}}
			d.catalog.Put(r, d.clock.Now())
		}, "", "absent", true},
		{"its last runner is full", first, nil, "q0", nil, func(d *Dispatcher) {
			for range plainFull {
				d.loads.Begin("r0")
			}
		}, "", "full", true},
		{"its last runner runs another version now", first, nil, "q0", nil, func(d *Dispatcher) { setVersions(d, "v3") }, "", "version_gone", false},
		{"another daemon states the origin", core.Origin{}, core.ErrOriginUnknown, "q0", &core.Forward{From: "vm-9", Attempts: 1, Origin: &second}, nil, "r1", "", false},
		{"another daemon does not know it", core.Origin{}, core.ErrOriginUnknown, "q7", &core.Forward{From: "vm-9", Attempts: 1}, nil, "", codeOriginUnknown, false},
	} {
		f := &fleet{nextAct: script()}
		d := newDispatcher(f, 2)
		setVersions(d, "v1", "v2")
		o := &origins{findErr: tt.findErr, known: map[core.StreamKey]core.Origin{core.StreamKeyOf(nil, "q0"): tt.origin}}
		if tt.findErr != nil && tt.origin == (core.Origin{}) {
			o.known = nil
		}
		WithOrigins(o)(d)
		if tt.prepare != nil {
			tt.prepare(d)
		}
		q := &core.Request{ID: "q1", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), LastEvent: "2", Resumes: tt.resumes, Forward: tt.forward}
		reply, err := d.Do(t.Context(), route(core.KindStream, true, 2), q)
		if tt.runs == "" {
			refusal := core.AsRequestError(err)
			assert.Equal(t, refusal.Code, tt.code, tt.name)
			assert.Equal(t, refusal.Status, http.StatusServiceUnavailable, tt.name)
			assert.Equal(t, refusal.Outcome, core.OutcomeNotRun, tt.name)
			assert.Equal(t, refusal.Retry > 0, tt.retry, tt.name)
			assert.Equal(t, len(f.runs), 0, tt.name)
			continue
		}
		assert.NilError(t, err, tt.name)
		_, err = readAll(reply)
		assert.NilError(t, err, tt.name)
		assert.DeepEqual(t, f.runs, []string{tt.runs})
		assert.Equal(t, o.ended, len(o.began), tt.name)
		assert.Equal(t, o.known[core.StreamKeyOf(nil, "q0")].Version, versionOf(d, tt.runs), tt.name)
	}
}

// TestStreamsBeginWhereVersionsAreAdmitted guards against a stream that begins at a version which other
// daemons do not know to exist, and against one that is refused while it could begin at another one.
func TestStreamsBeginWhereVersionsAreAdmitted(t *testing.T) {
	first, second := core.Origin{Service: "s", Version: "v1"}, core.Origin{Service: "s", Version: "v2"}
	for _, tt := range []struct {
		name    string
		refused []core.Origin
		admits  int
		served  bool
	}{
		{"all are", nil, 0, true},
		{"one is not", []core.Origin{first}, 1 << 20, true},
		{"none is yet", []core.Origin{first, second}, 0, true},
		{"none can be", []core.Origin{first, second}, 1 << 20, false},
	} {
		f := &fleet{nextAct: script()}
		d := newDispatcher(f, 2)
		setVersions(d, "v1", "v2")
		o := &origins{refused: map[core.Origin]bool{}, admits: tt.admits}
		for _, at := range tt.refused {
			o.refused[at] = true
		}
		WithOrigins(o)(d)
		_, _, err := call(d, route(core.KindStream, true, 2))
		assert.Equal(t, err == nil, tt.served, "%s: %v", tt.name, err)
		for _, at := range o.began {
			assert.Assert(t, !o.refused[at], tt.name)
		}
		_, _, err = call(d, route(core.KindSafe, false, 2))
		assert.NilError(t, err, "%s: requests that no other run continues need no admission", tt.name)
	}
}

// TestRunsWithoutAnEventBindNobody guards against a stream that is refused at another version although its
// first run broke off before any event.
func TestRunsWithoutAnEventBindNobody(t *testing.T) {
	for _, first := range []act{losesAnswer, closesEmpty, hangs} {
		f := &fleet{nextAct: script(first)}
		d := newDispatcher(f, 2)
		setVersions(d, "v1", "v2")
		o := &origins{findErr: core.ErrOriginUnknown}
		WithOrigins(o)(d)
		_, body, err := call(d, route(core.KindStream, true, 2))
		assert.NilError(t, err)
		assert.Equal(t, body, eventText("", eventCount))
		assert.Equal(t, len(o.began), 1)
		assert.Equal(t, o.began[0].Version, versionOf(d, f.runs[1]))
	}
}

// TestRunnerReplacedUnderItsID guards against a stream whose runner was replaced by one of another version
// after it was chosen, so that the first event is taken for one of the former version.
func TestRunnerReplacedUnderItsID(t *testing.T) {
	for _, tt := range []struct {
		name    string
		replace func(f *fleet, d *Dispatcher)
		outcome core.Outcome
		runs    int
	}{
		{"while the connection is made", func(f *fleet, d *Dispatcher) {
			f.dial = func(string) { setVersions(d, "v2") }
		}, core.OutcomeNotRun, 0},
		{"while it runs", func(f *fleet, d *Dispatcher) {
			f.nextAct = func(string) act {
				setVersions(d, "v2")
				return serves
			}
		}, core.OutcomeMayHaveRun, 1},
	} {
		f := &fleet{nextAct: script()}
		d := newDispatcher(f, 1)
		setVersions(d, "v1")
		o := &origins{findErr: core.ErrOriginUnknown, known: map[core.StreamKey]core.Origin{core.StreamKeyOf(nil, "q0"): {Service: "s", Version: "v1"}}}
		WithOrigins(o)(d)
		tt.replace(f, d)
		q := &core.Request{ID: "q1", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Second, LastEvent: "2", Resumes: "q0"}
		_, err := d.Do(t.Context(), route(core.KindStream, true, 2), q)
		assert.Assert(t, err != nil, tt.name)
		assert.Equal(t, core.AsRequestError(err).Outcome, tt.outcome, tt.name)
		assert.Equal(t, len(f.runs), tt.runs, tt.name)
		assert.Equal(t, len(o.began), 0, tt.name)
	}
}

// TestForwardedStreamsKeepTheirOrigin guards against a stream that another daemon began and that goes on at
// another version, as one of the two does not state the version.
func TestForwardedStreamsKeepTheirOrigin(t *testing.T) {
	first, second := &core.Origin{Service: "s", Version: "v1"}, &core.Origin{Service: "s", Version: "v2"}
	breaksOff := func(o *core.Origin) func() (*core.Reply, error) {
		return func() (*core.Reply, error) {
			return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1, Origin: o}, eventText("", 3)+"id: 4\nda", core.ErrAnswerLost), nil
		}
	}
	goesOn := func(o *core.Origin) func() (*core.Reply, error) {
		return func() (*core.Reply, error) {
			return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 2, Origin: o}, eventText("3", eventCount), nil), nil
		}
	}
	for _, tt := range []struct {
		name    string
		answers []func() (*core.Reply, error)
		stated  []*core.Origin // to the other daemons
		whole   bool
	}{
		{"goes on at its version", []func() (*core.Reply, error){breaksOff(first), goesOn(first)}, []*core.Origin{nil, first}, true},
		{"the next one has another version", []func() (*core.Reply, error){breaksOff(first), goesOn(second)}, []*core.Origin{nil, first}, false},
		{"the next one does not state its version", []func() (*core.Reply, error){breaksOff(first), goesOn(nil)}, []*core.Origin{nil, first}, false},
		{"the first one does not state its version", []func() (*core.Reply, error){breaksOff(nil)}, []*core.Origin{nil}, false},
	} {
		d := newDispatcher(&fleet{nextAct: script()}, 1)
		o := &otherDaemons{loads: load.New(clockwork.NewRealClock()), answers: tt.answers}
		WithHelpers("vm-1", o, func() bool { return true })(d)
		WithOrigins(&origins{findErr: core.ErrOriginUnknown})(d)
		_, body, err := call(d, route(core.KindStream, true, 3))
		assert.Equal(t, err == nil, tt.whole, "%s: %v", tt.name, err)
		want := eventText("", 3)
		if tt.whole {
			want = eventText("", eventCount)
		}
		assert.Equal(t, body, want, tt.name)
		assert.Equal(t, len(o.sent), len(tt.stated), tt.name)
		for i, sent := range o.sent {
			assert.DeepEqual(t, sent.Forward.Origin, tt.stated[i])
		}
	}
}

// otherVersionPlacer places a model at a runner.
type otherVersionPlacer struct {
	runner string
	asked  []PlacementKey
}

func (p *otherVersionPlacer) Place(_ context.Context, w PlacementKey) (string, time.Duration, error) {
	p.asked = append(p.asked, w)
	if p.runner == "" {
		return "", 0, errors.New("none")
	}
	return p.runner, 0, nil
}

// TestModelsArePlacedAtTheVersionOfTheStream guards against a stream that goes on at another version because
// its model was placed there.
func TestModelsArePlacedAtTheVersionOfTheStream(t *testing.T) {
	f := &fleet{nextAct: script()}
	d := newDispatcher(f, 2)
	setVersions(d, "v1", "v2")
	r := d.catalog.Runner("r0").Runner
	r.Holdings = nil
	d.catalog.Put(r, d.clock.Now())
	p := &otherVersionPlacer{runner: "r1"}
	d.placer = p
	WithOrigins(&origins{known: map[core.StreamKey]core.Origin{core.StreamKeyOf(nil, "q0"): {Service: "s", Version: "v1"}}})(d)
	q := &core.Request{ID: "q1", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Second, LastEvent: "2", Resumes: "q0"}
	_, err := d.Do(t.Context(), route(core.KindStream, true, 2), q)
	assert.Equal(t, core.AsRequestError(err).Code, "absent")
	assert.Equal(t, len(f.runs), 0)
	assert.DeepEqual(t, p.asked, []PlacementKey{{Service: "s", Model: "m", Version: "v1"}})
}
