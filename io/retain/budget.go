// Package retain bounds the bytes of requests and answers that are held in memory.
package retain

import "sync/atomic"

// Budget counts bytes that are held. Its methods are safe for concurrent use; a nil Budget has no bound.
type Budget struct {
	limit   int64
	used    atomic.Int64
	reclaim func() bool // nil: nothing can be reclaimed
}

// Option configures a Budget.
type Option func(*Budget)

// WithReclaim sets a function that is called where there is no room. It makes another holder release some, and returns
// false if there is none. It may wait.
func WithReclaim(fn func() bool) Option { return func(b *Budget) { b.reclaim = fn } }

// New returns a Budget for a number of bytes.
func New(limit int64, opts ...Option) *Budget {
	b := &Budget{limit: limit}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Take reports whether n more bytes may be held, and counts them.
func (b *Budget) Take(n int) bool { return b == nil || b.takeUpTo(n, b.limit) }

// TakeHead takes room for a request's head, and returns how much. Large heads leave half of the budget to others, and
// are charged that half at most.
func (b *Budget) TakeHead(n int) (taken int, ok bool) {
	if b == nil {
		return 0, true
	}
	limit := b.limit
	if n > small {
		limit /= 2
		n = min(n, int(limit))
	}
	return n, b.takeUpTo(n, limit)
}

// TakeBody reports whether n more bytes of a body that has total bytes by now may be held, and counts them.
func (b *Budget) TakeBody(n, total int) bool {
	return b == nil || b.takeUpTo(n, b.bodyLimit(int64(total)))
}

// bodyLimit returns up to where a body of n bytes may fill the budget: large ones leave a quarter of it to others.
func (b *Budget) bodyLimit(n int64) int64 {
	if n > small {
		return b.limit - b.limit/4
	}
	return b.limit
}

// takeUpTo is Take with a lower limit.
func (b *Budget) takeUpTo(n int, limit int64) bool {
	for !b.tryUpTo(n, limit) {
		if int64(n) > limit || b.reclaim == nil || !b.reclaim() {
			return false
		}
	}
	return true
}

func (b *Budget) tryUpTo(n int, limit int64) bool {
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
