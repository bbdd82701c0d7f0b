package watch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// Changes returns the versions of the last changes received here, for the peers.
func (w *Watcher) Changes() core.Changes {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := core.Changes{Config: w.kinds[w.reader.ConfigKind].lastChange, Runners: w.kinds[w.reader.RunnerKind].lastChange}
	if k, ok := w.kinds[core.KindTree]; ok {
		c.Settings = k.lastChange
	}
	return c
}

// Hint reports the last changes that a peer has received. A daemon that does not watch
// fetches newer ones from that peer. A daemon that watches may have missed them while the
// store dropped its history: it lists again unless its own watch delivers them within
// watchHintDelay. sameDataCentre is true for a peer of this daemon's data centre.
func (w *Watcher) Hint(from string, sameDataCentre bool, c core.Changes) {
	w.applyHint(w.reader.ConfigKind, hint{from: from, sameDataCentre: sameDataCentre, change: c.Config})
	w.applyHint(w.reader.RunnerKind, hint{from: from, sameDataCentre: sameDataCentre, change: c.Runners})
	if w.settings != nil {
		w.applyHint(core.KindTree, hint{from: from, sameDataCentre: sameDataCentre, change: c.Settings})
	}
}

// Confirm reports that a peer, which has the settings up to the given change, confirmed
// them as the store's newest age ago. If this daemon has that change too, its own settings
// count as confirmed at that time: a daemon that does not watch has no other confirmation.
func (w *Watcher) Confirm(settings uint64, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[core.KindTree]
	if !ok || k.version == 0 || settings > k.version || age < 0 {
		return
	}
	if at := w.clock.Now().Add(-age); at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

// SettingsAge returns how long ago the settings held here were last confirmed to be the
// store's newest, and a value below 0 if they never were.
func (w *Watcher) SettingsAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[core.KindTree]
	if !ok || k.confirmedAt.IsZero() {
		return -1
	}
	return w.clock.Since(k.confirmedAt)
}

func (w *Watcher) applyHint(kind string, h hint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	if h.change <= k.version || k.version == 0 {
		return
	}
	now := w.clock.Now()
	switch {
	case h.change > k.hint.change:
		if h.at = now; k.hint.change > k.version {
			h.at = k.hint.at // delays count from the earliest change that is still missing
		}
		k.hint = h
	case h.change == k.hint.change && h.sameDataCentre && !k.hint.sameDataCentre:
		k.hint.from, k.hint.sameDataCentre = h.from, true
	}
	switch {
	case k.following && !k.hint.sameDataCentre:
	case k.following:
		select {
		case k.wake <- struct{}{}:
		default: // a wake-up is pending
		}
	case !k.hint.relisted && now.Sub(k.hint.at) >= watchHintDelay:
		k.hint.relisted = true
		w.log.Info(logs.ConfigMissed, zap.String("kind", kind), zap.String("other", h.from), zap.Uint64("change", h.change), zap.Uint64("version", k.version))
		k.cancel()
	}
}

// relistOthers cancels the watches of all kinds but one, so that they are listed again.
func (w *Watcher) relistOthers(except string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, k := range w.kinds {
		if kind != except {
			k.cancel()
		}
	}
}

// maxDeletions bounds the deletions that are kept for snapshots, per kind.
const maxDeletions = 1024

// recordDeletion removes an object and records that it was deleted. The caller holds the
// lock.
func (k *kindState) recordDeletion(name string, version uint64) {
	delete(k.objects, name)
	k.deletions = append(k.deletions, Deletion{Name: name, Version: version})
	if over := len(k.deletions) - maxDeletions; over > 0 {
		k.deletionsSince = k.deletions[over-1].Version
		k.deletions = append([]Deletion(nil), k.deletions[over:]...)
	}
}

// endAnswer ends an answer of a watch, with which all changes up to a version have been
// received. A deletion event may carry the object's last version instead of the version of
// the deletion, which lies between that and the end of the answer. A peer that has all
// changes up to the object's last version would then not get the deletion, so the deletions
// of this answer are raised to the version at its end. The caller holds the lock.
func (k *kindState) endAnswer(version uint64) {
	for i := len(k.deletions) - min(k.openDeletions, len(k.deletions)); i < len(k.deletions); i++ {
		k.deletions[i].Version = max(k.deletions[i].Version, version)
		k.lastChange = max(k.lastChange, version)
	}
	k.openDeletions = 0
}

// Snapshot returns this daemon's snapshot of a kind for a peer that has all changes up to the
// version after: only what has changed since, if this daemon still has all deletions since
// then. With full snapshots, each change of a runner would fill the links of the small VMs
// in a fleet of 70 daemons and 95 runners: two of five snapshots would come too late, and as
// many full lists would be requested from the store. Snapshot fails with ErrUnavailable before the first list
// or snapshot of the kind has been received here.
func (w *Watcher) Snapshot(kind string, after uint64) (Snapshot, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[kind]
	if !ok {
		return Snapshot{}, core.ErrNotFound
	}
	if k.version == 0 {
		return Snapshot{}, core.ErrUnavailable
	}
	c := Snapshot{Stale: k.failing, Version: k.version, LastChange: k.lastChange, HealthyFor: w.clock.Since(k.failedAt)}
	if after >= k.deletionsSince && after <= k.version {
		c.After = after
	}
	for _, o := range k.objects {
		if o.Version > c.After {
			c.Objects = append(c.Objects, o)
		}
	}
	for i, d := range k.deletions {
		if _, exists := k.objects[d.Name]; exists || c.After == 0 {
			continue
		}
		if d.Version > c.After || i >= len(k.deletions)-k.openDeletions {
			c.Deletions = append(c.Deletions, d)
		}
	}
	return c, nil
}

// Failing returns whether the store fails for this daemon, for any kind.
func (w *Watcher) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.kinds {
		if k.failing {
			return true
		}
	}
	return false
}

// applySnapshot replaces the objects of a kind by a snapshot, unless it is older than what
// is held here, or applies the changes of an incremental one.
func (w *Watcher) applySnapshot(kind string, c Snapshot) {
	if c.After > 0 {
		w.applyChanges(kind, c)
		return
	}
	w.mu.Lock()
	k := w.kinds[kind]
	if c.Version < k.version {
		w.mu.Unlock()
		return
	}
	objects := make(map[string]core.Object, len(c.Objects))
	for _, o := range c.Objects {
		objects[o.Name] = o
		k.lastChange = max(k.lastChange, o.Version)
	}
	if k.version == 0 {
		k.deletionsSince = c.Version
	}
	for name := range k.objects {
		if _, ok := objects[name]; !ok {
			k.recordDeletion(name, c.Version)
		}
	}
	k.objects, k.version = objects, c.Version
	k.lastChange = max(k.lastChange, c.LastChange)
	w.mu.Unlock()
	switch kind {
	case w.reader.ConfigKind:
		w.applyConfigs(c.Objects)
	case w.reader.RunnerKind:
		w.applyRunners(c)
	case core.KindTree:
		w.applyTree(c)
	}
}

// applyChanges applies an incremental snapshot, unless it starts after the version held
// here or is older. As it is no older than what is held here, each object that it lists as
// deleted is deleted.
func (w *Watcher) applyChanges(kind string, c Snapshot) {
	w.mu.Lock()
	k := w.kinds[kind]
	if c.After > k.version || c.Version < k.version {
		w.mu.Unlock()
		return
	}
	var events []core.Event
	for _, o := range c.Objects {
		if o.Version > k.version {
			k.objects[o.Name] = o
			events = append(events, core.Event{Object: o})
		}
	}
	for _, d := range c.Deletions {
		if _, exists := k.objects[d.Name]; exists {
			k.recordDeletion(d.Name, d.Version)
			events = append(events, core.Event{Object: core.Object{Kind: kind, Name: d.Name, Version: d.Version}, Deleted: true})
		}
	}
	k.version, k.lastChange = c.Version, max(k.lastChange, c.LastChange)
	w.mu.Unlock()
	slices.SortFunc(events, func(a, b core.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	for _, e := range events {
		w.apply(kind, e, c.HealthyFor)
	}
}
