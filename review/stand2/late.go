package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Case late: in each round of lateRound a share of the orders gets no answer for lateTime, and is carried out 2 to 12 s later.
// lateClients clients ask for lateAdapters adapters of lateRunners runners.
const (
	lateRounds   = 16
	lateRound    = 6 * time.Second
	lateTime     = 5500 * time.Millisecond
	lateShare    = 0.35
	lateClients  = 260
	lateAdapters = 500
	lateRunners  = 64
	lateEvents   = 100 // of a stream, which takes 5 s
)

func init() { cases["late"] = playLate }

// playLate: an order with a sequence that the runner reaches only later is carried out late.
func playLate(w *world, trouble bool) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	config := engineConfig(1)
	config.Services[0].Engine.Models[0].Adapters = lateAdapters
	if err := w.setConfig(config); err != nil {
		return false, err
	}
	var engines []*engine
	for i := range lateRunners {
		e, err := w.startEngine(fmt.Sprintf("i-%d", i+1), "officina-llm", []string{"catania", "caltagirone", "enna"}[i%3], limitSlots, 0, "m0")
		if err != nil {
			return false, err
		}
		e.events = lateEvents
		engines = append(engines, e)
	}
	daemons, err := w.addDaemons([]string{"catania", "caltagirone", "enna"})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the holder of orders is elected and loads the first adapters
	broken := func() bool {
		return slices.ContainsFunc(engines, func(e *engine) bool { return len(e.violations()) > 0 })
	}
	end := time.Now().Add(lateRounds * lateRound)
	var wg sync.WaitGroup
	for i := range lateClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(end) && !broken(); k++ {
				w.askStream(daemons[rand.IntN(len(daemons))].caller, fmt.Sprintf("q-%d-%d", i, k), fmt.Sprintf("m0/a%d", 1+rand.IntN(lateAdapters)))
			}
		}()
	}
	for range lateRounds {
		if broken() {
			break
		}
		setLate(engines, trouble, lateShare)
		time.Sleep(lateTime)
		setLate(engines, trouble, 0)
		time.Sleep(lateRound - lateTime)
	}
	wg.Wait()
	return broken(), nil
}

// setLate sets the share of the orders that all engines carry out late.
func setLate(engines []*engine, trouble bool, share float64) {
	for _, e := range engines {
		if trouble {
			e.setLate(share)
		}
	}
}
