package proof

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/standin/platform"
)

// TestFleetServes checks the whole path through the platform: callers find daemons in the
// directory, daemons find runners, and requests and streams come back unchanged. An unknown
// route is answered with 404, so that callers can tell it from a refusal.
func TestFleetServes(t *testing.T) {
	c := startFleet(t, 2)
	d := c.daemons[0]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.directoryAddresses(d); len(got) != 2 || got[0] != d.callerAddr {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	})
	status, body, err := d.send("/order/a%2Fb?x=1", "belt", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "i-app-1 /order/a%2Fb?x=1 belt", "served in the daemon's own data centre")
	status, body, err = d.send("/gen/x", "", "m2")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, fullStream(20))
	status, _, err = d.send("/none/x", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + d.adminAddr + "/metrics")
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

// TestFleetLoadsModelsAndAdaptersOnDemand checks that an adapter and a model that no runner
// has are loaded because there are requests for them, and that the request for the adapter
// is served.
func TestFleetLoadsModelsAndAdaptersOnDemand(t *testing.T) {
	c := startFleet(t, 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body, err := c.daemons[1].send("/gen/x", "", "m1/a3")
		if err != nil || status != http.StatusOK {
			return poll.Continue("%d %v", status, err)
		}
		assert.Equal(t, body, fullStream(20))
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
	assert.Assert(t, c.runners[0].IsLoaded("m1", "a3") || c.runners[1].IsLoaded("m1", "a3"))
}

// TestFleetRunnerFails checks that a stream that its runner cuts continues at another
// runner, with each event once, and that an order that a runner may have carried out is not
// sent again.
func TestFleetRunnerFails(t *testing.T) {
	c := startFleet(t, 1)
	d := c.daemons[0]
	c.runners[0].CutNext(5)
	c.runners[1].CutNext(9)
	status, body, err := d.send("/gen/x", "", "m1")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, err != nil || body == fullStream(20))
	c.runners[0].CutNext(0)
	c.runners[1].CutNext(0)
	c.runners[0].CutNext(5)
	status, body, err = d.send("/gen/x", "", "m1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, fullStream(20))
	c.runners[2].Kill()
	for range 5 {
		before := c.runsOf("app")
		status, _, err = d.send("/order/x", "belt", "")
		assert.NilError(t, err)
		assert.Assert(t, c.runsOf("app")-before <= 1)
		assert.Assert(t, status == http.StatusOK || status == http.StatusBadGateway || status == http.StatusServiceUnavailable)
	}
}

// TestFleetRunnerDrains checks that a runner that reports that it is leaving gets no new
// requests one second later.
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

// TestFleetConfigAndOutage checks that a configuration is in force at all daemons a moment
// after it was stored, and that a daemon that cannot reach the store goes on serving with
// the configuration that it has.
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

// TestFleetStopsGracefully checks that a planned stop cuts nothing: the stream in progress
// ends complete, the directory no longer returns the stopping daemon, and new requests are
// served by another one.
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
		if got := c.directoryAddresses(staying); len(got) != 1 || got[0] != staying.callerAddr {
			return poll.Continue("%v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	c.awaitReadyStatus(leaving, http.StatusServiceUnavailable)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, fullStream(20))
	state, err := leaving.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%v", state)
	status, _, err := staying.send("/ask/x", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a daemon that is killed at the end of its grace time because it began to count
// the time for open connections only after a pause of the process.
func TestFleetStopsInItsGraceAfterAPause(t *testing.T) {
	c := startFleet(t, 1)
	d := c.daemons[0]
	c.store.SetFaults(platform.Faults{Delay: int(gracePeriod.Milliseconds())}) // the release of the lease takes its full time
	stopped := time.Now()
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		data, err := os.ReadFile(d.log)
		if err != nil || !bytes.Contains(data, []byte(`"`+logs.Leaving+`"`)) {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(gracePeriod), poll.WithDelay(5*time.Millisecond))
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(gracePeriod / 2)
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGCONT))
	kill := time.AfterFunc(gracePeriod-time.Since(stopped), func() { _ = d.cmd.Process.Kill() })
	defer kill.Stop()
	state, err := d.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%v", state)
}

// TestFleetReloads guards against a daemon that exits on SIGHUP after its settings file has
// changed. It must read the file again, keep the settings in force if the file has faults,
// and go on serving.
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

// TestFleetKeepsToTheSettingsTree guards against regulated data being served in a data
// centre that operators have excluded, because the platform's configuration has no data
// centres. Operators narrow a service in the settings tree, by a write to the store, as on
// this platform daemons accept no edits. From then on no request of any kind may be served
// elsewhere: not after a restart, not during an outage of the store, not by a daemon that
// has no settings yet.
func TestFleetKeepsToTheSettingsTree(t *testing.T) {
	c := startFleet(t, 3)
	out, code := c.primrosectl(c.daemons[0], `{"set":{"places":["south"]}}`, "tree", "set", "/service/app", "-f", "-", "--wait", "20s")
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
	out, code = c.primrosectl(c.daemons[1], "", "tree", "explain", "-s", "app", "-p", "north")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "allowed false"), out)
	out, code = c.primrosectl(c.daemons[1], `{"set":{"places":["west"]}}`, "tree", "set", "/service/unknown", "-f", "-")
	assert.Equal(t, code, 3, out)
	out, code = c.primrosectl(c.daemons[1], "", "tree", "history", "/service/app")
	assert.Assert(t, code == 0 && strings.Contains(out, "nino"), out)
	assert.Equal(t, callJSON(adminClient, http.MethodPut, "http://"+c.daemons[0].adminAddr+"/admin/tree?path=/", map[string]int{}, nil), http.StatusForbidden,
		"a daemon without a token takes no edits")
	c.daemons[0].restart(c)
	c.awaitReadyStatus(c.daemons[0], http.StatusOK)
	onlySouth()
	c.store.SetFaults(platform.Faults{Down: true})
	c.daemons[2].restart(c)
	c.awaitReadyStatus(c.daemons[2], http.StatusOK) // ready through another daemon's snapshot of the store
	onlySouth()
	c.store.SetFaults(platform.Faults{})
}

// TestFleetLoadsWhereRequestsMayBeServed guards against a model that cannot be served any
// more after operators have narrowed it to a data centre without a replica, or after the
// only replica in its data centre is lost. It must be loaded where requests for it may be
// served.
func TestFleetLoadsWhereRequestsMayBeServed(t *testing.T) {
	c := startFleet(t, 2)
	out, code := c.primrosectl(c.daemons[0], `{"set":{"places":["north"]}}`, "tree", "set", "/service/gen/model/m2", "-f", "-", "--wait", "20s")
	assert.Equal(t, code, 0, out)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body, err := c.daemons[0].send("/gen/x", "", "m2")
		if err != nil || status != http.StatusOK {
			return poll.Continue("%d %v", status, err)
		}
		assert.Equal(t, body, fullStream(20))
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, c.runners[0].IsLoaded("m2", ""))
}
