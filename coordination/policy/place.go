package policy

import (
	"container/heap"
	"slices"

	"primroseward/core"
)

// HostState is the state of a runner as used for placement.
type HostState struct {
	ID         string
	DataCentre string
	FreeMB     float64         // neither in use nor reserved for models to be loaded
	Models     map[string]bool // loaded, loading, or to be loaded after an eviction
	Pending    string          // the model to be loaded after an eviction, if any
	Loading    string          // the model that is being loaded, if any
	Local      map[string]bool // models with a local copy on the runner's disk or in its memory
	Fresh      map[string]bool // models loaded more recently than a load takes; only PlaceByRoom regards it
	Busy       bool            // an order for a model is in progress
	Leaving    bool
	// Down is set if the runner's process has exited although its entry still exists. The
	// models it had loaded are lost; an empty process is likely to replace it soon.
	Down bool
	// Limited is set if the runner accepts fewer requests per second than it is likely to be
	// sent. Its replicas of models with demand above the mean are not counted, and no such
	// model is loaded on it.
	Limited  bool
	Requests int
	// Allows reports whether requests for a model may be served here. If nil, all may.
	Allows func(model string) bool
}

func (h *HostState) allows(model string) bool { return h.Allows == nil || h.Allows(model) }

// drainsFor reports whether the runner is up and unloads another model to load this one.
func (h *HostState) drainsFor(model string) bool { return h.Pending == model && !h.Down }

// fittingLost returns by how many models of some size the free memory holds less once a part of it is used.
func fittingLost(freeMB, usedMB, sizeMB float64) int {
	return int(freeMB/sizeMB) - int((freeMB-usedMB)/sizeMB)
}

// Weights in the cost of loading one more replica on a runner, in seconds until the replica
// can serve. fragmentationWeight makes loading from the weight store cheaper than using
// memory that a large model would need; requestWeight is per request in progress there.
const (
	fragmentationWeight = 3
	requestWeight       = 0.02
)

// Move is a planned order to load or unload a model on a runner.
type Move struct {
	Runner string
	Model  string
	Load   bool
	For    string // of an unload: the model that gets the memory
	// Need and Room are the slots that the model that gets the memory needs and has, and Reason
	// is why it gets one more replica. Only PlaceByRoom sets them.
	Need, Room float64
	Reason     string
}

// placement is the state of one planning run.
type placement struct {
	engine         *core.Engine
	hosts          []*HostState
	demand         map[string]float64
	meanDemand     float64 // demand per model, over all models
	replicas       map[string]int
	liveReplicas   map[string]int // replicas that serve now or will soon: neither promised nor down
	targetReplicas map[string]int
	moves          []Move
	// repairOnly restricts planning to models without a live replica.
	repairOnly bool
}

// PlaceOption changes how Place plans.
type PlaceOption func(*placement)

// RepairOnly plans only moves that keep each model available.
func RepairOnly() PlaceOption { return func(p *placement) { p.repairOnly = true } }

// Place plans which models to load and unload, with at most one order per runner. demand
// is the request rate for each model, weighted by work. Models without a live replica come
// first, in order of demand, because each request for them is refused until one is loaded.
// Then the models with the highest demand per replica get more of them. For these, replicas
// on runners that are down count: most processes are back within seconds, and replacing them
// until then would evict models that are in use. A model with demand above the mean whose
// only replicas are on limited runners counts as having no live replica.
func Place(engine *core.Engine, hosts []*HostState, demand map[string]float64, opts ...PlaceOption) []Move {
	demand = expectedDemand(engine, demand)
	p := &placement{engine: engine, demand: demand, replicas: map[string]int{}, liveReplicas: map[string]int{}}
	for _, o := range opts {
		o(p)
	}
	p.meanDemand = p.computeMeanDemand()
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		p.hosts = append(p.hosts, h)
		for m := range h.Models {
			if !h.allows(m) || h.Limited && p.aboveMeanDemand(m) {
				continue
			}
			p.replicas[m]++
			if !h.Down && m != h.Pending {
				p.liveReplicas[m]++
			}
		}
	}
	for _, h := range p.hosts {
		for m := range h.Models {
			if h.Limited && p.aboveMeanDemand(m) && p.replicas[m] == 0 {
				p.replicas[m] = 1 // not absent: it may only replace models with less demand
			}
		}
	}
	p.targetReplicas = replicaTargets(engine, p.hosts, demand)
	for _, m := range p.underReplicated() {
		p.placeReplica(m)
	}
	return p.moves
}

// computeMeanDemand returns the mean demand per model.
func (p *placement) computeMeanDemand() float64 {
	sum := 0.0
	for _, v := range p.demand {
		sum += v
	}
	return sum / float64(max(1, len(p.engine.Models)))
}

// aboveMeanDemand reports whether a model's demand exceeds the mean, which is too much for a
// limited runner.
func (p *placement) aboveMeanDemand(model string) bool { return p.demand[model] > p.meanDemand }

// successorShares are the fractions of a model's demand that are expected for the models
// that follow it in the service's list. Demand moves along the list within seconds, faster
// than replicas can be loaded from the weight store. A share of one half gives the next
// model a few replicas before its demand rises, without taking those of the busy model.
var successorShares = []float64{0.5, 0.2}

// expectedDemand returns the demand including the demand that is likely to follow.
func expectedDemand(engine *core.Engine, demand map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(engine.Models))
	for i := range engine.Models {
		now := demand[engine.Models[i].Name]
		out[engine.Models[i].Name] += now
		for k, share := range successorShares {
			if i+k+1 < len(engine.Models) {
				out[engine.Models[i+k+1].Name] += share * now
			}
		}
	}
	return out
}

// PriorDemand returns the demand to assume before any has been observed: models loaded on several
// runners had high demand.
func PriorDemand(hosts []*HostState) map[string]float64 {
	out := map[string]float64{}
	for _, h := range hosts {
		for m := range h.Models {
			out[m]++
		}
	}
	for m, n := range out {
		if n < 2 {
			delete(out, m)
		}
	}
	return out
}

// shiftShare is the part of the largest demand that each model in demand is expected to get.
const shiftShare = 0.5

// ExpectShift raises each demand to shiftShare of the largest one: which of these models has the most requests
// changes within about ten seconds, as long as a load and the plan before it take.
func ExpectShift(demand map[string]float64) {
	most := 0.0
	for _, v := range demand {
		most = max(most, v)
	}
	for m, v := range demand {
		demand[m] = max(v, shiftShare*most)
	}
}

// replicaTargets divides the runners' memory among the models: one replica each, then one
// replica at a time to the model with the highest demand per replica.
func replicaTargets(engine *core.Engine, hosts []*HostState, demand map[string]float64) map[string]int {
	out := make(map[string]int, len(engine.Models))
	maxReplicas := make(map[string]int, len(engine.Models))
	freeMB := engine.MemoryMB * float64(len(hosts))
	for i := range engine.Models {
		m := &engine.Models[i]
		out[m.Name] = 1
		freeMB -= m.MemoryMB
		for _, h := range hosts {
			if h.allows(m.Name) {
				maxReplicas[m.Name]++
			}
		}
	}
	queue := make(replicaQueue, 0, len(engine.Models))
	for i := range engine.Models {
		m := &engine.Models[i]
		if demand[m.Name] > 0 {
			queue = append(queue, replicaCandidate{model: m, demand: demand[m.Name], order: i, replicas: 1})
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		n := &queue[0]
		if n.replicas >= maxReplicas[n.model.Name] || n.model.MemoryMB > freeMB {
			heap.Pop(&queue) // free memory never grows in this loop
			continue
		}
		n.replicas++
		freeMB -= n.model.MemoryMB
		out[n.model.Name] = n.replicas
		heap.Fix(&queue, 0)
	}
	return out
}

// replicaCandidate is a model in the queue for one more replica.
type replicaCandidate struct {
	model    *core.Model
	demand   float64
	order    int // position in the service's list
	replicas int
}

// replicaQueue is a heap with the highest demand per replica on top.
type replicaQueue []replicaCandidate

func (q replicaQueue) Len() int { return len(q) }

func (q replicaQueue) Less(i, k int) bool {
	a, b := q[i].demand/float64(q[i].replicas), q[k].demand/float64(q[k].replicas)
	if a != b {
		return a > b
	}
	return q[i].order < q[k].order
}

func (q replicaQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *replicaQueue) Push(x any) { *q = append(*q, x.(replicaCandidate)) }

// Pop implements heap.Interface.
func (q *replicaQueue) Pop() any {
	last := len(*q) - 1
	n := (*q)[last]
	*q = (*q)[:last]
	return n
}

// underReplicated lists the models that have too few replicas, most urgent first.
func (p *placement) underReplicated() []string {
	var out []string
	for i := range p.engine.Models {
		if m := p.engine.Models[i].Name; p.liveReplicas[m] == 0 || p.replicas[m] < p.targetReplicas[m] && !p.repairOnly {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		if absent := p.liveReplicas[a] == 0; absent != (p.liveReplicas[b] == 0) {
			if absent {
				return -1
			}
			return 1
		}
		ha, hb := p.demand[a]/float64(p.replicas[a]+1), p.demand[b]/float64(p.replicas[b]+1)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		}
		return 0
	})
	return out
}

// placeReplica finds the runner for one more replica of a model and plans the load, or the
// unload of another model if no runner has enough free memory.
func (p *placement) placeReplica(model string) {
	needMB := p.engine.Model(model).MemoryMB
	var best *HostState
	var victim string
	bestCost := 0.0
	dataCentres := p.dataCentres(model)
	draining := p.liveReplicas[model] == 0 && p.drainInProgress(model)
	for _, h := range p.hosts {
		if h.Busy || h.Down || h.Limited && p.aboveMeanDemand(model) || h.Models[model] || p.hasMove(h.ID) || !h.allows(model) {
			continue
		}
		v := ""
		if h.FreeMB < needMB {
			if draining {
				continue // one drain is enough, but a runner with free memory may load it sooner
			}
			if v = p.chooseVictim(h, model, needMB); v == "" {
				continue
			}
		}
		if cost := p.hostCost(h, model, v, dataCentres[h.DataCentre]); best == nil || cost < bestCost {
			best, victim, bestCost = h, v, cost
		}
	}
	if best == nil {
		return
	}
	if victim != "" {
		p.moves = append(p.moves, Move{Runner: best.ID, Model: victim, For: model})
		if best.allows(victim) {
			p.replicas[victim]--
			p.liveReplicas[victim]--
		}
	} else {
		p.moves = append(p.moves, Move{Runner: best.ID, Model: model, Load: true})
	}
	p.replicas[model]++
	p.liveReplicas[model]++
}

// drainInProgress reports whether a runner that is up is draining another model to load this
// one.
func (p *placement) drainInProgress(model string) bool {
	return slices.ContainsFunc(p.hosts, func(h *HostState) bool { return h.drainsFor(model) })
}

func (p *placement) hasMove(id string) bool {
	return slices.ContainsFunc(p.moves, func(m Move) bool { return m.Runner == id })
}

// hostCost returns the cost of loading a model on a runner, roughly in seconds until the
// replica serves. A load from the weight store takes about three seconds, one from the
// runner's own disk or memory less than one, and an unload waits for the requests in
// progress.
func (p *placement) hostCost(h *HostState, model, victim string, sameDataCentre bool) float64 {
	cost := 0.0
	if !h.Local[model] {
		cost += 3
	}
	if victim != "" {
		cost++
	}
	if sameDataCentre {
		cost += 0.5 // a crash or network partition of one data centre must not take all replicas
	}
	cost += fragmentationWeight * float64(p.largeReplicasLost(h, model, victim))
	return cost + requestWeight*float64(h.Requests)
}

// largeReplicasLost returns by how many replicas of the largest model a runner's capacity
// falls when it loads one more replica of model. Small models packed on one runner leave
// memory for whole large models on others; one small model on each runner would take that
// memory on each of them.
func (p *placement) largeReplicasLost(h *HostState, model, victim string) int {
	largest := 0.0
	for i := range p.engine.Models {
		largest = max(largest, p.engine.Models[i].MemoryMB)
	}
	free := h.FreeMB
	if victim != "" {
		free += p.engine.Model(victim).MemoryMB
	}
	return fittingLost(free, p.engine.Model(model).MemoryMB, largest)
}

// dataCentres returns the data centres that have a replica of a model.
func (p *placement) dataCentres(model string) map[string]bool {
	out := map[string]bool{}
	for _, h := range p.hosts {
		if h.Models[model] {
			out[h.DataCentre] = true
		}
	}
	return out
}

// chooseVictim returns the model that a runner evicts for another: the one with the lowest
// demand per replica among those that may be evicted, or "" if there is none.
func (p *placement) chooseVictim(h *HostState, model string, needMB float64) string {
	best := ""
	for v := range h.Models {
		spec := p.engine.Model(v)
		if spec == nil || !p.mayEvict(h, v, model) || h.FreeMB+spec.MemoryMB < needMB {
			continue
		}
		if best == "" || p.perReplica(v) < p.perReplica(best) || p.perReplica(v) == p.perReplica(best) && v < best {
			best = v
		}
	}
	return best
}

// mayEvict reports whether a runner may evict its replica of v to load model. A replica where
// no request for v may be served is of no use and may go; the last live replica of v stays.
// Of the others, replicas beyond the target of v may go. For a model without any replica,
// each v with a second live one may go. For a model whose
// replicas are all on runners that are down, v may only go if its demand is lower, as those
// processes are likely to be back soon.
func (p *placement) mayEvict(h *HostState, v, model string) bool {
	switch {
	case !h.allows(v):
		return true
	case p.liveReplicas[v] < 2:
		return false
	case p.replicas[v] > p.targetReplicas[v], p.replicas[model] == 0:
		return true
	default:
		return p.liveReplicas[model] == 0 && p.perRemaining(v) < p.demand[model]
	}
}

// perRemaining returns a model's demand per live replica that remains if one is evicted.
func (p *placement) perRemaining(m string) float64 { return p.demand[m] / float64(p.liveReplicas[m]-1) }

// perReplica returns a model's demand per replica.
func (p *placement) perReplica(m string) float64 { return p.demand[m] / float64(max(1, p.replicas[m])) }
