// Package spread brings the settings tree from the platform to every daemon.
// Two relays in each place hold the platform's watches; what they learn is
// pushed to a few daemons, each of which pushes on what was new to it, and the
// digest on each gossip packet finds what pushes missed.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/tree"
	"primroseward/transport/peer"
)

const (
	relays       = 2
	pushFan      = 3
	snapshotAsk  = 3
	pushRing     = 256
	pullRing     = 16
	callTimeout  = 2 * time.Second
	relayCheck   = 500 * time.Millisecond
	backoffFirst = 200 * time.Millisecond
	backoffLast  = 5 * time.Second
	neverFresh   = -1
)

// Spreader keeps a Replica in step with the platform and the other daemons.
type Spreader struct {
	replica  *tree.Replica
	members  core.Members
	platform core.Platform
	dial     peer.Dial
	clock    core.Clock
	log      *zap.Logger

	listMu   sync.Mutex // guards the newest snapshot of the platform
	listed   map[string]bool
	listedAt uint64

	push      chan []tree.Branch
	pull      chan core.Member
	pulling   atomic.Bool
	confirmed atomic.Pointer[time.Time] // with its monotonic reading: steps of the time of day must not make old settings look fresh
	relaying  atomic.Bool
	ready     chan struct{}
	readyOnce sync.Once
	wg        sync.WaitGroup
	stop      context.CancelFunc
}

// New makes a Spreader.
func New(replica *tree.Replica, members core.Members, platform core.Platform, dial peer.Dial, clock core.Clock, log *zap.Logger) *Spreader {
	return &Spreader{
		replica:  replica,
		members:  members,
		platform: platform,
		dial:     dial,
		clock:    clock,
		log:      log,
		push:     make(chan []tree.Branch, pushRing),
		pull:     make(chan core.Member, pullRing),
		ready:    make(chan struct{}),
	}
}

// Start begins to learn and to pass on.
func (s *Spreader) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.wg.Add(3)
	go s.runPush(ctx)
	go s.runPull(ctx)
	go s.runRelay(ctx)
}

// Stop ends it.
func (s *Spreader) Stop() {
	s.stop()
	s.wg.Wait()
}

// Ready is closed once there are settings to serve by.
func (s *Spreader) Ready() <-chan struct{} { return s.ready }

// Relaying says whether this daemon holds a watch.
func (s *Spreader) Relaying() bool { return s.relaying.Load() }

// Sum is the digest of the settings held.
func (s *Spreader) Sum() uint64 { return s.replica.Sum() }

// Fresh is the time since the settings held were confirmed to be the
// platform's; negative if never.
func (s *Spreader) Fresh() time.Duration {
	at := s.confirmed.Load()
	if at == nil {
		return neverFresh
	}
	return max(0, s.clock.Since(*at))
}

// Heard takes in another member's digest: other settings are asked for, and
// for equal ones the other's confirmation counts here too.
func (s *Spreader) Heard(from core.Member, sum uint64, fresh time.Duration) {
	if sum != s.replica.Sum() {
		if s.pulling.CompareAndSwap(false, true) {
			select {
			case s.pull <- from:
			default:
				s.pulling.Store(false)
			}
		}
		return
	}
	if fresh >= 0 {
		s.confirm(s.clock.Now().Add(-fresh))
	}
}

func (s *Spreader) confirm(at time.Time) {
	for {
		have := s.confirmed.Load()
		if have != nil && !at.After(*have) || s.confirmed.CompareAndSwap(have, &at) {
			return
		}
	}
}

// Take applies branches and passes on those that were new.
func (s *Spreader) Take(branches []tree.Branch) {
	taken := s.replica.Apply(s.bury(branches))
	if s.replica.Tree() != nil {
		s.readyOnce.Do(func() { close(s.ready) })
	}
	if len(taken) == 0 {
		return
	}
	select {
	case s.push <- taken:
	default: // the digest on gossip makes up for a push that is dropped
	}
}

// runPush passes new branches to a few random daemons.
func (s *Spreader) runPush(ctx context.Context) {
	defer s.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case branches := <-s.push:
			msg := ToWire(branches)
			for _, m := range s.targets() {
				s.pushTo(ctx, m, msg)
			}
		}
	}
}

func (s *Spreader) pushTo(ctx context.Context, m core.Member, msg *peerv1.Branches) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.dial(m.Peer).Push(ctx, connect.NewRequest(msg))
	if err != nil {
		s.log.Debug("push of settings failed", zap.String("member", m.Name), zap.Error(err))
	}
}

// targets picks daemons of the own place first, and one of elsewhere.
func (s *Spreader) targets() []core.Member {
	self := s.members.Self()
	var near, far []core.Member
	for _, m := range s.members.All() {
		switch {
		case m.Name == self.Name || m.State >= core.MemberSuspect:
		case m.Place == self.Place:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	shuffle(near)
	shuffle(far)
	out := near[:min(len(near), pushFan-1)]
	return append(out, far[:min(len(far), pushFan-len(out))]...)
}

func shuffle(m []core.Member) {
	rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
}

// runPull asks daemons with other settings for what is newer there.
func (s *Spreader) runPull(ctx context.Context) {
	defer s.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.pull:
			_ = s.pullFrom(ctx, m)
			s.pulling.Store(false)
		}
	}
}

func (s *Spreader) pullFrom(ctx context.Context, m core.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerv1.Versions{}
	for name, v := range s.replica.Versions() {
		req.Versions = append(req.Versions, &peerv1.Version{Branch: name, Version: v})
	}
	resp, err := s.dial(m.Peer).Pull(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	s.Take(FromWire(resp.Msg))
	return nil
}

// runRelay takes the first snapshot, then holds the platform's watches for as
// long as this daemon is one of its place's relays.
func (s *Spreader) runRelay(ctx context.Context) {
	defer s.wg.Done()
	s.firstSnapshot(ctx)
	wait := backoffFirst
	for ctx.Err() == nil {
		if !s.isRelay() {
			s.relaying.Store(false)
			core.Sleep(ctx, s.clock, relayCheck)
			continue
		}
		began := s.clock.Now()
		s.relay(ctx)
		if s.clock.Since(began) > backoffLast {
			wait = backoffFirst
		}
		s.relaying.Store(false)
		// Jitter: after an outage the relays of all places would otherwise
		// come back in the same instant and bring the platform down again.
		core.Sleep(ctx, s.clock, wait/2+rand.N(wait))
		wait = min(2*wait, backoffLast)
	}
}

// firstSnapshot asks several peers, since one alone may lag, and the platform
// when too few answer.
func (s *Spreader) firstSnapshot(ctx context.Context) {
	for wait := backoffFirst; ctx.Err() == nil; wait = min(2*wait, backoffLast) {
		answers := 0
		for _, m := range s.members.Rank("snapshot/"+s.members.Self().Name, "", snapshotAsk+1) {
			if m.Name != s.members.Self().Name && s.pullFrom(ctx, m) == nil {
				answers++
			}
		}
		if answers < snapshotAsk {
			_, err := s.list(ctx)
			if err != nil {
				s.log.Warn("settings cannot be read from the platform", zap.Error(err))
			}
		}
		if s.replica.Tree() != nil {
			return
		}
		core.Sleep(ctx, s.clock, wait/2+rand.N(wait))
	}
}

func (s *Spreader) isRelay() bool {
	self := s.members.Self()
	for _, m := range s.members.Rank("relay", self.Place, relays) {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}

// relay holds the watches until one breaks or this daemon is no relay.
func (s *Spreader) relay(ctx context.Context) {
	version, err := s.list(ctx)
	if err != nil {
		s.log.Warn("settings cannot be read from the platform", zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.relaying.Store(true)
	var wg sync.WaitGroup
	for _, kind := range []string{core.KindTree, core.KindVM} {
		wg.Add(1)
		go s.runWatch(ctx, cancel, &wg, kind, version)
	}
	for s.isRelay() && ctx.Err() == nil {
		core.Sleep(ctx, s.clock, relayCheck)
	}
	cancel()
	wg.Wait()
}

func (s *Spreader) runWatch(ctx context.Context, cancel func(), wg *sync.WaitGroup, kind string, version uint64) {
	defer wg.Done()
	defer cancel()
	err := s.platform.Watch(ctx, kind, version, func(e core.Event) {
		if kind == core.KindTree {
			s.confirm(s.clock.Now())
		}
		if e.Object.Name != "" {
			s.Take(branchesOf(kind, e))
		}
	})
	if err != nil && ctx.Err() == nil {
		s.log.Info("watch of the platform ended", zap.String("kind", kind), zap.Error(err))
	}
}

// Newer answers a Pull.
func (s *Spreader) Newer(req *peerv1.Versions) *peerv1.Branches {
	versions := map[string]uint64{}
	for _, v := range req.Versions {
		versions[v.Branch] = v.Version
	}
	return ToWire(s.replica.Newer(versions))
}
