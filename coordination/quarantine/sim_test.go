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

// network connects simulated daemons; it can lose messages.
type network struct {
	mu      sync.Mutex
	daemons map[string]*daemon
	loss    float64        // share of messages that are lost
	sums    map[string]int // number of comparisons by the daemon that started them
	bytes   int
}

// daemon is a simulated daemon. It implements Network.
type daemon struct {
	*Quarantine
	net      *network
	name     string
	isolated bool // neither sends nor receives
	boot     time.Time
	handlers map[string]peers.Handler
	stopped  bool
}

// runners is a Prober with the results that a test sets.
type runners struct {
	mu        sync.Mutex
	probeErrs map[string]error // result of a probe by runner; nil: running
	startedAt time.Time
}

func (r *runners) Report(_ context.Context, one *core.Runner) (*core.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.probeErrs[one.ID]; err != nil {
		return nil, err
	}
	return &core.Report{StartedAt: r.startedAt}, nil
}

func (r *runners) setProbeErr(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probeErrs[id] = err
}

// bytesSent returns the bytes of all messages so far.
func (n *network) bytesSent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

func newNetwork() *network { return &network{daemons: map[string]*daemon{}, sums: map[string]int{}} }

// start starts a daemon, and replaces one of the same name.
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

// fleet starts several daemons.
func (n *network) fleet(t *testing.T, count int, r *runners, opts ...Option) []*daemon {
	t.Helper()
	out := make([]*daemon, count)
	for i := range out {
		out[i] = n.start(t, fmt.Sprint("d", i), clockwork.NewRealClock(), r, opts...)
	}
	return out
}

// bootNow makes daemons state that they have started now, and returns when that was.
func (n *network) bootNow(daemons []*daemon) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, d := range daemons {
		d.boot = now
	}
	return now
}

func (n *network) setIsolated(d *daemon, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d.isolated = isolated
}

// deliver passes a message to a daemon, unless it is lost.
func (n *network) deliver(from *daemon, to string, kind string, body json.RawMessage, answer func(any)) {
	n.mu.Lock()
	n.bytes += len(body)
	d := n.daemons[to]
	lost := d == nil || d.isolated || from.isolated || rand.Float64() < n.loss
	if kind == kindSum {
		n.sums[from.name]++
	}
	n.mu.Unlock()
	if lost {
		return
	}
	go d.handlers[kind](peers.Peer{Name: from.name}, body, answer)
}

func (d *daemon) Self() peers.Peer { return d.peer() }

func (d *daemon) peer() peers.Peer {
	if d.boot.IsZero() {
		return peers.Peer{Name: d.name}
	}
	return peers.Peer{Name: d.name, Boot: uint64(d.boot.UnixNano())}
}

func (d *daemon) Alive() []peers.Peer {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	out := []peers.Peer{d.Self()}
	for name, other := range d.net.daemons {
		if name != d.name && !d.isolated && !other.isolated {
			out = append(out, other.peer())
		}
	}
	return out
}

func (d *daemon) Handle(kind string, h peers.Handler) { d.handlers[kind] = h }

func (d *daemon) Send(to peers.Peer, kind string, message any) {
	body, _ := json.Marshal(message)
	d.net.deliver(d, to.Name, kind, body, func(any) {})
}

func (d *daemon) Broadcast(kind string, message any) {
	for _, to := range d.Alive()[1:] {
		d.Send(to, kind, message)
	}
}

func (d *daemon) Request(ctx context.Context, to peers.Peer, kind string, question, out any, resend time.Duration) error {
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
			return peers.ErrNoReply
		case data := <-got:
			return json.Unmarshal(data, out)
		case <-time.After(resend):
		}
	}
}

// PartsServed records an answer that was received whole and took no time.
func (q *Quarantine) PartsServed(parts []core.Part) {
	for i, p := range parts {
		parts[i] = p.For("")
	}
	r := q.RunBegan(parts, "")
	r.Whole()
	r.Ended()
}
