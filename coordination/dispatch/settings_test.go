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

// held is a dispatcher whose two runners are in places north and south, with a
// settings tree of one service node.
func held(t *testing.T, f *fleet, set tree.Settings, age time.Duration) *Dispatcher {
	t.Helper()
	d := newDispatcher(f, 2)
	for i, place := range []string{"north", "south"} {
		r := d.catalog.Runner(fmt.Sprint("r", i)).Runner
		r.Place = place
		d.catalog.Put(r, d.clock.Now())
	}
	body, err := json.Marshal(tree.Stored{Node: &tree.Node{Set: set}})
	assert.NilError(t, err)
	replica := tree.NewReplica(tree.WithOverlay())
	replica.Adopt([]tree.Branch{{Name: "service/s", Version: 1, Body: body}}, 1)
	assert.Equal(t, len(replica.Problems()), 0)
	WithSettings(replica, func() time.Duration { return age }, limit.New(d.clock, func() int { return 1 }))(d)
	return d
}

// Regulated data leaves the places that operators allow, or a limit of theirs is
// not kept, because requests go by the configuration alone. Each request is held
// to the settings tree, at its first send and at each one after.
func TestRequestsAreHeldToTheSettings(t *testing.T) {
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
		{"the allowed place", tree.Settings{Places: &south}, 0, route(core.KindSafe, false, 2), nil, 200, "", []string{"r1"}},
		{"no other place after a failure", tree.Settings{Places: &south}, 0, route(core.KindSafe, false, 2), []act{loses}, 502, "exhausted", []string{"r1"}},
		{"no other place for a broken stream", tree.Settings{Places: &south}, 0, route(core.KindStream, true, 2), []act{breaksOff}, 200, "exhausted", []string{"r1"}},
		{"a place without runners", tree.Settings{Places: &nowhere}, 0, route(core.KindSafe, false, 2), nil, 503, "absent", nil},
		{"not to be repeated", tree.Settings{Repeat: &never}, 0, route(core.KindSafe, false, 2), []act{loses}, 502, "answer_lost", []string{"r"}},
		{"a shorter deadline", tree.Settings{Deadline: core.Duration(50 * time.Millisecond)}, 0, route(core.KindUnsafe, false, 1), []act{hangs}, 504, "timeout", []string{"r"}},
		{"a smaller body", tree.Settings{Body: 3}, 0, route(core.KindSafe, false, 2), nil, 413, "body_too_large", nil},
		{"fresh enough", tree.Settings{Fresh: core.Duration(time.Second)}, time.Second / 2, route(core.KindSafe, false, 2), nil, 200, "", []string{"r"}},
		{"not confirmed for too long", tree.Settings{Fresh: core.Duration(time.Second)}, 2 * time.Second, route(core.KindSafe, false, 2), nil, 503, "settings_not_fresh", nil},
		{"never confirmed", tree.Settings{Fresh: core.Duration(time.Second)}, -1, route(core.KindSafe, false, 2), nil, 503, "settings_not_fresh", nil},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{next: script(one.acts...)}
			d := held(t, f, one.set, one.age)
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

// A stream goes on in a place that operators have taken away since it began: each
// further attempt goes by the settings of its moment.
func TestSettingsChangeBetweenAttempts(t *testing.T) {
	f := &fleet{}
	d := held(t, f, tree.Settings{}, 0)
	replica := d.settings.replica
	f.next = func(id string) act {
		other := map[string]string{"r0": "north", "r1": "south"}[id]
		body, err := json.Marshal(tree.Stored{Node: &tree.Node{Set: tree.Settings{Places: &[]string{other}}}})
		assert.NilError(t, err)
		replica.Apply([]tree.Branch{{Name: "service/s", Version: 2, Body: body}})
		return breaksOff
	}
	_, body, err := call(d, route(core.KindStream, true, 2))
	assert.Equal(t, core.AsRequestError(err).Code, "exhausted")
	assert.Equal(t, body, pieces("", 3))
	assert.Equal(t, len(f.runs), 1, "%v", f.runs)
}

// A service takes the whole system down: operators bound its requests in progress
// and its rate, and no daemon counts.
func TestLimitsOfTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{next: func(string) act { return hangs }}
		d := held(t, f, tree.Settings{Concurrency: 2}, 0)
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
		f.next = script()
		status, _, _ = call(d, route(core.KindUnsafe, false, 1))
		assert.Equal(t, status, http.StatusOK, "the ones before are counted out")
	})
}
