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

// partRuns returns the times at which requests for a model with a shared prompt part began to run, in order.
func (crashing *crashingRunners) partRuns(part, model string) []time.Time {
	crashing.mu.Lock()
	defer crashing.mu.Unlock()
	var out []time.Time
	for _, r := range crashing.all {
		for _, run := range r.Runs() {
			if run.Model == model && runner.HasSharedPart(run.Header, part) {
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
	return c.startPartCallers(path, "m1", func() []string { return []string{"a1", fmt.Sprint("d", rand.N(soundDocuments))} })
}

// startPartCallers is startSoundCallers with the shared parts that prompt returns.
func (c *fleetCluster) startPartCallers(path, model string, prompt func() []string) (stop func() []partOutcome) {
	done, out := make(chan struct{}), make(chan []partOutcome)
	for range soundCallers {
		go func() {
			var list []partOutcome
			for {
				d, sent := c.daemons[rand.N(len(c.daemons))], time.Now()
				status, body, err := d.send(path, fmt.Sprint("sound", rand.Uint64()), model, promptHeader(prompt()...))
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

// partsCase is a series of requests with prompt parts that crash runners.
type partsCase struct {
	name    string
	path    string
	runners runner.Spec
	prompts [][]string // shared parts of the requests, of which one crashes runners
	// interval is the time between two of them; 0: callerRetryInterval. kills is the time between two
	// daemons that are killed and started again; 0: none is. empty: runners that have crashed are back
	// without models.
	interval, kills time.Duration
	empty           bool
	// killAll: all daemons are killed at once. used is how long before the part begins to crash runners requests with it
	// are served; 0: none is. elsewhere: requests with the part for another model are served all the while.
	killAll   bool
	used      time.Duration
	elsewhere bool
	// form is how the parts crash runners; nil: as runners does.
	form           *runner.FatalForm
	daemons, count int // of runners; 0: three daemons, crashingRunnerCount runners
	// duration is how long requests with the part are sent; 0: partsDuration.
	duration time.Duration
}

// check plays the case. It checks that the requests are stopped and that sound ones are served.
func (tt *partsCase) check(t *testing.T) {
	c := startFleet(t, cmp.Or(tt.daemons, 3))
	spec := tt.runners
	spec.FatalParts = []string{"bad1", "bad2"}
	begin := time.Now().Add(tt.used)
	if tt.form != nil {
		form := *tt.form
		form.From = begin
		spec.FatalForms = map[string]runner.FatalForm{"bad1": form, "bad2": form}
	}
	crashing := c.startCrashingRunners(cmp.Or(tt.count, crashingRunnerCount), spec)
	c.awaitServed(callerRequest{path: tt.path, body: "harmless", model: "m1"})
	stops := []func() []partOutcome{c.startSoundCallers(tt.path)}
	if tt.elsewhere {
		stops = append(stops, c.startPartCallers(tt.path, "m2", func() []string { return tt.prompts[0] }))
	}
	time.Sleep(2 * time.Second)
	if tt.empty {
		crashing.mu.Lock()
		crashing.spec.Models = nil
		crashing.mu.Unlock()
	}
	interval, killed, kills := cmp.Or(tt.interval, callerRetryInterval), time.Now(), []daemonKill(nil)
	for end := time.Now().Add(max(0, time.Until(begin)) + cmp.Or(tt.duration, partsDuration)); time.Now().Before(end); time.Sleep(interval) {
		if tt.kills > 0 && time.Since(killed) >= tt.kills {
			killed = time.Now()
			victims := []*fleetDaemon{c.daemons[rand.N(len(c.daemons))]}
			if tt.killAll {
				victims = c.daemons
			}
			for _, d := range victims {
				kills = append(kills, daemonKill{d, killed})
				d.kill()
			}
			for _, d := range victims {
				d.run(c)
			}
		}
		prompt := tt.prompts[rand.N(len(tt.prompts))]
		d := c.daemons[rand.N(len(c.daemons))]
		go func() { _, _, _ = d.send(tt.path, fmt.Sprint("harmful", rand.Uint64()), "m1", promptHeader(prompt...)) }() // any outcome is allowed
	}
	var outcomes []partOutcome
	for _, stop := range stops {
		outcomes = append(outcomes, stop()...)
	}
	crashes, limit := crashing.crashCount(), partsCrashes*len(tt.prompts)
	stopped, late := crashing.crashAt(limit).Add(settleTime), 0
	for _, part := range spec.FatalParts {
		runs := crashing.partRuns(part, "m1")
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
}

// TestPromptPartThatCrashesRunnersAtAnyMomentIsStopped guards against runner after runner crashing under a prompt part that
// was taken for harmless: because a runner had sent events before it crashed, because some requests with it were served,
// or because those for another model or those of a minute ago were.
func TestPromptPartThatCrashesRunnersAtAnyMomentIsStopped(t *testing.T) {
	prompts := [][]string{{"a1", "bad1"}}
	events := func(after time.Duration) *runner.FatalForm {
		return &runner.FatalForm{After: after, Stage: runner.FatalAfterEvents}
	}
	const soon = 70 * time.Millisecond
	for _, tt := range []partsCase{
		{name: "after events for 0.3 s", form: events(300 * time.Millisecond)},
		{name: "after events for 0.7 s", form: events(700 * time.Millisecond)},
		{name: "after events for 1.5 s", form: events(1500 * time.Millisecond)},
		{name: "after events for 3 s", form: events(3 * time.Second)},
		{name: "before the head", form: &runner.FatalForm{After: soon, Stage: runner.FatalBeforeHead}},
		{name: "one run in two", form: &runner.FatalForm{After: soon, One: 2}, duration: 2 * partsDuration},
		{name: "one run in five", form: &runner.FatalForm{After: soon, One: 5}, duration: 2 * partsDuration},
		{name: "at one model", form: &runner.FatalForm{After: soon, Model: "m1"}, elsewhere: true},
		{name: "in use before", form: events(100 * time.Millisecond), used: 8 * time.Second},
		{name: "all daemons are killed", form: &runner.FatalForm{After: soon}, kills: 4 * time.Second, killAll: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.path, tt.runners, tt.prompts, tt.daemons, tt.count = "/gen/x", modelRunner, prompts, 6, 16
			tt.check(t)
		})
	}
}

// TestPromptPartThatCrashesRunnersIsStopped guards against runner after runner crashing under requests that have
// nothing in common but one part of their prompts, and against refusing sound requests that share the other parts.
func TestPromptPartThatCrashesRunnersIsStopped(t *testing.T) {
	for _, tt := range []partsCase{
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
			tt.check(t)
		})
	}
}
