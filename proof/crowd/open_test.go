package crowd

import (
	"errors"
	"net"
	"syscall"
)

// tcpOpen reports whether the other end has not closed a connection. It reads nothing.
func tcpOpen(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return false
	}
	return n > 0 || errors.Is(err, syscall.EAGAIN)
}
