// Package catalog holds a daemon's view of the current configuration and of all runners.
package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"primroseward/core"
)

// Entry is the catalog's record of one runner.
type Entry struct {
	core.Runner
	Seen time.Time // when the description was received
	// GoneAt is when a lapsed entry counts as gone; zero if the entry has not lapsed.
	GoneAt time.Time
	// earlier is a description with an earlier start time than the one in effect. It was
	// received after that one, first at earlierAt.
	earlier   *core.Runner
	earlierAt time.Time
	// Departure is the runner's announcement that it is leaving; nil if there is none.
	Departure *Departure

	updates map[holdingKey]holdingUpdate
}

// holdingKey identifies a model (adapter is empty) or an adapter of a model.
type holdingKey struct{ model, adapter string }

// holdingUpdate records, apart from the runner's description, whether the runner holds
// a model or an adapter.
type holdingUpdate struct {
	held bool
	at   time.Time
}

// modelUpdateTTL is how long an update about a model overrides the runner's
// description, which lists models and arrives about once a second.
const modelUpdateTTL = 4 * time.Second

// Departure is the announcement in a runner's answer that the instance is leaving. The runner's
// entry in the store may not state it yet.
type Departure struct {
	StartedAt time.Time // start of the instance
	At        time.Time // when this daemon learnt of it
	Source    string    // daemon that received the answer; empty: this one
}

// formerRunner is a runner that is gone, and since when.
type formerRunner struct {
	core.Runner
	goneAt time.Time
}

// formerRetention is how long it is remembered which instance of a runner is gone. Requests to it may last as long:
// a runner that loses its power does not reset its connections. Timeouts are seconds, those of batches a minute.
const formerRetention = 2 * time.Minute

// departureRetention is how long a departure is kept after the runner's entry is gone: the
// entry of a runner that still serves may reappear.
const departureRetention = 10 * time.Minute

// Usable reports whether the runner may get new work: neither its entry nor its answers state
// that it is leaving.
func (e *Entry) Usable() bool { return !e.Draining && e.Departure == nil }

// Catalog holds the newest configuration and all runners. Readers get immutable
// snapshots.
type Catalog struct {
	config atomic.Pointer[core.Config]

	mu       sync.RWMutex
	entries  map[string]*Entry
	services map[string]map[string]*Entry // entries by service
	// lists and all are snapshots for readers. They are rebuilt on the first read after a
	// change, so that the cost of a change to one runner does not depend on the number of
	// runners.
	lists map[string][]*Entry
	all   map[string]*Entry
	// departures are kept by runner id apart from the entries, which are replaced with each
	// description.
	departures map[string]Departure
	// former are the runners that are gone, by id. One that reappears as another instance has restarted meanwhile.
	former    map[string]formerRunner
	onGone    func(core.Runner)
	onRestart func(core.Runner)
	onConfig  func(*core.Config)
	clock     core.Clock
}

// Option configures a Catalog.
type Option func(*Catalog)

// WithGoneCallback sets a function that is called for each runner that is gone.
func WithGoneCallback(fn func(core.Runner)) Option { return func(c *Catalog) { c.onGone = fn } }

// WithRestartCallback sets a function that is called for each runner that has restarted under
// its id. Its argument is the runner as it was before the restart.
func WithRestartCallback(fn func(core.Runner)) Option { return func(c *Catalog) { c.onRestart = fn } }

// WithConfigCallback sets a function that is called for each configuration that comes into force.
func WithConfigCallback(fn func(*core.Config)) Option { return func(c *Catalog) { c.onConfig = fn } }

// New returns an empty catalog.
func New(clock core.Clock, opts ...Option) *Catalog {
	c := &Catalog{
		clock: clock, entries: map[string]*Entry{}, services: map[string]map[string]*Entry{}, lists: map[string][]*Entry{}, departures: map[string]Departure{}, former: map[string]formerRunner{}, onGone: func(core.Runner) {}, onRestart: func(core.Runner) {}, onConfig: func(*core.Config) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Config returns the newest configuration, or nil before the first one arrives.
func (c *Catalog) Config() *core.Config { return c.config.Load() }

// SetConfig stores a configuration if its version is higher than that of the current
// one, and reports whether it did. A late response of the store must not bring back an
// old version.
func (c *Catalog) SetConfig(next *core.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.config.Load(); current != nil && current.Version >= next.Version {
		return false
	}
	c.config.Store(next)
	c.onConfig(next)
	return true
}

// Runner returns the entry of a runner by its id, or nil if there is none.
func (c *Catalog) Runner(id string) *Entry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.entries[id]
}

// Runners returns all runners of a service, including those that are draining.
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

// Versions returns the software versions that the runners of a service have.
func (c *Catalog) Versions(service string) []string {
	var out []string
	for _, e := range c.Runners(service) {
		if !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	return out
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

// earlierGrace is the time after which a description with an earlier start time than the
// one in effect replaces it, unless another description with the later start time arrives
// before. A process that has exited may still have a write under way, which the runner's
// next heartbeat replaces within 1.2 s. But if a runner's clock was set back before the
// runner restarted, its new instance has the earlier start time and nothing else
// announces it.
const earlierGrace = 3 * time.Second

// Put stores a runner's description. Holding updates stay in effect, since a
// description is up to a second old and omits most adapters. When the runner has
// restarted, they are discarded: the new instance holds nothing of what the old one
// held, and requests sent because of the old state would be rejected, each at the
// cost of the retry budget.
func (c *Catalog) Put(r core.Runner, now time.Time) {
	c.mu.Lock()
	old := c.entries[r.ID]
	if old != nil && r.StartedAt.Before(old.StartedAt) {
		c.putEarlier(old, r, now)
		c.mu.Unlock()
		return
	}
	var former core.Runner
	restarted := c.put(old, r, now)
	if restarted {
		former = old.Runner
	} else if gone, ok := c.former[r.ID]; ok && old == nil {
		former, restarted = gone.Runner, r.StartedAt.After(gone.StartedAt)
		delete(c.former, r.ID)
	}
	c.mu.Unlock()
	if restarted {
		c.onRestart(former)
	}
}

// put replaces a runner's description and reports whether the new one is of another
// instance. The caller holds the lock.
func (c *Catalog) put(old *Entry, r core.Runner, now time.Time) (restarted bool) {
	e := &Entry{Runner: r, Seen: now}
	restarted = old != nil && !r.StartedAt.Equal(old.StartedAt)
	if old != nil && !restarted {
		e.updates = old.updates
	}
	e.apply(now)
	e.Departure = c.departureOf(&r)
	c.set(e)
	return restarted
}

// departureOf returns the departure that applies to an instance of a runner, or nil. Only a
// later start of the runner ends it: an entry is written about once a second and may be late.
// The caller holds the lock.
func (c *Catalog) departureOf(r *core.Runner) *Departure {
	d, ok := c.departures[r.ID]
	if !ok || r.StartedAt.After(d.StartedAt) {
		return nil
	}
	return &d
}

// DepartureOf returns the departure that applies to an instance of a runner, which need not
// have an entry, or nil.
func (c *Catalog) DepartureOf(r *core.Runner) *Departure {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.departureOf(r)
}

// RecordLeaving records that an instance of a runner has announced that it is leaving, and
// reports whether this was not known. An announcement of a former instance is ignored.
func (c *Catalog) RecordLeaving(id string, d Departure) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	if known, ok := c.departures[id]; ok && !d.StartedAt.After(known.StartedAt) || e != nil && e.StartedAt.After(d.StartedAt) {
		return false
	}
	c.departures[id] = d
	if e != nil {
		next := *e
		next.Departure = &d
		c.set(&next)
	}
	return true
}

// Departures returns the known departures by runner id.
func (c *Catalog) Departures() map[string]Departure {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.departures)
}

// forgetDepartures drops the old departures of runners that have no entry. The caller holds
// the lock.
func (c *Catalog) forgetDepartures(now time.Time) {
	maps.DeleteFunc(c.departures, func(id string, d Departure) bool {
		return c.entries[id] == nil && now.Sub(d.At) >= departureRetention
	})
}

// putEarlier records a description with an earlier start time than the one in effect. The
// caller holds the lock.
func (c *Catalog) putEarlier(old *Entry, r core.Runner, now time.Time) {
	next := *old
	if next.earlier == nil || !next.earlier.StartedAt.Equal(r.StartedAt) {
		next.earlierAt = now
	}
	next.earlier, next.GoneAt = &r, time.Time{}
	c.set(&next)
}

// Lapse marks a runner whose entry is missing in the store. The runner counts as gone
// at goneAt unless its entry reappears before then.
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

// Sweep removes the runners whose GoneAt has passed and returns how many it removed. It
// also puts descriptions with an earlier start time into effect after earlierGrace.
func (c *Catalog) Sweep(now time.Time) int {
	c.mu.Lock()
	var gone, restarted []core.Runner
	for id, e := range c.entries {
		if e.earlier != nil && now.Sub(e.earlierAt) >= earlierGrace {
			c.put(e, *e.earlier, now)
			restarted = append(restarted, e.Runner)
			continue
		}
		if !e.GoneAt.IsZero() && !now.Before(e.GoneAt) {
			gone = append(gone, e.Runner)
			c.former[id] = formerRunner{e.Runner, now}
			c.drop(id)
		}
	}
	c.forgetDepartures(now)
	maps.DeleteFunc(c.former, func(_ string, r formerRunner) bool { return now.Sub(r.goneAt) >= formerRetention })
	c.mu.Unlock()
	for _, r := range gone {
		c.onGone(r)
	}
	for _, r := range restarted {
		c.onRestart(r)
	}
	return len(gone)
}

// RecordMisdirected records that an instance of a runner does not hold a model or an adapter, as it has answered to
// a request sent at a given time. It has no effect if another instance is known meanwhile, or if a later update
// states that the runner holds it.
func (c *Catalog) RecordMisdirected(r *core.Runner, model, adapter string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[r.ID]
	if !ok || !e.StartedAt.Equal(r.StartedAt) {
		return
	}
	if u, ok := e.updates[holdingKey{model, adapter}]; ok && u.held && u.at.After(sent) {
		return
	}
	c.recordHolding(e, model, adapter, false)
}

// RecordHolding records that a runner holds, or no longer holds, a model or an adapter. For a
// model, adapter is empty.
func (c *Catalog) RecordHolding(id, model, adapter string, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[id]; ok {
		c.recordHolding(e, model, adapter, held)
	}
}

// recordHolding is RecordHolding for an entry. The caller holds the lock.
func (c *Catalog) recordHolding(e *Entry, model, adapter string, held bool) {
	now := c.clock.Now()
	next := *e
	next.updates = make(map[holdingKey]holdingUpdate, len(e.updates)+1)
	maps.Copy(next.updates, e.updates)
	next.updates[holdingKey{model, adapter}] = holdingUpdate{held: held, at: now}
	next.apply(now)
	c.set(&next)
}

// apply overlays the holding updates on the description and drops updates of models that
// are older than modelUpdateTTL.
func (e *Entry) apply(now time.Time) {
	for key, u := range e.updates {
		if key.adapter == "" && now.Sub(u.at) > modelUpdateTTL {
			delete(e.updates, key)
			continue
		}
		if key.adapter == "" {
			e.Holdings = withModel(e.Holdings, key.model, u.held)
		}
	}
	for key, u := range e.updates {
		if key.adapter != "" {
			e.Holdings = withAdapter(e.Holdings, key.model, key.adapter, u.held)
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

// set replaces the entry of a runner. The caller holds the lock.
func (c *Catalog) set(e *Entry) {
	c.drop(e.ID)
	c.entries[e.ID] = e
	if c.services[e.Service] == nil {
		c.services[e.Service] = map[string]*Entry{}
	}
	c.services[e.Service][e.ID] = e
	delete(c.lists, e.Service)
}

// drop removes an entry. The caller holds the lock.
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
