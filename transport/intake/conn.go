package intake

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstBuffer is the first size of the buffer for a head that arrives in several parts, in bytes.
	firstBuffer = 4 << 10
	// defaultHeadLimit applies to listeners that state no other one, in bytes.
	defaultHeadLimit = 64 << 10
)

// errFraming is returned where the server reads past the end of a request, so that it is not known where the next one begins.
var errFraming = errors.New("the request ends elsewhere than expected")

// socket is what a Conn needs of a TCP connection.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// Conn is a connection of a client. It hands on a head to the server only when it has arrived whole and there is room
// for what the server makes of it, and nothing of the next request before the server asks for it.
type Conn struct {
	socket
	stop   io.Closer // the socket, or what ends the read of a call
	intake *Intake
	port   *port

	// Of the list, guarded by the lock of the Intake.
	phase                phase
	progress             time.Time
	began                time.Time // first byte of the request
	in                   *list
	preceding, following *Conn
	released             chan struct{} // closed as the memory is released; nil: nobody waits
	late                 string

	// Of the goroutine that reads.
	buf       []byte // what has been read and not been handed on
	head      head
	left      int // bytes of the head that are to be handed on
	inRequest bool
	bodyLeft  int64
	chunks    chunks
	early     bool // the first byte of the next head has been handed on
	unnoted   int  // bytes of progress
	mismatch  bool // it is not known where the next request begins

	charged    atomic.Int64
	reserved   atomic.Int64 // charged to the reserve of the port
	writeUntil time.Time
	closed     atomic.Bool
}

func newConn(s socket, i *Intake, p *port) *Conn {
	return &Conn{socket: s, stop: s, intake: i, port: p}
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.socket }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.port.Multiplexed || len(p) == 0:
		return c.readMultiplexed(p)
	case c.left > 0:
		return c.handOnHead(p), nil
	case c.inRequest:
		return c.readBody(p)
	}
	return c.readHead(p)
}

// readHead waits for a whole head and hands on its first part.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.mismatch {
		return 0, errFraming
	}
	limit := c.port.headLimit()
	end := 0
	if len(c.buf) == 0 {
		n, err := c.socket.Read(p)
		if n == 0 {
			return 0, err
		}
		if end = c.head.follow(p[:n]); end > 0 {
			if end < n {
				c.buf = append([]byte(nil), p[end:n]...)
			}
			return c.handOnWhole(end, limit, n-end)
		}
		if !c.to(phaseHead) {
			return 0, net.ErrClosed
		}
		if !c.grow(firstBuffer) {
			return 0, io.EOF
		}
		c.buf = append(c.buf, p[:n]...)
	} else {
		end = c.head.follow(c.buf)
	}
	for end == 0 {
		if len(c.buf) > limit+c.overhead() {
			return 0, c.refuse(headTooLarge(limit))
		}
		if len(c.buf) == cap(c.buf) && !c.grow(2*cap(c.buf)) {
			return 0, io.EOF
		}
		n, err := c.socket.Read(c.buf[len(c.buf):cap(c.buf)])
		if n == 0 {
			return 0, err
		}
		c.buf = c.buf[:len(c.buf)+n]
		end = c.head.follow(c.buf)
	}
	c.to(phaseHead) // a whole head is progress
	if _, err := c.handOnWhole(end, limit, len(c.buf)-end); err != nil {
		return 0, err
	}
	c.left = end
	return c.handOnHead(p), nil
}

// readMultiplexed reads from the socket. A client that has sent anything counts as served: the server checks it by pings.
func (c *Conn) readMultiplexed(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if n > 0 && !c.inRequest {
		c.inRequest = true
		c.to(phaseWhole)
	}
	return n, err
}

// overhead returns the bytes of a head that its limit does not count: empty lines before and behind it.
func (c *Conn) overhead() int { return len("\r\n") * (c.head.leading + 1) }

// handOnWhole admits the request of a whole head of a size. behind is the number of bytes that have been read behind it.
func (c *Conn) handOnWhole(size, limit, behind int) (int, error) {
	if size > limit+c.overhead() {
		return 0, c.refuse(headTooLarge(limit))
	}
	if !c.charge(c.head.cost(size) + behind) {
		return 0, c.refuse(overloaded())
	}
	c.inRequest, c.bodyLeft, c.chunks, c.unnoted = true, c.head.length, chunks{}, 0
	next := phaseBody
	if c.head.framing == framedEmpty || c.head.framing == framedLength && int64(behind) >= c.bodyLeft {
		next = phaseWhole
	}
	if !c.to(next) {
		return 0, net.ErrClosed
	}
	return size, nil
}

// handOnHead hands on a part of a whole head.
func (c *Conn) handOnHead(p []byte) int {
	n := copy(p, c.buf[:c.left])
	c.left -= n
	c.drop(n)
	return n
}

// drop removes bytes that have been handed on from the buffer.
func (c *Conn) drop(n int) {
	if c.buf = c.buf[n:]; len(c.buf) == 0 {
		c.buf = nil
	}
}

// grow enlarges the buffer, if there is room.
func (c *Conn) grow(size int) bool {
	if !c.charge(size) {
		_ = c.refuse(overloaded())
		return false
	}
	next := make([]byte, len(c.buf), size)
	copy(next, c.buf)
	c.buf = next
	return true
}

// readBody hands on bytes of a body, and at most one byte that follows it.
func (c *Conn) readBody(p []byte) (int, error) {
	switch c.head.framing {
	case framedUnknown:
		return c.readRaw(p)
	case framedLength:
		if c.bodyLeft > 0 {
			n, err := c.readRaw(p[:min(int64(len(p)), c.bodyLeft)])
			if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
				c.to(phaseWhole)
			} else {
				c.advance(n)
			}
			return n, err
		}
	case framedChunks:
		if !c.chunks.ended {
			return c.readChunks(p)
		}
	case framedEmpty:
	}
	if c.early {
		c.mismatch = true
		return 0, errFraming
	}
	n, err := c.readRaw(p[:1])
	c.early = n > 0
	return n, err
}

func (c *Conn) readChunks(p []byte) (int, error) {
	n, err := c.readRaw(p)
	used, malformed := c.chunks.follow(p[:n])
	if malformed != nil {
		c.head.framing = framedUnknown // the server rejects the request, and closes the connection
		return n, err
	}
	if used < n {
		c.buf = append(append(make([]byte, 0, n-used+len(c.buf)), p[used:n]...), c.buf...)
	}
	if c.chunks.ended {
		c.to(phaseWhole)
	} else {
		c.advance(used)
	}
	return used, err
}

// readRaw reads what has been read before, or from the socket.
func (c *Conn) readRaw(p []byte) (int, error) {
	if len(c.buf) == 0 {
		return c.socket.Read(p)
	}
	n := copy(p, c.buf)
	c.drop(n)
	return n, nil
}

// next prepares for the next request: the server has answered the former one.
func (c *Conn) next() {
	if c.port.Multiplexed {
		return
	}
	whole := c.head.framing == framedEmpty || c.head.framing == framedLength && c.bodyLeft == 0 || c.head.framing == framedChunks && c.chunks.ended
	c.mismatch = c.mismatch || c.inRequest && !whole
	c.release()
	c.head, c.inRequest, c.early = head{}, false, false
	if len(c.buf) == 0 {
		c.to(phaseIdle)
		return
	}
	size := max(firstBuffer, len(c.buf))
	c.mismatch = c.mismatch || !c.charge(size)
	c.buf = append(make([]byte, 0, size), c.buf...) // drops the memory of the former head
	c.to(phaseHead)
}

// charge takes room for a head.
func (c *Conn) charge(n int) bool {
	if n <= maxReserved && c.port.reserve != nil && c.port.reserve.Take(n) {
		return c.holds(&c.reserved, n)
	}
	taken, ok := c.intake.budget.TakeHead(n)
	return ok && c.holds(&c.charged, taken)
}

// chargeBody takes room for n more bytes of a body that has total bytes by now.
func (c *Conn) chargeBody(n, total int) bool {
	if c.port.reserve != nil && c.port.reserve.Take(n) {
		return c.holds(&c.reserved, n)
	}
	return c.intake.budget.TakeBody(n, total) && c.holds(&c.charged, n)
}

// holds counts room that has been taken. It returns false if the connection has been closed meanwhile.
func (c *Conn) holds(count *atomic.Int64, taken int) bool {
	count.Add(int64(taken))
	if c.closed.Load() {
		c.release()
		return false
	}
	return true
}

func (c *Conn) release() {
	c.intake.budget.Release(int(c.charged.Swap(0)))
	c.port.reserve.Release(int(c.reserved.Swap(0)))
}

// Write implements net.Conn. It fails when the client has read nothing for the time allowed.
func (c *Conn) Write(p []byte) (int, error) {
	if reader := c.intake.limits.Reader; reader > 0 {
		if now := time.Now(); c.writeUntil.Sub(now) < reader/2 {
			c.writeUntil = now.Add(reader)
			_ = c.socket.SetWriteDeadline(c.writeUntil) // fails only on a closed connection
		}
	}
	return c.socket.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeUntil = time.Time{}
	return c.socket.SetWriteDeadline(t)
}

// abort closes the connection under the server, which closes the Conn then.
func (c *Conn) abort() { _ = c.stop.Close() }

// Close implements net.Conn. The server calls it when it has ended its work on the connection.
func (c *Conn) Close() error {
	err := c.socket.Close()
	c.end()
	return err
}

// end gives back all that the connection or the call holds.
func (c *Conn) end() {
	if c.closed.Swap(true) {
		return
	}
	c.release()
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.enter(c, phaseClosed)
	c.port.open--
	if c.released != nil {
		close(c.released)
	}
}
