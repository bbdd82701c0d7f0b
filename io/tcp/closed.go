package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the other end has closed a connection, and has sent nothing before that is still unread.
// It may be called while another goroutine reads.
func ClosedByPeer(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// Idle reports whether a connection is open and has no unread data. It is true where that cannot be told.
func Idle(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported)
}

// Open reports whether neither end has closed a connection, as far as its unread data show. It reads nothing.
func Open(conn net.Conn) bool {
	n, err := peek(conn)
	return n > 0 || errors.Is(err, syscall.EAGAIN)
}

// stateClose is TCP_CLOSE, the state of a connection that has been reset or lost. One that the other end has closed in order, and
// this one not yet, is in another state.
const stateClose = 7

// Reset reports whether a connection that is open at this end has been reset or lost. It does not consume the error of that,
// which the kernel reports only once.
func Reset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == stateClose
	})
	return err == nil && reset
}

// peek returns how many bytes, one at most, can be read from a connection without waiting. It reads none of them. Its error is
// errors.ErrUnsupported for a connection without a socket.
func peek(conn net.Conn) (n int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
