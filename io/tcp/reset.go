package tcp

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn is for http.Server.ConnContext, so that ConnOf finds the connection of a request.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, nil if it is not known.
func ConnOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// ResetUntilComplete makes the connection of an HTTP/1.0 request end with a reset until the returned
// function is called, also if the process is killed. The end of such a connection is that of the
// answer, which would look complete.
func ResetUntilComplete(r *http.Request) (complete func()) {
	conn, ok := ConnOf(r).(interface{ SetLinger(sec int) error })
	if !ok || r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	_ = conn.SetLinger(0) // fails only if the connection has ended
	return func() { _ = conn.SetLinger(-1) }
}
