package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	wire "primroseward/platform"
	"primroseward/standin/platform"
)

// fault is a way in which things go wrong. It returns what it did, for the log, and
// ends what it began by itself; several run at the same time.
type fault struct {
	name string
	do   func(w *World, r *rand.Rand) string
}

func seconds(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + (high-low)*r.Float64()) * float64(time.Second))
}

func (w *World) anyDaemon(r *rand.Rand) *daemon { return w.daemons[r.IntN(len(w.daemons))] }

// anyRunner returns a runner that has not said that it leaves, nil if it is the last of
// its service.
func (w *World) anyRunner(r *rand.Rand) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.runners[r.IntN(len(w.runners))]
	n := 0
	for _, one := range w.runners {
		if one.Service == h.Service && one.drained.IsZero() {
			n++
		}
	}
	if !h.drained.IsZero() || n < 2 {
		return nil
	}
	return h
}

// harm keeps that a daemon's answers may be late from now on for a time.
func (d *daemon) harm(length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.harms = append(d.harms, span{time.Now(), time.Now().Add(length + harmTail)})
}

// harmTail is how long after its end a fault may still make answers late.
const harmTail = 2 * time.Second

type span struct{ from, to time.Time }

// harmed says whether a daemon's answers may have been late in a time.
func (d *daemon) harmed(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.harms, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// harmAll is harm to each daemon.
func (w *World) harmAll(length time.Duration) {
	for _, d := range w.daemons {
		d.harm(length)
	}
}

// faults are added at the end only: a seed that is kept plays the first few, as it did
// when it failed.
var faults = []fault{
	{"kill", func(w *World, r *rand.Rand) string {
		d, down := w.anyDaemon(r), seconds(r, 0, 1.5)
		d.harm(down)
		d.kill()
		w.later(down, d.restart)
		return fmt.Sprintf("%s for %v", d.name, down)
	}},
	{"kill most", func(w *World, r *rand.Rand) string {
		down := seconds(r, 0, 1)
		for _, d := range w.daemons[:len(w.daemons)-1] {
			d.harm(down)
			d.kill()
			w.later(down, d.restart)
		}
		return down.String()
	}},
	{"freeze", func(w *World, r *rand.Rand) string {
		d, stands := w.anyDaemon(r), seconds(r, 0.2, 4)
		d.harm(stands)
		d.signal(syscall.SIGSTOP)
		w.later(stands, func() { d.signal(syscall.SIGCONT) })
		return fmt.Sprintf("%s for %v", d.name, stands)
	}},
	{"stop", func(w *World, r *rand.Rand) string {
		d := w.anyDaemon(r)
		w.later(0, func() {
			d.stop()
			d.restart()
		})
		return d.name
	}},
	{"reload", func(w *World, r *rand.Rand) string {
		d := w.anyDaemon(r)
		d.signal(syscall.SIGHUP)
		return d.name
	}},
	{"store", func(w *World, r *rand.Rand) string {
		f := platform.Faults{}
		switch r.IntN(6) {
		case 0:
			f.Down = true
		case 1:
			f.LoseWrites = 1 + r.IntN(5)
		case 2:
			f.LateWrites = 1 + r.IntN(5)
		case 3:
			f.Delay = 50 + r.IntN(400)
		case 4:
			f.Busy = true
		default:
			w.store.Forget()
		}
		down := seconds(r, 0.5, 5)
		w.store.SetFaults(f)
		w.later(down, func() { w.store.SetFaults(platform.Faults{}) })
		return fmt.Sprintf("%+v for %v", f, down)
	}},
	{"way to the store", func(w *World, r *rand.Rand) string {
		d := w.anyDaemon(r)
		return d.name + " " + harmProxy(w, r, d.store, seconds(r, 0.5, 5))
	}},
	{"way to a runner", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		length := seconds(r, 0.3, 3)
		w.harmAll(length)
		return h.ID + " " + harmProxy(w, r, h.proxy, length)
	}},
	{"way of callers", func(w *World, r *rand.Rand) string {
		d, length := w.anyDaemon(r), seconds(r, 0.2, 1.5)
		d.harm(length + timeout + patience)
		return d.name + " " + harmProxy(w, r, d.front, length)
	}},
	{"runner breaks off", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		if r.IntN(2) == 0 {
			h.CutNext(1 + r.IntN(events))
			return h.ID + " in a stream"
		}
		h.FailNext(1 + r.IntN(10))
		return h.ID + " with 500"
	}},
	{"runner crashes", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.harmAll(time.Second)
		w.replace(h, r)
		h.Kill()
		h.proxy.Close()
		w.later(seconds(r, 0.5, 3), func() { w.store.Remove(wire.KindRunners, h.ID) })
		return h.ID
	}},
	{"runner leaves", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.replace(h, r)
		w.mu.Lock()
		h.drained = time.Now()
		w.mu.Unlock()
		h.Drain()
		w.later(4*time.Second, func() {
			h.Kill()
			h.proxy.Close()
			w.store.Remove(wire.KindRunners, h.ID)
		})
		return h.ID
	}},
	{"configuration", func(w *World, _ *rand.Rand) string {
		if err := w.putConfig(); err != nil {
			return err.Error()
		}
		return prefix(w.config)
	}},
	{"settings", func(w *World, r *rand.Rand) string {
		allowed := places[:1+r.IntN(len(places))]
		w.later(0, func() { _ = w.narrow(allowed) }) // a store that is away is a fault, too
		return fmt.Sprint(allowed)
	}},
	{"runner starts again", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.harmAll(time.Second)
		for range 1 + r.IntN(2) {
			h.Restart(seconds(r, 0.001, 3))
		}
		return h.ID
	}},
	{"entry of another writer", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		name, spoiled := "i-other", spoiledEntries[r.IntN(len(spoiledEntries))]
		if h != nil && r.IntN(2) == 0 {
			name = h.ID
			w.harmAll(time.Second)
			w.later(seconds(r, 0.2, 1.2), h.Register)
		}
		if err := w.store.Put(wire.KindRunners, name, json.RawMessage(spoiled)); err != nil {
			return err.Error()
		}
		return name + " " + spoiled
	}},
	{"request that ends runners", func(w *World, r *rand.Rand) string { return w.sendFatal(r) }},
	{"limit", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		rate, length := []float64{0.5, 2, 6}[r.IntN(3)], seconds(r, 3, 9)
		now := time.Now()
		w.mu.Lock()
		h.limits = append(h.limits, limited{span{now, now.Add(length)}, rate})
		w.mu.Unlock()
		h.SetLimit(strconv.FormatFloat(rate, 'f', -1, 64))
		w.later(length, func() { h.SetLimit() })
		return fmt.Sprintf("%s to %v a second for %v", h.ID, rate, length)
	}},
}

// spoiledEntries are entries that no runner writes.
var spoiledEntries = []string{
	`{}`, `[]`, `"ready"`, `7`,
	`{"service":"gen","address":"127.0.0.1:1","zone":"p1","slots":"4","state":"ready"}`,
	`{"service":"gen","address":"127.0.0.1:1","zone":"p1","slots":4,"state":"resting"}`,
	`{"service":"gen","address":"nowhere","zone":"p1","slots":4,"state":"ready"}`,
	`{"service":"app","address":"127.0.0.1:1","zone":"p1","slots":4,"state":"ready","born":1.5}`,
	`{"service":"other","address":"127.0.0.1:1","zone":"p1","slots":4,"state":"ready"}`,
}

// harmProxy harms the connections through a proxy in one of the ways that there are.
func harmProxy(w *World, r *rand.Rand, p *Proxy, length time.Duration) string {
	how := ""
	switch r.IntN(6) {
	case 0:
		p.Reset()
		return "reset"
	case 1:
		p.Silence()
		return "silent"
	case 2:
		how = "slow"
		p.Set(Harm{Delay: seconds(r, 0.05, 0.4)})
	case 3:
		how = "refused"
		p.Set(Harm{Refuse: true})
		p.Reset()
	case 4:
		how = "one way up"
		p.Set(Harm{Up: true})
	default:
		how = "one way down"
		p.Set(Harm{Down: true})
	}
	w.later(length, func() {
		p.Set(Harm{})
		p.Reset() // what was swallowed is lost: the connections are of no use
	})
	return fmt.Sprintf("%s for %v", how, length)
}

// replace lets a new, empty runner take the place of one that goes.
func (w *World) replace(h *host, r *rand.Rand) {
	w.mu.Lock()
	w.runners = slices.DeleteFunc(w.runners, func(one *host) bool { return one == h })
	w.gone = append(w.gone, h)
	w.mu.Unlock()
	var models []string
	if h.Service == "gen" && r.IntN(2) == 0 {
		models = []string{"m1"}
	}
	w.addRunner(h.Service, h.Place, models)
}
