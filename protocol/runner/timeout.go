package runner

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout ends a connection whose peer has not acknowledged what was sent
// for this long. Keep-alive probes do not help there: they are only sent on a
// connection that has nothing to send.
const userTimeout = 1500 * time.Millisecond

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if ctl != nil {
		return ctl
	}
	return err
}
