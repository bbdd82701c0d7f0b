package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
)

// network joins simulated daemons; messages between them may be lost.
type network struct {
	mu      sync.Mutex
	daemons map[string]*daemon
	loss    float64        // share of messages that are lost
	sums    map[string]int // comparisons by the daemon that began them
	bytes   int
}

// daemon is one simulated daemon; it implements Network.
type daemon struct {
	*Quarantine
	net      *network
	name     string
	cut      bool // nothing comes through
	handlers map[string]peers.Handler
	stopped  bool
}

// runners is a Prober for runners that have ended or live as a test says.
type runners struct {
	mu   sync.Mutex
	says map[string]error // nil: it lives
	born time.Time
}

func (r *runners) Report(_ context.Context, one *core.Runner) (*core.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.says[one.ID]; err != nil {
		return nil, err
	}
	return &core.Report{Born: r.born}, nil
}

func (r *runners) end(id string, how error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.says[id] = how
}

// sent is how many bytes messages have had so far.
func (n *network) sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

func newNetwork() *network { return &network{daemons: map[string]*daemon{}, sums: map[string]int{}} }

// start brings a daemon up, in the place of one of the same name.
func (n *network) start(t testing.TB, name string, clock clockwork.Clock, r *runners, opts ...Option) *daemon {
	t.Helper()
	d := &daemon{net: n, name: name, handlers: map[string]peers.Handler{}}
	d.Quarantine = New(d, r, clock, zap.NewNop(), opts...)
	n.mu.Lock()
	n.daemons[name] = d
	n.mu.Unlock()
	d.Start()
	t.Cleanup(d.kill)
	return d
}

func (d *daemon) kill() {
	d.net.mu.Lock()
	was := d.stopped
	d.stopped = true
	if d.net.daemons[d.name] == d {
		delete(d.net.daemons, d.name)
	}
	d.net.mu.Unlock()
	if !was {
		d.Stop()
	}
}

// fleet brings several daemons up.
func (n *network) fleet(t *testing.T, count int, r *runners, opts ...Option) []*daemon {
	t.Helper()
	out := make([]*daemon, count)
	for i := range out {
		out[i] = n.start(t, fmt.Sprint("d", i), clockwork.NewRealClock(), r, opts...)
	}
	return out
}

func (n *network) setCut(d *daemon, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d.cut = cut
}

// deliver brings a message to a daemon, unless it is lost.
func (n *network) deliver(from *daemon, to string, kind string, body json.RawMessage, answer func(any)) {
	n.mu.Lock()
	n.bytes += len(body)
	d := n.daemons[to]
	lost := d == nil || d.cut || from.cut || rand.Float64() < n.loss
	if kind == kindSum {
		n.sums[from.name]++
	}
	n.mu.Unlock()
	if lost {
		return
	}
	go d.handlers[kind](peers.Peer{Name: from.name}, body, answer)
}

func (d *daemon) Self() peers.Peer { return peers.Peer{Name: d.name} }

func (d *daemon) Alive() []peers.Peer {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	out := []peers.Peer{d.Self()}
	for name, other := range d.net.daemons {
		if name != d.name && !d.cut && !other.cut {
			out = append(out, peers.Peer{Name: name})
		}
	}
	return out
}

func (d *daemon) Handle(kind string, h peers.Handler) { d.handlers[kind] = h }

func (d *daemon) Tell(to peers.Peer, kind string, message any) {
	body, _ := json.Marshal(message)
	d.net.deliver(d, to.Name, kind, body, func(any) {})
}

func (d *daemon) TellAll(kind string, message any) {
	for _, to := range d.Alive()[1:] {
		d.Tell(to, kind, message)
	}
}

func (d *daemon) Ask(ctx context.Context, to peers.Peer, kind string, question, out any, resend time.Duration) error {
	body, _ := json.Marshal(question)
	got := make(chan json.RawMessage, 16)
	for {
		d.net.deliver(d, to.Name, kind, body, func(v any) {
			data, _ := json.Marshal(v)
			select {
			case got <- data:
			default:
			}
		})
		select {
		case <-ctx.Done():
			return peers.ErrNoAnswer
		case data := <-got:
			return json.Unmarshal(data, out)
		case <-time.After(resend):
		}
	}
}
