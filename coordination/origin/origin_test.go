package origin

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/memory"
)

// TestStreamsAreNeverFoundAtAnotherVersion guards against a daemon that takes a stream for one of another
// version, whatever it and the others know: after starts, kills, partitions, an unreachable store, and
// versions that come and go.
func TestStreamsAreNeverFoundAtAnotherVersion(t *testing.T) {
	const daemons = 5
	versions := []string{"v1", "v2", "v3"}
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ op, node, other, version int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				op: rapid.IntRange(0, 9).Draw(rt, "op"), node: rapid.IntRange(0, daemons-1).Draw(rt, "node"),
				other: rapid.IntRange(0, daemons-1).Draw(rt, "other"), version: rapid.IntRange(0, len(versions)-1).Draw(rt, "version"),
			}
		}), 1, 60).Draw(rt, "steps")
		large := rapid.Bool().Draw(rt, "large")
		var wrong []string
		synctest.Test(t, func(*testing.T) {
			w := newWorld(clockwork.NewRealClock(), daemons)
			w.large = large
			defer w.stop()
			began := map[string]string{}
			for i, s := range steps {
				n := w.nodes[s.node]
				v := versions[s.version]
				switch s.op {
				case 0:
					w.kill(s.node)
					w.start(s.node, n.known(service)...)
				case 1:
					n.client.SetDisconnected(s.version > 0)
				case 2:
					w.setApart(s.node, s.other, s.version > 0)
				case 3:
					n.show(versions[:s.version+1])
				case 4:
					n.show(versions[s.version:])
				case 5:
					time.Sleep(time.Duration(s.version+1) * 50 * time.Millisecond)
				case 6, 7:
					if id := fmt.Sprint("q", i); n.begin(id, at(v)) {
						began[id] = v
					}
				default:
					for id, v := range began {
						o, err := n.find(id)
						if err == nil && o.Version != v {
							wrong = append(wrong, fmt.Sprintf("step %d: %s began at %s, vm-%d found %s", i, id, v, s.node, o.Version))
						}
					}
				}
			}
		})
		assert.Equal(rt, len(wrong), 0, "%v", wrong)
	})
}

// TestStreamsAreFoundByOtherDaemons guards against streams that can't be taken up at another daemon: while
// one version serves, when a second one comes, and after their daemon has been killed.
func TestStreamsAreFoundByOtherDaemons(t *testing.T) {
	for _, tt := range []struct {
		name   string
		large  bool
		killed []int
		then   []string // versions that serve when the streams are taken up
		began  []string
		found  bool
	}{
		{"one version", false, nil, nil, []string{"v1"}, true},
		{"one version, all daemons killed", false, []int{0, 1, 2, 3, 4, 5, 6, 7}, nil, []string{"v1"}, true},
		{"two versions", false, nil, nil, []string{"v1", "v2"}, true},
		{"two versions, the daemon killed", false, []int{0}, nil, []string{"v1", "v2"}, true},
		{"two versions, large fleet", true, nil, nil, []string{"v1", "v2"}, true},
		{"two versions, large fleet, the daemon killed", true, []int{0}, nil, []string{"v1", "v2"}, true},
		{"a second version comes while they run", false, []int{0}, []string{"v1", "v2"}, []string{"v1"}, true},
		{"two versions, all daemons killed", false, []int{0, 1, 2, 3, 4, 5, 6, 7}, nil, []string{"v1", "v2"}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(clockwork.NewRealClock(), 8)
			w.large = tt.large
			defer w.stop()
			for _, n := range w.nodes {
				n.show(tt.began)
			}
			for i := range 20 {
				assert.Assert(t, w.nodes[0].begin(fmt.Sprint("q", i), at(tt.began[i%len(tt.began)])), tt.name)
			}
			if tt.then != nil {
				for _, n := range w.nodes {
					n.show(tt.then)
				}
				assert.Assert(t, w.nodes[1].begin("other", at("v2")))
				time.Sleep(sweepInterval + time.Millisecond)
			}
			time.Sleep(sendDelay + time.Millisecond)
			for _, i := range tt.killed {
				w.kill(i)
			}
			for _, i := range tt.killed[min(1, len(tt.killed)):] {
				w.start(i, w.nodes[i].known(service)...)
			}
			for i := range 20 {
				o, err := w.nodes[1+i%7].find(fmt.Sprint("q", i))
				if !tt.found {
					assert.Assert(t, errors.Is(err, core.ErrOriginUnknown) || errors.Is(err, core.ErrOriginUnanswered), tt.name)
					continue
				}
				assert.NilError(t, err, tt.name)
				assert.Equal(t, o, at(tt.began[i%len(tt.began)]), tt.name)
			}
		})
	}
}

// TestStreamsAreFoundInFleetsOfAnySize guards against records that are not where they are looked for, as
// daemons have ended since or the fleet is large.
func TestStreamsAreFoundInFleetsOfAnySize(t *testing.T) {
	const streams = 100
	for _, daemons := range []int{2, 8, 70, 300} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(clockwork.NewRealClock(), daemons)
			w.large = daemons > 16
			defer w.stop()
			for _, n := range w.nodes {
				n.show([]string{"v1", "v2"})
			}
			for i := range streams {
				assert.Assert(t, w.nodes[0].begin(fmt.Sprint("q", i), at("v1")))
				assert.Assert(t, w.nodes[0].begin(fmt.Sprint("r", i), at("v2")))
			}
			time.Sleep(sendDelay + time.Millisecond)
			w.kill(0)
			began := time.Now()
			for i := range streams {
				n := w.nodes[1+i%(daemons-1)]
				o, err := n.find(fmt.Sprint("q", i))
				assert.NilError(t, err, "%d daemons", daemons)
				assert.Equal(t, o, at("v1"))
				o, err = n.find(fmt.Sprint("r", i))
				assert.NilError(t, err, "%d daemons", daemons)
				assert.Equal(t, o, at("v2"))
			}
			assert.Assert(t, time.Since(began) < askTimeout, "%v", time.Since(began))
		})
	}
}

// TestStoreOutage guards against a stream that is given up for good while the store may soon name its version,
// and against a daemon cut off from the store that lets no stream begin although others know the version.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(clockwork.NewRealClock(), 3)
		defer w.stop()
		for _, n := range w.nodes {
			n.show([]string{"v1"})
		}
		assert.Assert(t, w.nodes[0].begin("q", at("v1")) && w.nodes[2].begin("p", at("v1")))
		w.kill(0)
		w.nodes[1].client.SetDisconnected(true)
		_, err := w.nodes[1].find("q")
		assert.Assert(t, errors.Is(err, core.ErrOriginUnanswered), "%v", err)
		assert.Assert(t, w.nodes[1].begin("r", at("v1")))
		assert.Assert(t, !w.nodes[1].begin("s", at("v2")))
		w.nodes[1].client.SetDisconnected(false)
		o, err := w.nodes[1].find("q")
		assert.NilError(t, err)
		assert.Equal(t, o, at("v1"))
		time.Sleep(admitPause)
		assert.Assert(t, w.nodes[1].begin("s", at("v2")))
	})
}

// TestIDsUsedTwice guards against a stream that goes on at the version of another one, because a caller has
// used its id for both.
func TestIDsUsedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(clockwork.NewRealClock(), 4)
		defer w.stop()
		for _, n := range w.nodes {
			n.show([]string{"v1", "v2"})
		}
		assert.Assert(t, w.nodes[0].begin("q", at("v1")))
		assert.Assert(t, w.nodes[1].begin("q", at("v2")))
		time.Sleep(sendDelay + time.Millisecond)
		_, err := w.nodes[3].find("q")
		assert.Assert(t, err != nil)
	})
}

// TestNothingIsSentWhileOneVersionServes guards against a price for streams that no other version could
// continue.
func TestNothingIsSentWhileOneVersionServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(clockwork.NewRealClock(), 4)
		defer w.stop()
		for _, n := range w.nodes {
			n.show([]string{"v1"})
		}
		for i := range 100 {
			assert.Assert(t, w.nodes[i%4].begin(fmt.Sprint("q", i), at("v1")))
		}
		time.Sleep(2 * sweepInterval)
		assert.Equal(t, w.sent, 0)
	})
}

// TestOriginOfAnotherWorkspace guards against a caller that learns of another workspace's streams.
func TestOriginOfAnotherWorkspace(t *testing.T) {
	one, other := &core.Workspace{Name: "one", Code: core.CodeOf("one")}, &core.Workspace{Name: "other", Code: core.CodeOf("other")}
	tracker := New(func(string) []string { return []string{"v1", "v2"} }, clockwork.NewRealClock(), zap.NewNop())
	tracker.Begin(core.StreamKeyOf(one, "q"), one, at("v1"))
	for _, tt := range []struct {
		workspace *core.Workspace
		known     bool
	}{{one, true}, {other, false}, {nil, false}} {
		k := core.StreamKeyOf(tt.workspace, "q")
		_, err := tracker.Find(t.Context(), &k, service)
		assert.Equal(t, err == nil, tt.known)
	}
}

// TestTableIsBounded guards against a workspace that displaces the records of others, and against
// records that are kept for ever.
func TestTableIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock)
	table.max = 100
	quiet := core.StreamKeyOf(nil, "quiet")
	table.Put(quiet, 1, at("v1"))
	for i := range 1000 {
		table.Put(core.StreamKeyOf(nil, fmt.Sprint(i)), 2, at("v1"))
	}
	assert.Equal(t, table.Len(), 100)
	_, ok := table.Get(quiet)
	assert.Assert(t, ok)
	_, ok = table.Get(core.StreamKeyOf(nil, "0"))
	assert.Assert(t, !ok)
	_, ok = table.Get(core.StreamKeyOf(nil, "999"))
	assert.Assert(t, ok)
	clock.Advance(recordTTL)
	_, ok = table.Get(quiet)
	assert.Assert(t, !ok)
	table.Sweep()
	assert.Equal(t, table.Len(), 0)
}

// TestAdmission guards against a stream that begins at a version which the store does not list.
func TestAdmission(t *testing.T) {
	for _, tt := range []struct {
		name     string
		prepare  func(store *memory.Store, c *memory.Client)
		admitted bool
		listed   string // sole version in the store; empty: none or several
	}{
		{"the first version", func(*memory.Store, *memory.Client) {}, true, "v1"},
		{"the store is not reached", func(_ *memory.Store, c *memory.Client) { c.SetDisconnected(true) }, false, ""},
		{"the answer is lost", func(_ *memory.Store, c *memory.Client) { c.LoseAnswers(1) }, false, "v1"},
		{"another version is listed", func(s *memory.Store, _ *memory.Client) {
			NewRegistry(s.Client(), clockwork.NewRealClock(), zap.NewNop()).Admit(t.Context(), at("v2"))
		}, true, ""},
	} {
		store := memory.New()
		client := store.Client()
		r := NewRegistry(client, clockwork.NewRealClock(), zap.NewNop())
		tt.prepare(store, client)
		assert.Equal(t, r.Admit(t.Context(), at("v1")), tt.admitted, tt.name)
		o, err := NewRegistry(store.Client(), clockwork.NewRealClock(), zap.NewNop()).Sole(t.Context(), service)
		assert.Equal(t, err == nil, tt.listed != "", tt.name)
		assert.Equal(t, o.Version, tt.listed, tt.name)
	}
}

// TestRetirement guards against a version that is listed for ever after its last runner has gone, and
// against one that is removed while streams begin at it.
func TestRetirement(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := memory.New()
	holder := NewRegistry(store.Client(), clock, zap.NewNop())
	other := NewRegistry(store.Client(), clock, zap.NewNop())
	sole := func() string {
		o, _ := NewRegistry(store.Client(), clock, zap.NewNop()).Sole(t.Context(), service)
		return o.Version
	}
	// step lets time pass with runners of some versions, and retires what may be.
	step := func(d time.Duration, present ...string) {
		for passed := time.Duration(0); passed < d; passed += time.Minute {
			clock.Advance(time.Minute)
			retired, _ := holder.observe(service, present)
			for _, o := range retired {
				holder.retire(t.Context(), o)
			}
			_, stale := other.observe(service, present)
			if stale {
				other.refresh(t.Context(), service)
			}
		}
	}
	for _, v := range []string{"v1", "v2"} {
		assert.Assert(t, holder.Admit(t.Context(), at(v)) && other.Admit(t.Context(), at(v)))
	}
	holder.observe(service, []string{"v1", "v2"})
	step(retireAfter+2*time.Minute, "v2") // v1 is marked
	assert.Equal(t, sole(), "")
	assert.Assert(t, !other.Admitted(at("v1")))
	assert.Assert(t, other.Admit(t.Context(), at("v1"))) // a runner of it has come back, which only the other one sees
	step(retireAfter+time.Minute, "v2")
	assert.Equal(t, sole(), "")
	step(2*retireAfter+2*time.Minute, "v2")
	assert.Equal(t, sole(), "v2")
	assert.Assert(t, !other.Several(service))
	assert.Assert(t, !other.Admitted(at("v1")) && other.Admitted(at("v2")))
	assert.Assert(t, other.Admit(t.Context(), at("v1")))
	assert.Equal(t, sole(), "")
}
