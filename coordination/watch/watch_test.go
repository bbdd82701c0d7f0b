package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/memory"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

const (
	configs = "configs"
	runners = "runners"
)

// unreadableEntry is a runner's entry that can't be read.
const unreadableEntry = `"spoiled"`

// node is one daemon's Watcher; it fetches snapshots from its peer.
type node struct {
	*Watcher
	catalog *catalog.Catalog
	client  *memory.Client
	peer    *node
}

func newNode(s *memory.Store, opts ...Option) *node {
	n := &node{client: s.Client()}
	clock := clockwork.NewRealClock()
	n.catalog = catalog.New(clock)
	n.Watcher = New(n.client, Reader{
		ConfigKind: configs, ConfigName: "main", RunnerKind: runners,
		Config: func(body []byte) (*core.Config, error) {
			c := &core.Config{}
			err := json.Unmarshal(body, &c.Version)
			return c, err
		},
		Runner: func(id string, body []byte) (*core.Runner, error) {
			if string(body) == unreadableEntry {
				return nil, core.ErrInvalid
			}
			return &core.Runner{ID: id, Service: "s", Draining: string(body) == `"draining"`}, nil
		},
	}, n.fetchSnapshot, n.catalog, clock, zap.NewNop(), opts...)
	return n
}

func (n *node) fetchSnapshot(_ context.Context, kind, _ string, after uint64) (Snapshot, error) {
	if n.peer == nil {
		return Snapshot{}, core.ErrUnavailable
	}
	return n.peer.Snapshot(kind, after)
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (n *node) configVersion() uint64 {
	if c := n.catalog.Config(); c != nil {
		return c.Version
	}
	return 0
}

// within waits for a condition in virtual time.
func within(t *testing.T, limit time.Duration, what string, fn func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !fn(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s: not within %v", what, limit)
	}
}

// Guards against requests being served by an old configuration for ten seconds. While the
// store drops its history, pending watches get no events and are not cut; the change made in
// between must be found when their wait ends.
func TestChangeInDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.configVersion() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.DropHistory()
		s.DropEvents(false)
		within(t, 4*time.Second, "second config", func() bool { return n.configVersion() == 2 })
	})
}

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

// Guards against removing most of the fleet at the end of an outage of the store: entries
// of live runners expire during the outage and are back two seconds after the store's
// return. A runner that leaves after that must not get work for two more seconds.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		s.Put(runners, "r2", `"ready"`)
		n := newNode(s)
		n.Start()
		defer n.Stop()
		known := func(id string) bool { return n.catalog.Runner(id) != nil }
		within(t, time.Second, "start", func() bool { return known("r1") && known("r2") })
		n.client.SetDisconnected(true)
		s.Remove(runners, "r1")
		s.Remove(runners, "r2")
		time.Sleep(4 * time.Second)
		n.client.SetDisconnected(false)
		time.Sleep(time.Second)
		assert.Assert(t, known("r1") && known("r2"), "runners with lapsed entries were removed at once")
		s.Put(runners, "r1", `"ready"`)
		within(t, 3*time.Second, "r2 gone", func() bool { return !known("r2") })
		assert.Assert(t, known("r1"))
		s.Remove(runners, "r1")
		within(t, 500*time.Millisecond, "r1 gone", func() bool { return !known("r1") })
	})
}

// Guards against sending work to a runner that has left, for as long as the store turns one
// daemon away: the runner was missing in the snapshots that the daemon fetched from its
// peers, and each of them started the grace for lapsed entries again.
func TestMissingInSnapshotOfHealthyPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		a.peer = b
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.catalog.Runner("r1") != nil && b.catalog.Runner("r1") != nil })
		a.client.SetDisconnected(true)
		time.Sleep(5 * time.Second)
		s.Remove(runners, "r1")
		within(t, 1500*time.Millisecond, "gone", func() bool { return a.catalog.Runner("r1") == nil })
	})
}

// Guards against sending work for seconds to a runner that leaves: the time of day was five
// seconds ahead when the store failed, and was set back afterwards. How long the store has
// not failed must be measured by monotonic time.
func TestClockStep(t *testing.T) {
	n := newNode(memory.New())
	n.recordFailure(configs, core.ErrUnavailable)
	failedAt := func() string { return n.kinds[configs].failedAt.String() }
	assert.Assert(t, strings.Contains(failedAt(), "m="), "%v has no monotonic reading", failedAt())
	n.recordSuccess(configs)
	assert.Assert(t, strings.Contains(failedAt(), "m="), "%v has no monotonic reading", failedAt())
}

// Guards against sending work for two more seconds to a runner that has left: the store
// turned away a call for another kind, which started the grace for lapsed entries of runners
// again.
func TestFailureOfAnotherKindStartsNoGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "start", func() bool { return n.catalog.Runner("r1") != nil })
		time.Sleep(5 * time.Second)
		n.recordFailure(configs, core.ErrUnavailable)
		s.Remove(runners, "r1")
		within(t, 500*time.Millisecond, "gone", func() bool { return n.catalog.Runner("r1") == nil })
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

// Guards against listing all objects again and again after the store has dropped its
// history: each kind that was listed again made the other one be listed again.
func TestDroppedHistoryIsListedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.configVersion() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.DropHistory()
		s.DropEvents(false)
		within(t, 4*time.Second, "second config", func() bool { return n.configVersion() == 2 })
		before := n.client.Calls()
		time.Sleep(10 * time.Second)
		assert.Assert(t, n.client.Calls()-before < 30, "%d calls and polls in ten seconds", n.client.Calls()-before)
	})
}

// Guards against the cause of the same fault: the error of a watch that was cancelled to
// list again must differ from that of a watch whose history the store has dropped.
func TestRelistIsNotErrGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(memory.New())
		ended := make(chan error, 1)
		go func() { ended <- n.watch(context.Background(), configs) }()
		time.Sleep(time.Second)
		n.relistOthers("")
		assert.Assert(t, !errors.Is(<-ended, core.ErrGone))
	})
}

const branch = `{"node":{"set":{"concurrency":7}},"log":[]}`

// Guards against requests being served by settings that operators have changed or by a
// branch that they have deleted, after a daemon has missed that while the store dropped its
// history. Changes and deletions must be applied both from a watch and from a list.
func TestSettingsFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		replica := tree.NewReplica(tree.WithOverlay())
		n := newNode(s, WithSettings(replica))
		n.Start()
		defer n.Stop()
		within(t, time.Second, "tree known without any branch", func() bool { return replica.Tree() != nil })
		limitOf := func() int { return replica.Tree().Effective(tree.Selector{Service: "s"}).Concurrency }
		assert.Equal(t, limitOf(), 0)
		s.Put(core.KindTree, "service.s", branch)
		within(t, time.Second, "received by watch", func() bool { return limitOf() == 7 })
		s.Put(core.KindTree, "service.s", `{"node":{"set":{"concurency":9}}}`)
		within(t, time.Second, "problem reported", func() bool { return len(replica.Problems()) == 1 })
		assert.Equal(t, limitOf(), 7, "the last readable branch stays in force")
		s.DropEvents(true)
		s.Remove(core.KindTree, "service.s")
		s.DropHistory()
		s.DropEvents(false)
		within(t, 4*time.Second, "deletion found by a list", func() bool { return limitOf() == 0 })
	})
}

// Requests of a service that requires recently confirmed settings must not be refused at
// daemons that do not watch the store, nor served for hours at one that is cut off from all:
// the age of the settings is passed from daemon to daemon, and grows on the way.
func TestAgeOfSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		a := newNode(s, WithSettings(tree.NewReplica(tree.WithOverlay())))
		assert.Assert(t, a.SettingsAge() < 0)
		a.Start()
		defer a.Stop()
		within(t, time.Second, "start", func() bool { return a.SettingsAge() >= 0 })
		time.Sleep(time.Minute)
		assert.Assert(t, a.SettingsAge() < 5*time.Second, "%v", a.SettingsAge())
		a.client.SetDisconnected(true)
		time.Sleep(time.Minute)
		assert.Assert(t, a.SettingsAge() > 55*time.Second, "%v", a.SettingsAge())
		a.Confirm(s.Version()+1, 0)
		assert.Assert(t, a.SettingsAge() > 55*time.Second, "the peer has a change that this daemon does not have")
		a.Confirm(s.Version(), 2*time.Second)
		age := a.SettingsAge()
		assert.Assert(t, age >= 2*time.Second && age < 3*time.Second, "%v", age)
		a.Confirm(s.Version(), -1)
		a.Confirm(s.Version(), time.Hour)
		assert.Assert(t, a.SettingsAge() < 3*time.Second, "%v", a.SettingsAge())
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
