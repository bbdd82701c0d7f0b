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

func (m *system) read(h *owner) {
	h.record, h.version, h.readAt = m.record.clone(), m.version, m.step
}

// write is the conditional update. That of an owner with an old copy fails.
func (m *system) write(h *owner, next Record) {
	if h.version != m.version {
		return
	}
	m.version++
	m.record = next.clone()
	m.read(h)
}

// arrive lets the endpoint execute an order.
func (m *system) arrive(o core.Order) {
	if m.rules.Fenced && o.Fence < m.fence {
		return
	}
	m.fence = max(m.fence, o.Fence)
	key := o.Model + "@" + o.Version
	switch o.Kind {
	case core.OrderLoad:
		if _, ok := m.held[key]; !ok {
			m.held[key] = core.Resident{Model: o.Model, Version: o.Version, Bytes: o.Bytes}
		}
	case core.OrderEvict:
		delete(m.held, key)
	}
}

func (m *system) observation() core.Observation {
	o := core.Observation{}
	if m.rules.Fenced {
		o.Fence = m.fence
	}
	for _, r := range m.held {
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
func (m *system) maxMemory() int64 {
	sizes := map[string]int64{}
	for key, r := range m.held {
		sizes[key] = r.Bytes
	}
	for _, msg := range m.inFlight {
		late := !msg.until.IsZero() && m.now.After(msg.until)
		refused := m.rules.Fenced && msg.order.Fence < m.fence
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

func (m *system) check(t *rapid.T) {
	if used := m.maxMemory(); used > capacity {
		t.Fatalf("endpoint may use %d of %d bytes; record %+v", used, capacity, m.record)
	}
}

// sometimesRead lets most decisions start from the newest record. The conditional update
// refuses those that do not.
func (m *system) sometimesRead(t *rapid.T, h *owner) {
	if rapid.IntRange(0, 3).Draw(t, "old copy") > 0 {
		m.step++
		m.read(h)
	}
}

func (m *system) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *owner { return &m.owners[rapid.IntRange(0, 1).Draw(t, "owner")] }
	return map[string]func(*rapid.T){
		"": m.check,
		"read": func(t *rapid.T) {
			m.step++
			m.read(pick(t))
		},
		"load": func(t *rapid.T) {
			h := pick(t)
			m.sometimesRead(t, h)
			e := Entry{
				Model:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"),
				Version: rapid.SampledFrom([]string{"1", "1", "2"}).Draw(t, "version"),
				Bytes:   int64(rapid.SampledFrom([]int{40, 60}).Draw(t, "bytes")),
			}
			if next, err := h.record.Load(e, capacity, h.version, m.now); err == nil {
				m.write(h, next)
			}
		},
		"evict": func(t *rapid.T) {
			h := pick(t)
			m.sometimesRead(t, h)
			if len(h.record.Entries) == 0 {
				t.Skip("nothing held")
			}
			e := h.record.Entries[rapid.IntRange(0, len(h.record.Entries)-1).Draw(t, "entry")]
			if next, err := h.record.Evict(e.Model, e.Version, "", h.version, m.now); err == nil {
				m.write(h, next)
			}
		},
		"send": func(t *rapid.T) {
			h := pick(t)
			for _, e := range h.record.Entries {
				if e.State != Loading && e.State != Evicting {
					continue
				}
				// An owner that is suspended after this check sends late. An
				// endpoint that checks fencing numbers must refuse such orders, so
				// here no time bounds them.
				if !m.rules.Fenced && !e.MaySend(m.now) {
					continue
				}
				msg := message{order: e.Order(h.version)}
				if !m.rules.Fenced {
					msg.until = m.now.Add(m.rules.Lifetime)
				}
				m.inFlight = append(m.inFlight, msg)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.inFlight) == 0 {
				t.Skip("nothing under way")
			}
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
			msg := m.inFlight[i]
			if !rapid.Bool().Draw(t, "duplicated") {
				m.inFlight = slices.Delete(m.inFlight, i, i+1)
			}
			if msg.until.IsZero() || !m.now.After(msg.until) {
				m.arrive(msg.order)
			}
		},
		"lose": func(t *rapid.T) {
			if len(m.inFlight) == 0 {
				t.Skip("nothing under way")
			}
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		},
		"finish": func(*rapid.T) {
			for key, r := range m.held {
				r.Ready = true
				m.held[key] = r
			}
		},
		// A restart closes all connections and so loses all orders under way.
		"restart": func(*rapid.T) {
			clear(m.held)
			m.inFlight = nil
		},
		"observe": func(t *rapid.T) {
			m.step++
			h := pick(t)
			h.obs, h.obsAt = m.observation(), m.step
		},
		"settle": func(t *rapid.T) {
			h := pick(t)
			if h.obsAt <= h.readAt {
				t.Skip("the observation is older than the record")
			}
			next, settled := h.record.Settle(h.obs, m.rules, h.version, m.now)
			next, again := next.Authorise(h.obs, m.rules, m.now)
			if settled || again {
				m.write(h, next)
			}
		},
		// A tick is what an owner does that is not suspended.
		"tick": func(t *rapid.T) {
			h := pick(t)
			m.step++
			m.read(h)
			next, settled := h.record.Settle(m.observation(), m.rules, h.version, m.now)
			next, again := next.Authorise(m.observation(), m.rules, m.now)
			if settled || again {
				m.write(h, next)
			}
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
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
				m := newSystem(fenced)
				t.Repeat(m.actions())
			})
		})
	}
}

// Guards against memory that is never freed and lost models that are never loaded again.
// With a working network, every order must settle in a bounded number of steps.
func TestOrdersSettle(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		m := newSystem(fenced)
		h := &m.owners[0]
		tick := func() {
			m.step++
			m.read(h)
			m.step++
			obs := m.observation()
			next, _ := h.record.Settle(obs, m.rules, h.version, m.now)
			next, _ = next.Authorise(obs, m.rules, m.now)
			m.write(h, next)
			for _, e := range h.record.Entries {
				if e.Pending(obs, m.rules) && e.MaySend(m.now) {
					m.arrive(e.Order(h.version))
				}
			}
			m.actions()["finish"](nil)
			m.now = m.now.Add(time.Second)
		}
		m.read(h)
		next, err := h.record.Load(Entry{Model: "a", Version: "1", Bytes: 60}, capacity, h.version, m.now)
		assert.NilError(t, err)
		m.write(h, next)
		tick()
		tick()
		assert.Assert(t, m.record.HasReady("a"))
		_, err = m.record.Load(Entry{Model: "b", Version: "1", Bytes: 50}, capacity, m.version, m.now)
		assert.Assert(t, errors.Is(err, core.ErrOverCommit))
		clear(m.held) // the engine restarts and holds nothing
		tick()
		tick()
		tick()
		assert.Assert(t, m.record.HasReady("a"), "not loaded again after a restart")
		m.read(h)
		next, err = h.record.Evict("a", "1", "", h.version, m.now)
		assert.NilError(t, err)
		m.write(h, next)
		for range 40 {
			tick()
		}
		assert.Equal(t, m.record.Committed(), int64(0), "fenced %v: %+v", fenced, m.record)
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
