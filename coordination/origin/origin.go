// Package origin knows at which software versions streams began, so that a stream goes on only at
// the version that began it. Each daemon records the streams that begin here, and while runners of
// several versions serve it sends the records to the other daemons, in a large fleet to a few of them
// that are found by hashing the stream's key. A daemon at which a caller takes a stream up asks these.
// While one version serves nothing is sent: the store lists each version before the first stream begins
// at it, and a daemon that has no record reads that list.
package origin

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
)

const (
	// askTimeout bounds the question to other daemons, askResend is when it is sent again in case a
	// datagram was lost.
	askTimeout = 200 * time.Millisecond
	askResend  = 50 * time.Millisecond
	// storeWait is how long an admission waits for the store before other daemons are asked. The call of
	// the store goes on.
	storeWait = 150 * time.Millisecond
	// admitPause is how long after a failed admission the next one may begin.
	admitPause = 300 * time.Millisecond
	// readTimeout bounds a read of the store.
	readTimeout = 500 * time.Millisecond
	// sweepInterval is how often expired records are dropped, and streams in progress are looked
	// through for those that no other daemon knows yet.
	sweepInterval = 500 * time.Millisecond
)

// Network is the messages between daemons. *peers.Peers implements it.
type Network interface {
	Handle(kind string, h peers.Handler)
	Alive() []peers.Peer
	Large() bool
	peers.Requester
	Send(to peers.Peer, kind string, message any)
}

// Tracker is one daemon's part of the knowledge of where streams began. It implements core.Origins.
type Tracker struct {
	net      Network
	registry *Registry
	versions func(service string) []string
	retires  func() bool
	clock    core.Clock
	log      *zap.Logger
	scope    tally.Scope

	table  *Table
	sender *sender
	reader *reader
	mu     sync.Mutex
	nextID uint64
	unsent map[uint64]copyOf         // records of streams in progress that other daemons do not have
	failed map[core.Origin]time.Time // when a version could not be admitted

	wg   sync.WaitGroup
	stop context.CancelFunc
}

var _ core.Origins = (*Tracker)(nil)

// Option configures a Tracker.
type Option func(*Tracker)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(t *Tracker) { t.scope = s } }

// WithNetwork shares the records with the other daemons.
func WithNetwork(net Network) Option { return func(t *Tracker) { t.net = net } }

// WithRegistry sets where versions are admitted. Without it all are.
func WithRegistry(r *Registry) Option { return func(t *Tracker) { t.registry = r } }

// WithRetirement sets the function that reports whether this daemon is the one that removes versions
// from the store's lists. Without it none are removed.
func WithRetirement(fn func() bool) Option { return func(t *Tracker) { t.retires = fn } }

// New returns a Tracker and registers its message handlers. versions returns the software versions that
// the runners of a service have that this daemon knows.
func New(versions func(service string) []string, clock core.Clock, log *zap.Logger, opts ...Option) *Tracker {
	t := &Tracker{versions: versions, retires: func() bool { return false }, clock: clock, log: log, scope: tally.NoopScope, table: NewTable(clock), unsent: map[uint64]copyOf{}, failed: map[core.Origin]time.Time{}}
	for _, o := range opts {
		o(t)
	}
	t.reader = newReader(t.registry, clock)
	if t.net != nil {
		t.sender = newSender(t.net, clock, log)
		t.net.Handle(kindRecords, t.handleRecords)
		t.net.Handle(kindAsk, t.handleAsk)
		t.net.Handle(kindAdmitted, t.handleAdmitted)
	}
	return t
}

// Start starts to send records.
func (t *Tracker) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	t.wg.Add(1)
	go t.run(ctx)
	if t.sender != nil {
		t.wg.Add(1)
		go t.sender.run(ctx, &t.wg)
	}
}

// Stop stops the Tracker and waits for its goroutines.
func (t *Tracker) Stop() {
	t.stop()
	t.wg.Wait()
}

func (t *Tracker) run(ctx context.Context) {
	defer t.wg.Done()
	tick := t.clock.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			t.table.Sweep()
			t.sendUnsent()
			t.maintainLists(ctx)
			t.scope.Gauge("stream_records").Update(float64(t.table.Len()))
		}
	}
}

// several reports whether streams of a service may have begun at different versions, as far as this
// daemon knows.
func (t *Tracker) several(service string) bool {
	return len(t.versions(service)) > 1 || t.registry != nil && t.registry.Several(service)
}

// maintainLists keeps the store's lists, and what is known of them here, up to date with the runners.
func (t *Tracker) maintainLists(ctx context.Context) {
	if t.registry == nil {
		return
	}
	for _, service := range t.registry.services() {
		retired, stale := t.registry.observe(service, t.versions(service))
		if t.retires() {
			for _, o := range retired {
				t.registry.retire(ctx, o)
			}
		}
		if stale {
			t.registry.refresh(ctx, service)
		}
	}
}

// sendUnsent sends the records of streams that began while one version served, once there are
// several.
func (t *Tracker) sendUnsent() {
	if t.sender == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	several := map[string]bool{}
	for id, r := range t.unsent {
		known, ok := several[r.origin.Service]
		if !ok {
			known = t.several(r.origin.Service)
			several[r.origin.Service] = known
		}
		if known {
			delete(t.unsent, id)
			t.sender.add(r)
		}
	}
}

// Admitted implements core.Origins.
func (t *Tracker) Admitted(o core.Origin) bool { return t.registry == nil || t.registry.Admitted(o) }

// Admit implements core.Origins. If this daemon does not reach the store, another one that knows the
// version as admitted suffices.
func (t *Tracker) Admit(ctx context.Context, o core.Origin) bool {
	if t.registry == nil || t.registry.Admitted(o) {
		return true
	}
	if t.failedLately(o) {
		return false
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	if t.registry.Admit(storeCtx, o) {
		return true
	}
	if t.net == nil {
		return false
	}
	known, _ := ask(ctx, t.net, t.targets(nil), kindAdmitted, o, func(_ string, got bool) bool { return got })
	if known {
		t.registry.Learn(o)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[o] = t.clock.Now()
	return false
}

// failedLately reports whether a version could not be admitted less than admitPause ago.
func (t *Tracker) failedLately(o core.Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.failed[o]
	if ok && t.clock.Since(at) < admitPause {
		return true
	}
	delete(t.failed, o)
	return false
}

func (t *Tracker) handleAdmitted(from peers.Peer, body json.RawMessage, answer func(any)) {
	var o core.Origin
	if !peers.Decode(t.log, from, body, &o) {
		return
	}
	answer(t.registry != nil && t.registry.Admitted(o))
}

// Begin implements core.Origins.
func (t *Tracker) Begin(k core.StreamKey, workspace *core.Workspace, o core.Origin) (done func()) {
	r := copyOf{key: k, origin: o}
	if workspace != nil {
		r.owner = workspace.Code
	}
	t.table.Put(k, r.owner, o)
	if t.sender == nil {
		return func() {}
	}
	if t.several(o.Service) {
		t.sender.add(r)
		return func() {}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	id := t.nextID
	t.unsent[id] = r
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.unsent, id)
	}
}

// Find implements core.Origins.
func (t *Tracker) Find(ctx context.Context, k *core.StreamKey, service string) (core.FoundOrigin, error) {
	if k != nil {
		if r, ok := t.table.Get(*k); ok {
			return core.FoundOrigin{Origin: r.Origin, Source: core.OriginOwn, Age: r.Age}, nil
		}
	}
	// The likelier source goes first.
	first, second := t.findSole, t.findElsewhere
	if t.several(service) {
		first, second = second, first
	}
	found, err := first(ctx, k, service)
	if err == nil {
		return found, nil
	}
	found, secondErr := second(ctx, k, service)
	if secondErr == nil || errors.Is(secondErr, core.ErrOriginUnanswered) {
		return found, secondErr
	}
	return core.FoundOrigin{}, err
}

// findSole reads from the store whether all streams of a service have begun at one version.
func (t *Tracker) findSole(ctx context.Context, _ *core.StreamKey, service string) (core.FoundOrigin, error) {
	o, err := t.reader.sole(ctx, service)
	return core.FoundOrigin{Origin: o, Source: core.OriginStore}, err
}

// findElsewhere asks other daemons where a stream began.
func (t *Tracker) findElsewhere(ctx context.Context, k *core.StreamKey, _ string) (core.FoundOrigin, error) {
	if k == nil || t.net == nil {
		return core.FoundOrigin{}, core.ErrOriginUnknown
	}
	var got found
	var source string
	known, silent := ask(ctx, t.net, t.targets(k), kindAsk, *k, func(from string, f found) bool {
		got, source = f, from
		return f.Known
	})
	switch {
	case known:
		t.table.Put(*k, got.Owner, got.Origin)
		return core.FoundOrigin{Origin: got.Origin, Source: source, Age: time.Duration(got.Age)}, nil
	case silent > 0:
		return core.FoundOrigin{}, core.ErrOriginUnanswered
	}
	return core.FoundOrigin{}, core.ErrOriginUnknown
}
