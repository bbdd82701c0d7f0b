package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"primroseward/io/tcp"
)

// Proxy forwards TCP connections on loopback to one address. It can delay, drop, stall and
// reset them, without the programs at either end taking part.
type Proxy struct {
	target string
	ln     net.Listener

	mu         sync.Mutex
	conns      map[*proxyConn]bool
	impairment Impairment
}

// Impairment is what a Proxy does to all its connections, open and new ones.
type Impairment struct {
	Delay          time.Duration // before each chunk is forwarded
	Refuse         bool          // new connections are reset
	DropFromCaller bool          // data that callers of the proxy send is discarded
	DropToCaller   bool          // data that is sent to callers of the proxy is discarded
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	caller, server *net.TCPConn
	stalled        bool // discards all data from now on, and forwards no close
}

// bufferBytes bounds a chunk that is forwarded at once.
const bufferBytes = 16 << 10

// NewProxy starts a proxy on a free loopback port that forwards to the address target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, conns: map[*proxyConn]bool{}}
	go p.acceptLoop()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Reset()
}

// SetImpairment impairs all connections from now on; the zero Impairment ends that.
func (p *Proxy) SetImpairment(h Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = h
}

// Stall makes the open connections forward nothing any more, without a close or a reset;
// new connections work.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.stalled = true
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.reset()
	}
}

func (l *proxyConn) reset() {
	for _, c := range []*net.TCPConn{l.caller, l.server} {
		_ = c.SetLinger(0) // fails only on a closed connection
		_ = c.Close()
	}
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

// forward connects a caller with the target and copies both directions until both end.
func (p *Proxy) forward(caller *net.TCPConn) {
	p.mu.Lock()
	refuse := p.impairment.Refuse
	p.mu.Unlock()
	server, err := net.Dial("tcp", p.target)
	if err != nil || refuse {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = server.Close()
		}
		return
	}
	l := &proxyConn{caller: caller, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[l] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go p.copyDirection(l, l.caller, l.server, func(h Impairment) bool { return h.DropFromCaller }, &wg)
	go p.copyDirection(l, l.server, l.caller, func(h Impairment) bool { return h.DropToCaller }, &wg)
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
	_ = l.caller.Close()
	_ = l.server.Close()
}

// copyDirection forwards one direction of a connection. While data is discarded, a close is
// not forwarded either: the receiver sees nothing at all.
func (p *Proxy) copyDirection(l *proxyConn, from, to *net.TCPConn, discard func(Impairment) bool, wg *sync.WaitGroup) {
	defer wg.Done()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		impairment, stalled := p.impairment, l.stalled
		p.mu.Unlock()
		if impairment.Delay > 0 {
			time.Sleep(impairment.Delay)
		}
		if stalled || discard(impairment) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				if !errors.Is(werr, syscall.EPIPE) { // the other direction has read the end
					l.reset()
				}
				return
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && !tcp.Reset(from): // the write of the other direction may have got the reset
			_ = to.CloseWrite()
		default:
			l.reset() // a reset must not arrive as a proper end
		}
		return
	}
}
