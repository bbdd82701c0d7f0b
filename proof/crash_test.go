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

	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

const (
	// fatal begins the body of a request that ends each runner that begins to run it.
	fatalBody = "fatal"
	// crashesBorne is how many runners may end under a request before it is stopped,
	// retriesBorne how many times it may reach runners later than settleTime after that.
	maxCrashes  = 3
	maxLateRuns = 3
	settleTime  = 3 * time.Second
	// backAfter is how long a runner that has ended stays away.
	runnerRestartDelay = 3 * time.Second
	// returnGap is the time between a caller's attempts.
	callerRetryInterval = 150 * time.Millisecond
	// crashRunners are twice as many as two fatal requests end before they are known: three
	// attempts at three daemons at once, each of which goes on at a second runner. What is
	// left serves the others.
	crashingRunnerCount = 24
	// harmlessCallers at each daemon send a harmless request again and again.
	harmlessCallersPerDaemon = 3
	// servedShare is the least share of harmless requests that are served beside fatal
	// ones, in per cent.
	minServedPercent = 95
)

// crashes are runners that end under fatal requests and are back a moment later, each
// under a new id.
type crashingRunners struct {
	c          *fleetCluster
	spec       runner.Spec
	mu         sync.Mutex
	all        []*runner.Server
	crashTimes []time.Time
	testEnded  bool // the test has ended: no runner comes back
}

// startCrashes puts n such runners in the place of the cluster's.
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

// start brings one more runner up; the caller holds the lock, if others can know k.
func (crashing *crashingRunners) add() {
	spec := crashing.spec
	spec.ID, spec.Place = fmt.Sprintf("i-%s-crash-%d", spec.Service, len(crashing.all)+1), []string{"north", "south"}[len(crashing.all)%2]
	spec.Fatal = func(body string) bool { return strings.HasPrefix(body, fatalBody) }
	var r *runner.Server
	spec.Ended = func() { crashing.crashed(r) }
	r = runner.New(spec, crashing.c.put)
	crashing.c.t.Cleanup(r.Kill)
	crashing.all = append(crashing.all, r)
}

// end replaces a runner that has ended.
func (crashing *crashingRunners) crashed(r *runner.Server) {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	crashing.crashTimes = append(crashing.crashTimes, time.Now())
	time.AfterFunc(runnerRestartDelay, func() { crashing.replace(r) })
}

func (crashing *crashingRunners) replace(r *runner.Server) {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	if crashing.testEnded {
		return
	}
	if !crashing.c.deleteObject(wire.KindRunners, r.ID) {
		time.AfterFunc(runnerRestartDelay, func() { crashing.replace(r) }) // the store is away
		return
	}
	crashing.add()
}

func (crashing *crashingRunners) crashCount() int {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	return len(crashing.crashTimes)
}

// arrivals are the times at which requests of a body have begun to run.
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

// late counts the runs of a body later than settleTime after enough runners ended.
func (crashing *crashingRunners) lateRuns(body string) int {
	at := crashing.runTimes(body)
	if len(at) <= maxCrashes {
		return 0
	}
	settled := at[maxCrashes-1].Add(settleTime)
	return len(at) - slices.IndexFunc(append(at, settled.Add(time.Hour)), func(t time.Time) bool { return t.After(settled) })
}

// attempt is a caller's request.
type callerRequest struct {
	path, body, model string
	sourceAddresses   byte // from which its caller sends it, one if it is 0
}

// repeat sends requests again and again, each to a daemon drawn at random, for a time.
func (c *fleetCluster) sendRepeatedly(duration time.Duration, list ...callerRequest) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callerRetryInterval) {
		for _, a := range list {
			from := net.IPv4(127, 0, 0, 1+rand.N(max(1, a.sourceAddresses)))
			go func() { _, _, _ = c.daemons[rand.N(len(c.daemons))].sendFrom(from, a.path, a.body, a.model) }() // whatever it is told
		}
	}
}

// awaitServed waits until each daemon knows the runners that serve a request.
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

// served counts what callers of a harmless request got.
type callStats struct {
	mu     sync.Mutex
	total  int
	ok     int
	failed map[string]int // by what was told
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

// repeatHarmless sends a harmless request again and again, at each daemon, until stop is
// called, which waits.
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
	modelRunner = runner.Spec{Service: "gen", Slots: 8, Models: []string{"m1", "m2"}, Events: 20, Gap: 40 * time.Millisecond, FatalAfter: 70 * time.Millisecond}
	plainRunner = runner.Spec{Service: "app", Slots: 8, Gap: 800 * time.Millisecond, FatalAfter: 70 * time.Millisecond}
)

func crashLate(s runner.Spec) runner.Spec {
	s.FatalAfter = 400 * time.Millisecond
	return s
}

// A caller's request ends each runner that begins to run it, and with it all that runs
// there. It comes again under new ids, at any daemon. Each daemon took each attempt for a
// new request and sent it on, and soon all runners of the service were gone. Nothing
// connected the attempts: who asked for what was forgotten when an attempt ended, and no
// daemon heard of what had happened at another. With logs that name a digest of path and
// body, one digest stood at each end, and only that one at all. Its caller has many
// addresses: with the address in the digest each attempt was new again.
func TestRequestThatEndsRunnersIsStopped(t *testing.T) {
	for _, tt := range []struct {
		name     string
		runners  runner.Spec
		fatal    []callerRequest
		harmless callerRequest
	}{
		{"a stream", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"a slow one", crashLate(modelRunner), []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"from many addresses", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1", sourceAddresses: 200}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"two", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1"}, {path: "/gen/y", body: fatalBody + "2", model: "m2"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"an adapter's", modelRunner, []callerRequest{{path: "/gen/x", body: fatalBody, model: "m1/a1"}}, callerRequest{path: "/gen/x", body: "harmless", model: "m1"}},
		{"one that may not be repeated", plainRunner, []callerRequest{{path: "/order/x", body: fatalBody, model: ""}}, callerRequest{path: "/order/x", body: "harmless", model: ""}},
		{"a slow one that may be repeated", crashLate(plainRunner), []callerRequest{{path: "/ask/x", body: fatalBody, model: ""}}, callerRequest{path: "/ask/x", body: "harmless", model: ""}},
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
				t.Logf("%s: %d runs, %d of them late; %d runners ended; harmless %d of %d, lost %v", a.body, len(crashing.runTimes(a.body)), late, crashing.crashCount(), got.ok, got.total, got.failed)
				assert.Check(t, late <= maxLateRuns, "%s: %d more runs, %d runners ended in all", a.body, late, crashing.crashCount())
			}
			assert.Check(t, got.ok*100 >= minServedPercent*got.total, "harmless: %d of %d", got.ok, got.total)
		})
	}
}

// A request is held back; then all daemons are killed, and are back without what they
// knew. The next daemons must know it from the platform's store, and one that starts
// while the store is away from the others.
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
			return poll.Continue("not kept")
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
	assert.Check(t, len(crashing.runTimes(fatalBody))-before <= 1, "%d more runs after a loss of all daemons", len(crashing.runTimes(fatalBody))-before)
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

// The service that ended under a request has been repaired. An operator sees what is held
// back and releases it, in the platform's store where daemons take no edits, and it is
// served at all daemons.
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

// removed deletes an object as the platform does, and says whether the store did so.
func (c *fleetCluster) deleteObject(kind, name string) bool {
	return callJSON(adminClient, http.MethodDelete, "http://"+c.addr+wire.PathObjects+kind+"/"+name, nil, nil) < http.StatusMultipleChoices
}
