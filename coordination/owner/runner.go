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
	inboxRing    = 1024
	tickEvery    = 250 * time.Millisecond
	firstCost    = 500 * time.Millisecond // of a request, until one has ended
	costWeight   = 0.2                    // of the newest request in the mean
	missesToLose = 3                      // observations in a row
	minRetry     = time.Second
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
	spec     tree.Endpoint
	queue    *queue.Queue
	running  map[string]*Attempt
	perModel map[string]int
	cost     time.Duration
	ready    map[string]bool // models observed ready
	leaving  bool            // the endpoint says so itself
	misses   int
	seen     bool      // observed at least once
	begun    time.Time // of the endpoint's life that was observed last
	released bool

	ending sync.RWMutex // guards over
	over   bool         // the loop takes no more events

	mu      sync.Mutex // guards what follows
	report  directory.Report
	given   directory.Report // to the directory, last
	missing bool
	alive   lives
	// meanCost is a copy of cost for readers outside the loop.
	meanCost time.Duration
}

func newRunner(mgr *Manager, id string, spec tree.Endpoint, ep core.Endpoint) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		id:       id,
		addr:     spec.Addr,
		kind:     spec.Kind,
		mgr:      mgr,
		endpoint: ep,
		inbox:    make(chan event, inboxRing),
		ctx:      ctx,
		stop:     cancel,
		spec:     spec,
		queue:    queue.New(),
		running:  map[string]*Attempt{},
		perModel: map[string]int{},
		cost:     firstCost,
		ready:    map[string]bool{},
		alive:    lives{clock: mgr.clock, is: life{begun: mgr.clock.Now()}},
	}
	r.publish()
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

// post sends an event; false when the ring is full or the runner has ended. An
// event that were left in the ring of an ended loop would leave its caller
// waiting until its deadline.
func (r *runner) post(e event) bool {
	r.ending.RLock()
	defer r.ending.RUnlock()
	if r.over {
		return false
	}
	select {
	case r.inbox <- e:
		return true
	default:
		return false
	}
}

// must sends an event that may not be dropped.
func (r *runner) must(e event) {
	select {
	case r.inbox <- e:
	case <-r.ctx.Done():
	}
}

func (r *runner) loop() {
	defer r.wg.Done()
	tick := r.mgr.clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			r.finish()
			return
		case e := <-r.inbox:
			e.apply(r)
		case <-tick.Chan():
			r.tick()
		}
		r.publish()
	}
}

// finish refuses what waits and what still came in.
func (r *runner) finish() {
	r.ending.Lock()
	r.over = true
	r.ending.Unlock()
	r.released = true
	for {
		select {
		case e := <-r.inbox:
			e.apply(r)
		default:
			r.refuseAll("runner_released", "the runner has another owner now")
			return
		}
	}
}

// tick gives up requests whose time is over and starts what can start.
func (r *runner) tick() {
	if spec, ok := r.mgr.spec(r.id); ok {
		r.spec = spec
	}
	r.pump()
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
	item := &queue.Item{ID: a.Attempt, Class: a.Class, Retry: a.Retry, Deadline: now.Add(r.target(a)), Cost: r.cost, Value: a}
	r.queue.Push(item, now)
	// A request whose deadline ends while it waits is answered then and there.
	a.unwatch = context.AfterFunc(a.ctx, func() { r.must(giveUp{a}) })
	r.pump()
}

// pump starts waiting requests while there are slots.
func (r *runner) pump() {
	for len(r.running) < max(1, r.spec.Slots) {
		item := r.queue.Pop(r.mgr.clock.Now())
		if item == nil {
			return
		}
		a := item.Value.(*Attempt)
		if err := r.permit(a); err != nil {
			r.refuse(a, err)
			continue
		}
		if a.ctx.Err() != nil {
			r.refuse(a, gaveUp())
			continue
		}
		r.start(a)
	}
}

func (r *runner) start(a *Attempt) {
	a.unwatch()
	t := r.mgr.replica.Tree()
	a.endpoint = r.endpoint
	a.stall = t.Effective(r.coord(a)).Stall
	a.began = r.mgr.clock.Now()
	a.life = r.alive.now()
	if !a.limited {
		r.mgr.limits.Charge(r.id) // was admitted before the endpoint named its limit
	}
	a.again = func() { r.mgr.limits.Charge(r.id) }
	a.answered = func(h http.Header) {
		r.mgr.limits.Answered(r.id, core.ReplyInfo{Stamped: true, Limit: core.ReadRateLimit(h.Values(core.HeaderLimit))})
	}
	r.running[a.Attempt] = a
	r.perModel[a.Model]++
	r.wg.Add(1)
	go a.run(r.mgr.guard, r.ended)
}

// ended is called by an attempt's own goroutine.
func (r *runner) ended(a *Attempt) {
	defer r.wg.Done()
	r.must(finished{attempt: a, took: r.mgr.clock.Since(a.began)})
}

// finished frees a slot.
type finished struct {
	attempt *Attempt
	took    time.Duration
}

func (e finished) apply(r *runner) {
	delete(r.running, e.attempt.Attempt)
	r.perModel[e.attempt.Model]--
	if _, fail := e.attempt.Buffer.Done(); fail == nil {
		r.cost += time.Duration(costWeight * float64(e.took-r.cost))
		r.mgr.count("served")
	} else {
		r.mgr.count("failed")
	}
	r.pump()
}

// giveUp takes out a waiting request whose deadline is over or whose caller
// has gone.
type giveUp struct{ attempt *Attempt }

func (e giveUp) apply(r *runner) {
	if r.queue.Remove(e.attempt.Attempt) != nil {
		r.refuse(e.attempt, gaveUp())
	}
}

func gaveUp() *core.RequestError {
	return core.NotRun(http.StatusGatewayTimeout, "deadline", "the request's time ended before it was sent", minRetry)
}

// observed is one answer, or none, to the question what the endpoint holds.
type observed struct {
	obs core.Observation
	err error
}

func (e observed) apply(r *runner) {
	if is := r.alive.now(); !is.begun.Equal(r.begun) {
		r.begun = is.begun
		r.mgr.limits.Forget(r.id) // was another process's
	}
	if e.err != nil {
		r.misses++
		if r.misses == missesToLose {
			r.mgr.log.Warn("endpoint does not answer", zap.String("runner", r.id), zap.Error(e.err))
			r.refuseAll("runner_unreachable", "the endpoint does not answer")
		}
		return
	}
	r.misses = 0
	r.seen = true
	r.leaving = e.obs.Leaving
	clear(r.ready)
	for _, res := range e.obs.Residents {
		if res.Ready {
			r.ready[res.Model] = true
		}
	}
	if r.isLeaving() {
		r.refuseAll("runner_leaving", "the endpoint takes no new work")
	}
	r.pump()
}

// refuseAll sends the waiting requests back so that their entries find another
// runner; what runs goes on.
func (r *runner) refuseAll(code, message string) {
	for _, item := range r.queue.Drain() {
		r.refuse(item.Value.(*Attempt), core.NotRun(http.StatusServiceUnavailable, code, message, minRetry))
	}
}

// release ends the runner's ownership: nothing new starts, what runs ends in
// its own time.
type release struct{}

func (release) apply(r *runner) {
	r.released = true
	r.refuseAll("runner_released", "the runner has another owner now")
}

// idle asks how many requests of a model run; the ledger waits for none before
// it orders an eviction.
type idle struct {
	model string
	reply chan int
}

func (e idle) apply(r *runner) { e.reply <- r.perModel[e.model] }

// runObserve asks the endpoint what it holds, again and again.
func (r *runner) runObserve() {
	defer r.wg.Done()
	for {
		asked := r.mgr.clock.Now()
		obs, err := r.observe(r.ctx)
		if r.ctx.Err() != nil {
			return
		}
		if errors.Is(err, core.ErrNotFound) && r.kind == tree.KindPlain {
			err = nil // plain services need not report anything
		}
		r.must(observed{obs, err})
		if r.ledger != nil && err == nil {
			r.ledger.observe(obs, asked)
		}
		select {
		case <-r.ctx.Done():
			return
		case <-r.mgr.clock.After(observeEvery):
		}
	}
}

// publish makes the runner's report for the directory.
func (r *runner) publish() {
	rep := directory.Report{
		Runner:  r.id,
		Place:   r.spec.Place,
		Owner:   r.mgr.members.Self().Name,
		Slots:   r.spec.Slots,
		Running: len(r.running),
		Queued:  r.queue.Len(),
		Wait:    r.wait(core.ClassNormal),
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
	if !r.seen || r.misses >= missesToLose || r.released {
		rep.Models, rep.Service = nil, ""
	}
	r.mu.Lock()
	r.report = rep
	r.meanCost = r.cost
	r.missing = r.misses >= missesToLose
	r.mu.Unlock()
}

// takeReport returns the runner's report, and whether it should be given to the
// directory now: it has changed, or the last one given is a while old.
func (r *runner) takeReport() (directory.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.report
	last := r.given
	due := rep.At.Sub(last.At) >= repeatEvery || rep.Running != last.Running || rep.Queued != last.Queued ||
		rep.Leaving != last.Leaving || !slices.Equal(rep.Models, last.Models)
	if due {
		r.given = rep
	}
	return rep, due
}

// close ends the runner after its running attempts.
func (r *runner) close() {
	r.must(release{})
	for {
		reply := make(chan int, 1)
		r.must(count{reply})
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
		<-r.mgr.clock.After(tickEvery)
	}
}

// count asks how many attempts run.
type count struct{ reply chan int }

func (e count) apply(r *runner) { e.reply <- len(r.running) }
