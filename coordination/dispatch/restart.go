package dispatch

import (
	"context"
	"sync"
)

// inFlight are the sends that have not ended, by a key.
type inFlight[K comparable] struct {
	mu   sync.Mutex
	next uint64
	by   map[K]map[uint64]context.CancelFunc
}

// add keeps a send until done is called.
func (f *inFlight[K]) add(key K, drop context.CancelFunc) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.by == nil {
		f.by = map[K]map[uint64]context.CancelFunc{}
	}
	if f.by[key] == nil {
		f.by[key] = map[uint64]context.CancelFunc{}
	}
	f.next++
	id, sends := f.next, f.by[key]
	sends[id] = drop
	// Each event of a stream says again that the answer has begun; only the first one has
	// to wait for the lock that all requests share.
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(sends, id)
		if now := f.by[key]; len(now) == 0 {
			delete(f.by, key)
		}
	})
}

// take returns the sends of a key and forgets them.
func (f *inFlight[K]) take(key K) []context.CancelFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []context.CancelFunc
	for _, drop := range f.by[key] {
		out = append(out, drop)
	}
	delete(f.by, key)
	return out
}

// Forget drops what is known of a runner that is gone.
func (d *Dispatcher) Forget(runner string) { d.pace.Forget(runner) }

// Restarted ends the sends to a runner that has started again under its id. A runner
// that lost its power resets nothing: its callers would wait until their deadline for
// answers that its new life knows nothing of. A stream that may be resumed goes on
// elsewhere, another request is answered at once.
func (d *Dispatcher) Restarted(runner string) {
	d.Forget(runner)
	for _, drop := range d.sent.take(runner) {
		drop()
	}
}
