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
	// yieldTimeout bounds the request to the holder, which answers within a round trip
	// unless it is unreachable.
	yieldTimeout = 150 * time.Millisecond
	yieldResend  = 50 * time.Millisecond
)

// yieldRequest is the request to the holder of a term to release the lease of orders.
type yieldRequest struct {
	Term uint64 `json:"term"`
}

// yieldReply is the reply to a yieldRequest.
type yieldReply struct {
	Yielded bool          `json:"yielded"`
	Idle    time.Duration `json:"idle"` // since the last order
}

func (d *Daemon) handleYield(from peers.Peer, body json.RawMessage, reply func(any)) {
	var req yieldRequest
	if !peers.Decode(d.log, from, body, &req) {
		return
	}
	idle, ok := d.lease.Yield(req.Term)
	reply(yieldReply{Yielded: ok, Idle: idle})
}

// currentHolder is the holder of the lease as this daemon sees it. It implements
// lease.CurrentHolder.
type currentHolder struct{ d *Daemon }

// RenewedRecently implements lease.CurrentHolder.
func (h currentHolder) RenewedRecently() bool {
	p, ok := h.d.peers.Holder()
	return ok && p.LeaseRenewed && p.Name != h.d.set.Name
}

// RequestYield implements lease.CurrentHolder.
func (h currentHolder) RequestYield(ctx context.Context, term uint64) (time.Duration, bool) {
	p, ok := h.d.peers.Holder()
	if !ok || p.Term != term || p.Name == h.d.set.Name {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	var got yieldReply
	if err := h.d.peers.Request(ctx, p, kindYield, yieldRequest{Term: term}, &got, yieldResend); err != nil {
		h.d.log.Info(logs.HolderUnresponsive, zap.String("holder", p.Name), logs.Err(err))
		return 0, false
	}
	return got.Idle, got.Yielded
}
