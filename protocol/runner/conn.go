package runner

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseward/core"
	"primroseward/io/tcp"
)

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 4 << 10

// conn is one connection to a runner. It carries one request at a time.
type conn struct {
	net.Conn
	in       *bufio.Reader
	overhead overhead
	began    func()    // called when the answer begins; nil: nothing is
	expires  time.Time // from then on the connection must not be reused
}

func newConn(c net.Conn, clock core.Clock) *conn {
	cn := &conn{Conn: c, overhead: overhead{clock: clock}}
	cn.in = bufio.NewReaderSize(cn, readBuffer)
	return cn
}

// Read fails with errOverhead if what the runner sends is no part of an answer's body for too long.
func (c *conn) Read(p []byte) (int, error) {
	if c.overhead.exceeded() {
		return 0, errOverhead
	}
	n, err := c.Conn.Read(p)
	c.overhead.add(n)
	if n > 0 && c.began != nil {
		c.began()
		c.began = nil
	}
	return n, err
}

// reusable reports whether an idle connection is open and has no unread data. If
// the runner has closed it, the next request would be lost. If the runner has sent a
// second answer to the previous request, the next request would get that answer.
func (c *conn) reusable() bool {
	return c.in.Buffered() == 0 && tcp.Idle(c.Conn)
}

// idleTimeout returns how long an idle connection may be reused, from the timeout in
// the runner's Keep-Alive header. It is shorter than that timeout, since a request
// may be in flight when the runner closes the connection.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s) * time.Second * idleTimeoutPercent / 100
		}
	}
	return defaultIdleTimeout
}

// body is the body of an answer. Reading it to the end returns its connection to the
// pool; an error or an earlier Close closes the connection.
type body struct {
	rc       io.ReadCloser
	progress func() // called when some of the body has been read
	release  func(complete bool)
	// verifyEnd returns an error if the end of the connection is not the end of the body; nil: the body's framing shows
	// its end.
	verifyEnd func() error
	done      bool
	err       error // of the read with which the body ended
}

func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.rc.Read(p)
	if n > 0 {
		b.progress()
	}
	if err == io.EOF && b.verifyEnd != nil {
		err = cmp.Or(b.verifyEnd(), err)
	}
	if err == nil {
		return n, nil
	}
	b.finish(err == io.EOF)
	if err != io.EOF {
		err = lostError(err)
	}
	b.err = err
	return n, err
}

func (b *body) finish(complete bool) {
	if !b.done {
		b.done = true
		b.release(complete)
	}
}

func (b *body) Close() error {
	b.finish(false)
	return nil
}
