package proof

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

const (
	// fatalBody is the prefix of request bodies that make each runner that begins to run
	// them exit.
	fatalBody = "fatal"
	// maxCrashes is how many runners may exit under a request before it is stopped,
	// maxLateRuns how many times it may still run at runners later than settleTime after
	// that.
	maxCrashes  = 3
	maxLateRuns = 3
	settleTime  = 3 * time.Second
	// runnerRestartDelay is the time from the exit of a runner to the start of its
	// replacement.
	runnerRestartDelay = 3 * time.Second
	// callerRetryInterval is the time between two sends of a request by its caller.
	callerRetryInterval = 150 * time.Millisecond
	// crashingRunnerCount is twice the number of runners that two fatal requests can end
	// before they are recognised: three attempts at three daemons at once, each of which
	// goes on at a second runner. The remaining runners serve the other requests.
	crashingRunnerCount = 24
	// harmlessCallersPerDaemon is the number of callers at each daemon that send a harmless
	// request again and again.
	harmlessCallersPerDaemon = 3
	// minServedPercent is the least percentage of harmless requests that must be served
	// while fatal ones are sent.
	minServedPercent = 95
)

// crashingRunners are runners that exit under fatal requests. Each is replaced
// runnerRestartDelay later by one with a new id.
type crashingRunners struct {
	c          *fleetCluster
	spec       runner.Spec
	mu         sync.Mutex
	all        []*runner.Server
	crashTimes []time.Time
	testEnded  bool // no runner is replaced any more
}

// startCrashingRunners replaces the cluster's runners of the service with n runners that
// exit under fatal requests.
func (c *fleetCluster) startCrashingRunners(n int, spec runner.Spec) *crashingRunners {
	c.t.Helper()
	crashing := &crashingRunners{c: c, spec: spec}
	for _, r := range c.runners {
		if r.Service == spec.Service {
			r.Kill()
			assert.Assert(c.t, c.deleteObject(wire.KindRunners, r.ID))
		}
	}
	c.t.Cleanup(func() {
		crashing.mu.Lock()
		defer crashing.mu.Unlock()
		crashing.testEnded = true
	})
	for range n {
		crashing.add()
	}
	return crashing
}

// add starts one more runner. The caller holds mu once other goroutines can use crashing.
func (crashing *crashingRunners) add() {
	spec := crashing.spec
	spec.ID, spec.DataCentre = fmt.Sprintf("i-%s-crash-%d", spec.Service, len(crashing.all)+1), []string{"north", "south"}[len(crashing.all)%2]
	spec.Fatal = func(body string) bool { return strings.HasPrefix(body, fatalBody) }
	spec.Exited = func() { crashing.crashed(spec.ID) }
	r := runner.New(spec, crashing.c.put)
	crashing.c.t.Cleanup(r.Kill)
	crashing.all = append(crashing.all, r)
}

// crashed records the exit of a runner and schedules its replacement.
func (crashing *crashingRunners) crashed(id string) {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	crashing.crashTimes = append(crashing.crashTimes, time.Now())
	time.AfterFunc(runnerRestartDelay, func() { crashing.replace(id) })
}

// replace starts a new runner once the old one is deleted from the store, and tries again
// after runnerRestartDelay while the store is unavailable.
func (crashing *crashingRunners) replace(id string) {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	if crashing.testEnded {
		return
	}
	if !crashing.c.deleteObject(wire.KindRunners, id) {
		time.AfterFunc(runnerRestartDelay, func() { crashing.replace(id) }) // the store is unavailable
		return
	}
	crashing.add()
}

func (crashing *crashingRunners) crashCount() int {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	return len(crashing.crashTimes)
}

// runTimes returns the times at which requests with a body began to run, in order.
func (crashing *crashingRunners) runTimes(body string) []time.Time {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	var out []time.Time
	for _, r := range crashing.all {
		for _, run := range r.Runs() {
			if run.Body == body {
				out = append(out, run.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// lateRuns counts the runs of a body that began more than settleTime after its
// maxCrashes-th run began.
func (crashing *crashingRunners) lateRuns(body string) int {
	at := crashing.runTimes(body)
	if len(at) <= maxCrashes {
		return 0
	}
	settled := at[maxCrashes-1].Add(settleTime)
	return len(at) - slices.IndexFunc(append(at, settled.Add(time.Hour)), func(t time.Time) bool { return t.After(settled) })
}

// callerRequest is a request that a caller sends again and again.
type callerRequest struct {
	path, body, model string
	sourceAddresses   byte // number of addresses that its caller sends from; 0 means one
}

// sendRepeatedly sends each request every callerRetryInterval to a daemon drawn at random,
// for a duration.
func (c *fleetCluster) sendRepeatedly(duration time.Duration, list ...callerRequest) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callerRetryInterval) {
		for _, a := range list {
			from := net.IPv4(127, 0, 0, 1+rand.N(max(1, a.sourceAddresses)))
			go func() { _, _, _ = c.daemons[rand.N(len(c.daemons))].sendFrom(from, a.path, a.body, a.model) }() // any outcome is allowed
		}
	}
}

// awaitServed waits until each daemon serves a request, that is, until each has found the
// runners for it.
func (c *fleetCluster) awaitServed(a callerRequest) {
	c.t.Helper()
	for _, d := range c.daemons {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			status, body, err := d.send(a.path, a.body, a.model)
			if err != nil || status != http.StatusOK {
				return poll.Continue("%s: %d %v %s", d.name, status, err, body)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
}

// callStats counts the outcomes of a harmless request.
type callStats struct {
	mu     sync.Mutex
	total  int
	ok     int
	failed map[string]int // by status, error and start of the body
}

func (s *callStats) add(status int, body string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if err == nil && status == http.StatusOK {
		s.ok++
		return
	}
	s.failed[fmt.Sprintf("%d %v %.60s", status, err, body)]++
}

// startHarmlessCallers sends a harmless request again and again at each daemon until stop
// is called. Stop waits for the requests in progress.
func (c *fleetCluster) startHarmlessCallers(a callerRequest) (s *callStats, stop func()) {
	s = &callStats{failed: map[string]int{}}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range harmlessCallersPerDaemon * len(c.daemons) {
		d := c.daemons[i%len(c.daemons)]
		wg.Go(func() {
			for {
				status, body, err := d.send(a.path, a.body, a.model)
				s.add(status, body, err)
				select {
				case <-done:
					return
				case <-time.After(callerRetryInterval):
				}
			}
		})
	}
	return s, func() {
		close(done)
		wg.Wait()
	}
}

var (
	modelRunner = runner.Spec{Service: "gen", Slots: 8, Models: []string{"m1", "m2"}, Events: 20, Interval: 40 * time.Millisecond, FatalAfter: 70 * time.Millisecond}
	plainRunner = runner.Spec{Service: "app", Slots: 8, Interval: 800 * time.Millisecond, FatalAfter: 70 * time.Millisecond}
)

// crashLate returns a spec whose runners exit 400 ms after a fatal request begins to run.
func crashLate(s runner.Spec) runner.Spec {
	s.FatalAfter = 400 * time.Millisecond
	return s
}

// crashWith returns a spec whose runners answer a fatal request with some text when they exit, and end
// the answer with its connection.
func crashWith(s runner.Spec, text string) runner.Spec {
	s.FatalAnswer = &runner.Raw{Framing: core.FramingClose, Body: text, Exit: true}
	return s
}

// TestRequestThatCrashesRunnersIsStopped guards against one request taking down all runners of
// a service. Each runner that begins to run it exits, and all other requests on that runner
// fail. Its caller sends it again under new ids, to any daemon. Daemons used to treat each
// of these as a new request and send it on, and soon all runners of the service were gone.
// Nothing connected the requests: a daemon forgot who had requested what when its attempt
// ended, and received no report of exits that its peers had seen.
//
// Once the logs contained a digest of path and body, the same digest stood at each exit,
// and no other digest did. The caller's address must not be part of the digest: the caller
// has many addresses, and with the address in the digest each of its requests was new
// again.
func TestRequestThatCrashesRunnersIsStopped(t *testing.T) {
	for _, tt := range []struct {
		name     string
		runners  runner.Spec
		fatal    []callerRequest
		harmless callerRequest
	}{
		{"stream", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"stream, late crash", crashLate(modelRunner), []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"stream, closed inside an event", crashWith(modelRunner, fullStream(2)+"id: 3\nda"), []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"stream, closed between events", crashWith(modelRunner, fullStream(2)), []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"many caller addresses", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1", sourceAddresses: 200}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"two requests", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}, {path: "/gen/y", body: fatalBody + "2", model: "m2"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"adapter", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1/a1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"not repeatable", plainRunner, []callerRequest{{path: "/order/x", body: fatalBody, model: ""}}, callerRequest{path: "/order/x", body: "harmless", model: ""}},
		{"repeatable, late crash", crashLate(plainRunner), []callerRequest{{path: "/ask/x", body: fatalBody, model: ""}}, callerRequest{path: "/ask/x", body: "harmless", model: ""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 3)
			crashing := c.startCrashingRunners(crashingRunnerCount, tt.runners)
			c.awaitServed(tt.harmless)
			got, stop := c.startHarmlessCallers(tt.harmless)
			time.Sleep(time.Second)
			c.sendRepeatedly(9*time.Second, tt.fatal...)
			time.Sleep(time.Second)
			stop()
			for _, a := range tt.fatal {
				late := crashing.lateRuns(a.body)
				t.Logf("%s: %d runs, %d of them late; %d runners exited; harmless requests served: %d of %d, failed: %v", a.body, len(crashing.runTimes(a.body)), late, crashing.crashCount(), got.ok, got.total, got.failed)
				assert.Check(t, late <= maxLateRuns, "%s: %d late runs, %d runners exited in all", a.body, late, crashing.crashCount())
			}
			assert.Check(t, got.ok*100 >= minServedPercent*got.total, "harmless requests served: %d of %d", got.ok, got.total)
		})
	}
}

// TestHeldRequestOutlivesDaemons guards against losing holds when all daemons are killed
// while a request is held back. Restarted daemons must read the hold from the platform's
// store, and a daemon that starts while the store is unavailable must get it from its
// peers.
func TestHeldRequestOutlivesDaemons(t *testing.T) {
	c := startFleet(t, 3)
	crashing := c.startCrashingRunners(6, modelRunner)
	c.awaitServed(callerRequest{path: "/gen/x", body: "harmless", model: "m1"})
	a := callerRequest{path: "/gen/x", body: fatalBody, model: "m1"}
	c.sendRepeatedly(2*time.Second, a)
	held := func() bool {
		out, _ := c.primrosectl(c.daemons[0], "", "holds", "--json")
		return strings.Contains(out, `"state": "held"`)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !held() {
			return poll.Continue("no request is held yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	for _, d := range c.daemons {
		_ = d.cmd.Process.Kill()
		_, _ = d.cmd.Process.Wait()
	}
	for _, d := range c.daemons {
		d.run(c)
		c.awaitReadyStatus(d, http.StatusOK)
	}
	time.Sleep(settleTime)
	before := len(crashing.runTimes(fatalBody))
	c.sendRepeatedly(2*time.Second, a)
	assert.Check(t, len(crashing.runTimes(fatalBody))-before <= 1, "%d more runs after all daemons were killed", len(crashing.runTimes(fatalBody))-before)
	c.store.SetFaults(platform.Faults{Down: true})
	c.daemons[2].restart(c)
	c.awaitReadyStatus(c.daemons[2], http.StatusOK)
	time.Sleep(settleTime)
	before = len(crashing.runTimes(fatalBody))
	for range 10 {
		status, body, err := c.daemons[2].send(a.path, a.body, a.model)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		assert.Assert(t, strings.Contains(body, "held_back"), body)
	}
	assert.Equal(t, len(crashing.runTimes(fatalBody)), before)
	c.store.SetFaults(platform.Faults{})
}

// TestOperatorReleasesHeldRequest checks that an operator sees a held request and can
// release it once the service that exited under it has been repaired. The release is
// written to the platform's store, because daemons accept no edits here, and it must take
// effect at all daemons.
func TestOperatorReleasesHeldRequest(t *testing.T) {
	c := startFleet(t, 2)
	crashing := c.startCrashingRunners(5, modelRunner)
	c.awaitServed(callerRequest{path: "/gen/x", body: "harmless", model: "m1"})
	a := callerRequest{path: "/gen/x", body: fatalBody, model: "m1"}
	c.sendRepeatedly(2*time.Second, a)
	time.Sleep(time.Second)
	out, code := c.primrosectl(c.daemons[0], "", "holds")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "gen") && strings.Contains(out, "held"), out)
	var digest string
	for line := range strings.Lines(out) {
		if f := strings.Fields(line); len(f) > 0 && len(f[0]) == 32 {
			digest = f[0]
		}
	}
	crashing.mu.Lock()
	crashing.spec.Fatal = nil
	crashing.mu.Unlock()
	out, code = c.primrosectl(c.daemons[0], "", "holds", "release", strings.Repeat("0", 32))
	assert.Equal(t, code, 5, out)
	out, code = c.primrosectl(c.daemons[0], "", "holds", "release", digest)
	assert.Equal(t, code, 0, out)
	for _, d := range c.daemons {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			data, err := os.ReadFile(d.log)
			if err != nil || !strings.Contains(string(data), `"msg":"`+logs.HoldChanged+`"`) || !strings.Contains(string(data), `"state":"released","by":"operator"`) {
				return poll.Continue("%s: not released: %v", d.name, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
}

// deleteObject deletes an object as the platform does, and reports whether the store
// accepted it.
func (c *fleetCluster) deleteObject(kind, name string) bool {
	return callJSON(adminClient, http.MethodDelete, "http://"+c.addr+wire.PathObjects+kind+"/"+name, nil, nil) < http.StatusMultipleChoices
}
