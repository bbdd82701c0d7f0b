package ledger

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/fuzz"
)

const capacity = 100

func TestMain(m *testing.M) { fuzz.Main(m, 1500, 80) }

// message is an order under way to the endpoint.
type message struct {
	order core.Order
	until time.Time // after this it can no longer arrive; zero: no bound
}

// owner is a daemon that acts as the runner's owner. Its copy of the record may be old,
// since the process may have been suspended for any time.
type owner struct {
	record  Record
	version uint64
	readAt  int // step of the model at which record was read
	obs     core.Observation
	obsAt   int // step at which obs was requested
}

// system models one runner with its record in the platform, an endpoint that checks or
// ignores fencing numbers, a network that loses, delays, duplicates and reorders orders,
// and two daemons that both act as owner of the runner.
type system struct {
	rules    Rules
	now      time.Time
	step     int
	record   Record // as stored
	version  uint64
	owners   [2]owner
	inFlight []message
	held     map[string]core.Resident
	fence    uint64
}

func newSystem(fenced bool) *system {
	return &system{
		rules: Rules{Fenced: fenced, Lifetime: 20 * time.Second},
		now:   time.Unix(1e9, 0),
		held:  map[string]core.Resident{},
	}
}

func (sys *system) read(own *owner) {
	own.record, own.version, own.readAt = sys.record.clone(), sys.version, sys.step
}

// write is the conditional update. That of an owner with an old copy fails.
func (sys *system) write(own *owner, next Record) {
	if own.version != sys.version {
		return
	}
	sys.version++
	sys.record = next.clone()
	sys.read(own)
}

// arrive lets the endpoint execute an order.
func (sys *system) arrive(o core.Order) {
	if sys.rules.Fenced && o.Fence < sys.fence {
		return
	}
	sys.fence = max(sys.fence, o.Fence)
	key := o.Model + "@" + o.Version
	switch o.Kind {
	case core.OrderLoad:
		if _, ok := sys.held[key]; !ok {
			sys.held[key] = core.Resident{Model: o.Model, Version: o.Version, Bytes: o.Bytes}
		}
	case core.OrderEvict:
		delete(sys.held, key)
	}
}

func (sys *system) observation() core.Observation {
	o := core.Observation{}
	if sys.rules.Fenced {
		o.Fence = sys.fence
	}
	for _, r := range sys.held {
		o.Residents = append(o.Residents, r)
	}
	slices.SortFunc(o.Residents, func(a, b core.Resident) int {
		if a.Model+a.Version < b.Model+b.Version {
			return -1
		}
		return 1
	})
	return o
}

// maxMemory returns the most memory that the endpoint uses or may come to use through
// orders under way.
func (sys *system) maxMemory() int64 {
	sizes := map[string]int64{}
	for key, r := range sys.held {
		sizes[key] = r.Bytes
	}
	for _, msg := range sys.inFlight {
		late := !msg.until.IsZero() && sys.now.After(msg.until)
		refused := sys.rules.Fenced && msg.order.Fence < sys.fence
		if msg.order.Kind == core.OrderLoad && !late && !refused {
			sizes[msg.order.Model+"@"+msg.order.Version] = msg.order.Bytes
		}
	}
	var sum int64
	for _, n := range sizes {
		sum += n
	}
	return sum
}

func (sys *system) check(t *rapid.T) {
	if used := sys.maxMemory(); used > capacity {
		t.Fatalf("endpoint may use %d of %d bytes; record %+v", used, capacity, sys.record)
	}
}

// sometimesRead lets most decisions start from the newest record. The conditional update
// refuses those that do not.
func (sys *system) sometimesRead(t *rapid.T, own *owner) {
	if rapid.IntRange(0, 3).Draw(t, "old copy") > 0 {
		sys.step++
		sys.read(own)
	}
}

func (sys *system) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *owner { return &sys.owners[rapid.IntRange(0, 1).Draw(t, "owner")] }
	return map[string]func(*rapid.T){
		"": sys.check,
		"read": func(t *rapid.T) {
			sys.step++
			sys.read(pick(t))
		},
		"load": func(t *rapid.T) {
			own := pick(t)
			sys.sometimesRead(t, own)
			e := Entry{
				Model:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"),
				Version: rapid.SampledFrom([]string{"1", "1", "2"}).Draw(t, "version"),
				Bytes:   int64(rapid.SampledFrom([]int{40, 60}).Draw(t, "bytes")),
			}
			if next, err := own.record.Load(e, capacity, own.version, sys.now); err == nil {
				sys.write(own, next)
			}
		},
		"evict": func(t *rapid.T) {
			own := pick(t)
			sys.sometimesRead(t, own)
			if len(own.record.Entries) == 0 {
				t.Skip("nothing held")
			}
			e := own.record.Entries[rapid.IntRange(0, len(own.record.Entries)-1).Draw(t, "entry")]
			if next, err := own.record.Evict(e.Model, e.Version, "", own.version, sys.now); err == nil {
				sys.write(own, next)
			}
		},
		"send": func(t *rapid.T) {
			own := pick(t)
			for _, e := range own.record.Entries {
				if e.State != Loading && e.State != Evicting {
					continue
				}
				// An owner that is suspended after this check sends late. An
				// endpoint that checks fencing numbers must refuse such orders, so
				// here no time bounds them.
				if !sys.rules.Fenced && !e.MaySend(sys.now) {
					continue
				}
				msg := message{order: e.Order(own.version)}
				if !sys.rules.Fenced {
					msg.until = sys.now.Add(sys.rules.Lifetime)
				}
				sys.inFlight = append(sys.inFlight, msg)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(sys.inFlight) == 0 {
				t.Skip("nothing under way")
			}
			i := rapid.IntRange(0, len(sys.inFlight)-1).Draw(t, "message")
			msg := sys.inFlight[i]
			if !rapid.Bool().Draw(t, "duplicated") {
				sys.inFlight = slices.Delete(sys.inFlight, i, i+1)
			}
			if msg.until.IsZero() || !sys.now.After(msg.until) {
				sys.arrive(msg.order)
			}
		},
		"lose": func(t *rapid.T) {
			if len(sys.inFlight) == 0 {
				t.Skip("nothing under way")
			}
			i := rapid.IntRange(0, len(sys.inFlight)-1).Draw(t, "message")
			sys.inFlight = slices.Delete(sys.inFlight, i, i+1)
		},
		"finish": func(*rapid.T) {
			for key, r := range sys.held {
				r.Ready = true
				sys.held[key] = r
			}
		},
		// A restart closes all connections and so loses all orders under way.
		"restart": func(*rapid.T) {
			clear(sys.held)
			sys.inFlight = nil
		},
		"observe": func(t *rapid.T) {
			sys.step++
			own := pick(t)
			own.obs, own.obsAt = sys.observation(), sys.step
		},
		"settle": func(t *rapid.T) {
			own := pick(t)
			if own.obsAt <= own.readAt {
				t.Skip("the observation is older than the record")
			}
			next, settled := own.record.Settle(own.obs, sys.rules, own.version, sys.now)
			next, again := next.Authorise(own.obs, sys.rules, sys.now)
			if settled || again {
				sys.write(own, next)
			}
		},
		// A tick is what an owner does that is not suspended.
		"tick": func(t *rapid.T) {
			own := pick(t)
			sys.step++
			sys.read(own)
			next, settled := own.record.Settle(sys.observation(), sys.rules, own.version, sys.now)
			next, again := next.Authorise(sys.observation(), sys.rules, sys.now)
			if settled || again {
				sys.write(own, next)
			}
		},
		"wait": func(t *rapid.T) {
			sys.now = sys.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
		},
	}
}

// Guards against an accelerator that runs out of memory, so that its engine exits with all
// its requests. Orders are lost, late, duplicated and reordered. An owner is suspended
// past the end of any lease and continues with its old state, while a second owner
// decides. The memory that the endpoint uses or may come to use through orders under way
// must never exceed its capacity.
func TestMemoryIsNeverOverCommitted(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sys := newSystem(fenced)
				t.Repeat(sys.actions())
			})
		})
	}
}

// Guards against memory that is never freed and lost models that are never loaded again.
// With a working network, every order must settle in a bounded number of steps.
func TestOrdersSettle(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		sys := newSystem(fenced)
		own := &sys.owners[0]
		tick := func() {
			sys.step++
			sys.read(own)
			sys.step++
			obs := sys.observation()
			next, _ := own.record.Settle(obs, sys.rules, own.version, sys.now)
			next, _ = next.Authorise(obs, sys.rules, sys.now)
			sys.write(own, next)
			for _, e := range own.record.Entries {
				if e.Pending(obs, sys.rules) && e.MaySend(sys.now) {
					sys.arrive(e.Order(own.version))
				}
			}
			sys.actions()["finish"](nil)
			sys.now = sys.now.Add(time.Second)
		}
		sys.read(own)
		next, err := own.record.Load(Entry{Model: "a", Version: "1", Bytes: 60}, capacity, own.version, sys.now)
		assert.NilError(t, err)
		sys.write(own, next)
		tick()
		tick()
		assert.Assert(t, sys.record.HasReady("a"))
		_, err = sys.record.Load(Entry{Model: "b", Version: "1", Bytes: 50}, capacity, sys.version, sys.now)
		assert.Assert(t, errors.Is(err, core.ErrOverCommit))
		clear(sys.held) // the engine restarts and holds nothing
		tick()
		tick()
		tick()
		assert.Assert(t, sys.record.HasReady("a"), "not loaded again after a restart")
		sys.read(own)
		next, err = own.record.Evict("a", "1", "", own.version, sys.now)
		assert.NilError(t, err)
		sys.write(own, next)
		for range 40 {
			tick()
		}
		assert.Equal(t, sys.record.Committed(), int64(0), "fenced %v: %+v", fenced, sys.record)
	}
}

// Guards against an engine without fencing numbers that loads a model evicted long ago
// although its memory is in use by others. An owner writes a load and is suspended before
// it sends the order. It resumes after another owner has settled the entry and reused the
// memory. It must then see that SendWindow has passed.
func TestPausedOwnerSendsNothing(t *testing.T) {
	now := time.Unix(1e9, 0)
	rules := Rules{Lifetime: 20 * time.Second}
	rec, err := Record{}.Load(Entry{Model: "a", Version: "1", Bytes: 60}, capacity, 0, now)
	assert.NilError(t, err)
	paused := rec.Entries[0]
	rec, err = rec.Evict("a", "1", "", 1, now)
	assert.NilError(t, err)
	for !now.After(paused.Sent.Add(SendWindow)) {
		assert.Assert(t, len(rec.Entries) == 1, "the memory is released while the owner may still send")
		now = now.Add(time.Second)
		rec, _ = rec.Settle(core.Observation{}, rules, 2, now)
	}
	assert.Assert(t, !paused.MaySend(now))
	for range 30 {
		now = now.Add(time.Second)
		rec, _ = rec.Settle(core.Observation{}, rules, 2, now)
	}
	assert.Equal(t, len(rec.Entries), 0)
}

// Guards against losing the last replica of a model: two owners each see the other's
// replica and both evict their own. Observations may be arbitrarily old; only the
// conditional update of the floor decides.
func TestLastReplicaStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"r1", "r2", "r3"}
		var stored Floor
		version := 0
		ready := map[string]bool{"r1": true, "r2": true, "r3": true}
		evicting := map[string]bool{} // eviction decided but not yet carried out
		type view struct {            // what one owner has read
			floor   Floor
			version int
			ready   map[string]bool
		}
		views := make([]view, 3)
		write := func(v *view, next Floor) bool {
			if v.version != version {
				return false
			}
			version++
			stored = next
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				n := 0
				for _, r := range names {
					if ready[r] && !evicting[r] {
						n++
					}
				}
				if n == 0 {
					t.Fatalf("all replicas are evicted or about to be; floor %+v", stored)
				}
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "runner")
				seen := map[string]bool{}
				for k, v := range ready {
					seen[k] = v
				}
				views[i] = view{stored, version, seen}
			},
			"evict": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "runner")
				v := &views[i]
				next, err := v.floor.Evict(names[i], v.ready[v.floor.Pin])
				if err == nil && write(v, next) {
					evicting[names[i]] = true
				}
			},
			"evicted": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "runner")
				ready[names[i]] = ready[names[i]] && !evicting[names[i]]
			},
			"pin": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "runner")
				v := &views[i]
				if !ready[names[i]] { // an owner pins only its own replica, and only if it is ready
					t.Skip("not ready")
				}
				if next, err := v.floor.Repin(names[i]); err == nil {
					write(v, next)
				}
			},
			"load again": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "runner")
				v := &views[i]
				if !ready[names[i]] && write(v, v.floor.Done(names[i])) {
					ready[names[i]] = true
					delete(evicting, names[i])
				}
			},
		})
	})
}

// Slots keep both limits of the weight store: load starts per second and concurrent loads.
func TestStoreSlots(t *testing.T) {
	now := time.Unix(1e9, 0)
	var s Slots
	s, wait := s.Take("a", now, time.Minute, 2, 2)
	assert.Equal(t, wait, time.Duration(0))
	_, wait = s.Take("b", now, time.Minute, 2, 2)
	assert.Equal(t, wait, 500*time.Millisecond, "a second load within half a second")
	now = now.Add(time.Second)
	s, wait = s.Take("b", now, time.Minute, 2, 2)
	assert.Equal(t, wait, time.Duration(0))
	now = now.Add(time.Second)
	_, wait = s.Take("c", now, time.Minute, 2, 2)
	assert.Assert(t, wait > 0, "a third load while two are running")
	_, wait = s.Take("b", now, time.Minute, 2, 2)
	assert.Equal(t, wait, time.Duration(0), "a repeated take must not need another slot")
	s, changed := s.Release("a")
	assert.Assert(t, changed)
	s, wait = s.Take("c", now, time.Minute, 2, 2)
	assert.Equal(t, wait, time.Duration(0))
	assert.Equal(t, len(s.Slots), 2)
}
