package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/standin/platform"
)

const (
	// startLimit is how long the daemons may take until they are ready.
	startLimit = 20 * time.Second
	// settle is from the end of the last fault until all must be well again: leases
	// run out after 5.3 s, a model loads in 0.4 s.
	settle = 9 * time.Second
	// calm is how long callers are then served while planned work is done.
	calm = 5 * time.Second
	// inForce is within which a change must be in force in a calm system.
	inForce = 2 * time.Second
	// Pauses between two faults: several run at the same time.
	leastPause, mostPause = 50 * time.Millisecond, 600 * time.Millisecond
)

// Report is what a run came to.
type Report struct {
	Seed     uint64
	Wrong    []string // promises that were broken
	Events   []string // what was done, and when
	Asked    int
	Served   int
	Refused  int
	Lost     int // without a whole answer
	InCalm   int // asked while all was calm
	CalmGood int // of them served
	Logs     []string
}

// errNotReady is the error of a run whose daemons do not start.
var errNotReady = errors.New("the daemons are not ready")

// later runs fn after a while; a run waits for all of them.
func (w *World) later(d time.Duration, fn func()) {
	w.pending.Add(1)
	time.AfterFunc(d, func() {
		defer w.pending.Done()
		fn()
	})
}

func (w *World) event(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f s  ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// Run plays one seed.
func Run(o Options) (*Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if !w.awaitReady(w.slow(startLimit)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return nil, eris.Wrapf(errNotReady, "%s; logs in %s", strings.Join(w.wrong, "; "), w.opts.Dir)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range o.Callers {
		c := &caller{w: w, rng: rand.New(rand.NewPCG(o.Seed, uint64(i)+2)), num: i}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(stop)
		}()
	}
	w.harmFor(o.Length)
	w.heal()
	calmFrom := time.Now()
	w.planned()
	close(stop)
	wg.Wait()
	calmTo := time.Now()
	w.check(calmFrom, calmTo)
	return w.report(calmFrom, calmTo), nil
}

func (w *World) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if len(w.addresses(d)) == len(w.daemons) {
				ready++
			}
		}
		if ready == len(w.daemons) {
			return true
		}
	}
	return false
}

// harmFor lets things go wrong for a time.
func (w *World) harmFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[w.rng.IntN(w.kinds())]
		// A fault draws from a source of its own, so that what the others drew
		// does not change what it does.
		what := f.do(w, rand.New(rand.NewPCG(w.opts.Seed, w.rng.Uint64())))
		w.event("%s: %s", f.name, what)
		time.Sleep(leastPause + time.Duration(w.rng.Int64N(int64(mostPause-leastPause))))
	}
}

// kinds is how many kinds of faults are played.
func (w *World) kinds() int {
	if w.opts.Kinds > 0 {
		return w.opts.Kinds
	}
	return len(faults)
}

// heal ends all faults and waits until the system must be well again.
func (w *World) heal() {
	w.pending.Wait()
	w.store.SetFaults(platform.Faults{})
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.restart()
		for _, p := range []*Proxy{d.front, d.store} {
			p.Set(Harm{})
			p.Reset()
		}
	}
	for _, h := range w.runners {
		h.proxy.Set(Harm{})
	}
	w.event("healed")
	time.Sleep(w.slow(settle))
	if !w.awaitReady(w.slow(startLimit)) {
		w.note("the daemons do not find each other again")
	}
	w.event("calm")
}

// planned does planned work on a calm system, under load: a configuration, a
// narrowing, a runner that leaves, a daemon that is stopped and started.
func (w *World) planned() {
	if err := w.putConfig(); err != nil {
		w.note("configuration: %v", err)
	}
	if err := w.narrow(places[:2]); err != nil {
		w.note("settings: %v", err)
	}
	narrowed := time.Now()
	leaving := w.anyRunner(w.rng)
	if leaving != nil {
		leaving.Drain()
	}
	time.Sleep(w.slow(inForce))
	w.checkConfig(w.config)
	stopped := w.anyDaemon(w.rng)
	w.event("planned stop of %s", stopped.name)
	w.later(0, func() {
		stopped.stop()
		stopped.restart()
	})
	time.Sleep(calm)
	w.pending.Wait()
	w.checkRuns(leaving, narrowed.Add(w.slow(inForce)))
}
