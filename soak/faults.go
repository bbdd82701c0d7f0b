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

// fault is a kind of fault. inject returns what it did, for the list of events, and
// schedules the end of the fault; several faults run at the same time.
type fault struct {
	name   string
	inject func(w *World, r *rand.Rand) string
}

// randomSeconds draws a duration between low and high seconds.
func randomSeconds(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + (high-low)*r.Float64()) * float64(time.Second))
}

func (w *World) anyDaemon(r *rand.Rand) *daemon { return w.daemons[r.IntN(len(w.daemons))] }

// anyRunner draws a runner. It returns nil if the runner has announced that it leaves, or if
// it is the last one of its service that has not.
func (w *World) anyRunner(r *rand.Rand) *proxiedRunner {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.runners[r.IntN(len(w.runners))]
	n := 0
	for _, one := range w.runners {
		if one.Service == h.Service && one.drainedAt.IsZero() {
			n++
		}
	}
	if !h.drainedAt.IsZero() || n < 2 {
		return nil
	}
	return h
}

// markImpaired records that a daemon's answers may be late from now on for the given time.
func (d *daemon) markImpaired(length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.impairedIntervals = append(d.impairedIntervals, interval{time.Now(), time.Now().Add(length + impairmentTail)})
}

// impairmentTail is how long after its end a fault may still make answers late.
const impairmentTail = 2 * time.Second

type interval struct{ from, to time.Time }

// impairedDuring reports whether a daemon's answers may have been late between two times.
func (d *daemon) impairedDuring(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.impairedIntervals, func(s interval) bool { return s.from.Before(to) && s.to.After(from) })
}

// markAllImpaired calls markImpaired on each daemon.
func (w *World) markAllImpaired(length time.Duration) {
	for _, d := range w.daemons {
		d.markImpaired(length)
	}
}

// faults lists the kinds of faults. New ones are added at the end only: a kept seed uses the
// kinds that existed when it failed, which are the first ones.
var faults = []fault{
	{"kill", func(w *World, r *rand.Rand) string {
		d, down := w.anyDaemon(r), randomSeconds(r, 0, 1.5)
		d.markImpaired(down)
		d.kill()
		w.schedule(down, d.restart)
		return fmt.Sprintf("%s for %v", d.name, down)
	}},
	{"kill most", func(w *World, r *rand.Rand) string {
		down := randomSeconds(r, 0, 1)
		for _, d := range w.daemons[:len(w.daemons)-1] {
			d.markImpaired(down)
			d.kill()
			w.schedule(down, d.restart)
		}
		return down.String()
	}},
	{"freeze", func(w *World, r *rand.Rand) string {
		d, length := w.anyDaemon(r), randomSeconds(r, 0.2, 4)
		d.markImpaired(length)
		w.noteBreakage(d, nil, 0, length)
		d.signal(syscall.SIGSTOP)
		w.schedule(length, func() { d.signal(syscall.SIGCONT) })
		return fmt.Sprintf("%s for %v", d.name, length)
	}},
	{"stop", func(w *World, r *rand.Rand) string {
		d := w.anyDaemon(r)
		w.schedule(0, func() {
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
			w.store.DropHistory()
		}
		down := randomSeconds(r, 0.5, 5)
		w.store.SetFaults(f)
		w.schedule(down, func() { w.store.SetFaults(platform.Faults{}) })
		return fmt.Sprintf("%+v for %v", f, down)
	}},
	{"path to the store", func(w *World, r *rand.Rand) string {
		d := w.anyDaemon(r)
		return d.name + " " + impairProxy(w, r, d.storeProxy, randomSeconds(r, 0.5, 5))
	}},
	{"path to a runner", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		length := randomSeconds(r, 0.3, 3)
		w.markAllImpaired(length)
		w.noteBreakage(nil, h, 0, length)
		return h.ID + " " + impairProxy(w, r, h.proxy, length)
	}},
	{"path of callers", func(w *World, r *rand.Rand) string {
		d, length := w.anyDaemon(r), randomSeconds(r, 0.2, 1.5)
		d.markImpaired(length + timeout + lateWait)
		w.noteBreakage(d, nil, 0, length)
		return d.name + " " + impairProxy(w, r, d.callerProxy, length)
	}},
	{"runner fails requests", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		if r.IntN(2) == 0 {
			h.CutNext(1 + r.IntN(eventsPerStream))
			return h.ID + " ends a stream early"
		}
		h.FailNext(1 + r.IntN(10))
		return h.ID + " answers 500"
	}},
	{"runner crashes", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.markAllImpaired(time.Second)
		w.replaceRunner(h, r)
		h.Kill()
		w.closeProxies(h)
		w.schedule(randomSeconds(r, 0.5, 3), func() { w.store.Remove(wire.KindRunners, h.ID) })
		return h.ID
	}},
	{"runner leaves", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.retireRunner(h, r)
		return h.ID
	}},
	{"configuration", func(w *World, _ *rand.Rand) string {
		if err := w.putConfig(); err != nil {
			return err.Error()
		}
		return versionPrefix(w.configVersion)
	}},
	{"settings", func(w *World, r *rand.Rand) string {
		allowed := dataCentres[:1+r.IntN(len(dataCentres))]
		w.schedule(0, func() { _ = w.restrictDataCentres(allowed) }) // may fail: another fault may make the store unreachable
		return fmt.Sprint(allowed)
	}},
	{"runner restarts", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.markAllImpaired(time.Second)
		for range 1 + r.IntN(2) {
			h.Restart(randomSeconds(r, 0.001, 3))
		}
		return h.ID
	}},
	{"invalid runner entry", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		name, entry := "i-other", invalidEntries[r.IntN(len(invalidEntries))]
		if h != nil && r.IntN(2) == 0 {
			name = h.ID
			w.markAllImpaired(time.Second)
			w.schedule(randomSeconds(r, 0.2, 1.2), h.Register)
		}
		if err := w.store.Put(wire.KindRunners, name, json.RawMessage(entry)); err != nil {
			return err.Error()
		}
		return name + " " + entry
	}},
	{"fatal request", func(w *World, r *rand.Rand) string { return w.sendFatal(r) }},
	{"limit", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		rate, length := []float64{0.5, 2, 6}[r.IntN(3)], randomSeconds(r, 3, 9)
		now := time.Now()
		w.mu.Lock()
		h.limits = append(h.limits, limitPeriod{interval{now, now.Add(length)}, rate})
		w.mu.Unlock()
		h.SetLimit(strconv.FormatFloat(rate, 'f', -1, 64))
		w.schedule(length, func() { h.SetLimit() })
		return fmt.Sprintf("%s announces %v requests per second for %v", h.ID, rate, length)
	}},
	{"runner announces that it leaves", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		w.replaceRunner(h, r)
		w.mu.Lock()
		h.leavingAt = time.Now()
		w.mu.Unlock()
		h.SetLeaving("1")
		entryLate := randomSeconds(r, 1, 7) // its entry says so later
		w.schedule(entryLate, h.Drain)
		w.endRunner(h, 7*time.Second)
		return fmt.Sprintf("%s, its entry %v later", h.ID, entryLate)
	}},
	{"runner asks for backoff", func(w *World, r *rand.Rand) string {
		h := w.anyRunner(r)
		if h == nil {
			return "none"
		}
		backoff, length := []string{"0.7", "1", "3"}[r.IntN(3)], randomSeconds(r, 0.2, 5)
		h.Reject(backoff)
		w.schedule(length, h.Accept)
		return fmt.Sprintf("%s asks for %s s for %v", h.ID, backoff, length)
	}},
	{"paths to the runners", func(w *World, r *rand.Rand) string { return w.partition(r) }},
	{"brittle runners", func(w *World, r *rand.Rand) string { return w.makeBrittle(r) }},
	{"broken answers", func(w *World, r *rand.Rand) string { return w.breakAnswers(r) }},
	{"software version", func(w *World, r *rand.Rand) string { return w.changeVersion(r) }},
	{"silent runners", func(w *World, r *rand.Rand) string { return w.silenceRunners(r) }},
	{"fatal prompt part", func(w *World, r *rand.Rand) string { return w.sendFatalPart(r) }},
	{"clients that do not behave", func(w *World, r *rand.Rand) string { return w.sendOddRequests(r) }},
	{"early answers", func(w *World, r *rand.Rand) string { return w.answerEarly(r) }},
	{"dropped from the configuration", func(w *World, r *rand.Rand) string { return w.dropFromConfig(r) }},
}

// invalidEntries are entries of the store that no runner writes.
var invalidEntries = []string{
	`{}`, `[]`, `"ready"`, `7`,
	`{"service":"gen","address":"127.0.0.1:1","zone":"p1","slots":"4","state":"ready"}`,
	`{"service":"gen","address":"127.0.0.1:1","zone":"p1","slots":4,"state":"resting"}`,
	`{"service":"gen","address":"nowhere","zone":"p1","slots":4,"state":"ready"}`,
	`{"service":"app","address":"127.0.0.1:1","zone":"p1","slots":4,"state":"ready","born":1.5}`,
	`{"service":"other","address":"127.0.0.1:1","zone":"p1","slots":4,"state":"ready"}`,
}

// impairProxy impairs the connections through a proxy in a way drawn at random.
func impairProxy(w *World, r *rand.Rand, p *Proxy, length time.Duration) string {
	how := ""
	switch r.IntN(6) {
	case 0:
		p.Reset()
		return "reset"
	case 1:
		p.Stall()
		return "silent"
	case 2:
		how = "slow"
		p.SetImpairment(Impairment{Delay: randomSeconds(r, 0.05, 0.4)})
	case 3:
		how = "refused"
		p.SetImpairment(Impairment{Refuse: true})
		p.Reset()
	case 4:
		how = "data from callers dropped"
		p.SetImpairment(Impairment{DropFromCaller: true})
	default:
		how = "data to callers dropped"
		p.SetImpairment(Impairment{DropToCaller: true})
	}
	w.schedule(length, func() {
		p.SetImpairment(Impairment{})
		p.Reset() // the discarded data is lost, so the connections cannot be used any more
	})
	return fmt.Sprintf("%s for %v", how, length)
}

// retireRunner replaces a runner, which announces that it leaves and ends later.
func (w *World) retireRunner(h *proxiedRunner, r *rand.Rand) {
	w.replaceRunner(h, r)
	w.mu.Lock()
	h.drainedAt = time.Now()
	w.mu.Unlock()
	h.Drain()
	w.endRunner(h, 4*time.Second)
}

// endRunner ends a runner that leaves, and its entry, after a delay.
func (w *World) endRunner(h *proxiedRunner, after time.Duration) {
	w.schedule(after, func() {
		h.Kill()
		w.closeProxies(h)
		w.store.Remove(wire.KindRunners, h.ID)
	})
}

// replaceRunner removes a runner from the list and starts a new one in its stead, with no
// runs and at most model m1 loaded.
func (w *World) replaceRunner(h *proxiedRunner, r *rand.Rand) {
	w.mu.Lock()
	w.runners = slices.DeleteFunc(w.runners, func(one *proxiedRunner) bool { return one == h })
	w.removedRunners = append(w.removedRunners, h)
	w.mu.Unlock()
	var models []string
	if h.Service == "gen" && r.IntN(2) == 0 {
		models = []string{"m1"}
	}
	w.addRunner(h.Service, h.DataCentre, models)
}
