// Package fleet implements the daemon that serves callers where runners and
// configuration come from the platform's store. It assembles the components,
// starts them and stops them without interrupting requests.
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
	"primroseward/coordination/availability"
	"primroseward/coordination/dispatch"
	"primroseward/coordination/fairness"
	"primroseward/coordination/forward"
	"primroseward/coordination/lease"
	"primroseward/coordination/limit"
	"primroseward/coordination/load"
	"primroseward/coordination/origin"
	"primroseward/coordination/peers"
	"primroseward/coordination/placement"
	"primroseward/coordination/quarantine"
	"primroseward/coordination/reach"
	"primroseward/coordination/retry"
	"primroseward/coordination/watch"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/io/tcp"
	"primroseward/platform"
	"primroseward/protocol/runner"
	"primroseward/services/observe"
	"primroseward/setting"
	"primroseward/state/catalog"
	"primroseward/state/tree"
	"primroseward/transport/front"
	"primroseward/transport/intake"
)

const (
	// kindDaemons is the kind of the store's objects by which daemons discover each other.
	kindDaemons = "daemons"
	// kindLeases is the kind of the lease objects; leaseName names the lease of orders.
	kindLeases = "leases"
	leaseName  = "orders"
	// maxWatchers is the number of daemons that watch the store in a small fleet. With
	// three, two may fail or be disconnected at once without effect, and each change
	// costs three calls instead of one for each daemon.
	maxWatchers = 3
	// maxDataCentreWatchers is the number of daemons that watch the store in each data
	// centre of a large fleet, where the loss of a daemon of another data centre is
	// noticed late. A watcher that stops sending is replaced within the 1.5 s after which
	// its data centre notices the loss.
	maxDataCentreWatchers = 1
	// The next four constants bound how long a starting daemon waits before it reads the
	// store itself. It waits for a ready daemon that can supply its snapshot
	// (snapshotWait; 70 daemons may request it at the same time), for the daemons that
	// the store lists (smallStartWait, largeStartWait; they are ready about 100 ms after
	// their start, or 800 ms in a large fleet on VMs with a fifth of a core), and for the
	// store's list of daemons (discoveryWait). With shorter waits all of 295 daemons would
	// read the store, with 15 calls each.
	snapshotWait   = 2 * time.Second
	smallStartWait = 400 * time.Millisecond
	largeStartWait = 1200 * time.Millisecond
	discoveryWait  = time.Second
	// startReaders is the number of daemons that read the store at once when many start;
	// in a large fleet, the number in each data centre, so that its other daemons find a
	// snapshot nearby. Daemons that the store lists may be gone for good: with a single
	// reader, all daemons would wait for the whole start wait, a second without service
	// each time that all daemons are killed.
	startReaders = 3
	// smallFollowPause and largeFollowPause are how long a daemon that does not watch the
	// store waits between two snapshots of the runners. Among hundreds of runners some
	// change all the time: with the pause of a small fleet, each of 295 daemons would
	// fetch 4.4 snapshots a second. A leaving runner must get no new work after two seconds, or
	// three in large fleets; the large pause uses a sixth of that time.
	smallFollowPause = 200 * time.Millisecond
	largeFollowPause = 500 * time.Millisecond
	// releaseTimeout bounds the release of the lease and the removal of the daemon's
	// object from the store when the daemon stops.
	releaseTimeout = 300 * time.Millisecond
	// listenerDrain is how long after the signal to stop new connections are still
	// accepted. Callers that queried the directory just before the signal use the address
	// until its time to live has passed.
	listenerDrain = 2500 * time.Millisecond
	// backlogDrain is how long new connections are accepted even if listenerDrain has passed,
	// for those that arrived while the process was paused.
	backlogDrain = 200 * time.Millisecond
	// drainPoll is how often a stopping daemon looks whether callers' connections and the requests that
	// other daemons have forwarded to it have ended.
	drainPoll = 20 * time.Millisecond
	// idleMargin is how long before requests in progress are cut idle connections are closed, so that
	// those whose request has just been read are answered.
	idleMargin = 200 * time.Millisecond
	// answerMargin is the time for the refusals of the requests that still wait when requests in progress
	// are cut. It is a part of closeMargin.
	answerMargin = 100 * time.Millisecond
	// headTimeout is the longest time for the head of a request at the addresses that are not for callers.
	headTimeout = time.Second
	// closeMargin is the part of the grace time that is reserved for closing.
	closeMargin = 400 * time.Millisecond
)

// Daemon is one running primrosed.
type Daemon struct {
	set         *setting.Setting
	clock       core.Clock
	log         *zap.Logger
	metrics     *observe.Metrics
	scope       tally.Scope
	stopTracing func(context.Context) error

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
	origins    *origin.Tracker
	allowances *allowance.Pool
	fairness   *fairness.Table
	limits     *allowance.Limits
	available  *availability.Table
	reach      *reach.Monitor
	front      *front.Front
	started    time.Time
	leaving    atomic.Bool
	departures *departureReader
	// stopStarting ends what only a starting daemon does.
	stopStarting context.CancelFunc

	current atomic.Pointer[setting.Fleet] // the settings as last loaded

	client    *http.Client // for requests to other daemons
	intake    *intake.Intake
	snapshots snapshotCache
	servers   []*http.Server
	callers   net.Listener // of servers[0]
	wg        sync.WaitGroup
}

// New opens the listeners and assembles the components.
func New(set *setting.Setting, log *zap.Logger, metrics *observe.Metrics) (*Daemon, error) {
	d := &Daemon{
		set: set, clock: clockwork.NewRealClock(), log: log.With(zap.String("daemon", set.Name)),
		metrics: metrics, scope: metrics.Scope, settings: tree.NewReplica(tree.WithOverlay()),
		// Snapshots are rare, and a connection kept open for them might be stalled by the next use.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	d.current.Store(set.Fleet)
	d.started = d.clock.Now()
	var err error
	if d.stopTracing, err = observe.StartTraces(set); err != nil {
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
		platform.WithRate(set.Limits.PlatformRate, int(set.Limits.PlatformRate)),
		platform.WithCount(func(verb string) { d.scope.Tagged(map[string]string{"verb": verb}).Counter("platform_calls").Inc(1) }),
		platform.WithUnnamed(func(kind string) {
			d.log.Error(logs.ObjectWithoutName, zap.String("kind", kind))
			d.scope.Tagged(map[string]string{"kind": kind}).Counter("objects_nameless").Inc(1)
		}))
	d.loads = load.New(d.clock)
	dials := d.scope.Counter("runner_dials")
	d.catalog = catalog.New(d.clock, catalog.WithGoneCallback(d.runnerGone), catalog.WithRestartCallback(d.runnerRestarted), catalog.WithConfigCallback(d.newConfig))
	d.limits = allowance.NewLimits(d.clock, d.log, allowance.WithLimitsScope(d.scope), allowance.WithBroadcast(d.broadcastLimit))
	d.available = availability.New(d.clock, d.catalog, d.loads, d.limits, d.log, availability.WithScope(d.scope), availability.WithBroadcast(d.broadcastLeaving),
		availability.WithMaxBackoff(time.Duration(set.Limits.MaxBackoff)), availability.WithBrittleBroadcast(d.broadcastBrittle), availability.WithMembers(set.Name, d.senders))
	d.runners = runner.New(d.clock, platform.Dialect{}, runner.WithDialCallback(func() { dials.Inc(1) }), runner.WithReceiveBuffer(set.Limits.RunnerUnread()), runner.WithCallCallback(func(id string) { d.limits.Charge(id) }),
		runner.WithAnswerCallback(func(r *core.Runner, info core.ReplyInfo) { d.dispatcher.ObserveAnswer(r, info) }))
	d.reach = reach.New(d.loads, d.runners, d.checkTargets, d.clock, d.log, reach.WithScope(d.scope), reach.WithOnChange(d.pathChanged), reach.WithPeers(answeredPeers{d}))
	d.watcher = watch.New(d.store, watch.Reader{
		ConfigKind: platform.KindConfig, ConfigName: platform.NameConfig, RunnerKind: platform.KindRunners,
		Config: platform.ReadConfig, Runner: platform.ReadRunner,
	}, d.fetchSnapshot, d.catalog, d.clock, d.log, watch.WithSettings(d.settings),
		watch.WithWatchCondition(d.shouldWatch), watch.WithReadStoreCondition(d.shouldReadStore), watch.WithChanged(d.storeChanged), watch.WithFollowPause(d.followPause),
		watch.WithUnreadable(func() { d.scope.Counter("runner_entries_unreadable").Inc(1) }))
	d.fairness = fairness.New(d.clock, fairness.WithScope(d.scope))
	d.allowances = allowance.New(d.clock, func() core.AllowanceWindow { return d.current.Load().Quota.Bounds() }, allowance.WithScope(d.scope), allowance.WithOrder(d.balanced))
	self := peers.Peer{
		Name: set.Name, DataCentre: set.DataCentre, Caller: set.CallerAddr, Peer: set.PeerAddr,
		Boot: uint64(d.clock.Now().UnixNano()), Cores: set.Limits.Cores,
	}
	d.peers = peers.New(self, kindDaemons, d.store, udp, d.clock, d.log, d.loads.LocalRequests, d.peerUpdate, peers.WithSummaries(d.groupSummary), peers.WithDatagramCounter(d.countDatagram),
		peers.WithUsage(d.localUsage, d.peerUsage), peers.WithGrace(func() time.Duration { return time.Duration(d.current.Load().Grace) }), peers.WithOccupancy(d.occupancy()))
	d.peers.Handle(kindLimit, handleUpdate(d, d.limits.ApplyUpdate))
	d.peers.Handle(kindBrittle, handleUpdate(d, d.available.ApplyBrittle))
	d.peers.Handle(kindAnswered, d.handleAnswered)
	d.peers.Handle(kindHeard, d.handleHeard)
	d.peers.Handle(kindLeaving, handleUpdate(d, d.available.ApplyUpdate))
	budget := retry.New(d.clock, d.retryLimits, d.peers.CountKnown)
	demand := dispatch.NewDemand()
	d.lease = lease.New(d.store, kindLeases, leaseName, set.Name, time.Duration(set.Fleet.Lease), currentHolder{d}, d.clock, d.log, lease.WithCandidate(d.mayHoldLease), lease.WithResign(d.shouldResignLease))
	d.departures = &departureReader{clock: d.clock, log: d.log, choose: d.selectPeer, fetch: d.fetchDepartures, storeKnown: d.storeKnown}
	d.peers.SetState(d.state)
	d.peers.Handle(kindYield, d.handleYield)
	d.quarantine = quarantine.New(d.peers, d.runners, d.clock, d.log, quarantine.WithScope(d.scope),
		quarantine.WithOnHold(func(digest core.Digest) { d.dispatcher.CancelHeld(digest) }), quarantine.WithStore(d.store, d.shouldReadHolds), quarantine.WithConnector(d.runners),
		quarantine.WithRunners(d.runnersOf))
	d.origins = origin.New(d.catalog.Versions, d.clock, d.log, origin.WithScope(d.scope), origin.WithNetwork(d.peers), origin.WithRegistry(origin.NewRegistry(d.store, d.clock, d.log)),
		origin.WithRetirement(func() bool { _, ok := d.lease.Term(); return ok }))
	d.holder = placement.New(set.Name, d.catalog, d.loads, d.runners, d.lease, d.clock, d.log,
		func(name string) { d.scope.Counter("placement_" + name).Inc(1) },
		placement.NewBroadcaster(d.peers, d.catalog, d.clock, d.log).Broadcast, placement.WithGuard(d.quarantine), placement.WithAvailability(d.available),
		placement.WithBalance(d.balance), placement.WithScope(d.scope))
	d.holder.SetSettings(d.settings)
	d.placer = placement.NewClient(d.peers, d.holder, demand, d.clock, d.log)
	d.dispatcher = dispatch.New(set.DataCentre, d.catalog, d.loads, d.runners, d.placer, budget, demand, d.clock, d.log,
		dispatch.WithScope(d.scope), dispatch.WithAnswerMemory(set.Limits.AnswerMemory()), dispatch.WithGuard(d.quarantine), dispatch.WithBalance(d.balance), dispatch.WithExits(d.quarantine), dispatch.WithOrigins(d.origins), dispatch.WithAllowance(d.allowances), dispatch.WithFairness(d.fairness), dispatch.WithLimits(d.limits), dispatch.WithAvailability(d.available), dispatch.WithDaemons(d.serving), dispatch.WithDown(d.runnerDown), dispatch.WithSettings(d.settings, d.watcher.SettingsAge, limit.New(d.clock, d.serving, limit.WithShared(d.limits))))
	dispatch.WithHelpers(set.Name, forward.New(d.peers, platform.Dialect{}, d.clock), d.reach.Lost)(d.dispatcher)
	d.intake = intake.New(set.Limits.Intake(), d.clock, d.log, intake.WithScope(d.scope))
	d.front = front.New(d.catalog, platform.Dialect{}, d.dispatcher, d.clock, d.log, front.WithScope(d.scope), front.WithSettingsKnown(d.stateKnown), front.WithKeysConfirmed(d.keysConfirmed), front.WithIntake(d.intake))
}

// balance returns whether operators want requests to be balanced by counts of the whole fleet.
func (d *Daemon) balance() core.Balance { return d.current.Load().Balance }

// balanced reports whether requests are balanced so under the configuration in force.
func (d *Daemon) balanced() bool { return d.balance().Enabled(d.catalog.Config()) }

// retryLimits returns the retry budget of all daemons.
func (d *Daemon) retryLimits() retry.Limits {
	f := d.current.Load()
	return retry.Limits{Window: time.Duration(f.RetryWindow), Ratio: f.RetryRatio, Slack: f.RetrySlack}
}

// runnersOf returns the known runners of a service that are not known to be down.
func (d *Daemon) runnersOf(service string) []core.Runner {
	var out []core.Runner
	for _, e := range d.catalog.Runners(service) {
		if !d.loads.Down(e.ID) {
			out = append(out, e.Runner)
		}
	}
	return out
}

// runnerGone discards the state that is kept of a runner that is gone.
func (d *Daemon) runnerGone(r core.Runner) {
	d.log.Info(logs.RunnerGone, zap.String("runner", r.ID), zap.String("service", r.Service))
	d.runners.CloseIdle(r.ID)
	d.loads.Forget(r.ID)
	d.limits.Forget(r.ID)
	d.available.Forget(r.ID)
	d.dispatcher.Forget(r.ID)
}

// runnerRestarted handles the restart of a runner under the same id. It discards the state
// that is kept of the runner before anything else is sent there, and ends the requests that
// were sent to the former instance, as it will not answer them.
func (d *Daemon) runnerRestarted(former core.Runner) {
	d.log.Info(logs.RunnerRestarted, zap.String("runner", former.ID), zap.String("service", former.Service), zap.Time("former", former.StartedAt))
	d.runners.CloseIdle(former.ID)
	d.loads.Restarted(former.ID)
	d.limits.Forget(former.ID)
	d.available.Forget(former.ID)
	d.dispatcher.Restarted(former.ID)
}

// listen opens the listeners.
func (d *Daemon) listen() error {
	dir := &front.Directory{
		Peers: d.peers, Ready: d.Ready, DataCentre: platform.CallerDataCentre,
		Reply: func(addrs []netip.AddrPort) any {
			return platform.Addresses(addrs, time.Duration(d.current.Load().AddressTTL))
		},
	}
	resolve := http.NewServeMux()
	resolve.Handle("GET "+platform.PathDirectory, dir)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, dir.ServeReady)
	peerPort := d.front.PeerPort()
	peerPort.HeadTimeout = headTimeout
	for _, l := range []struct {
		addr   netip.AddrPort
		server *http.Server
		port   intake.Port
	}{
		{d.set.CallerAddr, d.front.Server(), d.front.Port()},
		{d.set.FleetAddrs.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: headTimeout}, intake.Port{Name: "ready", Share: intake.SmallShare, HeadTimeout: headTimeout, Reserved: true}},
		{d.set.FleetAddrs.Directory, &http.Server{Handler: resolve, ReadHeaderTimeout: headTimeout}, intake.Port{Name: "directory", Share: intake.DirectoryShare, HeadTimeout: headTimeout, Reserved: true}},
		{d.set.PeerAddr, &http.Server{Handler: d.front.Forwarded(d.snapshotHandler()), ReadHeaderTimeout: headTimeout, ConnContext: tcp.WithConn}, peerPort},
		{d.set.AdminAddr, &http.Server{Handler: d.admin().Handler(), ReadHeaderTimeout: headTimeout}, intake.Port{Name: "admin", Share: intake.SmallShare, HeadTimeout: headTimeout, Reserved: true}},
	} {
		ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.addr))
		if err != nil {
			return eris.Wrap(err, l.port.Name)
		}
		var accepting net.Listener
		if len(d.servers) == 0 {
			accepting = d.front.Listen(ln)
			d.callers = accepting
		} else {
			accepting = d.intake.Listen(ln, l.port)
			d.intake.Attach(l.server)
		}
		d.servers = append(d.servers, l.server)
		d.wg.Add(1)
		go d.runServer(l.server, accepting)
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

// newConfig applies the workspaces of a configuration, and sends the daemon's state to the
// others at once: daemons that have just started wait for the snapshot of a daemon that has
// a configuration.
func (d *Daemon) newConfig(c *core.Config) {
	d.allowances.Configure(c.Workspaces)
	for _, p := range c.Problems {
		d.log.Error(logs.ConfigProblem, zap.Uint64("config", c.Version), zap.String("problem", p))
	}
	d.peers.SendState(true)
}

// Start starts the components. The listeners have been open since New.
func (d *Daemon) Start() {
	d.peers.Start()
	d.reach.Start()
	d.watcher.Start()
	d.lease.Start()
	d.holder.Start()
	d.placer.Start()
	d.quarantine.Start()
	d.origins.Start()
	starting, cancel := context.WithCancel(context.Background())
	d.stopStarting = cancel
	d.wg.Add(1)
	go d.runDepartures(starting)
	d.log.Info(logs.Started, zap.String("place", d.set.DataCentre), zap.Stringer("caller", d.set.CallerAddr), zap.String("version", core.Version))
}

// countDatagram counts the datagrams that this daemon sends, by kind and by whether the
// receiver is in the same data centre.
func (d *Daemon) countDatagram(kind string, near bool, bytes int) {
	s := d.scope.Tagged(map[string]string{"kind": kind, "near": strconv.FormatBool(near)})
	s.Counter("peer_datagrams").Inc(1)
	s.Counter("peer_bytes").Inc(int64(bytes))
}

// Reload applies the settings that may change while the daemon runs: those of the fleet,
// such as the time to live of addresses and the retry budget. Changes of addresses, of the
// daemon's name and of its data centre need a restart.
func (d *Daemon) Reload(set *setting.Setting) {
	old := d.current.Load()
	if set.Fleet == nil || set.Name != d.set.Name || set.DataCentre != d.set.DataCentre || set.CallerAddr != d.set.CallerAddr ||
		set.PeerAddr != d.set.PeerAddr || set.PlatformAddr != d.set.PlatformAddr || set.FleetAddrs != d.set.FleetAddrs {
		d.log.Warn(logs.NotReloaded, zap.String("reason", "names or addresses have changed, which needs a restart"))
		return
	}
	d.current.Store(set.Fleet)
	d.log.Info(logs.Reloaded, zap.Bool("changed", *old != *set.Fleet))
}

// Stop shuts the daemon down without interrupting requests. It first announces the shutdown
// to other daemons and to callers, and accepts new connections until callers have queried
// the directory again. Connections close with their next answer; those that stay idle are closed
// shortly before the end of the grace time, as a request that crosses the end of its connection gets
// no answer. Requests in progress may complete within the grace time, which continues to run while
// the process is paused or the store does not answer. Those that still wait then are refused.
func (d *Daemon) Stop(ctx context.Context) {
	start := d.clock.Now()
	d.log.Info(logs.Leaving, zap.Int("running", d.dispatcher.Running()))
	d.leaving.Store(true)
	d.front.Leave()
	d.peers.Leave()
	d.holder.Stop()
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	d.lease.Stop(release)
	if err := d.peers.Unregister(release); err != nil {
		d.log.Info(logs.StillRegistered, logs.Err(err))
	}
	cancel()
	core.Sleep(ctx, d.clock, max(backlogDrain, listenerDrain-d.clock.Since(start)))
	end := start.Add(time.Duration(d.current.Load().Grace) - closeMargin)
	d.front.EndAt(end)
	if err := d.callers.Close(); err != nil {
		d.log.Warn(logs.ListenerFailed, logs.Err(err))
	}
	if !d.drain(ctx, end.Add(-idleMargin)) {
		d.front.CloseIdle()
		if !d.drain(ctx, end) {
			d.log.Warn(logs.RequestsCancelled, zap.Int("running", d.dispatcher.Running()), zap.Int("connections", d.front.Connections()))
			d.front.EndWaiting()
			until := end.Add(answerMargin)
			if now := d.clock.Now(); now.After(until) { // the process was paused
				until = now.Add(closeMargin)
			}
			d.drain(ctx, until)
		}
	}
	d.log.Info(logs.Stopped, zap.Duration("took", d.clock.Since(start)))
	d.stopStarting()
	d.placer.Stop()
	d.reach.Stop()
	d.quarantine.Stop()
	d.origins.Stop()
	d.watcher.Stop()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peers.Stop()
	d.wg.Wait()
	if err := d.stopTracing(context.WithoutCancel(ctx)); err != nil {
		d.log.Warn(logs.TracesUnsent, logs.Err(err))
	}
}

// drain waits until callers' connections and the requests that other daemons have forwarded have ended.
// It returns false if some have not at the given time.
func (d *Daemon) drain(ctx context.Context, until time.Time) bool {
	for d.front.Connections() > 0 || d.dispatcher.Running() > 0 {
		left := d.clock.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return false
		}
		core.Sleep(ctx, d.clock, min(drainPoll, left))
	}
	return true
}
