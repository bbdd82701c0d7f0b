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

// Kinds of datagrams other than those that are set with Handle.
const (
	kindHeartbeat = "beat"
	kindReply     = "answer"
	// kindWho requests the heartbeat of a daemon that is not known here.
	kindWho = "who"
	// kindLookup requests the addresses of daemons from a hub, by the codes of their names.
	kindLookup = "names"
	// batchSize is how many queued datagrams are sent without a pause, batchPause the pause
	// that follows: two packets for each of 64 daemons are sent within a third of an interval.
	batchSize  = 12
	batchPause = 5 * time.Millisecond
	// maxQueued bounds the queued datagrams: what a hub sends in two intervals.
	maxQueued = 512
	// lookupTimeout and lookupResend allow for the reply of a hub, of about two packets.
	lookupTimeout = 500 * time.Millisecond
	lookupResend  = 200 * time.Millisecond
)

// Change is the last change of one kind of the store's objects that a group has received:
// one field of Changes is set.
type Change struct {
	core.Changes
	Source string // name of a daemon that has the change
}

// Summary is the summary that a hub sends of its group.
type Summary struct {
	DataCentre      string
	Changes         []Change
	Settings        uint64        // version of the last change of the settings that the group has received
	Confirmed       time.Duration // since the settings were confirmed to be the store's newest; below 0: never
	RefusingRunners []core.Code   // runners that have refused connections
}

// daemon returns the peer's fixed properties as package roster keeps them.
func (peer Peer) daemon() roster.Daemon {
	tag := uint8(xxhash.Sum64String(peer.Caller.String() + " " + peer.Peer.String()))
	return roster.Daemon{Name: peer.Name, DataCentre: peer.DataCentre, Incarnation: peer.Boot, AddressTag: tag, Cores: peer.Cores}
}

// report returns what this daemon reports to its hubs. The caller must not hold the lock.
func (p *Peers) report() roster.Report {
	state, loads, usage := p.state(), p.ownLoads(), p.ownUsage()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self.State = state
	return roster.Report{
		Status:      roster.Status{Ready: state.Ready, Failing: state.Failing, PathLost: state.PathLost, Leaving: p.self.Leaving, LeaseRenewed: state.LeaseRenewed, Term: state.Term, Confirmed: state.Confirmed},
		LastChanges: state.LastChanges, RefusingRunners: state.RefusingRunners, Loads: loads, Usage: usage,
	}
}

// reportToHubs sends this daemon's report to its hubs and, if it acts as a hub, summaries
// to its group and to the other hubs. urgent is set for changes that must not wait for the
// next interval.
func (p *Peers) reportToHubs(urgent bool) {
	report := p.report()
	p.mu.Lock()
	now := p.clock.Now()
	var messages []roster.Message
	if urgent {
		messages = p.roster.ReportNow(now, report)
	} else {
		messages = p.roster.Tick(now, report)
	}
	loads, peers := p.roster.OtherLoads(), p.recipients(messages)
	p.logHubRole(now)
	p.refreshStates(now)
	for name, k := range p.known {
		p.checkReachable(now, name, k)
	}
	p.mu.Unlock()
	p.enqueue(messages, peers)
	p.onLoads(Peer{}, loads)
}

// logHubRole logs when this daemon starts or stops acting as a hub. The caller holds the
// lock.
func (p *Peers) logHubRole(now time.Time) {
	acts, reports := p.roster.HubStatus(now)
	if acts == p.actsAsHub {
		return
	}
	p.actsAsHub = acts
	p.log.Info(logs.HubChanged, zap.Bool("acting", acts), zap.Int("reports", reports))
}

// recipients returns the peers that messages go to, in the same order; one that is not
// known is the zero Peer. The caller holds the lock.
func (p *Peers) recipients(messages []roster.Message) []Peer {
	if len(messages) == 0 {
		return nil
	}
	out := make([]Peer, len(messages))
	for i, m := range messages {
		out[i] = p.recipient(m.To)
	}
	return out
}

// recipient returns the daemon with a code, an empty Peer if it is not known. The caller holds the lock.
func (p *Peers) recipient(code core.Code) Peer {
	if k := p.known[p.roster.Name(code)]; k != nil {
		return k.Peer
	}
	return Peer{}
}

// peersOf returns the peers with the given codes, without those that are not known. The
// caller holds the lock.
func (p *Peers) peersOf(codes []core.Code) []Peer {
	out := make([]Peer, 0, len(codes))
	for _, code := range codes {
		if k := p.known[p.roster.Name(code)]; k != nil {
			out = append(out, k.Peer)
		}
	}
	return out
}

// queued is a datagram that waits to be sent.
type queued struct {
	to   Peer
	kind string
	data []byte
}

// enqueue queues messages for runSend. The reading goroutine must not wait until they are
// sent, as reports would overflow its socket buffer meanwhile. Messages that do not fit
// into the queue are dropped; the next interval sends their content again.
func (p *Peers) enqueue(messages []roster.Message, to []Peer) {
	for i, m := range messages {
		if !to[i].Peer.IsValid() {
			continue
		}
		select {
		case p.sendQueue <- queued{to[i], m.Kind, m.Data}:
		default:
			p.log.Debug(logs.DatagramUnsent, zap.Stringer("to", to[i].Peer))
		}
	}
}

// runSend sends the queued datagrams of hubs in batches: summaries to fifty daemons at
// once exceed the queue of a link of 20 Mbit/s, and the last ones would be lost.
func (p *Peers) runSend(ctx context.Context) {
	defer p.wg.Done()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case q := <-p.sendQueue:
			p.send(q.to, q.kind, q.data)
		}
		if n%batchSize == 0 {
			core.Sleep(ctx, p.clock, batchPause)
		}
	}
}

// refreshStates updates the peers' states from the summaries of the hubs. The caller holds
// the lock.
func (p *Peers) refreshStates(now time.Time) {
	for _, k := range p.known {
		k.listed = false
	}
	p.roster.Each(now, func(code core.Code, s roster.Status) {
		if k := p.known[p.roster.Name(code)]; k != nil {
			p.setStatus(now, k, s)
		}
	})
}

// setStatus updates a peer's state from a hub's summary. The caller holds the lock.
func (p *Peers) setStatus(now time.Time, k *knownPeer, s roster.Status) {
	if k.Leaving != s.Leaving {
		p.log.Info(logs.DaemonChanged, zap.String("other", k.Name), zap.Bool("leaving", s.Leaving))
	}
	p.logReachable(k)
	k.listed, k.lastSeen, k.unreachable, k.reached, k.Leaving = true, now, false, true, s.Leaving
	k.State = State{Ready: s.Ready, Failing: s.Failing, PathLost: s.PathLost, Term: s.Term, LeaseRenewed: s.LeaseRenewed, LastChanges: core.Changes{Settings: s.Settings}, Confirmed: s.Confirmed}
}

// receiveRoster handles a datagram of package roster: a hub's summary, or a report to this
// daemon as a hub.
func (p *Peers) receiveRoster(from netip.AddrPort, data []byte) {
	p.mu.Lock()
	now := p.clock.Now()
	messages, received, err := p.roster.Receive(now, data)
	peers := p.recipients(messages)
	var loads map[core.Code]int
	if len(received) > 0 {
		p.refreshStates(now)
		loads = p.roster.OtherLoads()
	}
	if p.roster.HasUnknown(now) {
		select {
		case p.lookup <- struct{}{}:
		default: // a lookup is pending
		}
	}
	summaries := p.summaries(received)
	p.mu.Unlock()
	switch {
	case errors.Is(err, roster.ErrUnknown):
		p.requestHeartbeat(from)
		return
	case err != nil:
		p.log.Warn(logs.DatagramUnreadable, logs.Err(err))
		return
	}
	p.enqueue(messages, peers)
	if loads != nil {
		p.onLoads(Peer{}, loads)
	}
	for _, s := range summaries {
		p.onSummary(s)
	}
}

// summaries converts summaries of package roster and resolves the codes of their sources
// to names; a change whose source is not known is left out. The caller holds the lock.
func (p *Peers) summaries(received []roster.Summary) []Summary {
	out := make([]Summary, 0, len(received))
	for _, r := range received {
		summary := Summary{DataCentre: r.DataCentre, Settings: r.LastChanges.Settings, Confirmed: r.Confirmed, RefusingRunners: r.RefusingRunners}
		for _, c := range []struct {
			change core.Changes
			source core.Code
		}{
			{core.Changes{Config: r.LastChanges.Config}, r.Sources.Config},
			{core.Changes{Runners: r.LastChanges.Runners}, r.Sources.Runners},
			{core.Changes{Settings: r.LastChanges.Settings}, r.Sources.Settings},
		} {
			if name := p.roster.Name(c.source); name != "" {
				summary.Changes = append(summary.Changes, Change{c.change, name})
			}
		}
		out = append(out, summary)
	}
	return out
}

// requestHeartbeat requests the heartbeat of a daemon that is not known, or whose
// addresses have changed.
func (p *Peers) requestHeartbeat(addr netip.AddrPort) {
	if data := p.encode(datagram{Kind: kindWho}); data != nil {
		p.write(addr, data)
	}
}

// contacts returns the peers to which this daemon sends its first heartbeat.
func (p *Peers) contacts() []Peer {
	if !p.Large() {
		return p.heartbeatTargets(true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peersOf(p.roster.Contacts())
}

// runLookup requests the addresses of daemons that a hub's summary lists and that are not
// known here.
func (p *Peers) runLookup(ctx context.Context) {
	defer p.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.lookup:
		}
		for p.lookUpUnknown(ctx) {
		}
	}
}

// lookUpUnknown requests the addresses of some unknown daemons from a hub, and returns
// whether it got any.
func (p *Peers) lookUpUnknown(ctx context.Context) bool {
	p.mu.Lock()
	hub, codes := p.roster.UnknownDaemons(p.clock.Now())
	to := p.peersOf([]core.Code{hub})
	p.mu.Unlock()
	if len(codes) == 0 || len(to) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var got []Peer
	if err := p.Request(ctx, to[0], kindLookup, codes, &got, lookupResend); err != nil {
		p.log.Debug(logs.DaemonUnknown, zap.String("hub", to[0].Name), logs.Err(err))
		return false
	}
	for _, peer := range got {
		p.setAddresses(peer)
	}
	return len(got) > 0
}

// setAddresses records a peer that another daemon has described, either a new one or one
// whose addresses may have changed. Its state is kept.
func (p *Peers) setAddresses(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer.Name == p.self.Name || peer.Name == "" {
		return
	}
	now := p.clock.Now()
	k := p.known[peer.Name]
	if k == nil {
		p.log.Info(logs.DaemonDiscovered, zap.String("other", peer.Name), zap.Stringer("caller", peer.Caller))
		k = &knownPeer{lastSeen: now.Add(-aliveTimeout), unreachable: true}
		p.known[peer.Name] = k
	}
	peer.State = k.State
	k.Peer = peer
	p.roster.AddDaemon(now, peer.daemon())
}

// handleLookup replies with those of the requested daemons that are known here.
func (p *Peers) handleLookup(_ Peer, body json.RawMessage, reply func(any)) {
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
	reply(out)
}
