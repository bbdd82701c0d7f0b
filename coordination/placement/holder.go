package placement

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/dispatch"
	"primroseward/coordination/load"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

const (
	planEvery = 200 * time.Millisecond
	// orderLimit is when an order counts as unanswered; a runner answers
	// within a few milliseconds and the way there.
	orderLimit  = 500 * time.Millisecond
	reportLimit = time.Second
	// reportLag is how old a runner's report may be: one that is asked for
	// sooner after a doubtful order may not show it.
	reportLag = 600 * time.Millisecond
	// maxComing is how many adapters may be on their way to one runner.
	maxComing = 4
	// confirmFirst and confirmEvery are when an adapter's order is repeated to
	// learn whether it is carried out: adapters take 5 to 10 ms.
	confirmFirst = 6 * time.Millisecond
	confirmEvery = 3 * time.Millisecond
	// modelEvery is how often an order for a model is repeated for that, from
	// modelShare of the time on that its load is said to take, in per cent. Asked
	// from the start, loads of four seconds were two thirds of all orders.
	modelEvery = 150 * time.Millisecond
	modelShare = 90
	// keepAdapter is how long an adapter that was asked for is not given up
	// for another one.
	keepAdapter = 300 * time.Millisecond
	// heatHalf is the half-life of what counts as demand: models fall silent
	// and rise within seconds.
	heatHalf = 2 * time.Second
	// retireLead is how long before the order for an unload the daemons are told
	// to send no more requests for the model there: those that arrive after the
	// order are rejected.
	retireLead = 30 * time.Millisecond
	// settleFor is how long no new runner must have come before placement goes by the
	// list while nothing is asked for. Of 12 to 18 runners that start together each is
	// listed within half a second of another, over two seconds; a heartbeat takes 1.2 s.
	settleFor = 1500 * time.Millisecond
	// loadBurst is how many loads from the weight store may begin at once, where its
	// rate brings no more between two plans. Three more than the rate are allowed in a
	// few seconds; one is left for a load that turns out to come from the store.
	loadBurst = 2
	// burstFor is the time whose loads by the weight store's rate may begin at once: a
	// plan and half of the next one. A store that takes 30 a second would otherwise get
	// ten, two in each plan.
	burstFor = 300 * time.Millisecond
	// termStart is how long a new holder waits for the daemons to tell what is
	// asked for before it plans.
	termStart = 600 * time.Millisecond
	inboxSize = 1024
)

// Orders sends orders to runners.
type Orders interface {
	Order(ctx context.Context, r *core.Runner, o core.RunnerOrder) (core.OrderResult, error)
	Report(ctx context.Context, r *core.Runner) (*core.Report, error)
}

// Lease tells whether this daemon may send orders.
type Lease interface {
	// Term returns the term in which orders may be sent now.
	Term() (uint64, bool)
	// Use is Term for an order that is sent at once.
	Use() (uint64, bool)
}

// Placed is the answer to a request for a model or adapter.
type Placed struct {
	Runner string        `json:"runner,omitempty"` // has it now
	Retry  time.Duration `json:"retry,omitempty"`  // when it may be there, if not now
}

// Holder sends the orders while it holds the lease. All its state belongs to
// one goroutine; others post functions to it.
type Holder struct {
	self    string
	catalog *catalog.Catalog
	loads   *load.Table
	orders  Orders
	lease   Lease
	clock   core.Clock
	log     *zap.Logger
	count   func(name string)
	tell    func(News)
	replica *tree.Replica // the operators' settings; nil: none are kept
	guard   Guard
	limited func(runner string) bool

	inbox    chan func()
	term     uint64
	hosts    map[string]*host
	heat     map[dispatch.Want]float64
	heatAt   time.Time
	begun    time.Time                     // of the term
	grown    time.Time                     // when a runner was last new
	prior    map[string]map[string]float64 // demand to expect before any is seen, by service
	waiting  map[dispatch.Want]*waiters
	storeAt  time.Time // since when tokens of the weight store are counted
	storeTok float64

	wg   sync.WaitGroup
	done chan struct{}
	stop context.CancelFunc
}

// New makes a Holder of the daemon self.
func New(self string, c *catalog.Catalog, loads *load.Table, orders Orders, lease Lease, clock core.Clock, log *zap.Logger, count func(string), tell func(News), opts ...Option) *Holder {
	h := &Holder{
		self: self, catalog: c, loads: loads, orders: orders, lease: lease, clock: clock, log: log, count: count, tell: tell,
		inbox: make(chan func(), inboxSize), hosts: map[string]*host{}, heat: map[dispatch.Want]float64{},
		waiting: map[dispatch.Want]*waiters{}, guard: core.NoGuard{}, limited: func(string) bool { return false },
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// SetSettings lets orders keep to the operators' settings tree, before Start.
func (h *Holder) SetSettings(r *tree.Replica) { h.replica = r }

// settings are those in force; nil where none say anything.
func (h *Holder) settings() *tree.Tree {
	if h.replica == nil {
		return nil
	}
	return h.replica.InForce()
}

// allowed says whether requests for a model of a service may be served in a
// place. A copy anywhere else is of no use to anybody.
func (h *Holder) allowed(service, model, place string) bool {
	t := h.settings()
	if t == nil {
		return true
	}
	_, ok := t.Allowed(tree.Coord{Service: service, Model: model, Place: place})
	return ok
}

// Start begins to work.
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

// Stop ends the work.
func (h *Holder) Stop() {
	h.stop()
	h.wg.Wait()
}

// postSure hands fn to the loop and waits for room: an order whose outcome was
// dropped would keep its runner from all further ones.
func (h *Holder) postSure(fn func()) {
	select {
	case h.inbox <- fn:
	case <-h.done:
	}
}

// post hands fn to the loop; it is dropped when the loop is far behind.
func (h *Holder) post(fn func()) {
	select {
	case h.inbox <- fn:
	default:
		h.log.Warn(logs.PlacementBehind)
		h.count("dropped")
	}
}

// Demand takes in what requests have asked for.
func (h *Holder) Demand(counts map[dispatch.Want]float64) {
	h.post(func() { h.addHeat(counts) })
}

// Place gets a model or adapter and calls answer once.
func (h *Holder) Place(w dispatch.Want, answer func(Placed)) {
	h.post(func() { h.place(w, answer) })
}

// Moves returns the loads and unloads of models that are under way.
func (h *Holder) Moves(ctx context.Context) ([]policy.Move, error) {
	ch := make(chan []policy.Move, 1)
	h.post(func() { ch <- h.underWay() })
	select {
	case out := <-ch:
		return out, nil
	case <-ctx.Done():
		return nil, eris.Wrap(core.ErrUnavailable, "placement is busy")
	}
}

func (h *Holder) underWay() []policy.Move {
	var out []policy.Move
	for id, one := range h.hosts {
		for model, it := range one.models {
			if it.phase != present {
				out = append(out, policy.Move{Runner: id, Model: model, Load: it.phase == loading})
			}
		}
	}
	return out
}

func (h *Holder) loop(ctx context.Context) {
	defer h.wg.Done()
	tick := h.clock.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-h.inbox:
			fn()
		case <-tick.Chan():
			h.plan()
		}
	}
}

// hold says whether orders may be sent now. In a new term nothing that was
// known in an earlier one counts: another holder may have ordered since.
func (h *Holder) hold() bool {
	term, ok := h.lease.Term()
	if !ok {
		return false
	}
	if term != h.term {
		h.log.Info(logs.TermBegins, zap.Uint64("term", term))
		h.term = term
		h.hosts = map[string]*host{}
		h.storeAt, h.storeTok = h.clock.Now(), 0
		h.begun, h.prior = h.clock.Now(), map[string]map[string]float64{}
	}
	return true
}

func (h *Holder) addHeat(counts map[dispatch.Want]float64) {
	h.cool()
	for w, n := range counts {
		h.heat[w] += n
		if w.Adapter == "" {
			continue
		}
		for _, one := range h.hosts {
			if a, ok := one.adapters[adapterKey{w.Model, w.Adapter}]; ok && one.runner.Service == w.Service {
				a.used = h.clock.Now()
			}
		}
	}
}

// cool lets old demand fade.
func (h *Holder) cool() {
	now := h.clock.Now()
	share := halved(now.Sub(h.heatAt), heatHalf)
	h.heatAt = now
	for w, v := range h.heat {
		if v *= share; v < 0.01 {
			delete(h.heat, w)
			continue
		}
		h.heat[w] = v
	}
}

// refresh takes in which runners there are, and asks those that are not known
// for a report.
func (h *Holder) refresh() {
	config := h.catalog.Config()
	if config == nil {
		return
	}
	all, now := h.catalog.All(), h.clock.Now()
	for id := range h.hosts {
		if all[id] == nil {
			delete(h.hosts, id)
		}
	}
	for id, e := range all {
		service := config.Services[e.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		one, ok := h.hosts[id]
		if !ok || !one.runner.Born.Equal(e.Born) {
			next := newHost(e.Runner, service.Engine)
			if ok {
				next.late = one.mayCome()
			} else {
				h.grown = now
			}
			one = next
			h.hosts[id] = one
		}
		one.runner, one.engine = e.Runner, service.Engine
		one.limited = h.limited(id)
		if down := h.loads.Down(id); down != one.down {
			one.down = down
			h.log.Info(logs.RunnerDown, zap.String("runner", id), zap.Bool("down", down), zap.Int("models", len(one.models)))
		}
		one.late = slices.DeleteFunc(one.late, func(o lateOrder) bool { return !now.Before(o.until) })
		h.sync(one)
	}
}

// sync asks a runner for its state, unless it is down. A runner that is at work on an
// order that is not known here is asked again: its memory can't be known.
func (h *Holder) sync(one *host) {
	if one.synced || one.asking || one.sending || one.down || h.clock.Now().Before(one.retryAt) {
		return
	}
	one.asking = true
	h.wg.Add(1)
	go h.runReport(one, one.runner, h.term)
}

func (h *Holder) runReport(one *host, r core.Runner, term uint64) {
	defer h.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	report, err := h.orders.Report(ctx, &r)
	h.postSure(func() { h.reported(term, one, report, err) })
}

func (h *Holder) reported(term uint64, one *host, report *core.Report, err error) {
	one.asking = false
	h.noteRefused(one, err)
	if term != h.term || h.hosts[one.runner.ID] != one {
		return
	}
	if err != nil || report.Busy {
		one.retryAt = h.clock.Now().Add(reportLag / 2)
		if err != nil {
			h.log.Info(logs.RunnerSilent, zap.String("runner", one.runner.ID), logs.Err(err))
		}
		return
	}
	one.take(report, h.clock.Now())
	h.log.Info(logs.RunnerKnown, zap.String("runner", one.runner.ID), zap.Uint64("sequence", one.sequence),
		zap.Int("models", len(one.models)), zap.Int("adapters", len(one.adapters)))
}

// noteRefused takes in that nothing listens at a runner's address.
func (h *Holder) noteRefused(one *host, err error) {
	if errors.Is(err, core.ErrNoListener) {
		h.loads.Refused(one.runner.ID)
	}
}

// plan sends the orders for models that the policy wants, and the adapters
// that could not be sent before.
func (h *Holder) plan() {
	if !h.hold() {
		return
	}
	h.refresh()
	h.cool()
	config := h.catalog.Config()
	if config == nil {
		return
	}
	for name, s := range config.Services {
		if s.Engine != nil && h.clock.Since(h.begun) >= termStart {
			h.planService(name, s.Engine)
		}
	}
	for w := range h.waiting {
		h.advance(w)
	}
}

// after posts fn in a while.
func (h *Holder) after(d time.Duration, fn func()) {
	h.clock.AfterFunc(d, func() { h.postSure(fn) })
}

// halved is what is left after t of something that halves every half.
func halved(t, half time.Duration) float64 {
	share := 1.0
	for ; t >= half; t -= half {
		share /= 2
		if share < 1e-6 {
			return 0
		}
	}
	return share * (1 - 0.5*float64(t)/float64(half))
}
