// Package catalog is what a daemon knows of the configuration and the runners.
package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"primroseward/core"
)

// Entry is a runner as the catalog knows it.
type Entry struct {
	core.Runner
	Seen time.Time // when the description was taken in
	// GoneAt is when a lapsed entry counts as gone; zero while it stands.
	GoneAt time.Time
	// former is a description of an earlier life of the runner that was seen after
	// one of this life, at formerAt.
	former   *core.Runner
	formerAt time.Time

	learned map[learnedKey]learned
}

type learnedKey struct{ model, adapter string }

// learned is what was told of a runner beside its description.
type learned struct {
	held bool
	at   time.Time
}

// modelMemory is how long what was learned of a model goes before a runner's
// description, which lists models and comes every second or so.
const modelMemory = 4 * time.Second

// Usable says whether new work may go to the runner.
func (e *Entry) Usable() bool { return !e.Draining }

// Catalog holds the newest configuration and all runners. Readers take
// snapshots that are never changed.
type Catalog struct {
	config atomic.Pointer[core.Config]

	mu       sync.RWMutex
	entries  map[string]*Entry
	services map[string]map[string]*Entry // entries by service
	// lists and all are snapshots for readers, made anew when one is asked for after a
	// change: a change of one runner must not touch all others.
	lists map[string][]*Entry
	all   map[string]*Entry
	gone  func(core.Runner)
	again func(core.Runner)
	fresh func(*core.Config)
	clock core.Clock
}

// Option changes a Catalog.
type Option func(*Catalog)

// WithGone calls fn for each runner that is gone.
func WithGone(fn func(core.Runner)) Option { return func(c *Catalog) { c.gone = fn } }

// WithRestarted calls fn for each runner that has started again under its id, as it
// was before.
func WithRestarted(fn func(core.Runner)) Option { return func(c *Catalog) { c.again = fn } }

// WithConfig calls fn for each configuration that comes in force.
func WithConfig(fn func(*core.Config)) Option { return func(c *Catalog) { c.fresh = fn } }

// New returns an empty catalog.
func New(clock core.Clock, opts ...Option) *Catalog {
	c := &Catalog{
		clock: clock, entries: map[string]*Entry{}, services: map[string]map[string]*Entry{}, lists: map[string][]*Entry{}, gone: func(core.Runner) {}, again: func(core.Runner) {}, fresh: func(*core.Config) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Config returns the newest configuration, nil before the first is known.
func (c *Catalog) Config() *core.Config { return c.config.Load() }

// SetConfig takes in a configuration unless it is older than the one held. A
// late answer of the store must not bring an old version back.
func (c *Catalog) SetConfig(next *core.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.config.Load(); held != nil && held.Version >= next.Version {
		return false
	}
	c.config.Store(next)
	c.fresh(next)
	return true
}

// Runner returns a runner by its instance's id, nil if it is not known.
func (c *Catalog) Runner(id string) *Entry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries[id]
}

// Runners returns all runners of a service, those that leave included.
func (c *Catalog) Runners(service string) []*Entry {
	c.mu.RLock()
	list, ok := c.lists[service]
	c.mu.RUnlock()
	if ok {
		return list
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list = slices.Collect(maps.Values(c.services[service]))
	c.lists[service] = list
	return list
}

// All returns all runners by id.
func (c *Catalog) All() map[string]*Entry {
	c.mu.RLock()
	all := c.all
	c.mu.RUnlock()
	if all != nil {
		return all
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = maps.Clone(c.entries)
	return c.all
}

// formerPatience is how long the description of an earlier life must stand before
// it goes before that of a later one. A process that has ended may still have a
// write on its way, which the runner's next heartbeat replaces, within 1.2 s; but a
// runner whose clock was set back before it started again is told of by nothing else.
const formerPatience = 3 * time.Second

// Put takes in a runner's description. What has been learned since holds on:
// a description is up to a second old, and leaves most adapters out. Of a runner
// that has started again nothing holds on: it has none of what it had, and requests
// sent by what was known would be rejected by it, each one at the budget's cost.
func (c *Catalog) Put(r core.Runner, now time.Time) {
	c.mu.Lock()
	old := c.entries[r.ID]
	if old != nil && r.Born.Before(old.Born) {
		c.putFormer(old, r, now)
		c.mu.Unlock()
		return
	}
	restarted := c.put(old, r, now)
	c.mu.Unlock()
	if restarted {
		c.again(old.Runner)
	}
}

// put replaces a runner's description and says whether it is one of another life;
// the caller holds the lock.
func (c *Catalog) put(old *Entry, r core.Runner, now time.Time) (restarted bool) {
	e := &Entry{Runner: r, Seen: now}
	restarted = old != nil && !r.Born.Equal(old.Born)
	if old != nil && !restarted {
		e.learned = old.learned
	}
	e.apply(now)
	c.set(e)
	return restarted
}

// putFormer keeps the description of an earlier life; the caller holds the lock.
func (c *Catalog) putFormer(old *Entry, r core.Runner, now time.Time) {
	next := *old
	if next.former == nil || !next.former.Born.Equal(r.Born) {
		next.formerAt = now
	}
	next.former, next.GoneAt = &r, time.Time{}
	c.set(&next)
}

// Lapse marks a runner whose entry is missing. It counts as gone at goneAt,
// unless its entry comes back before.
func (c *Catalog) Lapse(id string, goneAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	if !ok || !e.GoneAt.IsZero() && !goneAt.Before(e.GoneAt) {
		return
	}
	lapsed := *e
	lapsed.GoneAt = goneAt
	c.set(&lapsed)
}

// Sweep removes the runners that count as gone by now and returns how many. It also
// takes in descriptions of earlier lives that have stood for long enough.
func (c *Catalog) Sweep(now time.Time) int {
	c.mu.Lock()
	var gone, again []core.Runner
	for id, e := range c.entries {
		if e.former != nil && now.Sub(e.formerAt) >= formerPatience {
			c.put(e, *e.former, now)
			again = append(again, e.Runner)
			continue
		}
		if !e.GoneAt.IsZero() && !now.Before(e.GoneAt) {
			gone = append(gone, e.Runner)
			c.drop(id)
		}
	}
	c.mu.Unlock()
	for _, r := range gone {
		c.gone(r)
	}
	for _, r := range again {
		c.again(r)
	}
	return len(gone)
}

// Learn takes in that a runner has, or has no longer, a model or an adapter.
func (c *Catalog) Learn(id, model, adapter string, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	if !ok {
		return
	}
	now := c.clock.Now()
	next := *e
	next.learned = make(map[learnedKey]learned, len(e.learned)+1)
	maps.Copy(next.learned, e.learned)
	next.learned[learnedKey{model, adapter}] = learned{held: held, at: now}
	next.apply(now)
	c.set(&next)
}

// apply lays what was learned over the description.
func (e *Entry) apply(now time.Time) {
	for key, l := range e.learned {
		if key.adapter == "" && now.Sub(l.at) > modelMemory {
			delete(e.learned, key)
			continue
		}
		if key.adapter == "" {
			e.Holdings = withModel(e.Holdings, key.model, l.held)
		}
	}
	for key, l := range e.learned {
		if key.adapter != "" {
			e.Holdings = withAdapter(e.Holdings, key.model, key.adapter, l.held)
		}
	}
}

func withModel(holdings []core.Holding, model string, held bool) []core.Holding {
	out := make([]core.Holding, 0, len(holdings)+1)
	found := false
	for _, h := range holdings {
		if h.Model == model {
			found = true
			if !held {
				continue
			}
		}
		out = append(out, h)
	}
	if held && !found {
		out = append(out, core.Holding{Model: model})
	}
	return out
}

func withAdapter(holdings []core.Holding, model, adapter string, held bool) []core.Holding {
	out := slices.Clone(holdings)
	for i := range out {
		if out[i].Model != model || slices.Contains(out[i].Adapters, adapter) == held {
			continue
		}
		names := slices.Clone(out[i].Adapters)
		if held {
			out[i].Adapters = append(names, adapter)
		} else {
			out[i].Adapters = slices.DeleteFunc(names, func(a string) bool { return a == adapter })
		}
	}
	return out
}

// set keeps an entry in the place of the one of its runner; the caller holds the lock.
func (c *Catalog) set(e *Entry) {
	c.drop(e.ID)
	c.entries[e.ID] = e
	if c.services[e.Service] == nil {
		c.services[e.Service] = map[string]*Entry{}
	}
	c.services[e.Service][e.ID] = e
	delete(c.lists, e.Service)
}

// drop forgets an entry; the caller holds the lock.
func (c *Catalog) drop(id string) {
	c.all = nil
	old := c.entries[id]
	if old == nil {
		return
	}
	delete(c.entries, id)
	delete(c.services[old.Service], id)
	delete(c.lists, old.Service)
	if len(c.services[old.Service]) == 0 {
		delete(c.services, old.Service)
	}
}
