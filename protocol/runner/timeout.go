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

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
