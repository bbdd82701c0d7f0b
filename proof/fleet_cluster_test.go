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
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wire "primroseward/platform"
	"primroseward/standin/paths"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

// fleetCluster is a set of daemons that serve through the platform, with the platform's
// store and the runners.
type fleetCluster struct {
	t       *testing.T
	store   *platform.Server
	addr    string
	runners []*runner.Server
	daemons []*fleetDaemon
	paths   *paths.Network // between daemons and runners; nil: direct connections
	events  int            // in a stream

	callRate  int  // of a daemon's calls to the store per second; 0: as by default
	plainOnly bool // callers send no requests for models
	slack     int  // of the retry budget
}

// fleetDaemon is one primrosed process that serves through the platform.
type fleetDaemon struct {
	name, callerAddr, readyAddr, directoryAddr, adminAddr string
	cmd                                                   *exec.Cmd
	log, file                                             string
}

const gracePeriod = 4 * time.Second

// startFleet starts the store, two runners of each service and n daemons, and waits until
// the daemons are ready.
func startFleet(t *testing.T, n int, opts ...func(*fleetCluster)) *fleetCluster {
	t.Helper()
	c := &fleetCluster{t: t, store: platform.New(), events: 20, slack: int(fleetBudget.Slack)}
	for _, o := range opts {
		o(c)
	}
	srv := httptest.NewServer(c.store)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Config.Close()
	})
	c.addr = srv.Listener.Addr().String()
	c.put(wire.KindConfig, wire.NameConfig, fleetConfig(1, "/gen/"))
	for _, spec := range []runner.Spec{
		{ID: "i-gen-1", Service: "gen", DataCentre: "north", Slots: 8, Models: []string{"m1"}, Events: c.events, Interval: 20 * time.Millisecond},
		{ID: "i-gen-2", Service: "gen", DataCentre: "south", Slots: 8, Models: []string{"m1", "m2"}, Events: c.events, Interval: 20 * time.Millisecond},
		{ID: "i-app-1", Service: "app", DataCentre: "north", Slots: 8, Interval: 5 * time.Millisecond},
		{ID: "i-app-2", Service: "app", DataCentre: "south", Slots: 8, Interval: 5 * time.Millisecond},
	} {
		c.addRunner(spec)
	}
	for i := range n {
		c.startDaemon(fmt.Sprintf("vm-%d", i+1), []string{"north", "south"}[i%2])
	}
	for _, d := range c.daemons {
		c.awaitReadyStatus(d, http.StatusOK)
	}
	return c
}

// withPaths puts a network of paths between the daemons and the runners.
func withPaths(c *fleetCluster) {
	c.paths = paths.New()
	c.t.Cleanup(c.paths.Close)
}

// withRetries gives the daemons retries enough for tests of what follows a retry: a daemon starts without any.
func withRetries(c *fleetCluster) { c.slack = 5000 }

// addRunner starts a runner.
func (c *fleetCluster) addRunner(spec runner.Spec) {
	if c.paths != nil {
		proxied := ""
		spec.AdvertisedAddr = func(addr string) string {
			if proxied == "" {
				var err error
				proxied, err = c.paths.Proxy(addr)
				assert.NilError(c.t, err)
			}
			return proxied
		}
	}
	r := runner.New(spec, c.put)
	c.t.Cleanup(r.Kill)
	c.runners = append(c.runners, r)
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
			route("live", "/live/", "streaming", "gen", 2, false),
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
	if callJSON(adminClient, http.MethodPost, base, item, nil) == http.StatusConflict {
		assert.Equal(c.t, callJSON(adminClient, http.MethodPut, base+"/"+name, item, nil), http.StatusOK)
	}
}

func (c *fleetCluster) startDaemon(name, dataCentre string) *fleetDaemon {
	c.t.Helper()
	d := &fleetDaemon{name: name, callerAddr: freePort(c.t), readyAddr: freePort(c.t), directoryAddr: freePort(c.t), adminAddr: freePort(c.t)}
	dir := c.t.TempDir()
	file := filepath.Join(dir, "primrosed.json")
	text := fmt.Sprintf(`{"name":%q,"place":%q,"caller":%q,"peer":%q,"admin":%q,"platform":%q,"fleet":{"ready":%q,"directory":%q,
		"keep":"1s","grace":%q,"lease":"500ms","ratio":0.2,"slack":%d,"window":"10s",
		"quota":{"window":"2s","over":0.1,"slack":200}}}`,
		name, dataCentre, d.callerAddr, freePort(c.t), d.adminAddr, c.addr, d.readyAddr, d.directoryAddr, gracePeriod.String(), c.slack)
	if c.callRate > 0 {
		text = strings.Replace(text, `"fleet":`, fmt.Sprintf(`"limits":{"platform":%d},"fleet":`, c.callRate), 1)
	}
	assert.NilError(c.t, os.WriteFile(file, []byte(text), 0o600))
	d.log, d.file = filepath.Join(dir, "log"), file
	d.run(c)
	c.daemons = append(c.daemons, d)
	c.t.Cleanup(func() {
		d.kill()
		data, _ := os.ReadFile(d.log)
		assert.Check(c.t, !bytes.Contains(data, []byte("DATA RACE")), "%s", data)
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", d.name, data)
		}
	})
	return d
}

// run starts the process and appends its output to the log file.
func (d *fleetDaemon) run(c *fleetCluster) {
	c.t.Helper()
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	d.cmd = exec.Command(daemonBinary, "--config", d.file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	assert.NilError(c.t, d.cmd.Start())
	_ = out.Close()
}

// kill ends the process without notice.
func (d *fleetDaemon) kill() {
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait() // its error says that the process was killed
}

// restart kills the process and starts another one.
func (d *fleetDaemon) restart(c *fleetCluster) {
	c.t.Helper()
	d.kill()
	d.run(c)
}

// awaitReadyStatus waits until the readiness check of a daemon answers with a status.
func (c *fleetCluster) awaitReadyStatus(d *fleetDaemon, status int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + d.readyAddr + wire.PathReady)
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

// directoryAddresses returns the addresses that a daemon's directory answers with.
func (c *fleetCluster) directoryAddresses(d *fleetDaemon) []string {
	c.t.Helper()
	resp, err := http.Get("http://" + d.directoryAddr + wire.PathDirectory + "?name=h.example&region=r&zone=north")
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

// requestSerial numbers the requests of callers, so that each has an id of its own.
var requestSerial atomic.Int64

// send makes one request on a new connection.
func (d *fleetDaemon) send(path, body, model string, header ...string) (int, string, error) {
	return d.sendFrom(net.IPv4(127, 0, 0, 1), path, body, model, header...)
}

// maxPrealloc is the most that is allocated at once for an answer by its stated length, in bytes.
const maxPrealloc = 16 << 20

// sendFrom makes one request on a new connection from one of its caller's addresses.
func (d *fleetDaemon) sendFrom(from net.IP, path, body, model string, header ...string) (int, string, error) {
	serial := requestSerial.Add(1)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}
	conn, err := dialer.Dial("tcp", d.callerAddr)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	b := bufio.NewWriterSize(conn, 64<<10)
	fmt.Fprintf(b, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: q%d\r\n%s: 4000\r\nContent-Length: %d\r\n", path, wire.HeaderRequestID, serial, wire.HeaderTimeout, len(body))
	if model != "" {
		fmt.Fprintf(b, "%s: %s\r\n", wire.HeaderModel, model)
	}
	for _, line := range header {
		fmt.Fprint(b, line, "\r\n")
	}
	for _, text := range []string{"\r\n", body} {
		if _, err := b.WriteString(text); err != nil {
			return 0, "", err
		}
	}
	if err := b.Flush(); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	var answer strings.Builder
	answer.Grow(int(min(max(resp.ContentLength, 0), maxPrealloc)))
	_, err = io.Copy(&answer, resp.Body)
	return resp.StatusCode, answer.String(), err
}

// fullStream returns the events of a complete stream of n events.
func fullStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// runsOf counts the runs at all runners of a service.
func (c *fleetCluster) runsOf(service string) int {
	n := 0
	for _, r := range c.runners {
		if r.Service == service {
			n += len(r.Runs())
		}
	}
	return n
}

// primrosectl runs the command against the store and a daemon, and returns its output and
// exit code.
func (c *fleetCluster) primrosectl(d *fleetDaemon, stdin string, args ...string) (string, int) {
	c.t.Helper()
	all := append([]string{"--store", c.addr, "--admin", d.adminAddr, "--by", "nino"}, args...)
	cmd := exec.Command(buildPrimrosectl(c.t), all...)
	cmd.Stdin = strings.NewReader(stdin)
	out, _ := cmd.CombinedOutput() // the exit code is returned instead of the error
	return string(out), cmd.ProcessState.ExitCode()
}
