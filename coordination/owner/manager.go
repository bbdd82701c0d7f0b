// Package owner serves the endpoints that fall to this daemon: it queues and
// sends their requests, watches them, and keeps their memory records.
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
	"primroseward/core"
	"primroseward/state/answer"
	"primroseward/state/directory"
	"primroseward/state/ledger"
	"primroseward/state/tree"
)

const (
	assignInterval          = 250 * time.Millisecond
	observeInterval         = 500 * time.Millisecond
	reportInterval          = 500 * time.Millisecond
	unchangedReportInterval = time.Second // of a report in which nothing is new
	sweepInterval           = time.Second
	answerRetention         = 30 * time.Second // of an ended attempt's answer
	orphanTimeout           = 15 * time.Second // of an attempt that nobody reads
)

// AttemptLife is how long an attempt's id stays known after its end.
const AttemptLife = 2 * time.Minute

// Connect makes the client of an endpoint.
type Connect func(id string, spec tree.Endpoint) core.Endpoint

// Sender gives reports to the directory's keepers.
type Sender func(ctx context.Context, to core.Member, reports []directory.Report) error

// Finder asks the directory who serves a key.
type Finder func(ctx context.Context, key string) []directory.Report

// Manager is the owner role of a daemon.
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

	mu      sync.Mutex
	runners map[string]*runner
	closing map[*runner]struct{}
	// What the latest assignment was made from; it holds until one changes.
	assignedTree       *tree.Tree
	assignedGeneration uint64

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// Option changes a Manager.
type Option func(*Manager)

// WithLogger sets the log.
func WithLogger(l *zap.Logger) Option { return func(m *Manager) { m.log = l } }

// WithScope sets where metrics go.
func WithScope(s tally.Scope) Option { return func(m *Manager) { m.scope = s } }

// WithFresh sets how old the confirmation of the settings is; negative: never
// confirmed.
func WithFresh(fn func() time.Duration) Option { return func(m *Manager) { m.settingsAge = fn } }

// WithGuard tells a guard how attempts end at their endpoints.
func WithGuard(g core.Guard) Option { return func(m *Manager) { m.guard = g } }

// WithDirectory sets how reports are given and found.
func WithDirectory(s Sender, f Finder) Option {
	return func(m *Manager) { m.send, m.find = s, f }
}

// New makes a Manager.
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
		attempts:    attempts{byID: map[string]*Attempt{}},
		runners:     map[string]*runner{},
		closing:     map[*runner]struct{}{},
	}
	for _, o := range opts {
		o(m)
	}
	m.limits = allowance.NewLimits(clock, m.log, allowance.WithLimitsScope(m.scope))
	m.limits.Heard(1, 1, nil) // nobody but the owner sends to a runner
	m.floors = floors{platform: platform, log: m.log, ready: m.readyRunners}
	m.weights = weightStore{platform: platform, clock: clock, log: m.log}
	return m
}

// Start begins to own.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.wg.Add(3)
	go m.runAssign(ctx)
	go m.runReport(ctx)
	go m.runSweep(ctx)
}

// Stop ends all runners after their running attempts.
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

// Of returns the daemon that should own a runner: one of the runner's own
// place while there is one.
func Of(members core.Members, id, place string) (core.Member, bool) {
	if best := members.Rank("runner/"+id, place, 1); len(best) > 0 {
		return best[0], true
	}
	if best := members.Rank("runner/"+id, "", 1); len(best) > 0 {
		return best[0], true
	}
	return core.Member{}, false
}

// runAssign takes and lets go of runners as members and settings change.
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
	owner, ok := Of(m.members, id, spec.Place)
	return ok && owner.Name == self
}

// closeInBackground ends a runner in the background; m.mu is held.
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
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.closing, r)
}

// runSweep forgets old attempts.
func (m *Manager) runSweep(ctx context.Context) {
	defer m.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(sweepInterval):
			m.attempts.sweep(m.clock.Now(), answerRetention, AttemptLife, orphanTimeout)
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

// Dispatch begins an attempt, or joins it if its id is known.
func (m *Manager) Dispatch(ctx context.Context, req Request) *Attempt {
	attemptCtx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	a, fresh := m.attempts.register(&Attempt{
		Request: req,
		Buffer:  answer.NewBuffer(),
		clock:   m.clock,
		ctx:     attemptCtx,
		cancel:  cancel,
		span:    trace.SpanContextFromContext(ctx),
	})
	if !fresh {
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

// Attempt finds an attempt by id.
func (m *Manager) Attempt(id string) (*Attempt, error) {
	if a, ok := m.attempts.get(id); ok {
		return a, nil
	}
	return nil, core.ErrNotFound
}

// Cancel ends an attempt. One that has not arrived is barred: its id is taken
// by a refused attempt, which a late arrival joins. It returns true if so, and
// the attempt then provably never runs.
func (m *Manager) Cancel(id string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	placeholder := &Attempt{Request: Request{Attempt: id}, Buffer: answer.NewBuffer(), clock: m.clock, ctx: ctx, cancel: cancel}
	a, registered := m.attempts.register(placeholder)
	if registered {
		a.refuse(core.NotRun(http.StatusServiceUnavailable, "cancelled", "the attempt was cancelled before it arrived", 0))
		return true
	}
	cancel()
	a.cancel()
	return false
}

// Propose asks for a change of what an owned runner holds.
func (m *Manager) Propose(ctx context.Context, id string, p Proposal) error {
	r := m.runner(id)
	if r == nil || r.ledger == nil {
		return core.ErrNotFound
	}
	return r.ledger.propose(ctx, p)
}

// Running returns how many attempts are in progress.
func (m *Manager) Running() int { return m.attempts.running() }

// Queued returns how many attempts wait.
func (m *Manager) Queued() int {
	n := 0
	for _, r := range m.ownedRunners() {
		r.mu.Lock()
		n += r.report.Queued
		r.mu.Unlock()
	}
	return n
}

// View is what the planner needs of one runner.
type View struct {
	Runner   string
	Record   ledger.Record
	Report   directory.Report
	Capacity int64
	Missing  bool // does not answer
	Known    bool // its record has been read
	Cost     time.Duration
}

// Views returns the runners owned here.
func (m *Manager) Views() []View {
	var out []View
	for _, r := range m.ownedRunners() {
		r.mu.Lock()
		v := View{Runner: r.id, Report: r.report, Missing: r.unreachable, Cost: r.meanCost}
		r.mu.Unlock()
		if r.ledger != nil {
			v.Record, v.Known = r.ledger.snapshot()
			v.Capacity, _ = r.ledger.capacity()
		}
		out = append(out, v)
	}
	return out
}

// readyRunners returns the runners that serve a model in places where it is
// allowed.
func (m *Manager) readyRunners(ctx context.Context, model string) []string {
	t := m.replica.Tree()
	var out []string
	for _, r := range m.find(ctx, directory.ModelKey(model)) {
		coord := tree.Coord{Service: t.ServiceOf(model), Model: model, Place: r.Place}
		if _, ok := t.Allowed(coord); ok && !r.Leaving {
			out = append(out, r.Runner)
		}
	}
	return out
}

// runReport gives the reports of owned runners to the daemons that keep the
// directory's entries for their models.
func (m *Manager) runReport(ctx context.Context) {
	defer m.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(reportInterval):
			m.sendReports(ctx)
		}
	}
}

func (m *Manager) sendReports(ctx context.Context) {
	batches := map[string][]directory.Report{}
	to := map[string]core.Member{}
	for _, r := range m.ownedRunners() {
		rep, due := r.reportIfDue()
		if !due {
			continue
		}
		for _, keeper := range Keepers(m.members, rep.Keys()) {
			batches[keeper.Name] = append(batches[keeper.Name], rep)
			to[keeper.Name] = keeper
		}
	}
	var wg sync.WaitGroup
	for name, batch := range batches {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := m.send(ctx, to[name], batch); err != nil {
				m.log.Debug("report failed", zap.String("member", name), zap.Error(err))
			}
		}()
	}
	wg.Wait()
}

// keepersPerKey is how many daemons keep each entry of the directory.
const keepersPerKey = 2

// KeepersOf returns the daemons that keep a key's entry.
func KeepersOf(members core.Members, key string) []core.Member {
	return members.Rank("dir/"+key, "", keepersPerKey)
}

// Keepers returns the daemons that keep any of the keys, each once.
func Keepers(members core.Members, keys []string) []core.Member {
	seen := map[string]bool{}
	var out []core.Member
	for _, key := range keys {
		for _, m := range KeepersOf(members, key) {
			if !seen[m.Name] {
				seen[m.Name] = true
				out = append(out, m)
			}
		}
	}
	return out
}
