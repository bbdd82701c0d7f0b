package peers

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// runDiscovery registers this daemon in the store and reads the other daemons' objects,
// and retries until both have succeeded.
func (p *Peers) runDiscovery(ctx context.Context) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		err := p.discover(ctx)
		if err == nil {
			return
		}
		p.log.Warn(logs.DaemonsNotFound, logs.Err(err))
		core.Sleep(ctx, p.clock, discoveryRetry/2+rand.N(discoveryRetry))
	}
}

// discover registers this daemon first and lists the others then: of two daemons that
// start together, the one that registers last lists the other, which finds it by its
// heartbeat.
func (p *Peers) discover(ctx context.Context) error {
	if err := p.register(ctx); err != nil {
		return eris.Wrap(err, "register")
	}
	objects, _, err := p.store.List(ctx, p.kind)
	if err != nil {
		return eris.Wrap(err, "list")
	}
	p.mu.Lock()
	for _, o := range objects {
		var peer Peer
		if err := json.Unmarshal(o.Body, &peer); err != nil {
			p.log.Error(logs.DaemonUnreadable, zap.String("other", o.Name), logs.Err(err))
			continue
		}
		if peer.Name == p.self.Name || p.known[peer.Name] != nil {
			continue
		}
		now := p.clock.Now()
		p.known[peer.Name] = &knownPeer{Peer: peer, lastSeen: now.Add(-aliveTimeout), unreachable: true}
		p.roster.AddDaemon(now, peer.daemon())
	}
	p.discovered = true
	p.mu.Unlock()
	data := p.encodeHeartbeat(true)
	for _, to := range p.contacts() {
		p.send(to, kindHeartbeat, data)
	}
	return nil
}

func (p *Peers) register(ctx context.Context) error {
	self := p.Self()
	body, err := json.Marshal(self)
	if err != nil {
		return err
	}
	o := core.Object{Kind: p.kind, Name: self.Name, Body: body}
	_, err = p.store.Create(ctx, o)
	if err == nil {
		p.mu.Lock()
		p.created = true
		p.mu.Unlock()
	}
	if !errors.Is(err, core.ErrExists) {
		return err
	}
	stored, err := p.store.Get(ctx, p.kind, self.Name)
	if err != nil {
		return err
	}
	var old Peer
	if json.Unmarshal(stored.Body, &old) == nil && old.Peer == self.Peer && old.Caller == self.Caller {
		return nil
	}
	stored.Body = body
	_, err = p.store.Update(ctx, stored)
	return err
}

// Unregister deletes this daemon's object, so that daemons that start later do not send
// to it. Objects of daemons that were killed stay in the store; a daemon that reads one
// forgets that peer after it has been unreachable for forgetAfter.
func (p *Peers) Unregister(ctx context.Context) error {
	o, err := p.store.Get(ctx, p.kind, p.Self().Name)
	if errors.Is(err, core.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "unregister")
	}
	return p.store.Delete(ctx, o)
}
