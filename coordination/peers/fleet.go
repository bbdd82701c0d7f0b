package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"primroseward/coordination/roster"
	"primroseward/core"
	"primroseward/io/logs"
)

// Kinds of datagrams beside those of handlers.
const (
	kindBeat   = "beat"
	kindAnswer = "answer"
	// kindWho asks a daemon that is not known for its beat.
	kindWho = "who"
	// kindNames asks a hub for daemons by their codes.
	kindNames = "names"
	// batch is how many datagrams are sent at once, batchPause the time until more are:
	// two packets for each of 64 daemons are sent within a third of a turn.
	batch      = 12
	batchPause = 5 * time.Millisecond
	// maxOut bounds the datagrams in line: two turns of a hub.
	maxOut = 512
	// namesLimit and namesResend are for the answer of a hub, of some two packets.
	namesLimit  = 500 * time.Millisecond
	namesResend = 200 * time.Millisecond
)

// Change is the last change of what daemons read from the store that a group knows: one of
// its fields is set.
type Change struct {
	core.Changes
	Source string // a daemon that knows it
}

// News is what the hub of a group of daemons tells of it.
type News struct {
	Place     string
	Changes   []Change
	Settings  uint64        // the last change of them that the group knows
	Confirmed time.Duration // since the settings were known to be the newest; below 0: never
	Down      []core.Code   // runners that have refused connections
}

// daemon is a Peer as the roster knows it.
func (one Peer) daemon() roster.Daemon {
	tag := uint8(xxhash.Sum64String(one.Caller.String() + " " + one.Peer.String()))
	return roster.Daemon{Name: one.Name, Place: one.Place, Boot: one.Boot, Tag: tag, Cores: one.Cores}
}

// word is what this daemon reports to its hubs; it is made without the lock.
func (p *Peers) word() roster.Word {
	state, loads, usage := p.state(), p.loads(), p.usage()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.State = state
	return roster.Word{
		Status: roster.Status{Ready: state.Ready, Failing: state.Failing, Leaving: p.self.Leaving, Fresh: state.Fresh, Term: state.Term, Confirmed: state.Confirmed},
		Knows:  state.Knows, Down: state.Down, Loads: loads, Usage: usage,
	}
}

// tellHubs reports to the hubs, and tells the group and the other hubs where this daemon
// is one; at once is for what must be known soon.
func (p *Peers) tellHubs(atOnce bool) {
	word := p.word()
	p.mu.Lock()
	now := p.clock.Now()
	var messages []roster.Message
	if atOnce {
		messages = p.roster.Nudge(now, word)
	} else {
		messages = p.roster.Tick(now, word)
	}
	others, peers := p.roster.Others(), p.addressed(messages)
	p.logActing(now)
	p.refresh(now)
	for name, k := range p.known {
		p.miss(now, name, k)
	}
	p.mu.Unlock()
	p.sendAll(messages, peers)
	p.heard(Peer{}, others)
}

// logActing tells when this daemon begins or ends to act as a hub; the caller holds the
// lock.
func (p *Peers) logActing(now time.Time) {
	acts, members := p.roster.Acts(now)
	if acts == p.acting {
		return
	}
	p.acting = acts
	p.log.Info(logs.HubChanged, zap.Bool("acting", acts), zap.Int("reports", members))
}

// addressed returns the daemons that messages are for; the caller holds the lock.
func (p *Peers) addressed(messages []roster.Message) []Peer {
	if len(messages) == 0 {
		return nil
	}
	out := make([]Peer, len(messages))
	for i, m := range messages {
		if k := p.known[p.roster.Name(m.To)]; k != nil {
			out[i] = k.Peer
		}
	}
	return out
}

// peersOf returns the daemons that codes are of; the caller holds the lock.
func (p *Peers) peersOf(codes []core.Code) []Peer {
	out := make([]Peer, 0, len(codes))
	for _, code := range codes {
		if k := p.known[p.roster.Name(code)]; k != nil {
			out = append(out, k.Peer)
		}
	}
	return out
}

// outgoing is a datagram that waits to be sent.
type outgoing struct {
	to   Peer
	kind string
	data []byte
}

// sendAll puts messages in line to be sent: the one that reads must not wait for them, as
// reports would overflow its socket meanwhile. What does not fit is told again next turn.
func (p *Peers) sendAll(messages []roster.Message, to []Peer) {
	for i, m := range messages {
		if !to[i].Peer.IsValid() {
			continue
		}
		select {
		case p.out <- outgoing{to[i], m.Kind, m.Data}:
		default:
			p.log.Debug(logs.DatagramUnsent, zap.Stringer("to", to[i].Peer))
		}
	}
}

// runSend sends what hubs tell, in batches: digests to fifty daemons at once are more than
// the queue of a link of 20 Mbit/s takes, and those at the end would get lost.
func (p *Peers) runSend(ctx context.Context) {
	defer p.wg.Done()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case one := <-p.out:
			p.send(one.to, one.kind, one.data)
		}
		if n%batch == 0 {
			core.Sleep(ctx, p.clock, batchPause)
		}
	}
}

// refresh brings the daemons' states in line with what the hubs have told; the caller
// holds the lock.
func (p *Peers) refresh(now time.Time) {
	for _, k := range p.known {
		k.listed = false
	}
	p.roster.Each(now, func(code core.Code, s roster.Status) {
		if k := p.known[p.roster.Name(code)]; k != nil {
			p.listed(now, k, s)
		}
	})
}

// listed takes in a daemon's state as a hub has told it; the caller holds the lock.
func (p *Peers) listed(now time.Time, k *known, s roster.Status) {
	if k.Leaving != s.Leaving {
		p.log.Info(logs.DaemonChanged, zap.String("other", k.Name), zap.Bool("leaving", s.Leaving))
	}
	p.logHeard(k)
	k.listed, k.heard, k.silent, k.met, k.Leaving = true, now, false, true, s.Leaving
	k.State = State{Ready: s.Ready, Failing: s.Failing, Term: s.Term, Fresh: s.Fresh, Knows: core.Changes{Settings: s.Settings}, Confirmed: s.Confirmed}
}

// takeRoster takes in a datagram of a hub, or one for this daemon as a hub.
func (p *Peers) takeRoster(from netip.AddrPort, data []byte) {
	p.mu.Lock()
	now := p.clock.Now()
	messages, told, err := p.roster.Take(now, data)
	peers := p.addressed(messages)
	var others map[core.Code]int
	if len(told) > 0 {
		p.refresh(now)
		others = p.roster.Others()
	}
	if p.roster.HasUnknown(now) {
		select {
		case p.strangers <- struct{}{}:
		default: // they are being asked for
		}
	}
	news := p.news(told)
	p.mu.Unlock()
	switch {
	case errors.Is(err, roster.ErrUnknown):
		p.askWho(from)
		return
	case err != nil:
		p.log.Warn(logs.DatagramUnreadable, logs.Err(err))
		return
	}
	p.sendAll(messages, peers)
	if others != nil {
		p.heard(Peer{}, others)
	}
	for _, n := range news {
		p.told(n)
	}
}

// news gives the sources of news their names; the caller holds the lock.
func (p *Peers) news(told []roster.News) []News {
	out := make([]News, 0, len(told))
	for _, n := range told {
		one := News{Place: n.Place, Settings: n.Knows.Settings, Confirmed: n.Confirmed, Down: n.Down}
		for _, c := range []struct {
			change core.Changes
			source core.Code
		}{
			{core.Changes{Config: n.Knows.Config}, n.Sources.Config},
			{core.Changes{Runners: n.Knows.Runners}, n.Sources.Runners},
			{core.Changes{Settings: n.Knows.Settings}, n.Sources.Settings},
		} {
			if name := p.roster.Name(c.source); name != "" {
				one.Changes = append(one.Changes, Change{c.change, name})
			}
		}
		out = append(out, one)
	}
	return out
}

// askWho asks a daemon that is not known, or that has other addresses now, for its beat.
func (p *Peers) askWho(addr netip.AddrPort) {
	if data := p.encode(datagram{Kind: kindWho}); data != nil {
		p.sendTo(addr, data)
	}
}

// contacts are the daemons that this one tells of itself when it starts.
func (p *Peers) contacts() []Peer {
	if !p.Large() {
		return p.due(true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peersOf(p.roster.Contacts())
}

// runNames asks hubs for the daemons that they name and that are not known here.
func (p *Peers) runNames(ctx context.Context) {
	defer p.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.strangers:
		}
		for p.askNames(ctx) {
		}
	}
}

// askNames asks for some daemons, and says whether any came.
func (p *Peers) askNames(ctx context.Context) bool {
	p.mu.Lock()
	ask, codes := p.roster.Unknown(p.clock.Now())
	to := p.peersOf([]core.Code{ask})
	p.mu.Unlock()
	if len(codes) == 0 || len(to) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, namesLimit)
	defer cancel()
	var got []Peer
	if err := p.Ask(ctx, to[0], kindNames, codes, &got, namesResend); err != nil {
		p.log.Debug(logs.DaemonUnknown, zap.String("hub", to[0].Name), logs.Err(err))
		return false
	}
	for _, one := range got {
		p.meet(one)
	}
	return len(got) > 0
}

// meet takes in what another daemon has told of one that is not known, or that has other
// addresses than were known.
func (p *Peers) meet(one Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one.Name == p.self.Name || one.Name == "" {
		return
	}
	now := p.clock.Now()
	k := p.known[one.Name]
	if k == nil {
		p.log.Info(logs.DaemonFound, zap.String("other", one.Name), zap.Stringer("caller", one.Caller))
		k = &known{heard: now.Add(-aliveFor), silent: true}
		p.known[one.Name] = k
	}
	one.State = k.State
	k.Peer = one
	p.roster.Know(now, one.daemon())
}

// handleNames answers with what is known of daemons.
func (p *Peers) handleNames(_ Peer, body json.RawMessage, answer func(any)) {
	var codes []core.Code
	if err := json.Unmarshal(body, &codes); err != nil {
		p.log.Warn(logs.MessageUnreadable, logs.Err(err))
		return
	}
	p.mu.Lock()
	out := []Peer{}
	for _, code := range codes {
		switch k := p.known[p.roster.Name(code)]; {
		case code == core.CodeOf(p.self.Name):
			out = append(out, p.self)
		case k != nil:
			out = append(out, k.Peer)
		}
	}
	p.mu.Unlock()
	answer(out)
}
