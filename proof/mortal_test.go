package proof

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mortal is an endpoint whose process ends under a fatal request, with all of its
// connections, and is back at its address a moment later.
type mortal struct {
	http.Handler
	addr string

	mu   sync.Mutex
	srv  *http.Server
	runs int // of fatal requests
	over bool
}

// mortalBack is how long an endpoint stays away.
const mortalBack = 300 * time.Millisecond

func newMortal(t *testing.T, h http.Handler) *mortal {
	t.Helper()
	m := &mortal{Handler: h, addr: freePort(t)}
	m.start()
	t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.over = true
		_ = m.srv.Close()
	})
	return m
}

func (m *mortal) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	ln, err := net.Listen("tcp", m.addr)
	if m.over || err != nil {
		return // the test has ended, or its daemons find the endpoint away
	}
	m.srv = &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Second}
	go m.run(m.srv, ln)
}

func (m *mortal) run(srv *http.Server, ln net.Listener) {
	_ = srv.Serve(ln) // until it is closed
}

func (m *mortal) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !strings.Contains(string(body), fatal) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		m.Handler.ServeHTTP(w, r)
		return
	}
	m.mu.Lock()
	m.runs++
	_ = m.srv.Close()
	m.mu.Unlock()
	time.AfterFunc(mortalBack, m.start)
	panic(http.ErrAbortHandler)
}

// The product's own interface: a caller's request ends each endpoint that begins to run
// it. It comes again under new keys and ids, at any daemon, and each takes it for a new
// one, as on the platform before requests were held back there: the entry's and the
// owner's path has no memory of what an endpoint ended under.
func TestOwnInterfaceStopsRequestsThatEndEndpoints(t *testing.T) {
	var all []*mortal
	s := small()
	s.serve = func(h http.Handler) string {
		m := newMortal(t, h)
		all = append(all, m)
		return m.addr
	}
	c := start(t, s)
	runs := func() int {
		n := 0
		for _, m := range all {
			m.mu.Lock()
			n += m.runs
			m.mu.Unlock()
		}
		return n
	}
	send := func(long time.Duration) {
		for end, i := time.Now().Add(long), 0; time.Now().Before(end); i++ {
			_, _ = c.daemons[i%len(c.daemons)].chat("m", fatal, 5, true) // whatever it is told
			time.Sleep(returnGap)
		}
	}
	for runs() < crashesBorne {
		send(returnGap)
	}
	send(settleTime)
	before := runs()
	send(3 * time.Second)
	after := runs()
	assert.Assert(t, after-before <= retriesBorne, "%d more runs, %d in all", after-before, after)
}
