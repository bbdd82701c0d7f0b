package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/state/ledger"
	"primroseward/state/tree"
)

const (
	proposalBuffer = 16
	resendInterval = time.Second
	// orderLifetime is the longest time that an order is assumed to be in transit to an
	// endpoint that ignores fencing numbers. docs/GUARANTEES.md lists the guarantees that
	// depend on it.
	orderLifetime = 30 * time.Second
)

// Proposal is a requested load or eviction of a model on a runner.
type Proposal struct {
	Kind    core.OrderKind
	Model   string
	Version string
	Reason  string
}

type proposal struct {
	Proposal
	reply chan error
}

// timedObservation is an observation and the time at which it was requested.
type timedObservation struct {
	obs         core.Observation
	requestedAt time.Time
}

// ledgerKeeper maintains one runner's memory record. Within this daemon only it writes the
// record and sends the orders that the record authorises.
type ledgerKeeper struct {
	r            *runner
	observations chan timedObservation
	proposals    chan proposal
	log          *zap.Logger
	clock        core.Clock

	// Used only by run.
	object        core.Object          // holds the record as last read or written
	recordValid   bool                 // object is the latest version, as far as is known here
	recordReadAt  time.Time            // when the record was last read or written
	sentAt        map[string]time.Time // time of the last order, by model@version
	loadInstances map[string]instance  // instance to which a load was last sent, by model@version

	mu     sync.Mutex // guards record
	record ledger.Record
}

func newLedgerKeeper(r *runner) *ledgerKeeper {
	return &ledgerKeeper{
		r:             r,
		observations:  make(chan timedObservation, 1),
		proposals:     make(chan proposal, proposalBuffer),
		log:           r.mgr.log.With(zap.String("runner", r.id)),
		clock:         r.mgr.clock,
		sentAt:        map[string]time.Time{},
		loadInstances: map[string]instance{},
	}
}

// offerObservation passes the newest observation to run and replaces an older one that is
// still waiting.
func (k *ledgerKeeper) offerObservation(o core.Observation, requestedAt time.Time) {
	select {
	case <-k.observations:
	default:
	}
	select {
	case k.observations <- timedObservation{o, requestedAt}:
	default:
	}
}

// propose submits a proposal and waits for the decision.
func (k *ledgerKeeper) propose(ctx context.Context, p Proposal) error {
	pending := proposal{Proposal: p, reply: make(chan error, 1)}
	select {
	case k.proposals <- pending:
	default:
		return eris.Wrap(core.ErrUnavailable, "too many proposals are pending")
	}
	select {
	case err := <-pending.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// evictingOnlyVersion reports whether a model gets no new requests because its only
// version on this runner is about to be evicted.
func (k *ledgerKeeper) evictingOnlyVersion(model string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	leaving := slices.ContainsFunc(k.record.Entries, func(e ledger.Entry) bool {
		return e.Model == model && e.State == ledger.Evicting
	})
	return leaving && !k.record.HasReady(model)
}

// snapshot returns the record, and whether one has been read or written yet.
func (k *ledgerKeeper) snapshot() (ledger.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record, !k.recordReadAt.IsZero()
}

func (k *ledgerKeeper) run(ctx context.Context) {
	defer k.r.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.observations:
			k.processObservation(ctx, s)
		case p := <-k.proposals:
			p.reply <- k.decide(ctx, p.Proposal)
		}
	}
}

// capacity returns the memory available to models, and whether the settings list the
// runner.
func (k *ledgerKeeper) capacity() (int64, bool) {
	spec, ok := k.r.mgr.spec(k.r.id)
	return int64(spec.Memory - spec.Cache), ok
}

func (k *ledgerKeeper) rules() ledger.Rules {
	spec, _ := k.r.mgr.spec(k.r.id)
	return ledger.Rules{Fenced: spec.Fenced, Lifetime: orderLifetime}
}

// processObservation settles the record with an observation and sends the pending orders.
// An observation that was requested before the record was read is ignored.
func (k *ledgerKeeper) processObservation(ctx context.Context, s timedObservation) {
	k.reportExits()
	if !k.loadRecord(ctx) || s.requestedAt.Before(k.recordReadAt) {
		return
	}
	rules := k.rules()
	now := k.clock.Now()
	before := k.record
	next, settled := before.Settle(s.obs, rules, k.object.Version, now)
	next, reauthorised := next.Authorise(s.obs, rules, now)
	if settled || reauthorised {
		if err := k.writeRecord(ctx, next); err != nil {
			return
		}
		k.afterSettle(ctx, before)
	}
	k.sendPending(ctx, s.obs, rules)
}

// loadRecord reads the record, if it is not valid here already, and makes this daemon its
// owner.
func (k *ledgerKeeper) loadRecord(ctx context.Context) bool {
	if k.recordValid {
		return true
	}
	o, err := k.r.mgr.platform.Get(ctx, core.KindRunner, k.r.id)
	var rec ledger.Record
	switch {
	case err == nil:
		if json.Unmarshal(o.Body, &rec) != nil {
			k.log.Error("memory record cannot be decoded; the runner gets no loads or evictions")
			return false
		}
	case errors.Is(err, core.ErrNotFound):
		o = core.Object{Kind: core.KindRunner, Name: k.r.id}
	default:
		return false
	}
	k.setRecord(rec, o)
	self := k.r.mgr.members.Self().Name
	if o.Version > 0 && rec.Owner == self {
		k.recordValid = true
		return true
	}
	return k.writeRecordOver(ctx, o, rec.TakeOver(self)) == nil
}

func (k *ledgerKeeper) setRecord(rec ledger.Record, o core.Object) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.record = rec
	k.object = o
	k.recordReadAt = k.clock.Now()
}

// writeRecord replaces the record by a conditional update. After any failure the next step
// reads the record again, because another owner may have written it or this write may
// still take effect.
func (k *ledgerKeeper) writeRecord(ctx context.Context, next ledger.Record) error {
	return k.writeRecordOver(ctx, k.object, next)
}

// writeRecordOver writes the record as the successor of o, or creates it if o has no
// version.
func (k *ledgerKeeper) writeRecordOver(ctx context.Context, o core.Object, next ledger.Record) error {
	body, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(core.ErrInvalid, err.Error())
	}
	o.Body = body
	k.recordValid = false
	if o.Version == 0 {
		o, err = k.r.mgr.platform.Create(ctx, o)
	} else {
		o, err = k.r.mgr.platform.Update(ctx, o)
	}
	if err != nil {
		return err
	}
	k.setRecord(next, o)
	k.recordValid = true
	return nil
}

// afterSettle releases the store slots of finished loads, clears the marks of finished
// evictions, reports successful loads to the guard, and ensures that each model that
// became ready has a pinned replica.
func (k *ledgerKeeper) afterSettle(ctx context.Context, before ledger.Record) {
	for _, e := range before.Entries {
		i := k.record.Find(e.Model, e.Version)
		if e.State == ledger.Loading && (i < 0 || k.record.Entries[i].State == ledger.Ready) {
			k.r.mgr.weights.release(ctx, k.loadID(e.Model, e.Version))
			delete(k.loadInstances, orderKey(e.Model, e.Version))
		}
		if e.State == ledger.Loading && i >= 0 && k.record.Entries[i].State == ledger.Ready {
			k.r.mgr.guard.Served(k.loadDigest(e.Model))
		}
		if i < 0 && !k.record.HasReady(e.Model) {
			k.r.mgr.floors.endEviction(ctx, e.Model, k.r.id)
		}
	}
	for _, e := range k.record.Entries {
		if e.State == ledger.Ready && !before.HasReady(e.Model) {
			k.r.mgr.floors.ensurePin(ctx, e.Model, k.r.id)
		}
	}
}

// loadID identifies a load in the slots of the weight store.
func (k *ledgerKeeper) loadID(model, version string) string {
	return k.r.id + "/" + orderKey(model, version)
}

// orderKey identifies the target of an order on one runner.
func orderKey(model, version string) string { return model + "@" + version }

// sendPending sends the orders that the record authorises and the endpoint has not carried
// out yet.
func (k *ledgerKeeper) sendPending(ctx context.Context, obs core.Observation, rules ledger.Rules) {
	for _, e := range k.record.Entries {
		key := orderKey(e.Model, e.Version)
		if !e.Pending(obs, rules) || k.clock.Since(k.sentAt[key]) < resendInterval {
			continue
		}
		if e.State == ledger.Evicting && !k.isIdle(ctx, e.Model) {
			continue
		}
		if e.State == ledger.Loading && k.loadHoldLeft(e.Model) > 0 {
			continue
		}
		k.sentAt[key] = k.clock.Now()
		k.send(ctx, e)
	}
}

// send sends one order, unless the send window of its entry is over. A daemon that was
// suspended after it wrote the record must not send: another owner may have settled the
// entry since, and an endpoint that ignores fencing numbers would still carry the order
// out.
func (k *ledgerKeeper) send(ctx context.Context, e ledger.Entry) {
	if !e.MaySend(k.clock.Now()) {
		return
	}
	if e.State == ledger.Loading {
		k.loadInstances[orderKey(e.Model, e.Version)] = k.r.instances.current()
	}
	err := k.r.endpoint.Order(ctx, e.Order(k.object.Version))
	k.r.mgr.count("orders")
	switch {
	case errors.Is(err, core.ErrStaleFence):
		k.recordValid = false
	case err != nil:
		if e.State == ledger.Loading && !errors.Is(err, core.ErrNoListener) {
			// Reported at once: the endpoint may be back under the same boot ID before
			// the next observation.
			k.reportExit(e)
		}
		k.log.Info("order was not acknowledged", zap.String("model", e.Model), zap.String("state", string(e.State)), zap.Error(err))
	}
}

// isIdle reports whether no request of a model runs on the runner.
func (k *ledgerKeeper) isIdle(ctx context.Context, model string) bool {
	reply := make(chan int, 1)
	k.r.send(countModel{model, reply})
	select {
	case n := <-reply:
		return n == 0
	case <-ctx.Done():
		return false
	}
}

// loadDigest returns the digest under which the quarantine records loads of a model.
func (k *ledgerKeeper) loadDigest(model string) core.Digest {
	return core.LoadDigest(k.r.mgr.replica.Tree().ServiceOf(model), model)
}

// loadHoldLeft returns for how long loads of a model are still held because endpoints
// exited during them, or 0.
func (k *ledgerKeeper) loadHoldLeft(model string) time.Duration {
	return k.r.mgr.guard.HoldRemaining(k.loadDigest(model))
}

// reportExits reports to the guard the loads whose endpoint has exited since they were
// sent.
func (k *ledgerKeeper) reportExits() {
	for _, e := range k.record.Entries {
		if sentTo, ok := k.loadInstances[orderKey(e.Model, e.Version)]; ok && !sentTo.startedAt.Equal(k.r.instances.current().startedAt) {
			k.reportExit(e)
		}
	}
}

// reportExit reports to the guard that the endpoint may have exited during a load, at most
// once for each time that the load was sent.
func (k *ledgerKeeper) reportExit(e ledger.Entry) {
	key := orderKey(e.Model, e.Version)
	sentTo := k.loadInstances[key]
	delete(k.loadInstances, key)
	k.r.mgr.guard.ConnectionLost(core.LostLoad(k.r.mgr.replica.Tree().ServiceOf(e.Model), e.Model, sentTo.runner(k.r.id)))
}

// decide accepts or rejects a proposal. An accepted one is written to the record before
// its order is sent.
func (k *ledgerKeeper) decide(ctx context.Context, p Proposal) error {
	if !k.loadRecord(ctx) {
		return eris.Wrap(core.ErrUnavailable, "the memory record cannot be read")
	}
	if p.Kind == core.OrderLoad {
		return k.decideLoad(ctx, p)
	}
	return k.decideEvict(ctx, p)
}

func (k *ledgerKeeper) decideLoad(ctx context.Context, p Proposal) error {
	t := k.r.mgr.replica.Tree()
	spec, listed := k.r.mgr.spec(k.r.id)
	m, known := t.Model(p.Model)
	if !known || !listed {
		return core.ErrNotFound
	}
	if _, ok := t.Allowed(tree.Selector{Service: t.ServiceOf(p.Model), Model: p.Model, DataCentre: spec.DataCentre}); !ok {
		return eris.Wrap(core.ErrInvalid, "settings do not allow the model in this data centre")
	}
	if m.Base != "" && !k.record.HasReady(m.Base) {
		return eris.Wrap(core.ErrInvalid, "the adapter's base model is not ready on this runner")
	}
	if left := k.loadHoldLeft(p.Model); left > 0 {
		return eris.Wrapf(core.ErrUnavailable, "endpoints exited while loading the model; loads are held for another %v", left)
	}
	capacity, _ := k.capacity()
	e := ledger.Entry{Model: p.Model, Version: p.Version, Bytes: int64(m.Memory), Reason: p.Reason}
	next, err := k.record.Load(e, capacity, k.object.Version, k.clock.Now())
	if err != nil {
		return err
	}
	id := k.loadID(p.Model, p.Version)
	if err := k.r.mgr.weights.reserve(ctx, id, t.Store(), time.Duration(m.Load)); err != nil {
		return err
	}
	if err := k.writeRecord(ctx, next); err != nil {
		k.r.mgr.weights.release(ctx, id)
		return err
	}
	k.sendNewLoad(ctx, p)
	return nil
}

func (k *ledgerKeeper) decideEvict(ctx context.Context, p Proposal) error {
	t := k.r.mgr.replica.Tree()
	for _, e := range k.record.Entries {
		if m, ok := t.Model(e.Model); ok && m.Base == p.Model && p.Model != "" {
			return eris.Wrap(core.ErrConflict, "adapters of the model are loaded")
		}
	}
	next, err := k.record.Evict(p.Model, p.Version, p.Reason, k.object.Version, k.clock.Now())
	if err != nil {
		return err
	}
	_, served := t.Model(p.Model)
	last := served && k.record.HasReady(p.Model) && !next.HasReady(p.Model)
	if last {
		if err := k.r.mgr.floors.beginEviction(ctx, p.Model, k.r.id); err != nil {
			return err
		}
	}
	if err := k.writeRecord(ctx, next); err != nil {
		if last && !errors.Is(err, core.ErrUnavailable) {
			k.r.mgr.floors.endEviction(ctx, p.Model, k.r.id)
		}
		return err
	}
	return nil
}

// sendNewLoad sends the order of a new load without waiting for the next observation.
func (k *ledgerKeeper) sendNewLoad(ctx context.Context, p Proposal) {
	if i := k.record.Find(p.Model, p.Version); i >= 0 {
		k.sentAt[orderKey(p.Model, p.Version)] = k.clock.Now()
		k.send(ctx, k.record.Entries[i])
	}
}
