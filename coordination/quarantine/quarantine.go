// Package quarantine holds back requests under which runners end. Such a request comes
// again under other ids and at any daemon, and takes with it all that runs beside it.
//
// The daemon whose request breaks off finds out whether the runner has ended, and tells
// what was in progress there to a few daemons, the counters that the request's digest
// falls to. They count, and hold back what has been there at every end and was never served. Decisions
// are told to all daemons, kept in the platform's store, and compared by pairs of daemons,
// so that one that has just started or was cut off learns of them.
package quarantine

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/hold"
)

// counters is how many daemons count the ends of runners under a request: with three
// the loss or the cut of two at once loses nothing.
const counters = 3

// Kinds of messages between daemons.
const (
	kindEnd    = "end"
	kindSeen   = "seen"
	kindWorked = "worked"
	kindHolds  = "holds"
	kindSum    = "sum"
	kindTrial  = "trial"
)

// Network brings messages to other daemons.
type Network interface {
	Self() peers.Peer
	Alive() []peers.Peer
	Handle(kind string, h peers.Handler)
	Tell(to peers.Peer, kind string, message any)
	TellAll(kind string, message any)
	Ask(ctx context.Context, to peers.Peer, kind string, question, out any, resend time.Duration) error
}

// Prober asks a runner for its state.
type Prober interface {
	Report(ctx context.Context, r *core.Runner) (*core.Report, error)
}

// Quarantine is one daemon's part in it; it implements core.Guard.
type Quarantine struct {
	net    Network
	prober Prober
	clock  core.Clock
	log    *zap.Logger
	scope  tally.Scope
	held   func(core.Digest)
	keeper *keeper

	table   *hold.Table
	recent  *recent
	decided chan struct{} // a decision has been taken in

	mu       sync.Mutex
	ends     *policy.Ends
	checks   map[policy.Life]*check
	consults map[core.Digest]*consult
	cleared  map[core.Digest]time.Time
	trials   map[core.Digest]time.Time // when a run was let through

	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc
}

var _ core.Guard = (*Quarantine)(nil)

// Option changes a Quarantine.
type Option func(*Quarantine)

// WithScope counts in a scope.
func WithScope(s tally.Scope) Option { return func(q *Quarantine) { q.scope = s } }

// WithHeld calls fn for each request that comes to be held back.
func WithHeld(fn func(core.Digest)) Option { return func(q *Quarantine) { q.held = fn } }

// WithStore keeps decisions in the platform's store. reads tells whether this daemon is the
// one that reads there what operators have changed.
func WithStore(store core.Platform, reads func() bool) Option {
	return func(q *Quarantine) { q.keeper = newKeeper(q, store, reads) }
}

// New makes a Quarantine, which also takes in messages of other daemons.
func New(net Network, prober Prober, clock core.Clock, log *zap.Logger, opts ...Option) *Quarantine {
	q := &Quarantine{
		net: net, prober: prober, clock: clock, log: log, scope: tally.NoopScope, held: func(core.Digest) {},
		table: hold.NewTable(), recent: newRecent(clock), decided: make(chan struct{}, 1), ends: policy.NewEnds(), checks: map[policy.Life]*check{},
		consults: map[core.Digest]*consult{}, cleared: map[core.Digest]time.Time{}, trials: map[core.Digest]time.Time{},
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(q)
	}
	net.Handle(kindEnd, q.handleEnd)
	net.Handle(kindSeen, q.handleSeen)
	net.Handle(kindWorked, q.handleWorked)
	net.Handle(kindHolds, q.handleHolds)
	net.Handle(kindSum, q.handleSum)
	net.Handle(kindTrial, q.handleTrial)
	return q
}

// Start begins to compare decisions with other daemons, and to keep them.
func (q *Quarantine) Start() {
	q.wg.Add(1)
	go q.runCompare()
	if q.keeper != nil {
		q.wg.Add(1)
		go q.keeper.run(q.ctx)
	}
}

// Stop ends that.
func (q *Quarantine) Stop() {
	q.stop()
	q.wg.Wait()
}

// Held implements core.Guard.
func (q *Quarantine) Held(d core.Digest) time.Duration {
	r, ok := q.table.Held(d)
	if !ok {
		return 0
	}
	return r.Left(q.clock.Now())
}

// Admit implements core.Guard. Once a request's term is over one run of it is let
// through, by the daemon that the request falls to.
func (q *Quarantine) Admit(ctx context.Context, d core.Digest) (time.Duration, bool) {
	r, ok := q.table.Held(d)
	if !ok {
		return 0, true
	}
	if left := r.Left(q.clock.Now()); left > 0 {
		return left, false
	}
	if !q.askTrial(ctx, d) {
		return trialRetry, false
	}
	q.scope.Counter("quarantine_trials").Inc(1)
	q.log.Info(logs.TrialBegins, zap.Stringer("digest", d), zap.Int("times", r.Level+1))
	return 0, true
}

// Worked implements core.Guard. A request that was served while it is held back was
// taken for harmful wrongly, or what it asks for has been repaired.
func (q *Quarantine) Worked(d core.Digest) {
	q.recent.add(d)
	if r, ok := q.table.Held(d); ok {
		q.release(r, hold.ByWork)
	}
}

// Release ends the hold of a request by an operator's word; false if there is none.
func (q *Quarantine) Release(d core.Digest) bool {
	r, ok := q.table.Held(d)
	if !ok {
		return false
	}
	q.release(r, hold.ByOperator)
	return true
}

// Records returns what is known of requests that are or were held back.
func (q *Quarantine) Records() []hold.Record { return q.table.All() }

// release decides that a request is held back no longer.
func (q *Quarantine) release(r hold.Record, by hold.By) {
	r.Release(by, q.clock.Now())
	q.decide(r)
}

// hold decides that a request is held back, for the first time or once more.
func (q *Quarantine) hold(r hold.Record) {
	r.Hold(q.clock.Now())
	q.decide(r)
}

// decide takes in a decision of this daemon, tells it to all and has it kept.
func (q *Quarantine) decide(r hold.Record) {
	if !q.take(r, q.net.Self().Name) {
		return
	}
	q.spread(r)
	if q.keeper != nil {
		q.keeper.add(r.Digest)
	}
}

// take takes in a decision, and says whether it is news.
func (q *Quarantine) take(r hold.Record, from string) bool {
	if !q.table.Merge(r) {
		return false
	}
	q.scope.Tagged(map[string]string{"state": string(r.State)}).Counter("quarantine_records").Inc(1)
	q.scope.Gauge("quarantine_size").Update(float64(q.table.Len()))
	q.log.Warn(logs.HoldChanged, zap.Stringer("digest", r.Digest), zap.String("state", string(r.State)), zap.String("by", string(r.By)),
		zap.String("from", from), zap.Uint64("version", r.Version), zap.String("route", r.Route), zap.String("service", r.Service),
		zap.Int("runners", r.Runners), zap.Int("times", r.Level+1), zap.Duration("left", r.Left(q.clock.Now())))
	q.forget(r.Digest)
	if r.State == hold.StateHeld {
		q.held(r.Digest)
	}
	select {
	case q.decided <- struct{}{}:
	default: // one is waiting to be seen
	}
	return true
}

// forget drops what was counted of a request once it has been decided on.
func (q *Quarantine) forget(d core.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ends.Clear(d)
	delete(q.consults, d)
	delete(q.trials, d)
}

// countersOf returns the daemons that a request falls to, of all that live, this one first,
// by a hash that all daemons agree on as far as they know the same daemons. One that
// leaves counts nothing, unless it is the only one.
func countersOf(d core.Digest, all []peers.Peer) []peers.Peer {
	type ranked struct {
		peers.Peer
		rank uint64
	}
	list := make([]ranked, 0, len(all))
	for _, p := range all {
		if !p.Leaving {
			list = append(list, ranked{p, xxhash.Sum64String(string(d[:]) + p.Name)})
		}
	}
	if len(list) == 0 {
		return all[:1]
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]peers.Peer, 0, counters)
	for _, one := range list[:min(counters, len(list))] {
		out = append(out, one.Peer)
	}
	return out
}

// read reads a message; one that can't be read is logged.
func (q *Quarantine) read(from peers.Peer, body json.RawMessage, out any) bool {
	if err := json.Unmarshal(body, out); err != nil {
		q.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return false
	}
	return true
}
