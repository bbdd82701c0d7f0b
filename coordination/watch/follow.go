package watch

import (
	"context"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// begin gets the first copy of another daemon where that is likely to have one, and
// says whether it has. Of 70 daemons that start together five read the store instead
// of all, and one that starts again asks the store for nothing.
func (w *Watcher) begin(ctx context.Context, kind string) bool {
	began := w.clock.Now()
	for ctx.Err() == nil && !w.first(w.clock.Since(began)) {
		if c, err := w.neighbour(ctx, kind, "", 0); err == nil && !c.Stale {
			w.adopt(kind, c)
			return true
		}
		core.Sleep(ctx, w.clock, firstCheck)
	}
	return false
}

// follow waits, as a daemon that does not watch, until another one tells of a
// change, and takes that one's copy; the store is asked where this fails.
func (w *Watcher) follow(ctx context.Context, kind string) {
	k := w.kinds[kind]
	w.mu.Lock()
	k.passive = true
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-w.clock.After(followCheck):
	case <-k.wake:
	}
	w.mu.Lock()
	h, version := k.hint, k.version
	w.mu.Unlock()
	if h.change <= version || !h.near && w.clock.Since(h.at) < farPatience {
		return
	}
	c, err := w.neighbour(ctx, kind, h.from, version)
	if err == nil && c.Version >= h.change {
		w.adopt(kind, c)
		w.mayWork(kind, c)
		if kind == w.reader.RunnerKind {
			core.Sleep(ctx, w.clock, w.pause())
		}
		return
	}
	if err := w.list(ctx, kind); err != nil && ctx.Err() == nil {
		w.fails(kind, err)
	}
}

// leadsAgain says whether this daemon watches after it did not.
func (w *Watcher) leadsAgain(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	was := k.passive
	k.passive = false
	return was
}

// ask takes in the copy of another daemon. A stale one is only for a daemon that
// knows nothing: started while the store is away, it would refuse every request
// that the others serve by what they know.
func (w *Watcher) ask(ctx context.Context, kind string) {
	c, err := w.neighbour(ctx, kind, "", w.known(kind))
	if err != nil {
		w.log.Debug(logs.CopyNotTaken, zap.String("kind", kind), logs.Err(err))
		return
	}
	if !c.Stale || w.known(kind) == 0 {
		w.adopt(kind, c)
	}
}
