package backlog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"primroseward/core"
)

const (
	// maxRequests bounds the requests that wait. More would need longer than callers wait for a first event:
	// a daemon has a few dozen requests a second.
	maxRequests = 128
	// maxBytes bounds the bodies of the requests that wait. It is a sixteenth of the 128 MB to which the memory
	// of a daemon is bounded.
	maxBytes = 8 << 20
	// lookInterval is the longest time until a request that waits looks for room again, and half of it the
	// shortest. Daemons learn of new counts at the same instant; the spread prevents that they all send then.
	lookInterval = 20 * time.Millisecond
)

// Signal is why a wait is interrupted.
type Signal int

// Signals.
const (
	// Look: there may be room for the request.
	Look Signal = iota
	// Check: other requests go before it. It only checks whether it may still wait.
	Check
	// Expired: it has no more time to wait.
	Expired
	// Displaced: it has been displaced by a more urgent request.
	Displaced
	// Done: its context is done.
	Done
)

// Queue holds the requests of a daemon that wait for room.
type Queue struct {
	clock core.Clock

	mu      sync.Mutex
	waiters []*Waiter // in order
	bytes   int
}

// Waiter is a request that waits.
type Waiter struct {
	queue  *Queue
	joined time.Time
	ahead  int           // requests that went before it when it joined
	wake   chan struct{} // of capacity 1

	// Guarded by the queue's lock.
	request   Request
	place     place
	kind      Kind
	until     time.Time
	runners   []core.Code // full runners that may serve it, as of its latest look
	displaced bool
	left      bool
	occupied  bool // it waits for something else than room, and blocks no others meanwhile
}

// New returns an empty Queue.
func New(clock core.Clock) *Queue { return &Queue{clock: clock} }

// Len returns how many requests wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// HasAhead reports whether a request waits that competes for the same room and goes before r.
func (q *Queue) HasAhead(r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return false
	}
	now := q.clock.Now()
	kind, _, _ := r.Plan(now)
	p := placeOf(r, kind)
	for _, w := range q.waiters {
		if w.place.compare(&p) > 0 {
			return false
		}
		if w.blocks(r, now) {
			return true
		}
	}
	return false
}

// Join makes a request wait. It returns nil if the request has no time to wait, or if the queue is full of
// requests that lose more.
func (q *Queue) Join(r Request) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	kind, until, ok := r.Plan(now)
	if !ok {
		return nil
	}
	w := &Waiter{queue: q, joined: now, wake: make(chan struct{}, 1), request: r, place: placeOf(&r, kind), kind: kind, until: until}
	if !q.makeRoom(w) {
		return nil
	}
	w.ahead = q.insert(w)
	return w
}

// makeRoom displaces the last requests in the order until there is room for w. It displaces none if that takes
// one that goes before w. The caller holds the lock.
func (q *Queue) makeRoom(w *Waiter) bool {
	keep, bytes := len(q.waiters), q.bytes
	for keep >= maxRequests || bytes+w.request.Bytes > maxBytes {
		if keep == 0 || q.waiters[keep-1].place.compare(&w.place) <= 0 {
			return false
		}
		keep--
		bytes -= q.waiters[keep].request.Bytes
	}
	for len(q.waiters) > keep {
		last := q.waiters[len(q.waiters)-1]
		last.displaced = true
		q.remove(last)
		last.signal()
	}
	return true
}

// insert adds w at its place and returns the number of requests before it. The caller holds the lock.
func (q *Queue) insert(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(e, w *Waiter) int {
		if e.place.compare(&w.place) <= 0 {
			return -1
		}
		return 1
	})
	q.waiters = slices.Insert(q.waiters, i, w)
	q.bytes += w.request.Bytes
	return i
}

// remove takes w out, and wakes the next request of its key if w was the first. The caller holds the lock.
func (q *Queue) remove(w *Waiter) {
	now := q.clock.Now()
	first := !w.occupied && q.isFirst(w, now)
	i := slices.Index(q.waiters, w)
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.bytes -= w.request.Bytes
	if first {
		q.wakeNext(w, i, now)
	}
}

// wakeNext wakes the first request from a position on that w has blocked. The caller holds the lock.
func (q *Queue) wakeNext(w *Waiter, from int, now time.Time) {
	for _, o := range q.waiters[from:] {
		if w.request.blocks(&o.request, now) {
			o.signal()
			return
		}
	}
}

// blocks reports whether w, which goes before r, keeps it from the runners.
func (w *Waiter) blocks(r *Request, now time.Time) bool {
	return !w.occupied && w.request.blocks(r, now)
}

// isFirst reports whether no request that competes for the same room goes before w. The caller holds the lock.
func (q *Queue) isFirst(w *Waiter, now time.Time) bool {
	for _, o := range q.waiters {
		if o == w {
			return true
		}
		if o.blocks(&w.request, now) {
			return false
		}
	}
	return false
}

// Ended makes the first request that may go to a runner look for room, as a request has ended there.
func (q *Queue) Ended(runner core.Code) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, w := range q.waiters {
		if slices.Contains(w.runners, runner) && q.isFirst(w, now) {
			w.signal()
			return
		}
	}
}

// signal interrupts the wait.
func (w *Waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Wait waits until the request has a reason to act.
func (w *Waiter) Wait(ctx context.Context) Signal {
	timer := w.queue.clock.NewTimer(w.pause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return Done
	case <-w.wake:
	case <-timer.Chan():
	}
	return w.next()
}

// pause returns how long to wait at most until the next look, 0 if the request may not wait any more.
func (w *Waiter) pause() time.Duration {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.displaced {
		return 0
	}
	d := lookInterval/2 + rand.N(lookInterval/2)
	return max(0, min(d, w.until.Sub(w.queue.clock.Now())))
}

// next decides what the request does after a pause.
func (w *Waiter) next() Signal {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	switch {
	case w.displaced:
		return Displaced
	case now.Before(w.until):
	case w.becomeLate(now):
	default:
		return Expired
	}
	if q.isFirst(w, now) {
		return Look
	}
	return Check
}

// becomeLate lets a request whose time to wait has ended wait on if it has become late meanwhile. The caller
// holds the lock.
func (w *Waiter) becomeLate(now time.Time) bool {
	kind, until, ok := w.request.Plan(now)
	if w.kind == Late || kind != Late || !ok {
		return false
	}
	w.queue.remove(w)
	w.kind, w.until, w.place = kind, until, placeOf(&w.request, kind)
	w.queue.insert(w)
	return true
}

// AwaitLoad makes a request that waits for room wait for a load instead, as no runner has its model any more.
func (w *Waiter) AwaitLoad() {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.request.AwaitsLoad || w.displaced {
		return
	}
	w.queue.remove(w)
	w.request.AwaitsLoad = true
	w.kind, w.until, _ = w.request.Plan(w.queue.clock.Now())
	w.place = placeOf(&w.request, w.kind)
	w.queue.insert(w)
}

// Looked records the result of a look that found no room: the runners that may serve the request, and whether it
// yields to other workspaces.
func (w *Waiter) Looked(runners []core.Code, yields bool) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.runners = runners
	if yields == w.request.Yields || w.displaced {
		return
	}
	w.queue.remove(w)
	w.request.Yields, w.place.yields = yields, yields
	w.queue.insert(w)
}

// SetOccupied sets whether the request waits for something else than room now: for its turn at a runner that has
// been chosen, or for a load.
func (w *Waiter) SetOccupied(occupied bool) {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	first := q.isFirst(w, now)
	w.occupied = occupied
	if occupied && first {
		q.wakeNext(w, slices.Index(q.waiters, w)+1, now)
	}
}

// Summary describes a wait that has ended.
type Summary struct {
	Kind   Kind
	Waited time.Duration
	// AwaitsLoad is set if it was for a load.
	AwaitsLoad bool
	// Ahead is how many requests went before this one when it joined, Waiting how many wait now.
	Ahead, Waiting int
}

// Leave ends the wait.
func (w *Waiter) Leave() Summary {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.displaced && !w.left {
		w.left = true
		q.remove(w)
	}
	return Summary{Kind: w.kind, AwaitsLoad: w.request.AwaitsLoad, Waited: q.clock.Now().Sub(w.joined), Ahead: w.ahead, Waiting: len(q.waiters)}
}
