package entry

import (
	"math"
	"sync"
	"time"

	"primroseward/core"
)

// Times of the two moving averages of demand. A burst shows in the fast one
// first; quiet is believed only when the slow one says so.
const (
	fastTime = 10 * time.Second
	slowTime = 10 * time.Minute
)

// Demand counts requests per model as two moving averages.
type Demand struct {
	clock core.Clock
	mu    sync.Mutex
	rates map[string]*averages
}

// Rates is a model's demand in requests per second.
type Rates struct {
	Fast float64
	Slow float64
}

type averages struct {
	Rates
	at time.Time
}

// NewDemand returns counters at zero.
func NewDemand(clock core.Clock) *Demand {
	return &Demand{clock: clock, rates: map[string]*averages{}}
}

// Seen counts a request for a model.
func (d *Demand) Seen(model string) {
	if model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.rates[model]
	if a == nil {
		a = &averages{at: d.clock.Now()}
		d.rates[model] = a
	}
	a.decay(d.clock.Now())
	a.Fast += 1 / fastTime.Seconds()
	a.Slow += 1 / slowTime.Seconds()
}

func (a *averages) decay(now time.Time) {
	dt := now.Sub(a.at).Seconds()
	a.at = now
	a.Fast *= math.Exp(-dt / fastTime.Seconds())
	a.Slow *= math.Exp(-dt / slowTime.Seconds())
}

// All returns the demand of each model seen.
func (d *Demand) All() map[string]Rates {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	out := make(map[string]Rates, len(d.rates))
	for model, a := range d.rates {
		a.decay(now)
		out[model] = a.Rates
	}
	return out
}
