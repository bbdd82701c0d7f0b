package policy

import (
	"math"
	"slices"
	"time"

	"primroseward/core"
)

// Need is what the recent requests for a model need.
type Need struct {
	Running float64       // requests in progress if all of them were served: rate times duration
	Target  time.Duration // shortest target among them; 0 if not known
	Urgent  time.Duration // shortest target ever seen; 0 if not known
	Idle    bool          // no request has arrived for a while
}

const (
	// maxFill is the part of its room up to which a model's need may rise. Above it first events
	// are late: with 12 slots, 0 to 1 in 100 up to 11 requests, 10 in 100 at 12 to 14.
	maxFill = 0.8
	// burstDeviations is how many standard deviations of the requests in progress a need includes.
	// Arrivals that are independent deviate by the square root of their mean.
	burstDeviations = 2
	// minShortage is the part of a runner's slots from which a model counts as short of room. A smaller
	// shortage is within what requests in progress vary by under constant demand.
	minShortage = 0.25
	// minGain is by how much a model that is short must need its room more than another short model
	// whose replica it gets, so that requests in progress that vary cause no moves to and fro.
	minGain = 1.1
	// patientLoads is how many load times the shortest target of a model's requests must be for
	// the model to count as patient: its requests can wait for a load and still be in time.
	patientLoads = 2
	// otherKindTargets is how many times the target of another model's requests a model's shortest target
	// must be for it not to follow that model in the list: another kind of request asks for it. Targets of
	// live kinds differ by less than 2, those of patient kinds are ten times as long.
	otherKindTargets = 4
	// spreadRounds is how often the need of each model is divided again among its replicas by the
	// room that the other models leave. Further rounds change the room by less than a slot.
	spreadRounds = 3
)

// Reasons of moves, most urgent first.
const (
	reasonAbsent  = "absent"  // requests are refused, as no runner has the model
	reasonPatient = "patient" // the same, but the requests can wait for the load
	reasonLocal   = "local"   // the runner has no model, and a copy that loads sooner than from the weight store
	reasonShort   = "short"   // the replicas have too few free slots
	reasonLast    = "last"    // no runner has the model, and nobody asks for it
	reasonAhead   = "ahead"   // the replicas have too few slots for the demand that is likely to follow
	reasonSpread  = "spread"  // a busy model would be lost with one runner or data centre
	reasonFill    = "fill"    // memory is free
)

var reasonOrder = []string{reasonAbsent, reasonPatient, reasonShort, reasonLast, reasonAhead, reasonSpread, reasonFill}

// aheadWeight is the weight of requests that are expected, against one for those that arrive now.
const aheadWeight = 0.5

// isNeeded reports whether requests are refused or late until a replica has been loaded, or are likely to be soon.
func isNeeded(reason string) bool {
	return reason == reasonAbsent || reason == reasonPatient || reason == reasonShort || reason == reasonAhead
}

// RoomPlan is the result of PlaceByRoom.
type RoomPlan struct {
	Moves   []Move
	Short   int // models short of room
	Surplus int // models that have room for one replica less
}

// roomPlan is the state of one run of PlaceByRoom.
type roomPlan struct {
	engine     *core.Engine
	slots      float64
	hosts      []*hostRoom
	models     []modelRoom
	byName     map[string]*modelRoom
	largestMB  float64
	smallestMB float64
	repairOnly bool
	moves      []Move
}

// hostRoom is a runner and what its models need of it.
type hostRoom struct {
	*HostState
	need     float64 // requests in progress expected there
	expected float64 // the same with the demand that is likely to follow
	replicas []*replicaRoom
	moved    bool
}

// modelRoom is a model, its need and its replicas.
type modelRoom struct {
	spec     *core.Model
	position int
	need     float64 // requests in progress
	expected float64 // the same with the demand that is likely to follow
	busy     bool    // demand above the mean
	patient  bool
	idle     bool
	limited  bool // has a replica that does not count, as its runner accepts too few requests
	replicas []*replicaRoom
}

// replicaRoom is a replica that counts for a model's room.
type replicaRoom struct {
	model   *modelRoom
	host    *hostRoom
	share   float64 // of the model's need
	live    bool    // serves now or will soon: neither promised nor down
	serving bool    // serves now
}

// PlaceByRoom plans like Place, by the slots that each model's requests need. A runner's slots are shared by
// the models that it has. Each model gets replicas until its need is at most maxFill of the slots that the
// other models leave there. A replica is only evicted for a model that is short of room, and only if its own
// model is not short without it; the only exception is a model that no runner has. Memory that is free is
// filled by demand per room, because replicas ahead of demand are worth more than free memory.
func PlaceByRoom(engine *core.Engine, hosts []*HostState, needs map[string]Need, opts ...PlaceOption) RoomPlan {
	var settings placement
	for _, o := range opts {
		o(&settings)
	}
	p := &roomPlan{engine: engine, slots: float64(max(1, engine.Slots)), repairOnly: settings.repairOnly}
	p.addModels(needs)
	p.addHosts(hosts)
	for range spreadRounds {
		p.spreadAll()
	}
	plan := RoomPlan{}
	for i := range p.models {
		m := &p.models[i]
		switch {
		case p.shortage(m, m.need) > 0:
			plan.Short++
		case p.shortage(m, m.expected) < -p.slots && len(m.replicas) > 1:
			plan.Surplus++
		}
	}
	p.placeLocal()
	p.placeNeeded()
	// Models that are needed and found no runner are tried once more: others may have a surplus by now.
	free := p.hasFreeMemory()
	for _, c := range p.claims() {
		if reason := p.reason(c.model); reason != "" && (reason != reasonFill || free) {
			p.placeReplica(c.model, reason)
		}
	}
	plan.Moves = p.moves
	return plan
}

// minSlowLoad is the load time from which replicas are planned by room. Demand for a model stays for some seconds: where a
// load takes one of them, the plan by demand follows it with fewer loads.
const minSlowLoad = 3 * time.Second

// LoadsSlowly reports whether loads of an engine's models take so long that replicas must be planned by room.
func LoadsSlowly(engine *core.Engine) bool {
	return slices.ContainsFunc(engine.Models, func(m core.Model) bool { return m.Load >= minSlowLoad })
}

// IsPatient reports whether requests with a target can wait until a model is loaded. If the configuration does not
// state how long that takes, they cannot.
func IsPatient(target time.Duration, m *core.Model) bool {
	return m.Load > 0 && target >= patientLoads*m.Load
}

// hasFreeMemory reports whether a runner has free memory for a model.
func (p *roomPlan) hasFreeMemory() bool {
	return slices.ContainsFunc(p.hosts, func(h *hostRoom) bool { return !h.Busy && !h.Down && h.FreeMB >= p.smallestMB })
}

// hasMemoryFor reports whether a runner has free memory for a model, though it may carry out another order now.
func (p *roomPlan) hasMemoryFor(m *modelRoom) bool {
	return slices.ContainsFunc(p.hosts, func(h *hostRoom) bool { return !h.Down && h.allows(m.spec.Name) && h.FreeMB >= m.spec.MemoryMB })
}

// addModels records the models and their needs.
func (p *roomPlan) addModels(needs map[string]Need) {
	p.models = make([]modelRoom, len(p.engine.Models))
	p.byName = make(map[string]*modelRoom, len(p.models))
	p.smallestMB = math.Inf(1)
	total := 0.0
	for i := range p.models {
		spec := &p.engine.Models[i]
		n, known := needs[spec.Name]
		p.models[i] = modelRoom{
			spec: spec, position: i, need: n.Running, expected: n.Running, idle: !known || n.Idle,
			patient: IsPatient(n.Target, spec),
		}
		p.byName[spec.Name] = &p.models[i]
		p.largestMB, p.smallestMB = max(p.largestMB, spec.MemoryMB), min(p.smallestMB, spec.MemoryMB)
		total += n.Running
	}
	for i := range p.models {
		m := &p.models[i]
		m.busy = m.need > total/float64(len(p.models))
		if m.patient {
			continue // demand that can wait for a load needs nothing ahead of it
		}
		urgent := needs[m.spec.Name].Urgent
		next := i + 1
		for _, share := range successorShares {
			for next < len(p.models) && needs[p.models[next].spec.Name].Urgent > otherKindTargets*urgent && urgent > 0 {
				next++
			}
			if next < len(p.models) {
				p.models[next].expected += share * m.need
				next++
			}
		}
	}
}

// addHosts records the runners and the replicas that count.
func (p *roomPlan) addHosts(hosts []*HostState) {
	for _, s := range hosts {
		if s.Leaving {
			continue
		}
		h := &hostRoom{HostState: s}
		p.hosts = append(p.hosts, h)
		for name := range s.Models {
			m := p.byName[name]
			if m == nil || !s.allows(name) {
				continue
			}
			if s.Limited && m.busy {
				m.limited = true
				continue
			}
			live := !s.Down && name != s.Pending
			p.addReplica(m, &replicaRoom{host: h, live: live, serving: live && name != s.Loading})
		}
	}
	for i := range p.models {
		m := &p.models[i]
		for _, r := range m.replicas {
			r.share = m.need / float64(len(m.replicas))
			r.host.need += r.share
			r.host.expected += m.expected / float64(len(m.replicas))
		}
	}
}

func (p *roomPlan) addReplica(m *modelRoom, r *replicaRoom) {
	r.model = m
	m.replicas = append(m.replicas, r)
	r.host.replicas = append(r.host.replicas, r)
}

// spreadAll divides the need of each model among its replicas.
func (p *roomPlan) spreadAll() {
	for i := range p.models {
		p.spread(&p.models[i])
	}
}

// spread divides a model's need among its replicas in proportion to the room that the other models leave
// there, as the choice of a runner does.
func (p *roomPlan) spread(m *modelRoom) {
	sum := 0.0
	for _, r := range m.replicas {
		sum += p.roomAt(r)
	}
	for _, r := range m.replicas {
		share := m.need / float64(len(m.replicas))
		if sum > 0 {
			share = m.need * p.roomAt(r) / sum
		}
		r.host.need += share - r.share
		r.share = share
	}
}

// roomAt returns the slots that a replica's runner leaves to its model.
func (p *roomPlan) roomAt(r *replicaRoom) float64 { return max(0, p.slots-(r.host.need-r.share)) }

// room returns the slots that a model's replicas have.
func (p *roomPlan) room(m *modelRoom) float64 {
	sum := 0.0
	for _, r := range m.replicas {
		sum += p.roomAt(r)
	}
	return sum
}

// demandOf returns the room that a number of requests in progress needs.
func demandOf(running float64) float64 {
	return (running + burstDeviations*math.Sqrt(running)) / maxFill
}

// shortage returns how many slots a model lacks for a number of requests in progress.
func (p *roomPlan) shortage(m *modelRoom, running float64) float64 {
	return demandOf(running) - p.room(m)
}

// liveReplicas returns how many replicas serve now or will soon.
func (m *modelRoom) liveReplicas() int {
	n := 0
	for _, r := range m.replicas {
		if r.live {
			n++
		}
	}
	return n
}

// reason returns why a model needs one more replica, or "" if it does not.
func (p *roomPlan) reason(m *modelRoom) string {
	switch {
	case m.liveReplicas() == 0 && m.idle && m.patient:
		return p.unlessRepair(reasonFill) // it is loaded when it is asked for
	case m.liveReplicas() == 0 && m.idle:
		return reasonLast
	case m.liveReplicas() == 0 && m.patient:
		return reasonPatient
	case m.liveReplicas() == 0:
		return reasonAbsent
	case m.patient && m.need <= p.room(m):
		return ""
	case p.shortage(m, m.need) >= minShortage*p.slots:
		return p.unlessRepair(reasonShort)
	case p.shortage(m, m.expected) >= minShortage*p.slots:
		return p.unlessRepair(reasonAhead)
	case m.busy && !m.patient && (len(m.replicas) < 2 || m.dataCentres(nil) < 2):
		return p.unlessRepair(reasonSpread)
	case m.expected > 0:
		return p.unlessRepair(reasonFill)
	}
	return ""
}

func (p *roomPlan) unlessRepair(reason string) string {
	if p.repairOnly {
		return ""
	}
	return reason
}

// dataCentres returns in how many data centres a model has a replica other than one.
func (m *modelRoom) dataCentres(without *replicaRoom) int {
	seen := make([]string, 0, 8)
	for _, r := range m.replicas {
		if r != without && !slices.Contains(seen, r.host.DataCentre) {
			seen = append(seen, r.host.DataCentre)
		}
	}
	return len(seen)
}
