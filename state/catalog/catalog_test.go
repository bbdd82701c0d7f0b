package catalog

import (
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
