// Package quarantine holds back requests under which runners exit. Callers send such a request
// again under other IDs and to any daemon, and each time it also breaks off all other requests
// at the same runner.
//
// The daemon whose request breaks off determines whether the runner has exited. It reports the
// requests that were in progress there to their counters, a few daemons chosen by the digest
// of each request. The counters count exits, and hold back a request that was in progress at
// every exit and was never served. Such a request explains the exits, which then count for no
// other one. The shared parts of a request's prompt are counted and held in the same way. Holds
// are broadcast to all daemons, kept in the platform's store, and compared between pairs of
// daemons, so that a daemon that has just started or was cut off gets them too.
package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/hold"
)

// counterCount is the number of daemons that count the exits under a request. With three, no
// count is lost if two of them fail or are cut off at once.
const counterCount = 3

// Kinds of messages between daemons.
const (
	kindExit    = "end"
	kindSeen    = "seen"
	kindWorked  = "worked"
	kindHolds   = "holds"
	kindSum     = "sum"
	kindTrial   = "trial"
	kindConfirm = "confirm"
	kindExplain = "explain"
	kindUse     = "use"
	kindUsed    = "used"
)

// Network sends messages to other daemons.
type Network interface {
	Self() peers.Peer
	Alive() []peers.Peer
	Handle(kind string, h peers.Handler)
	Send(to peers.Peer, kind string, message any)
	Broadcast(kind string, message any)
	Request(ctx context.Context, to peers.Peer, kind string, question, out any, resend time.Duration) error
}

// Prober reads a runner's state.
type Prober interface {
	Report(ctx context.Context, r *core.Runner) (*core.Report, error)
}

// Connector opens connections to runners.
type Connector interface {
	// Connect fails with ErrNoListener if nothing listens at the runner's address.
	Connect(ctx context.Context, r *core.Runner) error
}

// Quarantine is one daemon's part of the quarantine. It implements core.Guard.
type Quarantine struct {
	net       Network
	prober    Prober
	connector Connector
	clock     core.Clock
	log       *zap.Logger
	scope     tally.Scope
	onHold    func(core.Digest)
	runners   func(service string) []core.Runner // nil: they are not known
	keeper    *keeper

	table       *hold.Table
	recent      *recent       // requests that were served
	uses        *uses         // of prompt parts
	holdChanged chan struct{} // signals that a hold has changed
	known       chan struct{} // closed once the holds in the store are known, or have been waited for
	knownOnce   sync.Once

	mu      sync.Mutex
	exits   *policy.ExitRecords
	checks  map[policy.Instance]*check
	queries map[core.Digest]*servedQuery
	cleared map[core.Digest]time.Time
	trials  map[core.Digest]time.Time // when a run was admitted

	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc
}

var _ core.Guard = (*Quarantine)(nil)

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(q *Quarantine) { q.scope = s } }

// WithOnHold sets a function that is called for each request that is held back.
func WithOnHold(fn func(core.Digest)) Option { return func(q *Quarantine) { q.onHold = fn } }

// WithRunners sets a function that returns the runners of a service. Without it, any exits under a prompt part that was not
// served count against it.
func WithRunners(list func(service string) []core.Runner) Option {
	return func(q *Quarantine) { q.runners = list }
}

// WithStore keeps holds in the platform's store. reads returns whether this daemon is the one
// that reads operators' changes there.
func WithStore(store core.Platform, reads func() bool) Option {
	return func(q *Quarantine) { q.keeper = newKeeper(q, store, reads) }
}

// WithConnector lets the Quarantine find out at once whether a runner has exited.
func WithConnector(c Connector) Option { return func(q *Quarantine) { q.connector = c } }

// New returns a Quarantine and registers its message handlers.
func New(net Network, prober Prober, clock core.Clock, log *zap.Logger, opts ...Option) *Quarantine {
	q := &Quarantine{
		net: net, prober: prober, clock: clock, log: log, scope: tally.NoopScope, onHold: func(core.Digest) {},
		table: hold.NewTable(), recent: newRecent(clock), uses: newUses(clock), holdChanged: make(chan struct{}, 1), known: make(chan struct{}), exits: policy.NewExitRecords(), checks: map[policy.Instance]*check{},
		queries: map[core.Digest]*servedQuery{}, cleared: map[core.Digest]time.Time{}, trials: map[core.Digest]time.Time{},
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(q)
	}
	if q.keeper == nil {
		q.setKnown()
	}
	net.Handle(kindExit, q.handleExit)
	net.Handle(kindSeen, q.handleSeen)
	net.Handle(kindWorked, q.handleWorked)
	net.Handle(kindHolds, q.handleHolds)
	net.Handle(kindSum, q.handleSum)
	net.Handle(kindTrial, q.handleTrial)
	net.Handle(kindConfirm, q.handleConfirm)
	net.Handle(kindExplain, q.handleExplain)
	net.Handle(kindUse, q.handleUse)
	net.Handle(kindUsed, q.handleUsed)
	return q
}

// Start starts the comparison of holds with peers, and the keeper of the store.
func (q *Quarantine) Start() {
	q.wg.Add(1)
	go q.runCompare()
	if q.keeper == nil {
		return
	}
	q.clock.AfterFunc(firstReadTimeout, q.setKnown)
	q.wg.Add(1)
	go q.keeper.run(q.ctx)
}

// setKnown ends the wait for the holds in the store.
func (q *Quarantine) setKnown() { q.knownOnce.Do(func() { close(q.known) }) }

// Stop stops both and waits for running checks and reports.
func (q *Quarantine) Stop() {
	q.stop()
	q.wg.Wait()
}

// HoldRemaining implements core.Guard.
func (q *Quarantine) HoldRemaining(d core.Digest) time.Duration {
	r, ok := q.table.Held(d)
	if !ok {
		return 0
	}
	return r.Remaining(q.clock.Now())
}

// Admit implements core.Guard. When a hold has expired, the request's first counter admits a
// single trial. After the start it waits for the holds in the store.
func (q *Quarantine) Admit(ctx context.Context, d core.Digest) (time.Duration, bool) {
	select {
	case <-q.known:
	case <-ctx.Done():
	}
	r, ok := q.table.Held(d)
	if !ok {
		return 0, true
	}
	if left := r.Remaining(q.clock.Now()); left > 0 {
		return left, false
	}
	if !q.requestTrial(ctx, d) {
		return trialRetry, false
	}
	q.scope.Counter("quarantine_trials").Inc(1)
	q.log.Info(logs.TrialStarted, zap.Stringer("digest", d), zap.Int("times", r.Level+1))
	return 0, true
}

// Served implements core.Guard. If a request is served while it is held back, it was not
// the cause of the exits, or the model that it needs has been repaired.
func (q *Quarantine) Served(d core.Digest) {
	q.worked(d)
	q.passed(d, q.clock.Now())
}

// worked records that a request was served, or that a runner has worked on it for a long time. That does not end a hold
// that was placed because runners exited after such a time.
func (q *Quarantine) worked(d core.Digest) {
	q.recent.add(d)
	if r, ok := q.table.Held(d); ok && r.Part == nil {
		q.release(r, hold.BySuccess)
	}
}

// Release ends a hold on behalf of an operator; false if there is none.
func (q *Quarantine) Release(d core.Digest) bool {
	r, ok := q.table.Held(d)
	if !ok {
		return false
	}
	q.release(r, hold.ByOperator)
	return true
}

// Records returns the records of requests that are or were held back.
func (q *Quarantine) Records() []hold.Record { return q.table.All() }

// release ends the hold of a request.
func (q *Quarantine) release(r hold.Record, by hold.ReleaseReason) {
	r.Release(by, q.clock.Now())
	q.commit(r)
}

// hold holds a request back, for the first time or again.
func (q *Quarantine) hold(r hold.Record) {
	r.Hold(q.clock.Now())
	q.commit(r)
}

// commit applies a change made by this daemon, broadcasts it and schedules its write to the
// store.
func (q *Quarantine) commit(r hold.Record) {
	if !q.merge(r, q.net.Self().Name) {
		return
	}
	q.broadcastHold(r)
	if q.keeper != nil {
		q.keeper.enqueue(r.Digest)
	}
}

// merge applies a changed hold, and returns false if it is not newer than the known one.
func (q *Quarantine) merge(r hold.Record, from string) bool {
	if !q.table.Merge(r) {
		return false
	}
	q.scope.Tagged(map[string]string{"state": string(r.State)}).Counter("quarantine_records").Inc(1)
	q.scope.Gauge("quarantine_size").Update(float64(q.table.Len()))
	q.log.Warn(logs.HoldChanged, zap.Stringer("digest", r.Digest), zap.String("state", string(r.State)), zap.String("by", string(r.By)),
		zap.String("from", from), zap.Uint64("version", r.Version), zap.String("route", r.Route), zap.String("service", r.Service),
		zap.Int("runners", r.Runners), zap.Int("times", r.Level+1), zap.Duration("left", r.Remaining(q.clock.Now())))
	q.dropCounts(&r)
	if r.State == hold.StateHeld {
		q.onHold(r.Digest)
	}
	select {
	case q.holdChanged <- struct{}{}:
	default: // a signal is already pending
	}
	return true
}

// dropCounts drops what was counted for a request or prompt part once a hold has been placed or ended. What
// is held back explains the exits under it. The exits under a prompt part go on counting after a trial that was
// served: a part that crashes its runner only sometimes passes most of them.
func (q *Quarantine) dropCounts(r *hold.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	exits, part := q.exits.Exits(r.Digest)
	if r.State == hold.StateHeld {
		explained, ofPart := exits, part
		if r.Part != nil {
			explained, ofPart = q.exits.ExitsAt(*r.Part, r.Model), true
		}
		q.explain(explained, policy.Explanation{Cause: r.Digest, Part: ofPart})
	}
	if !part || r.By == hold.ByOperator {
		q.exits.Drop(r.Digest)
	}
	delete(q.queries, r.Digest)
	delete(q.trials, r.Digest)
}

// countersOf returns the counters of a request, the first of which grants its trials. all
// lists the live daemons, this one first. The rank is a hash, so daemons with the same list of
// live daemons choose the same counters. A daemon that is leaving is no counter; if all are
// leaving, this one is the only counter.
func countersOf(d core.Digest, all []peers.Peer) []peers.Peer {
	if out := peers.Rank(all, d[:], counterCount); len(out) > 0 {
		return out
	}
	return all[:1]
}
