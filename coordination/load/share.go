package load

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// shareEvery is how often a place tells the others of its requests in progress:
	// a stream lasts a second or two.
	shareEvery = 400 * time.Millisecond
	// shareTo is how many daemons of another place are told; each passes it on to
	// its place, and one of them may have just gone.
	shareTo = 2

	kindLoads = "loads"
)

// sums are a place's requests in progress by runner.
type sums struct {
	Place  string         `json:"place"`
	Counts map[string]int `json:"counts"`
}

// Sharer brings the loads of each place of a large fleet to the others. There daemons
// tell only those of their own place what they have in progress. Without the other
// places' requests a daemon of 70 saw a quarter of a runner's load, and one in six
// requests went to a runner that had no room for it.
type Sharer struct {
	table  *Table
	peers  *peers.Peers
	speaks func() bool // whether this daemon speaks for its place
	clock  core.Clock
	log    *zap.Logger
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

// NewSharer makes a Sharer; speaks says whether this daemon tells for its place.
func NewSharer(t *Table, p *peers.Peers, speaks func() bool, clock core.Clock, log *zap.Logger) *Sharer {
	s := &Sharer{table: t, peers: p, speaks: speaks, clock: clock, log: log}
	p.Handle(kindLoads, s.handle)
	return s
}

// Start begins to tell.
func (s *Sharer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.wg.Add(1)
	go s.run(ctx)
}

// Stop ends it.
func (s *Sharer) Stop() {
	s.stop()
	s.wg.Wait()
}

func (s *Sharer) run(ctx context.Context) {
	defer s.wg.Done()
	for ctx.Err() == nil {
		if s.peers.Large() && s.speaks() {
			s.tell()
		}
		core.Sleep(ctx, s.clock, shareEvery)
	}
}

// tell tells some daemons of each other place.
func (s *Sharer) tell() {
	alive := s.peers.Alive()
	self := alive[0]
	m := sums{Place: self.Place, Counts: s.table.Place()}
	for _, to := range speakers(alive[1:], self.Place) {
		s.peers.Tell(to, kindLoads, m)
	}
}

// speakers are the daemons of each other place that are told, the same ones for all
// that know the same.
func speakers(alive []peers.Peer, own string) []peers.Peer {
	alive = slices.DeleteFunc(slices.Clone(alive), func(p peers.Peer) bool { return p.Place == own || p.Leaving || !p.Ready })
	slices.SortFunc(alive, func(a, b peers.Peer) int {
		if xxhash.Sum64String(a.Name) < xxhash.Sum64String(b.Name) {
			return -1
		}
		return 1
	})
	told := map[string]int{}
	return slices.DeleteFunc(alive, func(p peers.Peer) bool {
		told[p.Place]++
		return told[p.Place] > shareTo
	})
}

// handle takes in another place's loads, and passes on to this place what comes from
// that one.
func (s *Sharer) handle(from peers.Peer, body json.RawMessage, _ func(any)) {
	var m sums
	if err := json.Unmarshal(body, &m); err != nil {
		s.log.Warn(logs.MessageUnreadable, zap.String("other", from.Name), logs.Err(err))
		return
	}
	s.table.HeardPlace(m.Place, m.Counts)
	alive := s.peers.Alive()
	if from.Place != m.Place || from.Place == alive[0].Place {
		return
	}
	for _, to := range alive[1:] {
		if to.Place == alive[0].Place {
			s.peers.Tell(to, kindLoads, m)
		}
	}
}
