package entry

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"primroseward/core"
	"primroseward/state/tree"
)

// limits bounds concurrency and rate per service and model. A limit of the
// settings is for the whole system; each entry enforces its share, since
// callers spread over the entries.
type limits struct {
	clock   core.Clock
	members core.Members
	mu      sync.Mutex
	inUse   map[string]int
	rates   map[string]*rate.Limiter
}

func newLimits(clock core.Clock, members core.Members) *limits {
	return &limits{clock: clock, members: members, inUse: map[string]int{}, rates: map[string]*rate.Limiter{}}
}

// enter counts a request in, or refuses it. The returned function counts it
// out.
func (l *limits) enter(eff *tree.Effective) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := max(1, len(l.members.All()))
	if err := l.rate(eff, entries); err != nil {
		return nil, err
	}
	name := eff.Origin["concurrency"]
	share := int(math.Ceil(float64(eff.Concurrency) / float64(entries)))
	if l.inUse[name] >= share {
		return nil, core.NotRun(http.StatusTooManyRequests, "concurrency_limit", "too many requests of this service are in progress", time.Second)
	}
	l.inUse[name]++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inUse[name]--
	}), nil
}

// rate takes a token of the node that set the rate.
func (l *limits) rate(eff *tree.Effective, entries int) error {
	if eff.Rate <= 0 {
		return nil
	}
	name := eff.Origin["rate"]
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
		return core.NotRun(http.StatusTooManyRequests, "rate_limit", "requests of this service come too fast", wait)
	}
	return nil
}
