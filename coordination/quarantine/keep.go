package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/hold"
)

const (
	// writePause is the time between two rounds of writes and reads, also while the store
	// fails.
	writePause = 500 * time.Millisecond
	// readInterval is how often one daemon reads the operators' changes from the store while
	// any request is held back.
	readInterval = 5 * time.Second
	// storeRetention is how long the store keeps a hold after its start. It is far longer than
	// daemons keep it, because clocks may differ.
	storeRetention = 24 * time.Hour
	// storeTimeout bounds one write or read.
	storeTimeout = 2 * time.Second
	// firstReadTimeout bounds how long sends wait, after the start of a daemon, until it has read the holds in the store.
	firstReadTimeout = time.Second
)

// keeper writes holds to the platform's store, so that they survive the loss of all daemons,
// and reads there which ones operators have released.
type keeper struct {
	q        *Quarantine
	store    core.Platform
	isReader func() bool

	mu      sync.Mutex
	waiting map[core.Digest]bool
	wake    chan struct{} // signals that a hold waits to be written
	readAt  time.Time     // zero: never
}

func newKeeper(q *Quarantine, store core.Platform, isReader func() bool) *keeper {
	return &keeper{q: q, store: store, isReader: isReader, waiting: map[core.Digest]bool{}, wake: make(chan struct{}, 1)}
}

// enqueue schedules the write of a request's hold.
func (k *keeper) enqueue(d core.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting[d] = true
	select {
	case k.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// run writes holds and reads them. It begins with a read: the daemons that knew them may all be gone.
func (k *keeper) run(ctx context.Context) {
	defer k.q.wg.Done()
	if err := k.read(ctx, false); err != nil { // each daemon reads, so that none needs to broadcast
		k.q.log.Warn(logs.HoldsNotRead, logs.Err(err))
	}
	k.q.setKnown()
	for ctx.Err() == nil {
		failed := false
		for _, d := range k.takeWaiting() {
			if err := k.write(ctx, d); err != nil {
				k.q.log.Warn(logs.HoldNotStored, zap.Stringer("digest", d), logs.Err(err))
				k.enqueue(d)
				failed = true
			}
		}
		if k.readDue() {
			if err := k.read(ctx, true); err != nil {
				k.q.log.Warn(logs.HoldsNotRead, logs.Err(err))
			}
		}
		k.wait(ctx, failed)
	}
}

// wait waits until the next round, or until a hold is to be written unless a write has just failed.
func (k *keeper) wait(ctx context.Context, failed bool) {
	if failed {
		core.Sleep(ctx, k.q.clock, writePause)
		return
	}
	select {
	case <-ctx.Done():
	case <-k.wake:
	case <-k.q.clock.After(writePause):
	}
}

// takeWaiting removes and returns the requests whose holds are to be written.
func (k *keeper) takeWaiting() []core.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Collect(maps.Keys(k.waiting))
	clear(k.waiting)
	return out
}

// write updates the store's record of a hold to this daemon's, or this daemon's to the store's
// if that is not older.
func (k *keeper) write(ctx context.Context, d core.Digest) error {
	r, ok := k.q.table.Get(d)
	if !ok {
		return nil
	}
	body, err := hold.Encode(&r, k.q.clock.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o := core.Object{Kind: core.KindHolds, Name: d.String(), Body: body}
	if r.Version == 1 {
		if _, err = k.store.Create(ctx, o); !errors.Is(err, core.ErrExists) {
			return err
		}
	}
	old, err := k.store.Get(ctx, core.KindHolds, o.Name)
	if errors.Is(err, core.ErrNotFound) {
		_, err = k.store.Create(ctx, o)
		return err
	}
	if err != nil {
		return err
	}
	theirs, err := hold.DecodeStored(old.Body, k.q.clock.Now())
	if err == nil && theirs.Version >= r.Version {
		k.q.merge(*theirs, core.KindHolds)
		return nil
	}
	old.Body = body
	_, err = k.store.Update(ctx, old)
	return err
}

// readDue reports whether this daemon is to read the store now: if its first read has failed, and
// every readInterval while any request is held back.
func (k *keeper) readDue() bool {
	if !k.isReader() {
		return false
	}
	return k.readAt.IsZero() || k.q.table.Len() > 0 && k.q.clock.Since(k.readAt) >= readInterval
}

// read merges the store's holds, and deletes those older than storeRetention. If broadcast is set, it broadcasts the
// changed ones.
func (k *keeper) read(ctx context.Context, broadcast bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := k.store.List(ctx, core.KindHolds)
	if err != nil {
		return err
	}
	now := k.q.clock.Now()
	k.readAt = now
	for _, o := range objects {
		r, err := hold.DecodeStored(o.Body, now)
		if err != nil {
			k.q.log.Warn(logs.HoldUnreadable, zap.String("name", o.Name), logs.Err(err))
			continue
		}
		if now.Sub(r.Since) > storeRetention {
			if err := k.store.Delete(ctx, o); err != nil {
				k.q.log.Info(logs.HoldNotStored, zap.String("name", o.Name), logs.Err(err)) // the next read tries again
			}
			continue
		}
		if k.q.merge(*r, core.KindHolds) && broadcast {
			k.q.broadcastHold(*r)
		}
	}
	return nil
}
