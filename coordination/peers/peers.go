// Package peers lets the daemons of a system know each other: who is alive,
// ready and not leaving, and how many requests each has at which runner. A
// daemon finds the others in the platform's store when it starts, and from
// then on by their datagrams.
package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/roster"
	"primroseward/core"
)

const (
	// nearEvery and farEvery are how often a daemon tells those of its own
	// place and of other places. Traffic between places is paid for.
	nearEvery = 200 * time.Millisecond
	farEvery  = 400 * time.Millisecond
	// smallFleet is the size from which daemons tell each other by hubs (package
	// roster). Up to it each tells each: the word is as young as can be, and sixteen
	// daemons cost each other 80 datagrams a second.
	smallFleet = 16
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
	Caller  netip.AddrPort `json:"caller"`          // that callers connect to
	Peer    netip.AddrPort `json:"peer"`            // of datagrams
	Boot    uint64         `json:"boot"`            // later ones are larger
	Cores   float64        `json:"cores,omitempty"` // of a processor that it may use; 0: not known
	Leaving bool           `json:"leaving,omitempty"`
	State
}

// State is what changes of a daemon while it serves.
type State struct {
	Ready     bool          `json:"ready,omitempty"`   // callers may be sent there
	Failing   bool          `json:"failing,omitempty"` // does not reach the store
	Term      uint64        `json:"term,omitempty"`    // of the lease of orders, while it is held
	Fresh     bool          `json:"fresh,omitempty"`   // the lease was renewed lately
	Knows     core.Changes  `json:"knows"`             // the last changes that it knows; in a large fleet only of the settings
	Down      []core.Code   `json:"down,omitempty"`    // runners that have refused its connections lately; not kept in a large fleet
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
	Pass   bool            `json:"pass,omitempty"` // to the group of the hub that gets it
}

// beat is a daemon's word of itself.
type beat struct {
	Peer
	Loads map[core.Code]int        `json:"loads,omitempty"` // requests in progress by runner; null: told by hubs
	Usage map[core.Code]core.Usage `json:"usage,omitempty"` // of its callers by workspace; null: told by hubs
	New   bool                     `json:"new,omitempty"`   // has just started and knows nobody
}

type known struct {
	Peer
	heard  time.Time
	listed bool // by a hub, as alive
	silent bool // its silence has been logged, or it has not been heard yet
	met    bool // it has been heard
	usage  map[core.Code]core.Usage
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
	loads func() map[core.Code]int
	heard func(from Peer, counts map[core.Code]int)
	told  func(News)
	count func(kind string, near bool, bytes int)
	usage func() map[core.Code]core.Usage
	users func(heard, known int, others map[core.Code]core.Usage)
	state func() State

	mu       sync.Mutex
	self     Peer
	known    map[string]*known
	handlers map[string]Handler
	waiting  map[uint64]chan json.RawMessage
	found    bool
	roster   *roster.Roster // used in a large fleet
	acting   bool           // as a hub
	out      chan outgoing  // to daemons of a large fleet
	// strangers tells that a hub has named daemons that are not known.
	strangers chan struct{}

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// New makes a Peers that tells loads to others and reports theirs to heard.
// The daemons' objects have the given kind. In a large fleet heard gets the sum of the
// loads of the place's other daemons, as those of a Peer without a name.
func New(self Peer, kind string, store core.Platform, conn *net.UDPConn, clock core.Clock, log *zap.Logger, loads func() map[core.Code]int, heard func(Peer, map[core.Code]int), opts ...Option) *Peers {
	p := &Peers{
		store: store, kind: kind, conn: conn, clock: clock, log: log, loads: loads, heard: heard, self: self,
		state: func() State { return State{Confirmed: -1} },
		told:  func(News) {}, count: func(string, bool, int) {},
		usage: func() map[core.Code]core.Usage { return nil }, users: func(int, int, map[core.Code]core.Usage) {},
		known: map[string]*known{}, handlers: map[string]Handler{}, waiting: map[uint64]chan json.RawMessage{},
		roster: roster.New(clock.Now(), self.daemon()), out: make(chan outgoing, maxOut), strangers: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(p)
	}
	p.Handle(kindNames, p.handleNames)
	return p
}

// Option changes a Peers.
type Option func(*Peers)

// WithNews sets what takes in what the hubs of a large fleet tell beyond loads and
// the daemons' states.
func WithNews(fn func(News)) Option { return func(p *Peers) { p.told = fn } }

// WithCount tells of each datagram that is sent: what it is for, whether to a daemon of
// the same place, and its size.
func WithCount(fn func(kind string, near bool, bytes int)) Option {
	return func(p *Peers) { p.count = fn }
}

// WithUsage tells the others what workspaces use here, and gives what they tell to heard
// in each turn, with how many daemons are in touch, this one included, and how many there
// may be, 0 as long as that is not known. What is left of an allowance is as the others
// think, NaN where they do not know.
func WithUsage(own func() map[core.Code]core.Usage, heard func(heard, known int, others map[core.Code]core.Usage)) Option {
	return func(p *Peers) { p.usage, p.users = own, heard }
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
	p.wg.Add(5)
	go p.runRead()
	go p.runTell(ctx)
	go p.runNames(ctx)
	go p.runSend(ctx)
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
func (p *Peers) Nudge(far bool) { p.tellNow(far) }

// Acquaintance is another daemon that is known, whether it is alive or not.
type Acquaintance struct {
	Peer
	Alive bool
}

// Known returns the other daemons that are known, silent ones too.
func (p *Peers) Known() []Acquaintance {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	out := make([]Acquaintance, 0, len(p.known))
	for _, k := range p.known {
		out = append(out, Acquaintance{Peer: k.Peer, Alive: k.alive(now)})
	}
	return out
}

// Found says whether the store has been asked for the others.
func (p *Peers) Found() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.found
}

// Leave tells the others at once that this daemon stops.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.self.Leaving = true
	p.mu.Unlock()
	p.tellNow(true)
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
		if k.alive(now) {
			out = append(out, k.Peer)
		}
	}
	return out
}

// Count is how many daemons Alive returns.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, n := p.clock.Now(), 1
	for _, k := range p.known {
		if k.alive(now) {
			n++
		}
	}
	return n
}

// alive says whether a daemon was heard lately, by its own datagrams or by a hub.
func (k *known) alive(now time.Time) bool { return k.listed || now.Sub(k.heard) < aliveFor }

// Get returns a daemon that was heard lately.
func (p *Peers) Get(name string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name == p.self.Name {
		return p.self, true
	}
	k, ok := p.known[name]
	if !ok || !k.alive(p.clock.Now()) {
		return Peer{}, false
	}
	return k.Peer, true
}

func (p *Peers) runTell(ctx context.Context) {
	defer p.wg.Done()
	var last time.Time
	var said State
	for ctx.Err() == nil {
		p.tellUsage()
		if p.Large() {
			p.tellHubs(false)
			core.Sleep(ctx, p.clock, roster.TellEvery)
			continue
		}
		now := p.clock.Now()
		state := p.state()
		urgent := state.Ready != said.Ready || state.Term != said.Term
		far := urgent || now.Sub(last) >= farEvery
		if far {
			last, said = now, state
		}
		p.tell(far)
		core.Sleep(ctx, p.clock, nearEvery)
	}
}

// Large says whether the fleet is a large one, whose daemons tell each other by hubs.
func (p *Peers) Large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.large()
}

// large says whether the fleet is a large one; the caller holds the lock.
func (p *Peers) large() bool { return len(p.known) >= smallFleet }
