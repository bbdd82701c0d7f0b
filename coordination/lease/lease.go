// Package lease elects the daemon that may send orders to runners. The lease is one object of
// the platform's store, which is changed by conditional updates only.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// validFor is how long after sending its last renewal a holder may act. It outlasts the
	// store's usual outages of four to five seconds, in which no other daemon could take
	// over either.
	validFor = 5 * time.Second
	// takeoverAfter is how long the lease must be unchanged before another daemon takes it.
	// The difference to validFor covers clocks that run at different speeds.
	takeoverAfter = validFor + 300*time.Millisecond
	// renewInterval lets five renewals fail before the lease expires.
	renewInterval = 800 * time.Millisecond
	stepInterval  = 200 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
	// initialReadInterval is how often a daemon that has just started reads the lease until
	// the store answers: all daemons of a fleet may start during an outage.
	initialReadInterval = time.Second
	// maxCreateDelay bounds the random delay before a daemon creates the lease, which
	// spreads out daemons that start together.
	maxCreateDelay = 600 * time.Millisecond
	// freshWindow is how long after a renewal the other daemons leave the lease alone. Then
	// they begin to watch the object, so that the lease changes hands as soon as it has
	// expired. Within the window, one renewal and its answer may be lost.
	freshWindow = 1800 * time.Millisecond
	// orderMargin is added to the pause between the orders of two holders, for an order of
	// the first one that is still in transit.
	orderMargin = 200 * time.Millisecond
)

// record is the lease as stored.
type record struct {
	Holder string `json:"holder"` // empty: released
	Term   uint64 `json:"term"`   // incremented when the holder changes or restarts
	Count  uint64 `json:"count"`  // incremented by every renewal
	// Idle is the time from the last order of any holder to the release of the lease.
	Idle core.Duration `json:"idle"`
	// Wait is the time from this write until the holder may send its first order.
	Wait core.Duration `json:"wait,omitempty"`
}

// CurrentHolder is the daemon that holds the lease, as seen by another one.
type CurrentHolder interface {
	// RenewedRecently reports whether another daemon has renewed the lease recently.
	RenewedRecently() bool
	// RequestYield requests the holder of a term to give it up. If it does, ok is true and idle
	// is how long ago it sent its last order.
	RequestYield(ctx context.Context, term uint64) (idle time.Duration, ok bool)
}

// Lease is one daemon's view of the lease.
type Lease struct {
	store         core.Platform
	kind          string
	name          string
	self          string
	handoverPause time.Duration // minimum between the orders of two holders
	clock         core.Clock
	bootTime      func() time.Duration
	log           *zap.Logger
	holder        CurrentHolder
	isCandidate   func() bool // whether this daemon should take over from another
	shouldResign  func() bool // whether this daemon should release the lease while it runs

	mu             sync.Mutex
	object         core.Object
	record         record
	held           bool
	renewedAt      time.Duration // boot time at which the last renewal was sent
	actFrom        time.Duration // boot time from which orders may be sent
	lastOrderAt    time.Duration // boot time until which this or an earlier holder may have sent orders
	unchangedSince time.Duration // boot time at which the current version of object was first read
	lastReadAt     time.Duration // boot time at which the object was last read

	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// Option configures a Lease.
type Option func(*Lease)

// WithBootTime sets the clock, which must include the time that the VM is suspended.
func WithBootTime(fn func() time.Duration) Option { return func(l *Lease) { l.bootTime = fn } }

// WithCandidate sets the function that decides whether this daemon should take the lease over
// from another one. When every daemon could take over, all of them read the lease of an
// unreachable holder from the store again and again, a thousand calls in one outage. A daemon
// takes its own lease, from before a restart, in any case.
func WithCandidate(fn func() bool) Option { return func(l *Lease) { l.isCandidate = fn } }

// WithResign sets the function that decides whether this daemon should release the lease, as it
// can't send orders. It doesn't take it again while it is no candidate.
func WithResign(fn func() bool) Option { return func(l *Lease) { l.shouldResign = fn } }

// New returns a Lease. pause is the minimum time between the orders of two holders.
func New(store core.Platform, kind, name, self string, pause time.Duration, holder CurrentHolder, clock core.Clock, log *zap.Logger, opts ...Option) *Lease {
	l := &Lease{store: store, kind: kind, name: name, self: self, handoverPause: pause, holder: holder, clock: clock, bootTime: BootTime, log: log, isCandidate: func() bool { return true }, shouldResign: func() bool { return false }}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Start starts acquiring and renewing the lease in the background.
func (l *Lease) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Add(1)
	go l.run(ctx)
}

// Stop ends the work that Start began, and releases the lease if it is held.
func (l *Lease) Stop(ctx context.Context) {
	l.cancel()
	l.wg.Wait()
	if err := l.release(ctx); err != nil {
		l.log.Warn(logs.LeaseNotReleased, logs.Err(err))
	}
}

// release releases the lease if it is held.
func (l *Lease) release(ctx context.Context) error {
	l.mu.Lock()
	held := l.held
	l.held = false
	next := l.record
	next.Idle, next.Wait = core.Duration(l.bootTime()-l.lastOrderAt), 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	next.Holder = ""
	err := l.write(ctx, next)
	if errors.Is(err, core.ErrConflict) && l.readOwn(ctx, next.Term) { // a renewal whose answer is missing has been stored
		err = l.write(ctx, next)
	}
	if err != nil {
		return err
	}
	l.log.Info(logs.LeaseReleased, zap.Uint64("term", next.Term))
	return nil
}

// readOwn reads the stored lease, and reports whether this daemon still holds it in a term.
func (l *Lease) readOwn(ctx context.Context, term uint64) bool {
	object, err := l.store.Get(ctx, l.kind, l.name)
	if err != nil {
		return false
	}
	var stored record
	if json.Unmarshal(object.Body, &stored) != nil || stored.Holder != l.self || stored.Term != term {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.object = object
	return true
}

// Term returns the term in which this daemon may send orders now.
func (l *Lease) Term() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentTerm(l.bootTime())
}

// Use returns the same as Term, and records that an order is sent now.
func (l *Lease) Use() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
	term, ok := l.currentTerm(now)
	if ok {
		l.lastOrderAt = now
	}
	return term, ok
}

func (l *Lease) currentTerm(now time.Duration) (uint64, bool) {
	if !l.held || now >= l.renewedAt+validFor || now < l.actFrom {
		return 0, false
	}
	return l.record.Term, true
}

// Yield gives up a term for another daemon that reaches the store, if this one does not: its
// renewals fail. It returns how long ago the last order was sent; ok is false if the lease is in
// another term or was renewed recently.
func (l *Lease) Yield(term uint64) (idle time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
	if l.record.Term != term || l.held && now < l.renewedAt+freshWindow {
		return 0, false
	}
	if l.held {
		l.held = false
		l.log.Warn(logs.LeaseYielded, zap.Uint64("term", term))
	}
	return now - l.lastOrderAt, true
}

// Claim returns the term to announce to other daemons, 0 if the lease is not held, and whether
// the lease was renewed recently.
func (l *Lease) Claim() (term uint64, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
	if !l.held || now >= l.renewedAt+validFor {
		return 0, false
	}
	return l.record.Term, now < l.renewedAt+freshWindow
}

func (l *Lease) run(ctx context.Context) {
	defer l.wg.Done()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.step(call)
		cancel()
		if err != nil && ctx.Err() == nil {
			l.log.Info(logs.LeaseStepFailed, logs.Err(err))
		}
		core.Sleep(ctx, l.clock, stepInterval/2+rand.N(stepInterval))
	}
}

func (l *Lease) step(ctx context.Context) error {
	candidate, resign := l.isCandidate(), l.shouldResign() // called without the lock, as they may call methods of the lease
	l.mu.Lock()
	now := l.bootTime()
	held, due := l.held, now >= l.renewedAt+renewInterval
	known := l.object.Version > 0
	mustWait := known && !candidate || !known && l.lastReadAt > 0 && now < l.lastReadAt+initialReadInterval
	l.mu.Unlock()
	switch {
	case held && resign:
		return l.release(ctx)
	case held && due:
		return l.renew(ctx)
	case held || l.holder.RenewedRecently() || mustWait:
		return nil
	default:
		return l.tryAcquire(ctx)
	}
}

// renew extends the lease. A conflict shows that another daemon has taken it.
func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	next := l.record
	next.Wait = core.Duration(max(0, l.actFrom-l.bootTime()))
	l.mu.Unlock()
	next.Count++
	err := l.write(ctx, next)
	if errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrOverwritten) || errors.Is(err, core.ErrNotFound) {
		l.mu.Lock()
		l.held = false
		l.mu.Unlock()
		l.log.Warn(logs.LeaseLost, zap.Uint64("term", next.Term))
	}
	return err
}

// write stores a record in place of the known version, and keeps the result. The lease is valid
// from the time of sending, as the answer may be late.
func (l *Lease) write(ctx context.Context, next record) error {
	l.mu.Lock()
	object := l.object
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "lease")
	}
	object.Kind, object.Name, object.Body = l.kind, l.name, body
	sent := l.bootTime()
	var stored core.Object
	if object.Version == 0 {
		stored, err = l.store.Create(ctx, object)
	} else {
		stored, err = l.store.Update(ctx, object)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.object, l.record, l.renewedAt = stored, next, sent
	return nil
}

// tryAcquire takes the lease if it is free, was this daemon's own before a restart, has been
// unchanged for takeoverAfter, or if the holder yields it.
func (l *Lease) tryAcquire(ctx context.Context) error {
	l.mu.Lock()
	l.lastReadAt = l.bootTime()
	l.mu.Unlock()
	object, err := l.store.Get(ctx, l.kind, l.name)
	if errors.Is(err, core.ErrNotFound) {
		// The whole fleet starts for the first time: one daemon is enough to create the lease.
		if !l.isCandidate() {
			return nil
		}
		core.Sleep(ctx, l.clock, rand.N(maxCreateDelay))
		if l.holder.RenewedRecently() {
			return nil
		}
		return l.acquire(ctx, core.Object{}, record{}, 0)
	}
	if err != nil {
		return err
	}
	var previous record
	if err := json.Unmarshal(object.Body, &previous); err != nil {
		return eris.Wrap(core.ErrInvalid, "lease: "+err.Error())
	}
	now := l.bootTime()
	l.mu.Lock()
	if l.object.Version != object.Version {
		l.object, l.record, l.unchangedSince = object, previous, now
	}
	unchanged := now - l.unchangedSince
	l.mu.Unlock()
	switch {
	case previous.Holder == l.self:
		return l.acquire(ctx, object, previous, time.Duration(previous.Wait))
	case previous.Holder == "":
		return l.acquire(ctx, object, previous, l.firstOrderDelay(time.Duration(previous.Idle)))
	case unchanged >= takeoverAfter:
		return l.acquire(ctx, object, previous, l.firstOrderDelay(unchanged-validFor))
	}
	if idle, ok := l.holder.RequestYield(ctx, previous.Term); ok {
		return l.acquire(ctx, object, previous, l.firstOrderDelay(idle))
	}
	return nil
}

// firstOrderDelay returns how long a new holder delays its first order when the previous holder
// sent its last one at least idle ago.
func (l *Lease) firstOrderDelay(idle time.Duration) time.Duration {
	return max(0, l.handoverPause+orderMargin-idle)
}

// acquire stores a new term. The previous holder may have sent an order up to now, so the first
// order of the new one is delayed.
func (l *Lease) acquire(ctx context.Context, object core.Object, previous record, wait time.Duration) error {
	l.mu.Lock()
	l.object = object
	l.mu.Unlock()
	next := record{Holder: l.self, Term: previous.Term + 1, Wait: core.Duration(wait)}
	err := l.write(ctx, next)
	if errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrExists) || errors.Is(err, core.ErrOverwritten) {
		return nil // another daemon was faster
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.held, l.actFrom = true, l.bootTime()+wait
	l.lastOrderAt = max(l.lastOrderAt, l.actFrom-l.handoverPause-orderMargin)
	if previous.Holder == l.self {
		l.lastOrderAt = l.bootTime() // the former process may have sent orders until it ended
	}
	l.mu.Unlock()
	l.log.Info(logs.LeaseAcquired, zap.Uint64("term", next.Term), zap.String("before", previous.Holder), zap.Duration("wait", wait))
	return nil
}
