package dispatch

import (
	"sync"

	"primroseward/core"
)

// PlacementKey is a model of a service, or an adapter of it, that requests need.
type PlacementKey struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Version is the software version that the runner must have; empty: any.
	Version string `json:"version,omitempty"`
	// Busy is set if the runners that have the adapter are full and another one is needed.
	Busy bool `json:"busy,omitempty"`
}

// Demand counts the requests for each model and adapter.
type Demand struct {
	mu     sync.Mutex
	counts map[PlacementKey]float64
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand { return &Demand{counts: map[PlacementKey]float64{}} }

// workUnit is how many output tokens cost as much as reading a prompt.
const workUnit = 100

// Count counts a request, weighted by its work.
func (d *Demand) Count(service string, q *core.Request) {
	if q.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[PlacementKey{Service: service, Model: q.Model, Adapter: q.Adapter}] += 1 + float64(q.MaxOutputTokens)/workUnit
}

// Take returns the counts since the last call and resets them.
func (d *Demand) Take() map[PlacementKey]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.counts
	d.counts = make(map[PlacementKey]float64, len(out))
	return out
}
