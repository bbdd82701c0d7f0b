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

// spoiled is a runner's entry that can't be read.
const spoiled = `"spoiled"`

// node is one daemon's watches; its neighbour is another node.
type node struct {
	*Watcher
	catalog *catalog.Catalog
	client  *memory.Client
	near    *node
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
			if string(body) == spoiled {
				return nil, core.ErrInvalid
			}
			return &core.Runner{ID: id, Service: "s", Draining: string(body) == `"draining"`}, nil
		},
	}, n.neighbour, n.catalog, clock, zap.NewNop(), opts...)
	return n
}

func (n *node) neighbour(_ context.Context, kind, _ string, after uint64) (Copy, error) {
	if n.near == nil {
		return Copy{}, core.ErrUnavailable
	}
	return n.near.Copy(kind, after)
}

func (n *node) version() uint64 {
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

// Requests go by an old configuration for ten seconds. While the store drops its
// history, watches that wait hear nothing and are not cut; the change made in
// between must be found when the wait ends.
func TestChangeInAForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.version() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.Forget()
		s.DropEvents(false)
		within(t, 4*time.Second, "second config", func() bool { return n.version() == 2 })
	})
}

// One of several daemons finds the change that all have missed; the others must
// not wait for the end of their own watches.
func TestNewerConfigOfAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.version() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.DropEvents(false)
		for range 3 { // beats repeat it; the first ones are given a moment
			n.Hint("other", true, core.Changes{Config: s.Version()})
			time.Sleep(hintPatience)
		}
		within(t, 100*time.Millisecond, "second config", func() bool { return n.version() == 2 })
	})
}

// The store turns one VM away and serves the others: its requests go by an
// old configuration and to runners that have left, for as long as that lasts.
func TestCopyOfAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		a.near = b
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.version() == 1 && b.version() == 1 })
		a.client.Cut(true)
		s.Put(configs, "main", "2")
		s.Put(runners, "r1", `"draining"`)
		within(t, 2*time.Second, "copies", func() bool { return a.version() == 2 && !a.catalog.Runner("r1").Usable() })
		assert.Assert(t, a.Failing())
		c, err := a.Copy(configs, 0)
		assert.NilError(t, err)
		assert.Assert(t, c.Stale)
		a.client.Cut(false)
		within(t, 2*time.Second, "return", func() bool { return !a.Failing() })
	})
}

// Most of the fleet is dropped at the end of an outage: entries of live runners
// lapse while the store is away and are back two seconds after its return. A
// runner that leaves later on must get no work for two seconds more.
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
		n.client.Cut(true)
		s.Remove(runners, "r1")
		s.Remove(runners, "r2")
		time.Sleep(4 * time.Second)
		n.client.Cut(false)
		time.Sleep(time.Second)
		assert.Assert(t, known("r1") && known("r2"), "lapsed entries are dropped at once")
		s.Put(runners, "r1", `"ready"`)
		within(t, 3*time.Second, "r2 gone", func() bool { return !known("r2") })
		assert.Assert(t, known("r1"))
		s.Remove(runners, "r1")
		within(t, 500*time.Millisecond, "r1 gone", func() bool { return !known("r1") })
	})
}

// A runner that has left gets work for as long as one daemon is turned away by
// the store: its copies of others' lists lacked the runner, and each one began
// the grace for lapsed entries anew.
func TestMissingInACopyOfAHealthyDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		a.near = b
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.catalog.Runner("r1") != nil && b.catalog.Runner("r1") != nil })
		a.client.Cut(true)
		time.Sleep(5 * time.Second)
		s.Remove(runners, "r1")
		within(t, 1500*time.Millisecond, "gone", func() bool { return a.catalog.Runner("r1") == nil })
	})
}

// A runner that leaves gets work for seconds: the time of day was five seconds
// ahead when the store failed, and was set back since. Only monotonic time may
// decide how long the store has not failed.
func TestStepOfTheTimeOfDay(t *testing.T) {
	n := newNode(memory.New())
	n.fails(configs, core.ErrUnavailable)
	lost := func() string { return n.kinds[configs].lost.String() }
	assert.Assert(t, strings.Contains(lost(), "m="), "%v has no monotonic reading", lost())
	n.works(configs)
	assert.Assert(t, strings.Contains(lost(), "m="), "%v has no monotonic reading", lost())
}

// A runner that has left gets work for two seconds more: the store turned a call for
// another kind away, and with it the grace for lapsed entries of runners began anew.
func TestOtherKindsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "start", func() bool { return n.catalog.Runner("r1") != nil })
		time.Sleep(5 * time.Second)
		n.fails(configs, core.ErrUnavailable)
		s.Remove(runners, "r1")
		within(t, 500*time.Millisecond, "gone", func() bool { return n.catalog.Runner("r1") == nil })
	})
}

// Each of thousands of daemons watches the store, which answers all of them at
// each change. A few watch, the others take what changed from them, and watch
// themselves when those have gone.
func TestFewDaemonsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		var leads atomic.Bool
		leads.Store(true)
		a := newNode(s)
		b := newNode(s, WithActive(leads.Load))
		b.near = a
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.version() == 1 && b.version() == 1 })
		leads.Store(false) // they have found each other
		time.Sleep(4 * time.Second)
		calls := b.client.Calls()
		for v := 2; v < 10; v++ {
			s.Put(configs, "main", fmt.Sprint(v))
			within(t, time.Second, "watched", func() bool { return a.version() == uint64(v) })
			b.Hint("a", true, a.Changes())
			within(t, 100*time.Millisecond, "followed", func() bool { return b.version() == uint64(v) })
		}
		assert.Equal(t, b.client.Calls(), calls, "the follower asked the store")
		a.client.Cut(true)
		leads.Store(true)
		s.Put(configs, "main", "10")
		within(t, time.Second, "leads", func() bool { return b.version() == 10 })
	})
}

// A place whose own watcher has missed a change never learns of it, although
// daemons of other places have told of it; or each daemon fetches each change from
// another place. The word of another place counts when nobody near knows better
// for a moment.
func TestWordOfAnotherPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		var leads atomic.Bool
		leads.Store(true)
		a, b := newNode(s), newNode(s, WithActive(leads.Load))
		b.near = a
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.version() == 1 && b.version() == 1 })
		leads.Store(false)
		time.Sleep(4 * time.Second)
		s.Put(configs, "main", "2")
		within(t, time.Second, "watched", func() bool { return a.version() == 2 })
		b.Hint("a", false, a.Changes()) // told once
		time.Sleep(farPatience / 2)
		assert.Equal(t, b.version(), uint64(1), "fetched from another place at once")
		within(t, farPatience+followCheck, "followed", func() bool { return b.version() == 2 })
		s.Put(configs, "main", "3")
		within(t, time.Second, "watched", func() bool { return a.version() == 3 })
		b.Hint("a", false, a.Changes())
		b.Hint("a", true, a.Changes())
		within(t, 50*time.Millisecond, "followed one that is near", func() bool { return b.version() == 3 })
	})
}

// The store is asked for all objects again and again: each kind that is listed
// again makes the other one be listed again.
func TestForgottenHistoryIsListedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.version() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.Forget()
		s.DropEvents(false)
		within(t, 4*time.Second, "second config", func() bool { return n.version() == 2 })
		before := n.client.Calls()
		time.Sleep(10 * time.Second)
		assert.Assert(t, n.client.Calls()-before < 30, "%d looks in ten seconds", n.client.Calls()-before)
	})
}

// The same at its cause: a watch that is cancelled to list again must not pass
// for one whose history the store has forgotten.
func TestRelistIsNotAForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(memory.New())
		ended := make(chan error, 1)
		go func() { ended <- n.watch(context.Background(), configs) }()
		time.Sleep(time.Second)
		n.relist("")
		assert.Assert(t, !errors.Is(<-ended, core.ErrGone))
	})
}

const branch = `{"node":{"set":{"concurrency":7}},"log":[]}`

// Requests go by settings that operators have changed, or by a branch that they
// have deleted: a daemon missed it while the store forgot its history. Changes and
// deletions arrive by the watch and by lists alike.
func TestSettingsFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		replica := tree.NewReplica(tree.WithOverlay())
		n := newNode(s, WithSettings(replica))
		n.Start()
		defer n.Stop()
		within(t, time.Second, "known without any branch", func() bool { return replica.Tree() != nil })
		limitOf := func() int { return replica.Tree().Effective(tree.Coord{Service: "s"}).Concurrency }
		assert.Equal(t, limitOf(), 0)
		s.Put(core.KindTree, "service.s", branch)
		within(t, time.Second, "watched", func() bool { return limitOf() == 7 })
		s.Put(core.KindTree, "service.s", `{"node":{"set":{"concurency":9}}}`)
		within(t, time.Second, "fault told", func() bool { return len(replica.Problems()) == 1 })
		assert.Equal(t, limitOf(), 7, "the good one stays in force")
		s.DropEvents(true)
		s.Remove(core.KindTree, "service.s")
		s.Forget()
		s.DropEvents(false)
		within(t, 4*time.Second, "deletion found by a list", func() bool { return limitOf() == 0 })
	})
}

// A service whose settings must be fresh is refused at daemons that do not watch
// the store, or is served for hours at one that is cut off from all: the age of
// the settings goes from daemon to daemon, and grows on its way.
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
		a.client.Cut(true)
		time.Sleep(time.Minute)
		assert.Assert(t, a.SettingsAge() > 55*time.Second, "%v", a.SettingsAge())
		a.Confirm(s.Version()+1, 0)
		assert.Assert(t, a.SettingsAge() > 55*time.Second, "the other knows a change that is not known here")
		a.Confirm(s.Version(), 2*time.Second)
		age := a.SettingsAge()
		assert.Assert(t, age >= 2*time.Second && age < 3*time.Second, "%v", age)
		a.Confirm(s.Version(), -1)
		a.Confirm(s.Version(), time.Hour)
		assert.Assert(t, a.SettingsAge() < 3*time.Second, "%v", a.SettingsAge())
	})
}

// Callers of a daemon that has just been started are refused for as long as the
// store is away, while all others serve by what they know. It takes a copy from
// one of them; but a copy that may be old replaces nothing that is known.
func TestStartedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		b.near = a
		a.Start()
		defer a.Stop()
		within(t, time.Second, "start", func() bool { return a.version() == 1 && a.catalog.Runner("r1") != nil })
		a.client.Cut(true)
		b.client.Cut(true)
		within(t, time.Second, "failing", a.Failing)
		b.Start()
		defer b.Stop()
		within(t, time.Second, "known from the other", func() bool { return b.version() == 1 && b.catalog.Runner("r1") != nil })
		s.Put(configs, "main", "2")
		s.Remove(runners, "r1")
		b.client.Cut(false)
		within(t, 2*time.Second, "the store's own", func() bool { return b.version() == 2 })
		time.Sleep(5 * time.Second)
		assert.Assert(t, b.catalog.Runner("r1") == nil)
		b.client.Cut(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, b.catalog.Runner("r1") == nil, "an old copy brings a runner back that is gone")
	})
}

// A runner that has left gets work at one daemon, or a live one is lost there: the
// changes that daemons tell each other leave out a deletion, or delete an entry
// that has come back. Whatever the store does, and however the first daemon learns
// of it, a daemon that takes its changes ends with the same objects.
func TestChangesBetweenDaemons(t *testing.T) {
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
				"lists":  func(rt *rapid.T) { assert.NilError(rt, a.list(ctx, runners)) },
				"watches": func(*rapid.T) {
					sub, cancel := context.WithCancel(ctx)
					defer cancel()
					err := a.client.Watch(sub, runners, a.known(runners), func(e core.Event) {
						if e.Deleted { // the least that a store may tell of it
							e.Object.Version = 1
						}
						a.change(runners, e)
						if e.Object.Name == "" {
							cancel()
						}
					})
					assert.ErrorIs(rt, err, context.Canceled)
				},
				"asks": func(rt *rapid.T) {
					c, err := a.Copy(runners, b.known(runners))
					assert.NilError(rt, err)
					assert.Equal(rt, c.After, b.known(runners), "all again")
					b.adopt(runners, c)
					assert.Equal(rt, b.known(runners), a.known(runners))
					assert.DeepEqual(rt, held(b), held(a))
				},
			})
		})
	})
}

// held are the runners that a node knows, with the versions of their entries.
func held(n *node) map[string]uint64 {
	out := map[string]uint64{}
	for name, o := range n.kinds[runners].objects {
		out[name] = o.Version
		if n.catalog.Runner(name) == nil {
			out[name] = 0
		}
	}
	return out
}

// At the end of an outage the store has thousands of calls to answer, each of which
// is counted: all daemons ask it again and again. The first few try, the others wait
// for their word, and all know what has changed a moment after the store's return;
// also where the store turned away just those that watched.
func TestFewDaemonsTryDuringAnOutage(t *testing.T) {
	cases := []struct {
		name string
		cut  int // of twelve daemons
	}{{"all", 12}, {"the first two, which watched", 2}}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := memory.New()
			s.Put(configs, "main", "1")
			var nodes []*node
			watches := func(i int) bool { // as the daemons decide
				failing, before := nodes[i].Failing(), 0
				for _, other := range nodes[:i] {
					if failing || !other.Failing() {
						before++
					}
				}
				return before < 2
			}
			for i := range 12 {
				nodes = append(nodes, newNode(s, WithActive(func() bool { return watches(i) })))
			}
			for i, n := range nodes {
				n.near = nodes[(i+5)%len(nodes)]
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
			go func() { // the daemons tell each other
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
					return !slices.ContainsFunc(nodes, func(n *node) bool { return n.version() != version })
				}
			}
			within(t, time.Second, "start", all(1))
			time.Sleep(5 * time.Second)
			before := 0
			for _, n := range nodes {
				before += n.client.Calls()
			}
			for _, n := range nodes[:one.cut] {
				n.client.Cut(true)
			}
			time.Sleep(5 * time.Second)
			calls := -before
			for _, n := range nodes {
				calls += n.client.Calls()
			}
			assert.Assert(t, calls < 150, "%s: %d calls in five seconds", one.name, calls)
			s.Put(configs, "main", "2")
			for _, n := range nodes {
				n.client.Cut(false)
			}
			within(t, 2*time.Second, one.name, all(2))
			time.Sleep(time.Minute)
			s.Put(configs, "main", "3")
			within(t, 2*time.Second, one.name+", a minute later", all(3))
		})
	}
}
