package origin

import (
	"container/list"
	"sync"
	"time"

	"primroseward/core"
)

const (
	// maxRecords bounds the records of a Table: some 200 bytes each, 13 MB together.
	maxRecords = 1 << 16
	// recordTTL is how long after its last use a record is kept. Callers take a stream up within
	// seconds, and give up after some tens of them.
	recordTTL = 2 * time.Minute
)

// Record states where a stream began.
type Record struct {
	Origin core.Origin
	Owner  core.Code     // of the workspace; 0: none
	Age    time.Duration // since it was recorded or last used
}

// entry is a record in the table.
type entry struct {
	key    core.StreamKey
	owner  core.Code
	origin core.Origin
	// ambiguous is set once the same key has been recorded with another origin: an id that was
	// used for two streams.
	ambiguous bool
	usedAt    time.Time
}

// Table holds where streams began. A full table drops the oldest record of the workspace that has the
// most, so that no workspace can displace the records of others.
type Table struct {
	clock   core.Clock
	max     int
	mu      sync.Mutex
	records map[core.StreamKey]*list.Element
	owners  map[core.Code]*list.List // oldest first
}

// NewTable returns an empty Table.
func NewTable(clock core.Clock) *Table {
	return &Table{clock: clock, max: maxRecords, records: map[core.StreamKey]*list.Element{}, owners: map[core.Code]*list.List{}}
}

// Put records where a stream began.
func (t *Table) Put(k core.StreamKey, owner core.Code, o core.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if e, ok := t.records[k]; ok {
		r := e.Value.(*entry)
		r.ambiguous = r.ambiguous || r.origin != o
		r.usedAt = now
		t.owners[r.owner].MoveToBack(e)
		return
	}
	if t.owners[owner] == nil {
		t.owners[owner] = list.New()
	}
	t.records[k] = t.owners[owner].PushBack(&entry{key: k, owner: owner, origin: o, usedAt: now})
	if len(t.records) > t.max {
		t.drop(t.largestOwner().Front())
	}
}

// Get returns the record of a stream. ok is false if there is none, or if the same id was used for streams
// of several origins.
func (t *Table) Get(k core.StreamKey) (r Record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.records[k]
	if !found {
		return Record{}, false
	}
	one := e.Value.(*entry)
	r = Record{Origin: one.origin, Owner: one.owner, Age: t.clock.Since(one.usedAt)}
	return r, !one.ambiguous && r.Age < recordTTL
}

// Sweep drops the records that have expired.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.owners {
		for l.Len() > 0 && t.clock.Since(l.Front().Value.(*entry).usedAt) >= recordTTL {
			t.drop(l.Front())
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// largestOwner returns the records of the workspace that has the most. The caller holds the lock.
func (t *Table) largestOwner() *list.List {
	var largest *list.List
	for _, l := range t.owners {
		if largest == nil || l.Len() > largest.Len() {
			largest = l
		}
	}
	return largest
}

// drop removes a record. The caller holds the lock.
func (t *Table) drop(e *list.Element) {
	r := e.Value.(*entry)
	delete(t.records, r.key)
	l := t.owners[r.owner]
	l.Remove(e)
	if l.Len() == 0 {
		delete(t.owners, r.owner)
	}
}
