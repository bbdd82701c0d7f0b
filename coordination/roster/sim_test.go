package roster

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"primroseward/core"
)

// sim is a fleet on a simulated network: one goroutine, virtual time, the same each
// time for a seed.
type sim struct {
	rand    *rand.Rand
	now     time.Time
	begin   time.Time
	nodes   map[core.Code]*node
	order   []*node
	queue   queue
	number  int
	loss    float64
	delay   time.Duration
	cut     func(from, to core.Code) bool
	sent    int // datagrams
	bytes   int
	far     int // bytes between places
	biggest int // of a datagram
}

// packet is what the network carries in one piece.
const packet = 1472

// node is one daemon.
type node struct {
	Daemon
	code   core.Code
	roster *Roster
	word   Word
	up     bool
	sent   int
	asking bool
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, k int) bool {
	if q[i].at.Equal(q[k].at) {
		return q[i].number < q[k].number
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
	begin := time.Unix(1e9, 0)
	return &sim{
		rand: rand.New(rand.NewSource(seed)), now: begin, begin: begin, nodes: map[core.Code]*node{},
		delay: time.Millisecond, cut: func(core.Code, core.Code) bool { return false },
	}
}

// fleetOf starts daemons in places within 300 ms of each other; each has listed those
// that came before it.
func fleetOf(seed int64, daemons, places int) *sim {
	s := newSim(seed)
	for i := range daemons {
		s.after(time.Duration(s.rand.Int63n(int64(300*time.Millisecond))), func() {
			s.join(fmt.Sprintf("vm-%d", i), fmt.Sprintf("place-%d", i%places))
		})
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.number++
	heap.Push(&s.queue, event{s.now.Add(d), s.number, do})
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// join starts a daemon, which knows all that have ever started, as from the store.
func (s *sim) join(name, place string) *node {
	n := &node{Daemon: Daemon{Name: name, Place: place, Boot: uint64(s.now.UnixNano())}, code: core.CodeOf(name), up: true}
	n.word = Word{Status: Status{Ready: true}, Loads: map[core.Code]int{1: 1}}
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
			n.roster.Know(s.now, other.Daemon)
		}
	}
	for _, code := range n.roster.Contacts() {
		to := s.nodes[code]
		s.after(s.delay, func() {
			if to.up {
				to.roster.Know(s.now, n.Daemon)
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
	s.send(n, n.roster.Tick(s.now, n.word))
	s.askNames(n)
	s.after(TellEvery, func() { s.tick(n) })
}

// askNames asks another daemon for those that are not known.
func (s *sim) askNames(n *node) {
	ask, codes := n.roster.Unknown(s.now)
	to := s.nodes[ask]
	if n.asking || len(codes) == 0 || to == nil {
		return
	}
	n.asking = true
	s.after(2*s.delay, func() {
		n.asking = false
		for _, code := range codes {
			k, ok := to.roster.known[code]
			if ok && to.up && n.up && !s.cut(n.code, ask) && code != n.code {
				n.roster.Know(s.now, k.Daemon)
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
		s.biggest = max(s.biggest, len(m.Data))
		if len(m.Data) > packet {
			panic(fmt.Sprintf("datagram of %d bytes", len(m.Data)))
		}
		if to.Place != from.Place {
			s.far += len(m.Data)
		}
		if s.rand.Float64() < s.loss || s.cut(from.code, m.To) {
			continue
		}
		s.after(s.delay, func() { s.take(from, to, m.Data) })
	}
}

func (s *sim) take(from, to *node, data []byte) {
	if !to.up {
		return
	}
	out, _, err := to.roster.Take(s.now, data)
	if errors.Is(err, ErrUnknown) {
		to.roster.Know(s.now, from.Daemon)
	}
	s.send(to, out)
}

// seen is how many of the fleet see a daemon as alive, without itself.
func (s *sim) seen(code core.Code) int {
	n := 0
	for _, one := range s.order {
		if _, ok := one.roster.Status(s.now, code); ok && one.up && one.code != code {
			n++
		}
	}
	return n
}

// neighbours is how many other daemons of a daemon's place live.
func (s *sim) neighbours(of *node) int {
	n := 0
	for _, one := range s.order {
		if one.up && one != of && one.Place == of.Place {
			n++
		}
	}
	return n
}

// hub returns the daemon that acts as hub of another one's group.
func (s *sim) hub(of *node) *node {
	for _, code := range of.roster.mine() {
		if n := s.nodes[code]; n.up && n.roster.acts(s.now) {
			return n
		}
	}
	return nil
}

// until lets time pass until something holds, and returns how long that was.
func (s *sim) until(most time.Duration, holds func() bool) (time.Duration, bool) {
	began := s.now
	for s.now.Sub(began) < most {
		s.run(10 * time.Millisecond)
		if holds() {
			return s.now.Sub(began), true
		}
	}
	return most, false
}
