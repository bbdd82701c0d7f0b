package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/state/catalog"
)

// newPacedDispatcher returns a Dispatcher of an engine service with n runners, at each of
// which a prompt is delayed by pacing.
func newPacedDispatcher(f *fleet, n int) *Dispatcher {
	d := newDispatcher(f, n)
	config := &core.Config{Version: 2, Services: map[string]*core.Service{"s": {Name: "s", Engine: &core.Engine{}}}}
	config.Index()
	d.catalog.SetConfig(config)
	for range 100 {
		d.pacer.ObserveFirstEvent("s", 1000, time.Second)
	}
	for id := range d.catalog.All() {
		d.pacer.Reserve(d.clock.Now(), "s", id, 1000, 1, time.Second)
	}
	return d
}

// A request that is delayed by pacing must not be sent to a runner that has begun to leave in
// the meantime; otherwise a leaving runner could get it two seconds later. Other changes in that
// time count too, and a request is delayed only once.
func TestRunnerLeavesWhileARequestWaits(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *catalog.Catalog, e *catalog.Entry)
		same   bool // the runner chosen first gets it
	}{
		{"no change", func(*catalog.Catalog, *catalog.Entry) {}, true},
		{"begins to leave", func(c *catalog.Catalog, e *catalog.Entry) {
			r := e.Runner
			r.Draining = true
			c.Put(r, time.Now())
		}, false},
		{"announces that it leaves", func(c *catalog.Catalog, e *catalog.Entry) {
			c.RecordLeaving(e.ID, catalog.Departure{At: time.Now()})
		}, false},
		{"is gone", func(c *catalog.Catalog, e *catalog.Entry) {
			c.Lapse(e.ID, time.Now())
			c.Sweep(time.Now())
		}, false},
		{"unloads its model", func(c *catalog.Catalog, e *catalog.Entry) { c.RecordHolding(e.ID, "m", "", false) }, false},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{nextAct: script(serves)}
			d := newPacedDispatcher(f, 1)
			chosen := d.catalog.Runner("r0")
			go func() {
				time.Sleep(5 * time.Millisecond)
				d.catalog.Put(core.Runner{ID: "r1", Service: "s", Slots: 4, Holdings: []core.Holding{{Model: "m"}}}, time.Now())
				one.change(d.catalog, chosen)
			}()
			began := time.Now()
			_, body, err := callWith(d, route(core.KindStream, false, 1), 1000)
			assert.NilError(t, err, one.name)
			assert.Equal(t, body, eventText("", eventCount), one.name)
			assert.DeepEqual(t, f.runs, []string{map[bool]string{true: "r0", false: "r1"}[one.same]})
			assert.Equal(t, time.Since(began), 25*time.Millisecond, "delayed once, by a quarter of the target")
		})
	}
}

// Requests whose caller has gone or whose deadline has passed are no longer delayed.
func TestCallerGoesWhileARequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{nextAct: script(serves)}
		d := newPacedDispatcher(f, 1)
		r := route(core.KindStream, false, 1)
		r.Timeout = 10 * time.Millisecond
		status, _, err := callWith(d, r, 1000)
		assert.Assert(t, err != nil)
		assert.Equal(t, status, 503)
		assert.Equal(t, len(f.runs), 0)
	})
}
