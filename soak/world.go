// Package soak runs the real daemons as processes on loopback, injects faults from outside
// in an order drawn from a seed, and checks during the run what callers and runners observe
// against the guarantees of docs/GUARANTEES.md.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/paths"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
	"primroseward/state/tree"
)

// Options are the parameters of a run.
type Options struct {
	Binary        string        // path of primrosed
	Seed          uint64        // seed of the random choices
	Balance       bool          // fleet.balance is on, with engines of balancedSlots slots and balanceFaults
	FaultKinds    int           // how many kinds of faults are used, from the start of the list; 0: all
	Daemons       int           // number of processes
	Callers       int           // number of callers that send requests at the same time
	FaultDuration time.Duration // time in which faults are injected; recovery and its checks follow
	Scale         int           // factor on time limits, for a busy machine; 0: 1
	Dir           string        // folder for settings files and logs
}

const (
	// Settings of the daemons: stopGrace is the time from SIGTERM until they are killed,
	// addressTTL is how long callers keep addresses, lease is the lease setting.
	stopGrace  = 6 * time.Second
	addressTTL = time.Second
	lease      = 500 * time.Millisecond
	// operatorLimit is how long an edit waits for a store that may be unreachable.
	operatorLimit = 2 * time.Second
	// maxModels and maxAdapters are the bounds of a runner of models, modelLoad is the time
	// that it takes to load one.
	maxModels, maxAdapters = 2, 3
	modelLoad              = 400 * time.Millisecond
	// eventsPerStream events with pauses of eventGap make a stream of 0.4 s.
	eventsPerStream = 20
	eventGap        = 20 * time.Millisecond
	slotsPerRunner  = 16
)

var dataCentres = []string{"north", "south", "east"}

// World is one run: the store, runners, daemons and callers.
type World struct {
	opts      Options
	rng       *rand.Rand // draws the schedule of faults; used by one goroutine only
	startedAt time.Time

	store     *platform.Server
	storeAddr string
	operator  *wire.Client
	paths     *paths.Network // between the daemons and the proxies of the runners

	mu             sync.Mutex
	daemons        []*daemon
	runners        []*proxiedRunner
	removedRunners []*proxiedRunner // runners that have crashed or left
	lastRunner     int              // number of the runner that was started last
	configVersion  int              // latest version of the configuration
	software       string           // version of the software of new runners
	requests       []*request
	violations     []string
	breakages      []breakage
	events         []string // what was done, and when
	cleanups       []func()
	scheduled      sync.WaitGroup // functions passed to schedule that have not returned
}

// proxiedRunner is a runner that the daemons reach through a proxy.
type proxiedRunner struct {
	*runner.Server
	proxy     *Proxy
	addr      string    // that daemons connect to, in front of the proxy
	drainedAt time.Time // when it announced that it leaves; zero: it has not
	limits    []limitPeriod
	leavingAt time.Time // when its answers began to announce that it leaves; zero: they do not
}

// limitPeriod is a time in which a runner announces a limit.
type limitPeriod struct {
	interval
	rate float64 // requests per second
}

// scale multiplies a time limit by the factor for a busy machine.
func (w *World) scale(d time.Duration) time.Duration { return d * time.Duration(max(1, w.opts.Scale)) }

// reportViolation records a guarantee that was violated.
func (w *World) reportViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%6.2f s  ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// newWorld starts the store, the runners and the daemons.
func newWorld(o Options) (*World, error) {
	w := &World{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), startedAt: time.Now(), store: platform.New(), paths: paths.New(), software: softwareVersions[0]}
	w.cleanups = append(w.cleanups, w.paths.Close)
	srv := httptest.NewServer(w.store)
	w.cleanups = append(w.cleanups, func() {
		srv.CloseClientConnections()
		srv.Config.Close()
	})
	w.storeAddr = srv.Listener.Addr().String()
	w.operator = wire.New(netip.MustParseAddrPort(w.storeAddr), clockwork.NewRealClock())
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range len(dataCentres) {
		models := []string{"m1"}
		if i == 0 {
			models = append(models, "m2")
		}
		w.addRunner("gen", dataCentres[i], models)
		w.addRunner("app", dataCentres[i], nil)
	}
	for i := range o.Daemons {
		d, err := newDaemon(w, fmt.Sprintf("vm-%d", i+1), dataCentres[i%len(dataCentres)])
		if err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// close stops all that the run has started.
func (w *World) close() {
	for _, d := range w.daemons {
		d.kill()
		d.close()
	}
	for _, h := range append(w.runners, w.removedRunners...) {
		h.Kill()
		w.closeProxies(h)
	}
	for _, fn := range w.cleanups {
		fn()
	}
}

// addRunner starts a runner and registers it in the store with the address of its proxy.
func (w *World) addRunner(service, dataCentre string, models []string) {
	w.mu.Lock()
	w.lastRunner++
	id, software := fmt.Sprintf("i-%s-%d", service, w.lastRunner), w.software
	w.mu.Unlock()
	h := &proxiedRunner{}
	spec := runner.Spec{
		ID: id, Service: service, Version: software, DataCentre: dataCentre, Slots: w.slots(), Models: models, Interval: 5 * time.Millisecond,
		Fatal: isFatal, FatalParts: fatalParts, FatalForms: fatalForms, FatalAfter: fatalAfter, Exited: func() { w.runnerExited(h) },
		AdvertisedAddr: func(addr string) string {
			if h.proxy == nil {
				h.proxy, _ = NewProxy(addr) // the run panics below if no loopback port is free
				h.addr, _ = w.paths.Proxy(h.proxy.Addr())
			}
			return h.addr
		},
	}
	if service == "gen" {
		spec.Events, spec.Interval = eventsPerStream, eventGap
		spec.MaxModels, spec.MaxAdapters, spec.LoadTime = maxModels, maxAdapters, modelLoad
	}
	h.Server = runner.New(spec, func(kind, name string, entry any) {
		if err := w.store.Put(kind, name, entry); err != nil {
			w.reportViolation("storing the entry of %s: %v", name, err)
		}
	})
	if w.opts.Balance {
		h.SetPace(usualPace)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runners = append(w.runners, h)
}

// versionPrefix returns the path prefix of the route that only one version of the
// configuration has.
func versionPrefix(version int) string { return fmt.Sprintf("/v%d/", version) }

// putConfig stores the next version of the configuration. Its last route and one key are in
// no other version.
func (w *World) putConfig() error { return w.putChangedConfig(func(*wire.ConfigMessage) {}) }

// putChangedConfig stores the next version of the configuration after a change.
func (w *World) putChangedConfig(change func(*wire.ConfigMessage)) error {
	w.mu.Lock()
	w.configVersion++
	version := w.configVersion
	w.mu.Unlock()
	route := func(name, prefix, kind, service string, attempts int, resumable bool) wire.RouteMessage {
		return wire.RouteMessage{
			Name: name, Host: "h.example", Prefix: prefix, Kind: kind, Service: service, TimeoutMS: 4000,
			TargetMS: 400, MaxGapMS: 200, MaxAttempts: attempts, Resumable: resumable, Priority: 1,
		}
	}
	engine := &wire.EngineMessage{
		Slots: w.slots(), MemoryMB: 100, AdapterSlots: maxAdapters, LoadsPerSec: 4,
		Models: []wire.ModelMessage{{Name: "m1", MemoryMB: 40, LoadS: modelLoad.Seconds(), Adapters: 6, AdapterMB: 1}, {Name: "m2", MemoryMB: 40, LoadS: modelLoad.Seconds()}},
	}
	list, err := tenants(version)
	if err != nil {
		return err
	}
	routes := []wire.RouteMessage{
		route("gen", "/gen/", "streaming", "gen", 2, true),
		route("order", "/order/", "unsafe", "app", 2, false),
		route("ask", "/ask/", "safe", "app", 3, false),
		route("new", versionPrefix(version), "safe", "app", 2, false),
	}
	if w.opts.Balance {
		routes = append(routes, patientRoute(route("patient", patientPrefix, "streaming", "gen", 2, true)))
	}
	config := wire.ConfigMessage{
		Tenants:  list,
		Version:  uint64(version),
		Routes:   routes,
		Services: []wire.ServiceMessage{{Name: "gen", Engine: engine}, {Name: "app"}},
		Limits:   wire.LimitsMessage{BodyBytes: 1 << 20},
	}
	change(&config)
	return w.store.Put(wire.KindConfig, wire.NameConfig, config)
}

// restrictDataCentres allows service app in some data centres only. It writes the settings
// as operators do, through the store's own interface.
func (w *World) restrictDataCentres(allowed []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorLimit)
	defer cancel()
	body, err := json.Marshal(tree.BranchBody{Node: &tree.Node{Set: tree.Settings{DataCentres: &allowed}}})
	if err != nil {
		return err
	}
	o, err := w.operator.Get(ctx, core.KindTree, tree.ObjectName("service/app"))
	if errors.Is(err, core.ErrNotFound) {
		_, err = w.operator.Create(ctx, core.Object{Kind: core.KindTree, Name: tree.ObjectName("service/app"), Body: body})
		return err
	}
	if err != nil {
		return err
	}
	o.Body = body
	_, err = w.operator.Update(ctx, o)
	return err
}

// lookUpAddresses returns the addresses that a daemon's directory lists for callers.
func (w *World) lookUpAddresses(from *daemon) []string {
	resp, err := directoryClient.Get("http://" + from.directory + wire.PathDirectory + "?name=h.example&zone=" + from.dataCentre)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&got) != nil {
		return nil
	}
	return got.Addresses
}

var directoryClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// daemonAt returns the daemon that serves callers at an address, or nil.
func (w *World) daemonAt(addr string) *daemon {
	for _, d := range w.daemons {
		if d.caller == addr {
			return d
		}
	}
	return nil
}

// logFiles returns the paths of the daemons' log files.
func (w *World) logFiles() []string {
	found, _ := filepath.Glob(filepath.Join(w.opts.Dir, "*.log")) // fails only on an invalid pattern
	return found
}

// readFile returns the content of a file, or the error's text if it cannot be read.
func readFile(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
