package dispatch

import (
	"sync"
	"time"

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
	// Wait is how long the request may wait until its model is loaded; 0: it may not.
	Wait time.Duration `json:"wait,omitempty"`
}

// Use is what the requests for a model or an adapter need of runners. It is counted only where requests are
// balanced by counts of the whole fleet.
type Use struct {
	Requests int           // that have arrived
	Ended    int           // answers that have ended
	Busy     time.Duration // time that these took at their runners
	Target   time.Duration // shortest target of the requests that have arrived
}

// Demand counts the requests for each model and adapter.
type Demand struct {
	mu     sync.Mutex
	counts map[PlacementKey]float64
	uses   map[PlacementKey]Use
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{counts: map[PlacementKey]float64{}, uses: map[PlacementKey]Use{}}
}

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

// maxUses bounds how many models and adapters TakeUses returns at once. An entry takes about 100 bytes of a
// message between daemons.
const maxUses = 200

// CountUse counts a request for TakeUses.
func (d *Demand) CountUse(service string, q *core.Request, target time.Duration) {
	d.addUse(service, q, Use{Requests: 1, Target: target})
}

// CountEnd counts an answer that has ended for TakeUses.
func (d *Demand) CountEnd(service string, q *core.Request, busy time.Duration) {
	d.addUse(service, q, Use{Ended: 1, Busy: busy})
}

func (d *Demand) addUse(service string, q *core.Request, u Use) {
	if q.Model == "" {
		return
	}
	key := PlacementKey{Service: service, Model: q.Model, Adapter: q.Adapter}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses[key] = d.uses[key].Add(u)
}

// Add returns the sum of two uses.
func (u Use) Add(o Use) Use {
	target := u.Target
	if o.Target > 0 && (target == 0 || o.Target < target) {
		target = o.Target
	}
	return Use{Requests: u.Requests + o.Requests, Ended: u.Ended + o.Ended, Busy: u.Busy + o.Busy, Target: target}
}

// TakeUses returns the uses since the last call and resets them. If there are more than maxUses, the others
// are returned by the next calls.
func (d *Demand) TakeUses() map[PlacementKey]Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.uses) <= maxUses {
		out := d.uses
		d.uses = make(map[PlacementKey]Use, len(out))
		return out
	}
	out := make(map[PlacementKey]Use, maxUses)
	for key, u := range d.uses {
		if len(out) == maxUses {
			break
		}
		out[key] = u
		delete(d.uses, key)
	}
	return out
}
