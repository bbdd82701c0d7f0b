package placement

import (
	"go.uber.org/zap"

	"primroseward/coordination/dispatch"
	"primroseward/io/logs"
)

// step carries out one function of the loop, after the configuration in force has been applied.
func (h *Holder) step(fn func()) {
	h.applyConfig()
	fn()
}

// applyConfig drops what depends on services, models and adapters that the configuration in force does not list, if it has
// changed since the last call. Requests that wait for them are answered at once: no order will be sent for them.
func (h *Holder) applyConfig() {
	config := h.catalog.Config()
	if config == h.config {
		return
	}
	h.config = config
	h.withdraw(h.waiting)
	h.withdraw(h.waitingModel)
	for key := range h.uses {
		if config.Engine(key.service).Model(key.model) == nil {
			delete(h.uses, key)
		}
	}
	for service := range h.priorDemand {
		if config.Engine(service) == nil {
			delete(h.priorDemand, service)
		}
	}
	for service := range h.reported {
		if config.Engine(service) == nil {
			h.clearRoom(service)
		}
	}
}

// withdraw answers the requests that wait for a model or an adapter that is not configured.
func (h *Holder) withdraw(waiting map[dispatch.PlacementKey]*waiters) {
	for w, list := range waiting {
		if h.configured(w) {
			continue
		}
		delete(waiting, w)
		h.log.Info(logs.PlacementWithdrawn, zap.String("service", w.Service), zap.String("model", w.Model), zap.String("adapter", w.Adapter),
			zap.Uint64("config", h.config.Version), zap.Int("requests", len(list.answers)), zap.Duration("waited", h.clock.Since(list.since)))
		for _, answer := range list.answers {
			answer(PlaceResult{})
		}
	}
}
