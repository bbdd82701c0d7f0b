// Package limit enforces the concurrency and the rate that the settings allow.
package limit

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"primroseward/core"
	"primroseward/state/tree"
)

// Codes of refusals.
const (
	CodeConcurrency = "concurrency_limit"
	CodeRate        = "rate_limit"
)

// Table bounds the concurrency and the rate per service and model. A limit of the settings is
// for the whole system. Each daemon enforces an equal share of it, since callers are spread
// over the daemons. With a Shared, rates are instead divided by use.
type Table struct {
	clock      core.Clock
	daemons    func() int // number of daemons that serve callers now
	mu         sync.Mutex
	inProgress map[string]int
	rates      map[string]*rate.Limiter
	shared     Shared // nil: each daemon enforces an equal part of a rate
}

// Shared enforces a rate of a settings node over all daemons together.
type Shared interface {
	TakeSetting(node string, perSecond float64) core.Admission
}

// Option configures a Table.
type Option func(*Table)

// WithShared shares rates with the other daemons.
func WithShared(s Shared) Option { return func(l *Table) { l.shared = s } }

// New returns the Table of one daemon. daemons returns the current number of daemons.
func New(clock core.Clock, daemons func() int, opts ...Option) *Table {
	l := &Table{clock: clock, daemons: daemons, inProgress: map[string]int{}, rates: map[string]*rate.Limiter{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Enter counts a request as in progress, or refuses it with a *core.RequestError. The returned
// function ends the count.
func (l *Table) Enter(eff *tree.Effective) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	daemons := max(1, l.daemons())
	if err := l.takeRate(eff, daemons); err != nil {
		return nil, err
	}
	if eff.Concurrency <= 0 {
		return func() {}, nil
	}
	name := eff.Origin["concurrency"]
	share := int(math.Ceil(float64(eff.Concurrency) / float64(daemons)))
	if l.inProgress[name] >= share {
		return nil, core.NotRun(http.StatusTooManyRequests, CodeConcurrency, "too many requests of this service are in progress", time.Second)
	}
	l.inProgress[name]++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inProgress[name]--
	}), nil
}

// takeRate takes a token of the node that sets the rate.
func (l *Table) takeRate(eff *tree.Effective, daemons int) error {
	if eff.Rate <= 0 {
		return nil
	}
	name := eff.Origin["rate"]
	if l.shared != nil {
		if a := l.shared.TakeSetting(name, eff.Rate); !a.OK {
			return rateExceeded(a.Retry)
		}
		return nil
	}
	limit := rate.Limit(eff.Rate / float64(daemons))
	burst := max(1, int(math.Ceil(float64(limit))))
	r := l.rates[name]
	if r == nil {
		r = rate.NewLimiter(limit, burst)
		l.rates[name] = r
	}
	now := l.clock.Now()
	if r.Limit() != limit {
		r.SetLimitAt(now, limit)
		r.SetBurstAt(now, burst)
	}
	res := r.ReserveN(now, 1)
	if wait := res.DelayFrom(now); wait > 0 {
		res.CancelAt(now)
		return rateExceeded(wait)
	}
	return nil
}

func rateExceeded(retry time.Duration) error {
	return core.NotRun(http.StatusTooManyRequests, CodeRate, "too many requests per second for this service", retry)
}
