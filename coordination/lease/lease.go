// Package lease elects the daemon that may order runners. The lease is one
// object of the platform's store, changed by conditional updates only.
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
	// validFor is how long after the sending of its last renewal a holder may
	// act. It outlasts the store's usual outages of four to five seconds, in
	// which nobody else could take over either.
	validFor = 5 * time.Second
	// takeAfter is how long a lease must stand unchanged before another daemon
	// takes it; the difference covers clocks that run at different speeds.
	takeAfter = validFor + 300*time.Millisecond
	// renewEvery lets five renewals fail before the lease runs out.
	renewEvery = 800 * time.Millisecond
	checkEvery = 200 * time.Millisecond
	callLimit  = 1500 * time.Millisecond
	// askEvery is how often a daemon that has just started asks for the lease until
	// the store answers: all of a fleet may start during an outage.
	askEvery = time.Second
	// firstWait is in which time daemons that start together create the lease.
	firstWait = 600 * time.Millisecond
	// freshFor is how long after a renewal the holder is left alone. Then the
	// others begin to watch the object, so that the lease changes hands as soon
	// as it has run out: one renewal and its answer may be lost before.
	freshFor = 1800 * time.Millisecond
	// orderMargin is added to the pause between two holders' orders for an
	// order of the first that is still on its way.
	orderMargin = 200 * time.Millisecond
)

// record is the lease as it lies in the store.
type record struct {
	Holder string `json:"holder"` // empty: given back
	Term   uint64 `json:"term"`   // grows with every change of holder or start
	Count  uint64 `json:"count"`  // grows with every renewal
	// Idle is how long ago the last order was sent when the lease was given
	// back.
	Idle core.Duration `json:"idle"`
}

// Rival is the daemon that holds the lease, as another one sees it.
type Rival interface {
	// Fresh says whether another daemon has renewed the lease lately.
	Fresh() bool
	// AskYield asks the holder of a term to stop, and returns how long ago it
	// sent its last order.
	AskYield(ctx context.Context, term uint64) (idle time.Duration, ok bool)
}

// Lease is one daemon's view of the lease.
type Lease struct {
	store core.Platform
	kind  string
	name  string
	self  string
	pause time.Duration // between the orders of two holders
	clock core.Clock
	boot  func() time.Duration
	log   *zap.Logger
	rival Rival
	may   func() bool // whether this daemon should take over from another

	mu      sync.Mutex
	object  core.Object
	record  record
	held    bool
	renewed time.Duration // boot time at which the last renewal was sent
	actFrom time.Duration // boot time from which orders may be sent
	used    time.Duration // boot time of the last order
	seen    time.Duration // boot time at which object was first seen as it is
	asked   time.Duration // boot time at which the object was last read

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// Option changes a Lease.
type Option func(*Lease)

// WithBoot sets the clock that counts suspended time too.
func WithBoot(fn func() time.Duration) Option { return func(l *Lease) { l.boot = fn } }

// WithCandidate sets what tells whether this daemon should take the lease over from
// another one. All others asking the store for a silent holder's lease again and
// again were a thousand calls in an outage. Its own lease, from before a restart, a
// daemon takes in any case.
func WithCandidate(fn func() bool) Option { return func(l *Lease) { l.may = fn } }

// New makes a Lease. pause is the least time between the orders of two
// holders.
func New(store core.Platform, kind, name, self string, pause time.Duration, rival Rival, clock core.Clock, log *zap.Logger, opts ...Option) *Lease {
	l := &Lease{store: store, kind: kind, name: name, self: self, pause: pause, rival: rival, clock: clock, boot: BootTime, log: log, may: func() bool { return true }}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Start begins to take part.
func (l *Lease) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.wg.Add(1)
	go l.run(ctx)
}

// Stop gives the lease back if it is held.
func (l *Lease) Stop(ctx context.Context) {
	l.stop()
	l.wg.Wait()
	l.mu.Lock()
	held := l.held
	l.held = false
	next := l.record
	next.Idle = core.Duration(l.boot() - l.used)
	l.mu.Unlock()
	if !held {
		return
	}
	next.Holder = ""
	if err := l.write(ctx, next); err != nil {
		l.log.Warn(logs.LeaseKept, logs.Err(err))
		return
	}
	l.log.Info(logs.LeaseGivenBack, zap.Uint64("term", next.Term))
}

// Term returns the term in which this daemon may send orders now.
func (l *Lease) Term() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term(l.boot())
}

// Use is Term for an order that is sent at once.
func (l *Lease) Use() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.boot()
	term, ok := l.term(now)
	if ok {
		l.used = now
	}
	return term, ok
}

func (l *Lease) term(now time.Duration) (uint64, bool) {
	if !l.held || now >= l.renewed+validFor || now < l.actFrom {
		return 0, false
	}
	return l.record.Term, true
}

// Yield gives a term up for another daemon that reaches the store, which this
// one does not: its renewals fail. It returns how long ago the last order was
// sent.
func (l *Lease) Yield(term uint64) (idle time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.boot()
	if l.record.Term != term || l.held && now < l.renewed+freshFor {
		return 0, false
	}
	if l.held {
		l.held = false
		l.log.Warn(logs.LeaseYielded, zap.Uint64("term", term))
	}
	return now - l.used, true
}

// Claim returns the term to tell others, 0 if the lease is not held, and
// whether it was renewed lately.
func (l *Lease) Claim() (term uint64, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.boot()
	if !l.held || now >= l.renewed+validFor {
		return 0, false
	}
	return l.record.Term, now < l.renewed+freshFor
}

func (l *Lease) run(ctx context.Context) {
	defer l.wg.Done()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callLimit)
		err := l.step(call)
		cancel()
		if err != nil && ctx.Err() == nil {
			l.log.Info(logs.LeaseStepFailed, logs.Err(err))
		}
		core.Sleep(ctx, l.clock, checkEvery/2+rand.N(checkEvery))
	}
}

func (l *Lease) step(ctx context.Context) error {
	may := l.may() // which may ask for the lease's state
	l.mu.Lock()
	now := l.boot()
	held, due := l.held, now >= l.renewed+renewEvery
	known := l.object.Version > 0
	waits := known && !may || !known && l.asked > 0 && now < l.asked+askEvery
	l.mu.Unlock()
	switch {
	case held && due:
		return l.renew(ctx)
	case held || l.rival.Fresh() || waits:
		return nil
	default:
		return l.tryTake(ctx)
	}
}

// renew extends the lease. A conflict shows that another daemon has it.
func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	next := l.record
	l.mu.Unlock()
	next.Count++
	err := l.write(ctx, next)
	if errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrOvertaken) || errors.Is(err, core.ErrNotFound) {
		l.mu.Lock()
		l.held = false
		l.mu.Unlock()
		l.log.Warn(logs.LeaseLost, zap.Uint64("term", next.Term))
	}
	return err
}

// write stores a record over the version held and takes in the outcome. The
// time that counts is that of the sending: the answer may be late.
func (l *Lease) write(ctx context.Context, next record) error {
	l.mu.Lock()
	object := l.object
	l.mu.Unlock()
	body, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "lease")
	}
	object.Kind, object.Name, object.Body = l.kind, l.name, body
	sent := l.boot()
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
	l.object, l.record, l.renewed = stored, next, sent
	return nil
}

// tryTake takes the lease if it is free, was this VM's own before a
// restart, or has stood unchanged for too long.
func (l *Lease) tryTake(ctx context.Context) error {
	l.mu.Lock()
	l.asked = l.boot()
	l.mu.Unlock()
	object, err := l.store.Get(ctx, l.kind, l.name)
	if errors.Is(err, core.ErrNotFound) {
		// All start for the first time: one is enough to create it.
		if !l.may() {
			return nil
		}
		core.Sleep(ctx, l.clock, rand.N(firstWait))
		if l.rival.Fresh() {
			return nil
		}
		return l.take(ctx, core.Object{}, record{}, 0)
	}
	if err != nil {
		return err
	}
	var was record
	if err := json.Unmarshal(object.Body, &was); err != nil {
		return eris.Wrap(core.ErrInvalid, "lease: "+err.Error())
	}
	now := l.boot()
	l.mu.Lock()
	if l.object.Version != object.Version {
		l.object, l.record, l.seen = object, was, now
	}
	stands := now - l.seen
	l.mu.Unlock()
	switch {
	case was.Holder == l.self:
		return l.take(ctx, object, was, 0)
	case was.Holder == "":
		return l.take(ctx, object, was, l.waitAfter(time.Duration(was.Idle)))
	case stands >= takeAfter:
		return l.take(ctx, object, was, l.waitAfter(stands-validFor))
	}
	if idle, ok := l.rival.AskYield(ctx, was.Term); ok {
		return l.take(ctx, object, was, l.waitAfter(idle))
	}
	return nil
}

// waitAfter is how long a new holder waits with its first order when the one
// before sent its last one at least idle ago.
func (l *Lease) waitAfter(idle time.Duration) time.Duration {
	return max(0, l.pause+orderMargin-idle)
}

// take stores a new term. The holder before may have sent an order up to now,
// so the first order of the new one waits.
func (l *Lease) take(ctx context.Context, object core.Object, was record, wait time.Duration) error {
	l.mu.Lock()
	l.object = object
	l.mu.Unlock()
	next := record{Holder: l.self, Term: was.Term + 1}
	err := l.write(ctx, next)
	if errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrExists) || errors.Is(err, core.ErrOvertaken) {
		return nil // another daemon was faster
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.held, l.actFrom = true, l.boot()+wait
	l.mu.Unlock()
	l.log.Info(logs.LeaseTaken, zap.Uint64("term", next.Term), zap.String("before", was.Holder), zap.Duration("wait", wait))
	return nil
}
