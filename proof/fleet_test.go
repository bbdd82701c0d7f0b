package proof

import (
	"bufio"
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

	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

// fleetCluster is daemons of the platform's kind with its store and runners.
type fleetCluster struct {
	t       *testing.T
	store   *platform.Server
	addr    string
	runners []*runner.Server
	daemons []*fleetDaemon
}

// fleetDaemon is one primrosed process that serves through the platform.
type fleetDaemon struct {
	name, caller, ready, directory, admin string
	cmd                                   *exec.Cmd
	log, file                             string
}

const grace = 4 * time.Second

// startFleet brings up the store, two runners of each service and n daemons.
func startFleet(t *testing.T, n int) *fleetCluster {
	t.Helper()
	c := &fleetCluster{t: t, store: platform.New()}
	srv := httptest.NewServer(c.store)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Config.Close()
	})
	c.addr = srv.Listener.Addr().String()
	c.put(wire.KindConfig, wire.NameConfig, fleetConfig(1, "/gen/"))
	for i, spec := range []runner.Spec{
		{ID: "i-gen-1", Service: "gen", Place: "north", Slots: 8, Models: []string{"m1"}, Events: 20, Gap: 20 * time.Millisecond},
		{ID: "i-gen-2", Service: "gen", Place: "south", Slots: 8, Models: []string{"m1", "m2"}, Events: 20, Gap: 20 * time.Millisecond},
		{ID: "i-app-1", Service: "app", Place: "north", Slots: 8, Gap: 5 * time.Millisecond},
		{ID: "i-app-2", Service: "app", Place: "south", Slots: 8, Gap: 5 * time.Millisecond},
	} {
		c.runners = append(c.runners, runner.New(spec, c.put))
		t.Cleanup(c.runners[i].Kill)
	}
	for i := range n {
		c.startDaemon(fmt.Sprintf("vm-%d", i+1), []string{"north", "south"}[i%2])
	}
	for _, d := range c.daemons {
		c.await(d, http.StatusOK)
	}
	return c
}

func fleetConfig(version int, prefix string) any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 4000,
			"target_latency_ms": 300, "max_attempts": attempts, "resumable": resumable, "priority": 1,
		}
	}
	models := []map[string]any{
		{"name": "m1", "weights_mb": 50, "load_s": 1, "adapters": 4, "adapter_mb": 1},
		{"name": "m2", "weights_mb": 40, "load_s": 1},
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("gen", prefix, "streaming", "gen", 2, true),
			route("order", "/order/", "unsafe", "app", 2, false),
			route("ask", "/ask/", "safe", "app", 2, false),
		},
		"services": []any{
			map[string]any{"name": "gen", "engine": map[string]any{"slots": 8, "weights_mb": 100, "adapter_slots": 2, "loads_per_s": 2, "models": models}},
			map[string]any{"name": "app"},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
	}
}

// put writes an object as operators and runners do.
func (c *fleetCluster) put(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	assert.NilError(c.t, err)
	base := "http://" + c.addr + wire.PathObjects + kind
	item := wire.Item{Metadata: wire.Meta{Name: name}, Spec: body}
	if call(adminClient, http.MethodPost, base, item, nil) == http.StatusConflict {
		assert.Equal(c.t, call(adminClient, http.MethodPut, base+"/"+name, item, nil), http.StatusOK)
	}
}

func (c *fleetCluster) startDaemon(name, place string) *fleetDaemon {
	c.t.Helper()
	d := &fleetDaemon{name: name, caller: freePort(c.t), ready: freePort(c.t), directory: freePort(c.t), admin: freePort(c.t)}
	dir := c.t.TempDir()
	file := filepath.Join(dir, "primrosed.json")
	text := fmt.Sprintf(`{"name":%q,"place":%q,"caller":%q,"peer":%q,"admin":%q,"platform":%q,"fleet":{"ready":%q,"directory":%q,
		"keep":"1s","grace":%q,"lease":"500ms","ratio":0.2,"slack":20,"window":"10s"}}`,
		name, place, d.caller, freePort(c.t), d.admin, c.addr, d.ready, d.directory, grace.String())
	assert.NilError(c.t, os.WriteFile(file, []byte(text), 0o600))
	d.log, d.file = filepath.Join(dir, "log"), file
	d.run(c)
	c.daemons = append(c.daemons, d)
	c.t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		_, _ = d.cmd.Process.Wait()
		data, _ := os.ReadFile(d.log)
		assert.Check(c.t, !bytes.Contains(data, []byte("DATA RACE")), "%s", data)
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", d.name, data)
		}
	})
	return d
}

// run starts the process.
func (d *fleetDaemon) run(c *fleetCluster) {
	c.t.Helper()
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	d.cmd = exec.Command(binary, "--config", d.file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	assert.NilError(c.t, d.cmd.Start())
	_ = out.Close()
}

// restart kills the process and starts another one.
func (d *fleetDaemon) restart(c *fleetCluster) {
	c.t.Helper()
	_ = d.cmd.Process.Kill()
	_, _ = d.cmd.Process.Wait()
	d.run(c)
}

func (c *fleetCluster) await(d *fleetDaemon, status int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + d.ready + wire.PathReady)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != status {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// addresses asks a daemon's directory.
func (c *fleetCluster) addresses(d *fleetDaemon) []string {
	c.t.Helper()
	resp, err := http.Get("http://" + d.directory + wire.PathDirectory + "?name=h.example&region=r&zone=north")
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	var got struct {
		Addresses []string `json:"addresses"`
		Keep      float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&got))
	assert.Equal(c.t, got.Keep, 1.0)
	return got.Addresses
}

// fleetSerial numbers the requests of callers.
var fleetSerial atomic.Int64

// send makes one request of a caller on a connection of its own.
func (d *fleetDaemon) send(path, body, model string) (int, string, error) {
	return d.sendFrom(net.IPv4(127, 0, 0, 1), path, body, model)
}

// sendFrom makes one request from one of its caller's addresses.
func (d *fleetDaemon) sendFrom(from net.IP, path, body, model string) (int, string, error) {
	serial := fleetSerial.Add(1)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}
	conn, err := dialer.Dial("tcp", d.caller)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: q%d\r\n%s: 4000\r\nContent-Length: %d\r\n", path, wire.HeaderRequestID, serial, wire.HeaderTimeout, len(body))
	if model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire.HeaderModel, model)
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func wholeStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func (c *fleetCluster) runsOf(service string) int {
	n := 0
	for _, r := range c.runners {
		if r.Service == service {
			n += len(r.Runs())
		}
	}
	return n
}

// The whole path through the platform: callers find daemons, daemons find
// runners, requests and streams come back unchanged, and refusals are told
// apart from routes that do not exist.
func TestFleetServes(t *testing.T) {
	c := startFleet(t, 2)
	d := c.daemons[0]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.addresses(d); len(got) != 2 || got[0] != d.caller {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
	status, body, err := d.send("/order/a%2Fb?x=1", "belt", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "i-app-1 /order/a%2Fb?x=1 belt", "served in its own place")
	status, body, err = d.send("/gen/x", "", "m2")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, wholeStream(20))
	status, _, err = d.send("/none/x", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + d.admin + "/metrics")
		if err != nil {
			return poll.Error(err)
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		for _, want := range []string{`primrose_requests{outcome="served"} 2`, "primrose_request_seconds_bucket", "primrose_platform_calls"} {
			if err != nil || !strings.Contains(string(data), want) {
				return poll.Continue("%v: no %s", err, want)
			}
		}
		return poll.Success()
	})
}

// An adapter and a model that no runner has are fetched because they are asked
// for, and the request for the adapter is served.
func TestFleetFetchesWhatIsAskedFor(t *testing.T) {
	c := startFleet(t, 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body, err := c.daemons[1].send("/gen/x", "", "m1/a3")
		if err != nil || status != http.StatusOK {
			return poll.Continue("%d %v", status, err)
		}
		assert.Equal(t, body, wholeStream(20))
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
	assert.Assert(t, c.runners[0].Holds("m1", "a3") || c.runners[1].Holds("m1", "a3"))
}

// A stream that its runner breaks off goes on at another one, with each event
// once; an order that a runner may have carried out is not sent again.
func TestFleetRunnerDies(t *testing.T) {
	c := startFleet(t, 1)
	d := c.daemons[0]
	c.runners[0].CutNext(5)
	c.runners[1].CutNext(9)
	status, body, err := d.send("/gen/x", "", "m1")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, err != nil || body == wholeStream(20))
	c.runners[0].CutNext(0)
	c.runners[1].CutNext(0)
	c.runners[0].CutNext(5)
	status, body, err = d.send("/gen/x", "", "m1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, wholeStream(20))
	c.runners[2].Kill()
	for range 5 {
		before := c.runsOf("app")
		status, _, err = d.send("/order/x", "belt", "")
		assert.NilError(t, err)
		assert.Assert(t, c.runsOf("app")-before <= 1)
		assert.Assert(t, status == http.StatusOK || status == http.StatusBadGateway || status == http.StatusServiceUnavailable)
	}
}

// A runner that reports that it leaves gets no work a moment later.
func TestFleetRunnerDrains(t *testing.T) {
	c := startFleet(t, 1)
	d := c.daemons[0]
	c.runners[2].Drain()
	time.Sleep(time.Second)
	before := len(c.runners[2].Runs())
	for range 20 {
		status, _, err := d.send("/ask/x", "", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, len(c.runners[2].Runs()), before)
}

// A configuration is in force at all daemons a moment after it was stored; one
// that does not reach the store keeps serving what it knows.
func TestFleetConfigAndOutage(t *testing.T) {
	c := startFleet(t, 2)
	c.put(wire.KindConfig, wire.NameConfig, fleetConfig(2, "/new/"))
	for _, d := range c.daemons {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, _, err := d.send("/new/x", "", "m1")
			if err != nil || status != http.StatusOK {
				return poll.Continue("%d %v", status, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	c.store.SetFaults(platform.Faults{Down: true})
	for _, d := range c.daemons {
		for _, path := range []string{"/ask/x", "/new/x"} {
			model := map[string]string{"/new/x": "m1"}[path]
			status, _, err := d.send(path, "", model)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
	}
	c.store.SetFaults(platform.Faults{})
}

// A planned stop cuts nothing: the stream in progress ends whole, the directory
// stops handing out the daemon, and new requests find another.
func TestFleetStopsGracefully(t *testing.T) {
	c := startFleet(t, 2)
	leaving, staying := c.daemons[0], c.daemons[1]
	type outcome struct {
		status int
		body   string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		status, body, err := leaving.send("/gen/x", "", "m1")
		done <- outcome{status, body, err}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.runsOf("gen") == 0 {
			return poll.Continue("not running yet")
		}
		return poll.Success()
	})
	assert.NilError(t, leaving.cmd.Process.Signal(syscall.SIGTERM))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.addresses(staying); len(got) != 1 || got[0] != staying.caller {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	c.await(leaving, http.StatusServiceUnavailable)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, wholeStream(20))
	state, err := leaving.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%v", state)
	status, _, err := staying.send("/ask/x", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// The settings file changes, and a process that is told so is gone. It reads the
// file, keeps what it has where the file has faults, and goes on serving.
func TestFleetReloads(t *testing.T) {
	c := startFleet(t, 1)
	d := c.daemons[0]
	file := d.cmd.Args[2]
	good, err := os.ReadFile(file)
	assert.NilError(t, err)
	logged := func(text string) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			data, err := os.ReadFile(d.log)
			if err != nil || !bytes.Contains(data, []byte(text)) {
				return poll.Continue("%v", err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	assert.NilError(t, os.WriteFile(file, []byte("{"), 0o600))
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGHUP))
	logged(logs.NotReloaded)
	assert.NilError(t, os.WriteFile(file, bytes.Replace(good, []byte(`"slack":20`), []byte(`"slack":30`), 1), 0o600))
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGHUP))
	logged(logs.Reloaded)
	status, _, err := d.send("/ask/x", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// ctl runs primrosectl against the store and a daemon, and returns what it
// printed and its exit code.
func (c *fleetCluster) ctl(d *fleetDaemon, stdin string, args ...string) (string, int) {
	c.t.Helper()
	all := append([]string{"--store", c.addr, "--admin", d.admin, "--by", "nino"}, args...)
	cmd := exec.Command(buildCtl(c.t), all...)
	cmd.Stdin = strings.NewReader(stdin)
	out, _ := cmd.CombinedOutput() // the exit code tells
	return string(out), cmd.ProcessState.ExitCode()
}

// Regulated data is served in a place that operators have taken away, because the
// platform's configuration knows no places. Operators narrow a service in the
// settings tree, in the store as on this platform nobody calls a daemon to edit;
// from then on no request of any kind is served elsewhere: not after a restart, not
// during an outage of the store, not by a daemon that knows no settings yet.
func TestFleetKeepsToTheSettingsTree(t *testing.T) {
	c := startFleet(t, 3)
	out, code := c.ctl(c.daemons[0], `{"set":{"places":["south"]}}`, "tree", "set", "/service/app", "-f", "-", "--wait", "20s")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "in force at 3 members"), out)
	onlySouth := func() {
		t.Helper()
		for _, d := range c.daemons {
			for range 4 {
				status, body, err := d.send("/ask/x", "belt", "")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, body)
				assert.Assert(t, strings.HasPrefix(body, "i-app-2 "), body)
			}
		}
	}
	onlySouth()
	out, code = c.ctl(c.daemons[1], "", "tree", "explain", "-s", "app", "-p", "north")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "allowed false"), out)
	out, code = c.ctl(c.daemons[1], `{"set":{"places":["west"]}}`, "tree", "set", "/service/unknown", "-f", "-")
	assert.Equal(t, code, 3, out)
	out, code = c.ctl(c.daemons[1], "", "tree", "history", "/service/app")
	assert.Assert(t, code == 0 && strings.Contains(out, "nino"), out)
	assert.Equal(t, call(adminClient, http.MethodPut, "http://"+c.daemons[0].admin+"/admin/tree?path=/", map[string]int{}, nil), http.StatusForbidden,
		"a daemon without a token takes no edits")
	c.daemons[0].restart(c)
	c.await(c.daemons[0], http.StatusOK)
	onlySouth()
	c.store.SetFaults(platform.Faults{Down: true})
	c.daemons[2].restart(c)
	c.await(c.daemons[2], http.StatusOK) // by another daemon's copies
	onlySouth()
	c.store.SetFaults(platform.Faults{})
}

// A model that may be served in one place only is gone with the place's only copy,
// and operators' narrowing makes it unreachable: it must be loaded where requests
// for it may be served.
func TestFleetLoadsWhereRequestsMayBeServed(t *testing.T) {
	c := startFleet(t, 2)
	out, code := c.ctl(c.daemons[0], `{"set":{"places":["north"]}}`, "tree", "set", "/service/gen/model/m2", "-f", "-", "--wait", "20s")
	assert.Equal(t, code, 0, out)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body, err := c.daemons[0].send("/gen/x", "", "m2")
		if err != nil || status != http.StatusOK {
			return poll.Continue("%d %v", status, err)
		}
		assert.Equal(t, body, wholeStream(20))
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, c.runners[0].Holds("m2", ""))
}
