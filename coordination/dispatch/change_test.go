package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/state/tree"
)

// configChanges lists changes of the configuration that end no request in progress. Each returns the new
// version.
var configChanges = []struct {
	name   string
	change func() *core.Config
}{
	{"nothing but its version", func() *core.Config {
		c := configWithKey(0, "w")
		c.Routes = []core.Route{*route(core.KindStream, true, 3)}
		return c
	}},
	{"the route is dropped", func() *core.Config { return configWithKey(0, "w") }},
	{"the route moves to another service", func() *core.Config {
		c := configWithKey(0, "w")
		r := route(core.KindStream, true, 3)
		r.Shares = []core.Share{{Service: "other", Weight: 1}}
		c.Routes, c.Services["other"] = []core.Route{*r}, &core.Service{Name: "other"}
		return c
	}},
	{"the route's timeout, attempts and kind are lowered", func() *core.Config {
		c := configWithKey(0, "w")
		r := route(core.KindUnsafe, false, 1)
		r.Timeout = time.Nanosecond
		c.Routes = []core.Route{*r}
		return c
	}},
	{"the service is dropped", func() *core.Config {
		c := configWithKey(0, "w")
		c.Services = map[string]*core.Service{}
		return c
	}},
	{"there are no services", func() *core.Config {
		c := configWithKey(0, "w")
		c.Services = nil
		return c
	}},
	{"the service's runners become engines that do not offer the model", func() *core.Config {
		c := configWithKey(0, "w")
		c.Services["s"] = &core.Service{Name: "s", Engine: &core.Engine{Slots: 4, Models: []core.Model{{Name: "other"}}}}
		c.Index()
		return c
	}},
	{"limits are lowered below the request", func() *core.Config {
		c := configWithKey(0, "w")
		c.Limits = core.CallerLimits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond}
		return c
	}},
	{"the key belongs to another workspace", func() *core.Config { return configWithKey(0, "w2") }},
	{"callers need no keys", func() *core.Config {
		c := configWithKey(0, "")
		c.Workspaces = nil
		return c
	}},
	{"the route needs no key", func() *core.Config {
		c := configWithKey(0, "")
		r := route(core.KindStream, true, 3)
		r.Public = true
		c.Routes = []core.Route{*r}
		return c
	}},
}

// TestConfigChangesEndNoRequest guards against a request that is refused or whose answer is cut because the
// configuration has changed since it arrived.
func TestConfigChangesEndNoRequest(t *testing.T) {
	for _, tt := range []struct {
		name  string
		kind  core.RequestKind
		first act // of the runner at which the configuration changes
	}{
		{"it is sent again as it was rejected", core.KindUnsafe, rejects},
		{"it is sent again as its answer was lost", core.KindSafe, losesAnswer},
		{"it is sent", core.KindUnsafe, serves},
		{"its stream begins", core.KindStream, serves},
		{"its stream is resumed", core.KindStream, breaksOff},
		{"its runner pauses", core.KindStream, pauses},
	} {
		for _, change := range configChanges {
			t.Run(tt.name+", "+change.name, func(t *testing.T) {
				t.Parallel()
				f := &fleet{}
				d := newDispatcher(f, 3)
				before := configWithKey(2, "w")
				before.Routes = []core.Route{*route(tt.kind, true, 3)}
				before.Index()
				d.catalog.SetConfig(before)
				next := script(tt.first)
				f.nextAct = func(runner string) act {
					after := change.change()
					after.Version = 3
					after.Index()
					d.catalog.SetConfig(after)
					return next(runner)
				}
				e, err := callKeyed(d, &before.Routes[0])
				assert.NilError(t, err)
				assert.Assert(t, e == nil, "%v", e)
				assert.Equal(t, d.catalog.Config().Version, uint64(3))
			})
		}
	}
}

// TestForwardedStreamGoesOnWhereItsRouteHasMoved guards against a stream in progress that is cut as it is
// forwarded to a daemon with a newer configuration, in which its route has another service.
func TestForwardedStreamGoesOnWhereItsRouteHasMoved(t *testing.T) {
	f := &fleet{nextAct: script()}
	d := newDispatcher(f, 1)
	r := route(core.KindStream, true, 2)
	r.Shares = []core.Share{{Service: "other", Weight: 1}}
	q := &core.Request{
		ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Second, LastEvent: "2",
		Forward: &core.Forward{From: "vm-1", Runs: 1, Attempts: 1, Origin: &core.Origin{Service: "s"}},
	}
	reply, err := d.Do(t.Context(), r, q)
	assert.NilError(t, err)
	body, err := readAll(reply)
	assert.NilError(t, err)
	assert.Equal(t, body, eventText("2", eventCount))
}

// TestServiceIsDroppedWhileARequestWaits guards against a request that is refused as its service leaves the
// configuration while it waits for its model, though the model is then there.
func TestServiceIsDroppedWhileARequestWaits(t *testing.T) {
	f := &fleet{nextAct: script()}
	d := newDispatcher(f, 1)
	e := d.catalog.Runner("r0").Runner
	e.Holdings = nil
	d.catalog.Put(e, d.clock.Now())
	d.placer = placerFunc(func() string {
		d.catalog.SetConfig(&core.Config{Version: 2})
		e.Holdings = []core.Holding{{Model: "m"}}
		d.catalog.Put(e, d.clock.Now())
		return "r0"
	})
	status, _, err := call(d, route(core.KindUnsafe, false, 1))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// placerFunc is a Placer that has the model loaded by a function, which returns the runner.
type placerFunc func() string

func (f placerFunc) Place(context.Context, PlacementKey) (string, time.Duration, error) {
	return f(), 0, nil
}

// TestPanicEndsTheRequest guards against a request that counts as in progress for good after a defect has
// ended the work on it: a daemon that leaves would wait for it until its grace time ends.
func TestPanicEndsTheRequest(t *testing.T) {
	f := &fleet{nextAct: func(string) act { panic("a defect") }}
	d := newDispatcher(f, 1)
	func() {
		defer func() { assert.Equal(t, recover(), "a defect") }()
		_, _ = d.Do(context.Background(), route(core.KindUnsafe, false, 2), &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now()})
	}()
	assert.Equal(t, d.Running(), 0)
}

// TestForwardedRequestKeepsItsTime guards against a request in progress that ends early at the daemon it is
// forwarded to, as the route's timeout is lower in the configuration there.
func TestForwardedRequestKeepsItsTime(t *testing.T) {
	for _, forward := range []*core.Forward{nil, {From: "vm-1", Runs: 1, Attempts: 1}} {
		f := &fleet{nextAct: script()}
		d := newDispatcher(f, 1)
		r := route(core.KindSafe, false, 2)
		r.Timeout = time.Nanosecond
		q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: 3 * time.Second, Forward: forward}
		reply, err := d.Do(t.Context(), r, q)
		assert.Equal(t, err == nil, forward != nil, "%v", err)
		if err == nil {
			_, err = readAll(reply)
			assert.NilError(t, err)
		}
	}
}

// TestRankAndUnitsAfterAChange guards against a request that is sent again at a rank that is no longer in
// force, and against one that is charged more than it was admitted for.
func TestRankAndUnitsAfterAChange(t *testing.T) {
	f := &fleet{}
	d, a := newDispatcher(f, 2), &fakeAllowance{admits: 1}
	WithAllowance(a)(d)
	config := func(version uint64, unit core.Unit, priority int) *core.Config {
		c := configWithKey(version, "w")
		c.Routes = []core.Route{*route(core.KindSafe, false, 3)}
		c.Workspaces[0].Unit, c.Workspaces[0].Priority = unit, priority
		c.Workspaces = append(c.Workspaces, &core.Workspace{Name: "other", Priority: 5})
		c.Index()
		return c
	}
	before := config(2, core.UnitTokens, 1)
	d.catalog.SetConfig(before)
	next := script(losesAnswer)
	f.nextAct = func(runner string) act {
		d.catalog.SetConfig(config(3, core.UnitRequests, 9))
		return next(runner)
	}
	e, err := callKeyed(d, &before.Routes[0])
	assert.NilError(t, err)
	assert.Assert(t, e == nil, "%v", e)
	assert.Equal(t, f.sends[0].Priority, 0)
	assert.Equal(t, f.sends[1].Priority, 1)
	assert.Equal(t, a.taken, 10.0)
	assert.Equal(t, a.charged, 10.0)
}

// TestSettingsOfArrivalHold guards against a request in progress that is refused, ends early or is not sent
// again because the settings tree was narrowed since it arrived.
func TestSettingsOfArrivalHold(t *testing.T) {
	once := false
	for _, set := range []tree.Settings{
		{Deadline: core.Duration(time.Nanosecond)},
		{Repeatable: &once},
		{Body: 1},
		{Rate: 1e-9},
		{MaxUnconfirmed: core.Duration(time.Nanosecond)},
	} {
		for _, stream := range []bool{false, true} {
			f := &fleet{}
			d := newDispatcherWithSettings(t, f, tree.Settings{}, time.Second)
			body, err := json.Marshal(tree.BranchBody{Node: &tree.Node{Set: set}})
			assert.NilError(t, err)
			r, first := route(core.KindSafe, false, 3), losesAnswer
			if stream {
				r, first = route(core.KindStream, true, 3), breaksOff
			}
			next := script(first)
			f.nextAct = func(runner string) act {
				d.settings.replica.Apply([]tree.Branch{{Name: "service/s", Version: 2, Body: body}})
				return next(runner)
			}
			_, _, err = call(d, r)
			assert.NilError(t, err, "%+v, stream %v", set, stream)
			assert.Equal(t, d.settings.replica.Versions()["service/s"], uint64(2), "%+v: %v", set, d.settings.replica.Problems())
			assert.Equal(t, len(f.runs), 2)
		}
	}
}

// TestHelperWithoutTheRouteIsNoReasonToRefuse guards against a request that is refused, or whose stream is cut,
// as one other daemon has a configuration without its route, while a further one would serve it.
func TestHelperWithoutTheRouteIsNoReasonToRefuse(t *testing.T) {
	origin := &core.Origin{Service: "s"}
	noRoute := refuses(core.NotRun(http.StatusNotFound, "no_route", "no route has this host and path", 0))
	breaksOff := func() (*core.Reply, error) {
		return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1, Origin: origin}, eventText("", 3), core.ErrAnswerLost), nil
	}
	for _, tt := range []struct {
		name    string
		kind    core.RequestKind
		answers []func() (*core.Reply, error)
	}{
		{"before its first send", core.KindUnsafe, []func() (*core.Reply, error){noRoute}},
		{"before its first event", core.KindStream, []func() (*core.Reply, error){noRoute}},
		{"in the middle of its stream", core.KindStream, []func() (*core.Reply, error){breaksOff, noRoute}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDispatcher(&fleet{nextAct: script()}, 1)
			o := &threeDaemons{otherDaemons{loads: load.New(d.clock), answers: tt.answers}}
			WithHelpers("vm-1", o, func() bool { return true })(d)
			_, body, err := call(d, route(tt.kind, true, 3))
			assert.NilError(t, err)
			assert.Equal(t, body, eventText("", eventCount))
		})
	}
}

// threeDaemons are otherDaemons with one more.
type threeDaemons struct{ otherDaemons }

func (o *threeDaemons) Choose(exclude map[string]bool, _ []core.Code) *core.Runner {
	for _, name := range append(o.Names(), "vm-4") {
		if !exclude[name] {
			return &core.Runner{ID: name}
		}
	}
	return nil
}

// TestStreamOfUnknownOriginIsRefused guards against a stream that is cut without a code that says why, as it
// can't be found out where it began.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	d := newDispatcher(&fleet{nextAct: script()}, 1)
	o := &otherDaemons{loads: load.New(d.clock), answers: []func() (*core.Reply, error){func() (*core.Reply, error) {
		return answer(http.StatusOK, core.ReplyInfo{Stamped: true, Runs: 1}, eventText("", 3), core.ErrAnswerLost), nil
	}}}
	WithHelpers("vm-1", o, func() bool { return true })(d)
	WithOrigins(&origins{findErr: core.ErrOriginUnanswered})(d)
	_, _, err := call(d, route(core.KindStream, true, 3))
	refusal := core.AsRequestError(err)
	assert.Equal(t, refusal.Code, codeOriginUnknown)
	assert.Equal(t, refusal.Outcome, core.OutcomeMayHaveRun)
}
