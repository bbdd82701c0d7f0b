package proof

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/services/holds"
	"primroseward/state/tree"
)

// crashingEndpoint is an endpoint whose process exits under a fatal request, which closes
// all its connections, and starts again at its address endpointRestartDelay later.
type crashingEndpoint struct {
	http.Handler
	addr string

	mu        sync.Mutex
	srv       *http.Server
	fatalRuns int // runs of fatal requests
	testEnded bool
}

// endpointRestartDelay is the time from the exit of an endpoint to its restart.
const endpointRestartDelay = 300 * time.Millisecond

func newCrashingEndpoint(t *testing.T, h http.Handler) *crashingEndpoint {
	t.Helper()
	m := &crashingEndpoint{Handler: h, addr: freePort(t)}
	m.start()
	t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.testEnded = true
		_ = m.srv.Close()
	})
	return m
}

func (m *crashingEndpoint) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	ln, err := net.Listen("tcp", m.addr)
	if m.testEnded || err != nil {
		return // the test has ended, or the address is taken and the endpoint stays unreachable
	}
	m.srv = &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Second}
	go m.run(m.srv, ln)
}

func (m *crashingEndpoint) run(srv *http.Server, ln net.Listener) {
	_ = srv.Serve(ln) // returns when the server is closed
}

func (m *crashingEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !strings.Contains(string(body), fatalBody) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		m.Handler.ServeHTTP(w, r)
		return
	}
	m.mu.Lock()
	m.fatalRuns++
	_ = m.srv.Close()
	m.mu.Unlock()
	time.AfterFunc(endpointRestartDelay, m.start)
	panic(http.ErrAbortHandler)
}

// crashingEndpoints are all endpoints of a cluster.
type crashingEndpoints struct{ list []*crashingEndpoint }

// startCrashingCluster starts a cluster whose endpoints exit under fatal requests.
func startCrashingCluster(t *testing.T) (*cluster, *crashingEndpoints) {
	t.Helper()
	endpoints := &crashingEndpoints{}
	s := defaultSpec()
	s.serve = func(h http.Handler) string {
		m := newCrashingEndpoint(t, h)
		endpoints.list = append(endpoints.list, m)
		return m.addr
	}
	return startCluster(t, s), endpoints
}

// fatalRuns counts the runs of fatal requests at all endpoints.
func (endpoints *crashingEndpoints) fatalRuns() int {
	n := 0
	for _, m := range endpoints.list {
		m.mu.Lock()
		n += m.fatalRuns
		m.mu.Unlock()
	}
	return n
}

// TestNativeInterfaceStopsRequestsThatCrashEndpoints guards against a request of the native
// interface that makes each endpoint that begins to run it exit, whichever daemon it is
// sent to and under whichever id.
func TestNativeInterfaceStopsRequestsThatCrashEndpoints(t *testing.T) {
	c, endpoints := startCrashingCluster(t)
	fatalRuns := endpoints.fatalRuns
	send := func(duration time.Duration) {
		for end, i := time.Now().Add(duration), 0; time.Now().Before(end); i++ {
			_, _ = c.daemons[i%len(c.daemons)].chat("m", fatalBody, 5, true) // any outcome is allowed
			time.Sleep(callerRetryInterval)
		}
	}
	for fatalRuns() < maxCrashes {
		send(callerRetryInterval)
	}
	send(settleTime)
	before := fatalRuns()
	send(3 * time.Second)
	after := fatalRuns()
	t.Logf("%d more runs, %d in all", after-before, after)
	assert.Assert(t, after-before <= maxLateRuns, "%d more runs, %d in all", after-before, after)
	for _, d := range c.daemons {
		var list []holds.Status
		assert.Equal(t, d.adminCall(http.MethodGet, "/admin/holds", nil, &list), http.StatusOK)
		assert.Equal(t, len(list), 1, "%s", d.name)
		assert.Equal(t, list[0].Service, "chat")
	}
	got, err := c.daemons[0].chat("m", "harmless", 5, true)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestNativeInterfaceAnswersHeldKeysTruthfully guards against an order that is run and paid
// twice. An order with a key makes its endpoint exit, orders like it are then held back,
// and its caller sends the key again at another daemon and gets the answer that the order
// has not run, so it orders again. The record of a key takes precedence over the quarantine, at
// each daemon. An order with a new key is refused at once, and that key may be used again.
func TestNativeInterfaceAnswersHeldKeysTruthfully(t *testing.T) {
	c, endpoints := startCrashingCluster(t)
	order := func(d *daemon, key string) reply {
		r, err := d.send(http.MethodPost, "/services/parts/orders/1", fatalBody, "Idempotency-Key", key)
		assert.NilError(t, err)
		return r
	}
	first := order(c.daemons[0], "first")
	assert.Equal(t, first.outcome, "may_have_run", first.body)
	for i := 0; endpoints.fatalRuns() < maxCrashes; i++ {
		order(c.daemons[i%len(c.daemons)], fmt.Sprint("next-", i))
		time.Sleep(callerRetryInterval)
	}
	c.waitFor("the order is held back at all daemons", settleTime*2, func() bool {
		for _, d := range c.daemons {
			var list []holds.Status
			if d.adminCall(http.MethodGet, "/admin/holds", nil, &list) != http.StatusOK || len(list) != 1 {
				return false
			}
		}
		return true
	})
	for _, d := range c.daemons {
		got := order(d, "first")
		assert.Equal(t, got.outcome, "may_have_run", "%s: %d %s", d.name, got.status, got.body)
	}
	before := endpoints.fatalRuns()
	for _, d := range c.daemons {
		got := order(d, "last")
		assert.Equal(t, got.outcome, "not_run", "%s: %d %s", d.name, got.status, got.body)
		assert.Equal(t, got.code, core.CodeHeld)
		assert.Assert(t, got.retryAfter != "")
	}
	assert.Equal(t, endpoints.fatalRuns(), before)
}

const (
	// maxLoads bounds the loads of a model that makes endpoints exit: three until it is
	// recognised, two in progress then, and one after its first hold expires.
	maxLoads      = 3 + 2 + 1
	loadWatchTime = 20 * time.Second
)

// TestNativeInterfaceStopsLoadsThatCrashEndpoints guards against a model with broken weights
// that makes endpoints exit again and again. Each endpoint that is ordered to load it exits
// and loses all models that it has. The model was ordered again as soon as an endpoint was
// back, because the record of the order allows it to be sent again.
func TestNativeInterfaceStopsLoadsThatCrashEndpoints(t *testing.T) {
	c, endpoints := startCrashingCluster(t)
	c.root.Children["service/chat"].Children["model/"+fatalBody] = &tree.Node{Model: &tree.Model{Version: "1", Memory: 14 * gb}}
	c.applyTree()
	time.Sleep(loadWatchTime)
	n := endpoints.fatalRuns()
	t.Logf("%d loads", n)
	assert.Assert(t, n >= maxCrashes && n <= maxLoads, "%d loads", n)
	c.waitFor("the other models are ready again", settleTime*5, func() bool { return c.hasReplicas("m", 1) && c.hasReplicas("r", 1) })
	got, err := c.daemons[0].chat("m", "harmless", 5, true)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}
