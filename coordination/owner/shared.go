package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/state/ledger"
	"primroseward/state/tree"
)

const (
	storeName = "weights"
	// minLoadSlotTTL is the minimum time for which a load keeps its slot of the weight
	// store if its end is never reported.
	minLoadSlotTTL     = time.Minute
	maxConflictRetries = 4
)

// updateObject reads an object, passes its body to fn and writes the result by a
// conditional update. It starts over when another writer was first, at most
// maxConflictRetries times. If fn returns false, nothing is written.
func updateObject[T any](ctx context.Context, p core.Platform, kind, name string, fn func(T) (T, bool, error)) error {
	for retries := 0; ; retries++ {
		err := updateObjectOnce(ctx, p, kind, name, fn)
		if errors.Is(err, core.ErrOverwritten) {
			return nil // the write took effect, and a later one was based on it
		}
		conflict := errors.Is(err, core.ErrConflict) || errors.Is(err, core.ErrExists)
		if !conflict || retries == maxConflictRetries {
			return err
		}
	}
}

func updateObjectOnce[T any](ctx context.Context, p core.Platform, kind, name string, fn func(T) (T, bool, error)) error {
	var body T
	o, err := p.Get(ctx, kind, name)
	switch {
	case errors.Is(err, core.ErrNotFound):
		o = core.Object{Kind: kind, Name: name}
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(o.Body, &body); err != nil {
			return eris.Wrapf(core.ErrInvalid, "%s %s: %v", kind, name, err)
		}
	}
	next, write, err := fn(body)
	if err != nil || !write {
		return err
	}
	if o.Body, err = json.Marshal(next); err != nil {
		return eris.Wrap(core.ErrInvalid, err.Error())
	}
	if o.Version == 0 {
		_, err = p.Create(ctx, o)
	} else {
		_, err = p.Update(ctx, o)
	}
	return err
}

// floors protects the last replica of each model through one platform object per model.
type floors struct {
	platform core.Platform
	log      *zap.Logger
	// ready returns the runners that currently serve a model, according to their reports.
	ready func(ctx context.Context, model string) []string
}

// ensurePin pins a ready replica, unless the pinned one is reported ready.
func (f *floors) ensurePin(ctx context.Context, model, runner string) {
	seen := f.ready(ctx, model)
	err := updateObject(ctx, f.platform, core.KindFloor, model, func(body ledger.Floor) (ledger.Floor, bool, error) {
		if slices.Contains(seen, body.Pin) {
			return body, false, nil
		}
		next, err := body.Done(runner).Repin(runner)
		return next, err == nil, err
	})
	if err != nil {
		f.log.Warn("pinning a replica failed", zap.String("model", model), zap.Error(err))
	}
}

// beginEviction records that a runner's replica may be evicted. If that replica is the
// pinned one, or the pinned one is not reported ready, another replica that is reported
// ready is pinned in the same write.
func (f *floors) beginEviction(ctx context.Context, model, runner string) error {
	seen := f.ready(ctx, model)
	return updateObject(ctx, f.platform, core.KindFloor, model, func(body ledger.Floor) (ledger.Floor, bool, error) {
		for _, other := range seen {
			if body.Pin != runner && slices.Contains(seen, body.Pin) {
				break
			}
			if other == runner {
				continue
			}
			if next, err := body.Repin(other); err == nil {
				body = next
			}
		}
		next, err := body.Evict(runner, slices.Contains(seen, body.Pin))
		return next, err == nil, err
	})
}

// endEviction removes the mark of an eviction that has ended or was not started.
func (f *floors) endEviction(ctx context.Context, model, runner string) {
	err := updateObject(ctx, f.platform, core.KindFloor, model, func(body ledger.Floor) (ledger.Floor, bool, error) {
		if !slices.Contains(body.Evicting, runner) {
			return body, false, nil
		}
		return body.Done(runner), true, nil
	})
	if err != nil {
		f.log.Warn("recording the end of an eviction failed", zap.String("model", model), zap.Error(err))
	}
}

// weightStore limits the loads from the weight store, across all daemons, to its slots and
// its rate.
type weightStore struct {
	platform core.Platform
	clock    core.Clock
	log      *zap.Logger
}

// reserve reserves a slot for a load. ErrUnavailable means that no slot is free now or
// that the rate is used up.
func (w *weightStore) reserve(ctx context.Context, id string, limits tree.Store, load time.Duration) error {
	return updateObject(ctx, w.platform, core.KindStore, storeName, func(s ledger.Slots) (ledger.Slots, bool, error) {
		next, wait := s.Take(id, w.clock.Now(), max(minLoadSlotTTL, 3*load), limits.Rate, limits.Slots)
		if wait > 0 {
			return s, false, eris.Wrapf(core.ErrUnavailable, "the weight store is busy for %s", wait)
		}
		return next, true, nil
	})
}

// release frees the slot of a load.
func (w *weightStore) release(ctx context.Context, id string) {
	err := updateObject(ctx, w.platform, core.KindStore, storeName, func(s ledger.Slots) (ledger.Slots, bool, error) {
		next, changed := s.Release(id)
		return next, changed, nil
	})
	if err != nil {
		w.log.Info("slot of the weight store was not released; it stays taken until it expires", zap.String("load", id), zap.Error(err))
	}
}
