package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/limit"
	"primroseward/core"
	"primroseward/state/tree"
)

// newDispatcherWithSettings returns a Dispatcher with one runner each in the data centres
// north and south, and a settings tree with one service node.
func newDispatcherWithSettings(t *testing.T, f *fleet, set tree.Settings, age time.Duration) *Dispatcher {
	t.Helper()
	d := newDispatcher(f, 2)
	for i, dataCentre := range []string{"north", "south"} {
		r := d.catalog.Runner(fmt.Sprint("r", i)).Runner
		r.DataCentre = dataCentre
		d.catalog.Put(r, d.clock.Now())
	}
	body, err := json.Marshal(tree.BranchBody{Node: &tree.Node{Set: set}})
	assert.NilError(t, err)
	replica := tree.NewReplica(tree.WithOverlay())
	replica.ApplyList([]tree.Branch{{Name: "service/s", Version: 1, Body: body}}, 1)
	assert.Equal(t, len(replica.Problems()), 0)
	WithSettings(replica, func() time.Duration { return age }, limit.New(d.clock, func() int { return 1 }))(d)
	return d
}

// Requests must obey the settings tree and not the configuration alone: otherwise regulated
// data leaves the data centres that operators allow, or their limits are not kept. The tree
// is checked at the first send and at each further one.
func TestSettingsAreEnforced(t *testing.T) {
	south, nowhere, never := []string{"south"}, []string{"west"}, false
	cases := []struct {
		name  string
		set   tree.Settings
		age   time.Duration
		route *core.Route
		acts  []act
		want  int
		code  string
		runs  []string
	}{
		{"the allowed data centre", tree.Settings{DataCentres: &south}, 0, route(core.KindSafe, false, 2), nil, 200, "", []string{"r1"}},
		{"no other data centre after a failure", tree.Settings{DataCentres: &south}, 0, route(core.KindSafe, false, 2), []act{losesAnswer}, 502, "exhausted", []string{"r1"}},
		{"no other data centre for a broken stream", tree.Settings{DataCentres: &south}, 0, route(core.KindStream, true, 2), []act{breaksOff}, 200, "exhausted", []string{"r1"}},
		{"a data centre without runners", tree.Settings{DataCentres: &nowhere}, 0, route(core.KindSafe, false, 2), nil, 503, "absent", nil},
		{"no retries", tree.Settings{Repeatable: &never}, 0, route(core.KindSafe, false, 2), []act{losesAnswer}, 502, "answer_lost", []string{"r"}},
		{"a shorter deadline", tree.Settings{Deadline: core.Duration(50 * time.Millisecond)}, 0, route(core.KindUnsafe, false, 1), []act{hangs}, 504, "timeout", []string{"r"}},
		{"a smaller body", tree.Settings{Body: 3}, 0, route(core.KindSafe, false, 2), nil, 413, "body_too_large", nil},
		{"fresh enough", tree.Settings{MaxUnconfirmed: core.Duration(time.Second)}, time.Second / 2, route(core.KindSafe, false, 2), nil, 200, "", []string{"r"}},
		{"not confirmed for too long", tree.Settings{MaxUnconfirmed: core.Duration(time.Second)}, 2 * time.Second, route(core.KindSafe, false, 2), nil, 503, "settings_not_fresh", nil},
		{"never confirmed", tree.Settings{MaxUnconfirmed: core.Duration(time.Second)}, -1, route(core.KindSafe, false, 2), nil, 503, "settings_not_fresh", nil},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{nextAct: script(one.acts...)}
			d := newDispatcherWithSettings(t, f, one.set, one.age)
			q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Body: []byte("belt"), Arrived: d.clock.Now(), Timeout: 3 * time.Second}
			reply, err := d.Do(context.Background(), one.route, q)
			status := 0
			if err == nil {
				status = reply.Status
				_, err = io.ReadAll(reply.Body)
				_ = reply.Body.Close()
			} else {
				status = core.AsRequestError(err).Status
			}
			code := ""
			if err != nil {
				code = core.AsRequestError(err).Code
			}
			assert.Equal(t, status, one.want, one.name)
			assert.Equal(t, code, one.code, one.name)
			assert.Equal(t, len(f.runs), len(one.runs), "%s: %v", one.name, f.runs)
			for i, want := range one.runs {
				assert.Assert(t, strings.HasPrefix(f.runs[i], want), "%s: %v", one.name, f.runs)
			}
			assert.Equal(t, d.Running(), 0)
		})
	}
}

// A stream must not be resumed in a data centre that operators have excluded since it began:
// each further attempt follows the settings then in force.
func TestSettingsChangeBetweenAttempts(t *testing.T) {
	f := &fleet{}
	d := newDispatcherWithSettings(t, f, tree.Settings{}, 0)
	replica := d.settings.replica
	f.nextAct = func(id string) act {
		other := map[string]string{"r0": "north", "r1": "south"}[id]
		body, err := json.Marshal(tree.BranchBody{Node: &tree.Node{Set: tree.Settings{DataCentres: &[]string{other}}}})
		assert.NilError(t, err)
		replica.Apply([]tree.Branch{{Name: "service/s", Version: 2, Body: body}})
		return breaksOff
	}
	_, body, err := call(d, route(core.KindStream, true, 2))
	assert.Equal(t, core.AsRequestError(err).Code, "exhausted")
	assert.Equal(t, body, eventText("", 3))
	assert.Equal(t, len(f.runs), 1, "%v", f.runs)
}

// Operators limit the requests in progress and the rate of a service that would overload the
// system, and each Dispatcher must enforce these limits.
func TestLimitsOfTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{nextAct: func(string) act { return hangs }}
		d := newDispatcherWithSettings(t, f, tree.Settings{Concurrency: 2}, 0)
		var wg sync.WaitGroup
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _, _ = call(d, route(core.KindUnsafe, false, 1))
			}()
		}
		synctest.Wait()
		status, _, err := call(d, route(core.KindUnsafe, false, 1))
		assert.Equal(t, status, http.StatusTooManyRequests)
		assert.Equal(t, core.AsRequestError(err).Outcome, core.OutcomeNotRun)
		assert.Assert(t, core.AsRequestError(err).Retry > 0)
		wg.Wait()
		f.nextAct = script()
		status, _, _ = call(d, route(core.KindUnsafe, false, 1))
		assert.Equal(t, status, http.StatusOK, "ended requests no longer count")
	})
}
