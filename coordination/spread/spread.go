// Package spread distributes the settings tree from the platform to every daemon.
// Two relays in each data centre watch the platform. They push updates to a few
// daemons, each of which pushes those that were new to it to a few more. The
// settings checksum in each gossip packet detects updates that the pushes missed.
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
	relaysPerDataCentre = 2
	pushFanout          = 3   // daemons that an update is pushed to
	initialSources      = 3   // daemons that the first settings are pulled from
	pushQueueLen        = 256 // in pushes
	pullQueueLen        = 16  // in members to pull from
	callTimeout         = 2 * time.Second
	relayCheckInterval  = 500 * time.Millisecond
	minBackoff          = 200 * time.Millisecond
	maxBackoff          = 5 * time.Second
	neverConfirmed      = -1 // result of SinceConfirmed before the first confirmation
)

// Spreader synchronizes a Replica with the platform and the other daemons.
type Spreader struct {
	replica  *tree.Replica
	members  core.Members
	platform core.Platform
	dial     peer.Dial
	clock    core.Clock
	log      *zap.Logger

	listMu        sync.Mutex      // guards listed and listedVersion
	listed        map[string]bool // branch names in the newest listing of the platform
	listedVersion uint64

	push        chan []tree.Branch
	pull        chan core.Member
	pulling     atomic.Bool
	confirmedAt atomic.Pointer[time.Time] // includes the monotonic clock reading, so that a wall clock step cannot make old settings look fresh
	relaying    atomic.Bool
	ready       chan struct{}
	readyOnce   sync.Once
	wg          sync.WaitGroup
	stop        context.CancelFunc
}

// New returns a Spreader.
func New(replica *tree.Replica, members core.Members, platform core.Platform, dial peer.Dial, clock core.Clock, log *zap.Logger) *Spreader {
	return &Spreader{
		replica:  replica,
		members:  members,
		platform: platform,
		dial:     dial,
		clock:    clock,
		log:      log,
		push:     make(chan []tree.Branch, pushQueueLen),
		pull:     make(chan core.Member, pullQueueLen),
		ready:    make(chan struct{}),
	}
}

// Start starts reading settings and distributing them.
func (s *Spreader) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.wg.Add(3)
	go s.runPush(ctx)
	go s.runPull(ctx)
	go s.runRelay(ctx)
}

// Stop ends all goroutines and waits for them.
func (s *Spreader) Stop() {
	s.stop()
	s.wg.Wait()
}

// Ready returns a channel that is closed once the daemon has settings.
func (s *Spreader) Ready() <-chan struct{} { return s.ready }

// Relaying reports whether this daemon watches the platform.
func (s *Spreader) Relaying() bool { return s.relaying.Load() }

// Sum returns the checksum of this daemon's settings.
func (s *Spreader) Sum() uint64 { return s.replica.Sum() }

// SinceConfirmed returns the time since this daemon's settings were last confirmed to be
// those of the platform. It is negative if they never were.
func (s *Spreader) SinceConfirmed() time.Duration {
	at := s.confirmedAt.Load()
	if at == nil {
		return neverConfirmed
	}
	return max(0, s.clock.Since(*at))
}

// ReceiveState handles the settings state of another member. If the checksums
// differ, this daemon pulls from that member, unless a pull is in progress. If they
// are equal, the member's confirmation by the platform applies to this daemon's
// settings too.
func (s *Spreader) ReceiveState(from core.Member, sum uint64, fresh time.Duration) {
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

// confirm records that the settings were those of the platform at a time. An
// earlier time than the recorded one is ignored.
func (s *Spreader) confirm(at time.Time) {
	for {
		current := s.confirmedAt.Load()
		if current != nil && !at.After(*current) || s.confirmedAt.CompareAndSwap(current, &at) {
			return
		}
	}
}

// ApplyBranches applies branches and pushes those that were new to other daemons.
func (s *Spreader) ApplyBranches(branches []tree.Branch) {
	applied := s.replica.Apply(s.markDeleted(branches))
	if s.replica.Tree() != nil {
		s.readyOnce.Do(func() { close(s.ready) })
	}
	if len(applied) == 0 {
		return
	}
	select {
	case s.push <- applied:
	default: // the queue is full; daemons that miss the push pull later, when the checksums in gossip differ
	}
}

// runPush pushes new branches to a few random daemons.
func (s *Spreader) runPush(ctx context.Context) {
	defer s.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case branches := <-s.push:
			msg := ToWire(branches)
			for _, m := range s.pushTargets() {
				s.pushTo(ctx, m, msg)
			}
		}
	}
}

// pushTo pushes branches to one daemon.
func (s *Spreader) pushTo(ctx context.Context, m core.Member, msg *peerv1.Branches) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.dial(m.Peer).Push(ctx, connect.NewRequest(msg))
	if err != nil {
		s.log.Debug("cannot push settings", zap.String("member", m.Name), zap.Error(err))
	}
}

// pushTargets returns up to pushFanout random daemons: up to pushFanout-1 from this
// data centre, and the rest from other data centres.
func (s *Spreader) pushTargets() []core.Member {
	self := s.members.Self()
	var local, remote []core.Member
	for _, m := range s.members.All() {
		switch {
		case m.Name == self.Name || m.State >= core.MemberSuspect:
		case m.DataCentre == self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	shuffle(local)
	shuffle(remote)
	out := local[:min(len(local), pushFanout-1)]
	return append(out, remote[:min(len(remote), pushFanout-len(out))]...)
}

func shuffle(m []core.Member) {
	rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
}

// runPull pulls newer branches from daemons whose settings differ.
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

// pullFrom pulls the branches that are newer at a daemon.
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
	s.ApplyBranches(FromWire(resp.Msg))
	return nil
}

// runRelay loads the first settings and then watches the platform for as long as
// this daemon is one of the relays of its data centre.
func (s *Spreader) runRelay(ctx context.Context) {
	defer s.wg.Done()
	s.loadInitial(ctx)
	backoff := minBackoff
	for ctx.Err() == nil {
		if !s.isRelay() {
			s.relaying.Store(false)
			core.Sleep(ctx, s.clock, relayCheckInterval)
			continue
		}
		startedAt := s.clock.Now()
		s.watchPlatform(ctx)
		if s.clock.Since(startedAt) > maxBackoff {
			backoff = minBackoff
		}
		s.relaying.Store(false)
		// Without jitter the relays of all data centres would reconnect at the
		// same moment after an outage and overload the platform again.
		core.Sleep(ctx, s.clock, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// loadInitial loads the first settings. It pulls from several daemons, since a
// single one may have outdated settings, and reads from the platform if too few of
// them answer.
func (s *Spreader) loadInitial(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		answers := 0
		for _, m := range s.members.Rank("snapshot/"+s.members.Self().Name, "", initialSources+1) {
			if m.Name != s.members.Self().Name && s.pullFrom(ctx, m) == nil {
				answers++
			}
		}
		if answers < initialSources {
			_, err := s.listPlatform(ctx)
			if err != nil {
				s.log.Warn("settings cannot be read from the platform", zap.Error(err))
			}
		}
		if s.replica.Tree() != nil {
			return
		}
		core.Sleep(ctx, s.clock, backoff/2+rand.N(backoff))
	}
}

// isRelay reports whether this daemon is one of the relays of its data centre.
func (s *Spreader) isRelay() bool {
	self := s.members.Self()
	for _, m := range s.members.Rank("relay", self.DataCentre, relaysPerDataCentre) {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}

// watchPlatform watches the platform until a watch ends or this daemon is no longer
// a relay.
func (s *Spreader) watchPlatform(ctx context.Context) {
	version, err := s.listPlatform(ctx)
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
		core.Sleep(ctx, s.clock, relayCheckInterval)
	}
	cancel()
	wg.Wait()
}

// runWatch applies the events of one kind of object, starting at a version. It
// cancels the other watch when it ends.
func (s *Spreader) runWatch(ctx context.Context, cancel func(), wg *sync.WaitGroup, kind string, version uint64) {
	defer wg.Done()
	defer cancel()
	err := s.platform.Watch(ctx, kind, version, func(e core.Event) {
		if kind == core.KindTree {
			s.confirm(s.clock.Now())
		}
		if e.Object.Name != "" {
			s.ApplyBranches(branchesOf(kind, e))
		}
	})
	if err != nil && ctx.Err() == nil {
		s.log.Info("watch of the platform ended", zap.String("kind", kind), zap.Error(err))
	}
}

// Newer returns the branches that are newer here than in a Pull request.
func (s *Spreader) Newer(req *peerv1.Versions) *peerv1.Branches {
	versions := map[string]uint64{}
	for _, v := range req.Versions {
		versions[v.Branch] = v.Version
	}
	return ToWire(s.replica.Newer(versions))
}
