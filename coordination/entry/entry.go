// Package entry serves callers' requests. It finds a runner that the settings
// allow, sends the request to the runner's owner, and stores the answer, so that
// a caller whose connection broke can fetch it from any daemon.
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
	answerTTL      = 5 * time.Minute // of a finished answer
	maxAnswerBytes = 64 << 20        // of all finished answers together
	sweepInterval  = 5 * time.Second
	pointerDaemons = 2 // daemons that store which daemon accepted a request
	pointerTimeout = time.Second
	pointerTTL     = 15 * time.Minute
	// AddressTTL is how long a caller may use an address that Addresses returned.
	AddressTTL = 10 * time.Second
	// codeClaimUnavailable is the code of errors for requests with an idempotency
	// key while the platform is unavailable, and claimRetryAfter their retry delay.
	codeClaimUnavailable = "claim_unavailable"
	claimRetryAfter      = 2 * time.Second
)

// Entry is the entry role of a daemon: it accepts callers' requests.
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

	answers  *answer.Cache
	pointers *pointerTable
	locator  *locator
	limits   *limit.Table
	demand   *Demand
	budget   *route.RetryBudget
	health   *route.Health
	guard    core.Guard

	mu      sync.Mutex
	running map[string]context.CancelFunc // by answer key
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// Option configures an Entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(e *Entry) { e.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(e *Entry) { e.scope = s } }

// WithAnswerLimits sets how many bytes of finished answers are stored, and for how long.
func WithAnswerLimits(maxBytes int64, ttl time.Duration) Option {
	return func(e *Entry) { e.answers = answer.NewCache(e.clock, maxBytes, ttl) }
}

// WithGuard sets the guard that admits or refuses each attempt.
func WithGuard(g core.Guard) Option { return func(e *Entry) { e.guard = g } }

// New returns an Entry.
func New(replica *tree.Replica, members core.Members, dial peer.Dial, own *owner.Manager, dir *directory.Directory, claims *claim.Claims, clock core.Clock, opts ...Option) *Entry {
	e := &Entry{
		replica:  replica,
		members:  members,
		dial:     dial,
		owner:    own,
		dir:      dir,
		claims:   claims,
		clock:    clock,
		log:      zap.NewNop(),
		scope:    tally.NoopScope,
		answers:  answer.NewCache(clock, maxAnswerBytes, answerTTL),
		pointers: newPointerTable(clock, pointerTTL),
		limits:   limit.New(clock, func() int { return len(members.All()) }),
		demand:   NewDemand(clock),
		budget:   route.NewRetryBudget(),
		health:   route.NewHealth(clock),
		guard:    core.NoGuard{},
		running:  map[string]context.CancelFunc{},
	}
	e.locator = newLocator(e)
	for _, o := range opts {
		o(e)
	}
	return e
}

// Start starts the periodic removal of expired answers, pointers and cached
// lookups.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.wg.Add(1)
	go e.runSweep(ctx)
}

// Stop ends the periodic removal and waits for requests in progress.
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
		case <-e.clock.After(sweepInterval):
			e.answers.Trim()
			e.pointers.sweep()
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

// StoredBytes returns the size of the stored finished answers in bytes.
func (e *Entry) StoredBytes() int64 { return e.answers.Bytes() }

// Demand returns the demand measured by this entry.
func (e *Entry) Demand() *Demand { return e.demand }

// Tree returns the settings in force, or nil before there are any.
func (e *Entry) Tree() *tree.Tree { return e.replica.Tree() }

// Begin starts a request and returns the buffer that receives its answer. If a
// request with the same id or key is already stored here, Begin returns the
// buffer of that one.
func (e *Entry) Begin(ctx context.Context, a *Request) (*answer.Buffer, error) {
	t := e.replica.Tree()
	if t == nil {
		return nil, core.NotRun(http.StatusServiceUnavailable, "starting", "there are no settings yet", time.Second)
	}
	settings := t.Effective(a.selector(""))
	if int64(len(a.Body)) > settings.Body {
		return nil, core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "the request body exceeds the limit in the settings", 0)
	}
	held, created := e.answers.Begin(a.answerKey(), a.fingerprint())
	if !created {
		if held.Fingerprint != a.fingerprint() {
			return nil, keyReusedError()
		}
		e.count("joined")
		return held.Buffer, nil
	}
	a.Digest = a.digest()
	if retryAfter := e.guard.HoldRemaining(a.Digest); retryAfter > 0 && !a.MayReconnect {
		e.answers.Forget(held)
		return nil, core.HeldBack(0, retryAfter)
	}
	e.demand.Record(a.Model)
	release, err := e.limits.Enter(settings)
	if err != nil {
		e.answers.Forget(held)
		e.count("limited")
		return nil, err
	}
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	e.mu.Lock()
	e.running[a.answerKey()] = cancel
	e.mu.Unlock()
	e.wg.Add(1)
	go e.run(runCtx, a, held, release)
	return held.Buffer, nil
}

// keyReusedError returns the error for an id or key that belongs to a request
// with other content.
func keyReusedError() *core.RequestError {
	return core.NotRun(http.StatusUnprocessableEntity, "id_reused", "the request id or key was used for another request", 0)
}

// CallerDisconnected handles a caller that disconnects before its answer is complete. The
// request is cancelled if the caller cannot fetch the answer later. A request
// that is not repeatable runs to its end, since cancelling it could leave its
// work half done.
func (e *Entry) CallerDisconnected(a *Request) {
	if a.MayReconnect || !a.Repeatable {
		return
	}
	e.mu.Lock()
	cancel := e.running[a.answerKey()]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// run executes a request and ends its answer. release frees the slot that the
// request occupies under the concurrency limit.
func (e *Entry) run(ctx context.Context, a *Request, held *answer.Held, release func()) {
	defer e.wg.Done()
	defer release()
	defer e.finish(a, held)
	err := e.execute(ctx, a, held)
	if err != nil {
		held.Buffer.Fail(core.AsRequestError(err))
		return
	}
	held.Buffer.Finish()
}

// finish stores an answer that its caller may fetch again. A refusal is not
// stored, so that the caller can retry with the same id.
func (e *Entry) finish(a *Request, held *answer.Held) {
	e.mu.Lock()
	cancel := e.running[a.answerKey()]
	delete(e.running, a.answerKey())
	e.mu.Unlock()
	cancel()
	_, fail := held.Buffer.Done()
	switch {
	case fail == nil:
		e.count("answered")
	case fail.Outcome == core.OutcomeNotRun:
		e.count("not_run")
		e.answers.Forget(held)
		return
	default:
		e.count("may_have_run")
		if a.Repeatable {
			e.answers.Forget(held)
			return
		}
	}
	e.answers.MarkFinished(held)
}

// execute joins the request if another daemon has accepted it already. Otherwise
// it claims the key of a request that must run at most once, and runs it.
func (e *Entry) execute(ctx context.Context, a *Request, held *answer.Held) error {
	if a.MayReconnect {
		found, err := e.joinRemote(ctx, a, held)
		if found || err != nil {
			return err
		}
	}
	atMostOnce := !a.Repeatable && a.Key != ""
	if retryAfter := e.guard.HoldRemaining(a.Digest); retryAfter > 0 {
		if atMostOnce {
			return e.joinQuarantined(ctx, a, held, retryAfter)
		}
		return core.HeldBack(0, retryAfter)
	}
	e.sendPointers(a)
	if atMostOnce {
		return e.executeOnce(ctx, a, held)
	}
	return e.runAttempts(ctx, a, held)
}

// joinQuarantined answers a quarantined request that is not repeatable and has an
// idempotency key. If the key was used before, the request may have run, which
// only the claim on the platform shows.
// retryAfter is the time until the hold on the request expires.
func (e *Entry) joinQuarantined(ctx context.Context, a *Request, held *answer.Held, retryAfter time.Duration) error {
	body, err := e.claims.Find(ctx, a.answerKey())
	switch {
	case errors.Is(err, core.ErrNotFound):
		return core.HeldBack(0, retryAfter)
	case err != nil:
		unknown := core.MayHaveRun(codeClaimUnavailable, "the platform is unavailable, so it is unknown whether the key was used before")
		unknown.Retry = claimRetryAfter
		return unknown
	}
	return e.joinClaim(ctx, a, held, body)
}

// executeOnce runs a request that is not repeatable and has an idempotency key.
// The key is claimed on the platform before anything is sent. Another daemon that
// receives the same key at the same time, or after this daemon has failed, finds
// the claim and does not send the request.
func (e *Entry) executeOnce(ctx context.Context, a *Request, held *answer.Held) error {
	c, body, err := e.claims.Take(ctx, a.answerKey(), a.fingerprint())
	switch {
	case errors.Is(err, core.ErrExists):
		return e.joinClaim(ctx, a, held, body)
	case err != nil:
		return core.NotRun(http.StatusServiceUnavailable, codeClaimUnavailable, "the key cannot be recorded on the platform now", claimRetryAfter)
	}
	err = e.runAttempts(ctx, a, held)
	var re *core.RequestError
	if errors.As(err, &re) && re.Outcome == core.OutcomeNotRun {
		e.claims.Release(c)
	}
	return err
}

// joinClaim fetches the answer from the daemon that claimed the key.
func (e *Entry) joinClaim(ctx context.Context, a *Request, held *answer.Held, body claim.Body) error {
	if body.Fingerprint != a.fingerprint() {
		return keyReusedError()
	}
	unknown := core.MayHaveRun("already_claimed", "the key was used before and its answer is no longer held")
	unknown.Status = http.StatusConflict
	if body.Member == e.members.Self().Name {
		return unknown
	}
	err := e.fetchAnswer(ctx, body.Member, a.answerKey(), held)
	if errors.Is(err, core.ErrNotFound) || errors.Is(err, core.ErrGone) || errors.Is(err, core.ErrUnavailable) {
		return unknown
	}
	return err
}

// NewID returns a new request id.
func NewID() string { return uuid.NewString() }
