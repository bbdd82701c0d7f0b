package peers

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/occupancy"
	"primroseward/io/logs"
)

// sendHeartbeat sends a heartbeat to a peer that has just started, so that it finds a
// daemon to fetch snapshots from without waiting for the next interval.
func (p *Peers) sendHeartbeat(to Peer) {
	p.send(to, kindHeartbeat, p.encodeHeartbeat(false))
}

// encodeHeartbeat encodes this daemon's current heartbeat; started marks the first one
// after its start. Encoding can't fail, as all parts of a heartbeat can be encoded.
func (p *Peers) encodeHeartbeat(started bool) []byte {
	loads, usage, state := p.ownLoads(), p.ownUsage(), p.state()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.State = state
	if p.large() {
		loads, usage = nil, nil
	}
	return p.marshal(datagram{Heartbeat: &heartbeat{Peer: p.self, Loads: loads, Usage: usage, Started: started}})
}

// sendNow sends this daemon's state without waiting for the next interval, to other data
// centres only if remote is set. In a large fleet it goes to the hubs.
func (p *Peers) sendNow(remote bool) {
	if p.Large() {
		p.reportToHubs(true)
		return
	}
	p.sendHeartbeats(remote)
}

// sendHeartbeats sends a heartbeat to the peers of this data centre, and to those of other
// data centres if remote is set.
func (p *Peers) sendHeartbeats(remote bool) {
	data := p.encodeHeartbeat(false)
	for _, to := range p.heartbeatTargets(remote) {
		p.send(to, kindHeartbeat, data)
	}
}

// heartbeatTargets returns the peers of this data centre, and those of other data centres
// if remote is set. It drops those that have been unreachable for forgetAfter.
func (p *Peers) heartbeatTargets(remote bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []Peer
	for name, k := range p.known {
		if p.checkReachable(now, name, k) {
			continue
		}
		if remote || k.DataCentre == p.self.DataCentre {
			out = append(out, k.Peer)
		}
	}
	return out
}

// logReachable logs that a peer that was unreachable is reachable again.
func (p *Peers) logReachable(k *knownPeer) {
	if k.unreachable && k.reached {
		p.log.Info(logs.DaemonReachable, zap.String("other", k.Name))
	}
}

// checkReachable logs when a peer becomes unreachable, and forgets it after forgetAfter,
// in which case it returns true. The caller holds the lock.
func (p *Peers) checkReachable(now time.Time, name string, k *knownPeer) (forgotten bool) {
	if now.Sub(k.lastSeen) > forgetAfter {
		delete(p.known, name)
		p.roster.RemoveDaemon(name)
		return true
	}
	if !k.alive(now) && !k.unreachable {
		k.unreachable = true
		p.log.Info(logs.DaemonUnreachable, zap.String("other", name), zap.Uint64("term", k.Term), zap.Duration("for", now.Sub(k.lastSeen)))
	}
	return false
}

func (p *Peers) send(to Peer, kind string, data []byte) {
	p.onSend(kind, to.DataCentre == p.self.DataCentre, len(data)) // Place never changes, so no lock is needed
	p.write(to.Peer, data)
}

func (p *Peers) write(to netip.AddrPort, data []byte) {
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
		if n > 0 && buf[0] == occupancy.Magic {
			p.receiveOccupancy(buf[:n])
			continue
		}
		if n > 0 && buf[0] != '{' { // not JSON: a datagram of package roster
			p.receiveRoster(from, buf[:n])
			continue
		}
		var d datagram
		if err := json.Unmarshal(buf[:n], &d); err != nil || d.Heartbeat == nil && d.From == "" {
			p.log.Warn(logs.DatagramUnreadable, logs.Err(err))
			continue
		}
		p.receive(from, d)
	}
}

// receive handles a heartbeat, a request for one, a message or a reply.
func (p *Peers) receive(from netip.AddrPort, d datagram) {
	if d.Heartbeat != nil {
		if !p.receiveHeartbeat(d.Heartbeat) {
			return
		}
		p.onLoads(d.Heartbeat.Peer, d.Heartbeat.Loads)
		if d.Heartbeat.Started {
			p.sendHeartbeat(d.Heartbeat.Peer)
		}
		return
	}
	switch {
	case d.Kind == kindWho:
		p.write(from, p.encodeHeartbeat(false))
	case d.Kind != "":
		p.handleMessage(from, d)
		if d.Forward {
			p.forwardToGroup(d)
		}
	case d.Number != 0:
		p.mu.Lock()
		reply := p.pending[d.Number]
		delete(p.pending, d.Number)
		p.mu.Unlock()
		if reply != nil {
			reply <- d.Body
		}
	}
}

// receiveHeartbeat records a peer's heartbeat and returns whether it was accepted. One
// with a smaller boot number than the last is from a process that has been replaced, and
// is dropped, unless nothing was received from the newer process for aliveTimeout: a process
// that starts after its clock was set back has the smaller number.
func (p *Peers) receiveHeartbeat(b *heartbeat) bool {
	from := b.Peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.Name == p.self.Name {
		return false
	}
	now := p.clock.Now()
	k, ok := p.known[from.Name]
	if ok && k.Boot > from.Boot && now.Sub(k.lastSeen) < aliveTimeout {
		return false
	}
	if !ok {
		p.log.Info(logs.DaemonDiscovered, zap.String("other", from.Name), zap.Stringer("caller", from.Caller))
		k = &knownPeer{}
		p.known[from.Name] = k
	}
	if ok && k.Leaving != from.Leaving {
		p.log.Info(logs.DaemonChanged, zap.String("other", from.Name), zap.Bool("leaving", from.Leaving))
	}
	p.logReachable(k)
	k.Peer, k.lastSeen, k.unreachable, k.reached, k.usage = from, now, false, true, b.Usage
	p.roster.AddDaemon(now, from.daemon())
	return true
}
