package roster

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"primroseward/core"
)

// sim is a fleet on a simulated network, with one goroutine and in virtual time. A seed gives
// the same run each time.
type sim struct {
	rand         *rand.Rand
	now          time.Time
	start        time.Time
	nodes        map[core.Code]*node
	order        []*node
	queue        queue
	eventCount   int
	loss         float64
	delay        time.Duration
	disconnected func(from, to core.Code) bool
	sent         int // datagrams
	bytes        int
	remoteBytes  int // between data centres
	maxDatagram  int // size of the largest datagram, in bytes
}

// maxUDPPayload is the largest payload that the network carries unfragmented, in bytes.
const maxUDPPayload = 1472

// node is one daemon of the simulation.
type node struct {
	Daemon
	code          core.Code
	roster        *Roster
	report        Report
	up            bool
	sent          int
	lookupPending bool
}

// event is a function that runs at a time.
type event struct {
	at       time.Time
	sequence int
	fn       func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, k int) bool {
	if q[i].at.Equal(q[k].at) {
		return q[i].sequence < q[k].sequence
	}
	return q[i].at.Before(q[k].at)
}
func (q queue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func newSim(seed int64) *sim {
	start := time.Unix(1e9, 0)
	return &sim{
		rand: rand.New(rand.NewSource(seed)), now: start, start: start, nodes: map[core.Code]*node{},
		delay: time.Millisecond, disconnected: func(core.Code, core.Code) bool { return false },
	}
}

// newFleet starts daemons in a number of data centres, within 300 ms of each other. Each daemon
// starts with those before it in its roster.
func newFleet(seed int64, daemons, dataCentres int) *sim {
	s := newSim(seed)
	for i := range daemons {
		s.schedule(time.Duration(s.rand.Int63n(int64(300*time.Millisecond))), func() {
			s.startDaemon(fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i%dataCentres))
		})
	}
	return s
}

func (s *sim) schedule(d time.Duration, fn func()) {
	s.eventCount++
	heap.Push(&s.queue, event{s.now.Add(d), s.eventCount, fn})
}

// run advances the time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

// startDaemon starts a daemon whose roster contains all that have ever started, as if read from
// the store.
func (s *sim) startDaemon(name, dataCentre string) *node {
	n := &node{Daemon: Daemon{Name: name, DataCentre: dataCentre, Incarnation: uint64(s.now.UnixNano())}, code: core.CodeOf(name), up: true}
	n.report = Report{Status: Status{Ready: true}, Loads: map[core.Code]int{1: 1}}
	if s.nodes[n.code] == nil {
		s.order = append(s.order, n)
	} else {
		for i := range s.order {
			if s.order[i].code == n.code {
				s.order[i] = n
			}
		}
	}
	s.nodes[n.code] = n
	n.roster = New(s.now, n.Daemon)
	for _, other := range s.order {
		if other != n {
			n.roster.AddDaemon(s.now, other.Daemon)
		}
	}
	for _, code := range n.roster.Contacts() {
		to := s.nodes[code]
		s.schedule(s.delay, func() {
			if to.up {
				to.roster.AddDaemon(s.now, n.Daemon)
			}
		})
	}
	s.tick(n)
	return n
}

func (s *sim) tick(n *node) {
	if !n.up {
		return
	}
	s.send(n, n.roster.Tick(s.now, n.report))
	s.lookUpUnknown(n)
	s.schedule(ReportInterval, func() { s.tick(n) })
}

// lookUpUnknown requests the daemons that are not known to a node from another daemon.
func (s *sim) lookUpUnknown(n *node) {
	source, codes := n.roster.UnknownDaemons(s.now)
	to := s.nodes[source]
	if n.lookupPending || len(codes) == 0 || to == nil {
		return
	}
	n.lookupPending = true
	s.schedule(2*s.delay, func() {
		n.lookupPending = false
		for _, code := range codes {
			k, ok := to.roster.daemons[code]
			if ok && to.up && n.up && !s.disconnected(n.code, source) && code != n.code {
				n.roster.AddDaemon(s.now, k.Daemon)
			}
		}
	})
}

func (s *sim) send(from *node, messages []Message) {
	for _, m := range messages {
		to := s.nodes[m.To]
		s.sent++
		from.sent++
		s.bytes += len(m.Data)
		s.maxDatagram = max(s.maxDatagram, len(m.Data))
		if len(m.Data) > maxUDPPayload {
			panic(fmt.Sprintf("datagram of %d bytes", len(m.Data)))
		}
		if to.DataCentre != from.DataCentre {
			s.remoteBytes += len(m.Data)
		}
		if s.rand.Float64() < s.loss || s.disconnected(from.code, m.To) {
			continue
		}
		s.schedule(s.delay, func() { s.deliver(from, to, m.Data) })
	}
}

func (s *sim) deliver(from, to *node, data []byte) {
	if !to.up {
		return
	}
	out, _, err := to.roster.Receive(s.now, data)
	if errors.Is(err, ErrUnknown) {
		to.roster.AddDaemon(s.now, from.Daemon)
	}
	s.send(to, out)
}

// seenBy returns the number of daemons that see another one as alive.
func (s *sim) seenBy(code core.Code) int {
	n := 0
	for _, one := range s.order {
		if _, ok := one.roster.Status(s.now, code); ok && one.up && one.code != code {
			n++
		}
	}
	return n
}

// othersInDataCentre returns the number of other live daemons in a daemon's data centre.
func (s *sim) othersInDataCentre(of *node) int {
	n := 0
	for _, one := range s.order {
		if one.up && one != of && one.DataCentre == of.DataCentre {
			n++
		}
	}
	return n
}

// hubOf returns the daemon that acts as the hub of a daemon's group.
func (s *sim) hubOf(of *node) *node {
	for _, code := range of.roster.ownMembers() {
		if n := s.nodes[code]; n.up && n.roster.isHub(s.now) {
			return n
		}
	}
	return nil
}

// runUntil advances the time until a condition holds, by limit at most, and returns how long
// that took.
func (s *sim) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := s.now
	for s.now.Sub(start) < limit {
		s.run(10 * time.Millisecond)
		if condition() {
			return s.now.Sub(start), true
		}
	}
	return limit, false
}
