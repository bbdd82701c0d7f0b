// Package limit holds requests to the concurrency and the rate that the
// settings allow.
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

// Table bounds concurrency and rate per service and model. A limit of the
// settings is for the whole system; each daemon enforces its share, since
// callers spread over the daemons. Where daemons tell each other what they let
// in, a rate is shared by use.
type Table struct {
	clock   core.Clock
	daemons func() int // that serve callers now
	mu      sync.Mutex
	inUse   map[string]int
	rates   map[string]*rate.Limiter
	shared  Shared // nil: each daemon has an even part of a rate
}

// Shared holds all daemons together to a rate that a node of the settings allows.
type Shared interface {
	TakeSetting(node string, perSecond float64) core.Admission
}

// Option changes a Table.
type Option func(*Table)

// WithShared shares rates with the other daemons.
func WithShared(s Shared) Option { return func(l *Table) { l.shared = s } }

// New makes a Table of one of as many daemons as daemons says.
func New(clock core.Clock, daemons func() int, opts ...Option) *Table {
	l := &Table{clock: clock, daemons: daemons, inUse: map[string]int{}, rates: map[string]*rate.Limiter{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Enter counts a request in, or refuses it with a *core.RequestError. The
// returned function counts it out.
func (l *Table) Enter(eff *tree.Effective) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := max(1, l.daemons())
	if err := l.rate(eff, entries); err != nil {
		return nil, err
	}
	if eff.Concurrency <= 0 {
		return func() {}, nil
	}
	name := eff.Origin["concurrency"]
	share := int(math.Ceil(float64(eff.Concurrency) / float64(entries)))
	if l.inUse[name] >= share {
		return nil, core.NotRun(http.StatusTooManyRequests, CodeConcurrency, "too many requests of this service are in progress", time.Second)
	}
	l.inUse[name]++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inUse[name]--
	}), nil
}

// rate takes a token of the node that set the rate.
func (l *Table) rate(eff *tree.Effective, entries int) error {
	if eff.Rate <= 0 {
		return nil
	}
	name := eff.Origin["rate"]
	if l.shared != nil {
		if a := l.shared.TakeSetting(name, eff.Rate); !a.OK {
			return tooFast(a.Retry)
		}
		return nil
	}
	limit := rate.Limit(eff.Rate / float64(entries))
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
		return tooFast(wait)
	}
	return nil
}

func tooFast(retry time.Duration) error {
	return core.NotRun(http.StatusTooManyRequests, CodeRate, "requests of this service come too fast", retry)
}
