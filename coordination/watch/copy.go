package watch

import (
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// Changes returns the last change known of the configuration and of the
// runners, for the other daemons.
func (w *Watcher) Changes() (config, runners uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kinds[w.reader.ConfigKind].change, w.kinds[w.reader.RunnerKind].change
}

// Hint takes in the last changes that another daemon knows. A daemon that does
// not watch gets them from it. One that does may have missed them while the
// store forgot its history, and lists again, unless its own watch brings them
// in a moment.
func (w *Watcher) Hint(from string, config, runners uint64) {
	w.hint(w.reader.ConfigKind, from, config)
	w.hint(w.reader.RunnerKind, from, runners)
}

func (w *Watcher) hint(kind, from string, change uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	if change <= k.version || k.version == 0 {
		return
	}
	now := w.clock.Now()
	if change > k.hint.change {
		k.hint = hint{change: change, from: from, at: now}
	}
	switch {
	case k.passive:
		select {
		case k.wake <- struct{}{}:
		default: // it is awake already
		}
	case !k.hint.acted && now.Sub(k.hint.at) >= hintPatience:
		k.hint.acted = true
		w.log.Info(logs.ConfigBehind, zap.String("kind", kind), zap.String("other", from), zap.Uint64("change", change), zap.Uint64("version", k.version))
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

// Copy returns this daemon's copy of a kind for another one. It fails with
// ErrUnavailable while the store fails here, too.
func (w *Watcher) Copy(kind string) (Copy, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kinds[kind]
	if !ok {
		return Copy{}, core.ErrNotFound
	}
	if k.failing || k.version == 0 {
		return Copy{}, core.ErrUnavailable
	}
	c := Copy{Version: k.version, Change: k.change, Healthy: w.clock.Since(w.lost), Objects: make([]core.Object, 0, len(k.objects))}
	for _, o := range k.objects {
		c.Objects = append(c.Objects, o)
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

// adopt replaces the copy of a kind, unless by an older one.
func (w *Watcher) adopt(kind string, c Copy) {
	w.mu.Lock()
	k := w.kinds[kind]
	if c.Version < k.version {
		w.mu.Unlock()
		return
	}
	k.version = c.Version
	k.objects = make(map[string]core.Object, len(c.Objects))
	for _, o := range c.Objects {
		k.objects[o.Name] = o
		k.change = max(k.change, o.Version)
	}
	k.change = max(k.change, c.Change)
	w.mu.Unlock()
	if kind == w.reader.ConfigKind {
		w.takeConfigs(c.Objects)
	} else {
		w.takeRunners(c)
	}
}
