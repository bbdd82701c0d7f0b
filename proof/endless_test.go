package proof

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

const (
	// maxDaemonMemory is the memory of a daemon's VM, in bytes.
	maxDaemonMemory = 284 << 20
	// minServedBeside is the least percentage of requests that may be repeated and are served beside
	// runners that send bytes without end.
	minServedBeside = 98
)

// TestRunnersThatSendBytesWithoutEnd guards against a daemon that reads what a runner in trouble sends without end
// until the request's deadline, with hundreds of megabytes for each request, while other runners have room.
func TestRunnersThatSendBytesWithoutEnd(t *testing.T) {
	const interval, duration = 20 * time.Millisecond, 4 * time.Second
	for _, tt := range []struct {
		name    string
		endless string
		slow    time.Duration
	}{
		{"no HTTP", "x", 0},
		{"fields", "HTTP/1.1 200 OK\r\nX: y\r\n", 0},
		{"interim answers", "HTTP/1.1 102 Processing\r\n\r\n", 0},
		{"no HTTP, slowly", "xxxxxxxxxxxxxxxx", 50 * time.Millisecond},
		{"interim answers, slowly", "HTTP/1.1 102 Processing\r\n\r\n", 50 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 1)
			c.addRunners("i-app-3", "i-app-4", "i-app-5")
			c.sendAtInterval(interval, time.Second)
			for _, r := range c.runners[5:] {
				r.SetRaw(func(*http.Request) *runner.Raw {
					return &runner.Raw{Endless: tt.endless, EndlessInterval: tt.slow}
				})
			}
			got := c.sendAtInterval(interval, duration)
			peak := c.daemons[0].peakMemory(t)
			t.Logf("answers: %v; at most %d MB", got, peak>>20)
			assert.Check(t, got[http.StatusGatewayTimeout] == 0, "requests have waited until their deadline: %v", got)
			assert.Check(t, got[http.StatusOK]*100 >= minServedBeside*total(got), "answers: %v", got)
			assert.Check(t, peak <= maxDaemonMemory, "%d MB", peak>>20)
		})
	}
}

// TestSafeRequestsBesideSlowRunners guards against safe requests that are refused a retry which the budget allows, beside runners that
// send heads or trailers without end, slowly.
func TestSafeRequestsBesideSlowRunners(t *testing.T) {
	const (
		interval = 15625 * time.Microsecond
		duration = 10 * time.Second
		maxLost  = 1
	)
	for _, tt := range []struct {
		name string
		raw  runner.Raw
	}{
		{"fields", runner.Raw{EndlessHead: "HTTP/1.1 200 OK\r\n", Endless: "X-Field: yyyyyyyy\r\n", EndlessInterval: 50 * time.Millisecond}},
		{"interim answers", runner.Raw{Endless: "HTTP/1.1 102 Processing\r\n\r\n", EndlessInterval: 50 * time.Millisecond}},
		{"trailers", runner.Raw{EndlessHead: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", Endless: "X-Field: yyyyyyyy\r\n", EndlessInterval: 50 * time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 3)
			c.addRunners("i-app-3", "i-app-4", "i-app-5")
			for _, r := range c.runners[5:] {
				r.SetRaw(func(*http.Request) *runner.Raw { return &tt.raw })
			}
			var wg sync.WaitGroup
			wg.Go(func() { c.sendPathAtInterval("/order/x", 3*interval, duration) })
			got := c.sendAtInterval(3*interval/2, duration)
			wg.Wait()
			t.Logf("answers: %v", got)
			assert.Check(t, total(got)-got[http.StatusOK] <= maxLost, "answers: %v", got)
		})
	}
}

// TestReportsAndOrdersWithoutEnd guards against a daemon that runs out of memory, or serves nothing else, as runners
// answer reports and orders with bytes without end.
func TestReportsAndOrdersWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"models\":["
	for _, tt := range []struct {
		name string
		raw  runner.Raw
	}{
		{"no HTTP", runner.Raw{Endless: "x"}},
		{"body", runner.Raw{EndlessHead: head, Endless: " "}},
		{"body, slowly", runner.Raw{EndlessHead: head, Endless: " ", EndlessInterval: 20 * time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 1)
			const more = 60
			for i := range more {
				c.addRunner(runner.Spec{ID: fmt.Sprint("i-gen-more-", i), Service: "gen", DataCentre: "north", Slots: 8, Events: c.events, Interval: 20 * time.Millisecond})
			}
			c.sendAtInterval(20*time.Millisecond, time.Second)
			for _, r := range c.runners {
				if r.Service == "gen" {
					r.SetRawControl(func(*http.Request) *runner.Raw { return &tt.raw })
				}
			}
			for range more / 2 {
				go func() { _, _, _ = c.daemons[0].send("/gen/x", "", "m2") }() // models are loaded
			}
			got := c.sendAtInterval(20*time.Millisecond, 6*time.Second)
			peak := c.daemons[0].peakMemory(t)
			t.Logf("answers: %v; at most %d MB", got, peak>>20)
			assert.Check(t, got[http.StatusOK]*100 >= minServedBeside*total(got), "answers: %v", got)
			assert.Check(t, peak <= maxDaemonMemory, "%d MB", peak>>20)
		})
	}
}

// TestStoreThatSendsBytesWithoutEnd guards against a daemon that runs out of memory, or forgets what it knows, as the store, or what
// answers in its place, sends bytes without end.
func TestStoreThatSendsBytesWithoutEnd(t *testing.T) {
	for _, tt := range []struct{ name, endless string }{
		{"body", " "},
		{"fields", "X: y\r\n"},
		{"interim answers", "\r\nHTTP/1.1 102 Processing\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 2)
			c.sendAtInterval(20*time.Millisecond, time.Second)
			c.store.SetFaults(platform.Faults{Endless: tt.endless})
			got := c.sendAtInterval(20*time.Millisecond, 6*time.Second)
			c.store.SetFaults(platform.Faults{})
			for _, d := range c.daemons {
				peak := d.peakMemory(t)
				t.Logf("answers: %v; at most %d MB", got, peak>>20)
				assert.Check(t, peak <= maxDaemonMemory, "%d MB", peak>>20)
			}
			assert.Check(t, got[http.StatusOK]*100 >= minServedBeside*total(got), "answers: %v", got)
			c.put(wire.KindConfig, wire.NameConfig, fleetConfig(2, "/new/"))
			for _, d := range c.daemons {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if status, _, err := d.send("/new/x", "", "m1"); err != nil || status != http.StatusOK {
						return poll.Continue("%d %v", status, err)
					}
					return poll.Success()
				}, poll.WithTimeout(20*time.Second))
			}
		})
	}
}

// peakMemory returns the most memory that the process has had, in bytes.
func (d *fleetDaemon) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range bytes.Lines(data) {
		if f := bytes.Fields(line); len(f) == 3 && string(f[0]) == "VmHWM:" {
			kb, err := strconv.Atoi(string(f[1]))
			assert.NilError(t, err)
			return kb << 10
		}
	}
	t.Fatal("the peak is not known")
	return 0
}
