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

func TestWholePath(t *testing.T) {
	c := start(t, small())
	for i, d := range c.daemons {
		for _, stream := range []bool{true, false} {
			r, err := d.chat("m", fmt.Sprint("hello ", i), 10, stream)
			assert.NilError(t, err)
			assert.NilError(t, right(r, "m", fmt.Sprint("hello ", i), 10))
		}
		r, err := d.chat("r", "review", 3, false)
		assert.NilError(t, err)
		assert.NilError(t, right(r, "r", "review", 3))
		assert.Equal(t, r.place, "south")
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
	for _, one := range cases {
		r, err := c.daemons[0].send(one.method, one.path, one.body)
		assert.NilError(t, err, one.name)
		assert.Equal(t, r.status, one.status, one.name)
		assert.Equal(t, r.code, one.code, one.name)
		assert.Equal(t, r.outcome, "not_run", one.name)
	}
}

// A caller would see a stream stop, end early, repeat itself or carry another
// request's words. The engine cuts the connection in the middle, lets it go
// silent, ends an answer early or answers with another request's id. The cause
// is in the engine or on the way to it; callers get their whole answer.
func TestEngineMisbehaves(t *testing.T) {
	c := start(t, small())
	cases := []struct {
		name   string
		faults engine.Faults
		stream bool
	}{
		{"cut, stream resumed", engine.Faults{Cuts: 1, CutAfter: 4}, true},
		{"cut, continued elsewhere", engine.Faults{Cuts: 1, CutAfter: 4, NoResume: true}, true},
		{"crossed", engine.Faults{Cross: 1}, true},
		{"crossed, not streamed", engine.Faults{Cross: 1}, false},
		{"truncated", engine.Faults{Truncate: 1, NoResume: true}, true},
		{"truncated, not streamed", engine.Faults{Truncate: 1, NoResume: true}, false},
	}
	for _, one := range cases {
		for _, e := range c.engines {
			e.SetFaults(one.faults)
		}
		errs := make([]error, 6)
		each(len(errs), func(i int) {
			prompt := fmt.Sprint(one.name, i)
			r, err := c.daemons[i%len(c.daemons)].chat("m", prompt, 12, one.stream)
			if err == nil {
				err = right(r, "m", prompt, 12)
			}
			errs[i] = err
		})
		t.Log(one.name)
		checkErrors(t, errs)
		for _, e := range c.engines {
			e.SetFaults(engine.Faults{})
		}
	}
}

// A caller would wait for ever. The connection between owner and engine
// swallows bytes without a reset after some tokens; nothing reports it but the
// silence. The stream goes on over a new connection.
func TestSilentEngineConnection(t *testing.T) {
	s := small()
	c := start(t, s)
	set := c.root.Children["service/chat"]
	set.Set.Stall = 1e9
	c.apply()
	c.awaitReady()
	for _, e := range c.engines {
		e.SetFaults(engine.Faults{Cuts: 1, SilentAt: 5})
	}
	r, err := c.daemons[0].chat("m", "silence", 20, true)
	assert.NilError(t, err)
	assert.NilError(t, right(r, "m", "silence", 20))
}

// A farmer would pay for two belts. The plain service runs the order and its
// connection is then cut or goes silent; an HTTP client on a reused connection
// would send it again by itself. The service's own log must show one run, and
// the caller must not be told that nothing ran.
func TestOrderRunsAtMostOnce(t *testing.T) {
	c := start(t, small())
	for i, f := range []plain.Faults{{Cut: 1}, {Cut: 1}, {Cut: 1}} {
		// Reused connections first: lookups leave them idle.
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

// A farmer would get two belts, or none and be told it was ordered. A caller
// sends the same key to all entries at once and again later. One run, and the
// same answer for all.
func TestKeyedOrderAtAllEntriesAtOnce(t *testing.T) {
	c := start(t, small())
	for round := range 5 {
		path := fmt.Sprint("/orders/at-once-", round)
		got := make([]reply, 9)
		each(len(got), func(i int) {
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

// A mechanic's order would be run twice after a crash. The entry that took it
// is killed while the service works on it; the caller resends the same key at
// the other entries. The claim stands, so nobody sends it again.
func TestEntryKilledDuringOrder(t *testing.T) {
	c := start(t, small())
	c.services["p1"].SetFaults(plain.Faults{Delay: time.Second})
	first := c.daemons[0]
	go func() { _, _ = first.send("POST", "/services/parts/orders/k", "belt", "Idempotency-Key", "k") }()
	c.until("the order runs", 10*time.Second, func() bool { return c.runsOf("/orders/k") == 1 })
	first.kill()
	for _, d := range c.daemons[1:] {
		r, err := d.send("POST", "/services/parts/orders/k", "belt", "Idempotency-Key", "k")
		assert.NilError(t, err)
		assert.Equal(t, r.outcome, "may_have_run", "%d %s", r.status, r.body)
	}
	time.Sleep(2 * time.Second)
	assert.Equal(t, c.runsOf("/orders/k"), 1)
}

// Callers would lose answers when VMs come and go. Under load through eight
// daemons one is killed, one is frozen for a while and one is stopped
// gracefully. Every repeatable request gets its whole answer.
func TestKillFreezeAndStopUnderLoad(t *testing.T) {
	s := small()
	s.daemons = 8
	c := start(t, s)
	errs := make([]error, 160)
	done := make(chan struct{})
	go func() {
		defer close(done)
		each(16, func(worker int) {
			for i := worker; i < len(errs); i += 16 {
				errs[i] = c.insist(i, "m", fmt.Sprint("load ", i), 150, i%2 == 0)
			}
		})
	}()
	time.Sleep(300 * time.Millisecond)
	c.owner("e1").signal(syscall.SIGKILL)
	time.Sleep(time.Second)
	frozen := c.daemons[3]
	frozen.signal(syscall.SIGSTOP)
	c.daemons[5].signal(syscall.SIGTERM)
	time.Sleep(4 * time.Second)
	frozen.signal(syscall.SIGCONT)
	<-done
	checkErrors(t, errs)
	c.until("the stopped daemon has ended", 60*time.Second, c.daemons[5].stopped)
	c.noOverCommit()
}

// Callers would see long streams cut by a planned stop. All daemons but one are
// stopped while long streams go through every daemon; callers do not retry.
// None is cut.
func TestGracefulStopCutsNothing(t *testing.T) {
	c := start(t, small())
	errs := make([]error, 18)
	done := make(chan struct{})
	go func() {
		defer close(done)
		each(len(errs), func(i int) {
			prompt := fmt.Sprint("long ", i)
			r, err := c.daemons[i%3].chat("m", prompt, 3000, true)
			if err == nil {
				err = right(r, "m", prompt, 3000)
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
	c.until("both have ended", 60*time.Second, func() bool { return c.daemons[0].stopped() && c.daemons[1].stopped() })
	r, err := c.daemons[2].chat("m", "after", 5, true)
	assert.NilError(t, err)
	assert.NilError(t, right(r, "m", "after", 5))
}

// A caller waits in a queue that cannot serve it in time, and is told so only
// at its deadline. When the queue is longer than the class's target allows, the
// refusal comes at once, is true, and says when to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	s := small()
	for i := range s.engines {
		s.engines[i].cfg.Slots = 1
		s.engines[i].cfg.Token = 20 * time.Millisecond
	}
	c := start(t, s)
	node := c.root.Children["service/chat"]
	node.Set.Targets = map[string]core.Duration{"normal": core.Duration(time.Second)}
	c.apply()
	c.awaitReady()
	took := make([]time.Duration, 40)
	got := make([]reply, len(took))
	each(len(got), func(i int) {
		began := time.Now()
		got[i], _ = c.daemons[i%3].chat("m", fmt.Sprint("over ", i), 50, false)
		took[i] = time.Since(began)
	})
	var served, refused int
	var slowest, latest time.Duration
	for i, r := range got {
		if r.status == http.StatusOK {
			served++
			slowest = max(slowest, took[i])
			assert.NilError(t, right(r, "m", fmt.Sprint("over ", i), 50))
			continue
		}
		refused++
		latest = max(latest, took[i])
		assert.Equal(t, r.code, "overloaded", r.body)
		assert.Equal(t, r.outcome, "not_run")
		assert.Check(t, r.retry != "")
	}
	assert.Check(t, served > 0 && refused > 0, "%d served, %d refused", served, refused)
	assert.Check(t, latest < slowest, "the last refusal after %s, the last answer after %s", latest, slowest)
}

// An operator cannot tell why a model is not served. A model that fits on no
// runner is named, with the reason, whichever daemon is asked; the others are
// served.
func TestUnplaceableModelIsNamed(t *testing.T) {
	c := start(t, small())
	c.root.Children["model/huge"] = &tree.Node{Model: &tree.Model{Version: "1", Memory: 70 * gb}}
	c.apply()
	for _, d := range c.daemons {
		c.until("the model is named", 20*time.Second, func() bool {
			var st service.Status
			d.adminCall(http.MethodGet, "/admin/status", nil, &st)
			return len(st.Problems) == 1 && strings.Contains(st.Problems[0], "huge")
		})
	}
	assert.NilError(t, c.insist(0, "m", "others", 3, false))
	r, err := c.daemons[0].chat("huge", "x", 3, false)
	assert.NilError(t, err)
	assert.Equal(t, r.outcome, "not_run")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
}
