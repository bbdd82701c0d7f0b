// Package fairness decides which workspaces yield where room is short. A workspace that asks for more than usual
// gets what its usual demand is, and an even part of what the others leave. Daemons need no message of their own
// to agree: they decide by the usage of allowances, which each of them knows summed up over all daemons.
package fairness

import (
	"math"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
)

const (
	// shortAbove is the occupancy of the runners that may serve a request, as a fraction of their slots, above
	// which room is short there. Below it a request finds a free slot in any case.
	shortAbove = 0.8
	// sharedRoom is the part of the slots that is shared out. First events are late at more than 11 of 12 slots.
	sharedRoom = 0.9
	// usualSpan is the averaging time of a workspace's usual demand. Bursts last some seconds.
	usualSpan = 30 * time.Second
	// recentSpan is the averaging time of its present demand: a workspace has some 10 requests a second, and in
	// a shorter time their number and sizes vary by half.
	recentSpan = 2 * time.Second
	// usualMargin is up to which multiple of its usual demand that of a workspace counts as usual: the average over
	// recentSpan still varies by a quarter.
	usualMargin = 1.25
	// minKnown is how long demand must have been known for a mean that shares can be based on.
	minKnown = 5 * time.Second
	// usualGrowth bounds what counts for the usual demand, as a multiple of it. A burst of 12 times the usual that
	// counted in full would triple it within 5 s, and then be let through.
	usualGrowth = 2
	// usageTTL is how long sums of usage are used. They are renewed several times a second.
	usageTTL = 2 * time.Second
	// maxSample is the longest time that one sum stands for. A daemon that was frozen does not know what the
	// demand was meanwhile.
	maxSample = time.Second
	// meterSpan is the averaging time of the demand that a daemon reports, as for allowances.
	meterSpan = 300 * time.Millisecond
	// minReported is the lowest rate that is reported, in tokens per second.
	minReported = 0.01
	// tokensGain is the weight of a request in the moving average of the tokens per request.
	tokensGain = 0.02
)

// Table holds what a daemon knows of the demand of workspaces. Demand is in tokens per second.
type Table struct {
	clock   core.Clock
	yielded tally.Counter
	view    atomic.Pointer[view]

	mu         sync.Mutex
	demand     map[core.Code]*demand
	meters     map[core.Code]*meter // of workspaces without an allowance
	updatedAt  time.Time
	evenPart   float64 // mean demand of a workspace per reachable daemon
	meanTokens float64 // of a request
}

// Option configures a Table.
type Option func(*Table)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(t *Table) { t.yielded = s.Counter("fairness_yielded") }
}

// New returns the Table of a daemon that has just started.
func New(clock core.Clock, opts ...Option) *Table {
	t := &Table{clock: clock, demand: map[core.Code]*demand{}, meters: map[core.Code]*meter{}}
	WithScope(tally.NoopScope)(t)
	for _, o := range opts {
		o(t)
	}
	return t
}

// demand is the demand of a workspace per reachable daemon. When daemons go out of reach, their callers and the
// runners that serve these do so too.
type demand struct {
	latest                  float64
	recent, usual, admitted average
	known                   time.Duration // for how long it has been known
}

// average is an exponentially decaying average. It counts the time before its first sample as not known instead of
// as 0.
type average struct{ sum, weight float64 }

func (a *average) add(v float64, sample, span time.Duration) {
	part := 1 - math.Exp(-float64(sample)/float64(span))
	a.sum += part * (v - a.sum)
	a.weight += part * (1 - a.weight)
}

func (a *average) value() float64 {
	if a.weight <= 0 {
		return 0
	}
	return a.sum / a.weight
}

// Update applies sums of usage over all reachable daemons, including this one.
func (t *Table) Update(reachable int, workspaces []*core.Workspace, usage map[core.Code]core.Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	sample := min(now.Sub(t.updatedAt), maxSample)
	if t.updatedAt.IsZero() {
		sample = 0
	}
	t.updatedAt = now
	if reachable < 1 || sample <= 0 {
		return
	}
	listed := make(map[core.Code]bool, len(workspaces))
	v := &view{at: now, workspaces: make(map[core.Code]figures, len(workspaces))}
	for _, w := range workspaces {
		listed[w.Code] = true
		d := t.demand[w.Code]
		if d == nil {
			d = &demand{}
			t.demand[w.Code] = d
		}
		u, scale := usage[w.Code], t.tokensPerUnit(w)/float64(reachable)
		d.latest = scale * wanted(w, u)
		if d.known == 0 && d.latest == 0 {
			continue // it has not asked for anything yet, which says nothing of what is usual
		}
		d.known += sample
		d.recent.add(d.latest, sample, recentSpan)
		d.usual.add(min(d.recent.value(), t.maxUsual(d)), sample, usualSpan)
		d.admitted.add(scale*u.Admitted, sample, recentSpan)
		v.add(w.Code, d, float64(reachable))
	}
	for code := range t.demand {
		if !listed[code] {
			delete(t.demand, code)
			delete(t.meters, code)
		}
	}
	t.evenPart = 0
	for _, d := range t.demand {
		t.evenPart += d.recent.value() / float64(len(t.demand))
	}
	v.finish()
	t.view.Store(v)
}

// maxUsual returns up to which demand of a workspace counts for its usual one. A workspace that was idle may grow
// to an even part of the demand of all, also where all were idle.
func (t *Table) maxUsual(d *demand) float64 {
	if d.known < minKnown {
		return math.Inf(1)
	}
	return max(usualGrowth*d.usual.value(), t.evenPart)
}

// wanted returns what of a workspace's demand its allowance lets through to the runners.
func wanted(w *core.Workspace, u core.Usage) float64 {
	if !w.Limited() {
		return u.Demand
	}
	return min(u.Demand, max(w.Rate, u.Admitted))
}

// tokensPerUnit returns the tokens that a unit of a workspace's usage stands for, so that workspaces whose
// allowances have different units can be compared.
func (t *Table) tokensPerUnit(w *core.Workspace) float64 {
	if w.Limited() && w.Unit == core.UnitRequests && t.meanTokens > 0 {
		return t.meanTokens
	}
	return 1
}

// view is what is known at a time, in a form for decisions.
type view struct {
	at         time.Time
	workspaces map[core.Code]figures
	admitted   float64 // of all workspaces
	usual      float64 // sum of their demand, each up to its usual
	extras     []float64
	sums       []float64 // of the extras before each one
}

// figures are the demand of a workspace. Its extra is its demand beyond its usual one.
type figures struct{ demand, usual, extra float64 }

func (v *view) add(code core.Code, d *demand, reachable float64) {
	f := figures{demand: reachable * d.recent.value(), usual: reachable * d.usual.value()}
	if d.known >= minKnown && f.demand > usualMargin*f.usual {
		// While a burst begins, the average is too low, and the latest sum is some hundred milliseconds old.
		f.demand = max(f.demand, 2*reachable*d.latest-f.demand)
		f.extra = f.demand - usualMargin*f.usual
	}
	v.workspaces[code] = f
	v.admitted += reachable * d.admitted.value()
	v.usual += f.demand - f.extra
	if f.extra > 0 {
		v.extras = append(v.extras, f.extra)
	}
}

// finish prepares level.
func (v *view) finish() {
	slices.Sort(v.extras)
	v.sums = make([]float64, len(v.extras))
	sum := 0.0
	for i, e := range v.extras {
		v.sums[i] = sum
		sum += e
	}
}

// level returns up to which level the extra of each workspace fits into the room that is left.
func (v *view) level(left float64) float64 {
	n := len(v.extras)
	i := sort.Search(n, func(i int) bool { return v.sums[i]+v.extras[i]*float64(n-i) >= left })
	if i == n {
		return math.Inf(1)
	}
	return max(0, left-v.sums[i]) / float64(n-i)
}

// Decision is a decision on a request with the data on which it is based.
type Decision struct {
	Yields                bool
	Demand, Usual, Share  float64 // of the workspace, in tokens per second
	Occupancy, Likelihood float64
	Age                   time.Duration // of the sums
}

// Decide reports whether a request of a workspace yields. occupancy is the number of requests in progress at the
// runners that may serve it, as a fraction of their slots. draw is a random number in [0, 1) that belongs to the
// request: a workspace above its share yields with the part of its requests that exceeds it.
func (t *Table) Decide(w *core.Workspace, occupancy, draw float64) Decision {
	v := t.view.Load()
	if occupancy <= shortAbove || v == nil {
		return Decision{}
	}
	f, ok := v.workspaces[w.Code]
	age := t.clock.Since(v.at)
	if !ok || f.extra <= 0 || age > usageTTL {
		return Decision{}
	}
	// What is admitted now takes this occupancy, as far as the work there is like that elsewhere.
	room := sharedRoom / occupancy * v.admitted
	share := f.demand - f.extra + min(f.extra, v.level(room-v.usual))
	d := Decision{Demand: f.demand, Usual: f.usual, Share: share, Occupancy: occupancy, Likelihood: 1 - share/f.demand, Age: age}
	d.Yields = draw < d.Likelihood
	return d
}

// CountYielded counts a request that yields.
func (t *Table) CountYielded() { t.yielded.Inc(1) }
