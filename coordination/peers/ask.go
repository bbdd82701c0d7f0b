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

func (p *Peers) answer(addr netip.AddrPort, d datagram) {
	h, ok := p.handlers[d.Kind]
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
		// Its first beat was lost, or only its hub knows it. It asks again.
		p.log.Debug(logs.DaemonUnknown, zap.String("other", d.From))
		p.askWho(addr)
		return
	}
	number := d.Number
	h(from, d.Body, func(v any) {
		if number == 0 {
			return
		}
		if body := p.marshal(v); body != nil {
			p.post(from, kindAnswer, datagram{Number: number, Body: body})
		}
	})
}

func (p *Peers) post(to Peer, kind string, d datagram) { p.postAll([]Peer{to}, kind, d) }

// postAll sends a message to several daemons, as this one's unless it is passed on.
func (p *Peers) postAll(to []Peer, kind string, d datagram) {
	data := p.encode(d)
	if data == nil {
		return
	}
	for _, one := range to {
		p.send(one, kind, data)
	}
}

// encode writes a message, as this daemon's unless it is passed on; nil if it can't be
// written, which is logged.
func (p *Peers) encode(d datagram) []byte {
	if d.From == "" {
		d.From = p.self.Name // which never changes
	}
	return p.marshal(d)
}

// marshal writes a value; nil if it can't be written, which is logged.
func (p *Peers) marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		p.log.Error(logs.MessageUnwritten, logs.Err(err))
		return nil
	}
	return data
}

// ErrNoAnswer is the error of a question that another daemon did not answer.
var ErrNoAnswer = errors.New("daemon did not answer")

// Ask puts a question to another daemon. The datagram is sent again after
// every resend without an answer, so handlers must take repeats.
func (p *Peers) Ask(ctx context.Context, to Peer, kind string, question, out any, resend time.Duration) error {
	body, err := json.Marshal(question)
	if err != nil {
		return eris.Wrap(err, "question")
	}
	number := rand.Uint64() | 1
	ch := make(chan json.RawMessage, 1)
	p.mu.Lock()
	p.waiting[number] = ch
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, number)
		p.mu.Unlock()
	}()
	for {
		p.post(to, kind, datagram{Kind: kind, Number: number, Body: body})
		select {
		case <-ctx.Done():
			return ErrNoAnswer
		case got := <-ch:
			return json.Unmarshal(got, out)
		case <-p.clock.After(resend):
		}
	}
}

// TellAll sends a message that has no answer to all daemons that are alive. In a large
// fleet the hubs pass it on: a holder of orders that told 294 daemons of each adapter
// itself would have time for nothing else. It may be lost.
func (p *Peers) TellAll(kind string, message any) {
	body := p.marshal(message)
	if body == nil {
		return
	}
	d := datagram{Kind: kind, Body: body}
	if !p.Large() {
		p.postAll(p.Alive()[1:], kind, d)
		return
	}
	p.mu.Lock()
	now := p.clock.Now()
	hubs, group := p.peersOf(p.roster.Hubs(now)), p.peersOf(p.roster.Group(now))
	p.mu.Unlock()
	p.postAll(group, kind, d)
	d.Pass = true
	p.postAll(hubs, kind, d)
}

// pass gives a message for all on to this hub's group.
func (p *Peers) pass(d datagram) {
	d.Pass = false
	p.mu.Lock()
	group := p.peersOf(p.roster.Group(p.clock.Now()))
	p.mu.Unlock()
	group = slices.DeleteFunc(group, func(one Peer) bool { return one.Name == d.From })
	p.postAll(group, d.Kind, d)
}

// Tell sends a message that has no answer. It may be lost.
func (p *Peers) Tell(to Peer, kind string, message any) {
	if body := p.marshal(message); body != nil {
		p.post(to, kind, datagram{Kind: kind, Body: body})
	}
}
