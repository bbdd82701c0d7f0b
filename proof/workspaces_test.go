package proof

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

// workspace is a workspace of a configuration, as operators write it.
type workspace struct {
	name        string
	keys        []string
	rate, burst float64
}

// plainTokens is the number of tokens charged for a request that does not state its own.
const plainTokens = 50

// workspaceConfig returns fleetConfig with workspaces and a route that needs no key.
func workspaceConfig(version int, list ...workspace) any {
	config := fleetConfig(version, "/gen/").(map[string]any)
	public := map[string]any{
		"name": "open", "host": "h.example", "path_prefix": "/open/", "kind": "safe", "service": "app", "timeout_ms": 4000,
		"target_latency_ms": 300, "max_attempts": 2, "priority": 1, "public": true,
	}
	config["routes"] = append(config["routes"].([]any), public)
	tenants := []any{}
	for _, w := range list {
		tenants = append(tenants, map[string]any{
			"name": w.name, "api_keys": w.keys, "priority": 1, "unit": "tokens", "plain_tokens": plainTokens, "rate_per_s": w.rate, "burst": w.burst,
		})
	}
	config["tenants"] = tenants
	return config
}

// withKey returns the header line that carries a key.
func withKey(key string) string { return wire.HeaderKey + ": " + wire.KeyScheme + " " + key }

// awaitStatus waits until a daemon answers requests with a key with the wanted status.
func (c *fleetCluster) awaitStatus(d *fleetDaemon, key string, want int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		status, body, err := d.send("/ask/x", "", "", withKey(key))
		if err != nil || status != want {
			return poll.Continue("%s: %d %s %v", d.name, status, body, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// runsAtService returns the requests that have run at all runners of a service.
func (c *fleetCluster) runsAtService(service string) []runner.Run {
	var out []runner.Run
	for _, r := range c.runners {
		if r.Service == service {
			out = append(out, r.Runs()...)
		}
	}
	return out
}

// TestFleetRequiresKeys guards against a request that runs without a key of a workspace, and
// against a runner that receives the key or the name of another workspace.
func TestFleetRequiresKeys(t *testing.T) {
	c := startFleet(t, 2)
	c.put(wire.KindConfig, wire.NameConfig, workspaceConfig(2, workspace{name: "one", keys: []string{"k1"}}, workspace{name: "two", keys: []string{"k2"}}))
	for _, d := range c.daemons {
		c.awaitStatus(d, "none", http.StatusUnauthorized)
	}
	for _, tt := range []struct {
		name, path, model string
		header            []string
		status            int
		workspace         string
	}{
		{"key", "/ask/a", "", []string{withKey("k1")}, http.StatusOK, "one"},
		{"key of another workspace", "/order/a", "", []string{withKey("k2")}, http.StatusOK, "two"},
		{"stream", "/gen/a", "m1", []string{withKey("k2")}, http.StatusOK, "two"},
		{"workspace header sent by the caller", "/ask/b", "", []string{withKey("k1"), strings.ToUpper(wire.HeaderWorkspace) + ": two"}, http.StatusOK, "one"},
		{"no key", "/ask/c", "", nil, http.StatusUnauthorized, ""},
		{"unknown key", "/ask/c", "", []string{withKey("k3")}, http.StatusUnauthorized, ""},
		{"two keys", "/ask/c", "", []string{withKey("k1"), withKey("k2")}, http.StatusUnauthorized, ""},
		{"public route", "/open/a", "", []string{withKey("k3"), wire.HeaderWorkspace + ": two"}, http.StatusOK, ""},
	} {
		status, body, err := c.daemons[0].send(tt.path, tt.name, tt.model, tt.header...)
		assert.NilError(t, err, tt.name)
		assert.Equal(t, status, tt.status, "%s: %s", tt.name, body)
		ran := false
		for _, r := range append(c.runsAtService("app"), c.runsAtService("gen")...) {
			if r.Body != tt.name {
				continue
			}
			ran = true
			assert.Equal(t, r.Header.Get(wire.HeaderKey), "", tt.name)
			assert.Equal(t, strings.Join(r.Header.Values(wire.HeaderWorkspace), ","), tt.workspace, tt.name)
		}
		assert.Equal(t, ran, status == http.StatusOK, tt.name)
	}
	out, code := c.primrosectl(c.daemons[0], "", "workspaces")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "one") && !strings.Contains(out, "k1"), out)
}

// TestFleetRevokesKeys guards against a removed key that is still accepted: by a daemon
// that cannot reach the store, by a daemon that has just started, on an open connection. It
// also guards against refusing a caller that changes its key in time.
func TestFleetRevokesKeys(t *testing.T) {
	c := startFleet(t, 3)
	putKeys := func(version int, keys ...string) {
		c.put(wire.KindConfig, wire.NameConfig, workspaceConfig(version, workspace{name: "one", keys: keys}))
	}
	putKeys(2, "old")
	for _, d := range c.daemons {
		c.awaitStatus(d, "old", http.StatusOK)
	}
	putKeys(3, "old", "new")
	for _, d := range c.daemons {
		c.awaitStatus(d, "new", http.StatusOK)
	}
	for _, d := range c.daemons {
		for _, key := range []string{"old", "new"} {
			status, body, err := d.send("/ask/x", "", "", withKey(key))
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK, "%s: %s", key, body)
		}
	}
	putKeys(4, "new")
	time.Sleep(2 * time.Second)
	before := len(c.runsAtService("app"))
	checkRefused := func() {
		t.Helper()
		for _, d := range c.daemons {
			status, body, err := d.send("/ask/x", "", "", withKey("old"))
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusUnauthorized, "%s: %s", d.name, body)
		}
	}
	checkRefused()
	c.store.SetFaults(platform.Faults{Down: true})
	checkRefused()
	c.daemons[2].restart(c)
	c.awaitReadyStatus(c.daemons[2], http.StatusOK)
	checkRefused()
	c.store.SetFaults(platform.Faults{})
	assert.Equal(t, len(c.runsAtService("app")), before)
}

// TestFleetEnforcesAllowances guards against a workspace that exceeds its allowance by sending
// to all daemons, also while one of them restarts, and against another workspace that is
// then not served.
func TestFleetEnforcesAllowances(t *testing.T) {
	const rate, burst, window, slack = 1000.0, 1000.0, 2 * time.Second, 200.0
	c := startFleet(t, 3)
	c.put(wire.KindConfig, wire.NameConfig, workspaceConfig(2,
		workspace{name: "hot", keys: []string{"hot"}, rate: rate, burst: burst}, workspace{name: "calm", keys: []string{"calm"}, rate: rate, burst: burst}))
	for _, d := range c.daemons {
		c.awaitStatus(d, "calm", http.StatusOK)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	calm, served := 0, 0
	var wg sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for i := range 9 {
		d := c.daemons[i%len(c.daemons)]
		wg.Go(func() {
			for time.Now().Before(end) {
				_, _, _ = d.send("/ask/hot", "hot", "", withKey("hot")) // mostly refused
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			status, _, _ := c.daemons[n%2].send("/ask/calm", "calm", "", withKey("calm"))
			mu.Lock()
			if calm++; status == http.StatusOK {
				served++
			}
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	c.daemons[2].restart(c)
	wg.Wait()
	var runTimes []time.Time
	for _, r := range c.runsAtService("app") {
		if r.Body == "hot" {
			runTimes = append(runTimes, r.At)
		}
	}
	peak := 0
	for _, from := range runTimes {
		n := 0
		for _, run := range runTimes {
			if !run.Before(from) && run.Sub(from) <= window {
				n++
			}
		}
		peak = max(peak, n)
	}
	bound := (rate*window.Seconds()+burst)*1.1 + slack
	t.Logf("hot: %d runs, at most %d in %v, which is %.2f of the bound; calm: %d of %d", len(runTimes), peak, window, float64(peak)*plainTokens/bound, served, calm)
	assert.Check(t, float64(peak)*plainTokens <= bound)
	assert.Check(t, float64(len(runTimes))*plainTokens >= 0.7*rate*6, "less than 0.7 of the rate was used")
	assert.Check(t, served*100 >= 95*calm, "requests of workspace calm served: %d of %d", served, calm)
}
