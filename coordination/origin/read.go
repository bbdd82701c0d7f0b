package origin

import (
	"context"
	"sync"
	"time"

	"primroseward/core"
)

// gatherTime is how long a read of the store waits for others that need the same.
const gatherTime = 20 * time.Millisecond

// reader reads the sole version of services from the store. A read answers all callers that came before
// it was sent: one that came later may ask for a stream that has begun since.
type reader struct {
	registry *Registry
	clock    core.Clock
	mu       sync.Mutex
	next     map[string]*reading // that have not been sent, by service
}

// reading is a read that answers several callers.
type reading struct {
	done   chan struct{}
	origin core.Origin
	err    error
}

func newReader(r *Registry, clock core.Clock) *reader {
	return &reader{registry: r, clock: clock, next: map[string]*reading{}}
}

// sole returns the origin of all streams of a service, if there is one only.
func (r *reader) sole(ctx context.Context, service string) (core.Origin, error) {
	if r.registry == nil {
		return core.Origin{}, core.ErrOriginUnknown
	}
	r.mu.Lock()
	one, ok := r.next[service]
	if !ok {
		one = &reading{done: make(chan struct{})}
		r.next[service] = one
		go r.runRead(service, one)
	}
	r.mu.Unlock()
	select {
	case <-one.done:
		return one.origin, one.err
	case <-ctx.Done():
		return core.Origin{}, core.ErrOriginUnanswered
	}
}

func (r *reader) runRead(service string, one *reading) {
	r.clock.Sleep(gatherTime)
	r.mu.Lock()
	delete(r.next, service)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	one.origin, one.err = r.registry.Sole(ctx, service)
	close(one.done)
}
