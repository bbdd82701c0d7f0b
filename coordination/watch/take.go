package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/tree"
)

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
		w.log.Error(logs.ConfigUnreadable, zap.Uint64("revision", e.Object.Version), logs.Err(err))
		return
	}
	if w.catalog.SetConfig(c) {
		w.log.Info(logs.ConfigInForce, zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)), zap.Int("workspaces", len(c.Workspaces)))
	}
}

// takeTree takes in all branches of the settings tree.
func (w *Watcher) takeTree(c Copy) {
	branches := make([]tree.Branch, 0, len(c.Objects))
	for _, o := range c.Objects {
		branches = append(branches, tree.BranchOf(core.Event{Object: o}))
	}
	w.branchesTaken(w.settings.Adopt(branches, c.Version))
}

func (w *Watcher) takeBranch(e core.Event) {
	w.branchesTaken(w.settings.Apply([]tree.Branch{tree.BranchOf(e)}))
}

func (w *Watcher) branchesTaken(branches []tree.Branch) {
	for _, b := range branches {
		w.log.Info(logs.SettingsInForce, zap.String("branch", b.Name), zap.Uint64("version", b.Version), zap.Bool("deleted", b.Deleted))
	}
	for _, problem := range w.settings.Problems() {
		w.log.Error(logs.SettingsUnreadable, zap.String("reason", problem))
	}
}

func (w *Watcher) takeRunners(c Copy) {
	listed := make(map[string]bool, len(c.Objects))
	for _, o := range c.Objects {
		listed[o.Name] = true
		w.takeRunner(core.Event{Object: o}, c.Healthy)
	}
	for id := range w.catalog.All() {
		if !listed[id] {
			w.lapse(id, c.Healthy)
		}
	}
	w.runnersKnown.Store(true)
}

// KnowsRunners says whether a list of the runners has been taken in. A daemon that is
// ready before refuses its first requests, as no runner has what they ask for.
func (w *Watcher) KnowsRunners() bool { return w.runnersKnown.Load() }

// healthyFor is how long the store has not failed here for a kind: calls for other
// kinds may be turned away, which says nothing of this one's objects, and would let
// requests go on to runners that have left. The time of the failure is kept with its
// monotonic reading: after a step of the time of day the grace for lapsed entries
// would last as long as the step.
func (w *Watcher) healthyFor(kind string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Since(w.kinds[kind].lost)
}

func (w *Watcher) takeRunner(e core.Event, healthy time.Duration) {
	if e.Deleted {
		w.readable(e.Object.Name)
		w.lapse(e.Object.Name, healthy)
		return
	}
	r, err := w.reader.Runner(e.Object.Name, e.Object.Body)
	if err != nil {
		w.spoiled(e.Object, err)
		return
	}
	w.readable(r.ID)
	old := w.catalog.Runner(r.ID)
	w.catalog.Put(*r, w.clock.Now())
	if old == nil || old.Draining != r.Draining {
		w.log.Info(logs.RunnerSeen, zap.String("runner", r.ID), zap.String("service", r.Service), zap.Stringer("addr", r.Addr),
			zap.String("place", r.Place), zap.Bool("draining", r.Draining), zap.Duration("leaves", r.Leaves))
	}
}

// spoiled takes in a runner's entry that can't be read: another writer's, which names
// no runner to use. A runner that was known under its name gets no more work until its
// own heartbeat has replaced the entry. Lists and copies repeat the entry; it is told
// of once.
func (w *Watcher) spoiled(o core.Object, err error) {
	w.mu.Lock()
	version, told := w.unread[o.Name]
	told = told && version == o.Version
	if !told && len(w.unread) < maxUnread {
		w.unread[o.Name] = o.Version
	}
	w.mu.Unlock()
	now := w.clock.Now()
	w.catalog.Lapse(o.Name, now)
	w.catalog.Sweep(now)
	if told {
		return
	}
	w.unreadable()
	w.log.Error(logs.RunnerUnreadable, zap.String("runner", o.Name), zap.Uint64("revision", o.Version), logs.Err(err))
}

// readable forgets that a runner's entry could not be read.
func (w *Watcher) readable(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.unread, name)
}

// lapse takes in that a runner's entry is missing, as seen by a daemon for which
// the store has not failed for the time healthy. After an outage of the store entries of
// live runners are missing for a moment; to drop their runners then would drop
// most of the fleet at once. The grace counts from the store's return: a runner
// that leaves later must get no work two seconds after its entry is gone.
func (w *Watcher) lapse(id string, healthy time.Duration) {
	now := w.clock.Now()
	goneAt := now.Add(max(0, lapseGrace-healthy))
	w.log.Info(logs.RunnerMissing, zap.String("runner", id), zap.Duration("grace", goneAt.Sub(now)))
	w.catalog.Lapse(id, goneAt)
	w.catalog.Sweep(now)
}

func (w *Watcher) runSweep(ctx context.Context) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		w.catalog.Sweep(w.clock.Now())
		core.Sleep(ctx, w.clock, sweepEvery)
	}
}
