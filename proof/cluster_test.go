// Package proof shows the system's promises with real processes: daemons as
// built, stand-ins of the systems around them in the test's own process.
package proof

import (
	"encoding/json"
	"fmt"
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

// binary is the daemon, built once for all tests.
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
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a system with its surroundings.
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

// spec is what a test asks for.
type clusterSpec struct {
	daemons        int
	dataCentres    []string
	engines        []engineSpec
	plainEndpoints []string // names; each is a service "parts" endpoint
	// serve makes the server of an endpoint and returns its address; nil: a common one.
	serve func(h http.Handler) string
}

type engineSpec struct {
	name       string
	dataCentre string
	cfg        engine.Config
}

const gb = 1000 * 1000 * 1000

func defaultSpec() clusterSpec {
	cfg := engine.Config{Memory: 80 * gb, Slots: 8, Token: 2 * time.Millisecond, Load: 50 * time.Millisecond}
	fenced := cfg
	fenced.Fenced = true
	return clusterSpec{
		daemons:        3,
		dataCentres:    []string{"north", "south"},
		engines:        []engineSpec{{"e1", "north", fenced}, {"e2", "south", cfg}, {"e3", "south", cfg}},
		plainEndpoints: []string{"p1"},
	}
}

// start brings up a cluster whose models are all ready.
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

// tree is a settings tree: service chat with model m (anywhere) and service
// review with model r (south only, not to be repeated), and plain service
// parts, whose orders may not be repeated.
func (c *cluster) settingsTree(s clusterSpec) *tree.Node {
	south := []string{s.dataCentres[len(s.dataCentres)-1]}
	root := &tree.Node{
		Set:       tree.Settings{Places: &s.dataCentres},
		Store:     &tree.Store{Rate: 50, Slots: 4},
		Endpoints: map[string]tree.Endpoint{},
		Children: map[string]*tree.Node{
			"service/chat": {
				Service:  &tree.Service{Kind: tree.KindModel},
				Children: map[string]*tree.Node{"model/m": {Model: &tree.Model{Version: "1", Memory: 14 * gb}}},
			},
			"service/review": {
				Service:  &tree.Service{Kind: tree.KindModel},
				Set:      tree.Settings{Places: &south, Repeat: falsePtr()},
				Children: map[string]*tree.Node{"model/r": {Model: &tree.Model{Version: "1", Memory: 20 * gb}}},
			},
			"service/parts": {
				Service: &tree.Service{Kind: tree.KindPlain, Calls: []tree.CallRule{{Method: "POST", Path: "/orders", Repeat: false}}},
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
			Addr: serve(srv), Place: e.dataCentre, Kind: tree.KindModel, Memory: 80 * gb, Cache: 16 * gb, Slots: e.cfg.Slots, Fenced: e.cfg.Fenced,
		}
	}
	for _, name := range s.plainEndpoints {
		srv := plain.New(name)
		c.services[name] = srv
		root.Endpoints[name] = tree.Endpoint{Addr: serve(srv), Place: s.dataCentres[0], Kind: tree.KindPlain, Service: "parts", Slots: 16}
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

// kill ends the process at once, frozen or not.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.done
}

// stopped says whether a graceful stop has ended.
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

// until waits for a condition; its bound is generous, since a wait that ends
// early costs nothing.
func (c *cluster) waitFor(what string, d time.Duration, ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, pollWithin(d)...)
}

// apply writes the cluster's tree through the first daemon.
func (c *cluster) applyTree() {
	c.t.Helper()
	c.waitFor("the tree is accepted", 20*time.Second, func() bool {
		return c.daemons[0].adminCall(http.MethodPost, "/admin/tree", c.root, nil) == http.StatusOK
	})
}

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

// served says whether at least n engines have a model ready and reported.
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

func (c *cluster) checkNoOverCommit() {
	c.t.Helper()
	for name, e := range c.engines {
		assert.Check(c.t, e.Peak() <= 80*gb, "engine %s held %d bytes", name, e.Peak())
	}
}

// each runs fn n times at once and waits.
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
