// Package member keeps the list of daemons: each probes a constant number of
// others a second, suspicion is refuted by a higher incarnation (as in SWIM),
// and changes ride on the probes.
package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
)

// keepDead is how long a dead member is remembered, so that old news of it
// cannot bring it back.
const keepDead = 10 * time.Minute

// entry is a member with what the table needs to know of it.
type entry struct {
	core.Member
	since time.Time // of its state
	sends int       // how often the news may still ride along
}

// Table is the member list of one daemon, without input or output. It
// implements core.Members.
type Table struct {
	clock core.Clock

	mu      sync.RWMutex
	self    core.Member
	entries map[string]*entry
	ranked  map[rankKey][]core.Member // cache of Rank
	live    map[string][]candidate    // by place; nil after a change

	generation uint64
}

// NewTable returns a table that holds only self.
func NewTable(clock core.Clock, self core.Member) *Table {
	t := &Table{clock: clock, self: self, entries: map[string]*entry{}, ranked: map[rankKey][]core.Member{}}
	t.entries[self.Name] = &entry{Member: self, since: clock.Now(), sends: 8}
	return t
}

// Self returns the daemon's own entry.
func (t *Table) Self() core.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// SetState announces a change of the daemon's own state.
func (t *Table) SetState(s core.MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Incarnation++
	t.self.State = s
	t.put(t.self)
}

// Merge takes in news of a member and says whether it was new. Of two reports
// the higher incarnation holds, then the higher state. News that would put
// down the daemon itself is answered by a higher incarnation.
func (t *Table) Merge(m core.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Name == "" {
		return false
	}
	if m.Name == t.self.Name {
		return t.refute(m)
	}
	have, known := t.entries[m.Name]
	if !known && m.State == core.MemberDead {
		return false
	}
	if known && !newer(m, have.Member) {
		return false
	}
	t.put(m)
	return true
}

func newer(m, have core.Member) bool {
	if m.Incarnation != have.Incarnation {
		return m.Incarnation > have.Incarnation
	}
	return m.State > have.State
}

func (t *Table) refute(m core.Member) bool {
	if !newer(m, t.self) {
		return false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.put(t.self)
	return true
}

func (t *Table) put(m core.Member) {
	t.entries[m.Name] = &entry{Member: m, since: t.clock.Now(), sends: t.fanout()}
	clear(t.ranked)
	t.live = nil
	t.generation++
}

// fanout is how often a change rides along before it counts as spread.
func (t *Table) fanout() int {
	return 4 * int(math.Ceil(math.Log2(float64(len(t.entries)+2))))
}

// Suspect marks a member that answers no probe.
func (t *Table) Suspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil || e.State >= core.MemberSuspect {
		return
	}
	m := e.Member
	m.State = core.MemberSuspect
	t.put(m)
}

// Expire turns members suspect for longer than after into dead ones, and
// forgets the long dead. It returns the newly dead.
func (t *Table) Expire(after time.Duration) []core.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []core.Member
	now := t.clock.Now()
	for name, e := range t.entries {
		age := now.Sub(e.since)
		switch {
		case e.State == core.MemberSuspect && age >= after:
			m := e.Member
			m.State = core.MemberDead
			t.put(m)
			dead = append(dead, m)
		case e.State == core.MemberDead && age >= keepDead:
			delete(t.entries, name)
			t.generation++
		}
	}
	return dead
}

// News returns up to n changes that should ride along, the least spread first.
func (t *Table) News(n int) []core.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []*entry
	for _, e := range t.entries {
		if e.sends > 0 {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int { return b.sends - a.sends })
	var out []core.Member
	for _, e := range fresh[:min(n, len(fresh))] {
		e.sends--
		out = append(out, e.Member)
	}
	return out
}

// All returns all members that are not dead, sorted by name.
func (t *Table) All() []core.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list(func(e *entry) bool { return e.State != core.MemberDead })
}

// Whole returns all entries, the dead ones too.
func (t *Table) Whole() []core.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list(func(*entry) bool { return true })
}

func (t *Table) list(keep func(*entry) bool) []core.Member {
	out := make([]core.Member, 0, len(t.entries))
	for _, e := range t.entries {
		if keep(e) {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b core.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Get returns a member by name.
func (t *Table) Get(name string) (core.Member, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[name]
	if e == nil || e.State == core.MemberDead {
		return core.Member{}, core.ErrNotFound
	}
	return e.Member, nil
}

// Peek returns a member's entry, the dead ones too.
func (t *Table) Peek(name string) (core.Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[name]
	if e == nil {
		return core.Member{}, false
	}
	return e.Member, true
}

// RandomDead returns a dead member, to find out whether it is back.
func (t *Table) RandomDead() (core.Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	dead := t.list(func(e *entry) bool { return e.State == core.MemberDead })
	if len(dead) == 0 {
		return core.Member{}, false
	}
	return dead[rand.IntN(len(dead))], true
}

// Rank returns up to n members for a key by rendezvous hashing: when a member
// comes or goes, only the keys that it gains or held change hands.
func (t *Table) Rank(key, place string, n int) []core.Member {
	id := rankKey{key, place, n}
	t.mu.RLock()
	out, known := t.ranked[id]
	if !known && t.live != nil {
		out = rank(t.live[place], key, n)
	}
	ready := known || t.live != nil
	t.mu.RUnlock()
	if known {
		return out
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ready || t.live == nil {
		t.arrange()
		out = rank(t.live[place], key, n)
	}
	if len(t.ranked) >= maxRanked {
		clear(t.ranked) // mostly of request ids, which are asked for once
	}
	t.ranked[id] = out
	return out
}

// Generation changes with every change of the list.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

const maxRanked = 16384

type rankKey struct {
	key, place string
	n          int
}

// candidate is a member that may be ranked, with the hash of its name.
type candidate struct {
	hash   uint64
	member core.Member
}

// arrange lists the members that may be ranked, all under the empty place and
// each under its own.
func (t *Table) arrange() {
	t.live = map[string][]candidate{}
	for _, e := range t.entries {
		if e.State > core.MemberSuspect || e.State == core.MemberLeaving {
			continue
		}
		c := candidate{xxhash.Sum64String(e.Name), e.Member}
		t.live[""] = append(t.live[""], c)
		t.live[e.Place] = append(t.live[e.Place], c)
	}
}

type scored struct {
	score uint64
	index int
}

func rank(from []candidate, key string, n int) []core.Member {
	hash := xxhash.Sum64String(key)
	best := make([]scored, 0, n+1)
	for i := range from {
		best = insert(best, scored{mix(from[i].hash ^ hash), i}, n)
	}
	out := make([]core.Member, len(best))
	for i, s := range best {
		out[i] = from[s.index].member
	}
	return out
}

// insert keeps the n highest scores, highest first.
func insert(best []scored, s scored, n int) []scored {
	if len(best) == n && best[n-1].score >= s.score {
		return best
	}
	i := len(best)
	for i > 0 && best[i-1].score < s.score {
		i--
	}
	best = slices.Insert(best, i, s)
	return best[:min(len(best), n)]
}

// mix spreads the bits of a hash (the finaliser of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
