// Package peers lets the daemons of a system know each other: who is alive,
// ready and not leaving, and how many requests each has at which runner. A
// daemon finds the others in the platform's store when it starts, and from
// then on by their datagrams.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// nearEvery and farEvery are how often a daemon tells those of its own
	// place and of other places. Traffic between places is paid for.
	nearEvery = 200 * time.Millisecond
	farEvery  = 400 * time.Millisecond
	// In a fleet of more than smallFleet daemons those of other places are told
	// once in largeEvery, and without loads: runners tell their load on answers
	// as well. What others must know soon is told at once: that a daemon is
	// ready, leaves, or holds the lease. A daemon of another place counts as
	// alive for largeAlive, a datagram and a half: the directory must not name one
	// that has long been off, and leaves out a live one for a moment where a
	// datagram is lost. With 70 daemons told each second these were 75 of 155 MB
	// a day between places.
	smallFleet = 16
	largeEvery = 4 * time.Second
	largeAlive = 5500 * time.Millisecond
	// urgentEvery and urgentAlive are for the daemon that holds the lease, which
	// others must miss soon, and for one that leaves, whose word may be lost.
	urgentEvery = time.Second
	urgentAlive = 3500 * time.Millisecond
	// aliveFor is how long a daemon counts as alive after its last datagram:
	// three that were sent to other places may be lost.
	aliveFor = 1500 * time.Millisecond
	// forgetAfter is how long a silent daemon is still told. One that was cut
	// off alone would otherwise not be found again by those it has forgotten.
	forgetAfter = 2 * time.Minute
	// findEvery is the pause between two tries to register and to list the
	// others, while the store fails.
	findEvery   = 500 * time.Millisecond
	maxDatagram = 60 << 10
)

// Peer is a daemon as it tells of itself.
type Peer struct {
	Name    string         `json:"name"`
	Place   string         `json:"place"`
	Caller  netip.AddrPort `json:"caller"` // that callers connect to
	Peer    netip.AddrPort `json:"peer"`   // of datagrams
	Boot    uint64         `json:"boot"`   // later ones are larger
	Leaving bool           `json:"leaving,omitempty"`
	State
}

// State is what changes of a daemon while it serves.
type State struct {
	Ready     bool          `json:"ready,omitempty"`   // callers may be sent there
	Failing   bool          `json:"failing,omitempty"` // does not reach the store
	Term      uint64        `json:"term,omitempty"`    // of the lease of orders, while it is held
	Fresh     bool          `json:"fresh,omitempty"`   // the lease was renewed lately
	Knows     core.Changes  `json:"knows"`             // the last changes that it knows
	Down      []string      `json:"down,omitempty"`    // runners that have refused its connections lately
	Confirmed time.Duration `json:"confirmed"`         // since its settings were known to be the newest, below 0: never
}

// datagram is what daemons send each other: a beat, or a message between daemons
// that know each other by their beats.
type datagram struct {
	Beat   *beat           `json:"beat,omitempty"`
	From   string          `json:"from,omitempty"`   // of a message: the daemon's name
	Kind   string          `json:"kind,omitempty"`   // of a question or of news
	Number uint64          `json:"number,omitempty"` // joins an answer to its question
	Body   json.RawMessage `json:"body,omitempty"`
}

// beat is a daemon's word of itself.
type beat struct {
	Peer
	Loads map[string]int `json:"loads,omitempty"` // requests in progress by runner; null: not told, as between places of a large fleet
	New   bool           `json:"new,omitempty"`   // has just started and knows nobody
}

type known struct {
	Peer
	heard  time.Time
	silent bool // its silence has been logged
}

// Handler answers a question of another daemon. It must not block.
type Handler func(from Peer, body json.RawMessage, answer func(any))

// Peers is a daemon's view of the others.
type Peers struct {
	store core.Platform
	kind  string
	conn  *net.UDPConn
	clock core.Clock
	log   *zap.Logger
	loads func() map[string]int
	heard func(from Peer, counts map[string]int)
	state func() State

	mu       sync.Mutex
	self     Peer
	known    map[string]*known
	handlers map[string]Handler
	waiting  map[uint64]chan json.RawMessage
	found    bool

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// New makes a Peers that tells loads to others and reports theirs to heard.
// The daemons' objects have the given kind.
func New(self Peer, kind string, store core.Platform, conn *net.UDPConn, clock core.Clock, log *zap.Logger, loads func() map[string]int, heard func(Peer, map[string]int)) *Peers {
	return &Peers{
		store: store, kind: kind, conn: conn, clock: clock, log: log, loads: loads, heard: heard, self: self,
		state: func() State { return State{Confirmed: -1} },
		known: map[string]*known{}, handlers: map[string]Handler{}, waiting: map[uint64]chan json.RawMessage{},
	}
}

// Handle sets the handler of a kind of questions, before Start.
func (p *Peers) Handle(kind string, h Handler) { p.handlers[kind] = h }

// SetState sets what tells this daemon's state, before Start.
func (p *Peers) SetState(fn func() State) { p.state = fn }

// Holder returns the daemon that claims the lease of orders.
func (p *Peers) Holder() (Peer, bool) {
	var best Peer
	for _, one := range p.Alive() {
		if one.Term > best.Term {
			best = one
		}
	}
	return best, best.Term > 0
}

// Start begins to listen and to tell.
func (p *Peers) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.wg.Add(3)
	go p.runRead()
	go p.runTell(ctx)
	go p.runFind(ctx)
}

// Stop closes the socket and waits.
func (p *Peers) Stop() {
	p.stop()
	_ = p.conn.Close()
	p.wg.Wait()
}

// Nudge tells the daemons of this place at once, instead of with the next turn,
// and those of other places if far is set.
func (p *Peers) Nudge(far bool) { p.tell(true, far) }

// Known returns the names of the other daemons that are known, silent ones too, and
// whether the store has been asked for them.
func (p *Peers) Known() (names []string, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.known {
		names = append(names, name)
	}
	return names, p.found
}

// Leave tells the others at once that this daemon stops.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.self.Leaving = true
	p.mu.Unlock()
	p.tell(true, true)
}

// Self is this daemon.
func (p *Peers) Self() Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// Alive returns the daemons heard lately, this one first.
func (p *Peers) Alive() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.self
	self.State = p.state()
	out := []Peer{self}
	now := p.clock.Now()
	for _, k := range p.known {
		if now.Sub(k.heard) < p.aliveFor(k) {
			out = append(out, k.Peer)
		}
	}
	return out
}

// Get returns a daemon that was heard lately.
func (p *Peers) Get(name string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name == p.self.Name {
		return p.self, true
	}
	k, ok := p.known[name]
	if !ok || p.clock.Now().Sub(k.heard) >= p.aliveFor(k) {
		return Peer{}, false
	}
	return k.Peer, true
}

func (p *Peers) runTell(ctx context.Context) {
	defer p.wg.Done()
	var last time.Time
	var said State
	for ctx.Err() == nil {
		now := p.clock.Now()
		state := p.state()
		urgent := state.Ready != said.Ready || state.Term != said.Term
		far := urgent || now.Sub(last) >= p.farEvery(state)
		if far {
			last, said = now, state
		}
		p.tell(true, far)
		core.Sleep(ctx, p.clock, nearEvery)
	}
}

// Large says whether the fleet is a large one, whose places tell each other less.
func (p *Peers) Large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.large()
}

// large says whether the fleet is a large one; the caller holds the lock.
func (p *Peers) large() bool { return len(p.known) >= smallFleet }

func (p *Peers) farEvery(s State) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.large():
		return farEvery
	case s.Term > 0 || p.self.Leaving:
		return urgentEvery
	default:
		return largeEvery
	}
}

// aliveFor is how long a daemon counts as alive after its last datagram; the
// caller holds the lock.
func (p *Peers) aliveFor(k *known) time.Duration {
	switch {
	case !p.large() || k.Place == p.self.Place:
		return aliveFor
	case k.Term > 0 || k.Leaving:
		return urgentAlive
	default:
		return largeAlive
	}
}

// greet tells a daemon that has just started of this one, so that it needs to wait
// for no turn to find one that can give it its copies.
func (p *Peers) greet(to Peer) {
	b := p.beats(false)
	p.send(to.Peer, b.to(to.Place))
}

// beats are this daemon's beats as of now.
type beats struct {
	place     string
	near, far []byte
}

func (b *beats) to(place string) []byte {
	if place == b.place {
		return b.near
	}
	return b.far
}

// beats makes the beats for daemons of this place and of others; fresh is for one
// that has just started.
func (p *Peers) beats(fresh bool) *beats {
	loads, state := p.loads(), p.state()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.State = state
	out := &beats{place: p.self.Place, near: p.beat(loads, fresh)}
	if out.far = out.near; p.large() {
		out.far = p.beat(nil, fresh)
	}
	return out
}

// beat writes a beat; the caller holds the lock. All of its parts can be written.
func (p *Peers) beat(loads map[string]int, fresh bool) []byte {
	data, err := json.Marshal(datagram{Beat: &beat{Peer: p.self, Loads: loads, New: fresh}})
	if err != nil {
		p.log.Error(logs.MessageUnwritten, logs.Err(err))
	}
	return data
}

// tell sends a beat to the daemons of this place and of other places.
func (p *Peers) tell(near, far bool) {
	b := p.beats(false)
	for _, to := range p.due(near, far) {
		p.send(to.Peer, b.to(to.Place))
	}
}

// due are the daemons to tell, with those left out that have been silent for long.
func (p *Peers) due(near, far bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []Peer
	for name, k := range p.known {
		if now.Sub(k.heard) > forgetAfter {
			delete(p.known, name)
			continue
		}
		if now.Sub(k.heard) >= p.aliveFor(k) && !k.silent {
			k.silent = true
			p.log.Info(logs.DaemonSilent, zap.String("other", name), zap.Uint64("term", k.Term), zap.Duration("for", now.Sub(k.heard)))
		}
		if k.Place == p.self.Place && near || k.Place != p.self.Place && far {
			out = append(out, k.Peer)
		}
	}
	return out
}

func (p *Peers) send(to netip.AddrPort, data []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.log.Debug(logs.DatagramUnsent, zap.Stringer("to", to), logs.Err(err))
	}
}

func (p *Peers) runRead() {
	defer p.wg.Done()
	buf := make([]byte, maxDatagram)
	for {
		n, err := p.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Debug(logs.DatagramUnread, logs.Err(err))
			continue
		}
		var d datagram
		if err := json.Unmarshal(buf[:n], &d); err != nil || d.Beat == nil && d.From == "" {
			p.log.Warn(logs.DatagramUnreadable, logs.Err(err))
			continue
		}
		p.take(d)
	}
}

func (p *Peers) take(d datagram) {
	if d.Beat != nil {
		if !p.note(d.Beat.Peer) {
			return
		}
		p.heard(d.Beat.Peer, d.Beat.Loads)
		if d.Beat.New {
			p.greet(d.Beat.Peer)
		}
		return
	}
	switch {
	case d.Kind != "":
		p.answer(d)
	case d.Number != 0:
		p.mu.Lock()
		ch := p.waiting[d.Number]
		delete(p.waiting, d.Number)
		p.mu.Unlock()
		if ch != nil {
			ch <- d.Body
		}
	}
}

// note takes in a daemon's word of itself. One of a process that has been
// replaced since is dropped, unless the newer one is silent: a process that
// starts after its clock was set back has the smaller number.
func (p *Peers) note(from Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.Name == p.self.Name {
		return false
	}
	now := p.clock.Now()
	k, ok := p.known[from.Name]
	if ok && k.Boot > from.Boot && now.Sub(k.heard) < aliveFor {
		return false
	}
	if !ok {
		p.log.Info(logs.DaemonFound, zap.String("other", from.Name), zap.Stringer("caller", from.Caller))
		k = &known{}
		p.known[from.Name] = k
	}
	if ok && k.Leaving != from.Leaving {
		p.log.Info(logs.DaemonChanged, zap.String("other", from.Name), zap.Bool("leaving", from.Leaving))
	}
	if k.silent {
		p.log.Info(logs.DaemonHeard, zap.String("other", from.Name))
	}
	k.Peer, k.heard, k.silent = from, now, false
	return true
}
