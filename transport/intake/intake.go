// Package intake bounds what the clients of all listeners hold of a daemon: descriptors, and memory for heads and
// bodies. Where a bound is reached, the connections that have made the least progress are closed first; a request that
// has arrived whole is never ended. docs/design/0027-clients.md explains the design.
package intake

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/io/retain"
)

const (
	// stallTime is how long a client may make no progress before its connection is closed to make room.
	stallTime = 250 * time.Millisecond
	// slowTime is how long a request may make progress without becoming whole before its connection is closed to make
	// room.
	slowTime = time.Second
	// reclaimTimeout is how long a request waits until a connection that was closed has released its memory.
	reclaimTimeout = time.Second
	// checkInterval is how often connections are compared with the time limits.
	checkInterval = time.Second
	// progressBytes is the number of bytes of a body that count as progress.
	progressBytes = 4 << 10
	// reservedShare is the memory that is reserved for a listener, as a share of Limits.Memory.
	reservedShare = 0.03
	// maxReserved is the largest head for which the reserve may be used, in bytes of its cost.
	maxReserved = 64 << 10
	// idleTimeout applies to listeners that state no other one.
	idleTimeout = 2 * time.Minute
)

// Limits are the bounds over all connections.
type Limits struct {
	Memory      int64         // bytes for heads and bodies of the requests in progress; 0: no bound
	Connections int           // open connections of callers; 0: no bound
	Unread      int           // receive buffer of a connection in bytes; 0: as the system sets it
	Sender      time.Duration // longest time without progress of a body; 0: no bound
	Reader      time.Duration // longest time in which a client reads nothing of its answer; 0: no bound
}

// Shares of listeners other than that of callers, in relation to it.
const (
	PeerShare      = 0.2
	DirectoryShare = 0.12
	SmallShare     = 0.04
)

// Port describes a listener.
type Port struct {
	Name string
	// Share is the number of connections as a share of Limits.Connections.
	Share float64
	// HeadLimit is the largest size of a head in bytes, 0: 64 KiB. HeadLimitNow returns it where it changes.
	HeadLimit    int
	HeadLimitNow func() int
	// HeadTimeout is the longest time from the first byte of a head to its last one; 0: the owner of the listener
	// enforces one.
	HeadTimeout time.Duration
	// Reserved is set for listeners on which requests are served while those of callers take up all memory.
	Reserved bool
	// Multiplexed is set for HTTP/2, whose connections are only counted.
	Multiplexed bool
	// WriteError answers with a refusal; nil: with its text.
	WriteError func(w http.ResponseWriter, e *core.RequestError)
	// Refused is called with each refusal by the Intake; nil: nothing.
	Refused func(e *core.RequestError)
}

// Intake holds the connections of all listeners to the limits.
type Intake struct {
	limits Limits
	clock  core.Clock
	log    *zap.Logger
	scope  tally.Scope
	budget *retain.Budget
	checks sync.Once

	mu     sync.Mutex
	ports  []*port
	closed map[string]int // connections closed since the last log line, by reason
	line   logs.Throttle
}

// port is a listener with its connections. Those of a list are ordered by their last progress.
type port struct {
	Port
	max     int            // connections; 0: no bound
	reserve *retain.Budget // taken before the memory for all; nil: none
	open    int
	idle    list // no byte of a request has been read
	partial list // a part of a request has been read
	closing list // refused, the client may still read why
}

// headLimit returns the largest size of a head in bytes.
func (p *Port) headLimit() int {
	switch {
	case p.HeadLimitNow != nil:
		return p.HeadLimitNow()
	case p.HeadLimit > 0:
		return p.HeadLimit
	}
	return defaultHeadLimit
}

// Option configures an Intake.
type Option func(*Intake)

// WithScope sets the scope in which closed connections are counted.
func WithScope(s tally.Scope) Option { return func(i *Intake) { i.scope = s } }

// New returns an Intake.
func New(limits Limits, clock core.Clock, log *zap.Logger, opts ...Option) *Intake {
	i := &Intake{limits: limits, clock: clock, log: log, scope: tally.NoopScope, closed: map[string]int{}}
	if limits.Memory > 0 {
		i.budget = retain.New(limits.Memory, retain.WithReclaim(i.reclaim))
	}
	for _, o := range opts {
		o(i)
	}
	return i
}

// Budget returns the budget for heads and bodies; nil: no bound.
func (i *Intake) Budget() *retain.Budget { return i.budget }

// Attach prepares a server that serves a listener of Listen.
func (i *Intake) Attach(s *http.Server) {
	former := s.ConnState
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*Conn); ok && state == http.StateIdle {
			c.next()
		}
		if former != nil {
			former(nc, state)
		}
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = idleTimeout
	}
	if s.ReadHeaderTimeout == 0 {
		s.ReadHeaderTimeout = s.IdleTimeout // for the first request on a connection
	}
}

// Listen returns a listener whose connections are held to the limits. The connections of ln must be TCP connections.
func (i *Intake) Listen(ln net.Listener, p Port) net.Listener {
	added := i.addPort(p)
	if i.limits.Connections > 0 {
		added.max = max(minConnections, int(p.Share*float64(i.limits.Connections)))
	}
	setReceiveBuffer(ln, i.limits.Unread)
	l := &listener{Listener: ln, intake: i, port: added, done: make(chan struct{})}
	if i.limits != (Limits{}) {
		i.checks.Do(func() { go i.run(l.done) })
	}
	return l
}

func (i *Intake) addPort(p Port) *port {
	added := &port{Port: p}
	if p.Reserved && i.limits.Memory > 0 {
		added.reserve = retain.New(int64(reservedShare * float64(i.limits.Memory)))
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ports = append(i.ports, added)
	return added
}

// minConnections is the least number of connections of a listener.
const minConnections = 8

// setReceiveBuffer sets the receive buffer of the connections that a listener will accept.
func setReceiveBuffer(ln net.Listener, size int) {
	sc, ok := ln.(syscall.Conn)
	if !ok || size <= 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) // the system's size stays in use otherwise
	})
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	intake *Intake
	port   *port
	once   sync.Once
	done   chan struct{}
}

// Accept waits for the next connection. Where there is no room for it, another one is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) && l.intake.makeRoom(l.port) {
				continue
			}
			return nil, err
		}
		c := newConn(nc.(socket), l.intake, l.port)
		if l.intake.admit(c) {
			return c, nil
		}
		_ = nc.Close() // nothing has been read: the client may try elsewhere
	}
}

// Close ends accepting; connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// admit adds a new connection. It returns false if there is no room, and none can be made.
func (i *Intake) admit(c *Conn) bool {
	p := c.port
	i.mu.Lock()
	full := p.max > 0 && p.open >= p.max
	i.mu.Unlock()
	if full && !i.makeRoom(p) {
		i.count(reasonFull)
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	p.open++
	i.enter(c, phaseIdle)
	return true
}

// makeRoom closes the connection of a port that has made the least progress. It returns false if all serve requests.
func (i *Intake) makeRoom(p *port) bool {
	i.mu.Lock()
	c := p.leastActive(i.clock.Now())
	if c != nil {
		i.enter(c, phaseClosed)
	}
	i.mu.Unlock()
	if c == nil {
		return false
	}
	i.count(reasonConnections)
	c.abort()
	return true
}

// leastActive returns the connection to close first, nil if all serve requests.
func (p *port) leastActive(now time.Time) *Conn {
	if c := p.closing.first; c != nil {
		return c
	}
	partial, idle := p.partial.first, p.idle.first
	if partial != nil && (idle == nil || now.Sub(partial.progress) >= stallTime || partial.progress.Before(idle.progress)) {
		return partial
	}
	return idle
}

// stalled returns the connection whose request is not whole and has made no progress for the longest time, nil if all
// make some.
func (i *Intake) stalled(now time.Time) (found *Conn) {
	for _, p := range i.ports {
		if c := p.partial.first; c != nil && now.Sub(c.progress) >= stallTime && (found == nil || c.progress.Before(found.progress)) {
			found = c
		}
	}
	return found
}

// oldest returns the connection whose request is not whole although it began long ago, nil if there is none.
func (i *Intake) oldest(now time.Time) (found *Conn) {
	for _, p := range i.ports {
		for c := p.partial.first; c != nil; c = c.following {
			if now.Sub(c.began) >= slowTime && (found == nil || c.began.Before(found.began)) {
				found = c
			}
		}
	}
	return found
}

// reclaim closes the connection of a request that is not whole, and waits until it has released its memory: one that
// has made no progress, or else the one that began first. It returns false if there is none.
func (i *Intake) reclaim() bool {
	now := i.clock.Now()
	i.mu.Lock()
	victim := i.stalled(now)
	if victim == nil {
		victim = i.oldest(now)
	}
	if victim == nil {
		i.mu.Unlock()
		return false
	}
	i.enter(victim, phaseClosed)
	released := make(chan struct{})
	victim.released = released
	i.mu.Unlock()
	i.count(reasonMemory)
	victim.abort()
	select {
	case <-released:
	case <-i.clock.After(reclaimTimeout):
	}
	return true
}

// Reasons for which connections are closed, the values of the metric's tag.
const (
	reasonConnections = "connections" // to make room for another connection
	reasonFull        = "full"        // a new one, as all others serve requests
	reasonMemory      = "memory"      // to make room for another request's memory
	reasonHead        = "head"        // its head took too long
	reasonBody        = "body"        // its body made no progress
)

// count counts a connection that is closed, and logs it at most once per interval.
func (i *Intake) count(reason string) {
	i.scope.Tagged(map[string]string{"reason": reason}).Counter("connections_shed").Inc(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed[reason]++
	if !i.line.Allow(i.clock.Now()) {
		return
	}
	open, used := 0, int64(0)
	for _, p := range i.ports {
		open += p.open
	}
	if i.budget != nil {
		used = i.budget.Used()
	}
	i.log.Warn(logs.ConnectionsShed, zap.Any("closed", i.closed), zap.Int("open", open), zap.Int64("held", used), zap.Int64("memory", i.limits.Memory))
	clear(i.closed)
}

// run enforces the time limits until the first listener is closed.
func (i *Intake) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-i.clock.After(checkInterval):
			i.check()
		}
	}
}

// check closes the connections whose head or body is late.
func (i *Intake) check() {
	now := i.clock.Now()
	var late []*Conn
	i.mu.Lock()
	for _, p := range i.ports {
		for c := p.partial.first; c != nil; {
			following := c.following
			limit := i.limits.Sender
			if c.phase == phaseHead {
				limit = p.HeadTimeout
			}
			if limit > 0 && now.Sub(c.progress) > limit {
				c.late = reasonBody
				if c.phase == phaseHead {
					c.late = reasonHead
				}
				i.enter(c, phaseClosed)
				late = append(late, c)
			}
			c = following
		}
	}
	i.mu.Unlock()
	for _, c := range late {
		i.count(c.late)
		c.abort()
	}
}
