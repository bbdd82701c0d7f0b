package hold

import (
	"sync"
	"sync/atomic"
	"time"

	"primroseward/core"
)

const (
	// most bounds the records that are kept: each has cost runners, so that more of them
	// are others' mistakes or a caller who means harm.
	most = 1024
	// heldMemory is how long a record stays after its term, and releasedMemory after a
	// release, so that an old word of a daemon that was cut off does not bring it back.
	heldMemory     = time.Hour
	releasedMemory = 10 * time.Minute
)

// Table holds records by digest.
type Table struct {
	count atomic.Int64
	mu    sync.RWMutex
	by    map[core.Digest]*Record
	sum   uint64
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{by: map[core.Digest]*Record{}} }

// Len is the number of records.
func (t *Table) Len() int { return int(t.count.Load()) }

// Get returns a request's record.
func (t *Table) Get(d core.Digest) (Record, bool) {
	if t.count.Load() == 0 {
		return Record{}, false // of nearly all daemons nearly always
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.by[d]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Held returns the record of a request that is held back, or may be tried; false if it
// has none or is released.
func (t *Table) Held(d core.Digest) (Record, bool) {
	r, ok := t.Get(d)
	return r, ok && r.State == StateHeld
}

// All returns all records.
func (t *Table) All() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Record, 0, len(t.by))
	for _, r := range t.by {
		out = append(out, *r)
	}
	return out
}

// Sum is the same at two daemons that have the same records.
func (t *Table) Sum() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.sum
}

// Merge takes in a record unless a later or equal one is held, and says whether it did.
// Of two decisions of the same version a release goes first.
func (t *Table) Merge(r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.by[r.Digest]
	if old != nil && !r.goesBefore(old) {
		return false
	}
	if old == nil && len(t.by) >= most {
		t.dropOldest()
	}
	t.drop(old)
	t.by[r.Digest] = &r
	t.sum ^= r.sum()
	t.count.Store(int64(len(t.by)))
	return true
}

func (r *Record) goesBefore(old *Record) bool {
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.State == StateReleased && old.State == StateHeld
}

// Expire drops the records that have had their time.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.by {
		memory := heldMemory
		if r.State == StateReleased {
			memory = releasedMemory
		}
		if now.Sub(r.Until) > memory {
			t.drop(r)
		}
	}
	t.count.Store(int64(len(t.by)))
}

// drop takes a record out; the caller holds the lock.
func (t *Table) drop(r *Record) {
	if r != nil {
		t.sum ^= r.sum()
		delete(t.by, r.Digest)
	}
}

// dropOldest makes room; the caller holds the lock.
func (t *Table) dropOldest() {
	var oldest *Record
	for _, r := range t.by {
		if oldest == nil || r.Until.Before(oldest.Until) {
			oldest = r
		}
	}
	t.drop(oldest)
}
