package entry

import (
	"math"
	"sync"
	"time"

	"primroseward/core"
)

// Time constants of the two exponentially decaying averages of demand. A burst
// shows in the fast average first. A drop in demand should be acted on only when
// the slow average shows it too.
const (
	fastTimeConstant = 10 * time.Second
	slowTimeConstant = 10 * time.Minute
)

// Demand measures the request rate per model as two moving averages.
type Demand struct {
	clock core.Clock
	mu    sync.Mutex
	rates map[string]*averages
}

// Rates holds a model's demand in requests per second.
type Rates struct {
	Fast float64
	Slow float64
}

type averages struct {
	Rates
	updatedAt time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand(clock core.Clock) *Demand {
	return &Demand{clock: clock, rates: map[string]*averages{}}
}

// Record counts a request for a model. Requests without a model are ignored.
func (d *Demand) Record(model string) {
	if model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.rates[model]
	if a == nil {
		a = &averages{updatedAt: d.clock.Now()}
		d.rates[model] = a
	}
	a.decay(d.clock.Now())
	a.Fast += 1 / fastTimeConstant.Seconds()
	a.Slow += 1 / slowTimeConstant.Seconds()
}

func (a *averages) decay(now time.Time) {
	dt := now.Sub(a.updatedAt).Seconds()
	a.updatedAt = now
	a.Fast *= math.Exp(-dt / fastTimeConstant.Seconds())
	a.Slow *= math.Exp(-dt / slowTimeConstant.Seconds())
}

// All returns the demand for each model that was ever requested.
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
