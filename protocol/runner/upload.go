package runner

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/core"
)

// send writes a request. A long body is written concurrently with reading the answer; the returned upload is nil if
// all of the request has been written. A connection with a partly written body must not be reused, since the runner would
// read the next request as the rest of that body.
func (c *conn) send(head, payload []byte) (*upload, error) {
	rest := payload
	if len(head)+len(payload) <= maxInlineRequest {
		head = append(head, payload...)
		rest = nil
	}
	n, err := c.Write(head)
	if err != nil && n == 0 {
		return nil, eris.Wrapf(core.ErrNotSent, "write: %v", err)
	}
	if err != nil {
		return nil, lostError(err)
	}
	if rest == nil {
		return nil, nil
	}
	u := &upload{to: c, rest: rest, done: make(chan struct{})}
	go u.run()
	return u, nil
}

// upload writes a long request body concurrently with reading the answer.
type upload struct {
	to   net.Conn
	rest []byte
	done chan struct{}
	err  error // valid once done is closed
}

func (u *upload) run() {
	_, u.err = u.to.Write(u.rest)
	close(u.done)
}

// complete reports whether all of the body has been written.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// abort ends the upload and returns the error by which the connection has ended, nil if the runner has ended it in order.
// The kernel reports the reset or the loss of a connection only once, to whichever of Read and Write asks first; the
// other one gets io.EOF or EPIPE. After an end in order (FIN), a reset is reported as EPIPE to both.
func (u *upload) abort() error {
	if u == nil {
		return nil
	}
	_ = u.to.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	<-u.done
	for _, harmless := range []error{syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(u.err, harmless) {
			return nil
		}
	}
	return u.err
}
