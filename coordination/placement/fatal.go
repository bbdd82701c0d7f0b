package placement

import (
	"errors"
	"time"

	"primroseward/coordination/availability"
	"primroseward/core"
)

// Guard holds back loads under which runners have exited, as it does requests.
type Guard interface {
	HoldRemaining(d core.Digest) time.Duration
	ConnectionLost(b core.LostRequest)
	Served(d core.Digest)
}

// Option configures a Holder.
type Option func(*Holder)

// WithAvailability sets the table of the runners that accept requests.
func WithAvailability(t *availability.Table) Option { return func(h *Holder) { h.available = t } }

// WithGuard sets the Guard that is consulted before a model is loaded.
func WithGuard(g Guard) Option { return func(h *Holder) { h.guard = g } }

// loadHeld reports whether a model must not be loaded now because runners have exited while
// loading it. Its weights may be corrupt or differ from the configuration. If such a model
// were ordered repeatedly, it would make one runner after another exit, each with all its
// other models.
func (h *Holder) loadHeld(service, model string) bool {
	return model != "" && h.guard.HoldRemaining(core.LoadDigest(service, model)) > 0
}

// noteLoadExit reports to the guard that a runner exited, or stopped listening, while it was
// to load a model. A runner that was also serving requests does not count, since one of these
// may be the cause. Nor does a runner that stopped listening before it accepted the load.
func (h *Holder) noteLoadExit(rs *runnerState, o core.RunnerOrder, err error) {
	if !o.Load || o.Adapter != "" {
		return
	}
	item := rs.models[o.Model]
	accepted := item != nil && item.accepted
	if !errors.Is(err, core.ErrClosed) && !(accepted && errors.Is(err, core.ErrNoListener)) {
		return
	}
	if rs.leaving || h.loads.View(rs.runner.ID).Requests > 0 {
		return
	}
	h.guard.ConnectionLost(core.LostLoad(rs.runner.Service, o.Model, rs.runner))
}
