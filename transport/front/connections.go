package front

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
	"primroseward/io/tcp"
	"primroseward/transport/intake"
)

const (
	// headerTimeout and idleTimeout apply while no configuration states others.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// limitMargin is how much longer than the limits a connection is kept. A request that its caller
	// sends within a limit may arrive that much later.
	limitMargin = time.Second
	// sweepInterval is how often connections are compared with the limits.
	sweepInterval = 250 * time.Millisecond
	// maxSweepPause is the longest time between two sweeps after which the second one may close
	// connections. After a longer pause of the process requests may have arrived that have not been read.
	maxSweepPause = 2 * sweepInterval
)

// phase is what a connection waits for.
type phase int64

// Phases of a connection.
const (
	phaseNew     phase = iota // no byte has arrived
	phaseIdle                 // for the next request
	phaseHeaders              // for the rest of the headers
	phaseServing              // for the body or the answer
	phaseClosed               // the limits have closed it
	phaseBits    = 3
)

// connections holds the open connections of callers to the limits of the configuration. A request
// changes only the state of its own connection; the lock is taken as a connection opens or ends, and by
// the sweeps.
type connections struct {
	clock  core.Clock
	scope  tally.Scope
	limits func() core.CallerLimits
	base   time.Time // times in states count from here

	ending atomic.Bool // whether requests that wait are to end

	mu   sync.Mutex
	open map[*callerConn]struct{}
	// forwarded holds the requests in progress that other daemons have passed on.
	forwarded map[*waiting]struct{}
	accepts   bool // whether the listener is open
	lastDone  time.Time
}

func newConnections(clock core.Clock, limits func() core.CallerLimits) *connections {
	return &connections{clock: clock, scope: tally.NoopScope, limits: limits, base: clock.Now(), open: map[*callerConn]struct{}{}, forwarded: map[*waiting]struct{}{}}
}

// listen returns a listener whose connections are held to the limits.
func (s *connections) listen(ln net.Listener) net.Listener {
	s.accepts = true
	s.lastDone = s.clock.Now()
	go s.runSweeps()
	return &callerListener{Listener: ln, conns: s}
}

// runSweeps runs until the listener and all connections are closed.
func (s *connections) runSweeps() {
	for s.sweep() {
		core.Sleep(context.Background(), s.clock, sweepInterval)
	}
}

// sweep closes the connections that are over their limit in the same state as at the sweep before. It
// returns false when there will be no further connections.
func (s *connections) sweep() bool {
	limits := s.limits()
	s.mu.Lock()
	now := s.clock.Now()
	mayClose := now.Sub(s.lastDone) <= maxSweepPause
	s.lastDone = now
	var over []*callerConn
	for c := range s.open {
		state := c.state.Load()
		p, since := state.split()
		switch {
		case now.Sub(s.base)-since <= limitOf(p, limits):
			c.overdue = noState
		case c.overdue != state || !mayClose:
			c.overdue = state
		case c.state.CompareAndSwap(state, s.stateOf(phaseClosed)):
			s.scope.Tagged(map[string]string{"reason": reasons[p]}).Counter("connections_closed").Inc(1)
			over = append(over, c)
		}
	}
	more := s.accepts || len(s.open) > 0
	s.mu.Unlock()
	for _, c := range over {
		_ = c.Close() // fails only if it has ended
	}
	return more
}

// reasons are the values of the metric's tag.
var reasons = map[phase]string{phaseNew: "unused", phaseIdle: "idle", phaseHeaders: "headers"}

// limitOf returns how long a connection may be in a phase.
func limitOf(p phase, limits core.CallerLimits) time.Duration {
	idle, headers := limits.IdleTimeout, limits.HeaderTimeout
	if idle <= 0 {
		idle = idleTimeout
	}
	if headers <= 0 {
		headers = headerTimeout
	}
	switch p {
	case phaseNew:
		return max(idle, headers) + limitMargin
	case phaseIdle:
		return idle + limitMargin
	case phaseHeaders:
		return headers + limitMargin
	}
	return 1<<63 - 1
}

// closeIdle closes the connections on which no byte of a request has been read.
func (s *connections) closeIdle() {
	s.mu.Lock()
	var idle []*callerConn
	for c := range s.open {
		state := c.state.Load()
		if p, _ := state.split(); (p == phaseNew || p == phaseIdle) && c.state.CompareAndSwap(state, s.stateOf(phaseClosed)) {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // fails only if it has ended
	}
}

// endWaiting ends the requests that wait for their body or for their answer to begin, now and from now on.
func (s *connections) endWaiting() {
	s.ending.Store(true)
	s.mu.Lock()
	all := slices.Collect(maps.Keys(s.forwarded))
	for c := range s.open {
		all = append(all, &c.waiting)
	}
	s.mu.Unlock()
	for _, w := range all {
		w.endWaiting()
	}
}

// count returns the number of open connections, and of requests in progress that other daemons have passed on.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + len(s.forwarded)
}

// addForwarded adds a request that another daemon has passed on, until it is removed.
func (s *connections) addForwarded() (w *waiting, remove func()) {
	w = &waiting{conns: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarded[w] = struct{}{}
	return w, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.forwarded, w)
	}
}

// changed is for http.Server.ConnState.
func (s *connections) changed(nc net.Conn, state http.ConnState) {
	if c := asCallerConn(nc); c != nil && state == http.StateIdle {
		c.enter(phaseIdle)
	}
}

// asCallerConn returns the connection of a caller, nil for any other one.
func asCallerConn(nc net.Conn) *callerConn {
	if above, ok := nc.(*intake.Conn); ok {
		nc = above.NetConn()
	}
	c, _ := nc.(*callerConn)
	return c
}

// connState is a phase and the time since which it lasts, in one word, so that a sweep closes no connection
// that has changed meanwhile.
type connState int64

// noState is no state of a connection.
const noState connState = -1

func (s *connections) stateOf(p phase) connState {
	return connState(int64(s.clock.Since(s.base))<<phaseBits | int64(p))
}

func (s connState) split() (phase, time.Duration) {
	return phase(s & (1<<phaseBits - 1)), time.Duration(s >> phaseBits)
}

// callerListener wraps the connections that it accepts.
type callerListener struct {
	net.Listener
	conns *connections
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{TCPConn: nc.(*net.TCPConn), waiting: waiting{conns: l.conns}, overdue: noState}
	c.enter(phaseNew)
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[c] = struct{}{}
	return c, nil
}

// SyscallConn implements syscall.Conn.
func (l *callerListener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Close ends accepting; connections stay open.
func (l *callerListener) Close() error {
	l.conns.mu.Lock()
	l.conns.accepts = false
	l.conns.mu.Unlock()
	return l.Listener.Close()
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	waiting
	state   atomicState
	overdue connState // the state in which the last sweep found it over its limit
}

// waiting is the request in progress on a connection, while it waits for its body or for its answer to begin.
type waiting struct {
	conns *connections
	end   atomic.Pointer[func()] // nil: it does not wait
}

// waitingOf returns what waits for the answer to a request; nil in tests without a connection.
func waitingOf(w http.ResponseWriter, r *http.Request) *waiting {
	if to, ok := w.(*forwardedWriter); ok {
		return to.waiting
	}
	if c := callerConnOf(r); c != nil {
		return &c.waiting
	}
	return nil
}

// endRead makes the read of a request's body fail.
func endRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended, which ends the read too
}

// endReadIn makes the reads of a request's body fail after a time.
func endReadIn(w http.ResponseWriter, d time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d)) // as above
}

// callerConnOf returns the connection of a request, nil if the request was forwarded by another daemon.
func callerConnOf(r *http.Request) *callerConn { return asCallerConn(tcp.ConnOf(r)) }

// wait sets what ends the request in progress while it waits. The returned function ends the wait and reports
// whether the request has been ended.
func (w *waiting) wait(end func()) (done func() bool) {
	if w == nil {
		return func() bool { return false }
	}
	w.end.Store(&end)
	if w.conns.ending.Load() {
		w.endWaiting()
	}
	return func() bool { return w.end.Swap(nil) == nil }
}

func (w *waiting) endWaiting() {
	if end := w.end.Swap(nil); end != nil {
		(*end)()
	}
}

// atomicState is a connState that is read and changed atomically.
type atomicState struct{ v atomic.Int64 }

// Load returns the state.
func (a *atomicState) Load() connState { return connState(a.v.Load()) }

// CompareAndSwap changes the state from one to another.
func (a *atomicState) CompareAndSwap(from, to connState) bool {
	return a.v.CompareAndSwap(int64(from), int64(to))
}

// enter changes the phase, unless the limits have closed the connection.
func (c *callerConn) enter(p phase) {
	for {
		state := c.state.Load()
		if current, _ := state.split(); current == phaseClosed || c.state.CompareAndSwap(state, c.conns.stateOf(p)) {
			return
		}
	}
}

// Read reads from the connection. The first byte begins the time for the headers.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if current, _ := c.state.Load().split(); current == phaseNew || current == phaseIdle {
			c.enter(phaseHeaders)
		}
	}
	return n, err
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.TCPConn.Close()
}
