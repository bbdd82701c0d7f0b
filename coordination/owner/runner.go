package owner

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/state/directory"
	"primroseward/state/queue"
	"primroseward/state/tree"
)

const (
	inboxSize        = 1024
	tickInterval     = 250 * time.Millisecond
	initialCost      = 500 * time.Millisecond // of a request, until one has ended
	costWeight       = 0.2                    // of the newest request in the mean
	unreachableAfter = 3                      // observations in a row
	minRetryAfter    = time.Second
)

// event is a message to a runner's loop.
type event interface{ apply(r *runner) }

// runner is one endpoint that this daemon owns. Its loop holds all of its
// state; other goroutines send it events through a bounded ring.
type runner struct {
	id       string
	addr     string
	kind     string // tree.KindModel or tree.KindPlain
	mgr      *Manager
	endpoint core.Endpoint
	ledger   *ledgerKeeper // nil for plain services
	inbox    chan event
	stop     context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup

	// Held by the loop.
	spec          tree.Endpoint
	queue         *queue.Queue
	running       map[string]*Attempt
	perModel      map[string]int
	cost          time.Duration
	ready         map[string]bool // models observed ready
	leaving       bool            // the endpoint says so itself
	misses        int
	everObserved  bool      // observed at least once
	observedStart time.Time // of the endpoint's life that was observed last
	released      bool

	inboxMu     sync.RWMutex // guards over
	inboxClosed bool         // the loop takes no more events

	mu          sync.Mutex // guards what follows
	report      directory.Report
	lastReport  directory.Report // to the directory, last
	unreachable bool
	instances   instanceTracker
	// meanCost is a copy of cost for readers outside the loop.
	meanCost time.Duration
}

func newRunner(mgr *Manager, id string, spec tree.Endpoint, ep core.Endpoint) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		id:        id,
		addr:      spec.Addr,
		kind:      spec.Kind,
		mgr:       mgr,
		endpoint:  ep,
		inbox:     make(chan event, inboxSize),
		ctx:       ctx,
		stop:      cancel,
		spec:      spec,
		queue:     queue.New(),
		running:   map[string]*Attempt{},
		perModel:  map[string]int{},
		cost:      initialCost,
		ready:     map[string]bool{},
		instances: instanceTracker{clock: mgr.clock, latest: instance{startedAt: mgr.clock.Now()}},
	}
	r.updateReport()
	if spec.Kind == tree.KindModel {
		r.ledger = newLedgerKeeper(r)
		r.wg.Add(1)
		go r.ledger.run(ctx)
	}
	r.wg.Add(2)
	go r.loop()
	go r.runObserve()
	return r
}

// trySend sends an event; false when the ring is full or the runner has ended. An
// event that were left in the ring of an ended loop would leave its caller
// waiting until its deadline.
func (r *runner) trySend(e event) bool {
	r.inboxMu.RLock()
	defer r.inboxMu.RUnlock()
	if r.inboxClosed {
		return false
	}
	select {
	case r.inbox <- e:
		return true
	default:
		return false
	}
}

// send sends an event that may not be dropped.
func (r *runner) send(e event) {
	select {
	case r.inbox <- e:
	case <-r.ctx.Done():
	}
}

func (r *runner) loop() {
	defer r.wg.Done()
	tick := r.mgr.clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			r.closeInbox()
			return
		case e := <-r.inbox:
			e.apply(r)
		case <-tick.Chan():
			r.tick()
		}
		r.updateReport()
	}
}

// closeInbox refuses what waits and what still came in.
func (r *runner) closeInbox() {
	r.inboxMu.Lock()
	r.inboxClosed = true
	r.inboxMu.Unlock()
	r.released = true
	for {
		select {
		case e := <-r.inbox:
			e.apply(r)
		default:
			r.refuseQueued("runner_released", "the runner has another owner now")
			return
		}
	}
}

// tick gives up requests whose time is over and starts what can start.
func (r *runner) tick() {
	if spec, ok := r.mgr.spec(r.id); ok {
		r.spec = spec
	}
	r.startWaiting()
}

// enqueue asks for a slot.
type enqueue struct{ attempt *Attempt }

func (e enqueue) apply(r *runner) {
	a := e.attempt
	if err := r.admit(a); err != nil {
		a.refuse(err)
		return
	}
	now := r.mgr.clock.Now()
	item := &queue.Item{ID: a.Attempt, Class: a.Class, Retry: a.Retry, Deadline: now.Add(r.targetLatency(a)), Cost: r.cost, Value: a}
	r.queue.Push(item, now)
	// A request whose deadline ends while it waits is answered then and there.
	a.stopDeadlineWatch = context.AfterFunc(a.ctx, func() { r.send(abandon{a}) })
	r.startWaiting()
}

// startWaiting starts waiting requests while there are slots.
func (r *runner) startWaiting() {
	for len(r.running) < max(1, r.spec.Slots) {
		item := r.queue.Pop(r.mgr.clock.Now())
		if item == nil {
			return
		}
		a := item.Value.(*Attempt)
		if err := r.checkSendable(a); err != nil {
			r.refuse(a, err)
			continue
		}
		if a.ctx.Err() != nil {
			r.refuse(a, errNotSentInTime())
			continue
		}
		r.start(a)
	}
}

func (r *runner) start(a *Attempt) {
	a.stopDeadlineWatch()
	t := r.mgr.replica.Tree()
	a.endpoint = r.endpoint
	a.stall = t.Effective(r.settingsCoord(a)).Stall
	a.startedAt = r.mgr.clock.Now()
	a.instance = r.instances.current()
	if !a.tookToken {
		r.mgr.limits.Charge(r.id) // was admitted before the endpoint named its limit
	}
	a.onResume = func() { r.mgr.limits.Charge(r.id) }
	a.onHeader = func(h http.Header) {
		r.mgr.limits.Answered(r.id, core.ReplyInfo{Stamped: true, Limit: core.ReadRateLimit(h.Values(core.HeaderLimit))})
	}
	r.running[a.Attempt] = a
	r.perModel[a.Model]++
	r.wg.Add(1)
	go a.run(r.mgr.guard, r.attemptEnded)
}

// attemptEnded is called by an attempt's own goroutine.
func (r *runner) attemptEnded(a *Attempt) {
	defer r.wg.Done()
	r.send(freeSlot{attempt: a, took: r.mgr.clock.Since(a.startedAt)})
}

// freeSlot frees a slot.
type freeSlot struct {
	attempt *Attempt
	took    time.Duration
}

func (e freeSlot) apply(r *runner) {
	delete(r.running, e.attempt.Attempt)
	r.perModel[e.attempt.Model]--
	if _, fail := e.attempt.Buffer.Done(); fail == nil {
		r.cost += time.Duration(costWeight * float64(e.took-r.cost))
		r.mgr.count("served")
	} else {
		r.mgr.count("failed")
	}
	r.startWaiting()
}

// abandon takes out a waiting request whose deadline is over or whose caller
// has gone.
type abandon struct{ attempt *Attempt }

func (e abandon) apply(r *runner) {
	if r.queue.Remove(e.attempt.Attempt) != nil {
		r.refuse(e.attempt, errNotSentInTime())
	}
}

func errNotSentInTime() *core.RequestError {
	return core.NotRun(http.StatusGatewayTimeout, "deadline", "the request's time ended before it was sent", minRetryAfter)
}

// observation is one answer, or none, to the question what the endpoint holds.
type observation struct {
	obs core.Observation
	err error
}

func (e observation) apply(r *runner) {
	if current := r.instances.current(); !current.startedAt.Equal(r.observedStart) {
		r.observedStart = current.startedAt
		r.mgr.limits.Forget(r.id) // was another process's
	}
	if e.err != nil {
		r.misses++
		if r.misses == unreachableAfter {
			r.mgr.log.Warn("endpoint does not answer", zap.String("runner", r.id), zap.Error(e.err))
			r.refuseQueued("runner_unreachable", "the endpoint does not answer")
		}
		return
	}
	r.misses = 0
	r.everObserved = true
	r.leaving = e.obs.Leaving
	clear(r.ready)
	for _, res := range e.obs.Residents {
		if res.Ready {
			r.ready[res.Model] = true
		}
	}
	if r.isLeaving() {
		r.refuseQueued("runner_leaving", "the endpoint takes no new work")
	}
	r.startWaiting()
}

// refuseQueued sends the waiting requests back so that their entries find another
// runner; what runs goes on.
func (r *runner) refuseQueued(code, message string) {
	for _, item := range r.queue.Drain() {
		r.refuse(item.Value.(*Attempt), core.NotRun(http.StatusServiceUnavailable, code, message, minRetryAfter))
	}
}

// releaseOwnership ends the runner's ownership: nothing new starts, what runs ends in
// its own time.
type releaseOwnership struct{}

func (releaseOwnership) apply(r *runner) {
	r.released = true
	r.refuseQueued("runner_released", "the runner has another owner now")
}

// countModel asks how many requests of a model run; the ledger waits for none before
// it orders an eviction.
type countModel struct {
	model string
	reply chan int
}

func (e countModel) apply(r *runner) { e.reply <- r.perModel[e.model] }

// runObserve asks the endpoint what it holds, again and again.
func (r *runner) runObserve() {
	defer r.wg.Done()
	for {
		requestedAt := r.mgr.clock.Now()
		obs, err := r.observe(r.ctx)
		if r.ctx.Err() != nil {
			return
		}
		if errors.Is(err, core.ErrNotFound) && r.kind == tree.KindPlain {
			err = nil // plain services need not report anything
		}
		r.send(observation{obs, err})
		if r.ledger != nil && err == nil {
			r.ledger.offerObservation(obs, requestedAt)
		}
		select {
		case <-r.ctx.Done():
			return
		case <-r.mgr.clock.After(observeInterval):
		}
	}
}

// updateReport makes the runner's report for the directory.
func (r *runner) updateReport() {
	rep := directory.Report{
		Runner:  r.id,
		Place:   r.spec.Place,
		Owner:   r.mgr.members.Self().Name,
		Slots:   r.spec.Slots,
		Running: len(r.running),
		Queued:  r.queue.Len(),
		Wait:    r.expectedWait(core.ClassNormal),
		Leaving: r.isLeaving(),
		At:      r.mgr.clock.Now(),
	}
	if r.spec.Kind == tree.KindPlain {
		rep.Service = r.spec.Service
	}
	for m := range r.ready {
		if r.serves(m) {
			rep.Models = append(rep.Models, m)
		}
	}
	slices.Sort(rep.Models)
	if !r.everObserved || r.misses >= unreachableAfter || r.released {
		rep.Models, rep.Service = nil, ""
	}
	r.mu.Lock()
	r.report = rep
	r.meanCost = r.cost
	r.unreachable = r.misses >= unreachableAfter
	r.mu.Unlock()
}

// reportIfDue returns the runner's report, and whether it should be given to the
// directory now: it has changed, or the last one given is a while old.
func (r *runner) reportIfDue() (directory.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.report
	previous := r.lastReport
	due := rep.At.Sub(previous.At) >= unchangedReportInterval || rep.Running != previous.Running || rep.Queued != previous.Queued ||
		rep.Leaving != previous.Leaving || !slices.Equal(rep.Models, previous.Models)
	if due {
		r.lastReport = rep
	}
	return rep, due
}

// close ends the runner after its running attempts.
func (r *runner) close() {
	r.send(releaseOwnership{})
	for {
		reply := make(chan int, 1)
		r.send(countRunning{reply})
		select {
		case n := <-reply:
			if n == 0 {
				r.stop()
				r.wg.Wait()
				return
			}
		case <-r.ctx.Done():
			return
		}
		<-r.mgr.clock.After(tickInterval)
	}
}

// countRunning asks how many attempts run.
type countRunning struct{ reply chan int }

func (e countRunning) apply(r *runner) { e.reply <- len(r.running) }
