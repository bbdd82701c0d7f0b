package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/tree"
)

func (w *Watcher) applyConfigs(objects []core.Object) {
	for _, o := range objects {
		w.applyConfig(core.Event{Object: o})
	}
}

func (w *Watcher) applyConfig(e core.Event) {
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

// applyTree replaces all branches of the settings tree.
func (w *Watcher) applyTree(c Snapshot) {
	branches := make([]tree.Branch, 0, len(c.Objects))
	for _, o := range c.Objects {
		branches = append(branches, tree.BranchOf(core.Event{Object: o}))
	}
	w.logBranches(w.settings.ApplyList(branches, c.Version))
}

func (w *Watcher) applyBranch(e core.Event) {
	w.logBranches(w.settings.Apply([]tree.Branch{tree.BranchOf(e)}))
}

// logBranches logs the branches that are in force from now on, and the settings tree's
// problems.
func (w *Watcher) logBranches(branches []tree.Branch) {
	for _, b := range branches {
		w.log.Info(logs.SettingsInForce, zap.String("branch", b.Name), zap.Uint64("version", b.Version), zap.Bool("deleted", b.Deleted))
	}
	for _, problem := range w.settings.Problems() {
		w.log.Error(logs.SettingsUnreadable, zap.String("reason", problem))
	}
}

func (w *Watcher) applyRunners(c Snapshot) {
	listed := make(map[string]bool, len(c.Objects))
	for _, o := range c.Objects {
		listed[o.Name] = true
		w.applyRunner(core.Event{Object: o}, c.HealthyFor)
	}
	for id := range w.catalog.All() {
		if !listed[id] {
			w.entryMissing(id, c.HealthyFor)
		}
	}
	w.runnersListed.Store(true)
}

// RunnersListed returns whether a list of the runners has been applied. A daemon that
// reports itself ready before that refuses its first requests, as its catalog has no runner
// that could serve them.
func (w *Watcher) RunnersListed() bool { return w.runnersListed.Load() }

// healthyFor returns how long ago the store last failed here for a kind. Failures are kept
// by kind: calls for other kinds may be turned away, which says nothing about this one's
// objects, and would let requests go on to runners that have left. The time of the failure
// keeps its monotonic reading; without it, after a step of the time of day the grace for
// lapsed entries would last as long as the step.
func (w *Watcher) healthyFor(kind string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Since(w.kinds[kind].failedAt)
}

func (w *Watcher) applyRunner(e core.Event, healthy time.Duration) {
	if e.Deleted {
		w.clearUnreadable(e.Object.Name)
		w.entryMissing(e.Object.Name, healthy)
		return
	}
	r, err := w.reader.Runner(e.Object.Name, e.Object.Body)
	if err != nil {
		w.entryUnreadable(e.Object, err)
		return
	}
	w.clearUnreadable(r.ID)
	old := w.catalog.Runner(r.ID)
	w.catalog.Put(*r, w.clock.Now())
	if old == nil || old.Draining != r.Draining {
		w.log.Info(logs.RunnerChanged, zap.String("runner", r.ID), zap.String("service", r.Service), zap.String("version", r.Version), zap.Stringer("addr", r.Addr),
			zap.String("place", r.DataCentre), zap.Bool("draining", r.Draining), zap.Duration("leaves", r.LeavesIn))
	}
}

// entryUnreadable handles a runner's entry that can't be decoded, because another writer
// has written it; it describes no runner to use. A runner already known by its name gets
// no more work until its own heartbeat has replaced the entry. Lists and snapshots contain
// the entry again and again; each version is logged and counted once.
func (w *Watcher) entryUnreadable(o core.Object, err error) {
	w.mu.Lock()
	version, reported := w.unreadable[o.Name]
	reported = reported && version == o.Version
	if !reported && len(w.unreadable) < maxUnreadable {
		w.unreadable[o.Name] = o.Version
	}
	w.mu.Unlock()
	now := w.clock.Now()
	w.catalog.Lapse(o.Name, now)
	w.catalog.Sweep(now)
	if reported {
		return
	}
	w.onUnreadable()
	w.log.Error(logs.RunnerUnreadable, zap.String("runner", o.Name), zap.Uint64("revision", o.Version), logs.Err(err))
}

// clearUnreadable removes the record that a runner's entry could not be read.
func (w *Watcher) clearUnreadable(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.unreadable, name)
}

// entryMissing handles a missing entry of a runner; healthy is how long the store had not
// failed for the daemon that saw it missing. After an outage of the store, entries of live
// runners are missing for a moment; removing those runners at once would remove most of the
// fleet. So a missing entry counts only lapseGrace after the store's return. The grace counts
// from that return, not from the loss of the entry: otherwise a runner that leaves later
// would get work for two seconds after its entry is gone.
func (w *Watcher) entryMissing(id string, healthy time.Duration) {
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
		core.Sleep(ctx, w.clock, sweepInterval)
	}
}
