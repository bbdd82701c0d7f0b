// Package allowance holds what all daemons let in together to a rate: of workspaces to
// their allowances, of runners to the limits that they name in their answers.
//
// Each rate is one bucket for the whole fleet. Each daemon that may be alive brings an even
// part of it to the daemons that hear it: these share what all of them bring, and a daemon
// that hears nobody has its own part. However the fleet falls apart, the parts together are
// never more than the rate.
//
// Daemons tell each other what their callers ask for and what they have let in. Each keeps
// an estimate of what is left in the bucket, and lets requests in with a probability that
// falls as less is left for what is asked: no daemon has to know by which daemons the
// callers come. Of a workspace's requests small ones go before large ones, as more are
// served then; of a runner's, urgent ones before others.
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
	// quietShare and crowdShare are how many times its rate a workspace asks for up to which
	// its rate is let in however little is left, and from which on only what is left is: of
	// one that asks for much, what the others let in meanwhile is known too late.
	quietShare = 0.8
	crowdShare = 1.2
	// youngFlow lowers that share for a bucket that has just been made. What is asked for is
	// not known yet, and taken to be the rate at least.
	youngFlow = 0.5
	// slackShare is the part of the rule's slack that is used as more burst, which lets small
	// workspaces send requests of usual size. What else the rule allows beyond rate and burst
	// covers what daemons let in before they hear of each other.
	slackShare = 0.45
	// wordLife is how long what the others have told counts.
	wordLife = 2 * time.Second
	// missTime is how long it takes at most until daemons out of touch are missed.
	missTime = 1200 * time.Millisecond
	// youngFor is how long a bucket has just been made: it takes over what others say is left.
	youngFor = time.Second
	// follow is the share by which an estimate moves to what others tell in a turn.
	follow = 0.2
	// leastRetry and mostRetry bound the time after which a refused caller may come back.
	leastRetry = 300 * time.Millisecond
	mostRetry  = 8 * time.Second
	// retrySpread is by how much that time is varied, so that callers do not come back
	// together.
	retrySpread = 0.5
	// leastTold is the least rate, in units a second, that the others are told of.
	leastTold = 0.01
	// maxTagged bounds the workspaces that have counters of their own.
	maxTagged = 64
)

// timing is how soon a bucket answers to what it learns.
type timing struct {
	horizon time.Duration // within which what is left is let in
	asked   time.Duration // over which what is asked for is measured
	spent   time.Duration // over which what is let in is measured
	// counted: each request that the others let in is told at once, rather than how many a
	// second are.
	counted bool
}

// ofWorkspaces is for hundreds of requests a second.
var ofWorkspaces = timing{horizon: time.Second, asked: 300 * time.Millisecond, spent: 300 * time.Millisecond}

// Pool is one daemon's part in the shared buckets; it implements core.Allowance.
type Pool struct {
	clock   core.Clock
	timing  timing
	window  func() core.Window
	scope   tally.Scope
	draw    func() float64
	alone   bool
	started time.Time

	buckets atomic.Pointer[map[core.Code]*bucket]
	fleet   atomic.Pointer[fleet]

	mu   sync.Mutex // of those who change the buckets or take in what others tell
	told map[core.Code]core.Usage
	tags map[string]counts
}

var _ core.Allowance = (*Pool)(nil)

// fleet is how many daemons are in touch, this one included, and how many there may be.
type fleet struct{ heard, known int }

// share is the part of each bucket that the daemons in touch have.
func (f *fleet) share() float64 {
	if f.known <= 0 {
		return 0
	}
	return float64(min(f.heard, f.known)) / float64(f.known)
}

// Option changes a Pool.
type Option func(*Pool)

// WithScope counts in a scope.
func WithScope(s tally.Scope) Option { return func(p *Pool) { p.scope = s } }

// WithDraw sets what draws numbers from 0 to 1.
func WithDraw(fn func() float64) Option { return func(p *Pool) { p.draw = fn } }

// WithEvenParts gives each daemon an even part of each bucket for itself.
func WithEvenParts() Option { return func(p *Pool) { p.alone = true } }

// New makes a Pool of a daemon that has just started.
func New(clock core.Clock, window func() core.Window, opts ...Option) *Pool {
	p := &Pool{clock: clock, timing: ofWorkspaces, window: window, scope: tally.NoopScope, draw: rand.Float64, started: clock.Now(), tags: map[string]counts{}}
	for _, o := range opts {
		o(p)
	}
	p.buckets.Store(&map[core.Code]*bucket{})
	p.fleet.Store(&fleet{})
	return p
}

// Configure takes in the workspaces of a new configuration. The bucket of a workspace that
// stays goes on; a new one's holds what has come in since the daemon started, as nothing is
// known of the time before.
func (p *Pool) Configure(workspaces []*core.Workspace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := *p.buckets.Load()
	next := make(map[core.Code]*bucket, len(workspaces))
	window, now, share := p.window(), p.clock.Now(), p.fleet.Load().share()
	for _, w := range workspaces {
		if !w.Limited() || w.Invalid {
			continue
		}
		b := was[w.Code]
		if b == nil {
			b = p.newBucket(w.Code, p.started, share, rateOf(w, window))
			b.counts = p.countersOf(w.Name)
		} else {
			b.reconfigure(now, rateOf(w, window))
		}
		next[w.Code] = b
	}
	p.buckets.Store(&next)
}

// newBucket returns a bucket that fills since a time; the caller holds the lock.
func (p *Pool) newBucket(code core.Code, since time.Time, share float64, r rate) *bucket {
	b := &bucket{timing: p.timing, rate: r, at: since, born: since, share: share}
	if u, ok := p.told[code]; ok {
		b.hear(p.clock.Now(), u, share)
		if !math.IsNaN(u.Left) {
			b.left = u.Left
		}
	}
	return b
}

// countersOf returns a workspace's counters; those beyond maxTagged share some. The caller
// holds the lock.
func (p *Pool) countersOf(name string) counts {
	if c, ok := p.tags[name]; ok {
		return c
	}
	tag := name
	if len(p.tags) >= maxTagged {
		tag = "other"
	}
	s := p.scope.Tagged(map[string]string{"workspace": tag})
	c := counts{spent: s.Counter("allowance_spent"), refused: s.Counter("allowance_refused")}
	if tag == name {
		p.tags[name] = c
	}
	return c
}

// of returns a workspace's bucket, nil if it has no allowance.
func (p *Pool) of(w *core.Workspace) *bucket { return (*p.buckets.Load())[w.Code] }

// Take implements core.Allowance.
func (p *Pool) Take(w *core.Workspace, units float64) core.Admission {
	if w.Invalid {
		return core.Admission{Retry: mostRetry}
	}
	b := p.of(w)
	if b == nil {
		return core.Admission{OK: true}
	}
	return p.take(b, units, units)
}

// take lets units in from a bucket, or says when they may come back. Those of a small size
// go before those of a large one.
func (p *Pool) take(b *bucket, units, size float64) core.Admission {
	f, now := p.fleet.Load(), p.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.asked.add(now, b.timing.asked, units)
	out := core.Admission{Left: b.left, Asked: b.asked.rate(now, b.timing.asked) + b.others.Asked, Heard: f.heard, Known: f.known, Age: b.age(now)}
	chance := b.chance(b.allowed(out.Asked, now.Sub(b.born) < youngFor), size)
	if chance >= 1 || chance > 0 && p.draw() < chance {
		out.OK = true
		b.spend(now, units)
		return out
	}
	b.refuse(units)
	out.Retry = p.retry(b, chance)
	return out
}

// retry is the time until a request is likely to be let in; the caller holds the bucket's
// lock.
func (p *Pool) retry(b *bucket, chance float64) time.Duration {
	var wait float64
	switch refill := b.rate.perSecond * b.share; {
	case chance > 0:
		wait = b.timing.horizon.Seconds() / chance
	case refill > 0:
		wait = b.timing.horizon.Seconds() - b.left/refill
	}
	wait = min(wait, mostRetry.Seconds()) * (1 + retrySpread*(2*p.draw()-1))
	return max(leastRetry, time.Duration(wait*float64(time.Second)))
}

// Charge implements core.Allowance.
func (p *Pool) Charge(w *core.Workspace, units float64) {
	b := p.of(w)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(p.clock.Now(), units)
}

// Give implements core.Allowance.
func (p *Pool) Give(w *core.Workspace, units float64) { p.Charge(w, -units) }

// Usage is what this daemon tells the others: of workspaces that are used, or whose bucket
// is not full.
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

// Heard takes in how many daemons are in touch, of how many that there may be, and what the
// others in touch tell: their usage, and what they think is left, NaN where they do not
// know it.
func (p *Pool) Heard(heard, known int, others map[core.Code]core.Usage) {
	if p.alone {
		heard, others = min(1, heard), nil
	}
	f := &fleet{heard, known}
	p.fleet.Store(f)
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = others
	for code, b := range *p.buckets.Load() {
		u, ok := others[code]
		if !ok {
			u.Left = math.NaN()
		}
		b.hear(now, u, f.share())
	}
}

// State is what a daemon knows of a workspace's allowance.
type State struct {
	Name    string
	Rate    float64 // units a second
	Asked   float64 // units a second, over all daemons in touch
	Spent   float64 // units a second, over all daemons in touch
	Left    float64 // units that may be let in at once
	Share   float64 // of the allowance that the daemons in touch have
	Refused int64   // requests, by this daemon since it started
	Age     time.Duration
}

// States tells of all workspaces that have an allowance.
func (p *Pool) States() []State {
	now := p.clock.Now()
	var out []State
	for _, b := range *p.buckets.Load() {
		out = append(out, b.state(now))
	}
	return out
}
