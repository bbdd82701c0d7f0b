package runner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const readBuffer = 4 << 10

// conn is one connection to a runner. It carries one request at a time.
type conn struct {
	net.Conn
	in      *bufio.Reader
	expires time.Time // when the connection must not be used again
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, in: bufio.NewReaderSize(c, readBuffer)}
}

// quiet says whether an idle connection is open and nothing has come on it.
// The runner may have closed it, or have sent a second answer to the request
// before; a request sent on it would be lost, or get that answer.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		still = rerr == syscall.EAGAIN
		return true // never waits: sockets are non-blocking
	})
	return err == nil && still
}

// keepFor is how long the runner keeps an idle connection open, less a margin
// for a request that is on its way when the runner closes.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s) * time.Second * keepShare / 100
		}
	}
	return keepDefault
}

// body is an answer's body that gives its connection back when it was read to
// its end, and drops the connection when it is closed before.
type body struct {
	rc      io.ReadCloser
	release func(whole bool)
	done    bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if err == nil {
		return n, nil
	}
	b.finish(err == io.EOF)
	if err != io.EOF {
		err = lost(err)
	}
	return n, err
}

func (b *body) finish(whole bool) {
	if !b.done {
		b.done = true
		b.release(whole)
	}
}

func (b *body) Close() error {
	b.finish(false)
	return nil
}
