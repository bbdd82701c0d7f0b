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
	// leastRate is what is sent a second to a runner that names less, or none: only an answer
	// tells that its limit has ended.
	leastRate = 0.25
	// depthTime is the time of a runner's limit that may be sent at once, leastDepth the
	// least number of requests.
	depthTime  = 500 * time.Millisecond
	leastDepth = 2
	// spareShare is the part of what may be sent at once that must be left for a request that
	// another runner could serve.
	spareShare = 0.5
	// tellEvery is how often at most a runner's limit is told to the others where it changes,
	// retellEvery how often where it does not.
	tellEvery   = 200 * time.Millisecond
	retellEvery = time.Second
	// endMemory is how long the end of a limit is told again, and words of it that are late
	// are not believed.
	endMemory = time.Second
	// countEvery is how often at most a daemon tells what it has sent to a limited runner; the
	// rest is told with the next request, or turn.
	countEvery = 50 * time.Millisecond
	// limitMemory is how long a limit is kept that nobody hears of.
	limitMemory = time.Minute
	// problemEvery is how often at most a limit that can't be read is logged.
	problemEvery = time.Second
)

// ofLimits is for a few requests a second: over a shorter time one request looks like a
// crowd.
var ofLimits = timing{horizon: 300 * time.Millisecond, asked: time.Second, spent: 300 * time.Millisecond, counted: true}

// Word is what daemons tell each other of a runner: its limit, or how many requests were
// sent to it under that.
type Word struct {
	Runner  string  `json:"r"`
	Limited bool    `json:"l,omitempty"`
	Rate    float64 `json:"s,omitempty"` // requests a second
	Sent    float64 `json:"n,omitempty"` // requests since the last word; other than 0: nothing else is told
}

// Limits holds what all daemons send to a runner to the limit that it names in its answers,
// and what they let in of a service to the rate that the settings allow. Nothing is kept of
// runners and services without one.
type Limits struct {
	clock core.Clock
	log   *zap.Logger
	scope tally.Scope
	pool  *Pool
	tell  func(Word)

	limits atomic.Pointer[map[string]*limit]
	ended  atomic.Pointer[map[string]end] // limits that have ended lately

	mu        sync.Mutex // of those who change the limits
	problemAt time.Time  // when one that can't be read was last logged
}

// limit is what a runner has named.
type limit struct {
	rate   float64 // requests a second
	began  time.Time
	at     time.Time // when it was last heard
	from   string    // the daemon that heard it from the runner; empty: this one
	told   time.Time // when the others were last told, or told this daemon
	word   float64   // the rate that they know by that
	bucket *bucket

	own *sending
}

// sending is what this daemon sends to a limited runner.
type sending struct {
	mu      sync.Mutex
	spareAt time.Time // from when on a request that another runner could serve may be sent
	untold  float64   // requests sent that the others do not know of
	toldAt  time.Time // when they were last told
}

// end is of a limit.
type end struct{ at, told time.Time }

// LimitsOption changes Limits.
type LimitsOption func(*Limits)

// WithTell sets what tells the other daemons of a runner's limit.
func WithTell(fn func(Word)) LimitsOption { return func(r *Limits) { r.tell = fn } }

// WithLimitsScope counts in a scope.
func WithLimitsScope(s tally.Scope) LimitsOption { return func(r *Limits) { r.scope = s } }

// WithPool changes the pool of the limits.
func WithPool(opts ...Option) LimitsOption {
	return func(r *Limits) {
		for _, o := range opts {
			o(r.pool)
		}
	}
}

// NewLimits returns Limits that knows no limits. Until Heard is called nothing is sent to
// a limited runner.
func NewLimits(clock core.Clock, log *zap.Logger, opts ...LimitsOption) *Limits {
	r := &Limits{clock: clock, log: log, scope: tally.NoopScope, tell: func(Word) {}}
	r.pool = New(clock, func() core.Window { return core.Window{} })
	r.pool.timing = ofLimits
	for _, o := range opts {
		o(r)
	}
	r.limits.Store(&map[string]*limit{})
	r.ended.Store(&map[string]end{})
	return r
}

// limitOf returns a runner's limit, nil if it has none.
func (r *Limits) limitOf(runner string) *limit { return (*r.limits.Load())[runner] }

// Answered takes in what an answer of a runner says of its limit. A rejection that names
// none may have been written by another instance, or before the request was looked at.
func (r *Limits) Answered(runner string, info core.ReplyInfo) {
	if _, ended := (*r.ended.Load())[runner]; !ended && info.Limit == (core.RateLimit{}) && r.limitOf(runner) == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.Limit.Problem != "" {
		r.noteProblem(runner, info.Limit.Problem)
	}
	switch {
	case info.Limit.Named:
		r.set(runner, info.Limit.Rate, "")
	case info.Stamped && !info.NotRun:
		r.unset(runner, "")
		r.tellEnd(runner)
	}
}

// Told takes in what another daemon has heard from a runner.
func (r *Limits) Told(from string, w Word) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch l := r.limitOf(w.Runner); {
	case w.Sent != 0 && l != nil:
		l.bucket.spendElsewhere(r.clock.Now(), w.Sent)
	case w.Sent != 0:
	case w.Limited:
		if l != nil || !r.endedLately(w.Runner) {
			r.set(w.Runner, w.Rate, from)
		}
	default:
		r.unset(w.Runner, from)
	}
}

// noteProblem counts a limit that can't be read; the caller holds the lock.
func (r *Limits) noteProblem(runner, problem string) {
	r.scope.Counter("runner_limits_unreadable").Inc(1)
	if now := r.clock.Now(); now.Sub(r.problemAt) >= problemEvery {
		r.problemAt = now
		r.log.Warn(logs.RunnerLimitUnreadable, zap.String("runner", runner), zap.String("problem", problem))
	}
}

// set takes in a runner's limit; the caller holds the lock.
func (r *Limits) set(runner string, perSecond float64, from string) {
	now, was := r.clock.Now(), r.limitOf(runner)
	next := &limit{rate: perSecond, began: now, at: now, from: from}
	former := 0.0
	if was == nil {
		next.bucket = r.newBucket(runner, now, perSecond)
		next.own = &sending{spareAt: now.Add(r.sparePause(max(leastRate, perSecond)))}
	} else {
		next.bucket, next.own, next.began, next.told, next.word, former = was.bucket, was.own, was.began, was.told, was.word, was.rate
	}
	if was == nil || former != perSecond {
		next.bucket.reconfigure(now, rateOfRunner(runner, perSecond))
		r.log.Info(logs.RunnerLimit, zap.String("runner", runner), zap.Bool("limited", true), zap.Float64("rate", perSecond),
			zap.Float64("former", former), zap.String("from", from), zap.Duration("since", now.Sub(next.began)))
	}
	r.spread(runner, next, now)
	limits := maps.Clone(*r.limits.Load())
	limits[runner] = next
	maps.DeleteFunc(limits, func(_ string, l *limit) bool { return now.Sub(l.at) >= limitMemory })
	r.replace(limits)
}

// spread tells the others of a limit that they do not know, or have not been told of for
// long; the caller holds the lock.
func (r *Limits) spread(runner string, l *limit, now time.Time) {
	if l.from != "" {
		l.told, l.word = now, l.rate
		return
	}
	pause := tellEvery
	if l.word == l.rate {
		pause = retellEvery
	}
	if now.Sub(l.told) >= pause {
		l.told, l.word = now, l.rate
		r.tell(Word{Runner: runner, Limited: true, Rate: l.rate})
	}
}

// endedLately says whether a limit has ended within endMemory, and forgets those that ended
// before; the caller holds the lock.
func (r *Limits) endedLately(runner string) bool {
	now := r.clock.Now()
	lately := maps.Clone(*r.ended.Load())
	maps.DeleteFunc(lately, func(_ string, e end) bool { return now.Sub(e.at) >= endMemory })
	r.ended.Store(&lately)
	_, ok := lately[runner]
	return ok
}

// tellEnd tells the others of the end of a limit, again with later answers as a message may
// be lost; the caller holds the lock.
func (r *Limits) tellEnd(runner string) {
	now := r.clock.Now()
	if !r.endedLately(runner) || now.Sub((*r.ended.Load())[runner].told) < tellEvery {
		return
	}
	ended := maps.Clone(*r.ended.Load())
	ended[runner] = end{at: ended[runner].at, told: now}
	r.ended.Store(&ended)
	r.tell(Word{Runner: runner})
}

// unset takes in that a runner names no limit any more; the caller holds the lock.
func (r *Limits) unset(runner, from string) {
	was := r.limitOf(runner)
	if was == nil {
		return
	}
	ended := maps.Clone(*r.ended.Load())
	ended[runner] = end{at: r.clock.Now()}
	r.ended.Store(&ended)
	r.log.Info(logs.RunnerLimit, zap.String("runner", runner), zap.Bool("limited", false), zap.Float64("former", was.rate),
		zap.String("from", from), zap.Duration("since", r.clock.Since(was.began)))
	limits := maps.Clone(*r.limits.Load())
	delete(limits, runner)
	r.replace(limits)
}

// replace puts the limits in force; the caller holds the lock.
func (r *Limits) replace(limits map[string]*limit) {
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

// newBucket returns the empty bucket of a runner that has just named a limit.
func (r *Limits) newBucket(runner string, now time.Time, perSecond float64) *bucket {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return r.pool.newBucket(core.CodeOf(runner), now, r.pool.fleet.Load().share(), rateOfRunner(runner, perSecond))
}

// rateOfRunner is the rate at which requests are sent to a runner that names a limit.
func rateOfRunner(runner string, perSecond float64) rate {
	perSecond = max(leastRate, perSecond)
	return rate{name: runner, perSecond: perSecond, depth: max(leastDepth, depthTime.Seconds()*perSecond)}
}

// Limit is what a runner has named, as this daemon knows it.
type Limit struct {
	Rate float64       // requests a second
	Age  time.Duration // since a daemon heard it from the runner
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
	return Limit{Rate: l.rate, Age: now.Sub(l.at), From: l.from, Spare: l.own.spare(now) && l.bucket.has(now, spareShare)}, true
}

// spare says whether the time has come for a request that another runner could serve.
func (u *sending) spare(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !now.Before(u.spareAt)
}

// count adds requests that are sent, and returns how many the others are to be told of now.
func (u *sending) count(now time.Time, n float64, pause time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.untold += n
	if u.untold == 0 || now.Sub(u.toldAt) < pause {
		return 0
	}
	n, u.untold, u.toldAt = u.untold, 0, now
	return n
}

// count tells the others of requests that are sent to a runner.
func (r *Limits) count(runner string, l *limit, n float64, pause time.Duration) {
	if n = l.own.count(r.clock.Now(), n, pause); n != 0 && !r.pool.alone {
		r.tell(Word{Runner: runner, Sent: n})
	}
}

// sparePause is the time between two requests that another runner could serve: those of all
// daemons in touch together keep within the rate.
func (r *Limits) sparePause(perSecond float64) time.Duration {
	f := r.pool.fleet.Load()
	return time.Duration((0.5 + rand.Float64()) * float64(max(1, f.heard)) / perSecond * float64(time.Second))
}

// bySettings is the source of rates that the settings allow, which all daemons know.
const bySettings = "settings"

// refreshEvery is how often a rate of the settings is taken in again.
const refreshEvery = limitMemory / 4

// TakeSetting lets a request in by the rate that a node of the settings allows, or says when
// it may come back.
func (r *Limits) TakeSetting(node string, perSecond float64) core.Admission {
	name := bySettings + " " + node
	if l := r.limitOf(name); l == nil || l.rate != perSecond || r.clock.Since(l.at) >= refreshEvery {
		r.mu.Lock()
		r.set(name, perSecond, bySettings)
		r.mu.Unlock()
	}
	return r.Take(name, 0)
}

// Take lets a request of a rank, 0 the most urgent, through to a runner, or says when it
// may come back.
func (r *Limits) Take(runner string, rank int) core.Admission {
	l := r.limitOf(runner)
	if l == nil {
		return core.Admission{OK: true}
	}
	size := float64(1 + rank)
	a := r.pool.take(l.bucket, 1, size*size)
	if a.OK {
		r.count(runner, l, 1, countEvery)
	}
	return a
}

// TakeSpare is Take for a request that another runner could serve.
func (r *Limits) TakeSpare(runner string, rank int) core.Admission {
	l := r.limitOf(runner)
	if l == nil {
		return core.Admission{OK: true}
	}
	l.own.mu.Lock()
	l.own.spareAt = r.clock.Now().Add(r.sparePause(max(leastRate, l.rate)))
	l.own.mu.Unlock()
	return r.Take(runner, rank)
}

// Charge counts what arrives at a runner without having been let through.
func (r *Limits) Charge(runner string) { r.spend(runner, 1) }

// Give counts back a request that was let through and does not arrive.
func (r *Limits) Give(runner string) { r.spend(runner, -1) }

func (r *Limits) spend(runner string, n float64) {
	l := r.limitOf(runner)
	if l == nil {
		return
	}
	l.bucket.mu.Lock()
	l.bucket.spend(r.clock.Now(), n)
	l.bucket.mu.Unlock()
	r.count(runner, l, n, countEvery)
}

// Forget drops what is known of a runner that is gone, or has started again.
func (r *Limits) Forget(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unset(runner, "")
}

// Usage is what this daemon tells the others of limited runners, see Pool.Usage.
func (r *Limits) Usage() map[core.Code]core.Usage { return r.pool.Usage() }

// Heard takes in what the others in touch tell, see Pool.Heard.
func (r *Limits) Heard(heard, known int, others map[core.Code]core.Usage) {
	r.pool.Heard(heard, known, others)
	r.flush()
}

// flush tells the others of all requests that they have not been told of.
func (r *Limits) flush() {
	for runner, l := range *r.limits.Load() {
		r.count(runner, l, 0, 0)
	}
}

// LimitState is what a daemon knows of a limited runner.
type LimitState struct {
	State
	Limit
}

// States tells of all limited runners.
func (r *Limits) States() []LimitState {
	now := r.clock.Now()
	var out []LimitState
	for runner, l := range *r.limits.Load() {
		if named, ok := r.Limit(runner); ok {
			out = append(out, LimitState{State: l.bucket.state(now), Limit: named})
		}
	}
	return out
}
