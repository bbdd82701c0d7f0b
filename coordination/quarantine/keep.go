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
	// keepPause is the time between two looks for decisions to be kept, or two tries
	// while the store fails.
	keepPause = 500 * time.Millisecond
	// readEvery is how often one daemon reads what operators have changed in the store,
	// while any request is held back.
	readEvery = 5 * time.Second
	// storeMemory is how long the store keeps a decision after its term. It is far longer
	// than daemons do, as clocks may differ.
	storeMemory = 24 * time.Hour
	// storeLimit bounds one call.
	storeLimit = 2 * time.Second
)

// keeper keeps decisions in the platform's store, so that they outlive the loss of all
// daemons, and reads there what operators release.
type keeper struct {
	q     *Quarantine
	store core.Platform
	reads func() bool

	mu      sync.Mutex
	waiting map[core.Digest]bool
	readAt  time.Time // zero: never
}

func newKeeper(q *Quarantine, store core.Platform, reads func() bool) *keeper {
	return &keeper{q: q, store: store, reads: reads, waiting: map[core.Digest]bool{}}
}

// add has a request's record written.
func (k *keeper) add(d core.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting[d] = true
}

func (k *keeper) run(ctx context.Context) {
	defer k.q.wg.Done()
	for ctx.Err() == nil {
		for _, d := range k.due() {
			if err := k.write(ctx, d); err != nil {
				k.q.log.Warn(logs.HoldUnkept, zap.Stringer("digest", d), logs.Err(err))
				k.add(d)
			}
		}
		if k.mustRead() {
			if err := k.read(ctx); err != nil {
				k.q.log.Warn(logs.HoldsUnread, logs.Err(err))
			}
		}
		core.Sleep(ctx, k.q.clock, keepPause)
	}
}

// due takes out the requests whose records are to be written.
func (k *keeper) due() []core.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Collect(maps.Keys(k.waiting))
	clear(k.waiting)
	return out
}

// write brings the store's record of a request up to this daemon's, or this daemon's up
// to the store's where that is later.
func (k *keeper) write(ctx context.Context, d core.Digest) error {
	r, ok := k.q.table.Get(d)
	if !ok {
		return nil
	}
	body, err := hold.Encode(&r, k.q.clock.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
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
	theirs, err := hold.Stored(old.Body, k.q.clock.Now())
	if err == nil && theirs.Version >= r.Version {
		k.q.take(*theirs, core.KindHolds)
		return nil
	}
	old.Body = body
	_, err = k.store.Update(ctx, old)
	return err
}

// mustRead says whether this daemon is to read the store's records now: once after its
// start, and again and again while requests are held back.
func (k *keeper) mustRead() bool {
	if !k.reads() {
		return false
	}
	return k.readAt.IsZero() || k.q.table.Len() > 0 && k.q.clock.Since(k.readAt) >= readEvery
}

// read takes in the store's records, tells the others of what is news, and removes those
// that are long over.
func (k *keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	objects, _, err := k.store.List(ctx, core.KindHolds)
	if err != nil {
		return err
	}
	now := k.q.clock.Now()
	k.readAt = now
	for _, o := range objects {
		r, err := hold.Stored(o.Body, now)
		if err != nil {
			k.q.log.Warn(logs.HoldUnreadable, zap.String("name", o.Name), logs.Err(err))
			continue
		}
		if now.Sub(r.Since) > storeMemory {
			if err := k.store.Delete(ctx, o); err != nil {
				k.q.log.Info(logs.HoldUnkept, zap.String("name", o.Name), logs.Err(err)) // it is removed another time
			}
			continue
		}
		if k.q.take(*r, core.KindHolds) {
			k.q.spread(*r)
		}
	}
	return nil
}
