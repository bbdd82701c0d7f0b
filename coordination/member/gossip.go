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

// Times of the failure detector. A failed member is suspected after at most
// probeInterval + probeTimeout, and declared dead after minSuspicion more, or later
// if there are many members (see suspicionTimeout).
const (
	probeInterval = 250 * time.Millisecond
	directTimeout = 250 * time.Millisecond
	probeTimeout  = 750 * time.Millisecond
	minSuspicion  = 1200 * time.Millisecond
	healInterval  = 5 * time.Second
	syncInterval  = 30 * time.Second
	// maxTickGap is the longest gap between two ticks of a running daemon. After a
	// longer gap the daemon assumes that its own process was suspended, and not
	// that the members failed that did not answer.
	maxTickGap = time.Second

	indirectProbers  = 2 // members that are requested to probe a late member
	updatesPerPacket = 6
	maxPacketBytes   = 1400 // updates that exceed it are left out
	recvQueueLen     = 1024 // in datagrams
)

// Syncer sends this daemon's complete member list to another daemon and returns
// that daemon's list.
type Syncer func(ctx context.Context, to netip.AddrPort, local []core.Member) ([]core.Member, error)

// Gossip keeps a Table up to date over UDP.
type Gossip struct {
	table    *Table
	clock    core.Clock
	log      *zap.Logger
	conn     *net.UDPConn
	seeds    []netip.AddrPort
	sync     Syncer
	settings SettingsState
	count    func(bytes int)

	recv   chan datagram
	seq    uint64
	mu     sync.Mutex // guards seq and probes
	probes map[uint64]*probe
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

type datagram struct {
	from   netip.AddrPort
	packet *peerv1.Packet
}

// probe is a ping whose acknowledgement is outstanding.
type probe struct {
	target   core.Member
	sent     time.Time
	relayed  bool           // whether other members were requested to probe the target
	replyTo  netip.AddrPort // member that requested the probe, if any
	replySeq uint64         // sequence number of that member's request
}

// Option configures a Gossip.
type Option func(*Gossip)

// WithSeeds sets the addresses of the daemons to join through.
func WithSeeds(seeds []netip.AddrPort) Option { return func(g *Gossip) { g.seeds = seeds } }

// WithSync sets the function that exchanges complete member lists.
func WithSync(s Syncer) Option { return func(g *Gossip) { g.sync = s } }

// SettingsState summarizes the settings that a daemon has, so that differences
// between daemons are found.
type SettingsState interface {
	// Sum returns a checksum, which is equal for equal settings.
	Sum() uint64
	// SinceConfirmed returns the time since the settings were last confirmed to be those
	// of the platform. It is negative if they never were.
	SinceConfirmed() time.Duration
	// ReceiveState handles the settings state of another member.
	ReceiveState(from core.Member, sum uint64, fresh time.Duration)
}

type noSettings struct{}

func (noSettings) Sum() uint64                                     { return 0 }
func (noSettings) SinceConfirmed() time.Duration                   { return -1 }
func (noSettings) ReceiveState(core.Member, uint64, time.Duration) {}

// WithSettingsState sets the settings state that each packet contains.
func WithSettingsState(d SettingsState) Option { return func(g *Gossip) { g.settings = d } }

// WithByteCounter sets a function that is called with the size of each packet sent or
// received.
func WithByteCounter(fn func(bytes int)) Option { return func(g *Gossip) { g.count = fn } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(g *Gossip) { g.log = l } }

// New returns a Gossip that uses a bound socket.
func New(table *Table, clock core.Clock, conn *net.UDPConn, opts ...Option) *Gossip {
	g := &Gossip{
		table:    table,
		clock:    clock,
		log:      zap.NewNop(),
		conn:     conn,
		sync:     func(context.Context, netip.AddrPort, []core.Member) ([]core.Member, error) { return nil, nil },
		settings: noSettings{},
		count:    func(int) {},
		recv:     make(chan datagram, recvQueueLen),
		probes:   map[uint64]*probe{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Start starts probing members and answering probes.
func (g *Gossip) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.wg.Add(3)
	go g.runReceive()
	go g.run(ctx)
	go g.runSync(ctx)
}

// Stop closes the socket and waits until all goroutines have ended.
func (g *Gossip) Stop() {
	g.stop()
	_ = g.conn.Close()
	g.wg.Wait()
}

// runReceive reads datagrams into the bounded queue. When the queue is full they
// are dropped, which has the same effect as packet loss.
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

// run handles received datagrams and sends a probe at each tick.
func (g *Gossip) run(ctx context.Context) {
	defer g.wg.Done()
	tick := g.clock.NewTicker(probeInterval)
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
			if now.Sub(last) > maxTickGap {
				g.clearProbes()
			}
			last = now
			g.checkProbes(now)
			order = g.probeNext(order)
		}
	}
}

// clearProbes drops all outstanding probes. A process that was suspended reads the
// acknowledgements too late and would suspect every member that it had probed.
// Other daemons would then move work away from healthy members.
func (g *Gossip) clearProbes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.probes)
}

// probeNext pings the next member in a shuffled order and returns the rest of the
// order. It starts a new round when order is empty.
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

// ping registers a probe and sends it.
func (g *Gossip) ping(p *probe) {
	p.sent = g.clock.Now()
	g.mu.Lock()
	g.seq++
	seq := g.seq
	g.probes[seq] = p
	g.mu.Unlock()
	g.send(p.target.Peer, &peerv1.Packet{Kind: peerv1.Kind_KIND_PING, Seq: seq})
}

// checkProbes has other members probe the members that have not answered within
// directTimeout, and suspects those that have not answered within probeTimeout,
// directly or indirectly. It declares members dead whose suspicion has lasted too
// long.
func (g *Gossip) checkProbes(now time.Time) {
	g.mu.Lock()
	type lateProbe struct {
		seq uint64
		p   *probe
	}
	var overdue []lateProbe
	for seq, p := range g.probes {
		age := now.Sub(p.sent)
		switch {
		case age >= probeTimeout:
			delete(g.probes, seq)
			if !p.replyTo.IsValid() {
				g.table.Suspect(p.target.Name)
			}
		case age >= directTimeout && !p.relayed && !p.replyTo.IsValid():
			p.relayed = true
			overdue = append(overdue, lateProbe{seq, p})
		}
	}
	g.mu.Unlock()
	for _, l := range overdue {
		for _, h := range g.randomMembers(indirectProbers, l.p.target.Name) {
			g.send(h.Peer, &peerv1.Packet{Kind: peerv1.Kind_KIND_RELAY_PING, Seq: l.seq, Target: ToWire(l.p.target)})
		}
	}
	for _, m := range g.table.Expire(g.suspicionTimeout()) {
		g.log.Info("member declared dead", zap.String("member", m.Name))
	}
}

// suspicionTimeout returns how long a member is suspected before it is declared
// dead. It grows with the logarithm of the number of members, since a refutation
// takes that many rounds to spread.
func (g *Gossip) suspicionTimeout() time.Duration {
	n := float64(len(g.table.All()))
	return time.Duration(float64(minSuspicion) * max(1, math.Log10(n+1)))
}

// randomMembers returns up to n random members, without this daemon, the member
// named except, and suspected ones.
func (g *Gossip) randomMembers(n int, except string) []core.Member {
	all := g.table.All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var out []core.Member
	for _, m := range all {
		if len(out) < n && m.Name != except && m.Name != g.table.Self().Name && m.State < core.MemberSuspect {
			out = append(out, m)
		}
	}
	return out
}

// send completes a packet with this daemon's state and pending updates, and sends
// it. Updates that do not fit into maxPacketBytes are left out.
func (g *Gossip) send(to netip.AddrPort, p *peerv1.Packet) {
	p.From = ToWire(g.table.Self())
	p.Sum = g.settings.Sum()
	p.Fresh = g.settings.SinceConfirmed().Milliseconds()
	for _, m := range g.table.Updates(updatesPerPacket) {
		p.Updates = append(p.Updates, ToWire(m))
	}
	data, err := proto.Marshal(p)
	for err == nil && len(data) > maxPacketBytes && len(p.Updates) > 0 {
		p.Updates = p.Updates[:len(p.Updates)-1]
		data, err = proto.Marshal(p)
	}
	if err == nil {
		g.count(len(data))
		_, _ = g.conn.WriteToUDPAddrPort(data, to)
	}
}

// handle merges the updates of a packet and answers it.
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
	g.settings.ReceiveState(from, d.packet.Sum, time.Duration(d.packet.Fresh)*time.Millisecond)
	switch d.packet.Kind {
	case peerv1.Kind_KIND_PING:
		g.send(d.from, &peerv1.Packet{Kind: peerv1.Kind_KIND_ACK, Seq: d.packet.Seq, Target: g.entryToRefute(from)})
	case peerv1.Kind_KIND_RELAY_PING:
		if target, err := FromWire(d.packet.Target); err == nil {
			g.ping(&probe{target: target, replyTo: d.from, replySeq: d.packet.Seq})
		}
	case peerv1.Kind_KIND_ACK:
		g.ack(d.packet.Seq)
	}
}

// entryToRefute returns the entry of a member that sends pings although it is
// suspected or declared dead here, so that the member receives the entry and
// refutes it. The update about its state may no longer be part of any packet. The
// result is nil if there is nothing to refute.
func (g *Gossip) entryToRefute(from core.Member) *peerv1.Member {
	have, ok := g.table.GetWithDead(from.Name)
	if !ok || have.State < core.MemberSuspect {
		return nil
	}
	return ToWire(have)
}

// ack handles the acknowledgement of a probe. If another member requested the
// probe, the acknowledgement is forwarded to it.
func (g *Gossip) ack(seq uint64) {
	g.mu.Lock()
	p := g.probes[seq]
	delete(g.probes, seq)
	g.mu.Unlock()
	if p != nil && p.replyTo.IsValid() {
		g.send(p.replyTo, &peerv1.Packet{Kind: peerv1.Kind_KIND_ACK, Seq: p.replySeq})
	}
}

// runSync exchanges complete member lists: at once with the seeds, and then with a
// random member at intervals of at least syncInterval. It also tries one dead
// member per healInterval, and the seeds if this daemon has no other member, so
// that two sides of a network partition reconnect after it has healed.
func (g *Gossip) runSync(ctx context.Context) {
	defer g.wg.Done()
	g.syncLists(ctx, g.seeds)
	heal := g.clock.NewTicker(healInterval)
	defer heal.Stop()
	last := g.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heal.Chan():
		}
		if m, ok := g.table.RandomDead(); ok {
			g.syncLists(ctx, []netip.AddrPort{m.Peer})
		}
		all := g.table.All()
		if len(all) < 2 {
			g.syncLists(ctx, g.seeds)
			continue
		}
		every := max(syncInterval, time.Duration(len(all))*syncInterval/100)
		if g.clock.Since(last) < every {
			continue
		}
		last = g.clock.Now()
		for _, m := range g.randomMembers(1, "") {
			g.syncLists(ctx, []netip.AddrPort{m.Peer})
		}
	}
}

// syncLists exchanges complete member lists with the daemons at the given
// addresses. Errors are ignored, since the exchange is repeated.
func (g *Gossip) syncLists(ctx context.Context, addresses []netip.AddrPort) {
	for _, addr := range addresses {
		if addr == g.table.Self().Peer {
			continue
		}
		received, err := g.sync(ctx, addr, g.table.AllWithDead())
		if err != nil {
			continue
		}
		for _, m := range received {
			g.table.Merge(m)
		}
	}
}
