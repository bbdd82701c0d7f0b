// Package soak runs the real daemons as processes on loopback, harms them from
// outside in an order drawn from a seed, and checks while it runs what callers and
// runners see against the promises of docs/GUARANTEES.md.
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
	"primroseward/standin/platform"
	"primroseward/standin/runner"
	"primroseward/state/tree"
)

// Options are what a run is like.
type Options struct {
	Binary  string        // primrosed
	Seed    uint64        // of the order in which things go wrong
	Kinds   int           // of faults that are played, the first ones; 0: all
	Daemons int           // processes
	Callers int           // that send requests at the same time
	Length  time.Duration // in which things go wrong; healing and its checks come after
	Slow    int           // by how much more than usual all may take, on a busy machine; 0: 1
	Dir     string        // for settings files and logs
}

const (
	// grace and keep are what the daemons are told: from the signal to stop until
	// they are killed, and how long callers keep addresses.
	grace = 6 * time.Second
	keep  = time.Second
	lease = 500 * time.Millisecond
	// operatorLimit is how long an edit waits for a store that may be away.
	operatorLimit = 2 * time.Second
	// Bounds of a runner of models.
	maxModels, maxAdapters = 2, 3
	modelLoad              = 400 * time.Millisecond
	// events of a stream, and the pause between them: 0.4 s in all.
	events   = 20
	eventGap = 20 * time.Millisecond
	slots    = 16
)

var places = []string{"north", "south", "east"}

// World is one run: the store, runners, daemons and callers.
type World struct {
	opts  Options
	rng   *rand.Rand // of the schedule; one goroutine draws
	began time.Time

	store    *platform.Server
	storeAt  string
	operator *wire.Client

	mu      sync.Mutex
	daemons []*daemon
	runners []*host
	gone    []*host // that have crashed or left
	serial  int
	config  int // version of the configuration
	asked   []*ask
	wrong   []string
	events  []string // what was done
	closers []func()
	pending sync.WaitGroup // ends of faults that are to come
}

// host is a runner behind a proxy.
type host struct {
	*runner.Server
	proxy   *Proxy
	drained time.Time // when it said that it leaves; zero: it has not
	limits  []limited
}

// limited is a time in which a runner names a limit.
type limited struct {
	span
	rate float64 // requests a second
}

// slow stretches a time for a busy machine.
func (w *World) slow(d time.Duration) time.Duration { return d * time.Duration(max(1, w.opts.Slow)) }

// note keeps a promise that was broken.
func (w *World) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf("%6.2f s  ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// newWorld starts the store, the runners and the daemons.
func newWorld(o Options) (*World, error) {
	w := &World{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), began: time.Now(), store: platform.New()}
	srv := httptest.NewServer(w.store)
	w.closers = append(w.closers, func() {
		srv.CloseClientConnections()
		srv.Config.Close()
	})
	w.storeAt = srv.Listener.Addr().String()
	w.operator = wire.New(netip.MustParseAddrPort(w.storeAt), clockwork.NewRealClock())
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	for i := range len(places) {
		models := []string{"m1"}
		if i == 0 {
			models = append(models, "m2")
		}
		w.addRunner("gen", places[i], models)
		w.addRunner("app", places[i], nil)
	}
	for i := range o.Daemons {
		d, err := newDaemon(w, fmt.Sprintf("vm-%d", i+1), places[i%len(places)])
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

// close ends all that the run has started.
func (w *World) close() {
	for _, d := range w.daemons {
		d.kill()
		d.close()
	}
	for _, h := range append(w.runners, w.gone...) {
		h.Kill()
		h.proxy.Close()
	}
	for _, fn := range w.closers {
		fn()
	}
}

// addRunner starts a runner that the daemons reach through a proxy.
func (w *World) addRunner(service, place string, models []string) {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("i-%s-%d", service, w.serial)
	w.mu.Unlock()
	h := &host{}
	spec := runner.Spec{
		ID: id, Service: service, Place: place, Slots: slots, Models: models, Gap: 5 * time.Millisecond,
		Fatal: isFatal, FatalAfter: fatalAfter, Ended: func() { w.crashed(h) },
		Reached: func(addr string) string {
			if h.proxy == nil {
				h.proxy, _ = NewProxy(addr) // a port of loopback; without one the run ends at once
			}
			return h.proxy.Addr()
		},
	}
	if service == "gen" {
		spec.Events, spec.Gap = events, eventGap
		spec.MaxModels, spec.MaxAdapters, spec.Load = maxModels, maxAdapters, modelLoad
	}
	h.Server = runner.New(spec, func(kind, name string, entry any) {
		if err := w.store.Put(kind, name, entry); err != nil {
			w.note("entry of %s: %v", name, err)
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runners = append(w.runners, h)
}

// prefix is that of the route that comes and goes with each configuration.
func prefix(version int) string { return fmt.Sprintf("/v%d/", version) }

// putConfig stores the next configuration. Its last route is new in each.
func (w *World) putConfig() error {
	w.mu.Lock()
	w.config++
	version := w.config
	w.mu.Unlock()
	route := func(name, path, kind, service string, attempts int, resumable bool) wire.RouteMessage {
		return wire.RouteMessage{
			Name: name, Host: "h.example", Prefix: path, Kind: kind, Service: service, TimeoutMS: 4000,
			TargetMS: 400, MaxGapMS: 200, MaxAttempts: attempts, Resumable: resumable, Priority: 1,
		}
	}
	engine := &wire.EngineMessage{
		Slots: slots, MemoryMB: 100, AdapterSlots: maxAdapters, LoadsPerSec: 4,
		Models: []wire.ModelMessage{{Name: "m1", MemoryMB: 40, LoadS: modelLoad.Seconds(), Adapters: 6, AdapterMB: 1}, {Name: "m2", MemoryMB: 40, LoadS: modelLoad.Seconds()}},
	}
	list, err := tenants(version)
	if err != nil {
		return err
	}
	return w.store.Put(wire.KindConfig, wire.NameConfig, wire.ConfigMessage{
		Tenants: list,
		Version: uint64(version),
		Routes: []wire.RouteMessage{
			route("gen", "/gen/", "streaming", "gen", 2, true),
			route("order", "/order/", "unsafe", "app", 2, false),
			route("ask", "/ask/", "safe", "app", 3, false),
			route("new", prefix(version), "safe", "app", 2, false),
		},
		Services: []wire.ServiceMessage{{Name: "gen", Engine: engine}, {Name: "app"}},
		Limits:   wire.LimitsMessage{BodyBytes: 1 << 20},
	})
}

// narrow lets service app be served in some places only, as operators do: through
// the store's own interface.
func (w *World) narrow(allowed []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorLimit)
	defer cancel()
	body, err := json.Marshal(tree.Stored{Node: &tree.Node{Set: tree.Settings{Places: &allowed}}})
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

// addresses asks some daemon's directory which addresses to use.
func (w *World) addresses(from *daemon) []string {
	resp, err := directoryClient.Get("http://" + from.directory + wire.PathDirectory + "?name=h.example&zone=" + from.place)
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

// byCaller returns the daemon that serves callers at an address.
func (w *World) byCaller(addr string) *daemon {
	for _, d := range w.daemons {
		if d.caller == addr {
			return d
		}
	}
	return nil
}

// logs returns the daemons' log files.
func (w *World) logs() []string {
	found, _ := filepath.Glob(filepath.Join(w.opts.Dir, "*.log")) // the pattern is a good one
	return found
}

func readAll(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
