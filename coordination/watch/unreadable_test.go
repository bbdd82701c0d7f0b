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

// An entry that another writer has overwritten and that can't be read must be ignored in a
// list, in a watch and in a peer's snapshot, and be reported once for each version; the other
// entries still count. Otherwise requests go to a runner whose entry has been replaced, or
// no change of any runner is applied any more.
func TestUnreadableEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		s.Put(runners, "r2", unreadableEntry)
		var reportedA, reportedB atomic.Int32
		countTo := func(n *atomic.Int32) Option { return WithUnreadable(func() { n.Add(1) }) }
		var watches atomic.Bool
		watches.Store(true)
		a, b := newNode(s, countTo(&reportedA)), newNode(s, countTo(&reportedB), WithWatchCondition(watches.Load))
		b.peer = a
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		knownToBoth := func(id string) bool { return a.catalog.Runner(id) != nil && b.catalog.Runner(id) != nil }
		within(t, time.Second, "listed", func() bool { return knownToBoth("r1") })
		assert.Assert(t, a.catalog.Runner("r2") == nil && b.catalog.Runner("r2") == nil)
		watches.Store(false)
		time.Sleep(time.Second)
		putAndWait := func(name, entry string, want bool) {
			t.Helper()
			s.Put(runners, name, entry)
			within(t, time.Second, name, func() bool {
				b.Hint("a", true, a.Changes())
				return (a.catalog.Runner(name) != nil) == want && (b.catalog.Runner(name) != nil) == want
			})
		}
		putAndWait("r1", unreadableEntry, false)
		putAndWait("r2", `"ready"`, true)
		putAndWait("r1", `"ready"`, true)
		assert.NilError(t, a.list(context.Background(), runners))
		assert.Equal(t, reportedA.Load(), int32(2))
		assert.Equal(t, reportedB.Load(), int32(2))
	})
}
