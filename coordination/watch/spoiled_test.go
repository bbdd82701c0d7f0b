package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/memory"
)

// Requests go to a runner whose entry another writer has replaced, or no change of any
// runner is learned of any more. The entry names no runner, in a list, a watch and
// another daemon's copy; it is told of once, and the others hold.
func TestSpoiledEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		s.Put(runners, "r2", spoiled)
		var toldA, toldB atomic.Int32
		counted := func(n *atomic.Int32) Option { return WithUnreadable(func() { n.Add(1) }) }
		var leads atomic.Bool
		leads.Store(true)
		a, b := newNode(s, counted(&toldA)), newNode(s, counted(&toldB), WithActive(leads.Load))
		b.near = a
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		known := func(id string) bool { return a.catalog.Runner(id) != nil && b.catalog.Runner(id) != nil }
		within(t, time.Second, "listed", func() bool { return known("r1") })
		assert.Assert(t, a.catalog.Runner("r2") == nil && b.catalog.Runner("r2") == nil)
		leads.Store(false)
		time.Sleep(time.Second)
		step := func(name, entry string, there bool) {
			t.Helper()
			s.Put(runners, name, entry)
			within(t, time.Second, name, func() bool {
				b.Hint("a", true, a.Changes())
				return (a.catalog.Runner(name) != nil) == there && (b.catalog.Runner(name) != nil) == there
			})
		}
		step("r1", spoiled, false)
		step("r2", `"ready"`, true)
		step("r1", `"ready"`, true)
		assert.NilError(t, a.list(context.Background(), runners))
		assert.Equal(t, toldA.Load(), int32(2))
		assert.Equal(t, toldB.Load(), int32(2))
	})
}
