package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed")

// guardConn knows whether a call has written to it. A call that failed may be
// reported as not run only if no byte of it can have left. The transport's own
// error does not tell: it may fail a call while its writer is about to write.
// Sealing under the same lock that writes take makes the answer final.
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

// begin forgets the writes of the call that used the connection before.
func (c *guardConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal refuses all later writes and says whether there was one before.
func (c *guardConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
	return c.wrote
}

// usage collects the connections that one call was given.
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

// seal seals all of them and says whether any byte was written.
func (u *usage) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wrote := false
	for _, c := range u.conns {
		wrote = c.seal() || wrote
	}
	return wrote
}
