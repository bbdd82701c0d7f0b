package dispatch

import (
	"sync"

	"primroseward/core"
)

// Want is what requests ask for: a model of a service, or an adapter of it.
type Want struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Busy: the runners that have the adapter are full; another one is wanted.
	Busy bool `json:"busy,omitempty"`
}

// Demand counts what requests ask for.
type Demand struct {
	mu     sync.Mutex
	counts map[Want]float64
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand { return &Demand{counts: map[Want]float64{}} }

// workUnit is how many output tokens count as much as reading a prompt.
const workUnit = 100

// Count counts a request by the work it asks for.
func (d *Demand) Count(service string, q *core.Request) {
	if q.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[Want{Service: service, Model: q.Model, Adapter: q.Adapter}] += 1 + float64(q.MaxOutput)/workUnit
}

// Take returns the counts since the last call.
func (d *Demand) Take() map[Want]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.counts
	d.counts = make(map[Want]float64, len(out))
	return out
}
