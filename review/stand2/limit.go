package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	wire "primroseward/platform"
)

// The load of case limit: limitClients clients ask for limitAdapters adapters, for limitTime at most. Of the answers of
// limitFaulty of limitRunners runners limitRepeats are sent twice.
const (
	limitTime     = 100 * time.Second
	limitClients  = 80
	limitAdapters = 126
	limitSlots    = 5
	limitRunners  = 12
	limitFaulty   = 7
	limitRepeats  = 0.03
)

func init() { cases["limit"] = playLimit }

// playLimit: a second answer to an earlier request arrives where the answer to an order is expected.
func playLimit(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.setConfig(engineConfig(1)); err != nil {
		return false, err
	}
	var engines []*engine
	for i := range limitRunners {
		repeats := 0.0
		if trouble && i < limitFaulty {
			repeats = limitRepeats
		}
		e, err := w.startEngine(fmt.Sprintf("i-%d", i+1), "officina-llm", []string{"catania", "caltagirone", "enna"}[i%3], limitSlots, repeats, "m0")
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	daemons, err := w.addDaemons([]string{"catania", "enna"})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the holder of orders is elected and loads the first adapters
	broken := func() bool {
		return slices.ContainsFunc(engines, func(e *engine) bool { return len(e.violations()) > 0 })
	}
	end := time.Now().Add(limitTime)
	var wg sync.WaitGroup
	for i := range limitClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(end) && !broken(); k++ {
				w.askStream(daemons[(i+k)%len(daemons)].caller, fmt.Sprintf("q-%d-%d", i, k), fmt.Sprintf("m0/a%d", 1+rand.IntN(limitAdapters)))
			}
		}()
	}
	wg.Wait()
	return broken(), nil
}

// askStream sends one request for a model on a connection of its own.
func (w *world) askStream(addr, id, model string) {
	c, err := dialCaller(addr)
	if err != nil {
		w.note("client: %s: %v", id, err)
		return
	}
	defer c.Close()
	got, err := c.ask("POST", "/lohu930/2f", id, 12*time.Second, "prompt", wire.HeaderModel+": "+model, wire.HeaderTokens+": 300,24", wire.HeaderParts+": 5c1e07a2:100,"+fmt.Sprintf("%x:200", rand.Uint32()))
	if err != nil {
		w.note("client: %s (%s): %v", id, model, err)
		return
	}
	w.note("client: %s (%s) gets %d, %d bytes", id, model, got.status, len(got.body))
	if got.status != 200 {
		time.Sleep(300 * time.Millisecond)
	}
}

// engineConfig returns a configuration with a service of engines.
func engineConfig(version uint64) wire.ConfigMessage {
	return wire.ConfigMessage{
		Version: version,
		Routes: []wire.RouteMessage{{
			Name: "bench-diag", Host: host, Prefix: "/lohu930/", Kind: "streaming", TimeoutMS: 12000, TargetMS: 400, MaxGapMS: 150, Service: "officina-llm",
			MaxAttempts: 2, Resumable: true, Sticky: true, Priority: 1,
		}},
		Services: []wire.ServiceMessage{{Name: "officina-llm", Health: "/health", MaxConns: 370, Engine: &wire.EngineMessage{
			Slots: 64, CacheTokens: 135517, MemoryMB: 83000, AdapterSlots: limitSlots, LoadsPerSec: 2.3,
			Models: []wire.ModelMessage{{Name: "m0", MemoryMB: 34300, LoadS: modelLoad.Seconds(), WarmS: 0.39, DiskS: 0.51, Adapters: limitAdapters, AdapterMB: 40}},
		}}},
		Limits: wire.LimitsMessage{HeaderBytes: 65536, BodyBytes: 4 << 20, HeaderMS: 5000, IdleMS: 30000},
	}
}
