package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/memory"
)

// While the store turns one VM away and serves the others, that VM must fetch snapshots
// from a peer. Otherwise its requests are served by an old configuration and sent to runners
// that have left, for as long as this lasts.
func TestSnapshotOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		a.peer = b
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.configVersion() == 1 && b.configVersion() == 1 })
		a.client.SetDisconnected(true)
		s.Put(configs, "main", "2")
		s.Put(runners, "r1", `"draining"`)
		within(t, 2*time.Second, "snapshots fetched", func() bool { return a.configVersion() == 2 && !a.catalog.Runner("r1").Usable() })
		assert.Assert(t, a.Failing())
		c, err := a.Snapshot(configs, 0)
		assert.NilError(t, err)
		assert.Assert(t, c.Stale)
		a.client.SetDisconnected(false)
		within(t, 2*time.Second, "store regained", func() bool { return !a.Failing() })
	})
}

// A daemon that starts during an outage of the store must not refuse its callers while its
// peers serve theirs from what they hold. It uses a stale snapshot of a peer; but a stale
// snapshot must not replace anything that it already holds.
func TestStartDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		b.peer = a
		a.Start()
		defer a.Stop()
		within(t, time.Second, "start", func() bool { return a.configVersion() == 1 && a.catalog.Runner("r1") != nil })
		a.client.SetDisconnected(true)
		b.client.SetDisconnected(true)
		within(t, time.Second, "failing", a.Failing)
		b.Start()
		defer b.Stop()
		within(t, time.Second, "snapshot fetched from the peer", func() bool { return b.configVersion() == 1 && b.catalog.Runner("r1") != nil })
		s.Put(configs, "main", "2")
		s.Remove(runners, "r1")
		b.client.SetDisconnected(false)
		within(t, 2*time.Second, "config read from the store", func() bool { return b.configVersion() == 2 })
		time.Sleep(5 * time.Second)
		assert.Assert(t, b.catalog.Runner("r1") == nil)
		b.client.SetDisconnected(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, b.catalog.Runner("r1") == nil, "a stale snapshot restored a runner that is gone")
	})
}

// A runner that has left gets work at one daemon, or a live one is missing there, if the
// incremental snapshots between daemons omit a deletion or delete an entry that was created
// again. Whatever the store does, and whether the first daemon gets it by lists or watches,
// a daemon that applies its snapshots must have the same objects in the end.
func TestIncrementalSnapshots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			s := memory.New()
			s.Put(configs, "main", "1")
			a, b := newNode(s), newNode(s)
			names := []string{"r0", "r1", "r2"}
			name := func() string { return rapid.SampledFrom(names).Draw(rt, "name") }
			ctx := context.Background()
			assert.NilError(rt, a.list(ctx, runners))
			rt.Repeat(map[string]func(*rapid.T){
				"put":    func(*rapid.T) { s.Put(runners, name(), `"ready"`) },
				"remove": func(*rapid.T) { s.Remove(runners, name()) },
				"list":   func(rt *rapid.T) { assert.NilError(rt, a.list(ctx, runners)) },
				"watch": func(*rapid.T) {
					sub, cancel := context.WithCancel(ctx)
					defer cancel()
					err := a.client.Watch(sub, runners, a.version(runners), func(e core.Event) {
						if e.Deleted { // the smallest version that a store may report for a deletion
							e.Object.Version = 1
						}
						a.handleEvent(runners, e)
						if e.Object.Name == "" {
							cancel()
						}
					})
					assert.ErrorIs(rt, err, context.Canceled)
				},
				"fetch": func(rt *rapid.T) {
					c, err := a.Snapshot(runners, b.version(runners))
					assert.NilError(rt, err)
					assert.Equal(rt, c.After, b.version(runners), "a full snapshot")
					b.applySnapshot(runners, c)
					assert.Equal(rt, b.version(runners), a.version(runners))
					assert.DeepEqual(rt, runnerVersions(b), runnerVersions(a))
				},
			})
		})
	})
}

// runnerVersions returns the versions of the runners' entries that a node holds, 0 for a
// runner that is not in its catalog.
func runnerVersions(n *node) map[string]uint64 {
	out := map[string]uint64{}
	for name, o := range n.kinds[runners].objects {
		out[name] = o.Version
		if n.catalog.Runner(name) == nil {
			out[name] = 0
		}
	}
	return out
}
