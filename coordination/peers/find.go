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

// runFind registers this daemon in the store and reads who else is there.
func (p *Peers) runFind(ctx context.Context) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		err := p.find(ctx)
		if err == nil {
			return
		}
		p.log.Warn(logs.DaemonsNotFound, logs.Err(err))
		core.Sleep(ctx, p.clock, findEvery/2+rand.N(findEvery))
	}
}

// find registers first and lists then. Of two daemons that start together the
// one that registers last finds the other, and its datagrams tell it.
func (p *Peers) find(ctx context.Context) error {
	if err := p.register(ctx); err != nil {
		return eris.Wrap(err, "register")
	}
	objects, _, err := p.store.List(ctx, p.kind)
	if err != nil {
		return eris.Wrap(err, "list")
	}
	p.mu.Lock()
	for _, o := range objects {
		var one Peer
		if err := json.Unmarshal(o.Body, &one); err != nil {
			p.log.Error(logs.DaemonUnreadable, zap.String("other", o.Name), logs.Err(err))
			continue
		}
		if one.Name == p.self.Name || p.known[one.Name] != nil {
			continue
		}
		now := p.clock.Now()
		p.known[one.Name] = &known{Peer: one, heard: now.Add(-aliveFor), silent: true}
		p.roster.Know(now, one.daemon())
	}
	p.found = true
	p.mu.Unlock()
	data := p.beat(true)
	for _, to := range p.contacts() {
		p.send(to, kindBeat, data)
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
	if !errors.Is(err, core.ErrExists) {
		return err
	}
	old, err := p.store.Get(ctx, p.kind, self.Name)
	if err != nil {
		return err
	}
	var was Peer
	if json.Unmarshal(old.Body, &was) == nil && was.Peer == self.Peer && was.Caller == self.Caller {
		return nil
	}
	old.Body = body
	_, err = p.store.Update(ctx, old)
	return err
}

// Unregister removes this daemon's object, so that daemons that start later do
// not look for it. Objects of daemons that were killed stay; a daemon that reads
// one forgets it after a while of silence.
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
