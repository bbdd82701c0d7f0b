package runner

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent data may stay unacknowledged before the kernel
// closes the connection. Keep-alive probes do not cover this case: they are only
// sent on a connection that has no data to send.
const userTimeout = 1500 * time.Millisecond

// prepareSocket sets TCP_USER_TIMEOUT and the receive buffer of a socket before it connects.
func (c *Client) prepareSocket(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		if c.receiveBuffer > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.receiveBuffer) // the system's size stays in use otherwise
		}
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
