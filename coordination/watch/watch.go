// Package watch keeps the catalog in step with the platform's store.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/state/catalog"
)

const (
	// firstPause and lastPause bound the wait between two tries while the
	// store fails. The configuration must be in force two seconds after its
	// confirmation, so the last try before the store's return must not lie
	// much further back than one second.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
	// lapseGrace is how long after the store's return a missing entry of a
	// runner still counts: live runners are back within about two seconds.
	lapseGrace = 2 * time.Second
	// troubleMemory is how long after a failure of the store a missing entry
	// may be due to it: entries lapse after three missed heartbeats.
	troubleMemory = 5 * time.Second
	sweepEvery    = 100 * time.Millisecond
	// settle is the pause after changes of runners before the next watch. Each
	// answer of a watch is a counted call of each daemon; runners that change
	// together then cost one. It is a tenth of the two seconds within which a
	// leaving runner must get no more work.
	settle = 200 * time.Millisecond
)

// Reader turns objects of the store into the product's types.
type Reader struct {
	ConfigKind string
	ConfigName string
	RunnerKind string
	Config     func(body []byte) (*core.Config, error)
	Runner     func(id string, body []byte) (*core.Runner, error)
}

// Watcher watches the configuration and the runners.
type Watcher struct {
	store   core.Platform
	reader  Reader
	catalog *catalog.Catalog
	clock   core.Clock
	log     *zap.Logger
	lost    atomic.Int64 // when the store last failed, in Unix nanoseconds
	mu      sync.Mutex
	cancels map[string]context.CancelFunc // of the watches, by kind
	wg      sync.WaitGroup
	stop    context.CancelFunc
}

// New makes a Watcher.
func New(store core.Platform, reader Reader, c *catalog.Catalog, clock core.Clock, log *zap.Logger) *Watcher {
	return &Watcher{store: store, reader: reader, catalog: c, clock: clock, log: log, cancels: map[string]context.CancelFunc{}}
}

// Start begins to watch.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.wg.Add(3)
	go w.run(ctx, w.reader.ConfigKind, w.takeConfigs, w.takeConfig)
	go w.run(ctx, w.reader.RunnerKind, w.takeRunners, w.takeRunner)
	go w.runSweep(ctx)
}

// Stop ends the watches.
func (w *Watcher) Stop() {
	w.stop()
	w.wg.Wait()
}

// Hint takes in that another daemon has a configuration of a version. If this
// daemon's is older, its watches may have missed what the others' have seen.
func (w *Watcher) Hint(version uint64) {
	held := w.catalog.Config()
	if held == nil || held.Version >= version {
		return
	}
	w.log.Info("another daemon has a newer config, listing again", zap.Uint64("version", version), zap.Uint64("held", held.Version))
	w.relist("")
}

// relist ends the watches of all kinds but one, so that they list again.
func (w *Watcher) relist(but string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, cancel := range w.cancels {
		if kind != but {
			cancel()
		}
	}
}

// watch runs one watch, which relist ends with ErrGone.
func (w *Watcher) watch(ctx context.Context, kind string, version uint64, fn func(core.Event)) error {
	sub, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancels[kind] = cancel
	w.mu.Unlock()
	err := w.store.Watch(sub, kind, version, fn)
	if sub.Err() != nil && ctx.Err() == nil {
		return core.ErrGone
	}
	return err
}

// run lists a kind, then watches it from there; it lists again only when the
// store no longer has the history in between.
func (w *Watcher) run(ctx context.Context, kind string, all func([]core.Object), one func(core.Event)) {
	defer w.wg.Done()
	var version uint64
	listed, changed := false, false
	pause := time.Duration(0)
	for ctx.Err() == nil {
		var err error
		if !listed {
			var objects []core.Object
			if objects, version, err = w.store.List(ctx, kind); err == nil {
				w.regained(kind, pause)
				all(objects)
				listed = true
				pause = 0
			}
		}
		if err == nil {
			err = w.watch(ctx, kind, version, func(e core.Event) {
				w.regained(kind, pause)
				pause = 0
				version = max(version, e.Object.Version)
				if e.Object.Name != "" {
					one(e)
					changed = true
				} else if changed && kind == w.reader.RunnerKind {
					changed = false
					w.sleep(ctx, settle)
				}
			})
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, core.ErrGone) {
			// What one watch has missed the others may have missed as well.
			if listed {
				w.relist(kind)
			}
			w.log.Info("store history is gone, listing again", zap.String("kind", kind), zap.Uint64("version", version))
			listed = false
			continue
		}
		w.lost.Store(w.clock.Now().UnixNano())
		if pause == 0 {
			w.log.Warn("store lost", zap.String("kind", kind), zap.Uint64("version", version), zap.Error(err))
			pause = firstPause
		} else {
			pause = min(2*pause, lastPause)
		}
		w.sleep(ctx, pause/2+rand.N(pause))
	}
}

// regained logs the end of an outage.
func (w *Watcher) regained(kind string, pause time.Duration) {
	if pause > 0 {
		w.log.Info("store regained", zap.String("kind", kind))
		w.lost.Store(w.clock.Now().UnixNano())
	}
}

func (w *Watcher) takeConfigs(objects []core.Object) {
	for _, o := range objects {
		w.takeConfig(core.Event{Object: o})
	}
}

func (w *Watcher) takeConfig(e core.Event) {
	if e.Object.Name != w.reader.ConfigName || e.Deleted {
		return
	}
	c, err := w.reader.Config(e.Object.Body)
	if err != nil {
		w.log.Error("config unreadable, keeping the one held", zap.Uint64("revision", e.Object.Version), zap.Error(err))
		return
	}
	if w.catalog.SetConfig(c) {
		w.log.Info("config in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
	}
}

func (w *Watcher) takeRunners(objects []core.Object) {
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		w.takeRunner(core.Event{Object: o})
	}
	for id := range w.catalog.All() {
		if !listed[id] {
			w.lapse(id)
		}
	}
}

func (w *Watcher) takeRunner(e core.Event) {
	if e.Deleted {
		w.lapse(e.Object.Name)
		return
	}
	r, err := w.reader.Runner(e.Object.Name, e.Object.Body)
	if err != nil {
		w.log.Error("runner unreadable", zap.String("runner", e.Object.Name), zap.Error(err))
		return
	}
	old := w.catalog.Runner(r.ID)
	w.catalog.Put(*r, w.clock.Now())
	if old == nil || old.Draining != r.Draining {
		w.log.Info("runner", zap.String("runner", r.ID), zap.String("service", r.Service), zap.Stringer("addr", r.Addr),
			zap.String("place", r.Place), zap.Bool("draining", r.Draining), zap.Duration("leaves", r.Leaves))
	}
}

// lapse takes in that a runner's entry is missing. After an outage of the
// store entries of live runners are missing for a moment; to drop their
// runners then would drop most of the fleet at once.
func (w *Watcher) lapse(id string) {
	now := w.clock.Now()
	goneAt := now
	if now.Sub(time.Unix(0, w.lost.Load())) < troubleMemory {
		goneAt = now.Add(lapseGrace)
	}
	w.log.Info("runner's entry is missing", zap.String("runner", id), zap.Duration("grace", goneAt.Sub(now)))
	w.catalog.Lapse(id, goneAt)
	w.catalog.Sweep(now)
}

func (w *Watcher) runSweep(ctx context.Context) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		w.catalog.Sweep(w.clock.Now())
		w.sleep(ctx, sweepEvery)
	}
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}
