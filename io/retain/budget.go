// Package retain bounds the bytes of requests and answers that are held in memory.
package retain

import "sync/atomic"

// Budget counts bytes that are held. Its methods are safe for concurrent use; a nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a Budget for a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Take reports whether n more bytes may be held, and counts them.
func (b *Budget) Take(n int) bool { return b == nil || b.takeUpTo(n, b.limit) }

// takeUpTo is Take with a lower limit.
func (b *Budget) takeUpTo(n int, limit int64) bool {
	if b.used.Add(int64(n)) > limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Release counts n bytes as no longer held.
func (b *Budget) Release(n int) {
	if b != nil {
		b.used.Add(-int64(n))
	}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }
