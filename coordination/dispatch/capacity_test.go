package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// recordingPlacer records what the holder of orders is asked for and returns a fixed runner.
type recordingPlacer struct {
	wants  []PlacementKey
	runner string
}

func (a *recordingPlacer) Place(_ context.Context, w PlacementKey) (string, time.Duration, error) {
	a.wants = append(a.wants, w)
	if a.runner == "" {
		return "", 0, core.ErrUnavailable
	}
	return a.runner, 0, nil
}

// If all runners with an adapter are full or down, the adapter is loaded on another replica
// of its model that has capacity, instead of refusing the request. If there is none, or for
// requests without an adapter, no placement is requested.
func TestCapacityElsewhereForAdapter(t *testing.T) {
	const slots = 4
	cases := []struct {
		name    string
		adapter string
		prepare func(d *Dispatcher, fill func(id string))
		wants   []PlacementKey
		runs    []string
	}{
		{"has capacity", "a1", func(*Dispatcher, func(string)) {}, nil, []string{"r0"}},
		{"is full", "a1", func(_ *Dispatcher, fill func(string)) { fill("r0") }, []PlacementKey{{Service: "s", Model: "m", Adapter: "a1", Busy: true}}, []string{"r1"}},
		{"is down", "a1", func(d *Dispatcher, _ func(string)) { d.loads.ConnectionRefused("r0") }, []PlacementKey{{Service: "s", Model: "m", Adapter: "a1", Busy: true}}, []string{"r1"}},
		{"all are full", "a1", func(_ *Dispatcher, fill func(string)) { fill("r0"); fill("r1") }, nil, nil},
		{"the other is down", "a1", func(d *Dispatcher, fill func(string)) { fill("r0"); d.loads.ConnectionRefused("r1") }, nil, nil},
		{"no runner has it", "a2", func(*Dispatcher, func(string)) {}, []PlacementKey{{Service: "s", Model: "m", Adapter: "a2"}}, []string{"r1"}},
		{"no adapter", "", func(_ *Dispatcher, fill func(string)) { fill("r0"); fill("r1") }, nil, nil},
	}
	for _, one := range cases {
		f := &fleet{nextAct: script(serves, serves)}
		d := newDispatcher(f, 2)
		placer := &recordingPlacer{runner: "r1"}
		d.placer = placer
		d.catalog.RecordHolding("r0", "m", "a1", true)
		one.prepare(d, func(id string) {
			for range overload * slots {
				d.loads.Begin(id)
			}
		})
		q := &core.Request{ID: "q", Model: "m", Adapter: one.adapter, Arrived: d.clock.Now(), Timeout: time.Second}
		reply, err := d.Do(context.Background(), route(core.KindStream, false, 1), q)
		assert.Equal(t, err == nil, one.runs != nil, "%s: %v", one.name, err)
		if err == nil {
			_ = reply.Body.Close()
		}
		assert.DeepEqual(t, placer.wants, one.wants)
		assert.DeepEqual(t, f.runs, one.runs)
	}
}

// overload is a load above any that is allowed, as a multiple of a runner's slots.
const overload = 4
