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
	// startTimeout is how long the daemons may take until they are ready.
	startTimeout = 20 * time.Second
	// recoveryTime is the wait from the end of the last fault until the system must have
	// recovered: leases expire after 5.3 s, a model loads in 0.4 s.
	recoveryTime = 9 * time.Second
	// calmLength is the length of the calm phase that follows: no faults are injected, and
	// planned work is done while callers send requests.
	calmLength = 5 * time.Second
	// inForceWithin is the time within which a change must be in force in the calm phase.
	inForceWithin = 2 * time.Second
	// minPause and maxPause bound the pause between the starts of two faults, so that several
	// faults run at the same time.
	minPause, maxPause = 50 * time.Millisecond, 600 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Seed         uint64
	Violations   []string // guarantees that were violated
	Events       []string // what was done, and when
	Requests     int      // requests sent
	Served       int
	Refused      int
	Lost         int // requests without a complete answer
	TakenUp      int // requests of callers that take a stream up
	WentOn       int // those of them that brought an event, or the stream's end
	CalmRequests int // requests of the calm phase, as countServed counts them
	CalmServed   int // those of them that were served
}

// errNotReady is returned for a run whose daemons do not become ready.
var errNotReady = errors.New("the daemons are not ready")

// schedule runs fn after a delay. A run waits for all scheduled functions.
func (w *World) schedule(delay time.Duration, fn func()) {
	w.scheduled.Add(1)
	time.AfterFunc(delay, func() {
		defer w.scheduled.Done()
		fn()
	})
}

// logEvent records what was done, with the time since the start of the run.
func (w *World) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f s  ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// Run runs one seed and checks the guarantees.
func Run(o Options) (*Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if !w.awaitReady(w.scale(startTimeout)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return nil, eris.Wrapf(errNotReady, "%s; logs in %s", strings.Join(w.violations, "; "), w.opts.Dir)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range o.Callers {
		c := &caller{w: w, rng: rand.New(rand.NewPCG(o.Seed, uint64(i)+2)), index: i}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(stop)
		}()
	}
	w.injectFaults(o.FaultDuration)
	w.endFaults()
	calmFrom := time.Now()
	w.runPlannedWork()
	close(stop)
	wg.Wait()
	calmTo := time.Now()
	w.check(calmFrom, calmTo)
	return w.report(calmFrom, calmTo), nil
}

// awaitReady waits until the directory of each daemon lists all daemons. It returns false if
// that does not happen within limit.
func (w *World) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if len(w.lookUpAddresses(d)) == len(w.daemons) {
				ready++
			}
		}
		if ready == len(w.daemons) {
			return true
		}
	}
	return false
}

// injectFaults injects random faults for the given time.
func (w *World) injectFaults(length time.Duration) {
	if w.opts.Balance {
		w.sendPatient(rand.New(rand.NewPCG(w.opts.Seed, w.rng.Uint64())), length)
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := w.drawFault()
		// Each fault has its own random source, so that the numbers other faults draw do
		// not change what it does.
		did := f.inject(w, rand.New(rand.NewPCG(w.opts.Seed, w.rng.Uint64())))
		w.logEvent("%s: %s", f.name, did)
		time.Sleep(minPause + time.Duration(w.rng.Int64N(int64(maxPause-minPause))))
	}
}

// faultKinds returns the number of fault kinds that the run uses.
func (w *World) faultKinds() int {
	if w.opts.FaultKinds > 0 {
		return w.opts.FaultKinds
	}
	return len(faults)
}

// endFaults ends all faults and waits until the system must have recovered.
func (w *World) endFaults() {
	w.scheduled.Wait()
	w.store.SetFaults(platform.Faults{})
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.restart()
		w.noteBreakage(d, nil, 0, 0) // its connections are reset
		for _, p := range []*Proxy{d.callerProxy, d.storeProxy} {
			p.SetImpairment(Impairment{})
			p.Reset()
		}
	}
	for _, h := range w.runners {
		h.proxy.SetImpairment(Impairment{})
	}
	w.logEvent("healed")
	time.Sleep(w.scale(recoveryTime))
	if !w.awaitReady(w.scale(startTimeout)) {
		w.reportViolation("the daemons' directories do not list all daemons after the faults ended")
	}
	w.logEvent("calm")
}

// runPlannedWork does planned work in the calm phase, under load: it stores a configuration,
// restricts service app to two data centres, drains a runner, and stops and starts a daemon.
func (w *World) runPlannedWork() {
	if err := w.putConfig(); err != nil {
		w.reportViolation("configuration: %v", err)
	}
	if err := w.restrictDataCentres(dataCentres[:2]); err != nil {
		w.reportViolation("settings: %v", err)
	}
	restricted := time.Now()
	leaving := w.anyRunner(w.rng)
	if leaving != nil {
		leaving.Drain()
	}
	time.Sleep(w.scale(inForceWithin))
	w.checkConfig(w.configVersion)
	stopped := w.anyDaemon(w.rng)
	w.logEvent("planned stop of %s", stopped.name)
	w.schedule(0, func() {
		stopped.stop()
		stopped.restart()
	})
	time.Sleep(calmLength)
	w.scheduled.Wait()
	w.checkPlannedWork(leaving, restricted.Add(w.scale(inForceWithin)))
}
