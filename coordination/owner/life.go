package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"primroseward/core"
)

// instance is one instance of an endpoint's process, as its owner tells it from others.
type instance struct {
	startedAt time.Time // when the owner first knew of it
	bootID    string    // as the endpoint tells it; empty: not told yet
}

// runner names an endpoint's life where runners are spoken of.
func (l instance) runner(id string) core.Runner { return core.Runner{ID: id, Born: l.startedAt} }

// instanceTracker keeps which life of an endpoint is the current one.
type instanceTracker struct {
	clock  core.Clock
	mu     sync.Mutex
	latest instance
}

func (l *instanceTracker) current() instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// exited takes in that nothing listens at the endpoint. One that is asked several times
// while it is away has still exited once.
func (l *instanceTracker) exited() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = instance{startedAt: l.clock.Now()}
}

// booted takes in the boot that the endpoint tells of itself.
func (l *instanceTracker) booted(bootID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest.bootID != "" && l.latest.bootID != bootID {
		l.latest.startedAt = l.clock.Now()
	}
	l.latest.bootID = bootID
}

// observe asks the endpoint what it holds, and learns from the answer whether it has
// started again.
func (r *runner) observe(ctx context.Context) (core.Observation, error) {
	obs, err := r.endpoint.Observe(ctx)
	switch {
	case errors.Is(err, core.ErrNoListener):
		r.instances.exited()
	case err == nil:
		r.instances.booted(obs.Boot)
	}
	return obs, err
}

// Report asks an owned endpoint for its state. It fails with core.ErrNoListener where the
// process has ended and core.ErrReplaced where another one has taken its place; the
// report's Born is that of the life that answers.
func (m *Manager) Report(ctx context.Context, of *core.Runner) (*core.Report, error) {
	r := m.runner(of.ID)
	if r == nil {
		return nil, core.ErrNotFound
	}
	if current := r.instances.current(); !current.startedAt.Equal(of.Born) {
		return nil, core.ErrReplaced
	}
	if _, err := r.observe(ctx); err != nil && !errors.Is(err, core.ErrNotFound) {
		return nil, err
	}
	return &core.Report{Born: r.instances.current().startedAt}, nil
}
