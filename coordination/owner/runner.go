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
	initialCost      = 500 * time.Millisecond // assumed mean until a request has ended
	costWeight       = 0.2                    // weight of the newest request in the moving mean
	unreachableAfter = 3                      // misses
	minRetryAfter    = time.Second
)

// event is a message to a runner's loop.
type event interface{ apply(r *runner) }

// runner is an endpoint that this daemon owns. Its state belongs to its loop; other
// goroutines send the loop events through a bounded channel.
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

	// Used only by the loop.
	spec          tree.Endpoint
	queue         *queue.Queue
	running       map[string]*Attempt
	perModel      map[string]int  // running requests by model
	cost          time.Duration   // moving mean of the time that a request holds a slot
	ready         map[string]bool // models that the last observation reported as ready
	leaving       bool            // reported by the endpoint itself
	misses        int             // consecutive failed observations
	everObserved  bool            // at least one observation succeeded
	observedStart time.Time       // start of the instance that was observed last
	released      bool

	inboxMu     sync.RWMutex // guards inboxClosed
	inboxClosed bool         // the loop takes no more events

	mu          sync.Mutex // guards what follows
	report      directory.Report
	lastReport  directory.Report // last report sent to the directory
	unreachable bool
	instances   instanceTracker
	// meanCost is a copy of cost for other goroutines.
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

// trySend sends an event. It returns false if the channel is full or the loop has ended,
// because the sender of an event left in the channel of an ended loop would wait until its
// deadline.
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

// send sends an event that must not be dropped. It blocks while the channel is full, until
// the runner is stopped.
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

// closeInbox closes the inbox, processes the events that are still in it, in which new
// attempts are refused, and refuses all queued requests.
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
			r.refuseQueued("runner_released", "this daemon no longer owns the runner", minRetryAfter)
			return
		}
	}
}

// tick reads the endpoint's settings again and starts the queued requests for which there
// are slots.
func (r *runner) tick() {
	if spec, ok := r.mgr.spec(r.id); ok {
		r.spec = spec
	}
	r.startWaiting()
}

// enqueue submits an attempt to the queue, after admission.
type enqueue struct{ attempt *Attempt }

func (e enqueue) apply(r *runner) {
	a := e.attempt
	if err := r.admit(a); err != nil {
		a.refuse(err)
		return
	}
	now := r.mgr.clock.Now()
	item := &queue.Item{ID: a.AttemptID, Class: a.Class, Retry: a.Retry, Deadline: now.Add(r.targetLatency(a)), Cost: r.cost, Value: a}
	r.queue.Push(item, now)
	// A request whose deadline passes in the queue is answered immediately.
	a.stopDeadlineWatch = context.AfterFunc(a.ctx, func() { r.send(abandon{a}) })
	r.startWaiting()
}

// startWaiting starts queued requests while there are free slots.
func (r *runner) startWaiting() {
	for len(r.running) < max(1, r.spec.Slots) && r.queue.Len() > 0 {
		ok, probe := r.mgr.available.Admit(r.id)
		if !ok {
			return
		}
		a := r.queue.Pop(r.mgr.clock.Now()).Value.(*Attempt)
		a.probe = probe
		err := r.checkSendable(a)
		if err == nil && a.ctx.Err() != nil {
			err = errNotSentInTime()
		}
		if err != nil {
			r.endProbe(a, false)
			r.refuse(a, err)
			continue
		}
		r.start(a)
	}
}

func (r *runner) start(a *Attempt) {
	a.stopDeadlineWatch()
	t := r.mgr.replica.Tree()
	a.endpoint = r.endpoint
	a.stall = t.Effective(r.settingsCoord(a)).StallTimeout
	a.startedAt = r.mgr.clock.Now()
	a.instance = r.instances.current()
	if !a.tookToken {
		r.mgr.limits.Charge(r.id) // admitted before the endpoint published its limit
	}
	a.onResume = func() { r.mgr.limits.Charge(r.id) }
	a.onAnswer = func(status int, h http.Header) *core.RequestError { return r.observeAnswer(a, status, h) }
	r.running[a.AttemptID] = a
	r.perModel[a.Model]++
	r.wg.Add(1)
	go a.run(r.mgr.guard, r.attemptEnded)
}

// attemptEnded is called from the attempt's own goroutine.
func (r *runner) attemptEnded(a *Attempt) {
	defer r.wg.Done()
	r.mgr.attempts.end(a)
	r.endProbe(a, false)
	r.send(freeSlot{attempt: a, took: r.mgr.clock.Since(a.startedAt)})
}

// freeSlot frees the slot of an attempt that has ended.
type freeSlot struct {
	attempt *Attempt
	took    time.Duration
}

func (e freeSlot) apply(r *runner) {
	delete(r.running, e.attempt.AttemptID)
	r.perModel[e.attempt.Model]--
	if _, fail := e.attempt.Buffer.Done(); fail == nil {
		r.cost += time.Duration(costWeight * float64(e.took-r.cost))
		r.mgr.count("served")
	} else {
		r.mgr.count("failed")
	}
	r.startWaiting()
}

// abandon removes a queued request whose deadline has passed or whose caller has
// disconnected.
type abandon struct{ attempt *Attempt }

func (e abandon) apply(r *runner) {
	if r.queue.Remove(e.attempt.AttemptID) != nil {
		r.refuse(e.attempt, errNotSentInTime())
	}
}

func errNotSentInTime() *core.RequestError {
	return core.NotRun(http.StatusGatewayTimeout, "deadline", "the request was not sent before its deadline", minRetryAfter)
}

// observation is the result of one request for the endpoint's state.
type observation struct {
	obs core.Observation
	err error
}

func (e observation) apply(r *runner) {
	if current := r.instances.current(); !current.startedAt.Equal(r.observedStart) {
		r.observedStart = current.startedAt
		r.mgr.limits.Forget(r.id) // the limit was that of another instance, as was the backoff
		r.mgr.available.Forget(r.id)
	}
	if e.err != nil {
		r.misses++
		if r.misses == unreachableAfter {
			r.mgr.log.Warn("endpoint does not answer", zap.String("runner", r.id), zap.Error(e.err))
			r.refuseQueued("runner_unreachable", "the endpoint does not answer", minRetryAfter)
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
	r.refuseQueuedIfLeaving()
	r.startWaiting()
}

// refuseQueued refuses all queued requests, so that their entries choose another runner.
// Running requests continue.
func (r *runner) refuseQueued(code, message string, retry time.Duration) {
	for _, item := range r.queue.Drain() {
		r.refuse(item.Value.(*Attempt), core.NotRun(http.StatusServiceUnavailable, code, message, retry))
	}
}

// releaseOwnership ends the ownership of the runner: no new request starts, running ones
// continue to their end.
type releaseOwnership struct{}

func (releaseOwnership) apply(r *runner) {
	r.released = true
	r.refuseQueued("runner_released", "this daemon no longer owns the runner", minRetryAfter)
}

// countModel counts the running requests of a model. An eviction is ordered only when
// there are none.
type countModel struct {
	model string
	reply chan int
}

func (e countModel) apply(r *runner) { e.reply <- r.perModel[e.model] }

// runObserve observes the endpoint at a fixed interval.
func (r *runner) runObserve() {
	defer r.wg.Done()
	for {
		requestedAt := r.mgr.clock.Now()
		obs, err := r.observe(r.ctx)
		if r.ctx.Err() != nil {
			return
		}
		if errors.Is(err, core.ErrNotFound) && r.kind == tree.KindPlain {
			err = nil // plain services need not implement the state interface
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

// updateReport updates the runner's report for the directory. The report lists no models
// and no service while the endpoint has not been observed, is unreachable or is released.
func (r *runner) updateReport() {
	rep := directory.Report{
		Runner:     r.id,
		DataCentre: r.spec.DataCentre,
		Owner:      r.mgr.members.Self().Name,
		Slots:      r.spec.Slots,
		Running:    len(r.running),
		Queued:     r.queue.Len(),
		Wait:       r.expectedWait(core.ClassNormal),
		Leaving:    r.isLeaving(),
		At:         r.mgr.clock.Now(),
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

// reportIfDue returns the runner's report and whether it should be sent to the directory
// now: it has changed, or the last one was sent at least unchangedReportInterval before.
func (r *runner) reportIfDue() (directory.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.report
	previous := r.lastReport
	due := rep.At.Sub(previous.At) >= unchangedReportInterval || (rep.Wait > 0) != (previous.Wait > 0) || rep.Running != previous.Running || rep.Queued != previous.Queued ||
		rep.Leaving != previous.Leaving || !slices.Equal(rep.Models, previous.Models)
	if due {
		r.lastReport = rep
	}
	return rep, due
}

// close releases the runner and stops it once its running attempts have ended.
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

// countRunning counts the running attempts.
type countRunning struct{ reply chan int }

func (e countRunning) apply(r *runner) { e.reply <- len(r.running) }
