package origin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/standin/memory"
)

var errNoReply = errors.New("no reply")

// world is a fleet of daemons with their store, and the runners' versions.
type world struct {
	clock clockwork.Clock
	store *memory.Store
	large bool
	mu    sync.Mutex
	nodes []*node
	apart map[[2]int]bool // pairs of daemons whose messages are lost
	sent  int             // messages
	bytes int
}

// node is one daemon.
type node struct {
	w        *world
	number   int
	dead     bool
	handlers map[string]peers.Handler
	client   *memory.Client
	tracker  *Tracker
	versions []string // that this daemon knows runners of
}

func newWorld(clock clockwork.Clock, n int) *world {
	w := &world{clock: clock, store: memory.New(), apart: map[[2]int]bool{}}
	for range n {
		w.nodes = append(w.nodes, nil)
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

// start starts a daemon, or starts it again with nothing known.
func (w *world) start(i int, versions ...string) {
	n := &node{w: w, number: i, handlers: map[string]peers.Handler{}, client: w.store.Client(), versions: versions}
	n.tracker = New(n.known, w.clock, zap.NewNop(), WithNetwork(n), WithRegistry(NewRegistry(n.client, w.clock, zap.NewNop())))
	n.tracker.Start()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i] = n
}

// known returns the versions that a daemon knows runners of.
func (n *node) known(string) []string {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.versions
}

// show makes a daemon know runners of some versions.
func (n *node) show(versions []string) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.versions = versions
}

// setApart makes messages between two daemons get lost, or arrive again.
func (w *world) setApart(one, other int, apart bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apart[[2]int{one, other}] = apart
}

// kill ends a daemon.
func (w *world) kill(i int) {
	w.mu.Lock()
	n := w.nodes[i]
	n.dead = true
	w.mu.Unlock()
	n.tracker.Stop()
}

func (w *world) stop() {
	for i, n := range w.nodes {
		if !n.dead {
			w.kill(i)
		}
	}
}

func (n *node) peer() peers.Peer { return peers.Peer{Name: fmt.Sprintf("vm-%d", n.number)} }

func (n *node) Handle(kind string, h peers.Handler) { n.handlers[kind] = h }

func (n *node) Large() bool { return n.w.large }

// Alive lists all daemons, also those that have just ended.
func (n *node) Alive() []peers.Peer {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	out := []peers.Peer{n.peer()}
	for _, other := range n.w.nodes {
		if other != nil && other != n {
			out = append(out, other.peer())
		}
	}
	return out
}

// deliver passes a message on and returns the answer of its handler, nil if it is lost.
func (n *node) deliver(to peers.Peer, kind string, message any) json.RawMessage {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	var number int
	_, _ = fmt.Sscanf(to.Name, "vm-%d", &number)
	n.w.mu.Lock()
	other := n.w.nodes[number]
	lost := n.dead || other.dead || n.w.apart[[2]int{n.number, number}] || n.w.apart[[2]int{number, n.number}]
	n.w.sent++
	n.w.bytes += len(body)
	n.w.mu.Unlock()
	if lost {
		return nil
	}
	var answered json.RawMessage
	other.handlers[kind](n.peer(), body, func(v any) { answered, _ = json.Marshal(v) })
	return answered
}

func (n *node) Send(to peers.Peer, kind string, message any) { n.deliver(to, kind, message) }

func (n *node) Request(ctx context.Context, to peers.Peer, kind string, request, out any, _ time.Duration) error {
	answered := n.deliver(to, kind, request)
	if answered == nil {
		<-ctx.Done()
		return errNoReply
	}
	return json.Unmarshal(answered, out)
}

// begin has a stream begin at a version, if streams may begin there.
func (n *node) begin(id string, o core.Origin) bool {
	if !n.tracker.Admit(context.Background(), o) {
		return false
	}
	n.tracker.Begin(core.StreamKeyOf(nil, id), nil, o)
	return true
}

// find asks for a stream.
func (n *node) find(id string) (core.Origin, error) {
	k := core.StreamKeyOf(nil, id)
	o, err := n.tracker.Find(context.Background(), &k, service)
	return o.Origin, err
}

// service is the service of all streams in these tests.
const service = "s"

func at(version string) core.Origin { return core.Origin{Service: service, Version: version} }
