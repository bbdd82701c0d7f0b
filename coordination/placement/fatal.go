package placement

import (
	"errors"
	"time"

	"primroseward/core"
)

// Guard holds back loads that have ended runners, as it does requests.
type Guard interface {
	Held(d core.Digest) time.Duration
	Broke(b core.Broken)
	Worked(d core.Digest)
}

// Option changes a Holder.
type Option func(*Holder)

// WithLimited sets what tells whether a runner is limited in the requests a second that it
// takes.
func WithLimited(fn func(runner string) bool) Option { return func(h *Holder) { h.limited = fn } }

// WithGuard asks a Guard before models are loaded.
func WithGuard(g Guard) Option { return func(h *Holder) { h.guard = g } }

// loadHeld says whether a model is not to be loaded now, as runners that were ordered to
// have ended. Weights may be broken, or not what the configuration says: ordered again
// and again such a model takes runner after runner, with all other models there.
func (h *Holder) loadHeld(service, model string) bool {
	return model != "" && h.guard.Held(core.LoadDigest(service, model)) > 0
}

// noteLoadEnd tells the guard of a runner that has ended, or does not listen any more, while
// it was to load a model. One that served requests as well may have ended under these, and
// one that did not listen before it had heard of the load has not ended under it.
func (h *Holder) noteLoadEnd(one *host, o core.RunnerOrder, err error) {
	if !o.Load || o.Adapter != "" {
		return
	}
	it := one.models[o.Model]
	accepted := it != nil && it.accepted
	if !errors.Is(err, core.ErrClosed) && !(accepted && errors.Is(err, core.ErrNoListener)) {
		return
	}
	if one.runner.Draining || h.loads.View(one.runner.ID).Requests > 0 {
		return
	}
	h.guard.Broke(core.BrokenLoad(one.runner.Service, o.Model, one.runner))
}
