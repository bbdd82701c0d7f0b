// Package entry serves callers' requests: it finds a runner that the settings
// allow, sends the request to the runner's owner, and holds the answer so that
// a caller whose connection broke can come back for it at any daemon.
package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/claim"
	"primroseward/coordination/limit"
	"primroseward/coordination/owner"
	"primroseward/coordination/route"
	"primroseward/core"
	"primroseward/state/answer"
	"primroseward/state/directory"
	"primroseward/state/tree"
	"primroseward/transport/peer"
)

const (
	heldLife    = 5 * time.Minute
	heldLimit   = 64 << 20
	sweepEvery  = 5 * time.Second
	pointers    = 2
	pointTime   = time.Second
	pointerLife = 15 * time.Minute
	// AddressLife is how long a caller may use an address that it was given.
	AddressLife = 10 * time.Second
	// codeNoClaims is the code of answers to keyed requests while the platform is away,
	// and claimRetry when these may come back.
	codeNoClaims = "claim_unavailable"
	claimRetry   = 2 * time.Second
)

// Entry is the entry role of a daemon.
type Entry struct {
	replica *tree.Replica
	members core.Members
	dial    peer.Dial
	owner   *owner.Manager
	dir     *directory.Directory
	claims  *claim.Claims
	clock   core.Clock
	log     *zap.Logger
	scope   tally.Scope

	keep    *answer.Keep
	points  *points
	locator *locator
	limits  *limit.Table
	demand  *Demand
	budget  *route.Budget
	health  *route.Health
	guard   core.Guard

	mu      sync.Mutex
	running map[string]context.CancelFunc // by hold key
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// Option changes an Entry.
type Option func(*Entry)

// WithLogger sets the log.
func WithLogger(l *zap.Logger) Option { return func(e *Entry) { e.log = l } }

// WithScope sets where metrics go.
func WithScope(s tally.Scope) Option { return func(e *Entry) { e.scope = s } }

// WithHeld bounds the answers held after they ended.
func WithHeld(limit int64, life time.Duration) Option {
	return func(e *Entry) { e.keep = answer.NewKeep(e.clock, limit, life) }
}

// WithGuard asks a guard before each attempt.
func WithGuard(g core.Guard) Option { return func(e *Entry) { e.guard = g } }

// New makes an Entry.
func New(replica *tree.Replica, members core.Members, dial peer.Dial, own *owner.Manager, dir *directory.Directory, claims *claim.Claims, clock core.Clock, opts ...Option) *Entry {
	e := &Entry{
		replica: replica,
		members: members,
		dial:    dial,
		owner:   own,
		dir:     dir,
		claims:  claims,
		clock:   clock,
		log:     zap.NewNop(),
		scope:   tally.NoopScope,
		keep:    answer.NewKeep(clock, heldLimit, heldLife),
		points:  newPoints(clock, pointerLife),
		limits:  limit.New(clock, func() int { return len(members.All()) }),
		demand:  NewDemand(clock),
		budget:  route.NewBudget(),
		health:  route.NewHealth(clock),
		guard:   core.NoGuard{},
		running: map[string]context.CancelFunc{},
	}
	e.locator = newLocator(e)
	for _, o := range opts {
		o(e)
	}
	return e
}

// Start begins to sweep.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.wg.Add(1)
	go e.runSweep(ctx)
}

// Stop waits for requests in progress.
func (e *Entry) Stop() {
	e.stop()
	e.wg.Wait()
}

func (e *Entry) runSweep(ctx context.Context) {
	defer e.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.clock.After(sweepEvery):
			e.keep.Trim()
			e.points.sweep()
			e.locator.sweep()
		}
	}
}

func (e *Entry) count(name string) { e.scope.Counter(name).Inc(1) }

// Running returns how many requests are in progress.
func (e *Entry) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// HeldBytes returns the bytes of finished answers held.
func (e *Entry) HeldBytes() int64 { return e.keep.Bytes() }

// Demand returns the demand seen by this entry.
func (e *Entry) Demand() *Demand { return e.demand }

// Tree returns the settings in force, nil before there are any.
func (e *Entry) Tree() *tree.Tree { return e.replica.Tree() }

// Begin starts a request, or joins it if its id or key is known, and returns
// the buffer that its answer arrives in.
func (e *Entry) Begin(ctx context.Context, a *Ask) (*answer.Buffer, error) {
	t := e.replica.Tree()
	if t == nil {
		return nil, core.NotRun(http.StatusServiceUnavailable, "starting", "there are no settings yet", time.Second)
	}
	eff := t.Effective(a.coord(""))
	if int64(len(a.Body)) > eff.Body {
		return nil, core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit of the settings", 0)
	}
	held, fresh := e.keep.Begin(a.holdKey(), a.print())
	if !fresh {
		if held.Print != a.print() {
			return nil, mismatch()
		}
		e.count("joined")
		return held.Buffer, nil
	}
	a.Digest = a.digest()
	if left := e.guard.Held(a.Digest); left > 0 && !a.Returns {
		e.keep.Forget(held)
		return nil, core.HeldBack(0, left)
	}
	e.demand.Seen(a.Model)
	done, err := e.limits.Enter(eff)
	if err != nil {
		e.keep.Forget(held)
		e.count("limited")
		return nil, err
	}
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	e.mu.Lock()
	e.running[a.holdKey()] = cancel
	e.mu.Unlock()
	e.wg.Add(1)
	go e.run(own, a, held, done)
	return held.Buffer, nil
}

func mismatch() *core.RequestError {
	return core.NotRun(http.StatusUnprocessableEntity, "id_reused", "the request id or key was used for another request", 0)
}

// Leave tells that a caller has gone before the answer was whole. Work that it
// cannot come back for is stopped, unless it may not be repeated: that runs to
// its end, since stopping half-way would leave it half done.
func (e *Entry) Leave(a *Ask) {
	if a.Returns || !a.Repeat {
		return
	}
	e.mu.Lock()
	cancel := e.running[a.holdKey()]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// run carries a request to its end.
func (e *Entry) run(ctx context.Context, a *Ask, held *answer.Held, done func()) {
	defer e.wg.Done()
	defer done()
	defer e.finish(a, held)
	err := e.carry(ctx, a, held)
	if err != nil {
		held.Buffer.Fail(core.AsRequestError(err))
		return
	}
	held.Buffer.Finish()
}

// finish keeps what a caller may come back for. A refusal is not kept: the
// same id may be tried again.
func (e *Entry) finish(a *Ask, held *answer.Held) {
	e.mu.Lock()
	cancel := e.running[a.holdKey()]
	delete(e.running, a.holdKey())
	e.mu.Unlock()
	cancel()
	_, fail := held.Buffer.Done()
	switch {
	case fail == nil:
		e.count("answered")
	case fail.Outcome == core.OutcomeNotRun:
		e.count("not_run")
		e.keep.Forget(held)
		return
	default:
		e.count("may_have_run")
		if a.Repeat {
			e.keep.Forget(held)
			return
		}
	}
	e.keep.Finished(held)
}

// carry finds whether the request is known elsewhere, claims it if need be and
// runs it.
func (e *Entry) carry(ctx context.Context, a *Ask, held *answer.Held) error {
	if a.Returns {
		found, err := e.joinElsewhere(ctx, a, held)
		if found || err != nil {
			return err
		}
	}
	once := !a.Repeat && a.Key != ""
	if left := e.guard.Held(a.Digest); left > 0 {
		if once {
			return e.joinHeldBack(ctx, a, held, left)
		}
		return core.HeldBack(0, left)
	}
	e.point(a)
	if once {
		return e.carryOnce(ctx, a, held)
	}
	return e.attempts(ctx, a, held)
}

// joinHeldBack answers a keyed request that is held back: where its key was used before
// it may have run, and only the claim tells.
func (e *Entry) joinHeldBack(ctx context.Context, a *Ask, held *answer.Held, left time.Duration) error {
	body, err := e.claims.Find(ctx, a.holdKey())
	switch {
	case errors.Is(err, core.ErrNotFound):
		return core.HeldBack(0, left)
	case err != nil:
		unknown := core.MayHaveRun(codeNoClaims, "the platform cannot tell now whether the key was used before")
		unknown.Retry = claimRetry
		return unknown
	}
	return e.joinClaim(ctx, a, held, body)
}

// carryOnce runs a keyed request that may not be repeated. The claim comes
// before anything is sent, so a second daemon that is given the same key at
// the same time, or after this one died, finds it and never sends.
func (e *Entry) carryOnce(ctx context.Context, a *Ask, held *answer.Held) error {
	c, body, err := e.claims.Take(ctx, a.holdKey(), a.print())
	switch {
	case errors.Is(err, core.ErrExists):
		return e.joinClaim(ctx, a, held, body)
	case err != nil:
		return core.NotRun(http.StatusServiceUnavailable, codeNoClaims, "the platform cannot record the key now", claimRetry)
	}
	err = e.attempts(ctx, a, held)
	var re *core.RequestError
	if errors.As(err, &re) && re.Outcome == core.OutcomeNotRun {
		e.claims.GiveBack(c)
	}
	return err
}

// joinClaim reads the answer from the daemon that claimed the key.
func (e *Entry) joinClaim(ctx context.Context, a *Ask, held *answer.Held, body claim.Body) error {
	if body.Print != a.print() {
		return mismatch()
	}
	unknown := core.MayHaveRun("already_claimed", "the key was used before and its answer is no longer held")
	unknown.Status = http.StatusConflict
	if body.Member == e.members.Self().Name {
		return unknown
	}
	err := e.fetchInto(ctx, body.Member, a.holdKey(), held)
	if errors.Is(err, core.ErrNotFound) || errors.Is(err, core.ErrGone) || errors.Is(err, core.ErrUnavailable) {
		return unknown
	}
	return err
}

// NewID makes a request id.
func NewID() string { return uuid.NewString() }
