// Package member maintains the list of daemons by gossip. Each daemon probes a
// constant number of members per second. A suspected member refutes the suspicion
// with a higher incarnation number, as in SWIM. Updates of the list are piggybacked
// on the probes.
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

// deadRetention is how long the entry of a dead member is kept. Until then an
// outdated update cannot add the member again.
const deadRetention = 10 * time.Minute

// entry is a member with the bookkeeping of the table.
type entry struct {
	core.Member
	stateSince time.Time // when the member entered its state
	sendsLeft  int       // how many more packets the update is added to
}

// Table is the member list of one daemon. It performs no I/O. It implements
// core.Members.
type Table struct {
	clock core.Clock

	mu         sync.RWMutex
	self       core.Member
	entries    map[string]*entry
	ranked     map[rankKey][]core.Member // cached results of Rank
	candidates map[string][]candidate    // by data centre; nil after a change

	generation uint64
}

// NewTable returns a table that contains only self.
func NewTable(clock core.Clock, self core.Member) *Table {
	t := &Table{clock: clock, self: self, entries: map[string]*entry{}, ranked: map[rankKey][]core.Member{}}
	t.entries[self.Name] = &entry{Member: self, stateSince: clock.Now(), sendsLeft: 8}
	return t
}

// Self returns the daemon's own entry.
func (t *Table) Self() core.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// SetState changes the daemon's own state, which is sent to the members.
func (t *Table) SetState(s core.MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Incarnation++
	t.self.State = s
	t.put(t.self)
}

// Merge applies an update about a member and reports whether it changed the table.
// Of two updates the one with the higher incarnation number wins, then the one with
// the higher state. An update with a newer state of this daemon itself is refuted
// with a higher incarnation number.
func (t *Table) Merge(m core.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Name == "" {
		return false
	}
	if m.Name == t.self.Name {
		return t.refute(m)
	}
	current, exists := t.entries[m.Name]
	if !exists && m.State == core.MemberDead {
		return false
	}
	if exists && !newer(m, current.Member) {
		return false
	}
	t.put(m)
	return true
}

// newer reports whether an update takes precedence over the entry in the table.
func newer(m, current core.Member) bool {
	if m.Incarnation != current.Incarnation {
		return m.Incarnation > current.Incarnation
	}
	return m.State > current.State
}

// refute answers an update about this daemon itself that takes precedence over its
// own state.
func (t *Table) refute(m core.Member) bool {
	if !newer(m, t.self) {
		return false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.put(t.self)
	return true
}

// put stores a changed entry, marks it for sending and invalidates the caches.
func (t *Table) put(m core.Member) {
	t.entries[m.Name] = &entry{Member: m, stateSince: t.clock.Now(), sendsLeft: t.maxSends()}
	clear(t.ranked)
	t.candidates = nil
	t.generation++
}

// maxSends returns the number of packets that an update is added to before it is
// considered to have reached all members.
func (t *Table) maxSends() int {
	return 4 * int(math.Ceil(math.Log2(float64(len(t.entries)+2))))
}

// Suspect marks a member that answered no probe as suspected.
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

// Expire declares members dead that have been suspected for at least after, and
// returns them. It removes entries that have been dead for deadRetention.
func (t *Table) Expire(after time.Duration) []core.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []core.Member
	now := t.clock.Now()
	for name, e := range t.entries {
		age := now.Sub(e.stateSince)
		switch {
		case e.State == core.MemberSuspect && age >= after:
			m := e.Member
			m.State = core.MemberDead
			t.put(m)
			dead = append(dead, m)
		case e.State == core.MemberDead && age >= deadRetention:
			delete(t.entries, name)
			t.generation++
		}
	}
	return dead
}

// Updates returns up to n updates to add to a packet, those with the most sends left first.
func (t *Table) Updates(n int) []core.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pending []*entry
	for _, e := range t.entries {
		if e.sendsLeft > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int { return b.sendsLeft - a.sendsLeft })
	var out []core.Member
	for _, e := range pending[:min(n, len(pending))] {
		e.sendsLeft--
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

// AllWithDead returns all entries, including dead members.
func (t *Table) AllWithDead() []core.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list(func(*entry) bool { return true })
}

// list returns the members whose entries match keep, sorted by name.
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

// Get returns a member that is not dead by name.
func (t *Table) Get(name string) (core.Member, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[name]
	if e == nil || e.State == core.MemberDead {
		return core.Member{}, core.ErrNotFound
	}
	return e.Member, nil
}

// GetWithDead returns a member by name, even if it is dead.
func (t *Table) GetWithDead(name string) (core.Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[name]
	if e == nil {
		return core.Member{}, false
	}
	return e.Member, true
}

// RandomDead returns a random dead member, so that the caller can check whether it
// is reachable again.
func (t *Table) RandomDead() (core.Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	dead := t.list(func(e *entry) bool { return e.State == core.MemberDead })
	if len(dead) == 0 {
		return core.Member{}, false
	}
	return dead[rand.IntN(len(dead))], true
}

// Rank returns up to n members of a data centre for a key, by rendezvous hashing.
// An empty data centre stands for all. When a member is added or removed, only the
// keys that it gains or had are assigned to another member.
func (t *Table) Rank(key, dataCentre string, n int) []core.Member {
	cacheKey := rankKey{key, dataCentre, n}
	t.mu.RLock()
	out, exists := t.ranked[cacheKey]
	if !exists && t.candidates != nil {
		out = rank(t.candidates[dataCentre], key, n)
	}
	ready := exists || t.candidates != nil
	t.mu.RUnlock()
	if exists {
		return out
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ready || t.candidates == nil {
		t.buildCandidates()
		out = rank(t.candidates[dataCentre], key, n)
	}
	if len(t.ranked) >= maxCachedRanks {
		clear(t.ranked) // mostly keys with request ids, which are ranked only once
	}
	t.ranked[cacheKey] = out
	return out
}

// Generation returns a number that grows with each change of the list.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

const maxCachedRanks = 16384

type rankKey struct {
	key, dataCentre string
	n               int
}

// candidate is a member that Rank may return, with the hash of its name.
type candidate struct {
	hash   uint64
	member core.Member
}

// buildCandidates lists the members that Rank may return: each under its data
// centre, and all of them under the empty name.
func (t *Table) buildCandidates() {
	t.candidates = map[string][]candidate{}
	for _, e := range t.entries {
		if e.State > core.MemberSuspect || e.State == core.MemberLeaving {
			continue
		}
		c := candidate{xxhash.Sum64String(e.Name), e.Member}
		t.candidates[""] = append(t.candidates[""], c)
		t.candidates[e.DataCentre] = append(t.candidates[e.DataCentre], c)
	}
}

// scored is the score of the candidate at an index.
type scored struct {
	score uint64
	index int
}

// rank returns the n candidates with the highest scores for a key, highest first.
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

// insert adds a score to best, which keeps the n highest, highest first.
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

// mix distributes the bits of a hash evenly. It is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
