package proof

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wire "primroseward/platform"
	"primroseward/standin/runner"
)

const (
	// partsCrashes is how many runners may crash under requests with one prompt part until these are
	// stopped, maxLatePartRuns how many of these may still run later than settleTime after that.
	partsCrashes    = 5
	maxLatePartRuns = 3
	// soundCallers is the number of callers that send sound requests, soundDocuments the number of
	// parts that these share.
	soundCallers   = 9
	soundDocuments = 5
	// partsDuration is how long requests with a part that crashes runners are sent.
	partsDuration = 15 * time.Second
)

// promptHeader returns the header line that names the parts of a prompt. The last one is new.
func promptHeader(shared ...string) string {
	return fmt.Sprintf("%s: %s,%x:250", wire.HeaderParts, strings.Join(shared, ":400,")+":400", rand.Uint64())
}

// partRuns returns the times at which requests with a shared prompt part began to run, in order.
func (crashing *crashingRunners) partRuns(part string) []time.Time {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	var out []time.Time
	for _, r := range crashing.all {
		for _, run := range r.Runs() {
			if runner.HasSharedPart(run.Header, part) {
				out = append(out, run.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// crashAt returns the time of the n-th crash, or of the last one if there are fewer.
func (crashing *crashingRunners) crashAt(n int) time.Time {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	if len(crashing.crashTimes) == 0 {
		return time.Time{}
	}
	return crashing.crashTimes[min(n, len(crashing.crashTimes))-1]
}

// partOutcome is the outcome of one sound request.
type partOutcome struct {
	daemon      *fleetDaemon
	sent, ended time.Time
	ok          bool
	text        string
}

// daemonKill is a daemon that was killed, and when.
type daemonKill struct {
	daemon *fleetDaemon
	at     time.Time
}

// cutBy reports whether a request's daemon was killed while it was in progress or shortly before, when no process
// listened at its address.
func (o *partOutcome) cutBy(kills []daemonKill) bool {
	return slices.ContainsFunc(kills, func(k daemonKill) bool {
		return k.daemon == o.daemon && k.at.Before(o.ended) && k.at.After(o.sent.Add(-time.Second))
	})
}

// startSoundCallers sends requests without a part that crashes runners, no two alike, to random daemons until
// the returned function is called. It returns their outcomes.
func (c *fleetCluster) startSoundCallers(path string) (stop func() []partOutcome) {
	done, out := make(chan struct{}), make(chan []partOutcome)
	for range soundCallers {
		go func() {
			var list []partOutcome
			for {
				d, sent := c.daemons[rand.N(len(c.daemons))], time.Now()
				status, body, err := d.send(path, fmt.Sprint("sound", rand.Uint64()), "m1", promptHeader("a1", fmt.Sprint("d", rand.N(soundDocuments))))
				list = append(list, partOutcome{d, sent, time.Now(), err == nil && status == http.StatusOK, fmt.Sprintf("%d %v %.60s", status, err, body)})
				select {
				case <-done:
					out <- list
					return
				case <-time.After(callerRetryInterval):
				}
			}
		}()
	}
	return func() []partOutcome {
		close(done)
		var all []partOutcome
		for range soundCallers {
			all = append(all, <-out...)
		}
		return all
	}
}

// TestPromptPartThatCrashesRunnersIsStopped guards against runner after runner crashing under requests that have
// nothing in common but one part of their prompts, and against refusing sound requests that share the other parts.
func TestPromptPartThatCrashesRunnersIsStopped(t *testing.T) {
	for _, tt := range []struct {
		name    string
		path    string
		runners runner.Spec
		prompts [][]string // shared parts of the requests, of which one crashes runners
		// interval is the time between two of them; 0: callerRetryInterval. kills is the time between two
		// daemons that are killed and started again; 0: none is. empty: runners that have crashed are back
		// without models.
		interval, kills time.Duration
		empty           bool
	}{
		{name: "stream that may be resumed", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"a1", "bad1"}}},
		{name: "stream that may not", path: "/live/x", runners: modelRunner, prompts: [][]string{{"a1", "bad1"}}},
		{name: "part between others", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"a1", "d0", "bad1", "d1"}}},
		{name: "first part", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"bad1", "d0"}}},
		{name: "late crash", path: "/gen/x", runners: crashLate(modelRunner), prompts: [][]string{{"a1", "bad1"}}},
		{name: "closed between events", path: "/gen/x", runners: crashWith(modelRunner, ""), prompts: [][]string{{"a1", "bad1"}}},
		{name: "many at a time", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"a1", "bad1"}}, interval: 30 * time.Millisecond},
		{name: "daemons are killed", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"a1", "bad1"}}, kills: 2500 * time.Millisecond},
		{name: "runners are back without models", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"a1", "bad1"}}, empty: true},
		{name: "two parts", path: "/gen/x", runners: modelRunner, prompts: [][]string{{"a1", "bad1"}, {"a1", "bad2"}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 3)
			spec := tt.runners
			spec.FatalParts = []string{"bad1", "bad2"}
			crashing := c.startCrashingRunners(crashingRunnerCount, spec)
			c.awaitServed(callerRequest{path: tt.path, body: "harmless", model: "m1"})
			stop := c.startSoundCallers(tt.path)
			time.Sleep(2 * time.Second)
			if tt.empty {
				crashing.mu.Lock()
				crashing.spec.Models = nil
				crashing.mu.Unlock()
			}
			interval, killed, kills := cmp.Or(tt.interval, callerRetryInterval), time.Now(), []daemonKill(nil)
			for end := time.Now().Add(partsDuration); time.Now().Before(end); time.Sleep(interval) {
				if tt.kills > 0 && time.Since(killed) >= tt.kills {
					killed = time.Now()
					kills = append(kills, daemonKill{c.daemons[rand.N(len(c.daemons))], killed})
					kills[len(kills)-1].daemon.restart(c)
				}
				prompt := tt.prompts[rand.N(len(tt.prompts))]
				d := c.daemons[rand.N(len(c.daemons))]
				go func() { _, _, _ = d.send(tt.path, fmt.Sprint("harmful", rand.Uint64()), "m1", promptHeader(prompt...)) }() // any outcome is allowed
			}
			outcomes := stop()
			crashes, limit := crashing.crashCount(), partsCrashes*len(tt.prompts)
			stopped, late := crashing.crashAt(limit).Add(settleTime), 0
			for _, part := range spec.FatalParts {
				runs := crashing.partRuns(part)
				n := len(slices.DeleteFunc(slices.Clone(runs), func(at time.Time) bool { return at.Before(stopped) }))
				t.Logf("%s: %d runs, %d of them late", part, len(runs), n)
				late = max(late, n)
			}
			served, sent, failed := 0, 0, map[string]int{}
			for _, o := range outcomes {
				if o.sent.Before(stopped.Add(settleTime)) || o.cutBy(kills) {
					continue
				}
				sent++
				if o.ok {
					served++
				} else {
					failed[o.text]++
				}
			}
			t.Logf("%d runners crashed; sound requests served: %d of %d, failed: %v", crashes, served, sent, failed)
			assert.Check(t, late <= maxLatePartRuns, "%d late runs, %d runners crashed in all", late, crashes)
			assert.Check(t, sent > 0 && served*100 >= minServedPercent*sent, "sound requests served: %d of %d", served, sent)
		})
	}
}
