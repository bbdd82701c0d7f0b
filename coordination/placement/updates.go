package placement

import (
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
)

const (
	// updateDelay is how long an update about a loaded model or adapter may wait to be
	// sent together with others. A plan loads an adapter on each of 90 runners within
	// milliseconds. Sent one by one to 69 daemons, these updates would account for 47 of
	// 155 MB a day of traffic between data centres.
	updateDelay = 100 * time.Millisecond
	// maxUpdates keeps a datagram of updates below a packet of 1,500 bytes.
	maxUpdates = 12
)

// HoldingUpdate reports to the daemons a model or adapter that a runner has loaded, or
// that it is about to unload. The runners' own descriptions arrive a second later and do
// not list adapters.
type HoldingUpdate struct {
	Runner  string `json:"r"`
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	Held    bool   `json:"h,omitempty"`
}

// HoldingRecorder records which models and adapters the runners hold.
type HoldingRecorder interface {
	RecordHolding(runner, model, adapter string, held bool)
}

// Broadcaster sends the holder's updates to all daemons.
type Broadcaster struct {
	peers    *peers.Peers
	recorder HoldingRecorder
	clock    core.Clock
	mu       sync.Mutex
	waiting  []HoldingUpdate
}

// NewBroadcaster returns a Broadcaster, which also records the updates of other daemons.
func NewBroadcaster(p *peers.Peers, recorder HoldingRecorder, clock core.Clock, log *zap.Logger) *Broadcaster {
	b := &Broadcaster{peers: p, recorder: recorder, clock: clock}
	p.Handle(kindUpdate, func(from peers.Peer, body json.RawMessage, _ func(any)) {
		var list []HoldingUpdate
		if !peers.Decode(log, from, body, &list) {
			return
		}
		for _, u := range list {
			recorder.RecordHolding(u.Runner, u.Model, u.Adapter, u.Held)
		}
	})
	return b
}

// Broadcast sends an update to all daemons, including this one. An update about an unload is
// sent immediately, since requests for the model or adapter must stop before the order to
// unload it is sent. An update about a load waits up to updateDelay for others.
func (b *Broadcaster) Broadcast(u HoldingUpdate) {
	b.recorder.RecordHolding(u.Runner, u.Model, u.Adapter, u.Held)
	b.mu.Lock()
	b.waiting = append(b.waiting, u)
	first := len(b.waiting) == 1
	full := len(b.waiting) >= maxUpdates
	b.mu.Unlock()
	switch {
	case !u.Held || full:
		b.flush()
	case first:
		b.clock.AfterFunc(updateDelay, b.flush)
	}
}

// flush sends the waiting updates in the order in which they were added.
func (b *Broadcaster) flush() {
	b.mu.Lock()
	list := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	if len(list) == 0 {
		return
	}
	b.peers.Broadcast(kindUpdate, list)
}
