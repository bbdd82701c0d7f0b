package policy

import (
	"cmp"
	"slices"
	"time"

	"primroseward/core"
)

// Weights of the cost of a runner for one more replica, in seconds like the time to load.
const (
	// roomWeight is for a runner whose slots its other models need all. Demand for a model lasts
	// about ten seconds, in which such a replica would serve little.
	roomWeight = 6
	// sharedDataCentreWeight is for a runner in the only data centre that has the model.
	sharedDataCentreWeight = 2
	// surplusWeight is for an eviction from a model with no surplus; it falls to 0 at
	// ampleReplicas replicas of surplus.
	surplusWeight = 2
	ampleReplicas = 2
	// shortVictimWeight is for an eviction that leaves its model short of room. It exceeds the other costs, so
	// that it is planned only if no runner has a replica to spare.
	shortVictimWeight = 20
	// drainBase and drainPerRequest are the time to unload a model without requests and the
	// additional time per request in progress, up to maxDrain: 0.16 s, 1 s with one or two, 2.4 s
	// with six to eleven.
	drainBase       = 0.16
	drainPerRequest = 0.4
	maxDrain        = 3.5
	// localLoad is the time to load a local copy if the configuration does not state it.
	localLoad = time.Second
	// minLocalGain is how many times as long a load from the weight store must take for an empty runner to load a local
	// copy before it. The load that it delays is then late by a third at most.
	minLocalGain = 3
)

// claim is a model that needs one more replica.
type claim struct {
	model   *modelRoom
	urgency int     // position of the reason in reasonOrder
	amount  float64 // of claims that are as urgent, the largest comes first
}

// claims lists the models that need one more replica, most urgent first.
func (p *roomPlan) claims() []claim {
	var out []claim
	for i := range p.models {
		m := &p.models[i]
		reason := p.reason(m)
		if reason == "" {
			continue
		}
		c := claim{model: m, urgency: slices.Index(reasonOrder, reason), amount: m.expected}
		switch reason {
		case reasonShort:
			c.amount = p.shortage(m, m.need)
		case reasonAhead:
			c.amount = demandOf(m.expected) / max(1, p.room(m))
		case reasonFill:
			c.amount = m.expected / max(1, p.room(m))
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(b.amount, a.amount))
	})
	return out
}

// placeLocal lets each runner without any model load a local copy first, that of the model with the largest shortage. Such a
// copy serves while the next model comes from the weight store, for which the runner would be unused otherwise: a
// runner that has crashed has its copies on disk still.
func (p *roomPlan) placeLocal() {
	for _, h := range p.hosts {
		if len(h.Models) > 0 {
			continue
		}
		var best *modelRoom
		largest := 0.0
		for name := range h.Local {
			m := p.byName[name]
			if m == nil || !p.mayLoad(h, m, reasonLocal) || h.FreeMB < m.spec.MemoryMB || m.spec.Load < minLocalGain*localLoadTime(m.spec) {
				continue
			}
			if short := p.shortage(m, m.expected); short > largest || short == largest && best != nil && m.position < best.position {
				best, largest = m, short
			}
		}
		if best != nil {
			p.load(h, best, Move{Need: demandOf(best.expected), Room: p.room(best), Reason: reasonLocal})
		}
	}
}

// load plans the load of a replica on a runner that has the memory.
func (p *roomPlan) load(h *hostRoom, m *modelRoom, move Move) {
	move.Runner, move.Model, move.Load = h.ID, m.spec.Name, true
	h.moved = true
	p.moves = append(p.moves, move)
	p.addReplica(m, &replicaRoom{host: h, live: true})
	p.spread(m)
}

// localLoadTime returns the time to load a local copy.
func localLoadTime(spec *core.Model) time.Duration {
	if spec.DiskLoad > 0 {
		return spec.DiskLoad
	}
	return localLoad
}

// placeNeeded places replicas of the models for which requests are refused or late, or soon will be, that with the most
// requests first, until none is short of room or no runner may load one. After many runners have crashed, a load of a
// rarely used model would take an empty runner for seconds in which it could serve a dozen requests of a busy one.
func (p *roomPlan) placeNeeded() {
	var needed []claim
	for _, c := range p.claims() {
		if isNeeded(p.reason(c.model)) {
			needed = append(needed, p.neededClaim(c.model))
		}
	}
	for len(needed) > 0 {
		first := 0
		for i := range needed {
			if needed[i].amount > needed[first].amount {
				first = i
			}
		}
		m := needed[first].model
		if p.placeReplica(m, p.reason(m)) && isNeeded(p.reason(m)) {
			needed[first] = p.neededClaim(m)
			continue
		}
		needed = slices.Delete(needed, first, first+1)
	}
}

// neededClaim returns the claim of a model that needs a replica. Its amount is the requests in progress that have no
// room.
func (p *roomPlan) neededClaim(m *modelRoom) claim {
	switch short := p.shortage(m, m.need); {
	case m.liveReplicas() == 0:
		return claim{model: m, amount: m.need}
	case short >= minShortage*p.slots:
		return claim{model: m, amount: short}
	default:
		return claim{model: m, amount: aheadWeight * p.shortage(m, m.expected)}
	}
}

// placeReplica finds the runner for one more replica of a model and plans the load, or the unload of another
// model if no runner has enough free memory. It returns false if no runner may load it.
func (p *roomPlan) placeReplica(m *modelRoom, reason string) bool {
	var best *hostRoom
	var victim *replicaRoom
	bestCost := 0.0
	room, need := p.room(m), demandOf(m.need)
	if reason == reasonAhead || reason == reasonFill {
		need = demandOf(m.expected)
	}
	draining := m.liveReplicas() == 0 && p.drainInProgress(m)
	for _, h := range p.hosts {
		if !p.mayLoad(h, m, reason) {
			continue
		}
		var v *replicaRoom
		if h.FreeMB < m.spec.MemoryMB {
			if draining || reason == reasonFill {
				continue
			}
			if v = p.chooseVictim(h, m, reason); v == nil {
				continue
			}
		}
		if cost := p.cost(h, m, v); best == nil || cost < bestCost {
			best, victim, bestCost = h, v, cost
		}
	}
	if best == nil {
		return false
	}
	move := Move{Need: need, Room: room, Reason: reason}
	if victim == nil {
		p.load(best, m, move)
		return true
	}
	best.moved = true
	move.Runner, move.Model, move.For = best.ID, victim.model.spec.Name, m.spec.Name
	p.removeReplica(victim)
	p.moves = append(p.moves, move)
	p.addReplica(m, &replicaRoom{host: best, live: true})
	p.spread(m)
	p.spread(victim.model)
	return true
}

// mayLoad reports whether a runner may be chosen for one more replica of a model.
func (p *roomPlan) mayLoad(h *hostRoom, m *modelRoom, reason string) bool {
	if h.Busy || h.Down || h.moved || h.Limited && m.busy || h.Models[m.spec.Name] || !h.allows(m.spec.Name) {
		return false
	}
	return reason != reasonSpread || len(m.replicas) < 2 || !slices.ContainsFunc(m.replicas, func(r *replicaRoom) bool { return r.host.DataCentre == h.DataCentre })
}

// removeReplica removes a replica that is to be evicted.
func (p *roomPlan) removeReplica(r *replicaRoom) {
	isIt := func(o *replicaRoom) bool { return o == r }
	r.model.replicas = slices.DeleteFunc(r.model.replicas, isIt)
	r.host.replicas = slices.DeleteFunc(r.host.replicas, isIt)
	r.host.need -= r.share
}

// drainInProgress reports whether a runner that is up is unloading another model to load this one.
func (p *roomPlan) drainInProgress(m *modelRoom) bool {
	return slices.ContainsFunc(p.hosts, func(h *hostRoom) bool { return h.drainsFor(m.spec.Name) })
}

// chooseVictim returns the replica that a runner evicts for another model: of those that may be evicted, that
// of the model with the largest surplus. A replica that does not count for its model's room goes first.
func (p *roomPlan) chooseVictim(h *hostRoom, m *modelRoom, reason string) *replicaRoom {
	var best *replicaRoom
	bestSurplus := 0.0
	for name := range h.Models {
		if v := p.byName[name]; v != nil && !h.allows(name) && h.FreeMB+v.spec.MemoryMB >= m.spec.MemoryMB {
			return &replicaRoom{model: v, host: h}
		}
	}
	for _, v := range h.replicas {
		if h.FreeMB+v.model.spec.MemoryMB < m.spec.MemoryMB || !p.mayEvict(v, m, reason) {
			continue
		}
		if surplus := p.surplusWithout(v); best == nil || surplus > bestSurplus || surplus == bestSurplus && v.model.position < best.model.position {
			best, bestSurplus = v, surplus
		}
	}
	return best
}

// surplusWithout returns the room that a model has beyond its need if it loses a replica, counting only
// replicas that serve now.
func (p *roomPlan) surplusWithout(v *replicaRoom) float64 {
	room := 0.0
	for _, r := range v.model.replicas {
		if r != v && r.serving {
			room += p.roomAt(r)
		}
	}
	return room - demandOf(v.model.expected)
}

// fillWithout returns which part of its room a model needs if it loses a replica.
func (p *roomPlan) fillWithout(v *replicaRoom) float64 {
	need := demandOf(v.model.expected)
	return need / max(1, p.surplusWithout(v)+need)
}

// spreadWithout reports whether a model that is busy is on as many runners and data centres as its
// availability needs if it loses a replica.
func (m *modelRoom) spreadWithout(r *replicaRoom) bool {
	return !m.busy || m.patient || len(m.replicas) > 2 && m.dataCentres(r) >= min(2, m.dataCentres(nil))
}

// mayEvict reports whether a replica may be evicted to load another model. One stays for as long as a load takes, or
// demand that varies would evict replicas that have not served yet. The last replica that serves stays, unless nobody
// asks for its model and a load takes at most half of its requests' target. Of the others, each may go for a model
// without any replica, unless its own model would be short and a runner has free memory. For one whose replicas are all
// on runners that are down, those of models with less need may go, as such processes are likely to be back soon.
// Otherwise the model that loses a replica must stay on two runners and in two data centres if it is busy, and must not
// become short. If the models together need more than there is, it must still be less short than the other model is
// with the memory.
func (p *roomPlan) mayEvict(v *replicaRoom, m *modelRoom, reason string) bool {
	others := 0
	for _, r := range v.model.replicas {
		if r != v && r.serving {
			others++
		}
	}
	urgent := reason == reasonAbsent || reason == reasonPatient || reason == reasonLast
	switch {
	case v.host.Fresh[v.model.spec.Name]:
		return false
	case others == 0:
		return v.model.idle && v.model.patient && reason != reasonLast
	case urgent:
		return len(m.replicas) == 0 && !m.limited && (p.surplusWithout(v) >= 0 || !p.hasMemoryFor(m)) || v.model.need/float64(others) < m.need
	case !v.model.spreadWithout(v):
		return false
	case p.surplusWithout(v) >= 0:
		return true
	case reason == reasonShort || reason == reasonAhead:
		return p.fillWithout(v)*minGain < demandOf(m.expected)/(p.room(m)+p.slots)
	}
	return false
}

// cost returns the cost of loading a model on a runner, roughly in seconds.
func (p *roomPlan) cost(h *hostRoom, m *modelRoom, victim *replicaRoom) float64 {
	cost := m.spec.Load.Seconds()
	if h.Local[m.spec.Name] {
		cost = localLoadTime(m.spec).Seconds()
	}
	others, free := h.expected, h.FreeMB
	if victim != nil {
		v := victim.model
		others -= v.expected / float64(len(v.replicas)+1)
		free += v.spec.MemoryMB
		cost += min(maxDrain, drainBase+drainPerRequest*victim.share)
		surplus := p.surplusWithout(victim)
		cost += surplusWeight * (1 - max(0, min(1, surplus/(ampleReplicas*p.slots))))
		if surplus < 0 {
			cost += shortVictimWeight
		}
	}
	cost += roomWeight * max(0, min(1, others/p.slots))
	if len(m.replicas) > 0 {
		same := 0
		for _, r := range m.replicas {
			if r.host.DataCentre == h.DataCentre {
				same++
			}
		}
		cost += sharedDataCentreWeight * float64(same) / float64(len(m.replicas))
	}
	return cost + fragmentationWeight*float64(fittingLost(free, m.spec.MemoryMB, p.largestMB))
}
