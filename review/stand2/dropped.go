package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	wire "primroseward/platform"
)

// Case dropped: droppedAsking clients ask for adapters of models of which some are always absent, and on each of three daemons
// droppedStreams others hold streams of another route. After droppedBefore a version moves the first route to another
// service, and does not list the former service any more.
const (
	droppedAsking  = 24
	droppedStreams = 6
	droppedBefore  = 8 * time.Second
	droppedAfter   = 5 * time.Second
	// droppedWindow is config_ms and a second more, within which cut requests count beside a config. droppedLimit is how many may
	// be cut.
	droppedWindow = 3 * time.Second
	droppedLimit  = 3
)

func init() { cases["dropped"] = playDropped }

// droppedConfig returns the configuration before and after the change.
func droppedConfig(version uint64) wire.ConfigMessage {
	c := engineConfig(version)
	engine := *c.Services[0].Engine
	engine.Models = nil
	for i := range 20 {
		engine.Models = append(engine.Models, wire.ModelMessage{Name: fmt.Sprintf("m%d", i), MemoryMB: 34300, LoadS: modelLoad.Seconds(), WarmS: 0.39, DiskS: 0.51, Adapters: 5, AdapterMB: 40})
	}
	former, next := c.Services[0], c.Services[0]
	former.Engine, next.Name, next.Engine = &engine, "officina-new", &engine
	other := c.Routes[0]
	other.Name, other.Prefix, other.Service, other.Resumable = "manual-digest", "/puxa403/", next.Name, false
	c.Routes = append(c.Routes, other)
	c.Services = []wire.ServiceMessage{former, next}
	if version > 1 {
		c.Routes[0].Service = next.Name
		c.Services = c.Services[1:]
	}
	return c
}

// playDropped: requests wait for models of a service that the next version does not list any more.
func playDropped(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.setConfig(droppedConfig(1)); err != nil {
		return false, err
	}
	for i, service := range []string{"officina-llm", "officina-llm", "officina-new", "officina-new"} {
		if _, err := w.startEngine(fmt.Sprintf("i-%d", i+1), service, "enna", limitSlots, 0, "m0"); err != nil {
			return false, err
		}
	}
	daemons, err := w.addDaemons([]string{"catania", "caltagirone", "enna"})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the holder of orders is elected
	end := time.Now().Add(droppedBefore + droppedAfter)
	var changed atomic.Pointer[time.Time]
	var wg sync.WaitGroup
	for i := range droppedAsking {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(end); k++ {
				w.askStream(daemons[(i+k)%len(daemons)].caller, fmt.Sprintf("q-%d-%d", i, k), fmt.Sprintf("m%d/a%d", 1+(i+k)%19, 1+k%5))
			}
		}()
	}
	var before, beside atomic.Int64
	for i := range droppedStreams * len(daemons) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.holdStreams(daemons[i%len(daemons)], fmt.Sprintf("s-%d", i), end, func(cut time.Time) {
				if at := changed.Load(); at == nil {
					before.Add(1)
				} else if cut.Sub(*at) < droppedWindow {
					beside.Add(1)
				}
			})
		}()
	}
	time.Sleep(droppedBefore)
	if trouble {
		now := time.Now()
		changed.Store(&now)
		if err := w.setConfig(droppedConfig(2)); err != nil {
			return false, err
		}
	}
	wg.Wait()
	w.noteEnded(daemons)
	w.note("streams that runners ran and whose connection ended without a complete answer: %d before the config, %d beside it", before.Load(), beside.Load())
	return beside.Load() > droppedLimit+3*before.Load(), nil
}

// noteEnded writes which processes have ended by themselves.
func (w *world) noteEnded(daemons []*daemon) {
	for _, d := range daemons {
		select {
		case <-d.exited:
			w.note("daemon %s has ended by itself: %v", d.name, d.cmd.ProcessState)
		default:
		}
	}
}

// holdStreams sends requests one after the other on kept connections to a daemon, until an end. It calls cut for each whose
// connection ends within its answer.
func (w *world) holdStreams(d *daemon, name string, end time.Time, cut func(time.Time)) {
	var c *callerConn
	for k := 0; time.Now().Before(end); k++ {
		if c == nil {
			var err error
			if c, err = dialCaller(d.caller); err != nil {
				w.note("client: %s: %v", d.name, err)
				return
			}
		}
		id := fmt.Sprintf("%s-%d", name, k)
		got, err := c.ask("POST", "/puxa403/2f", id, 12*time.Second, "prompt", wire.HeaderModel+": m0", wire.HeaderTokens+": 300,24")
		if err != nil {
			if got != nil { // its head had arrived: a runner ran it
				cut(time.Now())
			}
			w.note("client: %s at %s: %v", id, d.name, err)
			_ = c.Close()
			c = nil
			time.Sleep(100 * time.Millisecond)
			continue
		}
		w.note("client: %s at %s gets %d, %d bytes", id, d.name, got.status, len(got.body))
	}
	if c != nil {
		_ = c.Close()
	}
}
