// Package fleet is the daemon that serves callers where runners and
// configuration come from the platform's store: it puts the parts together,
// starts them and stops them without cutting a request.
package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/dispatch"
	"primroseward/coordination/lease"
	"primroseward/coordination/limit"
	"primroseward/coordination/load"
	"primroseward/coordination/peers"
	"primroseward/coordination/placement"
	"primroseward/coordination/policy"
	"primroseward/coordination/quarantine"
	"primroseward/coordination/watch"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/platform"
	"primroseward/protocol/runner"
	"primroseward/services/observe"
	"primroseward/setting"
	"primroseward/state/catalog"
	"primroseward/state/tree"
	"primroseward/transport/front"
)

const (
	// kindDaemons is the kind of the objects by which daemons find each other.
	kindDaemons = "daemons"
	// kindLeases is the kind of the leases, leaseName the one of orders.
	kindLeases = "leases"
	leaseName  = "orders"
	// watchers is how many daemons watch the store: with three the loss or the
	// cut of two at once is nothing, and each change costs three calls instead
	// of one for each daemon.
	watchers = 3
	// placeWatchers is how many do in each place of a large fleet, where daemons
	// of other places are missed late. One that falls silent is replaced within
	// the 1.5 s after which its place misses it.
	placeWatchers = 1
	// Patience of a daemon that starts, before it reads the store itself: with one
	// that is ready to give its copy, which 70 may ask for at the same time; with
	// those that the store lists, which are ready some 100 ms after their start, in a
	// large fleet, on VMs with a fifth of a core, 800 ms; and with the store's list
	// of daemons. Where patience ended sooner all of 295 read the store, 15 calls each.
	copyPatience  = 2 * time.Second
	startPatience = 400 * time.Millisecond
	largePatience = 1200 * time.Millisecond
	findPatience  = time.Second
	// startReaders is how many daemons read the store at once when many start, in
	// a large fleet in each place, so that its others find a copy near by. Those that
	// the store lists may be gone for good: with one, all waited for the patience to
	// end, a second without service after each kill of all.
	startReaders = 3
	// smallPause and largePause are how long a daemon that does not watch the store waits
	// between two copies of the runners. Among hundreds of runners some change all the
	// time: with the pause of a small fleet each of 295 daemons took 4.4 copies a second.
	// A runner that leaves must get no more work after two seconds, three in large
	// fleets, of which this takes a sixth.
	smallPause = 200 * time.Millisecond
	largePause = 500 * time.Millisecond
	// giveBack is the time to give the lease back and to take the daemon's
	// object out of the store when stopping.
	giveBack = 300 * time.Millisecond
	// listenerLife is how long after the signal to stop new connections are
	// still taken: callers that asked the directory just before it keep the
	// address for their keep time.
	listenerLife = 2500 * time.Millisecond
	// exitMargin is what is left of the grace time for closing.
	exitMargin = 400 * time.Millisecond
	// budgetShare is the part of the shared budget of repeats that is used, in
	// per cent: daemons count on their own, and some may have just died.
	budgetShare = 70
)

// Daemon is one running primrosed.
type Daemon struct {
	set     *setting.Setting
	clock   core.Clock
	log     *zap.Logger
	metrics *observe.Metrics
	scope   tally.Scope
	traces  func(context.Context) error

	store      *platform.Client
	settings   *tree.Replica
	catalog    *catalog.Catalog
	watcher    *watch.Watcher
	runners    *runner.Client
	loads      *load.Table
	peers      *peers.Peers
	lease      *lease.Lease
	holder     *placement.Holder
	placer     *placement.Client
	dispatcher *dispatch.Dispatcher
	quarantine *quarantine.Quarantine
	allowances *allowance.Pool
	limits     *allowance.Limits
	front      *front.Front
	started    time.Time
	leaving    atomic.Bool
	bounds     atomic.Pointer[setting.Fleet] // as last read

	calls   *http.Client // to other daemons
	packed  packed
	servers []*http.Server
	wg      sync.WaitGroup
}

// New opens the listeners and puts the parts together.
func New(set *setting.Setting, log *zap.Logger, metrics *observe.Metrics) (*Daemon, error) {
	d := &Daemon{
		set: set, clock: clockwork.NewRealClock(), log: log.With(zap.String("daemon", set.Name)),
		metrics: metrics, scope: metrics.Scope, settings: tree.NewReplica(tree.WithOverlay()),
		// Copies are rare: a connection kept for them would only go silent.
		calls: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	d.bounds.Store(set.Fleet)
	d.started = d.clock.Now()
	var err error
	if d.traces, err = observe.StartTraces(set); err != nil {
		return nil, eris.Wrap(err, "traces")
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(set.PeerAddr))
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	d.assemble(udp)
	return d, d.listen()
}

func (d *Daemon) assemble(udp *net.UDPConn) {
	set := d.set
	d.store = platform.New(set.PlatformAddr, d.clock,
		platform.WithRate(set.Limits.Platform, int(set.Limits.Platform)),
		platform.WithCount(func(verb string) { d.scope.Tagged(map[string]string{"verb": verb}).Counter("platform_calls").Inc(1) }),
		platform.WithNameless(func(kind string) {
			d.log.Error(logs.ObjectNameless, zap.String("kind", kind))
			d.scope.Tagged(map[string]string{"kind": kind}).Counter("objects_nameless").Inc(1)
		}))
	d.loads = load.New(d.clock)
	dials := d.scope.Counter("runner_dials")
	d.runners = runner.New(d.clock, platform.Dialect{}, runner.WithDialed(func() { dials.Inc(1) }), runner.WithCalled(func(id string) { d.limits.Charge(id) }))
	d.catalog = catalog.New(d.clock, catalog.WithGone(d.gone), catalog.WithRestarted(d.restarted), catalog.WithConfig(d.newConfig))
	d.watcher = watch.New(d.store, watch.Reader{
		ConfigKind: platform.KindConfig, ConfigName: platform.NameConfig, RunnerKind: platform.KindRunners,
		Config: platform.ReadConfig, Runner: platform.ReadRunner,
	}, d.neighbour, d.catalog, d.clock, d.log, watch.WithSettings(d.settings),
		watch.WithActive(d.watches), watch.WithFirst(d.first), watch.WithChanged(d.changed), watch.WithPause(d.pause),
		watch.WithUnreadable(func() { d.scope.Counter("runner_entries_unreadable").Inc(1) }))
	d.allowances = allowance.New(d.clock, func() core.Window { return d.bounds.Load().Quota.Bounds() }, allowance.WithScope(d.scope))
	d.limits = allowance.NewLimits(d.clock, d.log, allowance.WithLimitsScope(d.scope), allowance.WithTell(d.tellLimit))
	self := peers.Peer{
		Name: set.Name, Place: set.Place, Caller: set.CallerAddr, Peer: set.PeerAddr,
		Boot: uint64(d.clock.Now().UnixNano()), Cores: set.Limits.Cores,
	}
	d.peers = peers.New(self, kindDaemons, d.store, udp, d.clock, d.log, d.loads.Own, d.heard, peers.WithNews(d.news), peers.WithCount(d.countDatagram),
		peers.WithUsage(d.usage, d.heardUsage))
	d.peers.Handle(kindLimit, d.handleLimit)
	budget := policy.NewBudget(d.clock, time.Duration(set.Fleet.Window), d.ratio, d.slack)
	demand := dispatch.NewDemand()
	d.lease = lease.New(d.store, kindLeases, leaseName, set.Name, time.Duration(set.Fleet.Lease), rival{d}, d.clock, d.log, lease.WithCandidate(d.watches))
	d.peers.SetState(d.state)
	d.peers.Handle(kindYield, d.handleYield)
	d.quarantine = quarantine.New(d.peers, d.runners, d.clock, d.log, quarantine.WithScope(d.scope),
		quarantine.WithHeld(func(digest core.Digest) { d.dispatcher.Hold(digest) }), quarantine.WithStore(d.store, d.readsHolds))
	d.holder = placement.New(set.Name, d.catalog, d.loads, d.runners, d.lease, d.clock, d.log,
		func(name string) { d.scope.Counter("placement_" + name).Inc(1) },
		placement.NewSpreader(d.peers, d.catalog, d.clock, d.log).Tell, placement.WithGuard(d.quarantine), placement.WithLimited(d.isLimited))
	d.holder.SetSettings(d.settings)
	d.placer = placement.NewClient(d.peers, d.holder, demand, d.clock, d.log)
	d.dispatcher = dispatch.New(set.Place, d.catalog, d.loads, d.runners, d.placer, budget, demand, d.clock, d.log,
		dispatch.WithScope(d.scope), dispatch.WithGuard(d.quarantine), dispatch.WithAllowance(d.allowances), dispatch.WithLimits(d.limits), dispatch.WithDaemons(d.serving), dispatch.WithDown(d.foundDown), dispatch.WithSettings(d.settings, d.watcher.SettingsAge, limit.New(d.clock, d.serving, limit.WithShared(d.limits))))
	d.front = front.New(d.catalog, platform.Dialect{}, d.dispatcher, d.clock, d.log, front.WithScope(d.scope), front.WithKnown(d.knows), front.WithTrusted(d.trusts))
}

// ratio is the share of requests that may be repeated.
func (d *Daemon) ratio() float64 { return d.bounds.Load().Ratio * budgetShare / 100 }

// slack is this daemon's part of the repeats that all daemons may make beyond
// their share of requests.
func (d *Daemon) slack() float64 {
	return d.bounds.Load().Slack * budgetShare / 100 / float64(d.peers.Count())
}

func (d *Daemon) gone(r core.Runner) {
	d.log.Info(logs.RunnerGone, zap.String("runner", r.ID), zap.String("service", r.Service))
	d.runners.Forget(r.ID)
	d.loads.Forget(r.ID)
	d.limits.Forget(r.ID)
	d.dispatcher.Forget(r.ID)
}

// restarted takes in that a runner has started again under its id. All that was
// believed of it goes, before anything else is sent there; what was sent to its former
// life ends, as nothing more will come of it.
func (d *Daemon) restarted(was core.Runner) {
	d.log.Info(logs.RunnerRestarted, zap.String("runner", was.ID), zap.String("service", was.Service), zap.Time("former", was.Born))
	d.runners.Forget(was.ID)
	d.loads.Restarted(was.ID)
	d.limits.Forget(was.ID)
	d.dispatcher.Restarted(was.ID)
}

// listen opens the listeners.
func (d *Daemon) listen() error {
	dir := &front.Directory{
		Peers: d.peers, Ready: d.Ready, Place: platform.CallerPlace,
		Reply: func(addrs []netip.AddrPort) any {
			return platform.Addresses(addrs, time.Duration(d.bounds.Load().Keep))
		},
	}
	resolve := http.NewServeMux()
	resolve.Handle("GET "+platform.PathDirectory, dir)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, dir.ServeReady)
	for _, one := range []struct {
		name   string
		addr   netip.AddrPort
		server *http.Server
	}{
		{"caller", d.set.CallerAddr, d.front.Server()},
		{"ready", d.set.FleetAddrs.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: time.Second}},
		{"directory", d.set.FleetAddrs.Directory, &http.Server{Handler: resolve, ReadHeaderTimeout: time.Second}},
		{"peer", d.set.PeerAddr, &http.Server{Handler: d.copyHandler(), ReadHeaderTimeout: time.Second}},
		{"admin", d.set.AdminAddr, &http.Server{Handler: d.admin().Handler(), ReadHeaderTimeout: time.Second}},
	} {
		ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(one.addr))
		if err != nil {
			return eris.Wrap(err, one.name)
		}
		d.servers = append(d.servers, one.server)
		d.wg.Add(1)
		go d.runServer(one.server, ln)
	}
	return nil
}

func (d *Daemon) runServer(s *http.Server, ln net.Listener) {
	defer d.wg.Done()
	err := s.Serve(ln)
	if err != nil && err != http.ErrServerClosed && !d.leaving.Load() {
		d.log.Error(logs.ListenerFailed, logs.Err(err))
	}
}

// knows says whether the configuration, the runners and the operators' settings are known.
func (d *Daemon) knows() bool {
	return d.catalog.Config() != nil && d.watcher.KnowsRunners() && d.settings.Tree() != nil
}

// trusts says whether callers' keys that are known may be used now. The configuration comes
// from the store as the operators' settings do, and is as old.
func (d *Daemon) trusts() bool {
	keys := d.bounds.Load().Keys
	if !keys.Closed {
		return true
	}
	age := d.watcher.SettingsAge()
	return age >= 0 && age <= time.Duration(keys.Confirm)
}

// state is what the others are told of this daemon.
func (d *Daemon) state() peers.State {
	term, fresh := d.lease.Claim()
	return peers.State{
		Ready: d.knows(), Failing: d.watcher.Failing(), Term: term, Fresh: fresh,
		Knows: d.watcher.Changes(), Down: d.loads.OwnDown(), Confirmed: d.watcher.SettingsAge(),
	}
}

// newConfig takes in the workspaces of a configuration, and tells the others at once that
// it has come: those that have just started wait for copies of a daemon that has one.
func (d *Daemon) newConfig(c *core.Config) {
	d.allowances.Configure(c.Workspaces)
	for _, p := range c.Problems {
		d.log.Error(logs.ConfigProblem, zap.Uint64("config", c.Version), zap.String("problem", p))
	}
	d.peers.Nudge(true)
}

// Ready says whether the daemon can serve callers.
func (d *Daemon) Ready() bool {
	return d.knows() && !d.leaving.Load()
}

// serving is the number of daemons that share the callers.
func (d *Daemon) serving() int { return d.peers.Count() }

// Start begins to serve.
func (d *Daemon) Start() {
	d.peers.Start()
	d.watcher.Start()
	d.lease.Start()
	d.holder.Start()
	d.placer.Start()
	d.quarantine.Start()
	d.log.Info(logs.Started, zap.String("place", d.set.Place), zap.Stringer("caller", d.set.CallerAddr), zap.String("version", core.Version))
}

// heard takes in what another daemon tells of itself, or the loads of the place's others.
func (d *Daemon) heard(from peers.Peer, counts map[core.Code]int) {
	if counts != nil {
		d.loads.Heard(from.Name, counts)
	}
	if from.Name == load.Others {
		return
	}
	d.loads.HeardDown(from.Down)
	d.watcher.Hint(from.Name, from.Place == d.set.Place, from.Knows)
	d.watcher.Confirm(from.Knows.Settings, from.Confirmed)
}

// news takes in what a hub tells of its group.
func (d *Daemon) news(n peers.News) {
	d.loads.HeardDown(n.Down)
	for _, c := range n.Changes {
		if c.Source != d.set.Name {
			d.watcher.Hint(c.Source, n.Place == d.set.Place, c.Changes)
		}
	}
	d.watcher.Confirm(n.Settings, n.Confirmed)
}

// countDatagram counts what this daemon tells others, by what it is for.
func (d *Daemon) countDatagram(kind string, near bool, bytes int) {
	s := d.scope.Tagged(map[string]string{"kind": kind, "near": strconv.FormatBool(near)})
	s.Counter("peer_datagrams").Inc(1)
	s.Counter("peer_bytes").Inc(int64(bytes))
}

// Reload takes in what may change while the daemon runs: how long callers keep
// addresses, and the budget of repeats. Addresses, names and places need a
// restart.
func (d *Daemon) Reload(set *setting.Setting) {
	old := d.bounds.Load()
	if set.Fleet == nil || set.Name != d.set.Name || set.Place != d.set.Place || set.CallerAddr != d.set.CallerAddr ||
		set.PeerAddr != d.set.PeerAddr || set.PlatformAddr != d.set.PlatformAddr || set.FleetAddrs != d.set.FleetAddrs {
		d.log.Warn(logs.NotReloaded, zap.String("reason", "names or addresses have changed, which needs a restart"))
		return
	}
	d.bounds.Store(set.Fleet)
	d.log.Info(logs.Reloaded, zap.Bool("changed", *old != *set.Fleet))
}

// Stop leaves without cutting a request. Others and callers learn of it first;
// new connections are taken until callers have asked the directory again. Then
// idle connections are closed: a request on one that was kept until the end
// would be cut. Requests in progress end in their own time, within the grace
// time.
func (d *Daemon) Stop(ctx context.Context) {
	began := d.clock.Now()
	d.log.Info(logs.Leaving, zap.Int("running", d.dispatcher.Running()))
	d.leaving.Store(true)
	d.front.Leave()
	d.peers.Leave()
	d.holder.Stop()
	give, cancel := context.WithTimeout(ctx, giveBack)
	d.lease.Stop(give)
	if err := d.peers.Unregister(give); err != nil {
		d.log.Info(logs.StillRegistered, logs.Err(err))
	}
	cancel()
	core.Sleep(ctx, d.clock, listenerLife)
	left := began.Add(time.Duration(d.bounds.Load().Grace) - exitMargin).Sub(d.clock.Now())
	drain, cancel := context.WithTimeout(ctx, left)
	if err := d.servers[0].Shutdown(drain); err != nil {
		d.log.Warn(logs.CutAtEnd, zap.Int("running", d.dispatcher.Running()), logs.Err(err))
	}
	cancel()
	d.log.Info(logs.Stopped, zap.Duration("took", d.clock.Since(began)))
	d.placer.Stop()
	d.quarantine.Stop()
	d.watcher.Stop()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peers.Stop()
	d.wg.Wait()
	if err := d.traces(context.WithoutCancel(ctx)); err != nil {
		d.log.Warn(logs.TracesUnsent, logs.Err(err))
	}
}
