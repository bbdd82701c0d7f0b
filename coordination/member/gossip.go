package member

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"primroseward/core"
	"primroseward/protocol/peerv1"
)

// Times of the failure detector. A dead member is noticed after at most
// probeEvery + probeTimeout and declared dead after suspectFor more.
const (
	probeEvery   = 250 * time.Millisecond
	directWait   = 250 * time.Millisecond
	probeTimeout = 750 * time.Millisecond
	suspectFor   = 1200 * time.Millisecond
	healEvery    = 5 * time.Second
	syncEvery    = 30 * time.Second
	// frozen is the length of a gap between two ticks after which the daemon
	// takes itself, not the others, for the one that stood still.
	frozen = time.Second

	helpers     = 2
	newsPerPing = 6
	maxPacket   = 1400
	recvRing    = 1024
)

// Syncer exchanges whole member lists with another daemon.
type Syncer func(ctx context.Context, to netip.AddrPort, mine []core.Member) ([]core.Member, error)

// Gossip runs a Table over UDP.
type Gossip struct {
	table  *Table
	clock  core.Clock
	log    *zap.Logger
	conn   *net.UDPConn
	seeds  []netip.AddrPort
	sync   Syncer
	digest Digest
	count  func(bytes int)

	recv chan datagram
	seq  uint64
	mu   sync.Mutex // guards outstanding probes
	out  map[uint64]*probe
	wg   sync.WaitGroup
	stop context.CancelFunc
}

type datagram struct {
	from   netip.AddrPort
	packet *peerv1.Packet
}

// probe is one ping that waits for its ack.
type probe struct {
	target  core.Member
	sent    time.Time
	relayed bool
	back    netip.AddrPort // asked for by another member; its own seq in theirs
	theirs  uint64
}

// Option changes a Gossip.
type Option func(*Gossip)

// WithSeeds names addresses to join at.
func WithSeeds(seeds []netip.AddrPort) Option { return func(g *Gossip) { g.seeds = seeds } }

// WithSync sets how whole lists are exchanged.
func WithSync(s Syncer) Option { return func(g *Gossip) { g.sync = s } }

// Digest sums up the settings that a daemon holds.
type Digest interface {
	// Sum is equal for equal settings.
	Sum() uint64
	// Fresh is the time since the settings were last confirmed to be the
	// platform's; negative if never.
	Fresh() time.Duration
	// Heard takes in the digest of another member.
	Heard(from core.Member, sum uint64, fresh time.Duration)
}

type noDigest struct{}

func (noDigest) Sum() uint64                              { return 0 }
func (noDigest) Fresh() time.Duration                     { return -1 }
func (noDigest) Heard(core.Member, uint64, time.Duration) {}

// WithDigest adds a digest to each packet.
func WithDigest(d Digest) Option { return func(g *Gossip) { g.digest = d } }

// WithCount tells of the bytes of each packet sent or received.
func WithCount(fn func(bytes int)) Option { return func(g *Gossip) { g.count = fn } }

// WithLogger sets the log.
func WithLogger(l *zap.Logger) Option { return func(g *Gossip) { g.log = l } }

// New makes a gossip on a bound socket.
func New(table *Table, clock core.Clock, conn *net.UDPConn, opts ...Option) *Gossip {
	g := &Gossip{
		table:  table,
		clock:  clock,
		log:    zap.NewNop(),
		conn:   conn,
		sync:   func(context.Context, netip.AddrPort, []core.Member) ([]core.Member, error) { return nil, nil },
		digest: noDigest{},
		count:  func(int) {},
		recv:   make(chan datagram, recvRing),
		out:    map[uint64]*probe{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Start begins to probe and to answer.
func (g *Gossip) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.wg.Add(3)
	go g.runReceive()
	go g.loop(ctx)
	go g.runSync(ctx)
}

// Stop ends it and closes the socket.
func (g *Gossip) Stop() {
	g.stop()
	_ = g.conn.Close()
	g.wg.Wait()
}

// runReceive reads datagrams into the bounded ring; when the ring is full they
// are dropped like any lost datagram.
func (g *Gossip) runReceive() {
	defer g.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		g.count(n)
		p := &peerv1.Packet{}
		if proto.Unmarshal(buf[:n], p) != nil {
			continue
		}
		select {
		case g.recv <- datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), packet: p}:
		default:
		}
	}
}

func (g *Gossip) loop(ctx context.Context) {
	defer g.wg.Done()
	tick := g.clock.NewTicker(probeEvery)
	defer tick.Stop()
	last := g.clock.Now()
	var order []core.Member
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-g.recv:
			g.handle(d)
		case <-tick.Chan():
			now := g.clock.Now()
			if now.Sub(last) > frozen {
				g.thaw()
			}
			last = now
			g.check(now)
			order = g.probeNext(order)
		}
	}
}

// thaw forgets all probes under way. A process that was stopped finds its acks
// late and would suspect every member that it had asked; others would then
// move work away from members that are well.
func (g *Gossip) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.out)
}

// probeNext pings the next member of a shuffled round.
func (g *Gossip) probeNext(order []core.Member) []core.Member {
	if len(order) == 0 {
		order = g.table.All()
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	for len(order) > 0 {
		m, err := g.table.Get(order[0].Name)
		order = order[1:]
		if err != nil || m.Name == g.table.Self().Name {
			continue
		}
		g.ping(&probe{target: m})
		break
	}
	return order
}

func (g *Gossip) ping(p *probe) {
	p.sent = g.clock.Now()
	g.mu.Lock()
	g.seq++
	seq := g.seq
	g.out[seq] = p
	g.mu.Unlock()
	g.send(p.target.Peer, &peerv1.Packet{Kind: peerv1.Kind_KIND_PING, Seq: seq})
}

// check asks helpers to reach members that are late to answer, and suspects
// those whom nobody reached.
func (g *Gossip) check(now time.Time) {
	g.mu.Lock()
	type late struct {
		seq uint64
		p   *probe
	}
	var ask []late
	for seq, p := range g.out {
		age := now.Sub(p.sent)
		switch {
		case age >= probeTimeout:
			delete(g.out, seq)
			if !p.back.IsValid() {
				g.table.Suspect(p.target.Name)
			}
		case age >= directWait && !p.relayed && !p.back.IsValid():
			p.relayed = true
			ask = append(ask, late{seq, p})
		}
	}
	g.mu.Unlock()
	for _, l := range ask {
		for _, h := range g.pick(helpers, l.p.target.Name) {
			g.send(h.Peer, &peerv1.Packet{Kind: peerv1.Kind_KIND_RELAY_PING, Seq: l.seq, Target: ToWire(l.p.target)})
		}
	}
	for _, m := range g.table.Expire(g.suspicion()) {
		g.log.Info("member is dead", zap.String("member", m.Name))
	}
}

// suspicion grows with the logarithm of the fleet, since a refutation takes
// that many rounds to travel.
func (g *Gossip) suspicion() time.Duration {
	n := float64(len(g.table.All()))
	return time.Duration(float64(suspectFor) * max(1, math.Log10(n+1)))
}

// pick returns up to n random live members other than self and not.
func (g *Gossip) pick(n int, not string) []core.Member {
	all := g.table.All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var out []core.Member
	for _, m := range all {
		if len(out) < n && m.Name != not && m.Name != g.table.Self().Name && m.State < core.MemberSuspect {
			out = append(out, m)
		}
	}
	return out
}

func (g *Gossip) send(to netip.AddrPort, p *peerv1.Packet) {
	p.From = ToWire(g.table.Self())
	p.Sum = g.digest.Sum()
	p.Fresh = g.digest.Fresh().Milliseconds()
	for _, m := range g.table.News(newsPerPing) {
		p.Updates = append(p.Updates, ToWire(m))
	}
	data, err := proto.Marshal(p)
	for err == nil && len(data) > maxPacket && len(p.Updates) > 0 {
		p.Updates = p.Updates[:len(p.Updates)-1]
		data, err = proto.Marshal(p)
	}
	if err == nil {
		g.count(len(data))
		_, _ = g.conn.WriteToUDPAddrPort(data, to)
	}
}

func (g *Gossip) handle(d datagram) {
	from, err := FromWire(d.packet.From)
	if err != nil {
		return
	}
	g.table.Merge(from)
	for _, u := range d.packet.Updates {
		if m, err := FromWire(u); err == nil {
			g.table.Merge(m)
		}
	}
	if target, err := FromWire(d.packet.Target); err == nil && target.Name == g.table.Self().Name {
		g.table.Merge(target)
	}
	g.digest.Heard(from, d.packet.Sum, time.Duration(d.packet.Fresh)*time.Millisecond)
	switch d.packet.Kind {
	case peerv1.Kind_KIND_PING:
		g.send(d.from, &peerv1.Packet{Kind: peerv1.Kind_KIND_ACK, Seq: d.packet.Seq, Target: g.doubt(from)})
	case peerv1.Kind_KIND_RELAY_PING:
		if target, err := FromWire(d.packet.Target); err == nil {
			g.ping(&probe{target: target, back: d.from, theirs: d.packet.Seq})
		}
	case peerv1.Kind_KIND_ACK:
		g.ack(d.packet.Seq)
	}
}

// doubt returns the entry of a member that is held for suspect or dead and
// yet pings, so that it learns of it and refutes it. The news of its death may
// long have stopped riding along.
func (g *Gossip) doubt(from core.Member) *peerv1.Member {
	have, ok := g.table.Peek(from.Name)
	if !ok || have.State < core.MemberSuspect {
		return nil
	}
	return ToWire(have)
}

func (g *Gossip) ack(seq uint64) {
	g.mu.Lock()
	p := g.out[seq]
	delete(g.out, seq)
	g.mu.Unlock()
	if p != nil && p.back.IsValid() {
		g.send(p.back, &peerv1.Packet{Kind: peerv1.Kind_KIND_ACK, Seq: p.theirs})
	}
}

// runSync exchanges whole lists: at once with the seeds, then rarely with a
// random member, and tries the dead and the seeds so that two halves of a
// healed network find each other again.
func (g *Gossip) runSync(ctx context.Context) {
	defer g.wg.Done()
	g.exchange(ctx, g.seeds)
	heal := g.clock.NewTicker(healEvery)
	defer heal.Stop()
	last := g.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heal.Chan():
		}
		if m, ok := g.table.RandomDead(); ok {
			g.exchange(ctx, []netip.AddrPort{m.Peer})
		}
		all := g.table.All()
		if len(all) < 2 {
			g.exchange(ctx, g.seeds)
			continue
		}
		every := max(syncEvery, time.Duration(len(all))*syncEvery/100)
		if g.clock.Since(last) < every {
			continue
		}
		last = g.clock.Now()
		for _, m := range g.pick(1, "") {
			g.exchange(ctx, []netip.AddrPort{m.Peer})
		}
	}
}

func (g *Gossip) exchange(ctx context.Context, with []netip.AddrPort) {
	for _, addr := range with {
		if addr == g.table.Self().Peer {
			continue
		}
		theirs, err := g.sync(ctx, addr, g.table.Whole())
		if err != nil {
			continue
		}
		for _, m := range theirs {
			g.table.Merge(m)
		}
	}
}
