package dispatch

import (
	"context"
	"sync"
)

// inFlight holds the cancel functions of sends in progress, by key.
type inFlight[K comparable] struct {
	mu      sync.Mutex
	nextID  uint64
	cancels map[K]map[uint64]context.CancelFunc
}

// add holds a send until done is called.
func (f *inFlight[K]) add(key K, cancel context.CancelFunc) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancels == nil {
		f.cancels = map[K]map[uint64]context.CancelFunc{}
	}
	if f.cancels[key] == nil {
		f.cancels[key] = map[uint64]context.CancelFunc{}
	}
	f.nextID++
	id, sends := f.nextID, f.cancels[key]
	sends[id] = cancel
	// done is called for each event of a stream. Only the first call needs the lock, which
	// all requests share.
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(sends, id)
		if now := f.cancels[key]; len(now) == 0 {
			delete(f.cancels, key)
		}
	})
}

// removeAll removes and returns the sends of a key.
func (f *inFlight[K]) removeAll(key K) []context.CancelFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []context.CancelFunc
	for _, cancel := range f.cancels[key] {
		out = append(out, cancel)
	}
	delete(f.cancels, key)
	return out
}

// Forget drops the state of a runner that is gone.
func (d *Dispatcher) Forget(runner string) { d.pacer.Forget(runner) }

// Restarted cancels the sends to a runner that has started again under the same ID. A runner
// that lost its power does not reset its connections: its callers would wait until their
// deadline for answers that the new instance can't give. A resumable stream continues
// elsewhere, and other requests are answered at once.
func (d *Dispatcher) Restarted(runner string) {
	d.Forget(runner)
	for _, cancel := range d.byRunner.removeAll(runner) {
		cancel()
	}
}
