// Package crowd tests daemons beside crowds of clients that do not behave: the system's own processes on
// loopback addresses, with lowered limits. Its tests run one at a time, apart from other load.
package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/bench/fleet"
	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
	plain "primroseward/standin/service"
	"primroseward/state/tree"
)

// machine is what a daemon's machine grants it.
type machine struct {
	memory         int // bytes, as limits.memory states it
	descriptors    int // as the system limits them
	maxDescriptors int // in use at most; the others are for the system's own work
}

var (
	smallMachine = machine{memory: 96_000_000, descriptors: 1_000, maxDescriptors: 900}
	usualMachine = machine{memory: 284_000_000, descriptors: 4_100, maxDescriptors: 3_700}
)

// The limits of the configuration, and the time for what follows a crowd.
const (
	headLimit  = 16 << 10 // bytes
	bodyLimit  = 1 << 20  // bytes
	settleTime = 30 * time.Second
	// streamEvents is the number of events in a stream.
	streamEvents = 80
)

// daemonBinary is the path of primrosed, built once for all tests. It is built without the race detector, whose
// memory would count.
var daemonBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(dir, "primrosed")
	build := exec.Command("go", "build", "-o", daemonBinary, "primroseward/cmd/primrosed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is one primrosed process.
type daemon struct {
	machine
	t                                     testing.TB
	caller, peer, admin, ready, directory string
	store                                 *platform.Server
	storeAddr                             string
	cmd                                   *exec.Cmd
	log                                   string
	exited                                chan struct{}
	ordinaryMethod, ordinaryPath          string
	serial                                atomic.Int64
}

// newDaemon returns a daemon with addresses and a store, which has not been started.
func newDaemon(t testing.TB, m machine) *daemon {
	t.Helper()
	d := &daemon{machine: m, t: t, store: platform.New(), exited: make(chan struct{})}
	d.storeAddr = serve(t, d.store)
	for _, addr := range []*string{&d.caller, &d.peer, &d.admin, &d.ready, &d.directory} {
		var err error
		*addr, err = fleet.FreePort()
		assert.NilError(t, err)
	}
	return d
}

func serve(t testing.TB, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Config.Close()
	})
	return srv.Listener.Addr().String()
}

// startFleet starts a daemon that serves through the platform, with two runners.
func startFleet(t testing.TB, m machine) *daemon {
	t.Helper()
	d := newDaemon(t, m)
	d.configure()
	d.runFleet()
	d.awaitOrdinary("")
	return d
}

// runFleet starts the process of a daemon that serves through the platform.
func (d *daemon) runFleet() {
	d.t.Helper()
	d.ordinaryMethod, d.ordinaryPath = http.MethodPost, "/ask/x"
	d.run(fmt.Sprintf(`{"name":"vm-1","place":"north","caller":%q,"peer":%q,"admin":%q,"platform":%q,"limits":{"memory":"%dB"},
		"fleet":{"ready":%q,"directory":%q,"keep":"1s","grace":"4s","lease":"500ms","ratio":0.2,"slack":20,"window":"10s"}}`,
		d.caller, d.peer, d.admin, d.storeAddr, d.memory, d.ready, d.directory))
}

// configure writes the configuration and starts two runners.
func (d *daemon) configure() {
	d.t.Helper()
	route := func(name, prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 20000,
			"target_latency_ms": 300, "max_attempts": 2, "resumable": resumable, "priority": 1,
		}
	}
	models := []any{map[string]any{"name": "m1", "weights_mb": 50, "load_s": 1}}
	d.put(wire.KindConfig, wire.NameConfig, map[string]any{
		"version":  1,
		"routes":   []any{route("ask", "/ask/", "safe", "app", false), route("late", "/late/", "safe", "slow", false), route("big", "/big/", "safe", "big", false), route("full", "/full/", "safe", "full", false), route("held", "/held/", "safe", "held", false), route("gen", "/gen/", "streaming", "gen", false)},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "slow"}, map[string]any{"name": "big"}, map[string]any{"name": "full"}, map[string]any{"name": "held"}, map[string]any{"name": "gen", "engine": map[string]any{"slots": 8, "weights_mb": 100, "adapter_slots": 2, "loads_per_s": 2, "models": models}}},
		"limits":   map[string]any{"max_header_bytes": headLimit, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for _, spec := range []runner.Spec{
		{ID: "i-app-1", Service: "app", DataCentre: "north", Slots: 64, Interval: 5 * time.Millisecond},
		{ID: "i-slow-1", Service: "slow", DataCentre: "north", Slots: 4, Interval: time.Second},
		{ID: "i-big-1", Service: "big", DataCentre: "north", Slots: crowdSize},
		{ID: "i-full-1", Service: "full", DataCentre: "north", Slots: crowdSize},
		{ID: "i-gen-1", Service: "gen", DataCentre: "north", Slots: 8, Models: []string{"m1"}, Events: streamEvents, Interval: 20 * time.Millisecond},
		{ID: "i-held-1", Service: "held", DataCentre: "north", Slots: largeCrowd},
	} {
		r := runner.New(spec, d.put)
		switch spec.Service {
		case "big":
			r.SetRaw(func(*http.Request) *runner.Raw {
				return &runner.Raw{EndlessHead: "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", Endless: "x"}
			})
		case "held":
			r.SetRaw(func(req *http.Request) *runner.Raw {
				<-req.Context().Done()
				return nil
			})
		case "full":
			r.SetRaw(func(*http.Request) *runner.Raw {
				return &runner.Raw{Framing: core.FramingLength, Body: strings.Repeat("x", 1_000_000)}
			})
		}
		d.t.Cleanup(r.Kill)
	}
}

// startNative starts a daemon that serves the native interface, with one plain service.
func startNative(t testing.TB) *daemon {
	t.Helper()
	d := newDaemon(t, smallMachine)
	d.ordinaryMethod, d.ordinaryPath = http.MethodPost, "/services/parts/x"
	d.run(fmt.Sprintf(`{"name":"vm-1","place":"north","caller":%q,"peer":%q,"admin":%q,"platform":%q,"seeds":[%q],
		"limits":{"memory":"%dB","header":"%dB","body":"%dB","platform":100}}`,
		d.caller, d.peer, d.admin, d.storeAddr, d.peer, d.memory, headLimit, bodyLimit))
	places := []string{"north"}
	root := &tree.Node{
		Set:       tree.Settings{DataCentres: &places},
		Store:     &tree.Store{Rate: 50, Slots: 4},
		Endpoints: map[string]tree.Endpoint{"p1": {Addr: serve(t, longAnswers(plain.New("p1"))), DataCentre: "north", Kind: tree.KindPlain, Service: "parts", Slots: 16}},
		Children:  map[string]*tree.Node{"service/parts": {Service: &tree.Service{Kind: tree.KindPlain}}},
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := callJSON(http.MethodPost, "http://"+d.admin+"/admin/tree", root); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTime))
	d.awaitOrdinary("")
	return d
}

// longAnswers returns a handler that answers requests for a path with /long with 100 MB, and passes all others on.
func longAnswers(other http.Handler) http.Handler {
	const size, part = 100_000_000, 100_000
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "/long") {
			other.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(core.HeaderRequestID, r.Header.Get(core.HeaderRequestID))
		for sent, data := 0, make([]byte, part); sent < size; sent += part {
			if _, err := w.Write(data); err != nil {
				return
			}
		}
	})
}

// run starts the process with its descriptors limited.
func (d *daemon) run(settings string) {
	t := d.t
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "primrosed.json")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	d.log = filepath.Join(dir, "log")
	out, err := os.Create(d.log)
	assert.NilError(t, err)
	defer out.Close()
	d.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, d.descriptors), daemonBinary, "--config", file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	assert.NilError(t, d.cmd.Start())
	go func() {
		_ = d.cmd.Wait() // its state is read from the command
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
		if t.Failed() {
			data, _ := os.ReadFile(d.log)
			t.Logf("log:\n%s", data[max(0, len(data)-4000):])
		}
	})
}

// put writes an object as operators and runners do.
func (d *daemon) put(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	assert.NilError(d.t, err)
	base := "http://" + d.storeAddr + wire.PathObjects + kind
	item := wire.Item{Metadata: wire.Meta{Name: name}, Spec: body}
	if callJSON(http.MethodPost, base, item) == http.StatusConflict {
		assert.Equal(d.t, callJSON(http.MethodPut, base+"/"+name, item), http.StatusOK)
	}
}

// client is for requests that are answered within seconds, each on a new connection.
var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func callJSON(method, url string, in any) int {
	body, err := json.Marshal(in)
	if err != nil {
		return 0
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// ordinary sends one request of a client that behaves, and returns the status of its answer.
func (d *daemon) ordinary(body string) (int, error) {
	req, err := http.NewRequest(d.ordinaryMethod, "http://"+d.caller+d.ordinaryPath, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set(wire.HeaderRequestID, fmt.Sprintf("ordinary%d", d.serial.Add(1)))
	req.Header.Set(wire.HeaderTimeout, "8000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// awaitOrdinary waits until an ordinary request is answered.
func (d *daemon) awaitOrdinary(body string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if status, err := d.ordinary(body); err != nil || status != http.StatusOK {
			return poll.Continue("status %d, %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(settleTime))
}

// alive reports whether the process runs.
func (d *daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// dial opens a connection of a client.
func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, 2*time.Second) }
