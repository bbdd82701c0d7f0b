package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/standin/memory"
)

// If one of several daemons finds a change that the watches of all have missed, the others
// must not wait for the end of their own watches.
func TestHintOfNewerConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.configVersion() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.DropEvents(false)
		for range 3 { // as heartbeats repeat it; the first ones only start watchHintDelay
			n.Hint("other", true, core.Changes{Config: s.Version()})
			time.Sleep(watchHintDelay)
		}
		within(t, 100*time.Millisecond, "second config", func() bool { return n.configVersion() == 2 })
	})
}

// If each of thousands of daemons watches the store, it has to answer all of them at each
// change. Only a few watch; the others fetch the changes from those, and watch themselves
// when those have stopped.
func TestFewDaemonsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		var watches atomic.Bool
		watches.Store(true)
		a := newNode(s)
		b := newNode(s, WithWatchCondition(watches.Load))
		b.peer = a
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.configVersion() == 1 && b.configVersion() == 1 })
		watches.Store(false) // the daemons have discovered each other
		time.Sleep(4 * time.Second)
		calls := b.client.Calls()
		for v := 2; v < 10; v++ {
			s.Put(configs, "main", fmt.Sprint(v))
			within(t, time.Second, "received by watch", func() bool { return a.configVersion() == uint64(v) })
			b.Hint("a", true, a.Changes())
			within(t, 100*time.Millisecond, "fetched from the peer", func() bool { return b.configVersion() == uint64(v) })
		}
		assert.Equal(t, b.client.Calls(), calls, "a daemon that does not watch called the store")
		a.client.SetDisconnected(true)
		watches.Store(true)
		s.Put(configs, "main", "10")
		within(t, time.Second, "b watches again", func() bool { return b.configVersion() == 10 })
	})
}

// A hint from another data centre counts only after no peer of the same data centre has
// reported the change for remoteHintDelay. If it never counted, a data centre whose own
// watching daemon has missed a change would never get it; if it counted at once, each daemon
// would fetch each change from another data centre.
func TestHintOfAnotherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		var watches atomic.Bool
		watches.Store(true)
		a, b := newNode(s), newNode(s, WithWatchCondition(watches.Load))
		b.peer = a
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.configVersion() == 1 && b.configVersion() == 1 })
		watches.Store(false)
		time.Sleep(4 * time.Second)
		s.Put(configs, "main", "2")
		within(t, time.Second, "received by watch", func() bool { return a.configVersion() == 2 })
		b.Hint("a", false, a.Changes()) // reported once
		time.Sleep(remoteHintDelay / 2)
		assert.Equal(t, b.configVersion(), uint64(1), "fetched from another data centre at once")
		within(t, remoteHintDelay+followInterval, "fetched from the peer", func() bool { return b.configVersion() == 2 })
		s.Put(configs, "main", "3")
		within(t, time.Second, "received by watch", func() bool { return a.configVersion() == 3 })
		b.Hint("a", false, a.Changes())
		b.Hint("a", true, a.Changes())
		within(t, 50*time.Millisecond, "fetched from a peer of the same data centre", func() bool { return b.configVersion() == 3 })
	})
}

// If all daemons retry during an outage, the store has thousands of calls to answer at its
// end, each of which is counted. Only the first few retry, the others wait for their
// reports, and all must have the changes soon after the store's return, also if the store
// turned away only those daemons that watched.
func TestFewDaemonsRetryDuringOutage(t *testing.T) {
	cases := []struct {
		name string
		cut  int // how many of the twelve daemons the store turns away
	}{{"all", 12}, {"the first two, which watched", 2}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := memory.New()
			s.Put(configs, "main", "1")
			var nodes []*node
			watches := func(i int) bool { // as daemons decide in services/fleet
				failing, before := nodes[i].Failing(), 0
				for _, other := range nodes[:i] {
					if failing || !other.Failing() {
						before++
					}
				}
				return before < 2
			}
			for i := range 12 {
				nodes = append(nodes, newNode(s, WithWatchCondition(func() bool { return watches(i) })))
			}
			for i, n := range nodes {
				n.peer = nodes[(i+5)%len(nodes)]
				n.Start()
				defer n.Stop()
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer func() {
				cancel()
				wg.Wait()
			}()
			wg.Add(1)
			go func() { // heartbeats
				defer wg.Done()
				for ctx.Err() == nil {
					for _, from := range nodes {
						for _, to := range nodes {
							to.Hint("any", true, from.Changes())
						}
					}
					time.Sleep(200 * time.Millisecond)
				}
			}()
			all := func(version uint64) func() bool {
				return func() bool {
					return !slices.ContainsFunc(nodes, func(n *node) bool { return n.configVersion() != version })
				}
			}
			within(t, time.Second, "start", all(1))
			time.Sleep(5 * time.Second)
			before := 0
			for _, n := range nodes {
				before += n.client.Calls()
			}
			for _, n := range nodes[:c.cut] {
				n.client.SetDisconnected(true)
			}
			time.Sleep(5 * time.Second)
			calls := -before
			for _, n := range nodes {
				calls += n.client.Calls()
			}
			assert.Assert(t, calls < 150, "%s: %d calls in five seconds", c.name, calls)
			s.Put(configs, "main", "2")
			for _, n := range nodes {
				n.client.SetDisconnected(false)
			}
			within(t, 2*time.Second, c.name, all(2))
			time.Sleep(time.Minute)
			s.Put(configs, "main", "3")
			within(t, 2*time.Second, c.name+", a minute later", all(3))
		})
	}
}
