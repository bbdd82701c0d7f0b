// Package proof tests the system's guarantees with real processes: the daemons as they are
// built, and stand-ins of the platform, the engines and the services inside the test's own
// process.
package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/bench/fleet"
	service "primroseward/services/tree"
	"primroseward/standin/engine"
	"primroseward/standin/platform"
	plain "primroseward/standin/service"
	"primroseward/state/tree"
)

// daemonBinary is the path of primrosed, built once for all tests.
var daemonBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(dir, "primrosed")
	build := exec.Command("go", "build", "-race", "-o", daemonBinary, "primroseward/cmd/primrosed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	// A program built with the race detector otherwise sleeps for a second before it exits,
	// which is no part of a daemon's grace time.
	if err := os.Setenv("GORACE", "atexit_sleep_ms=0"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a set of daemons with the stand-ins of the platform, the engines and the plain
// services.
type cluster struct {
	t            *testing.T
	platform     *platform.Server
	platformAddr string
	engines      map[string]*engine.Server
	services     map[string]*plain.Server
	daemons      []*daemon
	root         *tree.Node
}

// daemon is one primrosed process.
type daemon struct {
	c          *cluster
	name       string
	dataCentre string
	callerAddr string
	peerAddr   string
	adminAddr  string
	seeds      []string
	cmd        *exec.Cmd
	log        string
	done       chan struct{}
}

// clusterSpec describes the cluster that a test needs.
type clusterSpec struct {
	daemons        int
	dataCentres    []string
	engines        []engineSpec
	plainEndpoints []string // names of endpoints of service parts
	// serve starts the server of an endpoint and returns its address; nil: an httptest
	// server.
	serve func(h http.Handler) string
}

type engineSpec struct {
	name       string
	dataCentre string
	cfg        engine.Config
}

const gb = 1000 * 1000 * 1000

func defaultSpec() clusterSpec {
	cfg := engine.Config{Memory: 80 * gb, Slots: 8, TokenInterval: 2 * time.Millisecond, LoadTime: 50 * time.Millisecond}
	fenced := cfg
	fenced.Fenced = true
	return clusterSpec{
		daemons:        3,
		dataCentres:    []string{"north", "south"},
		engines:        []engineSpec{{"e1", "north", fenced}, {"e2", "south", cfg}, {"e3", "south", cfg}},
		plainEndpoints: []string{"p1"},
	}
}

// startCluster starts a cluster and waits until all its models are ready.
func startCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: platform.New(), engines: map[string]*engine.Server{}, services: map[string]*plain.Server{}}
	c.platformAddr = c.serve(c.platform)
	c.root = c.settingsTree(s)
	for i := range s.daemons {
		d := &daemon{c: c, name: fmt.Sprintf("vm-%d", i+1), dataCentre: s.dataCentres[i%len(s.dataCentres)]}
		d.callerAddr, d.peerAddr, d.adminAddr = freePort(t), freePort(t), freePort(t)
		c.daemons = append(c.daemons, d)
	}
	for _, d := range c.daemons {
		for _, other := range c.daemons {
			d.seeds = append(d.seeds, other.peerAddr)
		}
		d.start()
	}
	t.Cleanup(func() {
		for _, d := range c.daemons {
			d.kill()
		}
		if t.Failed() {
			c.dumpLogs()
		}
	})
	c.applyTree()
	c.awaitReady()
	return c
}

func (c *cluster) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	c.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Config.Close()
	})
	return s.Listener.Addr().String()
}

func freePort(t *testing.T) string {
	t.Helper()
	addr, err := fleet.FreePort()
	assert.NilError(t, err)
	return addr
}

func truePtr() *bool { b := true; return &b }

func falsePtr() *bool { b := false; return &b }

// settingsTree returns a settings tree with service chat and its model m (in any data
// centre), service review and its model r (in the last data centre only, requests not
// repeatable), and plain service parts, whose POST /orders is not repeatable.
func (c *cluster) settingsTree(s clusterSpec) *tree.Node {
	south := []string{s.dataCentres[len(s.dataCentres)-1]}
	root := &tree.Node{
		Set:       tree.Settings{DataCentres: &s.dataCentres},
		Store:     &tree.Store{Rate: 50, Slots: 4},
		Endpoints: map[string]tree.Endpoint{},
		Children: map[string]*tree.Node{
			"service/chat": {
				Service:  &tree.Service{Kind: tree.KindModel},
				Children: map[string]*tree.Node{"model/m": {Model: &tree.Model{Version: "1", Memory: 14 * gb}}},
			},
			"service/review": {
				Service:  &tree.Service{Kind: tree.KindModel},
				Set:      tree.Settings{DataCentres: &south, Repeatable: falsePtr()},
				Children: map[string]*tree.Node{"model/r": {Model: &tree.Model{Version: "1", Memory: 20 * gb}}},
			},
			"service/parts": {
				Service: &tree.Service{Kind: tree.KindPlain, Calls: []tree.CallRule{{Method: "POST", Path: "/orders", Repeatable: false}}},
			},
		},
	}
	serve := c.serve
	if s.serve != nil {
		serve = s.serve
	}
	for _, e := range s.engines {
		srv := engine.New(e.cfg)
		c.engines[e.name] = srv
		root.Endpoints[e.name] = tree.Endpoint{
			Addr: serve(srv), DataCentre: e.dataCentre, Kind: tree.KindModel, Memory: 80 * gb, Cache: 16 * gb, Slots: e.cfg.Slots, Fenced: e.cfg.Fenced,
		}
	}
	for _, name := range s.plainEndpoints {
		srv := plain.New(name)
		c.services[name] = srv
		root.Endpoints[name] = tree.Endpoint{Addr: serve(srv), DataCentre: s.dataCentres[0], Kind: tree.KindPlain, Service: "parts", Slots: 16}
	}
	return root
}

func (d *daemon) start() {
	t := d.c.t
	t.Helper()
	dir := t.TempDir()
	settings := map[string]any{
		"name": d.name, "place": d.dataCentre, "caller": d.callerAddr, "peer": d.peerAddr, "admin": d.adminAddr,
		"platform": d.c.platformAddr, "seeds": d.seeds, "limits": map[string]any{"platform": 100},
	}
	data, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	d.log = filepath.Join(dir, d.name+".log")
	out, err := os.Create(d.log)
	assert.NilError(t, err)
	defer out.Close()
	d.cmd = exec.Command(daemonBinary, "--config", path)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	assert.NilError(t, d.cmd.Start())
	d.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd, d.done)
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process at once, also while it is suspended, and waits for its exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.done
}

// exited reports whether the process has exited.
func (d *daemon) exited() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (c *cluster) dumpLogs() {
	for _, d := range c.daemons {
		data, _ := os.ReadFile(d.log)
		if len(data) > 6000 {
			data = data[len(data)-6000:]
		}
		c.t.Logf("log of %s:\n%s", d.name, data)
	}
}

func pollWithin(d time.Duration) []poll.SettingOp {
	return []poll.SettingOp{poll.WithTimeout(d), poll.WithDelay(50 * time.Millisecond)}
}

// waitFor waits for a condition. Its time limits are generous, since a wait that ends early
// costs nothing.
func (c *cluster) waitFor(what string, d time.Duration, ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet true: %s", what)
	}, pollWithin(d)...)
}

// applyTree writes the cluster's settings tree through the first daemon.
func (c *cluster) applyTree() {
	c.t.Helper()
	c.waitFor("the tree is accepted", 20*time.Second, func() bool {
		return c.daemons[0].adminCall(http.MethodPost, "/admin/tree", c.root, nil) == http.StatusOK
	})
}

// awaitReady waits until the settings are in force at all daemons, all but one of the engines
// have model m ready and one has model r.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.waitFor("all models and settings are in force", 30*time.Second, func() bool {
		var s service.Status
		if c.daemons[0].adminCall(http.MethodGet, "/admin/status", nil, &s) != http.StatusOK {
			return false
		}
		return s.InForce && len(s.Members) == len(c.daemons) && c.hasReplicas("m", len(c.engines)-1) && c.hasReplicas("r", 1)
	})
}

// hasReplicas reports whether at least n engines have reported a model as ready.
func (c *cluster) hasReplicas(model string, n int) bool {
	var runners []service.RunnerStatus
	c.daemons[0].adminCall(http.MethodGet, "/admin/runners", nil, &runners)
	for _, r := range runners {
		for _, m := range r.Models {
			if m.Model == model && m.State == "ready" {
				n--
			}
		}
	}
	return n <= 0
}

// ownerOf returns the daemon that owns a runner, or nil if no daemon answers or none owns it.
func (c *cluster) ownerOf(runner string) *daemon {
	var runners []service.RunnerStatus
	for _, queried := range c.daemons {
		if queried.adminCall(http.MethodGet, "/admin/runners", nil, &runners) == http.StatusOK {
			break
		}
	}
	for _, r := range runners {
		for _, d := range c.daemons {
			if r.Runner == runner && r.Owner == d.name {
				return d
			}
		}
	}
	return nil
}

var adminClient = &http.Client{Timeout: 8 * time.Second}

func (d *daemon) adminCall(method, path string, in, out any) int {
	return callJSON(adminClient, method, "http://"+d.adminAddr+path, in, out)
}

// checkNoOverCommit checks that no engine ever had more than its 80 GB of memory in use.
func (c *cluster) checkNoOverCommit() {
	c.t.Helper()
	for name, e := range c.engines {
		assert.Check(c.t, e.PeakMemory() <= 80*gb, "engine %s had %d bytes loaded at its peak", name, e.PeakMemory())
	}
}

// runConcurrently runs fn n times at once and waits for all of them.
func runConcurrently(n int, fn func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn(i)
		}()
	}
	wg.Wait()
}

// sendAtInterval sends a request for the plain service to a random daemon every interval for a
// duration, and returns the number of answers by status and code.
func (c *cluster) sendAtInterval(method, body string, interval, duration time.Duration) map[string]int {
	c.t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := map[string]int{}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-tick.C {
		d := c.daemons[rand.IntN(len(c.daemons))]
		wg.Go(func() {
			r, err := d.send(method, "/services/parts/x", body)
			assert.Check(c.t, err)
			mu.Lock()
			defer mu.Unlock()
			got[fmt.Sprint(r.status, r.code)]++
		})
	}
	wg.Wait()
	return got
}
