package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed")

// guardConn records whether the current call has written to it. A failed call may be
// reported as not run only if no byte of it can have been sent. The transport's error
// does not show that: the transport may fail a call while its writer goroutine is
// about to write. seal takes the same lock as Write, so no write can follow its result.
type guardConn struct {
	net.Conn
	mu     sync.Mutex
	sealed bool
	wrote  bool
}

func (c *guardConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// begin starts a new call on the connection and clears the record of earlier writes.
func (c *guardConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal makes all later writes fail and reports whether the call has written before.
func (c *guardConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
	return c.wrote
}

// usage collects the connections that the transport has used for one call.
type usage struct {
	mu    sync.Mutex
	conns []*guardConn
}

func (u *usage) add(conn net.Conn) {
	g, ok := conn.(*guardConn)
	if !ok {
		return
	}
	g.begin()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, g)
}

// seal seals all connections and reports whether the call has written to any of them.
func (u *usage) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wrote := false
	for _, c := range u.conns {
		wrote = c.seal() || wrote
	}
	return wrote
}
