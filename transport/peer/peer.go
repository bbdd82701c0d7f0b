// Package peer carries the calls between daemons: connect over HTTP/2 without
// TLS, with pings that find connections gone silent.
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

// Times after which a connection that answers no ping is closed. A connection
// that something between two daemons has forgotten swallows bytes without an
// error; the streams on it would wait for ever.
const (
	pingAfter   = time.Second
	pingTimeout = time.Second
	dialTimeout = time.Second
	idleTimeout = 2 * time.Minute
)

// Dial returns the client of the daemon at an address.
type Dial func(netip.AddrPort) peerv1connect.PeerClient

// Pool keeps one client for each daemon.
type Pool struct {
	http    *http.Client
	options []connect.ClientOption

	mu      sync.Mutex
	clients map[netip.AddrPort]peerv1connect.PeerClient
}

// Count is told of bytes that cross a connection between daemons.
type Count func(n int)

// countConn counts what crosses a connection, both ways.
type countConn struct {
	net.Conn
	count Count
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

// countListener counts what crosses the connections it accepts.
type countListener struct {
	net.Listener
	count Count
}

func (l countListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countConn{conn, l.count}, nil
}

// Counted makes a listener tell what crosses its connections.
func Counted(l net.Listener, c Count) net.Listener { return countListener{l, c} }

// NewPool returns an empty pool whose connections tell what crosses them.
func NewPool(count Count) (*Pool, error) {
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
			Protocols:       cleartext2(),
			IdleConnTimeout: idleTimeout,
			HTTP2:           pings(),
		}},
		options: []connect.ClientOption{connect.WithInterceptors(trace)},
		clients: map[netip.AddrPort]peerv1connect.PeerClient{},
	}, nil
}

func cleartext2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

func pings() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 10000}
}

// Dial returns the client of the daemon at addr.
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

// Close drops idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// NewServer returns an HTTP server for a Peer handler.
func NewServer(h peerv1connect.PeerHandler) (*http.Server, error) {
	trace, err := otelconnect.NewInterceptor(otelconnect.WithoutMetrics(), otelconnect.WithTrustRemote())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h, connect.WithInterceptors(trace)))
	return &http.Server{
		Handler:           mux,
		Protocols:         cleartext2(),
		HTTP2:             pings(),
		ReadHeaderTimeout: 5 * time.Second,
	}, nil
}

// Wrap gives an error of core its connect code.
func Wrap(err error) error {
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

// Unwrap gives a connect error its error of core.
func Unwrap(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound:
		return core.ErrNotFound
	case connect.CodeOutOfRange:
		return core.ErrGone
	default:
		return errors.Join(core.ErrUnavailable, err)
	}
}

// NeverSent says whether a call failed for want of a connection, so that the
// other side cannot have had it.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
