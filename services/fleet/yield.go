package fleet

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/io/logs"
)

const (
	kindYield = "yield"
	// yieldLimit is how long the holder is asked; it answers within a round
	// trip or is cut off.
	yieldLimit  = 150 * time.Millisecond
	yieldResend = 50 * time.Millisecond
)

// yieldAsk asks the holder of a term to stop; yieldAnswer is its answer.
type yieldAsk struct {
	Term uint64 `json:"term"`
}

type yieldAnswer struct {
	Yielded bool          `json:"yielded"`
	Idle    time.Duration `json:"idle"` // since the last order
}

func (d *Daemon) handleYield(from peers.Peer, body json.RawMessage, answer func(any)) {
	var ask yieldAsk
	if err := json.Unmarshal(body, &ask); err != nil {
		d.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	idle, ok := d.lease.Yield(ask.Term)
	answer(yieldAnswer{Yielded: ok, Idle: idle})
}

// rival is the holder of the lease as this daemon sees it; it implements
// lease.Rival.
type rival struct{ d *Daemon }

func (r rival) Fresh() bool {
	p, ok := r.d.peers.Holder()
	return ok && p.Fresh && p.Name != r.d.set.Name
}

func (r rival) AskYield(ctx context.Context, term uint64) (time.Duration, bool) {
	p, ok := r.d.peers.Holder()
	if !ok || p.Term != term || p.Name == r.d.set.Name {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, yieldLimit)
	defer cancel()
	var got yieldAnswer
	if err := r.d.peers.Ask(ctx, p, kindYield, yieldAsk{Term: term}, &got, yieldResend); err != nil {
		r.d.log.Info(logs.HolderSilent, zap.String("holder", p.Name), logs.Err(err))
		return 0, false
	}
	return got.Idle, got.Yielded
}
