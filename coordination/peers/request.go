package peers

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/io/logs"
)

// handleMessage passes a message to the handler of its kind and sends the handler's
// reply back if the message is a request.
func (p *Peers) handleMessage(addr netip.AddrPort, d datagram) {
	handler, ok := p.handlers[d.Kind]
	if !ok {
		return
	}
	p.mu.Lock()
	k, ok := p.known[d.From]
	var from Peer
	if ok {
		from = k.Peer
	}
	p.mu.Unlock()
	if !ok {
		// The sender's first heartbeat was lost, or only its hub has its addresses. The
		// message is dropped; the sender of a request resends it.
		p.log.Debug(logs.DaemonUnknown, zap.String("other", d.From))
		p.requestHeartbeat(addr)
		return
	}
	number := d.Number
	handler(from, d.Body, func(v any) {
		if number == 0 {
			return
		}
		if body := p.marshal(v); body != nil {
			p.sendMessage(from, kindReply, datagram{Number: number, Body: body})
		}
	})
}

func (p *Peers) sendMessage(to Peer, kind string, d datagram) { p.sendToAll([]Peer{to}, kind, d) }

// sendToAll sends a message to several peers. Its sender is this daemon unless
// d.From is set, as it is in a message that a hub forwards.
func (p *Peers) sendToAll(to []Peer, kind string, d datagram) {
	data := p.encode(d)
	if data == nil {
		return
	}
	for _, peer := range to {
		p.send(peer, kind, data)
	}
}

// encode encodes a message, with this daemon as the sender unless d.From is set. It logs
// an encoding error and returns nil.
func (p *Peers) encode(d datagram) []byte {
	if d.From == "" {
		d.From = p.self.Name // never changes, so no lock is needed
	}
	return p.marshal(d)
}

// marshal encodes a value as JSON. It logs an encoding error and returns nil.
func (p *Peers) marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		p.log.Error(logs.MessageUnwritten, logs.Err(err))
		return nil
	}
	return data
}

// ErrNoReply is returned for a request to which a peer sent no reply in time.
var ErrNoReply = errors.New("daemon did not answer")

// Request sends a request to a peer and decodes the reply into out. The request is sent again
// after every resend interval without a reply, so handlers must accept duplicates.
func (p *Peers) Request(ctx context.Context, to Peer, kind string, request, out any, resend time.Duration) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "question")
	}
	number := rand.Uint64() | 1
	reply := make(chan json.RawMessage, 1)
	p.mu.Lock()
	p.pending[number] = reply
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, number)
		p.mu.Unlock()
	}()
	for {
		p.sendMessage(to, kind, datagram{Kind: kind, Number: number, Body: body})
		select {
		case <-ctx.Done():
			return ErrNoReply
		case got := <-reply:
			return json.Unmarshal(got, out)
		case <-p.clock.After(resend):
		}
	}
}

// Requester sends requests to other daemons. *Peers implements it.
type Requester interface {
	Request(ctx context.Context, to Peer, kind string, request, out any, resend time.Duration) error
}

// RequestAll sends a request to several daemons at once. It returns when accept has returned true for a
// reply, or all have replied or failed to. silent is the number of those that have not replied.
func RequestAll[R any](ctx context.Context, net Requester, to []Peer, kind string, request any, resend time.Duration, accept func(from string, reply R) bool) (accepted bool, silent int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		from  string
		reply R
		err   error
	}
	results := make(chan result, len(to))
	for _, p := range to {
		go func() {
			r := result{from: p.Name}
			r.err = net.Request(ctx, p, kind, request, &r.reply, resend)
			results <- r
		}()
	}
	for range to {
		r := <-results
		if r.err != nil {
			silent++
			continue
		}
		if accept(r.from, r.reply) {
			return true, silent
		}
	}
	return false, silent
}

// Decode decodes a message of another daemon, and logs one that is malformed.
func Decode(log *zap.Logger, from Peer, body json.RawMessage, out any) bool {
	if err := json.Unmarshal(body, out); err != nil {
		log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return false
	}
	return true
}

// Broadcast sends a message that expects no reply to all reachable peers; it may be lost.
// In a large fleet the hubs forward it: if the holder of the lease of orders sent each
// adapter to 294 daemons itself, it would have no time for its other work.
func (p *Peers) Broadcast(kind string, message any) {
	body := p.marshal(message)
	if body == nil {
		return
	}
	d := datagram{Kind: kind, Body: body}
	if !p.Large() {
		p.sendToAll(p.Alive()[1:], kind, d)
		return
	}
	p.mu.Lock()
	now := p.clock.Now()
	hubs, group := p.peersOf(p.roster.ReachableHubs(now)), p.peersOf(p.roster.GroupMembers(now))
	p.mu.Unlock()
	p.sendToAll(group, kind, d)
	d.Forward = true
	p.sendToAll(hubs, kind, d)
}

// forwardToGroup sends a broadcast message on to this hub's group, except to its sender.
func (p *Peers) forwardToGroup(d datagram) {
	d.Forward = false
	p.mu.Lock()
	group := p.peersOf(p.roster.GroupMembers(p.clock.Now()))
	p.mu.Unlock()
	group = slices.DeleteFunc(group, func(peer Peer) bool { return peer.Name == d.From })
	p.sendToAll(group, d.Kind, d)
}

// Send sends a message that expects no reply; it may be lost.
func (p *Peers) Send(to Peer, kind string, message any) {
	if body := p.marshal(message); body != nil {
		p.sendMessage(to, kind, datagram{Kind: kind, Body: body})
	}
}
