// Package allowance holds workspaces to their allowances over all daemons.
//
// A workspace's allowance is one bucket for the whole fleet. Each daemon that may be alive
// brings an even part of its rate to the daemons that hear it: these share what all of them
// bring, and a daemon that hears nobody has its own part. However the fleet falls apart,
// the parts together are never more than the allowance.
//
// Daemons tell each other what their callers ask for and what they have let in. Each keeps
// an estimate of what is left in the bucket, and lets requests in with a probability that
// falls as less is left for what is asked: no daemon has to know by which daemons a
// workspace's callers come. Small requests go before large ones, as more are served then.
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
	// horizon is the time within which what is left is let in.
	horizon = time.Second
	// quietShare and crowdShare are how many times its rate a workspace asks for up to which
	// its rate is let in however little is left, and from which on only what is left is: of
	// one that asks for much, what the others let in meanwhile is known too late.
	quietShare = 0.8
	crowdShare = 1.2
	// youngFlow lowers that share at a daemon that has just started. It does not know yet
	// what is asked for, and takes each workspace to ask for its rate at least.
	youngFlow = 0.5
	// slackShare is the part of the rule's slack that is used as more burst, which lets small
	// workspaces send requests of usual size. What else the rule allows beyond rate and burst
	// covers what daemons let in before they hear of each other.
	slackShare = 0.45
	// wordLife is how long what the others have told counts.
	wordLife = 2 * time.Second
	// missTime is how long it takes at most until daemons out of touch are missed.
	missTime = 1200 * time.Millisecond
	// youngFor is how long a daemon has just started: it takes over what others say is left.
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

// Pool is one daemon's part in the shared buckets; it implements core.Allowance.
type Pool struct {
	clock   core.Clock
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
	p := &Pool{clock: clock, window: window, scope: tally.NoopScope, draw: rand.Float64, started: clock.Now(), tags: map[string]counts{}}
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
			b = &bucket{at: p.started, share: share, counts: p.countersOf(w.Name)}
			b.configure(w, window)
			if u, ok := p.told[w.Code]; ok {
				b.hear(now, u, share, true)
			}
		} else {
			b.reconfigure(now, w, window)
		}
		next[w.Code] = b
	}
	p.buckets.Store(&next)
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
	f, now := p.fleet.Load(), p.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.asked.add(now, units)
	out := core.Admission{Left: b.left, Asked: b.asked.rate(now) + b.others.Asked, Heard: f.heard, Known: f.known, Age: b.age(now)}
	chance := b.chance(b.allowed(out.Asked, now.Sub(p.started) < youngFor), units)
	if chance >= 1 || chance > 0 && p.draw() < chance {
		out.OK = true
		b.spend(now, units)
		return out
	}
	b.refused++
	b.counts.refused.Inc(int64(units))
	out.Retry = p.retry(b, chance)
	return out
}

// retry is the time until a request is likely to be let in; the caller holds the bucket's
// lock.
func (p *Pool) retry(b *bucket, chance float64) time.Duration {
	var wait float64
	switch refill := b.rate * b.share; {
	case chance > 0:
		wait = horizon.Seconds() / chance
	case refill > 0:
		wait = horizon.Seconds() - b.left/refill
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
	young := now.Sub(p.started) < youngFor
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = others
	for code, b := range *p.buckets.Load() {
		u, ok := others[code]
		if !ok {
			u.Left = math.NaN()
		}
		b.hear(now, u, f.share(), young)
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
