package tcp

import (
	"errors"
	"net"
	"syscall"
)

// ClosedByPeer reports whether the other end has closed a connection, and has sent nothing before that is still unread.
// It may be called while another goroutine reads.
func ClosedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && recvErr == nil || errors.Is(recvErr, syscall.ECONNRESET)
	})
	return err == nil && closed
}
