package catalog

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/fuzz"
)

func TestMain(m *testing.M) { fuzz.Main(m, 500, 60) }

// Guards against a runner that gets requests again after it has announced that it is leaving,
// because of an entry written before, an entry that was lost, or a late message. Only a later
// start of the runner ends its departure.
func TestDepartureEndsOnlyWithALaterStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		c := New(clock)
		epoch := clock.Now()
		at := func(start int) time.Time { return epoch.Add(time.Duration(start) * time.Second) }
		departed := -1 // latest start of an instance that is leaving
		start := rapid.IntRange(0, 5)
		t.Repeat(map[string]func(*rapid.T){
			"entry": func(t *rapid.T) {
				c.Put(core.Runner{ID: "r", Service: "s", StartedAt: at(start.Draw(t, "start"))}, clock.Now())
			},
			"announcement": func(t *rapid.T) {
				n := start.Draw(t, "start")
				if e := c.Runner("r"); e == nil || !e.StartedAt.After(at(n)) {
					departed = max(departed, n)
				}
				c.RecordLeaving("r", Departure{StartedAt: at(n), At: clock.Now()})
			},
			"holding": func(t *rapid.T) { c.RecordHolding("r", "m", "", rapid.Bool().Draw(t, "held")) },
			"lapse":   func(*rapid.T) { c.Lapse("r", clock.Now().Add(time.Second)) },
			"time": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				c.Sweep(clock.Now())
			},
			"": func(t *rapid.T) {
				e := c.Runner("r")
				if e == nil {
					return
				}
				assert.Equal(t, e.Usable(), e.StartedAt.After(at(departed)), "start %v, departed %d", e.StartedAt.Sub(epoch), departed)
				assert.Equal(t, c.Runners("s")[0].Usable(), e.Usable())
			},
		})
	})
}

// Guards against departures that are kept forever.
func TestDeparturesAreForgotten(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	c.Put(core.Runner{ID: "r", Service: "s"}, clock.Now())
	c.RecordLeaving("r", Departure{At: clock.Now()})
	clock.Advance(2 * departureRetention)
	c.Sweep(clock.Now())
	assert.Equal(t, len(c.departures), 1, "its entry is still there")
	c.Lapse("r", clock.Now())
	c.Sweep(clock.Now())
	c.Sweep(clock.Now())
	assert.Equal(t, len(c.departures), 0)
}
