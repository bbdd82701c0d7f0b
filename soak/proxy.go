package soak

import (
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections on loopback to one address, and harms them as it is
// told to: from outside of the programs at both ends.
type Proxy struct {
	to string
	ln net.Listener

	mu    sync.Mutex
	links map[*link]bool
	now   Harm
}

// Harm is what a Proxy does to all its connections, those of now and new ones.
type Harm struct {
	Delay  time.Duration // before each portion is passed on
	Refuse bool          // new connections are reset
	Up     bool          // what callers of the proxy send is swallowed
	Down   bool          // what is sent to them is swallowed
}

// link is one connection through a proxy.
type link struct {
	caller, server *net.TCPConn
	silent         bool // swallows all for good, and passes on no end
}

// portion bounds what is passed on at once, in bytes.
const portion = 16 << 10

// NewProxy listens on an address of loopback; "" takes any port.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{to: to, ln: ln, links: map[*link]bool{}}
	go p.run()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Reset()
}

// Set harms all connections from now on; the zero Harm heals them.
func (p *Proxy) Set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = h
}

// Silence lets the open connections pass nothing any more, without an end or a
// reset; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

func (l *link) reset() {
	for _, c := range []*net.TCPConn{l.caller, l.server} {
		_ = c.SetLinger(0) // a connection that has gone needs none
		_ = c.Close()
	}
}

func (p *Proxy) run() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.runLink(c.(*net.TCPConn))
	}
}

func (p *Proxy) runLink(caller *net.TCPConn) {
	p.mu.Lock()
	refuse := p.now.Refuse
	p.mu.Unlock()
	server, err := net.Dial("tcp", p.to)
	if err != nil || refuse {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = server.Close()
		}
		return
	}
	l := &link{caller: caller, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go p.runCopy(l, l.caller, l.server, func(h Harm) bool { return h.Up }, &wg)
	go p.runCopy(l, l.server, l.caller, func(h Harm) bool { return h.Down }, &wg)
	wg.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = l.caller.Close()
	_ = l.server.Close()
}

// runCopy passes one direction on. A direction that is swallowed passes on no end
// either: whoever waits there sees nothing at all.
func (p *Proxy) runCopy(l *link, from, to *net.TCPConn, swallowed func(Harm) bool, wg *sync.WaitGroup) {
	defer wg.Done()
	buf := make([]byte, portion)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		harm, silent := p.now, l.silent
		p.mu.Unlock()
		if harm.Delay > 0 {
			time.Sleep(harm.Delay)
		}
		if silent || swallowed(harm) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
