package policy

import (
	"container/heap"
	"slices"

	"primroseward/core"
)

// HostState is a runner as placement sees it.
type HostState struct {
	ID       string
	Place    string
	FreeMB   float64         // not taken, nor promised to what is on its way
	Models   map[string]bool // present, being loaded, or promised the room of one that goes
	Promised string          // the last of these
	Local    map[string]bool // copies on the runner's own disk or in its memory
	Busy     bool            // an order for a model is in progress
	Leaving  bool
	// Down: its process has ended, though its entry stands. What it held is lost; an
	// empty process is likely to take its place soon.
	Down bool
	// Limited: it takes fewer requests a second than it is likely to be sent. Of the models
	// that are asked for most its copies do not count, and it is given none of them.
	Limited  bool
	Requests int
	// Allows says whether requests for a model may be served here; nil: all.
	Allows func(model string) bool
}

func (h *HostState) allows(model string) bool { return h.Allows == nil || h.Allows(model) }

// Weights of a runner's cost for one more copy, in seconds until the copy
// serves. placeWeight lets a model load from the weight store rather than spoil
// a place for a large one; busyWeight is for a request in progress there.
const (
	placeWeight = 3
	busyWeight  = 0.02
)

// Move is one order for a model that placement wants.
type Move struct {
	Runner string
	Model  string
	Load   bool
	For    string // of an unload: the model that gets the room
}

// placement is one round of planning.
type placement struct {
	engine *core.Engine
	hosts  []*HostState
	heat   map[string]float64
	mean   float64 // of heat, over all models
	copies map[string]int
	live   map[string]int // copies that are or will soon be of use: neither promised nor down
	target map[string]int
	moves  []Move
	// repairOnly leaves out all but models without a copy.
	repairOnly bool
}

// PlaceOption changes how Place plans.
type PlaceOption func(*placement)

// RepairOnly plans only what keeps each model reachable.
func RepairOnly() PlaceOption { return func(p *placement) { p.repairOnly = true } }

// Place plans which models to load and unload, at most one order a runner. heat
// is how much work is asked of each model. A model without a live copy comes first, the
// most asked for before others: until it is back each request for it is refused. Then
// the models whose copies have most to do get more of them. Copies on runners that are
// down count there: most processes are back within seconds, and more copies elsewhere
// until then would displace models that are in use. A model that is asked for more than
// the mean and that only limited runners have counts as without a live copy.
func Place(engine *core.Engine, hosts []*HostState, heat map[string]float64, opts ...PlaceOption) []Move {
	heat = expected(engine, heat)
	p := &placement{engine: engine, heat: heat, copies: map[string]int{}, live: map[string]int{}}
	for _, o := range opts {
		o(p)
	}
	p.mean = p.meanHeat()
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		p.hosts = append(p.hosts, h)
		for m := range h.Models {
			if !h.allows(m) || h.Limited && p.hot(m) {
				continue
			}
			p.copies[m]++
			if !h.Down && m != h.Promised {
				p.live[m]++
			}
		}
	}
	for _, h := range p.hosts {
		for m := range h.Models {
			if h.Limited && p.hot(m) && p.copies[m] == 0 {
				p.copies[m] = 1 // not absent: it only has to yield to what is asked for less
			}
		}
	}
	p.target = targets(engine, p.hosts, heat)
	for _, m := range p.wanted() {
		p.place(m)
	}
	return p.moves
}

// meanHeat is how much work is asked of a model on average.
func (p *placement) meanHeat() float64 {
	sum := 0.0
	for _, v := range p.heat {
		sum += v
	}
	return sum / float64(max(1, len(p.engine.Models)))
}

// hot says whether a model is asked for more than the mean: too much for a limited runner.
func (p *placement) hot(model string) bool { return p.heat[model] > p.mean }

// nextShares are how much of a model's demand is expected of the models that
// follow it in the service's list: demand moves on along the list within
// seconds, faster than copies can be loaded from the weight store. Half gets
// the next model a few copies before it is asked for, without taking the busy
// one's.
var nextShares = []float64{0.5, 0.2}

// expected is the demand with what is likely to come next.
func expected(engine *core.Engine, heat map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(engine.Models))
	for i := range engine.Models {
		now := heat[engine.Models[i].Name]
		out[engine.Models[i].Name] += now
		for k, share := range nextShares {
			if i+k+1 < len(engine.Models) {
				out[engine.Models[i+k+1].Name] += share * now
			}
		}
	}
	return out
}

// Prior is the demand to expect before any has been seen: the models that are
// on several runners were the busy ones.
func Prior(hosts []*HostState) map[string]float64 {
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

// targets shares the runners' memory among the models: one copy each, then copy
// by copy to the model whose copies have most to do.
func targets(engine *core.Engine, hosts []*HostState, heat map[string]float64) map[string]int {
	out := make(map[string]int, len(engine.Models))
	most := make(map[string]int, len(engine.Models))
	left := engine.MemoryMB * float64(len(hosts))
	for i := range engine.Models {
		m := &engine.Models[i]
		out[m.Name] = 1
		left -= m.MemoryMB
		for _, h := range hosts {
			if h.allows(m.Name) {
				most[m.Name]++
			}
		}
	}
	queue := make(needs, 0, len(engine.Models))
	for i := range engine.Models {
		m := &engine.Models[i]
		if heat[m.Name] > 0 {
			queue = append(queue, need{model: m, heat: heat[m.Name], order: i, copies: 1})
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		n := &queue[0]
		if n.copies >= most[n.model.Name] || n.model.MemoryMB > left {
			heap.Pop(&queue) // there is never more room than now
			continue
		}
		n.copies++
		left -= n.model.MemoryMB
		out[n.model.Name] = n.copies
		heap.Fix(&queue, 0)
	}
	return out
}

// need is a model in the queue for one more copy.
type need struct {
	model  *core.Model
	heat   float64
	order  int // in the service's list
	copies int
}

// needs is a heap: the model whose copies have most to do comes first.
type needs []need

func (q needs) Len() int { return len(q) }

func (q needs) Less(i, k int) bool {
	a, b := q[i].heat/float64(q[i].copies), q[k].heat/float64(q[k].copies)
	if a != b {
		return a > b
	}
	return q[i].order < q[k].order
}

func (q needs) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *needs) Push(x any) { *q = append(*q, x.(need)) }

// Pop implements heap.Interface.
func (q *needs) Pop() any {
	last := len(*q) - 1
	n := (*q)[last]
	*q = (*q)[:last]
	return n
}

// wanted lists the models that lack copies, most urgent first.
func (p *placement) wanted() []string {
	var out []string
	for i := range p.engine.Models {
		if m := p.engine.Models[i].Name; p.live[m] == 0 || p.copies[m] < p.target[m] && !p.repairOnly {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		if absent := p.live[a] == 0; absent != (p.live[b] == 0) {
			if absent {
				return -1
			}
			return 1
		}
		ha, hb := p.heat[a]/float64(p.copies[a]+1), p.heat[b]/float64(p.copies[b]+1)
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

// place finds the runner that gets one more copy of a model, and makes room
// there first where there is none.
func (p *placement) place(model string) {
	need := p.engine.Model(model).MemoryMB
	var best *HostState
	var victim string
	bestCost := 0.0
	places := p.places(model)
	promised := p.live[model] == 0 && p.promised(model)
	for _, h := range p.hosts {
		if h.Busy || h.Down || h.Limited && p.hot(model) || h.Models[model] || p.taken(h.ID) || !h.allows(model) {
			continue
		}
		v := ""
		if h.FreeMB < need {
			if promised {
				continue // one drain is enough, but a runner with room may have it sooner
			}
			if v = p.victim(h, model, need); v == "" {
				continue
			}
		}
		if cost := p.hostCost(h, model, v, places[h.Place]); best == nil || cost < bestCost {
			best, victim, bestCost = h, v, cost
		}
	}
	if best == nil {
		return
	}
	if victim != "" {
		p.moves = append(p.moves, Move{Runner: best.ID, Model: victim, For: model})
		if best.allows(victim) {
			p.copies[victim]--
			p.live[victim]--
		}
	} else {
		p.moves = append(p.moves, Move{Runner: best.ID, Model: model, Load: true})
	}
	p.copies[model]++
	p.live[model]++
}

// promised says whether a runner is to get a model once another one has been drained.
func (p *placement) promised(model string) bool {
	return slices.ContainsFunc(p.hosts, func(h *HostState) bool { return h.Promised == model && !h.Down })
}

func (p *placement) taken(id string) bool {
	return slices.ContainsFunc(p.moves, func(m Move) bool { return m.Runner == id })
}

// hostCost orders the runners for a model, in seconds that it is likely to
// take until the copy serves, roughly: a load from the weight store takes
// about three, one from the runner's own disk or memory less than one, and an
// unload waits for the requests that run.
func (p *placement) hostCost(h *HostState, model, victim string, samePlace bool) float64 {
	cost := 0.0
	if !h.Local[model] {
		cost += 3
	}
	if victim != "" {
		cost++
	}
	if samePlace {
		cost += 0.5 // one crash or cut of a place must not take all copies
	}
	cost += placeWeight * float64(p.placesLost(h, model, victim))
	return cost + busyWeight*float64(h.Requests)
}

// placesLost is how many copies of the largest model a runner can take less
// with one more copy of model. Small models side by side on one runner leave
// whole places on others; one on each would spoil a place of each.
func (p *placement) placesLost(h *HostState, model, victim string) int {
	largest := 0.0
	for i := range p.engine.Models {
		largest = max(largest, p.engine.Models[i].MemoryMB)
	}
	free := h.FreeMB
	if victim != "" {
		free += p.engine.Model(victim).MemoryMB
	}
	return int(free/largest) - int((free-p.engine.Model(model).MemoryMB)/largest)
}

// places are those that have a copy of a model.
func (p *placement) places(model string) map[string]bool {
	out := map[string]bool{}
	for _, h := range p.hosts {
		if h.Models[model] {
			out[h.Place] = true
		}
	}
	return out
}

// victim is the model that a runner gives up for another: of those that may yield the
// one least asked for.
func (p *placement) victim(h *HostState, model string, need float64) string {
	best := ""
	for v := range h.Models {
		spec := p.engine.Model(v)
		if spec == nil || !p.mayYield(h, v, model) || h.FreeMB+spec.MemoryMB < need {
			continue
		}
		if best == "" || p.perCopy(v) < p.perCopy(best) || p.perCopy(v) == p.perCopy(best) && v < best {
			best = v
		}
	}
	return best
}

// mayYield says whether a runner may give up its copy of v for a model. A copy where no
// request for v may be served is of no use; the last live copy stays. For a model
// without any copy each v that has a second one may go, for one whose runners are all
// down only a v that is asked for less, as the processes are likely to be back.
func (p *placement) mayYield(h *HostState, v, model string) bool {
	switch {
	case !h.allows(v):
		return true
	case p.live[v] < 2:
		return false
	case p.copies[v] > p.target[v], p.copies[model] == 0:
		return true
	default:
		return p.live[model] == 0 && p.perOther(v) < p.heat[model]
	}
}

// perOther is what each live copy of a model has to do when one of them goes.
func (p *placement) perOther(m string) float64 { return p.heat[m] / float64(p.live[m]-1) }

func (p *placement) perCopy(m string) float64 { return p.heat[m] / float64(max(1, p.copies[m])) }
