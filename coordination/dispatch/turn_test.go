package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/state/catalog"
)

// inLine is a Dispatcher of an engine service with n runners, for each of which a prompt
// waits its turn.
func inLine(f *fleet, n int) *Dispatcher {
	d := newDispatcher(f, n)
	config := &core.Config{Version: 2, Services: map[string]*core.Service{"s": {Name: "s", Engine: &core.Engine{}}}}
	config.Index()
	d.catalog.SetConfig(config)
	for range 100 {
		d.pace.Learn("s", 1000, time.Second)
	}
	for id := range d.catalog.All() {
		d.pace.Take(d.clock.Now(), "s", id, 1000, 1, time.Second)
	}
	return d
}

// A runner that leaves gets a request two seconds later: the request had been given to
// it before it began to leave, and was waiting for its turn to be sent. What has changed
// in that time counts; the request waits once only.
func TestRunnerLeavesWhileARequestWaits(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *catalog.Catalog, e *catalog.Entry)
		same   bool // the runner chosen gets it
	}{
		{"nothing", func(*catalog.Catalog, *catalog.Entry) {}, true},
		{"begins to leave", func(c *catalog.Catalog, e *catalog.Entry) {
			r := e.Runner
			r.Draining = true
			c.Put(r, time.Now())
		}, false},
		{"is gone", func(c *catalog.Catalog, e *catalog.Entry) {
			c.Lapse(e.ID, time.Now())
			c.Sweep(time.Now())
		}, false},
		{"gives its model up", func(c *catalog.Catalog, e *catalog.Entry) { c.Learn(e.ID, "m", "", false) }, false},
	}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{next: script(serves)}
			d := inLine(f, 1)
			chosen := d.catalog.Runner("r0")
			go func() {
				time.Sleep(5 * time.Millisecond)
				d.catalog.Put(core.Runner{ID: "r1", Service: "s", Slots: 4, Holdings: []core.Holding{{Model: "m"}}}, time.Now())
				one.change(d.catalog, chosen)
			}()
			began := time.Now()
			_, body, err := callWith(d, route(core.KindStream, false, 1), 1000)
			assert.NilError(t, err, one.name)
			assert.Equal(t, body, pieces("", events), one.name)
			assert.DeepEqual(t, f.runs, []string{map[bool]string{true: "r0", false: "r1"}[one.same]})
			assert.Equal(t, time.Since(began), 25*time.Millisecond, "a quarter of the target")
		})
	}
}

// Callers that have gone, or whose time is up, are not kept in line.
func TestCallerGoesWhileARequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{next: script(serves)}
		d := inLine(f, 1)
		r := route(core.KindStream, false, 1)
		r.Timeout = 10 * time.Millisecond
		status, _, err := callWith(d, r, 1000)
		assert.Assert(t, err != nil)
		assert.Equal(t, status, 503)
		assert.Equal(t, len(f.runs), 0)
	})
}
