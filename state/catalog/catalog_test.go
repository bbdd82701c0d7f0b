package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
)

// A dropped route works again for a moment: a late answer of the store brings an
// older configuration after a newer one.
func TestConfigNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(clockwork.NewFakeClock())
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 30)).Draw(t, "versions") {
			taken := c.SetConfig(&core.Config{Version: v})
			assert.Equal(t, taken, v > highest)
			highest = max(highest, v)
			assert.Equal(t, c.Config().Version, highest)
		}
	})
}

// Each daemon asks the holder again for an adapter after every heartbeat: the
// runner's description leaves adapters out that were loaded since.
func TestLearnedAdapterOutlivesADescription(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	r := core.Runner{ID: "r1", Service: "s", Holdings: []core.Holding{{Model: "m"}}}
	c.Put(r, clock.Now())
	c.Learn("r1", "m", "a1", true)
	assert.Assert(t, c.Runner("r1").HoldsAdapter("m", "a1"))
	c.Put(r, clock.Now())
	assert.Assert(t, c.Runner("r1").HoldsAdapter("m", "a1"))
	c.Learn("r1", "m", "a1", false)
	c.Put(r, clock.Now())
	assert.Assert(t, !c.Runner("r1").HoldsAdapter("m", "a1"))
	assert.Equal(t, len(r.Holdings[0].Adapters), 0, "the description itself was changed")
}

// Requests are rejected for a second after an unload was ordered, and a new copy
// stands idle for a second: descriptions come late. What was learned of a model
// goes before them for a while, and not longer.
func TestLearnedModelGoesBeforeOldDescriptions(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	r := core.Runner{ID: "r1", Service: "s", Holdings: []core.Holding{{Model: "old"}}}
	c.Put(r, clock.Now())
	c.Learn("r1", "old", "", false)
	c.Learn("r1", "new", "", true)
	c.Put(r, clock.Now())
	assert.Assert(t, !c.Runner("r1").Holds("old") && c.Runner("r1").Holds("new"))
	clock.Advance(modelMemory + time.Second)
	c.Put(r, clock.Now())
	assert.Assert(t, c.Runner("r1").Holds("old") && !c.Runner("r1").Holds("new"))
}

func TestLapse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var gone []string
	c := New(clock, WithGone(func(r core.Runner) { gone = append(gone, r.ID) }))
	for _, id := range []string{"r1", "r2"} {
		c.Put(core.Runner{ID: id, Service: "s"}, clock.Now())
		c.Lapse(id, clock.Now().Add(time.Second))
	}
	c.Put(core.Runner{ID: "r1", Service: "s"}, clock.Now()) // is back
	assert.Equal(t, c.Sweep(clock.Now()), 0)
	clock.Advance(time.Second)
	assert.Equal(t, c.Sweep(clock.Now()), 1)
	assert.DeepEqual(t, gone, []string{"r2"})
	assert.Assert(t, c.Runner("r1") != nil && c.Runner("r2") == nil)
	assert.Assert(t, slices.ContainsFunc(c.Runners("s"), func(e *Entry) bool { return e.ID == "r1" }))
}

// Requests are rejected one after the other: a runner has started again under its id
// and holds nothing, while the daemon still goes by what it has learned of its former
// life.
func TestNothingHoldsOnAcrossARestart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var again []core.Runner
	c := New(clock, WithRestarted(func(r core.Runner) { again = append(again, r) }))
	born := clock.Now()
	life := func(at time.Time, models ...string) core.Runner {
		r := core.Runner{ID: "r1", Service: "s", Born: at}
		for _, m := range models {
			r.Holdings = append(r.Holdings, core.Holding{Model: m})
		}
		return r
	}
	c.Put(life(born, "m"), clock.Now())
	c.Learn("r1", "m", "a1", true)
	c.Learn("r1", "n", "", true)
	c.Put(life(born, "m"), clock.Now())
	assert.Equal(t, len(again), 0, "the same life again")
	for i := range 2 { // twice within a second
		at := born.Add(time.Duration(i+1) * 300 * time.Millisecond)
		c.Put(life(at, "m"), clock.Now())
		assert.Equal(t, len(again), i+1)
		e := c.Runner("r1")
		assert.Assert(t, e.Born.Equal(at) && !e.HoldsAdapter("m", "a1") && !e.Holds("n"))
	}
	assert.Assert(t, again[0].Born.Equal(born), "told of is the life that ended")
}

// The same, and the runner is lost for good: the last write of its former life comes
// after the first of the new one, in a list, a watch or a copy of another daemon. Or
// its clock was set back before it started again, and nothing else will ever be told.
func TestFormerLifeSeenAfterTheNewOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var again []core.Runner
	c := New(clock, WithRestarted(func(r core.Runner) { again = append(again, r) }))
	late, early := clock.Now().Add(time.Second), clock.Now()
	c.Put(core.Runner{ID: "r1", Service: "s", Born: late}, clock.Now())
	former := core.Runner{ID: "r1", Service: "s", Born: early, Holdings: []core.Holding{{Model: "m"}}}
	for range 3 {
		c.Put(former, clock.Now())
		clock.Advance(time.Second / 2)
		c.Sweep(clock.Now())
		assert.Assert(t, !c.Runner("r1").Holds("m"))
	}
	c.Put(core.Runner{ID: "r1", Service: "s", Born: late}, clock.Now()) // its heartbeat
	clock.Advance(formerPatience)
	c.Sweep(clock.Now())
	assert.Assert(t, c.Runner("r1").Born.Equal(late), "a late write has replaced the runner")
	assert.Equal(t, len(again), 0)
	c.Put(former, clock.Now())
	clock.Advance(formerPatience / 2)
	c.Put(former, clock.Now())
	clock.Advance(formerPatience / 2)
	c.Sweep(clock.Now())
	assert.Assert(t, c.Runner("r1").Born.Equal(early) && c.Runner("r1").Holds("m"), "never taken in")
	assert.Equal(t, len(again), 1)
}

// Daemons of large fleets have no time left for requests: each change of one runner
// touched all of them again.
func TestCostOfAChangeInALargeFleet(t *testing.T) {
	cost := func(runners int) float64 {
		clock := clockwork.NewFakeClock()
		c := New(clock)
		put := func(i int) {
			c.Put(core.Runner{ID: fmt.Sprint("r", i), Service: "s", Slots: 4, Holdings: []core.Holding{{Model: "m"}}}, clock.Now())
		}
		for i := range runners {
			put(i)
		}
		return testing.AllocsPerRun(100, func() {
			put(1)
			assert.Assert(t, c.Runner("r1") != nil)
		})
	}
	small, large := cost(10), cost(1000)
	assert.Assert(t, large <= small+2, "%v allocations with 10 runners, %v with 1000", small, large)
}
