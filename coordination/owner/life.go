package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"primroseward/core"
)

// life is one life of an endpoint's process, as its owner tells it from others.
type life struct {
	begun time.Time // when the owner first knew of it
	boot  string    // as the endpoint tells it; empty: not told yet
}

// runner names an endpoint's life where runners are spoken of.
func (l life) runner(id string) core.Runner { return core.Runner{ID: id, Born: l.begun} }

// lives keeps which life of an endpoint is the current one.
type lives struct {
	clock core.Clock
	mu    sync.Mutex
	is    life
}

func (l *lives) now() life {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.is
}

// ended takes in that nothing listens at the endpoint. One that is asked several times
// while it is away has still ended once.
func (l *lives) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.is = life{begun: l.clock.Now()}
}

// told takes in the boot that the endpoint tells of itself.
func (l *lives) told(boot string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.is.boot != "" && l.is.boot != boot {
		l.is.begun = l.clock.Now()
	}
	l.is.boot = boot
}

// observe asks the endpoint what it holds, and learns from the answer whether it has
// started again.
func (r *runner) observe(ctx context.Context) (core.Observation, error) {
	obs, err := r.endpoint.Observe(ctx)
	switch {
	case errors.Is(err, core.ErrNoListener):
		r.alive.ended()
	case err == nil:
		r.alive.told(obs.Boot)
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
	if is := r.alive.now(); !is.begun.Equal(of.Born) {
		return nil, core.ErrReplaced
	}
	if _, err := r.observe(ctx); err != nil && !errors.Is(err, core.ErrNotFound) {
		return nil, err
	}
	return &core.Report{Born: r.alive.now().begun}, nil
}
