package hold

import (
	"sync"
	"sync/atomic"
	"time"

	"primroseward/core"
)

const (
	// maxRecords bounds the number of records. Each record has cost runners, so a larger
	// number means wrong decisions of other daemons or a malicious caller.
	maxRecords = 1024
	// heldRetention is how long a record is kept after its hold expires, and
	// releasedRetention how long after a release, so that an old message of a daemon that
	// was unreachable does not bring it back.
	heldRetention     = time.Hour
	releasedRetention = 10 * time.Minute
)

// Table holds records by digest. It is safe for concurrent use.
type Table struct {
	count   atomic.Int64 // len(records), readable without the lock
	mu      sync.RWMutex
	records map[core.Digest]*Record
	sum     uint64 // XOR of the sums of all records
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{records: map[core.Digest]*Record{}} }

// Len returns the number of records.
func (t *Table) Len() int { return int(t.count.Load()) }

// Get returns a request's record.
func (t *Table) Get(d core.Digest) (Record, bool) {
	if t.count.Load() == 0 {
		return Record{}, false // the usual case on nearly all daemons
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[d]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Held returns the record of a request that is held back or whose trial is allowed. It
// returns false if the request has no record or was released.
func (t *Table) Held(d core.Digest) (Record, bool) {
	r, ok := t.Get(d)
	return r, ok && r.State == StateHeld
}

// All returns all records.
func (t *Table) All() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, *r)
	}
	return out
}

// Sum returns a hash of all records. It is equal on daemons that have the same records.
func (t *Table) Sum() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.sum
}

// Merge stores a record unless the table has a later or equal one of the same request,
// and reports whether it did. Of two decisions of the same version a release takes
// precedence.
func (t *Table) Merge(r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.records[r.Digest]
	if old != nil && !r.supersedes(old) {
		return false
	}
	if old == nil && len(t.records) >= maxRecords {
		t.dropOldest()
	}
	t.drop(old)
	t.records[r.Digest] = &r
	t.sum ^= r.sum()
	t.count.Store(int64(len(t.records)))
	return true
}

// supersedes reports whether r replaces old.
func (r *Record) supersedes(old *Record) bool {
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.State == StateReleased && old.State == StateHeld
}

// Expire removes the records whose retention has passed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		retention := heldRetention
		if r.State == StateReleased {
			retention = releasedRetention
		}
		if now.Sub(r.Until) > retention {
			t.drop(r)
		}
	}
	t.count.Store(int64(len(t.records)))
}

// drop removes a record; nil is ignored. The caller holds the lock.
func (t *Table) drop(r *Record) {
	if r != nil {
		t.sum ^= r.sum()
		delete(t.records, r.Digest)
	}
}

// dropOldest removes the record with the earliest Until. The caller holds the lock.
func (t *Table) dropOldest() {
	var oldest *Record
	for _, r := range t.records {
		if oldest == nil || r.Until.Before(oldest.Until) {
			oldest = r
		}
	}
	t.drop(oldest)
}
