package allowance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// minRate, in requests per second, is the rate that is sent even to a runner that declares
	// less or 0, since only an answer can show that its limit has ended.
	minRate = 0.25
	// depthTime times the declared rate is the capacity of a runner's bucket, which is at
	// least minDepth requests.
	depthTime = 500 * time.Millisecond
	minDepth  = 2
	// maxDebtTime is for how long requests that exceeded a limit may keep others from the runner:
	// orders and report requests, which are never held back, and what several daemons sent before
	// they received each other's messages.
	maxDebtTime = 3 * time.Second
	// spareFill is how full a runner's bucket must be, as a part of its capacity, for requests
	// that another runner could serve.
	spareFill = 0.5
	// broadcastInterval is the least time between two broadcasts of a runner's limit that
	// changes, rebroadcastInterval of one that does not.
	broadcastInterval   = 200 * time.Millisecond
	rebroadcastInterval = time.Second
	// endRetention is how long the end of a limit is broadcast again and late updates on the
	// limit are ignored.
	endRetention = time.Second
	// sentInterval is the least time between two broadcasts of how many requests were sent to
	// a limited runner. The rest goes out with the next request or report.
	sentInterval = 50 * time.Millisecond
	// limitTTL is how long a limit is kept without an update.
	limitTTL = time.Minute
)

// limitTiming is for runners with a few requests per second. Over a shorter averaging time a
// single request would look like high demand.
var limitTiming = timing{horizon: 300 * time.Millisecond, demandSpan: time.Second, spentSpan: 300 * time.Millisecond, perRequest: true}

// LimitUpdate is a message between daemons about a runner: its limit, or how many requests were
// sent to it under the limit.
type LimitUpdate struct {
	Runner  string  `json:"r"`
	Limited bool    `json:"l,omitempty"`
	Rate    float64 `json:"s,omitempty"` // requests per second
	Sent    float64 `json:"n,omitempty"` // requests since the last such message; if not 0, Limited and Rate are unset
}

// Limits enforces over all daemons the limits that runners declare in their answers, and the
// rates of services that the settings allow. It stores nothing for runners and services
// without a limit.
type Limits struct {
	clock     core.Clock
	log       *zap.Logger
	scope     tally.Scope
	pool      *Pool
	broadcast func(LimitUpdate)

	limits      atomic.Pointer[map[string]*limit]
	endedLimits atomic.Pointer[map[string]limitEnd] // limits that ended within endRetention

	mu         sync.Mutex    // guards changes to the limits
	problemLog logs.Throttle // of unreadable limits
}

// limit is a runner's limit as last declared.
type limit struct {
	rate          float64 // requests per second
	since         time.Time
	declaredAt    time.Time // time of the last declaration
	source        string    // daemon that received it from the runner; empty: this one
	broadcastAt   time.Time // when the limit was last broadcast, by this daemon or to it
	broadcastRate float64   // rate of that broadcast
	bucket        *bucket

	sender *sender
}

// sender is what this daemon sends to a limited runner.
type sender struct {
	mu          sync.Mutex
	nextSpareAt time.Time // earliest time of the next request that another runner could serve
	unreported  float64   // requests sent since the last broadcast
	reportedAt  time.Time // time of that broadcast
}

// limitEnd is the end of a limit.
type limitEnd struct{ at, broadcastAt time.Time }

// LimitsOption configures Limits.
type LimitsOption func(*Limits)

// WithBroadcast sets the function that broadcasts a runner's limit to the peers.
func WithBroadcast(fn func(LimitUpdate)) LimitsOption { return func(r *Limits) { r.broadcast = fn } }

// WithLimitsScope sets the scope of the metrics.
func WithLimitsScope(s tally.Scope) LimitsOption { return func(r *Limits) { r.scope = s } }

// WithPool applies options to the pool that enforces the limits.
func WithPool(opts ...Option) LimitsOption {
	return func(r *Limits) {
		for _, o := range opts {
			o(r.pool)
		}
	}
}

// NewLimits returns Limits without any limit. No requests are admitted to a limited runner
// until UpdatePeers is called.
func NewLimits(clock core.Clock, log *zap.Logger, opts ...LimitsOption) *Limits {
	r := &Limits{clock: clock, log: log, scope: tally.NoopScope, broadcast: func(LimitUpdate) {}}
	r.pool = New(clock, func() core.AllowanceWindow { return core.AllowanceWindow{} })
	r.pool.timing = limitTiming
	for _, o := range opts {
		o(r)
	}
	r.limits.Store(&map[string]*limit{})
	r.endedLimits.Store(&map[string]limitEnd{})
	return r
}

// limitOf returns a runner's limit, nil if it has none.
func (r *Limits) limitOf(runner string) *limit { return (*r.limits.Load())[runner] }

// ObserveAnswer applies the limit that a runner's answer declares. A rejection without one does not
// end a limit: it may come from another instance, or have been written before the request was
// examined.
func (r *Limits) ObserveAnswer(runner string, info core.ReplyInfo) {
	if _, ended := (*r.endedLimits.Load())[runner]; !ended && info.Limit == (core.RateLimit{}) && r.limitOf(runner) == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.Limit.Problem != "" {
		r.reportUnreadable(runner, info.Limit.Problem)
	}
	switch {
	case info.Limit.Announced:
		r.set(runner, info.Limit.Rate, "")
	case info.Stamped && !info.NotRun:
		r.remove(runner, "")
		r.broadcastEnd(runner)
	}
}

// ApplyUpdate applies an update that a peer has broadcast.
func (r *Limits) ApplyUpdate(from string, w LimitUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch l := r.limitOf(w.Runner); {
	case w.Sent != 0 && l != nil:
		l.bucket.spendByPeer(r.clock.Now(), w.Sent)
	case w.Sent != 0:
	case w.Limited:
		if l != nil || !r.recentlyEnded(w.Runner) {
			r.set(w.Runner, w.Rate, from)
		}
	default:
		r.remove(w.Runner, from)
	}
}

// reportUnreadable counts a limit that cannot be parsed, and logs it from time to time; the
// caller holds r.mu.
func (r *Limits) reportUnreadable(runner, problem string) {
	r.scope.Counter("runner_limits_unreadable").Inc(1)
	if r.problemLog.Allow(r.clock.Now()) {
		r.log.Warn(logs.RunnerLimitUnreadable, zap.String("runner", runner), zap.String("problem", problem))
	}
}

// set stores a runner's limit; the caller holds r.mu.
func (r *Limits) set(runner string, perSecond float64, source string) {
	now, old := r.clock.Now(), r.limitOf(runner)
	next := &limit{rate: perSecond, since: now, declaredAt: now, source: source}
	oldRate := 0.0
	if old == nil {
		next.bucket = r.newBucket(runner, now, perSecond)
		next.sender = &sender{nextSpareAt: now.Add(r.spareInterval(max(minRate, perSecond)))}
	} else {
		next.bucket, next.sender, next.since, next.broadcastAt, next.broadcastRate, oldRate = old.bucket, old.sender, old.since, old.broadcastAt, old.broadcastRate, old.rate
	}
	if old == nil || oldRate != perSecond {
		next.bucket.reconfigure(now, runnerParams(runner, perSecond))
		r.log.Info(logs.RunnerLimit, zap.String("runner", runner), zap.Bool("limited", true), zap.Float64("rate", perSecond),
			zap.Float64("former", oldRate), zap.String("from", source), zap.Duration("since", now.Sub(next.since)))
	}
	r.broadcastLimit(runner, next, now)
	limits := maps.Clone(*r.limits.Load())
	limits[runner] = next
	maps.DeleteFunc(limits, func(_ string, l *limit) bool { return now.Sub(l.declaredAt) >= limitTTL })
	r.publish(limits)
}

// broadcastLimit broadcasts a limit that has changed since the last broadcast, or whose last
// broadcast is too long ago; the caller holds r.mu.
func (r *Limits) broadcastLimit(runner string, l *limit, now time.Time) {
	if l.source != "" {
		l.broadcastAt, l.broadcastRate = now, l.rate
		return
	}
	interval := broadcastInterval
	if l.broadcastRate == l.rate {
		interval = rebroadcastInterval
	}
	if now.Sub(l.broadcastAt) >= interval {
		l.broadcastAt, l.broadcastRate = now, l.rate
		r.broadcast(LimitUpdate{Runner: runner, Limited: true, Rate: l.rate})
	}
}

// recentlyEnded reports whether a limit has ended within endRetention, and drops the older
// entries; the caller holds r.mu.
func (r *Limits) recentlyEnded(runner string) bool {
	now := r.clock.Now()
	recent := maps.Clone(*r.endedLimits.Load())
	maps.DeleteFunc(recent, func(_ string, e limitEnd) bool { return now.Sub(e.at) >= endRetention })
	r.endedLimits.Store(&recent)
	_, ok := recent[runner]
	return ok
}

// broadcastEnd broadcasts the end of a limit. It is broadcast again with later answers,
// because a message may be lost. The caller holds r.mu.
func (r *Limits) broadcastEnd(runner string) {
	now := r.clock.Now()
	if !r.recentlyEnded(runner) || now.Sub((*r.endedLimits.Load())[runner].broadcastAt) < broadcastInterval {
		return
	}
	ended := maps.Clone(*r.endedLimits.Load())
	ended[runner] = limitEnd{at: ended[runner].at, broadcastAt: now}
	r.endedLimits.Store(&ended)
	r.broadcast(LimitUpdate{Runner: runner})
}

// remove drops a runner's limit; the caller holds r.mu.
func (r *Limits) remove(runner, source string) {
	old := r.limitOf(runner)
	if old == nil {
		return
	}
	ended := maps.Clone(*r.endedLimits.Load())
	ended[runner] = limitEnd{at: r.clock.Now()}
	r.endedLimits.Store(&ended)
	r.log.Info(logs.RunnerLimit, zap.String("runner", runner), zap.Bool("limited", false), zap.Float64("former", old.rate),
		zap.String("from", source), zap.Duration("since", r.clock.Since(old.since)))
	limits := maps.Clone(*r.limits.Load())
	delete(limits, runner)
	r.publish(limits)
}

// publish puts a new set of limits in force; the caller holds r.mu.
func (r *Limits) publish(limits map[string]*limit) {
	r.limits.Store(&limits)
	buckets := make(map[core.Code]*bucket, len(limits))
	for runner, l := range limits {
		buckets[core.CodeOf(runner)] = l.bucket
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.buckets.Store(&buckets)
	r.scope.Gauge("runners_limited").Update(float64(len(limits)))
}

// newBucket returns the empty bucket of a runner that has just declared a limit.
func (r *Limits) newBucket(runner string, now time.Time, perSecond float64) *bucket {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return r.pool.newBucket(core.CodeOf(runner), now, r.pool.fleet.Load().share(), runnerParams(runner, perSecond))
}

// runnerParams returns the bucket parameters of a runner with a limit.
func runnerParams(runner string, perSecond float64) params {
	perSecond = max(minRate, perSecond)
	return params{name: runner, perSecond: perSecond, depth: max(minDepth, depthTime.Seconds()*perSecond)}
}

// Limit is this daemon's view of a runner's limit.
type Limit struct {
	Rate float64       // requests per second
	Age  time.Duration // since a daemon received it from the runner
	From string        // that daemon; empty: this one
	// Spare: a request that another runner could serve may be sent as well.
	Spare bool
}

// Limit returns a runner's limit, false if it has none.
func (r *Limits) Limit(runner string) (Limit, bool) {
	l := r.limitOf(runner)
	if l == nil {
		return Limit{}, false
	}
	now := r.clock.Now()
	return Limit{Rate: l.rate, Age: now.Sub(l.declaredAt), From: l.source, Spare: l.sender.spareDue(now) && l.bucket.hasLeft(now, spareFill)}, true
}

// spareDue reports whether a request that another runner could serve may be sent at this time.
func (u *sender) spareDue(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !now.Before(u.nextSpareAt)
}

// takeUnreported adds n requests, and returns how many to broadcast now.
func (u *sender) takeUnreported(now time.Time, n float64, interval time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unreported += n
	if u.unreported == 0 || now.Sub(u.reportedAt) < interval {
		return 0
	}
	n, u.unreported, u.reportedAt = u.unreported, 0, now
	return n
}

// reportSent counts requests sent to a runner, and broadcasts the count when due.
func (r *Limits) reportSent(runner string, l *limit, n float64, interval time.Duration) {
	if n = l.sender.takeUnreported(r.clock.Now(), n, interval); n != 0 && !r.pool.evenParts {
		r.broadcast(LimitUpdate{Runner: runner, Sent: n})
	}
}

// spareInterval returns the time between two requests that another runner could serve. It is
// chosen so that all reachable daemons together stay within the rate.
func (r *Limits) spareInterval(perSecond float64) time.Duration {
	f := r.pool.fleet.Load()
	return time.Duration((0.5 + rand.Float64()) * float64(max(1, f.reachable)) / perSecond * float64(time.Second))
}

// settingsSource is the source of the rates in the settings, which all daemons have.
const settingsSource = "settings"

// settingsRefreshInterval is how often a rate of the settings is stored again, so that it does
// not expire.
const settingsRefreshInterval = limitTTL / 4

// TakeSetting admits a request under the rate that a node of the settings allows, or refuses
// it with a retry time.
func (r *Limits) TakeSetting(node string, perSecond float64) core.Admission {
	name := settingsSource + " " + node
	if l := r.limitOf(name); l == nil || l.rate != perSecond || r.clock.Since(l.declaredAt) >= settingsRefreshInterval {
		r.mu.Lock()
		r.set(name, perSecond, settingsSource)
		r.mu.Unlock()
	}
	return r.Take(name, 0)
}

// Take admits a request to a runner, or refuses it with a retry time. Rank 0 is the most
// urgent.
func (r *Limits) Take(runner string, rank int) core.Admission {
	l := r.limitOf(runner)
	if l == nil {
		return core.Admission{OK: true}
	}
	size := float64(1 + rank)
	a := r.pool.take(l.bucket, core.AllowanceRequest{Units: 1}, size*size)
	if a.OK {
		r.reportSent(runner, l, 1, sentInterval)
	}
	return a
}

// TakeSpare is Take for a request that another runner could serve.
func (r *Limits) TakeSpare(runner string, rank int) core.Admission {
	l := r.limitOf(runner)
	if l == nil {
		return core.Admission{OK: true}
	}
	l.sender.mu.Lock()
	l.sender.nextSpareAt = r.clock.Now().Add(r.spareInterval(max(minRate, l.rate)))
	l.sender.mu.Unlock()
	return r.Take(runner, rank)
}

// Charge counts a request that arrives at a runner without having been admitted.
func (r *Limits) Charge(runner string) { r.spend(runner, 1) }

// Refund returns a request that was admitted and does not arrive.
func (r *Limits) Refund(runner string) { r.spend(runner, -1) }

func (r *Limits) spend(runner string, n float64) {
	l := r.limitOf(runner)
	if l == nil {
		return
	}
	now := r.clock.Now()
	l.bucket.mu.Lock()
	l.bucket.update(now)
	l.bucket.spend(now, n)
	l.bucket.mu.Unlock()
	r.reportSent(runner, l, n, sentInterval)
}

// Forget drops the limit of a runner that is gone or has started again.
func (r *Limits) Forget(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(runner, "")
}

// Usage returns the report on limited runners for the peers, see Pool.Usage.
func (r *Limits) Usage() map[core.Code]core.Usage { return r.pool.Usage() }

// UpdatePeers applies the reports of the reachable peers, see Pool.UpdatePeers.
func (r *Limits) UpdatePeers(reachable, known int, usage map[core.Code]core.Usage) {
	r.pool.UpdatePeers(reachable, known, usage)
	r.flush()
}

// flush broadcasts all requests that have not been broadcast yet.
func (r *Limits) flush() {
	for runner, l := range *r.limits.Load() {
		r.reportSent(runner, l, 0, 0)
	}
}

// LimitState is a daemon's view of a limited runner.
type LimitState struct {
	State
	Limit
}

// States returns the state of every limited runner.
func (r *Limits) States() []LimitState {
	now := r.clock.Now()
	var out []LimitState
	for runner, l := range *r.limits.Load() {
		if declared, ok := r.Limit(runner); ok {
			out = append(out, LimitState{State: l.bucket.state(now), Limit: declared})
		}
	}
	return out
}
