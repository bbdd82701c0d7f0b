package placement

import (
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// newsLag is how long news of what a runner has may wait for more. A plan
	// loads an adapter on each of 90 runners within milliseconds; told one by
	// one to 69 daemons they were 47 of 155 MB a day between places.
	newsLag = 100 * time.Millisecond
	// maxNews keeps a datagram of news below a packet of 1,500 bytes.
	maxNews = 12
)

// News tells the daemons of a model or adapter that a runner has, or will soon
// not have. Runners' own descriptions come a second later, and leave adapters
// out.
type News struct {
	Runner  string `json:"r"`
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	Held    bool   `json:"h,omitempty"`
}

// Learner takes in what the holder tells of the runners.
type Learner interface {
	Learn(runner, model, adapter string, held bool)
}

// Spreader brings the holder's news to all daemons.
type Spreader struct {
	peers   *peers.Peers
	learner Learner
	clock   core.Clock
	mu      sync.Mutex
	waiting []News
}

// NewSpreader makes a Spreader, which also takes in the news of other daemons.
func NewSpreader(p *peers.Peers, l Learner, clock core.Clock, log *zap.Logger) *Spreader {
	s := &Spreader{peers: p, learner: l, clock: clock}
	p.Handle(kindNews, func(from peers.Peer, body json.RawMessage, _ func(any)) {
		var list []News
		if err := json.Unmarshal(body, &list); err != nil {
			log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
			return
		}
		for _, n := range list {
			l.Learn(n.Runner, n.Model, n.Adapter, n.Held)
		}
	})
	return s
}

// Tell tells all daemons, this one included. What a runner will not have any more
// is told at once, as requests for it must end before the order; what it has
// waits a moment for more.
func (s *Spreader) Tell(n News) {
	s.learner.Learn(n.Runner, n.Model, n.Adapter, n.Held)
	s.mu.Lock()
	s.waiting = append(s.waiting, n)
	first := len(s.waiting) == 1
	full := len(s.waiting) >= maxNews
	s.mu.Unlock()
	switch {
	case !n.Held || full:
		s.flush()
	case first:
		s.clock.AfterFunc(newsLag, s.flush)
	}
}

// flush sends what waits, in the order in which it was told.
func (s *Spreader) flush() {
	s.mu.Lock()
	list := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	if len(list) == 0 {
		return
	}
	s.peers.TellAll(kindNews, list)
}
