package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"primroseward/core"
)

// instance identifies one instance of an endpoint: one lifetime of its process.
type instance struct {
	startedAt time.Time // when the owner first detected it
	bootID    string    // as the endpoint reports it; empty until the first report
}

// runner returns the identity of this instance of the endpoint with the given ID.
func (i instance) runner(id string) core.Runner { return core.Runner{ID: id, StartedAt: i.startedAt} }

// instanceTracker tracks the current instance of an endpoint.
type instanceTracker struct {
	clock  core.Clock
	mu     sync.Mutex
	latest instance
}

func (t *instanceTracker) current() instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// exited records that nothing listens at the endpoint's address. Several such observations
// while the endpoint is down still mean one exit.
func (t *instanceTracker) exited() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = instance{startedAt: t.clock.Now()}
}

// booted records the boot ID that the endpoint reports. A boot ID that differs from the
// last one means a new instance.
func (t *instanceTracker) booted(bootID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest.bootID != "" && t.latest.bootID != bootID {
		t.latest.startedAt = t.clock.Now()
	}
	t.latest.bootID = bootID
}

// observe requests the endpoint's state and detects from the result whether the endpoint
// has exited or restarted.
func (r *runner) observe(ctx context.Context) (core.Observation, error) {
	obs, err := r.endpoint.Observe(ctx)
	switch {
	case errors.Is(err, core.ErrNoListener):
		r.instances.exited()
	case err == nil:
		r.instances.booted(obs.Instance)
	}
	return obs, err
}

// Report requests the state of an owned endpoint. It fails with core.ErrNoListener if the
// process has exited and with core.ErrReplaced if another instance has replaced it.
// StartedAt in the report is that of the instance that answered.
func (m *Manager) Report(ctx context.Context, of *core.Runner) (*core.Report, error) {
	r := m.runner(of.ID)
	if r == nil {
		return nil, core.ErrNotFound
	}
	if current := r.instances.current(); !current.startedAt.Equal(of.StartedAt) {
		return nil, core.ErrReplaced
	}
	if _, err := r.observe(ctx); err != nil && !errors.Is(err, core.ErrNotFound) {
		return nil, err
	}
	return &core.Report{StartedAt: r.instances.current().startedAt}, nil
}
