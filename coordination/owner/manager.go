// Package owner serves the endpoints that are assigned to this daemon: it queues and
// sends their requests, observes their state, and maintains their memory records.
package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/availability"
	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/state/answer"
	"primroseward/state/catalog"
	"primroseward/state/directory"
	"primroseward/state/ledger"
	"primroseward/state/tree"
)

const (
	assignInterval  = 250 * time.Millisecond
	observeInterval = 500 * time.Millisecond
	sweepInterval   = time.Second
	answerRetention = 30 * time.Second // for the answer of an ended attempt
	orphanTimeout   = 15 * time.Second // for an attempt without a reader
	defaultAnswers  = 64 << 20         // bytes of the answers of ended attempts
)

// AttemptRetention is how long an attempt's ID stays known after its end.
const AttemptRetention = 2 * time.Minute

// Connect creates the client of an endpoint.
type Connect func(id string, spec tree.Endpoint) core.Endpoint

// Sender sends reports to a daemon that keeps entries of the directory.
type Sender func(ctx context.Context, to core.Member, reports []directory.Report) error

// Finder looks up the runners that serve a key in the directory.
type Finder func(ctx context.Context, key string) []directory.Report

// Manager implements the owner role of a daemon.
type Manager struct {
	replica     *tree.Replica
	members     core.Members
	platform    core.Platform
	connect     Connect
	send        Sender
	find        Finder
	settingsAge func() time.Duration
	guard       core.Guard
	clock       core.Clock
	log         *zap.Logger
	scope       tally.Scope

	attempts attempts
	floors   floors
	weights  weightStore
	limits   *allowance.Limits
	// available keeps what endpoints announce of leaving and of backoffs.
	available  *availability.Table
	maxBackoff time.Duration

	mu      sync.Mutex
	runners map[string]*runner
	closing map[*runner]struct{}
	// The inputs of the last assignment; it is recomputed when one of them changes.
	assignedTree       *tree.Tree
	assignedGeneration uint64

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// Option configures a Manager.
type Option func(*Manager)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(m *Manager) { m.log = l } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(m *Manager) { m.scope = s } }

// WithSettingsAge sets the function that returns how long ago the settings were last confirmed;
// a negative age means never.
func WithSettingsAge(fn func() time.Duration) Option { return func(m *Manager) { m.settingsAge = fn } }

// WithMaxBackoff sets the longest backoff that is granted to an endpoint.
func WithMaxBackoff(d time.Duration) Option { return func(m *Manager) { m.maxBackoff = d } }

// WithAnswerLimit bounds the answers of ended attempts that are held for entries that lost their connection, in bytes.
func WithAnswerLimit(n int64) Option { return func(m *Manager) { m.attempts.limit = n } }

// WithGuard sets the quarantine guard, which receives the outcome of attempts and loads at
// their endpoints.
func WithGuard(g core.Guard) Option { return func(m *Manager) { m.guard = g } }

// WithDirectory sets the functions that send reports to the directory and look runners up
// in it.
func WithDirectory(s Sender, f Finder) Option {
	return func(m *Manager) { m.send, m.find = s, f }
}

// New creates a Manager; Start begins its work.
func New(replica *tree.Replica, members core.Members, platform core.Platform, connect Connect, clock core.Clock, opts ...Option) *Manager {
	m := &Manager{
		replica:     replica,
		members:     members,
		platform:    platform,
		connect:     connect,
		send:        func(context.Context, core.Member, []directory.Report) error { return nil },
		find:        func(context.Context, string) []directory.Report { return nil },
		settingsAge: func() time.Duration { return 0 },
		guard:       core.NoGuard{},
		clock:       clock,
		log:         zap.NewNop(),
		scope:       tally.NoopScope,
		attempts:    attempts{byID: map[string]*Attempt{}, limit: defaultAnswers},
		runners:     map[string]*runner{},
		closing:     map[*runner]struct{}{},
		maxBackoff:  core.DefaultMaxBackoff,
	}
	for _, o := range opts {
		o(m)
	}
	m.limits = allowance.NewLimits(clock, m.log, allowance.WithLimitsScope(m.scope))
	m.limits.UpdatePeers(1, 1, nil) // only the owner sends to a runner, so it has the whole limit
	m.available = availability.New(clock, catalog.New(clock), load.New(clock), m.limits, m.log, availability.WithScope(m.scope),
		availability.WithMaxBackoff(m.maxBackoff))
	m.floors = floors{platform: platform, log: m.log, ready: m.readyRunners}
	m.weights = weightStore{platform: platform, clock: clock, log: m.log}
	return m
}

// Start begins to assign, report and sweep in the background.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.wg.Add(3)
	go m.runAssign(ctx)
	go m.runReport(ctx)
	go m.runSweep(ctx)
}

// Stop closes all runners and waits until their running attempts have ended.
func (m *Manager) Stop() {
	m.stop()
	m.mu.Lock()
	for id := range m.runners {
		m.closeInBackground(id)
	}
	m.mu.Unlock()
	m.wg.Wait()
}

func (m *Manager) count(name string) { m.scope.Counter(name).Inc(1) }

func (m *Manager) spec(id string) (tree.Endpoint, bool) {
	t := m.replica.Tree()
	if t == nil {
		return tree.Endpoint{}, false
	}
	e, ok := t.Endpoints()[id]
	return e, ok
}

// Of returns the daemon that should own a runner: one in the runner's own data centre if
// there is any, else one of all members.
func Of(members core.Members, id, dataCentre string) (core.Member, bool) {
	if best := members.Rank("runner/"+id, dataCentre, 1); len(best) > 0 {
		return best[0], true
	}
	if best := members.Rank("runner/"+id, "", 1); len(best) > 0 {
		return best[0], true
	}
	return core.Member{}, false
}

// runAssign acquires and gives up runners as members and settings change.
func (m *Manager) runAssign(ctx context.Context) {
	defer m.wg.Done()
	for {
		m.assign()
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(assignInterval):
		}
	}
}

func (m *Manager) assign() {
	t := m.replica.Tree()
	if t == nil {
		return
	}
	self := m.members.Self().Name
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoints := t.Endpoints()
	generation := m.members.Generation()
	if t == m.assignedTree && generation == m.assignedGeneration {
		return
	}
	m.assignedTree, m.assignedGeneration = t, generation
	for id, r := range m.runners {
		spec, listed := endpoints[id]
		if !listed || spec.Addr != r.addr || !m.owns(self, id, spec) {
			m.closeInBackground(id)
		}
	}
	for id, spec := range endpoints {
		if m.runners[id] == nil && m.owns(self, id, spec) {
			m.runners[id] = newRunner(m, id, spec, m.connect(id, spec))
		}
	}
}

func (m *Manager) owns(self, id string, spec tree.Endpoint) bool {
	owner, ok := Of(m.members, id, spec.DataCentre)
	return ok && owner.Name == self
}

// closeInBackground gives up a runner and closes it in the background. The caller holds
// m.mu.
func (m *Manager) closeInBackground(id string) {
	r := m.runners[id]
	delete(m.runners, id)
	m.closing[r] = struct{}{}
	m.wg.Add(1)
	go m.closeRunner(r)
}

func (m *Manager) closeRunner(r *runner) {
	defer m.wg.Done()
	r.close()
	m.limits.Forget(r.id)
	m.available.Forget(r.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.closing, r)
}

// runSweep sweeps the attempts at a fixed interval.
func (m *Manager) runSweep(ctx context.Context) {
	defer m.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(sweepInterval):
			m.attempts.sweep(m.clock.Now(), answerRetention, AttemptRetention, orphanTimeout)
		}
	}
}

func (m *Manager) runner(id string) *runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runners[id]
}

func (m *Manager) ownedRunners() []*runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*runner, 0, len(m.runners))
	for _, r := range m.runners {
		out = append(out, r)
	}
	return out
}

// Dispatch starts an attempt, or joins the existing one if its ID is known.
func (m *Manager) Dispatch(ctx context.Context, req Request) *Attempt {
	attemptCtx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	a, registered := m.attempts.register(&Attempt{
		Request: req,
		Buffer:  answer.NewBuffer(),
		clock:   m.clock,
		ctx:     attemptCtx,
		cancel:  cancel,
		span:    trace.SpanContextFromContext(ctx),
	})
	if !registered {
		cancel()
		return a
	}
	r := m.runner(req.Runner)
	if r == nil {
		a.refuse(core.NotRun(http.StatusServiceUnavailable, "not_owner", "this daemon does not own the runner", minRetryAfter))
		return a
	}
	if !r.trySend(enqueue{a}) {
		a.refuse(core.NotRun(http.StatusServiceUnavailable, core.CodeOverloaded, "too many requests arrive at once", minRetryAfter))
	}
	return a
}

// Attempt returns the attempt with an ID, or ErrNotFound.
func (m *Manager) Attempt(id string) (*Attempt, error) {
	if a, ok := m.attempts.get(id); ok {
		return a, nil
	}
	return nil, core.ErrNotFound
}

// Cancel cancels an attempt. If it has not arrived yet, its ID is registered with a
// refused placeholder, which a late arrival joins. Cancel then returns true: the attempt
// is certain never to run.
func (m *Manager) Cancel(id string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	placeholder := &Attempt{Request: Request{AttemptID: id}, Buffer: answer.NewBuffer(), clock: m.clock, ctx: ctx, cancel: cancel}
	a, registered := m.attempts.register(placeholder)
	if registered {
		a.refuse(core.NotRun(http.StatusServiceUnavailable, "cancelled", "the attempt was cancelled before it arrived", 0))
		return true
	}
	cancel()
	a.cancel()
	return false
}

// Propose proposes a load or an eviction on an owned runner and waits for the decision.
func (m *Manager) Propose(ctx context.Context, id string, p Proposal) error {
	r := m.runner(id)
	if r == nil || r.ledger == nil {
		return core.ErrNotFound
	}
	return r.ledger.propose(ctx, p)
}

// Running returns how many attempts are in progress.
func (m *Manager) Running() int { return m.attempts.running() }

// Queued returns how many attempts wait in queues.
func (m *Manager) Queued() int {
	n := 0
	for _, r := range m.ownedRunners() {
		r.mu.Lock()
		n += r.report.Queued
		r.mu.Unlock()
	}
	return n
}

// View is the state of one runner that the planner needs.
type View struct {
	Runner      string
	Record      ledger.Record
	Report      directory.Report
	Capacity    int64
	Unreachable bool          // the endpoint does not answer
	RecordRead  bool          // its memory record has been read
	Cost        time.Duration // mean time that a request holds a slot
}

// Views returns the views of all runners owned by this daemon.
func (m *Manager) Views() []View {
	var out []View
	for _, r := range m.ownedRunners() {
		r.mu.Lock()
		v := View{Runner: r.id, Report: r.report, Unreachable: r.unreachable, Cost: r.meanCost}
		r.mu.Unlock()
		if r.ledger != nil {
			v.Record, v.RecordRead = r.ledger.snapshot()
			v.Capacity, _ = r.ledger.capacity()
		}
		out = append(out, v)
	}
	return out
}

// readyRunners returns the runners that serve a model, are not leaving, and are in a data
// centre that the settings allow for it.
func (m *Manager) readyRunners(ctx context.Context, model string) []string {
	t := m.replica.Tree()
	var out []string
	for _, r := range m.find(ctx, directory.ModelKey(model)) {
		selector := tree.Selector{Service: t.ServiceOf(model), Model: model, DataCentre: r.DataCentre}
		if _, ok := t.Allowed(selector); ok && !r.Leaving {
			out = append(out, r.Runner)
		}
	}
	return out
}
