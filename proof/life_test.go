package proof

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/standin/engine"
	"primroseward/standin/fuzz"
	"primroseward/standin/platform"
	plain "primroseward/standin/service"
)

const (
	stepPause = 40 * time.Millisecond
	killPause = 3 * time.Second
)

// faultMachine sends requests to one cluster, injects faults and records the answer to each
// caller.
type faultMachine struct {
	c         *cluster
	mu        sync.Mutex
	keyBase   int64 // makes the keys of each rapid sequence unique
	n         int
	answers   map[string][]reply // by order path
	sent      map[string]int     // requests by order path, including those without an answer
	errs      []string
	suspended *daemon
	lastKill  time.Time
	counts    map[string]int
	wg        sync.WaitGroup
}

func (m *faultMachine) next() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n++
	return m.n
}

func (m *faultMachine) recordError(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.errs = append(m.errs, fmt.Sprintf(format, args...))
}

// chat sends a repeatable request. A complete answer must be the right one; an error is
// allowed, since the caller can send the request again.
func (m *faultMachine) chat(d *daemon, stream bool) {
	defer m.wg.Done()
	prompt := fmt.Sprintf("life %d-%d", m.keyBase, m.next())
	r, err := d.chat("m", prompt, 30, stream)
	if err != nil || r.status != http.StatusOK {
		return
	}
	if err := checkAnswer(r, "m", prompt, 30); err != nil {
		m.recordError("%s: %v", prompt, err)
	}
}

// order sends an order that is not repeatable, with an idempotency key if key is not empty.
func (m *faultMachine) order(d *daemon, path, key string) {
	defer m.wg.Done()
	m.mu.Lock()
	m.sent[path]++
	m.mu.Unlock()
	var header []string
	if key != "" {
		header = []string{"Idempotency-Key", key}
	}
	r, err := d.send("POST", "/services/parts"+path, "belt", header...)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.answers[path] = append(m.answers[path], r)
	}
}

func (m *faultMachine) spawn(fn func()) {
	m.wg.Add(1)
	go fn()
}

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	entry := func(t *rapid.T) *daemon {
		return m.c.daemons[rapid.IntRange(0, len(m.c.daemons)-1).Draw(t, "entry")]
	}
	keyed := func(t *rapid.T) {
		path := fmt.Sprintf("/orders/keyed-%d-%d", m.keyBase, rapid.IntRange(1, 12).Draw(t, "key"))
		d := entry(t)
		m.spawn(func() { m.order(d, path, path[8:]) })
	}
	chat := func(t *rapid.T) {
		d, stream := entry(t), rapid.Bool().Draw(t, "stream")
		m.spawn(func() { m.chat(d, stream) })
	}
	return map[string]func(*rapid.T){
		"":     func(*rapid.T) { time.Sleep(stepPause) },
		"chat": chat, "chat too": chat, "keyed order": keyed, "keyed order too": keyed,
		"order": func(t *rapid.T) {
			d := entry(t)
			path := fmt.Sprintf("/orders/once-%d-%d", m.keyBase, m.next())
			m.spawn(func() { m.order(d, path, "") })
		},
		"break engine": func(t *rapid.T) {
			f := engine.Faults{FaultyRequests: 1, CutAfter: 3, NoResume: rapid.Bool().Draw(t, "no resume")}
			if rapid.Bool().Draw(t, "crossed") {
				f = engine.Faults{CrossedAnswers: 1}
			}
			m.c.engines["e1"].SetFaults(f)
		},
		"break service": func(t *rapid.T) {
			m.c.services["p1"].SetFaults(plain.Faults{Cut: rapid.IntRange(0, 1).Draw(t, "cut"), Delay: 100 * time.Millisecond})
		},
		"platform": func(t *rapid.T) {
			m.c.platform.SetFaults(platform.Faults{
				Down:       rapid.IntRange(0, 3).Draw(t, "down") == 0,
				LoseWrites: rapid.IntRange(0, 3).Draw(t, "lost answers"),
				Delay:      rapid.IntRange(0, 30).Draw(t, "delay"),
			})
		},
		"kill": func(t *rapid.T) {
			d := entry(t)
			if time.Since(m.lastKill) < killPause {
				t.Skip("the last killed daemon may still be starting")
			}
			m.lastKill = time.Now()
			if d == m.suspended {
				m.suspended = nil
			}
			d.kill()
			d.start()
		},
		"freeze": func(t *rapid.T) {
			if m.suspended != nil {
				t.Skip("a daemon is suspended already")
			}
			m.suspended = entry(t)
			m.suspended.signal(syscall.SIGSTOP)
		},
		"thaw": func(t *rapid.T) {
			if m.suspended == nil {
				t.Skip("no daemon is suspended")
			}
			m.suspended.signal(syscall.SIGCONT)
			m.suspended = nil
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(50, 700).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// clearFaults ends all faults and waits for the callers.
func (m *faultMachine) clearFaults() {
	if m.suspended != nil {
		m.suspended.signal(syscall.SIGCONT)
		m.suspended = nil
	}
	m.c.platform.SetFaults(platform.Faults{})
	m.c.engines["e1"].SetFaults(engine.Faults{})
	m.c.services["p1"].SetFaults(plain.Faults{})
	m.wg.Wait()
}

// checkOrders compares the answers to callers with what the service has run.
func (m *faultMachine) checkOrders(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.errs {
		t.Errorf("wrong answer: %s", w)
	}
	for path, replies := range m.answers {
		m.countAnswers(replies)
		runs := m.c.runsOf(path)
		if runs > 1 {
			t.Errorf("%s ran %d times", path, runs)
		}
		refused := 0
		for _, r := range replies {
			if r.status == http.StatusOK && runs != 1 {
				t.Errorf("%s was answered with 200 but ran %d times", path, runs)
			}
			if r.outcome == "not_run" {
				refused++
			}
		}
		if refused == len(replies) && m.sent[path] == len(replies) && runs > 0 {
			t.Errorf("%s was refused as not run but ran", path)
		}
	}
}

// countAnswers counts answers by status and code.
func (m *faultMachine) countAnswers(replies []reply) {
	for _, r := range replies {
		m.counts[fmt.Sprintf("%d %s", r.status, r.code)]++
	}
}

// TestLifeOfRequests guards against false answers to callers when faults coincide: daemons
// are killed, suspended and resumed, the platform is down or loses answers, endpoints cut
// and cross answers, and the same keys are sent through several entries. In every sequence
// of events a complete answer is the right one, no order runs twice, and an order that was
// refused as not run has not run.
func TestLifeOfRequests(t *testing.T) {
	outer := t
	fuzz.FixSeeds(7, 3, 200)
	_ = flag.Set("rapid.shrinktime", "1s")
	s := defaultSpec()
	s.daemons = 4
	c := startCluster(t, s)
	rapid.Check(t, func(t *rapid.T) {
		m := &faultMachine{c: c, answers: map[string][]reply{}, sent: map[string]int{}, counts: map[string]int{}, keyBase: time.Now().UnixNano()}
		t.Repeat(m.actions())
		m.clearFaults()
		m.checkOrders(t)
		outer.Logf("orders: %v", m.counts)
		c.checkNoOverCommit()
	})
	assert.NilError(t, c.chatWithRetries(0, "m", "after all", 5, true))
}
