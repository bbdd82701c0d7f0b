// Package peer provides the clients and the server for calls between daemons. Calls use
// Connect over HTTP/2 without TLS, with pings that detect stalled connections.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"

	"primroseward/core"
	"primroseward/protocol/peerv1/peerv1connect"
)

// A connection that has received nothing for pingAfter is pinged, and closed if the ping is not
// answered within pingTimeout. If a device between two daemons has dropped the state of a
// connection, bytes sent on it are lost without an error, and the streams on it would wait
// forever.
const (
	pingAfter   = time.Second
	pingTimeout = time.Second
	dialTimeout = time.Second
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the headers of a call, in bytes.
	maxHeader = 64 << 10
	// minReceiveBuffer and maxReceiveBuffer bound the receive buffer of a connection as HTTP/2 counts it, in bytes.
	minReceiveBuffer = 64 << 10
	maxReceiveBuffer = 1 << 20
)

// Dial returns the client for the daemon at an address.
type Dial func(netip.AddrPort) peerv1connect.PeerClient

// Pool holds one client for each daemon.
type Pool struct {
	http    *http.Client
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[netip.AddrPort]peerv1connect.PeerClient
}

// ByteCounter is called with the number of bytes of each read from and each write to a
// connection between daemons.
type ByteCounter func(n int)

// countConn counts the bytes that are read from and written to a connection.
type countConn struct {
	net.Conn
	count ByteCounter
}

func (c countConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

func (c countConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// countListener counts the bytes of the connections that it accepts.
type countListener struct {
	net.Listener
	count ByteCounter
}

func (l countListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countConn{conn, l.count}, nil
}

// NewCountingListener wraps a listener so that c receives the bytes of its connections.
func NewCountingListener(l net.Listener, c ByteCounter) net.Listener { return countListener{l, c} }

// NewPool returns an empty pool. count receives the bytes of its connections.
func NewPool(count ByteCounter) (*Pool, error) {
	trace, err := otelconnect.NewInterceptor(otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		http: &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return countConn{conn, count}, nil
			},
			Protocols:       unencryptedHTTP2(),
			IdleConnTimeout: idleTimeout,
			HTTP2:           pingConfig(),
		}},
		options: []connect.ClientOption{connect.WithInterceptors(trace)},
		clients: map[netip.AddrPort]peerv1connect.PeerClient{},
	}, nil
}

func unencryptedHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

func pingConfig() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 10000}
}

// Dial returns the client for the daemon at addr.
func (p *Pool) Dial(addr netip.AddrPort) peerv1connect.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = peerv1connect.NewPeerClient(p.http, "http://"+addr.String(), p.options...)
		p.clients[addr] = c
	}
	return c
}

// Close closes idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// ServerOption configures a server.
type ServerOption func(*http.Server)

// WithBound sets a function that wraps the handler of calls, to bound what these hold.
func WithBound(fn func(http.Handler) http.Handler) ServerOption {
	return func(s *http.Server) { s.Handler = fn(s.Handler) }
}

// WithReceiveBuffer sets how many bytes a connection may have received that its calls have not read; 0: the default of
// net/http.
func WithReceiveBuffer(bytes int) ServerOption {
	return func(s *http.Server) {
		if bytes > 0 {
			s.HTTP2.MaxReceiveBufferPerConnection = min(maxReceiveBuffer, max(minReceiveBuffer, bytes))
			s.HTTP2.MaxReceiveBufferPerStream = s.HTTP2.MaxReceiveBufferPerConnection
		}
	}
}

// NewServer returns an HTTP server for a handler of the Peer service.
func NewServer(h peerv1connect.PeerHandler, opts ...ServerOption) (*http.Server, error) {
	trace, err := otelconnect.NewInterceptor(otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h, connect.WithInterceptors(trace)))
	s := &http.Server{
		Handler:           mux,
		Protocols:         unencryptedHTTP2(),
		HTTP2:             pingConfig(),
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    maxHeader,
	}
	for _, o := range opts {
		o(s)
	}
	return s, nil
}

// ToConnectError returns the Connect error for an error of package core; other errors are
// returned unchanged.
func ToConnectError(err error) error {
	codes := []struct {
		err  error
		code connect.Code
	}{
		{core.ErrNotFound, connect.CodeNotFound},
		{core.ErrGone, connect.CodeOutOfRange},
		{core.ErrInvalid, connect.CodeInvalidArgument},
		{core.ErrUnavailable, connect.CodeUnavailable},
		{context.Canceled, connect.CodeCanceled},
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return connect.NewError(c.code, err)
		}
	}
	return err
}

// FromConnectError returns the error of package core for a Connect error.
func FromConnectError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound:
		return core.ErrNotFound
	case connect.CodeOutOfRange:
		return core.ErrGone
	default:
		return errors.Join(core.ErrUnavailable, err)
	}
}

// IsDialError reports whether a call failed because no connection could be established, so that
// the other daemon cannot have received the call.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
