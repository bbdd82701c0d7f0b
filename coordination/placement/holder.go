package placement

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/availability"
	"primroseward/coordination/dispatch"
	"primroseward/coordination/load"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

const (
	planInterval = 200 * time.Millisecond
	// orderTimeout is when an order counts as unanswered. A runner answers within a
	// few milliseconds plus the network round trip.
	orderTimeout  = 500 * time.Millisecond
	reportTimeout = time.Second
	// reportLag bounds the age of the state in a runner's report. A report requested
	// sooner than this after an order with an unknown outcome may not show the order.
	reportLag = 600 * time.Millisecond
	// maxAdaptersLoading limits the adapters that one runner loads at the same time.
	maxAdaptersLoading = 4
	// firstConfirmDelay and confirmInterval are the times after which an adapter's
	// order is sent again to find out whether it has been carried out. Adapters take
	// 5 to 10 ms to load.
	firstConfirmDelay = 6 * time.Millisecond
	confirmInterval   = 3 * time.Millisecond
	// modelConfirmInterval is the interval at which an order for a model is sent
	// again for the same purpose. For a load this begins after modelConfirmPercent % of
	// the configured load time. If it began at once, orders for loads of four
	// seconds would make up two thirds of all orders.
	modelConfirmInterval = 150 * time.Millisecond
	modelConfirmPercent  = 90
	// minAdapterIdle is how long after its last request the only replica of an
	// adapter is kept from being unloaded in favour of another adapter.
	minAdapterIdle = 300 * time.Millisecond
	// demandHalfLife is the half-life of the demand counts. Demand for a model starts
	// and stops within seconds.
	demandHalfLife = 2 * time.Second
	// minDemand is the demand below which a count is dropped.
	minDemand = 0.01
	// unloadNotice is the time between the notice to all daemons that a model is about
	// to be unloaded from a runner and the order to unload it. The runner rejects
	// requests for the model that arrive after the order.
	unloadNotice = 30 * time.Millisecond
	// settleTime is how long no new runner must have been listed before models are
	// placed while there is no demand. Of 12 to 18 runners that start together, each is
	// listed within half a second of another, over two seconds in total. A heartbeat
	// takes 1.2 s.
	settleTime = 1500 * time.Millisecond
	// minLoadBurst is how many loads from the weight store may start at once when its
	// rate allows fewer between two plans. The weight store accepts up to three loads
	// above its rate within a few seconds. One of them is left for a load that was
	// expected to use a local copy and comes from the store.
	minLoadBurst = 2
	// loadBurstWindow is the time for which loads at the weight store's rate may start
	// at once: one plan interval and half of the next one. Without it, a store that
	// takes 30 loads a second would get ten, two in each plan.
	loadBurstWindow = 300 * time.Millisecond
	// termStartDelay is how long a new holder collects the demand from the daemons
	// before it plans.
	termStartDelay = 600 * time.Millisecond
	inboxSize      = 1024
)

// RunnerClient sends orders to runners and fetches their reports.
type RunnerClient interface {
	Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error)
	Report(ctx context.Context, r *core.Runner) (*core.Report, error)
}

// Lease reports whether this daemon may send orders.
type Lease interface {
	// Term returns the term in which orders may be sent now, and whether they may.
	Term() (uint64, bool)
	// Use does the same for an order that is sent immediately.
	Use() (uint64, bool)
}

// PlaceResult is the result of a request for a model or an adapter.
type PlaceResult struct {
	Runner string        `json:"runner,omitempty"` // runner that has it now; empty if there is none
	Retry  time.Duration `json:"retry,omitempty"`  // if there is none: when to try again
	// Expected is set if Retry is when the first replica of the model is expected to serve. Answers of daemons that do
	// not hold the lease, and of older ones, do not have it.
	Expected bool `json:"expected,omitempty"`
}

// Holder sends orders to the runners while this daemon holds the lease. All its
// state is accessed by one goroutine only; other goroutines post functions to it.
type Holder struct {
	self         string
	catalog      *catalog.Catalog
	loads        *load.Table
	runnerClient RunnerClient
	lease        Lease
	clock        core.Clock
	log          *zap.Logger
	count        func(name string) // increments the metric "placement_" + name
	broadcast    func(HoldingUpdate)
	settings     *tree.Replica // the operators' settings tree; nil if there is none
	guard        Guard
	available    *availability.Table
	balance      func() core.Balance
	scope        tally.Scope

	inbox         chan func()
	config        *core.Config // the last one applied; nil if there was none
	term          uint64
	runners       map[string]*runnerState
	demand        map[dispatch.PlacementKey]float64
	decayedAt     time.Time
	termBegan     time.Time                     // start of the current term
	lastNewRunner time.Time                     // when a runner was last added to the list
	priorDemand   map[string]map[string]float64 // by service: demand assumed before any is measured
	uses          map[modelKey]*modelUse
	waiting       map[dispatch.PlacementKey]*waiters
	waitingModel  map[dispatch.PlacementKey]*waiters
	usesAt        time.Time       // when a daemon last stated uses
	usesSince     time.Time       // since when daemons have done so without a gap
	reported      map[string]bool // services whose plan is in the metrics
	storeTokensAt time.Time       // when storeTokens was last updated
	storeTokens   float64         // loads from the weight store that may start now

	wg   sync.WaitGroup
	done chan struct{}
	stop context.CancelFunc
}

// New returns a Holder for the daemon named self.
func New(self string, c *catalog.Catalog, loads *load.Table, client RunnerClient, lease Lease, clock core.Clock, log *zap.Logger, count func(string), broadcast func(HoldingUpdate), opts ...Option) *Holder {
	h := &Holder{
		self: self, catalog: c, loads: loads, runnerClient: client, lease: lease, clock: clock, log: log, count: count, broadcast: broadcast,
		inbox: make(chan func(), inboxSize), runners: map[string]*runnerState{}, demand: map[dispatch.PlacementKey]float64{},
		waiting: map[dispatch.PlacementKey]*waiters{}, guard: core.NoGuard{},
		uses: map[modelKey]*modelUse{}, waitingModel: map[dispatch.PlacementKey]*waiters{}, reported: map[string]bool{},
		balance: func() core.Balance { return core.BalanceOff }, scope: tally.NoopScope,
	}
	for _, opt := range opts {
		opt(h)
	}
	if h.available == nil {
		h.available = availability.New(clock, c, loads, allowance.NewLimits(clock, log), log)
	}
	return h
}

// SetSettings makes orders follow the operators' settings tree. It must be called
// before Start.
func (h *Holder) SetSettings(r *tree.Replica) { h.settings = r }

// settingsInForce returns the settings in force, or nil if there are none.
func (h *Holder) settingsInForce() *tree.Tree {
	if h.settings == nil {
		return nil
	}
	return h.settings.InForce()
}

// allowed reports whether requests for a model of a service may be served in a
// data centre. A replica in any other data centre would never be used.
func (h *Holder) allowed(service, model, dataCentre string) bool {
	t := h.settingsInForce()
	if t == nil {
		return true
	}
	_, ok := t.Allowed(tree.Selector{Service: service, Model: model, DataCentre: dataCentre})
	return ok
}

// Start starts the Holder's goroutine.
func (h *Holder) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.done = make(chan struct{})
	h.stop = func() {
		cancel()
		close(h.done)
	}
	h.wg.Add(1)
	go h.loop(ctx)
}

// Stop stops the Holder and waits for its goroutines.
func (h *Holder) Stop() {
	h.stop()
	h.wg.Wait()
}

// postBlocking passes fn to the loop and waits while the inbox is full. If the result
// of an order were dropped, no further orders would be sent to its runner.
func (h *Holder) postBlocking(fn func()) {
	select {
	case h.inbox <- fn:
	case <-h.done:
	}
}

// post passes fn to the loop. If the inbox is full, fn is dropped.
func (h *Holder) post(fn func()) {
	select {
	case h.inbox <- fn:
	default:
		h.log.Warn(logs.PlacementBehind)
		h.count("dropped")
	}
}

// AddDemand adds the requests counted by a daemon to the demand.
func (h *Holder) AddDemand(counts map[dispatch.PlacementKey]float64) {
	h.post(func() { h.addDemand(counts) })
}

// Place finds a runner for a model or adapter, has it loaded if necessary, and calls
// answer once.
func (h *Holder) Place(w dispatch.PlacementKey, answer func(PlaceResult)) {
	h.post(func() { h.place(w, answer) })
}

// Moves returns the loads and unloads of models that are in progress.
func (h *Holder) Moves(ctx context.Context) ([]policy.Move, error) {
	ch := make(chan []policy.Move, 1)
	h.post(func() { ch <- h.movesInProgress() })
	select {
	case out := <-ch:
		return out, nil
	case <-ctx.Done():
		return nil, eris.Wrap(core.ErrUnavailable, "the holder of the lease of orders is busy")
	}
}

func (h *Holder) movesInProgress() []policy.Move {
	var out []policy.Move
	for id, rs := range h.runners {
		for model, item := range rs.models {
			if item.phase != present {
				out = append(out, policy.Move{Runner: id, Model: model, Load: item.phase == loading})
			}
		}
	}
	return out
}

func (h *Holder) loop(ctx context.Context) {
	defer h.wg.Done()
	tick := h.clock.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-h.inbox:
			h.step(fn)
		case <-tick.Chan():
			h.step(h.plan)
		}
	}
}

// ensureTerm reports whether orders may be sent now. At the start of a new term it
// discards the state from earlier terms, since another holder may have sent orders in
// between.
func (h *Holder) ensureTerm() bool {
	term, ok := h.lease.Term()
	if !ok {
		return false
	}
	if term != h.term {
		h.log.Info(logs.TermStarted, zap.Uint64("term", term))
		h.term = term
		h.runners = map[string]*runnerState{}
		h.storeTokensAt, h.storeTokens = h.clock.Now(), 0
		h.termBegan, h.priorDemand = h.clock.Now(), map[string]map[string]float64{}
	}
	return true
}

func (h *Holder) addDemand(counts map[dispatch.PlacementKey]float64) {
	h.decayDemand()
	for w, n := range counts {
		h.demand[w] += n
		if w.Adapter == "" {
			continue
		}
		for _, rs := range h.runners {
			if a, ok := rs.adapters[adapterKey{w.Model, w.Adapter}]; ok && rs.runner.Service == w.Service {
				a.lastUsed = h.clock.Now()
			}
		}
	}
}

// decayDemand reduces the demand counts by the time since the last call.
func (h *Holder) decayDemand() {
	now := h.clock.Now()
	passed := now.Sub(h.decayedAt)
	share := halfLifeDecay(passed, demandHalfLife)
	h.decayedAt = now
	h.decayUses(passed, share)
	for w, v := range h.demand {
		if v *= share; v < minDemand {
			delete(h.demand, w)
			continue
		}
		h.demand[w] = v
	}
}

// refreshRunners updates the list of runners from the catalog and requests a report
// from each runner whose state is unknown.
func (h *Holder) refreshRunners() {
	config := h.catalog.Config()
	if config == nil {
		return
	}
	all, now := h.catalog.All(), h.clock.Now()
	for id := range h.runners {
		if all[id] == nil {
			delete(h.runners, id)
		}
	}
	for id, e := range all {
		service := config.Services[e.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		rs, ok := h.runners[id]
		if !ok || !rs.runner.StartedAt.Equal(e.StartedAt) {
			next := newRunnerState(e.Runner, service.Engine)
			if ok {
				next.formerUnanswered = rs.ordersForNextInstance()
			} else {
				h.lastNewRunner = now
			}
			rs = next
			h.runners[id] = rs
		}
		rs.runner, rs.engine = e.Runner, service.Engine
		s := h.available.State(e)
		rs.leaving, rs.backedOff, rs.limited = s.Leaving, s.BackedOff, s.Limited
		// What only peers report is verified: one that has lost its path takes all runners for down.
		// One that does not answer this daemon alone goes on serving the others.
		down := s.Load.Down && !s.Load.Reported && !s.Load.Unanswering
		if s.Load.Reported && h.loads.Verify(id) {
			h.verify(rs)
		}
		if down != rs.down {
			rs.down = down
			h.log.Info(logs.RunnerDown, zap.String("runner", id), zap.Bool("down", down), zap.Int("models", len(rs.models)), zap.Stringer("evidence", h.loads.Evidence(id)))
		}
		rs.formerUnanswered = slices.DeleteFunc(rs.formerUnanswered, func(o unansweredLoad) bool { return !now.Before(o.expiresAt) })
		h.requestReport(rs)
	}
}

// requestReport requests a runner's state unless it is down or backed off. If the runner is executing
// an order that this holder did not send, its memory use is unknown and the report is
// requested again later.
func (h *Holder) requestReport(rs *runnerState) {
	if rs.synced || rs.reportPending || rs.orderPending || rs.down || rs.backedOff || h.clock.Now().Before(rs.reportAfter) {
		return
	}
	rs.reportPending = true
	h.wg.Add(1)
	go h.fetchReport(rs, rs.runner, h.term)
}

// verify requests a runner's state only to find out whether anything listens there.
func (h *Holder) verify(rs *runnerState) {
	if rs.backedOff {
		return
	}
	h.wg.Add(1)
	go h.runVerify(rs, rs.runner)
}

func (h *Holder) runVerify(rs *runnerState, r core.Runner) {
	defer h.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, err := h.runnerClient.Report(ctx, &r)
	h.postBlocking(func() { h.noteNoListener(rs, err) })
}

func (h *Holder) fetchReport(rs *runnerState, r core.Runner, term uint64) {
	defer h.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := h.runnerClient.Report(ctx, &r)
	h.postBlocking(func() { h.handleReport(term, rs, report, err) })
}

func (h *Holder) handleReport(term uint64, rs *runnerState, report *core.Report, err error) {
	rs.reportPending = false
	h.noteNoListener(rs, err)
	if term != h.term || h.runners[rs.runner.ID] != rs {
		return
	}
	if err != nil || report.Busy {
		rs.reportAfter = h.clock.Now().Add(reportLag / 2)
		if err != nil {
			h.log.Info(logs.RunnerUnresponsive, zap.String("runner", rs.runner.ID), logs.Err(err))
		}
		return
	}
	rs.applyReport(report, h.clock.Now())
	h.log.Info(logs.RunnerReported, zap.String("runner", rs.runner.ID), zap.Uint64("sequence", rs.sequence),
		zap.Int("models", len(rs.models)), zap.Int("adapters", len(rs.adapters)))
}

// noteNoListener records that nothing listens at a runner's address.
func (h *Holder) noteNoListener(rs *runnerState, err error) {
	if errors.Is(err, core.ErrNoListener) {
		h.loads.ConnectionRefused(rs.runner.ID)
	}
}

// plan sends the orders for models that the policy decides on and retries the
// adapters that are still waited for.
func (h *Holder) plan() {
	if !h.ensureTerm() {
		h.endTerm()
		return
	}
	h.refreshRunners()
	h.decayDemand()
	config := h.catalog.Config()
	if config == nil {
		return
	}
	for name, s := range config.Services {
		if s.Engine != nil && h.clock.Since(h.termBegan) >= termStartDelay {
			h.planService(name, s.Engine)
		}
	}
	for w := range h.waiting {
		h.advanceAdapter(w)
	}
	h.answerModelWaiters()
}

// postAfter posts fn to the loop after d.
func (h *Holder) postAfter(d time.Duration, fn func()) {
	h.clock.AfterFunc(d, func() { h.postBlocking(fn) })
}

// halfLifeDecay returns the share that is left after t of a quantity with the given
// half-life.
func halfLifeDecay(t, half time.Duration) float64 {
	share := 1.0
	for ; t >= half; t -= half {
		share /= 2
		if share < 1e-6 {
			return 0
		}
	}
	return share * (1 - 0.5*float64(t)/float64(half))
}
