package watch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// Changes returns the last changes known, for the other daemons.
func (w *Watcher) Changes() core.Changes {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := core.Changes{Config: w.kinds[w.reader.ConfigKind].change, Runners: w.kinds[w.reader.RunnerKind].change}
	if k, ok := w.kinds[core.KindTree]; ok {
		c.Settings = k.change
	}
	return c
}

// Hint takes in the last changes that another daemon knows. A daemon that does
// not watch gets them from it. One that does may have missed them while the
// store forgot its history, and lists again, unless its own watch brings them
// in a moment. near is for a daemon of the same place.
func (w *Watcher) Hint(from string, near bool, c core.Changes) {
	w.hint(w.reader.ConfigKind, hint{from: from, near: near, change: c.Config})
	w.hint(w.reader.RunnerKind, hint{from: from, near: near, change: c.Runners})
	if w.settings != nil {
		w.hint(core.KindTree, hint{from: from, near: near, change: c.Settings})
	}
}

// Confirm takes in how long ago another daemon's settings, of which it knows the
// changes up to one, were confirmed. Where that change is known here, too, so are
// these: a daemon that does not watch has no other sign of it.
func (w *Watcher) Confirm(settings uint64, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[core.KindTree]
	if !ok || k.version == 0 || settings > k.version || age < 0 {
		return
	}
	if at := w.clock.Now().Add(-age); at.After(k.confirmed) {
		k.confirmed = at
	}
}

// SettingsAge is how long ago the settings held were last known to be the store's
// newest, below 0 if they never were.
func (w *Watcher) SettingsAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[core.KindTree]
	if !ok || k.confirmed.IsZero() {
		return -1
	}
	return w.clock.Since(k.confirmed)
}

func (w *Watcher) hint(kind string, h hint) {
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
			h.at = k.hint.at // what is told of first has waited longest
		}
		k.hint = h
	case h.change == k.hint.change && h.near && !k.hint.near:
		k.hint.from, k.hint.near = h.from, true
	}
	switch {
	case k.passive && !k.hint.near:
	case k.passive:
		select {
		case k.wake <- struct{}{}:
		default: // it is awake already
		}
	case !k.hint.acted && now.Sub(k.hint.at) >= hintPatience:
		k.hint.acted = true
		w.log.Info(logs.ConfigBehind, zap.String("kind", kind), zap.String("other", h.from), zap.Uint64("change", h.change), zap.Uint64("version", k.version))
		k.cancel()
	}
}

// relist ends the watches of all kinds but one, so that they list again.
func (w *Watcher) relist(but string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, k := range w.kinds {
		if kind != but {
			k.cancel()
		}
	}
}

// maxGone bounds the deletions that are kept for copies.
const maxGone = 1024

// drop takes an object out and keeps that it was deleted; the caller holds the
// lock.
func (k *kindState) drop(name string, version uint64) {
	delete(k.objects, name)
	k.gone = append(k.gone, Gone{Name: name, Version: version})
	if over := len(k.gone) - maxGone; over > 0 {
		k.since = k.gone[over-1].Version
		k.gone = append([]Gone(nil), k.gone[over:]...)
	}
}

// close ends an answer of a watch, which tells all changes up to a version. An event
// may carry the deleted object's last version instead of the deletion's, which lies
// between the two; a daemon that knows all up to the first would not be told. The
// caller holds the lock.
func (k *kindState) close(version uint64) {
	for i := len(k.gone) - min(k.open, len(k.gone)); i < len(k.gone); i++ {
		k.gone[i].Version = max(k.gone[i].Version, version)
		k.change = max(k.change, version)
	}
	k.open = 0
}

// Copy returns this daemon's copy of a kind for another one that knows all up to a
// version: only what has changed since where this one knows that. With whole
// copies a fleet of 70 daemons and 95 runners filled the small VMs' links at each
// change of a runner: two of five copies came too late, and as many whole lists
// were asked of the store. It fails with ErrUnavailable while nothing is known
// here, either.
func (w *Watcher) Copy(kind string, after uint64) (Copy, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[kind]
	if !ok {
		return Copy{}, core.ErrNotFound
	}
	if k.version == 0 {
		return Copy{}, core.ErrUnavailable
	}
	c := Copy{Stale: k.failing, Version: k.version, Change: k.change, Healthy: w.clock.Since(k.lost)}
	if after >= k.since && after <= k.version {
		c.After = after
	}
	for _, o := range k.objects {
		if o.Version > c.After {
			c.Objects = append(c.Objects, o)
		}
	}
	for i, g := range k.gone {
		if _, back := k.objects[g.Name]; back || c.After == 0 {
			continue
		}
		if g.Version > c.After || i >= len(k.gone)-k.open {
			c.Gone = append(c.Gone, g)
		}
	}
	return c, nil
}

// Failing says whether the store fails for this daemon.
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

// adopt takes in a copy of a kind, unless an older one.
func (w *Watcher) adopt(kind string, c Copy) {
	if c.After > 0 {
		w.adoptChanges(kind, c)
		return
	}
	w.mu.Lock()
	k := w.kinds[kind]
	if c.Version < k.version {
		w.mu.Unlock()
		return
	}
	listed := make(map[string]core.Object, len(c.Objects))
	for _, o := range c.Objects {
		listed[o.Name] = o
		k.change = max(k.change, o.Version)
	}
	if k.version == 0 {
		k.since = c.Version
	}
	for name := range k.objects {
		if _, ok := listed[name]; !ok {
			k.drop(name, c.Version)
		}
	}
	k.objects, k.version = listed, c.Version
	k.change = max(k.change, c.Change)
	w.mu.Unlock()
	switch kind {
	case w.reader.ConfigKind:
		w.takeConfigs(c.Objects)
	case w.reader.RunnerKind:
		w.takeRunners(c)
	case core.KindTree:
		w.takeTree(c)
	}
}

// adoptChanges takes in what has changed after a version that is known here. What
// is gone in a copy that is no older than what is held here is gone.
func (w *Watcher) adoptChanges(kind string, c Copy) {
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
	for _, g := range c.Gone {
		if _, held := k.objects[g.Name]; held {
			k.drop(g.Name, g.Version)
			events = append(events, core.Event{Object: core.Object{Kind: kind, Name: g.Name, Version: g.Version}, Deleted: true})
		}
	}
	k.version, k.change = c.Version, max(k.change, c.Change)
	w.mu.Unlock()
	slices.SortFunc(events, func(a, b core.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	for _, e := range events {
		w.take(kind, e, c.Healthy)
	}
}
