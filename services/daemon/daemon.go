// Package daemon implements the daemon that serves callers through the native interface. It
// assembles the components, starts them and stops them without interrupting requests.
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
	"primroseward/io/retain"
	"primroseward/platform"
	"primroseward/protocol/endpoint"
	"primroseward/protocol/peerv1/peerv1connect"
	"primroseward/services/holds"
	"primroseward/services/observe"
	service "primroseward/services/tree"
	"primroseward/setting"
	"primroseward/state/directory"
	"primroseward/state/tree"
	"primroseward/transport/admin"
	"primroseward/transport/intake"
	"primroseward/transport/peer"
	"primroseward/transport/routers"
	"primroseward/transport/rpc"
)

const (
	// leavePropagation is how long after a daemon has announced that it is leaving other
	// daemons may still hand out its address.
	leavePropagation   = 2 * time.Second
	drainPoll          = 100 * time.Millisecond
	handOverTimeout    = 10 * time.Second
	gaugeInterval      = time.Second
	adminHeaderTimeout = 10 * time.Second
)

// Daemon is one running primrosed.
type Daemon struct {
	set         *setting.Setting
	log         *zap.Logger
	clock       core.Clock
	metrics     *observe.Metrics
	stopTracing func(context.Context) error
	answers     *retain.Budget // of endpoints to calls of their native interface

	callBytes  peer.ByteCounter // counts the bytes of calls between daemons
	pool       *peer.Pool
	table      *member.Table
	gossip     *member.Gossip
	replica    *tree.Replica
	spread     *spread.Spreader
	network    *network
	quarantine *quarantine.Quarantine
	owner      *owner.Manager
	claims     *claim.Claims
	entry      *entry.Entry
	planner    *planner.Role
	api        *routers.API

	servers []*http.Server
	wg      sync.WaitGroup
	leaving atomic.Bool

	stopGauges context.CancelFunc
	addressTTL time.Duration // how long callers may use an address that they were given
	intake     *intake.Intake
}

// New opens the listeners and assembles the components.
func New(set *setting.Setting, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{set: set, log: log.With(zap.String("member", set.Name)), clock: clockwork.NewRealClock(), addressTTL: entry.AddressTTL, answers: retain.New(endpoint.MaxAnswers)}
	var err error
	if d.stopTracing, err = observe.StartTraces(set); err != nil {
		return nil, err
	}
	d.metrics = observe.NewMetrics()
	d.callBytes = d.byteCounter("calls")
	if d.pool, err = peer.NewPool(d.callBytes); err != nil {
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
		Name: set.Name, DataCentre: set.DataCentre, Peer: set.PeerAddr, Caller: set.CallerAddr,
		Incarnation: uint64(d.clock.Now().UnixNano()), Boot: bootID(),
	})
	d.replica = tree.NewReplica()
	client := platform.New(set.PlatformAddr, d.clock,
		platform.WithRate(set.Limits.PlatformRate, int(2*set.Limits.PlatformRate)),
		platform.WithCount(func(verb string) { scope.Tagged(map[string]string{"verb": verb}).Counter("platform_calls").Inc(1) }))
	d.spread = spread.New(d.replica, d.table, client, d.pool.Dial, d.clock, d.log)
	d.gossip = member.New(d.table, d.clock, udp, member.WithSeeds(set.SeedAddrs), member.WithSync(d.sync),
		member.WithSettingsState(d.spread), member.WithLogger(d.log), member.WithByteCounter(d.byteCounter("gossip")))
	dir := directory.New(d.clock)
	d.network = newNetwork(d.table, d.pool.Dial, d.clock, d.log)
	d.quarantine = quarantine.New(d.network, prober{d}, d.clock, d.log, quarantine.WithScope(scope), quarantine.WithStore(client, d.shouldReadHolds))
	d.owner = owner.New(d.replica, d.table, client, d.connect, d.clock, owner.WithLogger(d.log), owner.WithScope(scope.SubScope("owner")), owner.WithMaxBackoff(time.Duration(set.Limits.MaxBackoff)),
		owner.WithSettingsAge(d.spread.SinceConfirmed), owner.WithDirectory(d.report, d.find), owner.WithGuard(d.quarantine), owner.WithAnswerLimit(set.Limits.AnswerMemory()))
	d.claims = claim.New(client, d.table, d.clock, d.log)
	d.entry = entry.New(d.replica, d.table, d.pool.Dial, d.owner, dir, d.claims, d.clock, entry.WithLogger(d.log),
		entry.WithScope(scope.SubScope("entry")), entry.WithGuard(d.quarantine), entry.WithAnswerLimits(int64(set.Held.Bytes), time.Duration(set.Held.TTL)))
	d.planner = planner.NewRole(planner.Default(), d.replica, d.table, d.pool.Dial, d.clock, d.log)
	d.intake = intake.New(set.Limits.Intake(), d.clock, d.log, intake.WithScope(scope))
	d.api = routers.New(d.entry, d.clock, d.log, int64(set.Limits.Body), time.Duration(set.Limits.BodyTimeout), routers.WithScope(scope.SubScope("entry")), routers.WithIntake(d.intake))
	return d.listen(&rpc.Handler{
		Table: d.table, Spread: d.spread, Replica: d.replica, Owner: d.owner, Entry: d.entry, Dir: dir, Clock: d.clock, Planner: d.planner,
		Messages: d.network,
	}, client)
}

// prober requests reports from the endpoints that this daemon owns. It implements
// quarantine.Prober.
type prober struct{ d *Daemon }

// Report implements quarantine.Prober.
func (p prober) Report(ctx context.Context, r *core.Runner) (*core.Report, error) {
	return p.d.owner.Report(ctx, r)
}

// shouldReadHolds reports whether this daemon is the one that reads the changes that operators
// have made to the records of requests on hold.
func (d *Daemon) shouldReadHolds() bool {
	first := d.table.Rank(core.KindHolds, "", 1)
	return len(first) > 0 && first[0].Name == d.set.Name
}

// byteCounter returns a function that counts the bytes of one kind of traffic between daemons,
// in both directions.
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
	addr, _ := netip.ParseAddrPort(spec.Addr) // valid: it was checked when the tree was accepted
	if spec.Kind == tree.KindModel {
		return endpoint.New(addr, d.clock, endpoint.WithAnswers(d.answers), endpoint.WithRequiredID())
	}
	return endpoint.New(addr, d.clock, endpoint.WithAnswers(d.answers))
}

func (d *Daemon) report(ctx context.Context, to core.Member, reports []directory.Report) error {
	return d.entry.SendReports(ctx, to, reports)
}

func (d *Daemon) find(ctx context.Context, key string) []directory.Report {
	return d.entry.LookupRunners(ctx, key)
}

// sync exchanges member lists with the daemon at an address, and returns that daemon's list.
func (d *Daemon) sync(ctx context.Context, to netip.AddrPort, local []core.Member) ([]core.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := d.pool.Dial(to).Sync(ctx, connect.NewRequest(rpc.MembersToWire(local)))
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

// bound bounds what the calls of other daemons hold. Those that carry no caller's request are served also while such
// requests take up all memory.
func (d *Daemon) bound(next http.Handler) http.Handler {
	return d.intake.Calls(next, func(r *http.Request) bool {
		switch r.URL.Path {
		case peerv1connect.PeerDispatchProcedure, peerv1connect.PeerResumeProcedure, peerv1connect.PeerFetchProcedure:
			return false
		}
		return true
	})
}

// listen opens the listeners for other daemons, operators and callers.
func (d *Daemon) listen(h *rpc.Handler, client core.Platform) error {
	peers, err := peer.NewServer(h, peer.WithBound(d.bound), peer.WithReceiveBuffer(d.set.Limits.Intake().Unread))
	if err != nil {
		return err
	}
	trees := service.New(d.replica, client, d.spread, d.clock)
	operators := &admin.Admin{
		Trees:    trees,
		Statuses: service.NewStatuses(trees, d.table, d.pool.Dial),
		Fleet:    service.NewFleet(d.table, d.pool.Dial),
		Holds:    holds.NewTable(d.quarantine, d.clock),
		Metrics:  d.metrics.Handler,
		Ready:    d.Ready,
		Token:    d.set.Token,
		Bodies:   d.intake.Budget(),
	}
	admins := &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	callers := d.api.Server(int(d.set.Limits.Header))
	for _, l := range []struct {
		addr   netip.AddrPort
		server *http.Server
		port   intake.Port
	}{
		{d.set.PeerAddr, peers, intake.Port{Name: "peer", Share: intake.PeerShare, Multiplexed: true}},
		{d.set.AdminAddr, admins, intake.Port{Name: "admin", Share: intake.SmallShare, HeadTimeout: adminHeaderTimeout, Reserved: true}},
		{d.set.CallerAddr, callers, d.api.Port()},
	} {
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.addr))
		if err != nil {
			return eris.Wrap(err, l.port.Name)
		}
		ln := d.intake.Listen(tcp, l.port)
		if l.port.Multiplexed {
			ln = peer.NewCountingListener(ln, d.callBytes)
		} else {
			d.intake.Attach(l.server)
		}
		d.servers = append(d.servers, l.server)
		d.wg.Add(1)
		go d.runServer(l.server, ln)
	}
	return nil
}

func (d *Daemon) runServer(s *http.Server, ln net.Listener) {
	defer d.wg.Done()
	if err := s.Serve(ln); err != nil && err != http.ErrServerClosed {
		d.log.Error("listener failed", zap.Error(err))
	}
}

// Ready reports whether the daemon has settings and is not leaving.
func (d *Daemon) Ready() bool {
	return d.replica.Tree() != nil && !d.leaving.Load()
}

// runGauges updates the gauges of the highest version of the settings, of the requests in
// progress and of the members.
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
		core.Sleep(ctx, d.clock, gaugeInterval)
	}
}

// Start starts the components. The listeners have been open since New.
func (d *Daemon) Start() {
	gauges, stop := context.WithCancel(context.Background())
	d.stopGauges = stop
	d.wg.Add(1)
	go d.runGauges(gauges)
	d.gossip.Start()
	d.spread.Start()
	d.claims.Start()
	d.quarantine.Start()
	d.owner.Start()
	d.entry.Start()
	d.planner.Start()
	d.log.Info("started", zap.String("place", d.set.DataCentre), zap.Stringer("caller", d.set.CallerAddr),
		zap.Stringer("peer", d.set.PeerAddr), zap.Stringer("admin", d.set.AdminAddr))
}

// Reload logs that changes of the process's settings need a restart. Operators change the
// settings tree instead.
func (d *Daemon) Reload(*setting.Setting) {
	d.log.Warn(logs.NotReloaded, zap.String("reason", "needs a restart"))
}

// Stop shuts the daemon down without interrupting requests. It first announces the shutdown,
// upon which other daemons take over the endpoints that this daemon owns, and waits until the
// addresses that callers have been given expire. Requests in progress may complete, however
// long they take, and stored answers are handed over to other daemons. If ctx is done before
// that, the remaining requests are interrupted.
func (d *Daemon) Stop(ctx context.Context) {
	d.log.Info("leaving")
	d.leaving.Store(true)
	d.api.Leave()
	d.planner.Stop()
	d.table.SetState(core.MemberLeaving)
	core.Sleep(ctx, d.clock, leavePropagation+d.addressTTL)
	d.drain(ctx)
	handOver, cancel := context.WithTimeout(ctx, handOverTimeout)
	d.entry.HandOver(handOver)
	cancel()
	for _, s := range []int{2, 1} { // callers, then operators
		if err := d.servers[s].Shutdown(ctx); err != nil {
			_ = d.servers[s].Close()
		}
	}
	d.entry.Stop()
	d.owner.Stop()
	d.quarantine.Stop()
	d.network.wait()
	d.claims.Stop()
	d.spread.Stop()
	d.table.SetState(core.MemberDead)
	core.Sleep(ctx, d.clock, leavePropagation/2)
	d.gossip.Stop()
	if err := d.servers[0].Shutdown(ctx); err != nil {
		_ = d.servers[0].Close()
	}
	d.stopGauges()
	d.wg.Wait()
	d.pool.Close()
	_ = d.stopTracing(context.WithoutCancel(ctx))
	d.log.Info("stopped")
}

// drain waits until no request is in progress at this daemon, neither as entry nor as owner.
func (d *Daemon) drain(ctx context.Context) {
	for ctx.Err() == nil && (d.entry.Running() > 0 || d.owner.Running() > 0) {
		core.Sleep(ctx, d.clock, drainPoll)
	}
}
