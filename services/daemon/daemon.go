// Package daemon puts the parts of primrosed together, starts them and stops
// them without cutting a request.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/claim"
	"primroseward/coordination/entry"
	"primroseward/coordination/member"
	"primroseward/coordination/owner"
	"primroseward/coordination/planner"
	"primroseward/coordination/quarantine"
	"primroseward/coordination/spread"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/platform"
	"primroseward/protocol/endpoint"
	"primroseward/services/holds"
	"primroseward/services/observe"
	service "primroseward/services/tree"
	"primroseward/setting"
	"primroseward/state/directory"
	"primroseward/state/tree"
	"primroseward/transport/admin"
	"primroseward/transport/peer"
	"primroseward/transport/routers"
	"primroseward/transport/rpc"
)

const (
	// spreadLeave is how long after a daemon has announced its leaving others
	// may still hand out its address.
	spreadLeave = 2 * time.Second
	drainCheck  = 100 * time.Millisecond
	handOver    = 10 * time.Second
	gaugeEvery  = time.Second
	adminHeader = 10 * time.Second
)

// Daemon is one running primrosed.
type Daemon struct {
	set     *setting.Setting
	log     *zap.Logger
	clock   core.Clock
	metrics *observe.Metrics
	traces  func(context.Context) error

	calls   peer.Count // bytes of calls between daemons
	pool    *peer.Pool
	table   *member.Table
	gossip  *member.Gossip
	replica *tree.Replica
	spread  *spread.Spreader
	network *network
	guard   *quarantine.Quarantine
	owner   *owner.Manager
	claims  *claim.Claims
	entry   *entry.Entry
	planner *planner.Role
	callers *routers.Callers

	servers []*http.Server
	wg      sync.WaitGroup
	leaving atomic.Bool

	stopGauges context.CancelFunc
	life       time.Duration // of an address given to callers
}

// New opens the listeners and puts the parts together.
func New(set *setting.Setting, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{set: set, log: log.With(zap.String("member", set.Name)), clock: clockwork.NewRealClock(), life: entry.AddressLife}
	var err error
	if d.traces, err = observe.StartTraces(set); err != nil {
		return nil, err
	}
	d.metrics = observe.NewMetrics()
	d.calls = d.byteCounter("calls")
	if d.pool, err = peer.NewPool(d.calls); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) assemble() error {
	set := d.set
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(set.PeerAddr))
	if err != nil {
		return eris.Wrap(err, "peer")
	}
	scope := d.metrics.Scope
	d.table = member.NewTable(d.clock, core.Member{
		Name: set.Name, Place: set.Place, Peer: set.PeerAddr, Caller: set.CallerAddr,
		Incarnation: uint64(d.clock.Now().UnixNano()), Boot: bootID(),
	})
	d.replica = tree.NewReplica()
	client := platform.New(set.PlatformAddr, d.clock,
		platform.WithRate(set.Limits.Platform, int(2*set.Limits.Platform)),
		platform.WithCount(func(verb string) { scope.Tagged(map[string]string{"verb": verb}).Counter("platform_calls").Inc(1) }))
	d.spread = spread.New(d.replica, d.table, client, d.pool.Dial, d.clock, d.log)
	d.gossip = member.New(d.table, d.clock, udp, member.WithSeeds(set.SeedAddrs), member.WithSync(d.sync),
		member.WithDigest(d.spread), member.WithLogger(d.log), member.WithCount(d.byteCounter("gossip")))
	dir := directory.New(d.clock)
	d.network = newNetwork(d.table, d.pool.Dial, d.clock, d.log)
	d.guard = quarantine.New(d.network, prober{d}, d.clock, d.log, quarantine.WithScope(scope), quarantine.WithStore(client, d.readsHolds))
	d.owner = owner.New(d.replica, d.table, client, d.connect, d.clock, owner.WithLogger(d.log), owner.WithScope(scope.SubScope("owner")),
		owner.WithFresh(d.spread.Fresh), owner.WithDirectory(d.report, d.find), owner.WithGuard(d.guard))
	d.claims = claim.New(client, d.table, d.clock, d.log)
	d.entry = entry.New(d.replica, d.table, d.pool.Dial, d.owner, dir, d.claims, d.clock, entry.WithLogger(d.log),
		entry.WithScope(scope.SubScope("entry")), entry.WithGuard(d.guard), entry.WithHeld(int64(set.Held.Bytes), time.Duration(set.Held.Life)))
	d.planner = planner.NewRole(planner.Default(), d.replica, d.table, d.pool.Dial, d.clock, d.log)
	d.callers = routers.New(d.entry, d.clock, d.log, int64(set.Limits.Body), time.Duration(set.Limits.Sender))
	return d.listen(&rpc.Handler{
		Table: d.table, Spread: d.spread, Replica: d.replica, Owner: d.owner, Entry: d.entry, Dir: dir, Clock: d.clock, Planner: d.planner,
		Messages: d.network,
	}, client)
}

// prober asks endpoints that this daemon owns; it implements quarantine.Prober.
type prober struct{ d *Daemon }

// Report implements quarantine.Prober.
func (p prober) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	return p.d.owner.Report(ctx, r)
}

// readsHolds says whether this daemon is the one that reads what operators have changed of
// the requests that are held back.
func (d *Daemon) readsHolds() bool {
	first := d.table.Rank(core.KindHolds, "", 1)
	return len(first) > 0 && first[0].Name == d.set.Name
}

// byteCounter counts bytes between daemons, both ways.
func (d *Daemon) byteCounter(kind string) func(int) {
	c := d.metrics.Scope.Tagged(map[string]string{"kind": kind}).Counter("peer_bytes")
	return func(n int) { c.Inc(int64(n)) }
}

func bootID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func (d *Daemon) connect(_ string, spec tree.Endpoint) core.Endpoint {
	addr, _ := netip.ParseAddrPort(spec.Addr) // checked when the tree was accepted
	if spec.Kind == tree.KindModel {
		return endpoint.New(addr, d.clock, endpoint.WithEcho())
	}
	return endpoint.New(addr, d.clock)
}

func (d *Daemon) report(ctx context.Context, to core.Member, reports []directory.Report) error {
	return d.entry.SendReports(ctx, to, reports)
}

func (d *Daemon) find(ctx context.Context, key string) []directory.Report {
	return d.entry.Directory(ctx, key)
}

func (d *Daemon) sync(ctx context.Context, to netip.AddrPort, mine []core.Member) ([]core.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := d.pool.Dial(to).Sync(ctx, connect.NewRequest(rpc.MembersToWire(mine)))
	if err != nil {
		return nil, err
	}
	var out []core.Member
	for _, w := range resp.Msg.Members {
		if m, err := member.FromWire(w); err == nil {
			out = append(out, m)
		}
	}
	return out, nil
}

// listen opens the three listeners.
func (d *Daemon) listen(h *rpc.Handler, client core.Platform) error {
	peers, err := peer.NewServer(h)
	if err != nil {
		return err
	}
	trees := service.New(d.replica, client, d.spread, d.clock)
	ops := &admin.Admin{
		Trees:    trees,
		Statuses: service.NewStatuses(trees, d.table, d.pool.Dial),
		Fleet:    service.NewFleet(d.table, d.pool.Dial),
		Holds:    holds.NewTable(d.guard, d.clock),
		Metrics:  d.metrics.Handler,
		Ready:    d.Ready,
		Token:    d.set.Token,
	}
	admins := &http.Server{Handler: ops.Handler(), ReadHeaderTimeout: adminHeader}
	callers := d.callers.Server(int(d.set.Limits.Header))
	for _, one := range []struct {
		name   string
		addr   netip.AddrPort
		server *http.Server
	}{{"peer", d.set.PeerAddr, peers}, {"admin", d.set.AdminAddr, admins}, {"caller", d.set.CallerAddr, callers}} {
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(one.addr))
		if err != nil {
			return eris.Wrap(err, one.name)
		}
		var ln net.Listener = tcp
		if one.server == peers {
			ln = peer.Counted(tcp, d.calls)
		}
		d.servers = append(d.servers, one.server)
		d.wg.Add(1)
		go d.runServer(one.server, ln)
	}
	return nil
}

func (d *Daemon) runServer(s *http.Server, ln net.Listener) {
	defer d.wg.Done()
	if err := s.Serve(ln); err != nil && err != http.ErrServerClosed {
		d.log.Error("listener failed", zap.Error(err))
	}
}

// Ready says whether the daemon has settings and is not leaving.
func (d *Daemon) Ready() bool {
	return d.replica.Tree() != nil && !d.leaving.Load()
}

// runGauges shows the settings' highest version and the work in progress.
func (d *Daemon) runGauges(ctx context.Context) {
	defer d.wg.Done()
	for ctx.Err() == nil {
		var newest uint64
		for _, v := range d.replica.Versions() {
			newest = max(newest, v)
		}
		d.metrics.Scope.Gauge("settings_version").Update(float64(newest))
		d.metrics.Scope.Gauge("entry_running").Update(float64(d.entry.Running()))
		d.metrics.Scope.Gauge("owner_running").Update(float64(d.owner.Running()))
		d.metrics.Scope.Gauge("members").Update(float64(len(d.table.All())))
		core.Sleep(ctx, d.clock, gaugeEvery)
	}
}

// Start begins to serve.
func (d *Daemon) Start() {
	gauges, stop := context.WithCancel(context.Background())
	d.stopGauges = stop
	d.wg.Add(1)
	go d.runGauges(gauges)
	d.gossip.Start()
	d.spread.Start()
	d.claims.Start()
	d.guard.Start()
	d.owner.Start()
	d.entry.Start()
	d.planner.Start()
	d.log.Info("started", zap.String("place", d.set.Place), zap.Stringer("caller", d.set.CallerAddr),
		zap.Stringer("peer", d.set.PeerAddr), zap.Stringer("admin", d.set.AdminAddr))
}

// Reload says that settings of the process need a restart here; operators change
// the settings tree instead.
func (d *Daemon) Reload(*setting.Setting) {
	d.log.Warn(logs.NotReloaded, zap.String("reason", "needs a restart"))
}

// Stop leaves without cutting a request: others learn of it first and take
// over what this daemon owns; addresses that callers hold run out; requests in
// progress end in their own time, however long; answers held for callers go to
// daemons that stay. When ctx ends before, what is left is cut.
func (d *Daemon) Stop(ctx context.Context) {
	d.log.Info("leaving")
	d.leaving.Store(true)
	d.callers.Leave()
	d.planner.Stop()
	d.table.SetState(core.MemberLeaving)
	core.Sleep(ctx, d.clock, spreadLeave+d.life)
	d.drain(ctx)
	hand, cancel := context.WithTimeout(ctx, handOver)
	d.entry.HandOver(hand)
	cancel()
	for _, s := range []int{2, 1} { // callers, then operators
		if err := d.servers[s].Shutdown(ctx); err != nil {
			_ = d.servers[s].Close()
		}
	}
	d.entry.Stop()
	d.owner.Stop()
	d.guard.Stop()
	d.network.stop()
	d.claims.Stop()
	d.spread.Stop()
	d.table.SetState(core.MemberDead)
	core.Sleep(ctx, d.clock, spreadLeave/2)
	d.gossip.Stop()
	if err := d.servers[0].Shutdown(ctx); err != nil {
		_ = d.servers[0].Close()
	}
	d.stopGauges()
	d.wg.Wait()
	d.pool.Close()
	_ = d.traces(context.WithoutCancel(ctx))
	d.log.Info("stopped")
}

// drain waits until no request is in progress here, neither as entry nor as
// owner.
func (d *Daemon) drain(ctx context.Context) {
	for ctx.Err() == nil && (d.entry.Running() > 0 || d.owner.Running() > 0) {
		core.Sleep(ctx, d.clock, drainCheck)
	}
}
