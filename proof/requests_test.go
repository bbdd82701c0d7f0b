package proof

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	service "primroseward/services/tree"
	"primroseward/standin/engine"
	plain "primroseward/standin/service"
	"primroseward/state/tree"
)

// TestAnswersAndRefusalsAtEveryDaemon checks that each daemon serves both models, streamed or
// not, and that faulty requests get their status and code and the outcome not_run.
func TestAnswersAndRefusalsAtEveryDaemon(t *testing.T) {
	c := startCluster(t, defaultSpec())
	for i, d := range c.daemons {
		for _, stream := range []bool{true, false} {
			r, err := d.chat("m", fmt.Sprint("hello ", i), 10, stream)
			assert.NilError(t, err)
			assert.NilError(t, checkAnswer(r, "m", fmt.Sprint("hello ", i), 10))
		}
		r, err := d.chat("r", "review", 3, false)
		assert.NilError(t, err)
		assert.NilError(t, checkAnswer(r, "r", "review", 3))
		assert.Equal(t, r.dataCentre, "south")
	}
	cases := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"malformed", "POST", "/v1/chat/completions", "{", 400, "malformed_json"},
		{"no model", "POST", "/v1/chat/completions", "{}", 400, "model_missing"},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"x"}`, 404, "unknown_model"},
		{"unknown service", "GET", "/services/x/y", "", 404, "unknown_service"},
		{"unknown path", "GET", "/v2", "", 404, "unknown_path"},
		{"method", "GET", "/v1/chat/completions", "", 405, "method_not_allowed"},
		{"edit as a caller", "PUT", "/admin/tree?path=/", "{}", 404, "unknown_path"},
	}
	for _, tc := range cases {
		r, err := c.daemons[0].send(tc.method, tc.path, tc.body)
		assert.NilError(t, err, tc.name)
		assert.Equal(t, r.status, tc.status, tc.name)
		assert.Equal(t, r.code, tc.code, tc.name)
		assert.Equal(t, r.outcome, "not_run", tc.name)
	}
}

// TestEngineMisbehaves guards against streams that stall, end early, repeat events or
// contain another request's text, when the fault is in the engine or on the path to it: the
// engine cuts the connection in the middle of an answer, stalls it, ends an answer early or
// answers with another request's id. Callers must get their complete answer.
func TestEngineMisbehaves(t *testing.T) {
	c := startCluster(t, defaultSpec())
	cases := []struct {
		name   string
		faults engine.Faults
		stream bool
	}{
		{"cut, stream resumed", engine.Faults{FaultyRequests: 1, CutAfter: 4}, true},
		{"cut, continued elsewhere", engine.Faults{FaultyRequests: 1, CutAfter: 4, NoResume: true}, true},
		{"crossed", engine.Faults{CrossedAnswers: 1}, true},
		{"crossed, not streamed", engine.Faults{CrossedAnswers: 1}, false},
		{"truncated", engine.Faults{TruncatedAnswers: 1, NoResume: true}, true},
		{"truncated, not streamed", engine.Faults{TruncatedAnswers: 1, NoResume: true}, false},
	}
	for _, tc := range cases {
		for _, e := range c.engines {
			e.SetFaults(tc.faults)
		}
		errs := make([]error, 6)
		runConcurrently(len(errs), func(i int) {
			prompt := fmt.Sprint(tc.name, i)
			r, err := c.daemons[i%len(c.daemons)].chat("m", prompt, 12, tc.stream)
			if err == nil {
				err = checkAnswer(r, "m", prompt, 12)
			}
			errs[i] = err
		})
		t.Log(tc.name)
		checkErrors(t, errs)
		for _, e := range c.engines {
			e.SetFaults(engine.Faults{})
		}
	}
}

// TestStalledEngineConnection guards against a caller that waits for ever. After some tokens
// the connection between owner and engine swallows bytes without a reset, so the missing
// data is the only sign of the fault. The stream must continue over a new connection.
func TestStalledEngineConnection(t *testing.T) {
	s := defaultSpec()
	c := startCluster(t, s)
	node := c.root.Children["service/chat"]
	node.Set.StallTimeout = 1e9
	c.applyTree()
	c.awaitReady()
	for _, e := range c.engines {
		e.SetFaults(engine.Faults{FaultyRequests: 1, StallAfter: 5})
	}
	r, err := c.daemons[0].chat("m", "silence", 20, true)
	assert.NilError(t, err)
	assert.NilError(t, checkAnswer(r, "m", "silence", 20))
}

// TestOrderRunsAtMostOnce guards against an order that is run and paid twice. The plain
// service runs the order and then its connection is cut or stalls; an HTTP client on a
// reused connection would send the order again by itself. The service's own log must show
// one run, and the caller must not get the answer that nothing ran.
func TestOrderRunsAtMostOnce(t *testing.T) {
	c := startCluster(t, defaultSpec())
	for i, f := range []plain.Faults{{Cut: 1}, {Cut: 1}, {Cut: 1}} {
		// The lookups leave idle connections, so that the order is sent on a reused one.
		for range 4 {
			_, err := c.daemons[0].send("GET", "/services/parts/x", "")
			assert.NilError(t, err)
		}
		c.services["p1"].SetFaults(f)
		header := []string{}
		if i > 0 {
			header = []string{"Idempotency-Key", fmt.Sprint("cut-", i)}
		}
		path := fmt.Sprint("/orders/", i)
		r, err := c.daemons[i].send("POST", "/services/parts"+path, "belt", header...)
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusBadGateway, r.body)
		assert.Equal(t, r.outcome, "may_have_run")
		if i > 0 {
			for _, d := range c.daemons {
				r, err := d.send("POST", "/services/parts"+path, "belt", header...)
				assert.NilError(t, err)
				assert.Equal(t, r.outcome, "may_have_run", "resend at %s: %d %s", d.name, r.status, r.body)
			}
		}
		assert.Equal(t, c.runsOf(path), 1)
	}
}

// runsOf counts the runs of requests with a path at all plain endpoints.
func (c *cluster) runsOf(path string) int {
	n := 0
	for _, s := range c.services {
		for _, run := range s.Runs() {
			if run.Path == path {
				n++
			}
		}
	}
	return n
}

// TestKeyedOrderAtAllEntriesAtOnce guards against an order that runs twice, or does not run
// although its caller gets the answer that it did, when a caller sends the same key to all
// entries at once and again later. There must be one run, and the same answer for all.
func TestKeyedOrderAtAllEntriesAtOnce(t *testing.T) {
	c := startCluster(t, defaultSpec())
	for round := range 5 {
		path := fmt.Sprint("/orders/at-once-", round)
		got := make([]reply, 9)
		runConcurrently(len(got), func(i int) {
			got[i], _ = c.daemons[i%3].send("POST", "/services/parts"+path, "belt", "Idempotency-Key", path[8:])
		})
		for _, r := range got {
			assert.Equal(t, r.status, http.StatusOK, r.body)
			assert.Equal(t, r.body, got[0].body)
		}
		assert.Equal(t, c.runsOf(path), 1)
	}
	r, err := c.daemons[1].send("POST", "/services/parts/orders/other", "belt", "Idempotency-Key", "at-once-1")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusUnprocessableEntity)
}

// TestEntryKilledDuringOrder guards against an order that runs again after a crash. The
// entry that received it is killed while the service works on it, and the caller sends the
// same key again to the other entries. The claim stands, so no entry sends the order again.
func TestEntryKilledDuringOrder(t *testing.T) {
	c := startCluster(t, defaultSpec())
	c.services["p1"].SetFaults(plain.Faults{Delay: time.Second})
	first := c.daemons[0]
	go func() { _, _ = first.send("POST", "/services/parts/orders/k", "belt", "Idempotency-Key", "k") }()
	c.waitFor("the order runs", 10*time.Second, func() bool { return c.runsOf("/orders/k") == 1 })
	first.kill()
	for _, d := range c.daemons[1:] {
		r, err := d.send("POST", "/services/parts/orders/k", "belt", "Idempotency-Key", "k")
		assert.NilError(t, err)
		assert.Equal(t, r.outcome, "may_have_run", "%d %s", r.status, r.body)
	}
	time.Sleep(2 * time.Second)
	assert.Equal(t, c.runsOf("/orders/k"), 1)
}

// TestKillSuspendAndStopUnderLoad guards against lost answers when VMs come and go. Under
// load through eight daemons, one is killed, one is suspended for a while and one is
// stopped gracefully. Every repeatable request must get its complete answer.
func TestKillSuspendAndStopUnderLoad(t *testing.T) {
	s := defaultSpec()
	s.daemons = 8
	c := startCluster(t, s)
	errs := make([]error, 160)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runConcurrently(16, func(worker int) {
			for i := worker; i < len(errs); i += 16 {
				errs[i] = c.chatWithRetries(i, "m", fmt.Sprint("load ", i), 150, i%2 == 0)
			}
		})
	}()
	time.Sleep(300 * time.Millisecond)
	c.ownerOf("e1").signal(syscall.SIGKILL)
	time.Sleep(time.Second)
	suspended := c.daemons[3]
	suspended.signal(syscall.SIGSTOP)
	c.daemons[5].signal(syscall.SIGTERM)
	time.Sleep(4 * time.Second)
	suspended.signal(syscall.SIGCONT)
	<-done
	checkErrors(t, errs)
	c.waitFor("the stopped daemon has exited", 60*time.Second, c.daemons[5].exited)
	c.checkNoOverCommit()
}

// TestGracefulStopCutsNothing guards against long streams cut by a planned stop. All
// daemons but one are stopped while long streams go through every daemon and callers do not
// retry. No stream may be cut.
func TestGracefulStopCutsNothing(t *testing.T) {
	c := startCluster(t, defaultSpec())
	errs := make([]error, 18)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runConcurrently(len(errs), func(i int) {
			prompt := fmt.Sprint("long ", i)
			r, err := c.daemons[i%3].chat("m", prompt, 3000, true)
			if err == nil {
				err = checkAnswer(r, "m", prompt, 3000)
			}
			errs[i] = err
		})
	}()
	time.Sleep(500 * time.Millisecond)
	c.daemons[0].signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	c.daemons[1].signal(syscall.SIGTERM)
	<-done
	checkErrors(t, errs)
	c.waitFor("both daemons have exited", 60*time.Second, func() bool { return c.daemons[0].exited() && c.daemons[1].exited() })
	r, err := c.daemons[2].chat("m", "after", 5, true)
	assert.NilError(t, err)
	assert.NilError(t, checkAnswer(r, "m", "after", 5))
}

// TestOverloadIsRefusedAtOnce guards against a caller that waits in a queue that cannot
// serve it in time and is refused only at its deadline. When the queue is longer than the
// target of the class allows, the refusal must come at once, be true, and say when to come
// back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	s := defaultSpec()
	for i := range s.engines {
		s.engines[i].cfg.Slots = 1
		s.engines[i].cfg.TokenInterval = 20 * time.Millisecond
	}
	c := startCluster(t, s)
	node := c.root.Children["service/chat"]
	node.Set.Targets = map[string]core.Duration{"normal": core.Duration(time.Second)}
	c.applyTree()
	c.awaitReady()
	took := make([]time.Duration, 40)
	got := make([]reply, len(took))
	runConcurrently(len(got), func(i int) {
		began := time.Now()
		got[i], _ = c.daemons[i%3].chat("m", fmt.Sprint("over ", i), 50, false)
		took[i] = time.Since(began)
	})
	var served, refused int
	var slowestAnswer, slowestRefusal time.Duration
	for i, r := range got {
		if r.status == http.StatusOK {
			served++
			slowestAnswer = max(slowestAnswer, took[i])
			assert.NilError(t, checkAnswer(r, "m", fmt.Sprint("over ", i), 50))
			continue
		}
		refused++
		slowestRefusal = max(slowestRefusal, took[i])
		assert.Equal(t, r.code, "overloaded", r.body)
		assert.Equal(t, r.outcome, "not_run")
		assert.Check(t, r.retryAfter != "")
	}
	assert.Check(t, served > 0 && refused > 0, "%d served, %d refused", served, refused)
	assert.Check(t, slowestRefusal < slowestAnswer, "the last refusal after %s, the last answer after %s", slowestRefusal, slowestAnswer)
}

// TestUnplaceableModelIsReported guards against an operator who cannot find out why a model
// is not served. Each daemon's status must name a model that fits on no runner, with the
// reason, and the other models must be served.
func TestUnplaceableModelIsReported(t *testing.T) {
	c := startCluster(t, defaultSpec())
	c.root.Children["model/huge"] = &tree.Node{Model: &tree.Model{Version: "1", Memory: 70 * gb}}
	c.applyTree()
	for _, d := range c.daemons {
		c.waitFor("the status names the model", 20*time.Second, func() bool {
			var st service.Status
			d.adminCall(http.MethodGet, "/admin/status", nil, &st)
			return len(st.Problems) == 1 && strings.Contains(st.Problems[0], "huge")
		})
	}
	assert.NilError(t, c.chatWithRetries(0, "m", "others", 3, false))
	r, err := c.daemons[0].chat("huge", "x", 3, false)
	assert.NilError(t, err)
	assert.Equal(t, r.outcome, "not_run")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
}
