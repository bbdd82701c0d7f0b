package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// fetchInitial fetches the first snapshot of a kind from a peer for as long as one is
// likely to have it, and returns whether it got one. Of 70 daemons that start together,
// five read the store instead of all, and one that restarts does not call the store.
func (w *Watcher) fetchInitial(ctx context.Context, kind string) bool {
	started := w.clock.Now()
	for ctx.Err() == nil && !w.readsStore(w.clock.Since(started)) {
		if c, err := w.fetch(ctx, kind, "", 0); err == nil && !c.Stale {
			w.applySnapshot(kind, c)
			return true
		}
		core.Sleep(ctx, w.clock, initialInterval)
	}
	return false
}

// follow waits until a peer reports a change and fetches that peer's snapshot, on a daemon
// that does not watch. If that fails, it lists the store.
func (w *Watcher) follow(ctx context.Context, kind string) {
	k := w.kinds[kind]
	w.mu.Lock()
	k.following = true
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-w.clock.After(followInterval):
	case <-k.wake:
	}
	w.mu.Lock()
	h, version := k.hint, k.version
	w.mu.Unlock()
	if h.change <= version || !h.sameDataCentre && w.clock.Since(h.at) < remoteHintDelay {
		return
	}
	c, err := w.fetch(ctx, kind, h.from, version)
	if err == nil && c.Version >= h.change {
		w.applySnapshot(kind, c)
		w.expireFailure(kind, c)
		if kind == w.reader.RunnerKind {
			core.Sleep(ctx, w.clock, w.followPause())
		}
		return
	}
	if err := w.list(ctx, kind); err != nil && ctx.Err() == nil {
		w.recordFailure(kind, err)
	}
}

// stopFollowing marks the kind as no longer followed, and returns whether it was.
func (w *Watcher) stopFollowing(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	was := k.following
	k.following = false
	return was
}

// fetchFromPeer applies a peer's snapshot. A stale one is used only if nothing has been
// received here yet: a daemon started during an outage of the store would otherwise refuse
// every request that its peers serve from what they hold.
func (w *Watcher) fetchFromPeer(ctx context.Context, kind string) {
	c, err := w.fetch(ctx, kind, "", w.version(kind))
	if err != nil {
		w.log.Debug(logs.NoSnapshot, zap.String("kind", kind), logs.Err(err))
		return
	}
	if !c.Stale {
		w.recordPeerServed(kind, c.HealthyFor)
	}
	if !c.Stale || w.version(kind) == 0 {
		w.applySnapshot(kind, c)
	}
}

// recordPeerServed records that the store serves a peer, and has not failed there for a time.
func (w *Watcher) recordPeerServed(kind string, healthy time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	k.peerServedAt = w.clock.Now()
	k.peerFailedAt = k.peerServedAt.Add(-healthy)
}
