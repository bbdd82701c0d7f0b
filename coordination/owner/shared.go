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
	// minLoadSlotTTL is how long a load keeps its slot of the weight store when
	// nobody reports its end.
	minLoadSlotTTL     = time.Minute
	maxConflictRetries = 4
)

// updateObject reads an object's body, lets fn make the next one and writes it by a
// conditional update, again after lost races. fn returns false to write
// nothing.
func updateObject[T any](ctx context.Context, p core.Platform, kind, name string, fn func(T) (T, bool, error)) error {
	for retries := 0; ; retries++ {
		err := updateObjectOnce(ctx, p, kind, name, fn)
		if errors.Is(err, core.ErrOvertaken) {
			return nil // written, and what followed was made from it
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

// floors guards each model's last replica through one object per model.
type floors struct {
	platform core.Platform
	log      *zap.Logger
	// ready returns the runners that serve a model now, as reported.
	ready func(ctx context.Context, model string) []string
}

// ensurePin pins a ready replica if the pinned one is not seen ready.
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
		f.log.Warn("pin of a model failed", zap.String("model", model), zap.Error(err))
	}
}

// beginEviction asks for a runner's replica to be evicted. Where it is the pinned one,
// another that is seen ready is pinned in the same write.
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

// endEviction forgets an eviction that has ended or was not begun.
func (f *floors) endEviction(ctx context.Context, model, runner string) {
	err := updateObject(ctx, f.platform, core.KindFloor, model, func(body ledger.Floor) (ledger.Floor, bool, error) {
		if !slices.Contains(body.Evicting, runner) {
			return body, false, nil
		}
		return body.Done(runner), true, nil
	})
	if err != nil {
		f.log.Warn("end of an eviction is not recorded", zap.String("model", model), zap.Error(err))
	}
}

// weightStore is the shared budget of the weight store.
type weightStore struct {
	platform core.Platform
	clock    core.Clock
	log      *zap.Logger
}

// reserve reserves a load; ErrUnavailable means that none is free now.
func (w *weightStore) reserve(ctx context.Context, id string, limits tree.Store, load time.Duration) error {
	return updateObject(ctx, w.platform, core.KindStore, storeName, func(s ledger.Slots) (ledger.Slots, bool, error) {
		next, wait := s.Take(id, w.clock.Now(), max(minLoadSlotTTL, 3*load), limits.Rate, limits.Slots)
		if wait > 0 {
			return s, false, eris.Wrapf(core.ErrUnavailable, "the weight store is busy for %s", wait)
		}
		return next, true, nil
	})
}

// release gives a load's slot back.
func (w *weightStore) release(ctx context.Context, id string) {
	err := updateObject(ctx, w.platform, core.KindStore, storeName, func(s ledger.Slots) (ledger.Slots, bool, error) {
		next, changed := s.Release(id)
		return next, changed, nil
	})
	if err != nil {
		w.log.Info("slot of the weight store is kept until it ends by time", zap.String("load", id), zap.Error(err))
	}
}
