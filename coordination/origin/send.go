package origin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
)

const (
	// copies is how many other daemons of a large fleet get a record. In a small fleet all do.
	copies = 2
	// askedBeyond is how many more daemons of a large fleet are asked for a record than get it: those
	// found by hashing may have ended since, and others then take their place.
	askedBeyond = 2
	// sendDelay is how long records wait for others to the same daemon.
	sendDelay = 20 * time.Millisecond
	// maxBatch bounds the records of one datagram, some 30 bytes each.
	maxBatch = 32
	// maxQueued bounds the records that wait to be sent.
	maxQueued = 4096
	// listInterval is how long a list of the daemons is used.
	listInterval = 300 * time.Millisecond

	kindRecords  = "origins"
	kindAsk      = "origin"
	kindAdmitted = "admitted"
)

// copyOf is a record that is sent to other daemons.
type copyOf struct {
	key    core.StreamKey
	owner  core.Code
	origin core.Origin
}

// records are streams of one workspace that began at the same version.
type records struct {
	Origin core.Origin `json:"origin"`
	Owner  core.Code   `json:"owner,omitempty"`
	Keys   []byte      `json:"keys"` // one after the other
}

// found is the answer to the question where a stream began.
type found struct {
	Known  bool          `json:"known"`
	Origin core.Origin   `json:"origin"`
	Owner  core.Code     `json:"owner,omitempty"`
	Age    core.Duration `json:"age,omitempty"` // of the record
}

// sender sends records in batches.
type sender struct {
	net    Network
	clock  core.Clock
	log    *zap.Logger
	mu     sync.Mutex
	queue  []copyOf
	wake   chan struct{}
	listed []peers.Peer // without this daemon
	at     time.Time    // of listed
}

func newSender(net Network, clock core.Clock, log *zap.Logger) *sender {
	return &sender{net: net, clock: clock, log: log, wake: make(chan struct{}, 1)}
}

// add queues a record. Records that do not fit into the queue are dropped; their streams can be taken
// up at this daemon only.
func (s *sender) add(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueued {
		return
	}
	s.queue = append(s.queue, c)
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

func (s *sender) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		core.Sleep(ctx, s.clock, sendDelay)
		s.flush()
	}
}

// flush sends what is queued.
func (s *sender) flush() {
	s.mu.Lock()
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	targets := map[string]peers.Peer{}
	batches := map[string][]copyOf{}
	for _, c := range queue {
		for _, to := range s.recipients(c.key) {
			targets[to.Name] = to
			batches[to.Name] = append(batches[to.Name], c)
		}
	}
	for name, to := range targets {
		for list := batches[name]; len(list) > 0; {
			n := min(len(list), maxBatch)
			s.net.Send(to, kindRecords, pack(list[:n]))
			list = list[n:]
		}
	}
}

// recipients returns the daemons that get a record.
func (s *sender) recipients(k core.StreamKey) []peers.Peer {
	if !s.net.Large() {
		return s.others()
	}
	return s.holders(k, copies)
}

// pack groups records by their origin and workspace.
func pack(list []copyOf) []records {
	type group struct {
		origin core.Origin
		owner  core.Code
	}
	index := map[group]int{}
	var out []records
	for _, c := range list {
		g := group{c.origin, c.owner}
		i, ok := index[g]
		if !ok {
			i = len(out)
			index[g] = i
			out = append(out, records{Origin: c.origin, Owner: c.owner})
		}
		out[i].Keys = append(out[i].Keys, c.key[:]...)
	}
	return out
}

// others returns the other daemons that are alive.
func (s *sender) others() []peers.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now(); s.listed == nil || now.Sub(s.at) >= listInterval {
		s.listed, s.at = s.net.Alive()[1:], now
	}
	return s.listed
}

// holders returns the n other daemons that rank highest for a key. Daemons that are leaving hold no
// records.
func (s *sender) holders(k core.StreamKey, n int) []peers.Peer {
	return peers.Rank(s.others(), k[:], n)
}

// targets returns the daemons to ask for a key: in a small fleet all, which also finds a daemon that
// has the record of its own stream. A nil key is for what any daemon may know.
func (t *Tracker) targets(k *core.StreamKey) []peers.Peer {
	others := t.sender.others()
	switch {
	case !t.net.Large():
		return others
	case k == nil:
		return others[:min(len(others), copies+askedBeyond)]
	}
	return t.sender.holders(*k, copies+askedBeyond)
}

// ask sends a question to daemons at once, as peers.RequestAll does, and waits for askTimeout at most.
func ask[A any](ctx context.Context, net Network, to []peers.Peer, kind string, question any, accept func(from string, answer A) bool) (known bool, silent int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peers.RequestAll(ctx, net, to, kind, question, askResend, accept)
}

func (t *Tracker) handleRecords(from peers.Peer, body json.RawMessage, _ func(any)) {
	var list []records
	if !peers.Decode(t.log, from, body, &list) {
		return
	}
	for _, r := range list {
		for keys := r.Keys; len(keys) >= len(core.StreamKey{}); keys = keys[len(core.StreamKey{}):] {
			t.table.Put(core.StreamKey(keys[:len(core.StreamKey{})]), r.Owner, r.Origin)
		}
	}
}

func (t *Tracker) handleAsk(from peers.Peer, body json.RawMessage, answer func(any)) {
	var k core.StreamKey
	if !peers.Decode(t.log, from, body, &k) {
		return
	}
	r, ok := t.table.Get(k)
	answer(found{Known: ok, Origin: r.Origin, Owner: r.Owner, Age: core.Duration(r.Age)})
}
