package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"primroseward/coordination/planner"
	"primroseward/coordination/route"
	"primroseward/core"
	"primroseward/state/directory"
	"primroseward/state/ledger"
	"primroseward/state/queue"
	"primroseward/state/tree"
)

const (
	reportEvery = 500 * time.Millisecond
	planEvery   = time.Second
	lostAfter   = 10 * time.Second // until a silent runner counts as lost
	quarantine  = 35 * time.Second // on endpoints that ignore fencing numbers
	warmUp      = 15 * time.Minute // not counted
	firstCost   = time.Second
	fastTime    = 10.0 // seconds
	slowTime    = 600.0
)

var epoch = time.Unix(1e9, 0)

// request is one request on its way.
type request struct {
	model  *served
	at     time.Duration
	work   time.Duration
	target time.Duration
	class  core.Class
	id     string
	tries  map[*engine]bool
	counts bool
}

// served is a model with its demand.
type served struct {
	planner.Model
	curve      curve
	class      core.Class
	target     time.Duration
	fast, slow float64
	parked     []*request // waiting for a first replica, in the LRU variant
	dark       time.Duration
}

// engine is one runner.
type engine struct {
	id      string
	spec    tree.Endpoint
	entries []ledger.Entry
	used    map[string]time.Duration // model to its latest request
	queue   *queue.Queue
	running map[*request]bool
	cost    time.Duration
	dead    bool
	diedAt  time.Duration
	boot    int
	report  directory.Report
	sent    int
}

// event happens at a time; seq keeps the order of equal times.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	one := old[len(old)-1]
	*e = old[:len(old)-1]
	return one
}

// result is what a run is judged by.
type result struct {
	met, asked map[core.Class]int
	moves      int
	dark       time.Duration // summed over models
	peak       float64       // largest committed share of a runner's memory
	hours      float64
	engines    int
}

// world is one deployment in virtual time.
type world struct {
	rng      *rand.Rand
	variant  variant
	tree     *tree.Tree
	models   []*served
	byName   map[string]*served
	engines  []*engine
	now      time.Duration
	seq      int
	events   events
	loading  int
	lastLoad time.Duration
	outage   bool
	result   result
	nextID   int
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

func (w *world) run(length time.Duration) {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > length {
			break
		}
		w.now = e.at
		e.do()
	}
	w.result.hours = (length - warmUp).Hours()
	for _, m := range w.models {
		w.result.dark += m.dark
	}
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// second draws a second's requests, and ages the averages of demand.
func (w *world) second() {
	for _, m := range w.models {
		n := poisson(w.rng, m.curve.rate(w.now))
		m.fast += (float64(n) - m.fast) / fastTime
		m.slow += (float64(n) - m.slow) / slowTime
		for range n {
			w.after(time.Duration(w.rng.Float64()*float64(time.Second)), func() { w.arrive(m) })
		}
		if w.now > warmUp && w.reachable(m) && !w.ready(m) {
			m.dark += time.Second
		}
	}
	w.after(time.Second, w.second)
}

// reachable says whether some live runner may serve the model at all.
func (w *world) reachable(m *served) bool {
	for _, e := range w.engines {
		if !e.dead && m.Places[e.spec.Place] {
			return true
		}
	}
	return false
}

func (w *world) ready(m *served) bool {
	for _, e := range w.engines {
		if e.serves(m) {
			return true
		}
	}
	return false
}

func (e *engine) find(model string) *ledger.Entry {
	for i := range e.entries {
		if e.entries[i].Model == model {
			return &e.entries[i]
		}
	}
	return nil
}

func (e *engine) serves(m *served) bool {
	one := e.find(m.Name)
	return !e.dead && one != nil && one.State == ledger.Ready
}

func (e *engine) committed() int64 {
	var sum int64
	for _, one := range e.entries {
		sum += one.Bytes
	}
	return sum
}

func (e *engine) capacity() int64 { return int64(e.spec.Memory - e.spec.Cache) }

func (w *world) arrive(m *served) {
	w.nextID++
	r := &request{
		model: m, at: w.now, class: m.class, target: m.target, tries: map[*engine]bool{}, counts: w.now > warmUp,
		work: 500*time.Millisecond + time.Duration(w.rng.ExpFloat64()*float64(1500*time.Millisecond)),
	}
	r.id = time.Duration(w.nextID).String()
	if r.counts {
		w.result.asked[r.class]++
	}
	w.dispatch(r)
}

// dispatch offers the request to runners as an entry does: chosen by reports
// that are up to half a second old, admitted or refused by exact queues.
func (w *world) dispatch(r *request) {
	for {
		var candidates []route.Candidate
		var at []*engine
		for _, e := range w.engines {
			if e.serves(r.model) && !r.tries[e] {
				candidates = append(candidates, route.Candidate{Report: e.report, Sent: e.sent})
				at = append(at, e)
			}
		}
		i := route.Ask{Place: w.engines[0].spec.Place}.Choose(candidates)
		if i < 0 {
			w.variant.refused(w, r)
			return
		}
		e := at[i]
		r.tries[e] = true
		e.sent++
		if w.admit(e, r) {
			return
		}
	}
}

func (e *engine) wait(c core.Class) time.Duration {
	if len(e.running) < e.spec.Slots && e.queue.Len() == 0 {
		return 0
	}
	ahead := e.queue.Ahead(c)
	if len(e.running) >= e.spec.Slots {
		ahead += e.cost
	}
	return ahead / time.Duration(e.spec.Slots)
}

func (w *world) admit(e *engine, r *request) bool {
	spent := w.now - r.at
	if e.wait(r.class) > r.target-spent {
		return false
	}
	e.used[r.model.Name] = w.now
	e.queue.Push(&queue.Item{ID: r.id, Class: r.class, Deadline: epoch.Add(r.at + r.target), Cost: e.cost, Value: r}, w.clock())
	w.pump(e)
	return true
}

func (w *world) pump(e *engine) {
	for len(e.running) < e.spec.Slots && !e.dead {
		item := e.queue.Pop(w.clock())
		if item == nil {
			return
		}
		r := item.Value.(*request)
		if !e.serves(r.model) {
			w.dispatch(r)
			continue
		}
		e.running[r] = true
		if r.counts && w.now-r.at <= r.target {
			w.result.met[r.class]++
		}
		boot := e.boot
		w.after(r.work, func() {
			if e.boot != boot {
				return
			}
			delete(e.running, r)
			e.cost += time.Duration(0.2 * float64(r.work-e.cost))
			w.settle(e)
			w.pump(e)
		})
	}
}

// load starts a load, if the weight store takes one now.
func (w *world) load(e *engine, m *served, reason string) bool {
	gap := time.Duration(float64(time.Second) / w.tree.Store().Rate)
	if e.dead || w.outage || w.loading >= w.tree.Store().Slots || w.now < w.lastLoad+gap {
		return false
	}
	if e.find(m.Name) != nil || e.committed()+m.Bytes > e.capacity() {
		return false
	}
	w.loading++
	w.lastLoad = w.now
	w.move()
	e.entries = append(e.entries, ledger.Entry{Model: m.Name, Version: m.Version, Bytes: m.Bytes, State: ledger.Loading, Reason: reason})
	w.result.peak = max(w.result.peak, float64(e.committed())/float64(e.capacity()))
	boot := e.boot
	w.after(max(m.Load, 500*time.Millisecond), func() {
		w.loading--
		if one := e.find(m.Name); e.boot == boot && one != nil {
			one.State = ledger.Ready
			w.unpark(m)
		}
	})
	return true
}

func (w *world) unpark(m *served) {
	parked := m.parked
	m.parked = nil
	for _, r := range parked {
		clear(r.tries)
		w.dispatch(r)
	}
}

func (w *world) evict(e *engine, m *served) {
	one := e.find(m.Name)
	if one == nil || one.State != ledger.Ready || w.outage {
		return
	}
	w.move()
	one.State = ledger.Evicting
	w.settle(e)
}

// settle frees evicted models that are idle; where fencing numbers are
// ignored, their memory stays reserved until late orders are excluded.
func (w *world) settle(e *engine) {
	busy := map[string]bool{}
	for r := range e.running {
		busy[r.model.Name] = true
	}
	for i := range e.entries {
		one := &e.entries[i]
		if one.State != ledger.Evicting || busy[one.Model] {
			continue
		}
		one.State = ledger.Quarantine
		wait := time.Second
		if !e.spec.Fenced {
			wait = quarantine
		}
		name, boot := one.Model, e.boot
		w.after(wait, func() {
			if e.boot == boot {
				e.drop(name)
			}
		})
	}
}

func (e *engine) drop(model string) {
	for i := range e.entries {
		if e.entries[i].Model == model {
			e.entries = append(e.entries[:i], e.entries[i+1:]...)
			return
		}
	}
}

func (w *world) move() {
	if w.now > warmUp {
		w.result.moves++
	}
}

// kill ends a runner: what it held is lost and what it ran is tried elsewhere.
func (w *world) kill(e *engine) {
	e.dead, e.diedAt = true, w.now
	e.boot++
	var lost []*request
	for r := range e.running {
		lost = append(lost, r)
	}
	for _, item := range e.queue.Drain() {
		lost = append(lost, item.Value.(*request))
	}
	e.running = map[*request]bool{}
	e.entries = nil
	for _, r := range lost {
		if r.counts && w.now-r.at <= r.target {
			r.counts = false // its first byte may have been in time; it is judged once
		}
		clear(r.tries)
		w.dispatch(r)
	}
}

func (w *world) revive(e *engine) { e.dead = false }

// reportAll makes the reports that entries choose by.
func (w *world) reportAll() {
	for _, e := range w.engines {
		e.report = directory.Report{Runner: e.id, Place: e.spec.Place, Slots: e.spec.Slots, Running: len(e.running), Queued: e.queue.Len(), Wait: e.wait(core.ClassNormal), At: w.clock()}
		e.sent = 0
	}
	w.after(reportEvery, w.reportAll)
}

// state is what a planner sees.
func (w *world) state() *planner.State {
	s := &planner.State{Now: w.clock(), Slots: w.tree.Store().Slots}
	for _, m := range w.models {
		one := m.Model
		one.Fast, one.Slow = m.fast, m.slow
		s.Models = append(s.Models, one)
	}
	for _, e := range w.engines {
		s.Runners = append(s.Runners, planner.Runner{
			ID: e.id, Place: e.spec.Place, Capacity: e.capacity(), Slots: e.spec.Slots, Cost: e.cost,
			Entries: append([]ledger.Entry(nil), e.entries...), Gone: e.dead && w.now-e.diedAt > lostAfter,
		})
	}
	return s
}
