package peers

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"primroseward/io/logs"
)

// greet tells a daemon that has just started of this one, so that it needs to wait
// for no turn to find one that can give it its copies.
func (p *Peers) greet(to Peer) {
	p.send(to, kindBeat, p.beat(false))
}

// beat writes this daemon's beat as of now; fresh is for one that has just started. All
// of its parts can be written.
func (p *Peers) beat(fresh bool) []byte {
	loads, usage, state := p.loads(), p.usage(), p.state()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.State = state
	if p.large() {
		loads, usage = nil, nil
	}
	return p.marshal(datagram{Beat: &beat{Peer: p.self, Loads: loads, Usage: usage, New: fresh}})
}

// tellNow tells others of this daemon out of turn, those of other places if far is set.
func (p *Peers) tellNow(far bool) {
	if p.Large() {
		p.tellHubs(true)
		return
	}
	p.tell(far)
}

// tell tells the daemons of this place, and those of other places if far is set.
func (p *Peers) tell(far bool) {
	data := p.beat(false)
	for _, to := range p.due(far) {
		p.send(to, kindBeat, data)
	}
}

// due are the daemons to tell, with those left out that have been silent for long.
func (p *Peers) due(far bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []Peer
	for name, k := range p.known {
		if p.miss(now, name, k) {
			continue
		}
		if far || k.Place == p.self.Place {
			out = append(out, k.Peer)
		}
	}
	return out
}

// logHeard tells that a daemon that was silent is heard.
func (p *Peers) logHeard(k *known) {
	if k.silent && k.met {
		p.log.Info(logs.DaemonHeard, zap.String("other", k.Name))
	}
}

// miss notes that a daemon is silent, and forgets one that has been for long, which it
// says. The caller holds the lock.
func (p *Peers) miss(now time.Time, name string, k *known) (forgotten bool) {
	if now.Sub(k.heard) > forgetAfter {
		delete(p.known, name)
		p.roster.Forget(name)
		return true
	}
	if !k.alive(now) && !k.silent {
		k.silent = true
		p.log.Info(logs.DaemonSilent, zap.String("other", name), zap.Uint64("term", k.Term), zap.Duration("for", now.Sub(k.heard)))
	}
	return false
}

func (p *Peers) send(to Peer, kind string, data []byte) {
	p.count(kind, to.Place == p.self.Place, len(data)) // a place never changes
	p.sendTo(to.Peer, data)
}

func (p *Peers) sendTo(to netip.AddrPort, data []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.log.Debug(logs.DatagramUnsent, zap.Stringer("to", to), logs.Err(err))
	}
}

func (p *Peers) runRead() {
	defer p.wg.Done()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Debug(logs.DatagramUnread, logs.Err(err))
			continue
		}
		if n > 0 && buf[0] != '{' {
			p.takeRoster(from, buf[:n])
			continue
		}
		var d datagram
		if err := json.Unmarshal(buf[:n], &d); err != nil || d.Beat == nil && d.From == "" {
			p.log.Warn(logs.DatagramUnreadable, logs.Err(err))
			continue
		}
		p.take(from, d)
	}
}

func (p *Peers) take(from netip.AddrPort, d datagram) {
	if d.Beat != nil {
		if !p.note(d.Beat) {
			return
		}
		p.heard(d.Beat.Peer, d.Beat.Loads)
		if d.Beat.New {
			p.greet(d.Beat.Peer)
		}
		return
	}
	switch {
	case d.Kind == kindWho:
		p.sendTo(from, p.beat(false))
	case d.Kind != "":
		p.answer(from, d)
		if d.Pass {
			p.pass(d)
		}
	case d.Number != 0:
		p.mu.Lock()
		ch := p.waiting[d.Number]
		delete(p.waiting, d.Number)
		p.mu.Unlock()
		if ch != nil {
			ch <- d.Body
		}
	}
}

// note takes in a daemon's word of itself. One of a process that has been
// replaced since is dropped, unless the newer one is silent: a process that
// starts after its clock was set back has the smaller number.
func (p *Peers) note(b *beat) bool {
	from := b.Peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.Name == p.self.Name {
		return false
	}
	now := p.clock.Now()
	k, ok := p.known[from.Name]
	if ok && k.Boot > from.Boot && now.Sub(k.heard) < aliveFor {
		return false
	}
	if !ok {
		p.log.Info(logs.DaemonFound, zap.String("other", from.Name), zap.Stringer("caller", from.Caller))
		k = &known{}
		p.known[from.Name] = k
	}
	if ok && k.Leaving != from.Leaving {
		p.log.Info(logs.DaemonChanged, zap.String("other", from.Name), zap.Bool("leaving", from.Leaving))
	}
	p.logHeard(k)
	k.Peer, k.heard, k.silent, k.met, k.usage = from, now, false, true, b.Usage
	p.roster.Know(now, from.daemon())
	return true
}
