// Package peers keeps track of the other daemons of the fleet: which are alive, ready and
// not leaving, and how many requests each has in progress at each runner. A daemon lists
// its peers in the platform's store when it starts; from then on they exchange datagrams.
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
	// localInterval and remoteInterval are the heartbeat intervals to peers of the same
	// and of other data centres. Traffic between data centres is paid for.
	localInterval  = 200 * time.Millisecond
	remoteInterval = 400 * time.Millisecond
	// smallFleet is the largest number of daemons, this one included, that send heartbeats
	// directly to each other, so that states are as recent as possible; sixteen daemons cost
	// each other 80 datagrams a second. Larger fleets use hubs (package roster).
	smallFleet = 16
	// aliveTimeout is how long a peer counts as alive after its last heartbeat: three
	// heartbeats to another data centre may be lost.
	aliveTimeout = 1500 * time.Millisecond
	// forgetAfter is how long heartbeats are still sent to an unreachable peer. If a daemon
	// alone was cut off and its peers had forgotten it, it would not be found again.
	forgetAfter = 2 * time.Minute
	// discoveryRetry is the mean pause between two attempts to register and to list the
	// other daemons while the store fails.
	discoveryRetry = 500 * time.Millisecond
	maxDatagram    = 60 << 10
)

// Peer is a daemon as it describes itself.
type Peer struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"place"`           // data centre
	Caller     netip.AddrPort `json:"caller"`          // address that callers connect to
	Peer       netip.AddrPort `json:"peer"`            // address for datagrams of other daemons
	Boot       uint64         `json:"boot"`            // start of the process in Unix nanoseconds
	Cores      float64        `json:"cores,omitempty"` // processor cores that it may use; 0: not known
	Leaving    bool           `json:"leaving,omitempty"`
	State
}

// State is the part of a Peer that changes while the daemon serves.
type State struct {
	Ready           bool          `json:"ready,omitempty"`   // callers may be sent to it
	Failing         bool          `json:"failing,omitempty"` // does not reach the store
	PathLost        bool          `json:"cut,omitempty"`     // has lost its path to the runners
	Term            uint64        `json:"term,omitempty"`    // of the lease of orders, while it holds the lease
	LeaseRenewed    bool          `json:"fresh,omitempty"`   // the lease was renewed recently
	LastChanges     core.Changes  `json:"knows"`             // the last changes that it has received; in a large fleet only of the settings
	RefusingRunners []core.Code   `json:"down,omitempty"`    // runners that have recently refused its connections; not kept in a large fleet
	Confirmed       time.Duration `json:"confirmed"`         // since its settings were confirmed to be the store's newest; below 0: never
}

// datagram is a JSON datagram between daemons: a heartbeat, a request for one, a message
// or a reply. Messages are only accepted from peers whose addresses are known.
type datagram struct {
	Heartbeat *heartbeat      `json:"beat,omitempty"`
	From      string          `json:"from,omitempty"`   // name of the daemon that sent the message
	Kind      string          `json:"kind,omitempty"`   // of a message; empty in a reply
	Number    uint64          `json:"number,omitempty"` // matches a reply to its request; 0: no reply expected
	Body      json.RawMessage `json:"body,omitempty"`
	Forward   bool            `json:"pass,omitempty"` // the receiving hub forwards the message to its group
}

// heartbeat is a daemon's description of itself.
type heartbeat struct {
	Peer
	Loads   map[core.Code]int        `json:"loads,omitempty"` // requests in progress by runner; null: reported to hubs instead
	Usage   map[core.Code]core.Usage `json:"usage,omitempty"` // of its callers by workspace; null: reported to hubs instead
	Started bool                     `json:"new,omitempty"`   // has just started and has received nothing yet
}

type knownPeer struct {
	Peer
	lastSeen    time.Time // when its last heartbeat or a hub's summary that lists it was received
	listed      bool      // as alive in a hub's summary
	unreachable bool      // logged as unreachable, or nothing received yet
	reached     bool      // has been reachable before
	usage       map[core.Code]core.Usage
}

// Handler handles a message of a peer; reply sends the reply to a request. It must not
// block.
type Handler func(from Peer, body json.RawMessage, reply func(any))

// Peers is a daemon's view of the other daemons.
type Peers struct {
	store     core.Platform
	kind      string // of the daemons' objects in the store
	conn      *net.UDPConn
	clock     core.Clock
	log       *zap.Logger
	ownLoads  func() map[core.Code]int
	onLoads   func(from Peer, counts map[core.Code]int)
	onSummary func(Summary)
	onSend    func(kind string, sameDataCentre bool, bytes int)
	ownUsage  func() map[core.Code]core.Usage
	onUsage   func(reachable, known int, usage map[core.Code]core.Usage)
	state     func() State
	counts    *occupancyCounts // nil: not used
	grace     func() time.Duration

	mu         sync.Mutex
	self       Peer
	known      map[string]*knownPeer // by name
	handlers   map[string]Handler    // by kind of message
	pending    map[uint64]chan json.RawMessage
	discovered bool
	created    bool           // this daemon was not listed in the store before its start
	roster     *roster.Roster // used in a large fleet
	actsAsHub  bool
	sendQueue  chan queued // for peers of a large fleet
	// lookup signals that a hub's summary lists daemons that are not known here.
	lookup chan struct{}

	wg   sync.WaitGroup
	stop context.CancelFunc
}

// New makes a Peers that sends this daemon's loads to its peers and passes theirs to
// onLoads. The daemons' objects in the store have the given kind. In a large fleet onLoads
// gets the sum of the loads of the data centre's other daemons, as those of a Peer without
// a name.
func New(self Peer, kind string, store core.Platform, conn *net.UDPConn, clock core.Clock, log *zap.Logger, loads func() map[core.Code]int, onLoads func(Peer, map[core.Code]int), opts ...Option) *Peers {
	p := &Peers{
		store: store, kind: kind, conn: conn, clock: clock, log: log, ownLoads: loads, onLoads: onLoads, self: self,
		state:     func() State { return State{Confirmed: -1} },
		onSummary: func(Summary) {}, onSend: func(string, bool, int) {},
		ownUsage: func() map[core.Code]core.Usage { return nil }, onUsage: func(int, int, map[core.Code]core.Usage) {},
		known: map[string]*knownPeer{}, handlers: map[string]Handler{}, pending: map[uint64]chan json.RawMessage{},
		grace:  func() time.Duration { return 0 },
		roster: roster.New(clock.Now(), self.daemon()), sendQueue: make(chan queued, maxQueued), lookup: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(p)
	}
	p.Handle(kindLookup, p.handleLookup)
	return p
}

// Option changes a Peers.
type Option func(*Peers)

// WithSummaries sets the function that gets the hubs' summaries in a large fleet, without the
// loads and the daemons' states.
func WithSummaries(fn func(Summary)) Option { return func(p *Peers) { p.onSummary = fn } }

// WithDatagramCounter calls fn for each datagram that is sent, with its kind, whether it goes to a
// peer of the same data centre, and its size.
func WithDatagramCounter(fn func(kind string, sameDataCentre bool, bytes int)) Option {
	return func(p *Peers) { p.onSend = fn }
}

// WithUsage sends what workspaces use at this daemon to the peers, and passes what the
// peers report to onUsage in each interval. reachable and known are the numbers of daemons,
// this one included, that are reachable and that may exist; known is 0 until the store has
// been listed. What is left of an allowance is as the peers estimate it, NaN where they
// have no estimate.
func WithUsage(own func() map[core.Code]core.Usage, onUsage func(reachable, known int, usage map[core.Code]core.Usage)) Option {
	return func(p *Peers) { p.ownUsage, p.onUsage = own, onUsage }
}

// WithGrace sets the function that returns the longest time that a daemon takes to stop.
func WithGrace(fn func() time.Duration) Option { return func(p *Peers) { p.grace = fn } }

// Handle sets the handler of a kind of messages. It must be called before Start.
func (p *Peers) Handle(kind string, h Handler) { p.handlers[kind] = h }

// SetState sets the function that returns this daemon's state. It must be called before
// Start.
func (p *Peers) SetState(fn func() State) { p.state = fn }

// Holder returns the daemon that holds the lease of orders: of several that claim it, the
// one with the latest term.
func (p *Peers) Holder() (Peer, bool) {
	var best Peer
	for _, peer := range p.Alive() {
		if peer.Term > best.Term {
			best = peer
		}
	}
	return best, best.Term > 0
}

// Start starts to receive and to send.
func (p *Peers) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.wg.Add(5)
	go p.runRead()
	go p.runHeartbeats(ctx)
	go p.runLookup(ctx)
	go p.runSend(ctx)
	go p.runDiscovery(ctx)
	if p.counts != nil {
		p.wg.Add(1)
		go p.runOccupancy(ctx)
	}
}

// Stop closes the socket and waits until all goroutines have returned.
func (p *Peers) Stop() {
	p.stop()
	_ = p.conn.Close()
	p.wg.Wait()
}

// SendState sends this daemon's state at once, without waiting for the next interval, to the
// peers of this data centre, and to those of other data centres if remote is set.
func (p *Peers) SendState(remote bool) { p.sendNow(remote) }

// PeerStatus is a known peer, alive or not.
type PeerStatus struct {
	Peer
	Alive bool
}

// Known returns all known peers, unreachable ones too.
func (p *Peers) Known() []PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	out := make([]PeerStatus, 0, len(p.known))
	for _, k := range p.known {
		out = append(out, PeerStatus{Peer: k.Peer, Alive: k.alive(now)})
	}
	return out
}

// Discovered returns whether the daemons' objects in the store have been listed.
func (p *Peers) Discovered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discovered
}

// Leave reports to the peers at once that this daemon is stopping.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.self.Leaving = true
	p.mu.Unlock()
	p.sendNow(true)
}

// Self returns this daemon.
func (p *Peers) Self() Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// Alive returns the daemons that are alive, this one first.
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

// Count returns the number of daemons that are alive, this one included.
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

// alive returns whether a hub's summary lists the peer as alive, or its last heartbeat is
// younger than aliveTimeout.
func (k *knownPeer) alive(now time.Time) bool { return k.listed || now.Sub(k.lastSeen) < aliveTimeout }

// Get returns a daemon by its name, if it is alive.
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

// runHeartbeats sends heartbeats, or reports to hubs in a large fleet, and passes on the
// peers' usage. A changed readiness or term goes to other data centres without waiting for
// remoteInterval.
func (p *Peers) runHeartbeats(ctx context.Context) {
	defer p.wg.Done()
	var lastRemote time.Time
	var sent State
	for ctx.Err() == nil {
		p.notifyUsage()
		if p.Large() {
			p.reportToHubs(false)
			core.Sleep(ctx, p.clock, roster.ReportInterval)
			continue
		}
		now := p.clock.Now()
		state := p.state()
		urgent := state.Ready != sent.Ready || state.Term != sent.Term || state.PathLost != sent.PathLost
		remote := urgent || now.Sub(lastRemote) >= remoteInterval
		if remote {
			lastRemote, sent = now, state
		}
		p.sendHeartbeats(remote)
		core.Sleep(ctx, p.clock, localInterval)
	}
}

// Large returns whether the fleet is too large for direct heartbeats and uses hubs.
func (p *Peers) Large() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.large()
}

// large is Large for callers that hold the lock.
func (p *Peers) large() bool { return len(p.known) >= smallFleet }
