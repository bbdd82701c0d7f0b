package dispatch

import (
	"context"
	"sync"
)

// inFlight are the sends that have not ended, by runner.
type inFlight struct {
	mu   sync.Mutex
	next uint64
	by   map[string]map[uint64]context.CancelFunc
}

// add keeps a send until done is called.
func (f *inFlight) add(runner string, drop context.CancelFunc) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.by == nil {
		f.by = map[string]map[uint64]context.CancelFunc{}
	}
	if f.by[runner] == nil {
		f.by[runner] = map[uint64]context.CancelFunc{}
	}
	f.next++
	id, sends := f.next, f.by[runner]
	sends[id] = drop
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(sends, id)
		if now := f.by[runner]; len(now) == 0 {
			delete(f.by, runner)
		}
	}
}

// take returns the sends to a runner and forgets them.
func (f *inFlight) take(runner string) []context.CancelFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []context.CancelFunc
	for _, drop := range f.by[runner] {
		out = append(out, drop)
	}
	delete(f.by, runner)
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
