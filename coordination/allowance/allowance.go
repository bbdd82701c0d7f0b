// Package allowance enforces rates over all daemons together: the allowances of workspaces,
// the limits that runners declare in their answers, and the rates of the settings tree.
//
// Each rate is one token bucket for the whole fleet. Every daemon that may be alive
// contributes an equal part of it to the daemons that can receive its messages. Daemons that
// reach each other share the sum of their parts, and an isolated daemon has only its own part,
// so that under any network partition the parts add up to no more than the rate.
//
// Daemons send each other their callers' demand and the units that they have admitted. Each
// daemon estimates the units left in the bucket and admits requests with a probability that
// falls with the ratio of these units to the demand. This works without knowing at which
// daemons the callers arrive. Among a workspace's requests small ones are preferred, since
// more of them can be served; among a runner's, urgent ones.
package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
)

const (
	// fullRefillDemand and noRefillDemand are ratios of a workspace's demand to its rate. Up
	// to the first the whole refill is admitted, however few units are left; above the second
	// only the units left in the bucket are, because at high demand the reports on what peers
	// admit arrive too late.
	fullRefillDemand = 0.8
	noRefillDemand   = 1.2
	// newBucketRefill is the part of the refill that a new bucket admits. Its demand is not
	// measured yet and is assumed to be at least the rate.
	newBucketRefill = 0.5
	// slackShare is the part of the rule's slack that is added to the burst, so that small
	// workspaces can send requests of usual size. The rest of the slack covers what daemons
	// admit before they receive each other's reports.
	slackShare = 0.45
	// usageTTL is how long a report on the peers' usage is used.
	usageTTL = 2 * time.Second
	// lossDetectionTime is the longest time until unreachable daemons are detected.
	lossDetectionTime = 1200 * time.Millisecond
	// newBucketAge is the age up to which a bucket is new: it then adopts the units left that
	// peers report.
	newBucketAge = time.Second
	// convergenceGain is the part of the difference to the peers' estimate by which each
	// report corrects this daemon's.
	convergenceGain = 0.2
	// minRetry and maxRetry bound the retry time of a refused caller; maxRetry applies before
	// jitter.
	minRetry = 300 * time.Millisecond
	maxRetry = 8 * time.Second
	// retryJitter is the relative jitter of the retry time, so that callers do not return at
	// the same moment.
	retryJitter = 0.5
	// minReportedRate, in units per second, is the lowest rate that is reported to peers.
	minReportedRate = 0.01
	// maxTaggedWorkspaces bounds the workspaces with metrics of their own.
	maxTaggedWorkspaces = 64
)

// timing sets how quickly a bucket reacts to its measurements.
type timing struct {
	horizon    time.Duration // time over which the units left are admitted
	demandSpan time.Duration // averaging time of the demand
	spentSpan  time.Duration // averaging time of the units admitted
	// perRequest: peers report each admitted request at once, instead of a rate per second.
	perRequest bool
}

// workspaceTiming is for workspaces with hundreds of requests per second.
var workspaceTiming = timing{horizon: time.Second, demandSpan: 300 * time.Millisecond, spentSpan: 300 * time.Millisecond}

// Pool is one daemon's view of the shared buckets. It implements core.Allowance.
type Pool struct {
	clock     core.Clock
	timing    timing
	window    func() core.AllowanceWindow
	scope     tally.Scope
	random    func() float64
	evenParts bool
	balanced  func() bool
	ordered   func() bool
	started   time.Time

	buckets atomic.Pointer[map[core.Code]*bucket]
	fleet   atomic.Pointer[fleet]

	mu        sync.Mutex // guards changes to the buckets, and peerUsage and counters
	peerUsage map[core.Code]core.Usage
	counters  map[string]counters
}

var _ core.Allowance = (*Pool)(nil)

// fleet is the number of reachable daemons, including this one, and of all daemons that may be
// alive.
type fleet struct{ reachable, known int }

// share returns the part of each bucket that belongs to the reachable daemons.
func (f *fleet) share() float64 {
	if f.known <= 0 {
		return 0
	}
	return float64(min(f.reachable, f.known)) / float64(f.known)
}

// Option configures a Pool.
type Option func(*Pool)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(p *Pool) { p.scope = s } }

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(fn func() float64) Option { return func(p *Pool) { p.random = fn } }

// WithEvenParts gives each daemon an equal part of each bucket for itself, without sharing.
func WithEvenParts() Option { return func(p *Pool) { p.evenParts = true } }

// WithOrder sets the function that reports whether live requests go before patient ones and those that are
// late in any case.
func WithOrder(fn func() bool) Option { return func(p *Pool) { p.ordered = fn } }

// WithBalanced does the same, and allowances are used up under any demand above the rate. No daemon uses it:
// while the set of reachable daemons changes several times a second, debts add up without bound.
func WithBalanced(fn func() bool) Option {
	return func(p *Pool) { p.balanced, p.ordered = fn, fn }
}

// New returns the Pool of a daemon that has just started.
func New(clock core.Clock, window func() core.AllowanceWindow, opts ...Option) *Pool {
	p := &Pool{clock: clock, timing: workspaceTiming, window: window, scope: tally.NoopScope, random: rand.Float64, balanced: never, ordered: never, started: clock.Now(), counters: map[string]counters{}}
	for _, o := range opts {
		o(p)
	}
	p.buckets.Store(&map[core.Code]*bucket{})
	p.fleet.Store(&fleet{})
	return p
}

func never() bool { return false }

// Configure applies the workspaces of a new configuration. A workspace that stays keeps its
// bucket. The bucket of a new one holds the refill since the daemon's start, because its
// earlier usage is unknown.
func (p *Pool) Configure(workspaces []*core.Workspace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.buckets.Load()
	next := make(map[core.Code]*bucket, len(workspaces))
	window, now, share := p.window(), p.clock.Now(), p.fleet.Load().share()
	for _, w := range workspaces {
		if !w.Limited() || w.Invalid {
			continue
		}
		b := old[w.Code]
		if b == nil {
			b = p.newBucket(w.Code, p.started, share, workspaceParams(w, window))
			b.counters = p.countersOf(w.Name)
		} else {
			b.reconfigure(now, workspaceParams(w, window))
		}
		next[w.Code] = b
	}
	p.buckets.Store(&next)
}

// newBucket returns a bucket that fills from the time since; the caller holds p.mu.
func (p *Pool) newBucket(code core.Code, since time.Time, share float64, r params) *bucket {
	b := &bucket{timing: p.timing, params: r, updatedAt: since, createdAt: since, share: share, balanced: p.balanced()}
	if u, ok := p.peerUsage[code]; ok {
		b.mergePeers(p.clock.Now(), u, share)
		if !math.IsNaN(u.Available) {
			b.left = u.Available
		}
	}
	return b
}

// countersOf returns a workspace's metrics. Workspaces beyond maxTaggedWorkspaces share one
// set. The caller holds p.mu.
func (p *Pool) countersOf(name string) counters {
	if c, ok := p.counters[name]; ok {
		return c
	}
	tag := name
	if len(p.counters) >= maxTaggedWorkspaces {
		tag = "other"
	}
	s := p.scope.Tagged(map[string]string{"workspace": tag})
	c := counters{spent: s.Counter("allowance_spent"), refused: s.Counter("allowance_refused")}
	if tag == name {
		p.counters[name] = c
	}
	return c
}

// bucketOf returns a workspace's bucket, nil if it has no allowance.
func (p *Pool) bucketOf(w *core.Workspace) *bucket { return (*p.buckets.Load())[w.Code] }

// Take implements core.Allowance.
func (p *Pool) Take(w *core.Workspace, r core.AllowanceRequest) core.Admission {
	if w.Invalid {
		return core.Admission{Retry: maxRetry}
	}
	b := p.bucketOf(w)
	if b == nil {
		return core.Admission{OK: true}
	}
	return p.take(b, r, r.Units)
}

// take admits a request to a bucket, or refuses it with a retry time. Requests of smaller size are
// preferred.
func (p *Pool) take(b *bucket, r core.AllowanceRequest, size float64) core.Admission {
	balanced, ordered := p.balanced(), p.ordered()
	f, now := p.fleet.Load(), p.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balanced = balanced
	b.update(now)
	b.demand.Add(now, b.timing.demandSpan, r.Units)
	out := core.Admission{Available: b.left, Demand: b.demand.Rate(now, b.timing.demandSpan) + b.peers.Demand, ReachableDaemons: f.reachable, TotalDaemons: f.known, Age: b.age(now)}
	isNew := now.Sub(b.createdAt) < newBucketAge
	var share, probability float64
	if balanced {
		share = b.settlingShare(now, out.Demand, isNew)
	} else {
		share = b.admittedShare(out.Demand, isNew)
	}
	if ordered {
		probability = b.classProbability(now, share, r)
	} else {
		probability = b.admitProbability(share, size)
	}
	if probability >= 1 || probability > 0 && p.random() < probability {
		out.OK = true
		b.spend(now, r.Units)
		return out
	}
	b.refuse(r.Units)
	out.Retry = p.retry(b, probability)
	return out
}

// retry returns the time after which a refused request is likely to be admitted; the caller
// holds b.mu.
func (p *Pool) retry(b *bucket, probability float64) time.Duration {
	var wait float64
	switch refill := b.params.perSecond * b.share; {
	case probability > 0:
		wait = b.timing.horizon.Seconds() / probability
	case refill > 0:
		wait = b.timing.horizon.Seconds() - b.left/refill
	}
	wait = min(wait, maxRetry.Seconds()) * (1 + retryJitter*(2*p.random()-1))
	return max(minRetry, time.Duration(wait*float64(time.Second)))
}

// Charge implements core.Allowance.
func (p *Pool) Charge(w *core.Workspace, units float64) {
	b := p.bucketOf(w)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(p.clock.Now(), units)
}

// Refund implements core.Allowance.
func (p *Pool) Refund(w *core.Workspace, units float64) { p.Charge(w, -units) }

// Usage returns the report for the peers. It covers the workspaces that are in use, here or at
// peers, or whose bucket is not full.
func (p *Pool) Usage() map[core.Code]core.Usage {
	now := p.clock.Now()
	out := map[core.Code]core.Usage{}
	for code, b := range *p.buckets.Load() {
		if u, ok := b.usage(now); ok {
			out[code] = u
		}
	}
	return out
}

// UpdatePeers applies the peers' reports: the number of reachable daemons, the number of daemons
// that may be alive, and the usage of the reachable peers. Available is the peers'
// estimate, NaN where they have none.
func (p *Pool) UpdatePeers(reachable, known int, usage map[core.Code]core.Usage) {
	if p.evenParts {
		reachable, usage = min(1, reachable), nil
	}
	f := &fleet{reachable, known}
	p.fleet.Store(f)
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerUsage = usage
	for code, b := range *p.buckets.Load() {
		u, ok := usage[code]
		if !ok {
			u.Available = math.NaN()
		}
		b.mergePeers(now, u, f.share())
	}
}

// State is a daemon's view of a workspace's allowance.
type State struct {
	Name    string
	Rate    float64 // units per second
	Demand  float64 // units per second, over all reachable daemons
	Spent   float64 // units per second, over all reachable daemons
	Left    float64 // units that can be admitted at once
	Share   float64 // part of the allowance that belongs to the reachable daemons
	Refused int64   // requests refused by this daemon since its start
	Age     time.Duration
}

// States returns the state of every workspace with an allowance.
func (p *Pool) States() []State {
	now := p.clock.Now()
	var out []State
	for _, b := range *p.buckets.Load() {
		out = append(out, b.state(now))
	}
	return out
}
