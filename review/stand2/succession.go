package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	wire "primroseward/platform"
)

// Case succession: in each round three of eight machines lose their power, and three others successionGap later; all are
// back successionDown after their loss. A runner begins to drain with the first loss.
const (
	successionRounds = 5
	successionLost   = 3
	successionGap    = 1100 * time.Millisecond
	successionDown   = 4500 * time.Millisecond
	// drainBound is drain_ms, stableWindow is stable_window_ms with half a second more.
	drainBound   = 2 * time.Second
	stableWindow = 3500 * time.Millisecond
	// successionServes is how long after its report a draining runner serves on. "At times many seconds".
	successionServes = 5 * time.Second
	lookupInterval   = 20 * time.Millisecond
)

// smallZones are the zones of the machines of a small deployment.
var smallZones = []string{"catania", "catania", "catania", "caltagirone", "caltagirone", "caltagirone", "enna", "enna"}

func init() { cases["succession"] = playSuccession }

// playSuccession: the daemons that watch the store are lost, and those that would replace them are lost before they do.
func playSuccession(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.setConfig(lookupConfig()); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := w.startLookup(fmt.Sprintf("i-%d", i+1), smallZones[3*i]); err != nil {
			return false, err
		}
	}
	daemons, err := w.addDaemons(smallZones)
	if err != nil {
		return false, err
	}
	// Daemons watch the store in the order of these hashes; the calls that they make show it too.
	slices.SortFunc(daemons, func(a, b *daemon) int {
		if xxhash.Sum64String(a.name) < xxhash.Sum64String(b.name) {
			return -1
		}
		return 1
	})
	late := 0
	for round := range successionRounds {
		n, err := w.playLosses(daemons, fmt.Sprintf("i-drains-%d", round+1), trouble)
		if err != nil {
			return false, err
		}
		late += n
	}
	w.note("%d requests reached a draining runner later than %v after the store had accepted its report", late, drainBound)
	return late > 0, nil
}

// playLosses plays one round, and returns how many requests reached the draining runner too late.
func (w *world) playLosses(daemons []*daemon, id string, trouble bool) (late int, err error) {
	leaving, err := w.startLookup(id, smallZones[0])
	if err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, d := range daemons[2*successionLost:] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.lookUp(d, fmt.Sprintf("%s-%d", id, i), stop)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	restarted := make(chan error, 2)
	if trouble {
		go w.lose(daemons[:successionLost], restarted)
		time.AfterFunc(successionGap, func() { w.lose(daemons[successionLost:2*successionLost], restarted) })
	} else {
		restarted <- nil
		restarted <- nil
	}
	if err := leaving.register(wire.StateDraining); err != nil {
		return 0, err
	}
	accepted := time.Now()
	w.note("the store has accepted that runner %s is draining", id)
	time.Sleep(successionServes)
	late = leaving.arrivedAfter(accepted.Add(drainBound))
	w.store.Remove(wire.KindRunners, id)
	close(stop)
	wg.Wait()
	_ = leaving.ln.Close()
	for range 2 {
		if err := <-restarted; err != nil {
			return 0, err
		}
	}
	return late, nil
}

// lose ends the processes of daemons at once, and starts them again later.
func (w *world) lose(daemons []*daemon, restarted chan<- error) {
	for _, d := range daemons {
		w.signal(d, syscall.SIGKILL)
	}
	time.Sleep(successionDown)
	var err error
	for _, d := range daemons {
		<-d.exited
		if err == nil {
			err = w.startProcess(d)
		}
	}
	for _, d := range daemons {
		if err == nil {
			err = w.awaitReady(d)
		}
	}
	restarted <- err
}

// lookUp sends requests to a daemon on a kept connection.
func (w *world) lookUp(d *daemon, name string, stop <-chan struct{}) {
	c, err := dialCaller(d.caller)
	if err != nil {
		w.note("client: %s: %v", d.name, err)
		return
	}
	defer c.Close()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(lookupInterval):
		}
		id := fmt.Sprintf("q-%s-%d", name, k)
		got, err := c.ask("GET", "/puxa403/x", id, 600*time.Millisecond, "")
		if err != nil {
			w.note("client: %s at %s: %v", id, d.name, err)
			return
		}
		w.note("client: %s at %s gets %d", id, d.name, got.status)
	}
}

// startLookup starts a runner of the plain service.
func (w *world) startLookup(id, zone string) (*runnerServer, error) {
	s := &runnerServer{id: id, service: "lookup-api", zone: zone, slots: 6, handle: func(s *runnerServer, c net.Conn, r *http.Request, _ []byte) bool {
		s.ran(r)
		time.Sleep(5 * time.Millisecond)
		s.answer(c, r, http.StatusOK, true, "ok")
		return true
	}}
	return s, w.startRunner(s)
}

// lookupConfig returns a configuration with a plain service.
func lookupConfig() wire.ConfigMessage {
	return wire.ConfigMessage{
		Version: 1,
		Routes: []wire.RouteMessage{{
			Name: "rdns-q", Host: host, Prefix: "/puxa403/", Kind: "safe", TimeoutMS: 600, TargetMS: 100, Service: "lookup-api", MaxAttempts: 2, Priority: 2,
		}},
		Services: []wire.ServiceMessage{{Name: "lookup-api", Health: "/health", MaxConns: 110}},
		Limits:   wire.LimitsMessage{HeaderBytes: 65536, BodyBytes: 4 << 20, HeaderMS: 5000, IdleMS: 30000},
	}
}
