package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case turns: bounds.lease_ms of the deployment, a roll_term of all machines one after the other, each
// 1.5 s, as in mtkvari-reg, and requests for adapters, of which a runner has places for 8.
const (
	leaseTime    = 3 * time.Second
	rollGap      = 1500 * time.Millisecond
	rolls        = 7
	rollPause    = 5 * time.Second
	turnMachines = 4
	startDelay   = 300 * time.Millisecond
	adapterCount = 42
	askEvery     = 60 * time.Millisecond
)

func init() { cases["turns"] = playTurns }

// turn is a span in which one holder alone gave a runner orders.
type turn struct {
	holder      string
	first, last time.Time
}

// orders holds the turns at each runner.
type orders struct {
	mu    sync.Mutex
	turns map[string][]turn
}

// add records an order as it arrived at a runner.
func (o *orders) add(runner, holder string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.turns[runner]
	if n := len(list); n > 0 && list[n-1].holder == holder {
		list[n-1].last = at
		return
	}
	o.turns[runner] = append(list, turn{holder, at, at})
}

// quick describes the hand-overs at which a holder's first order arrived within leaseTime of the last one of the holder
// before, and those two of which follow each other.
func (o *orders) quick() (single, double []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for runner, list := range o.turns {
		text := ""
		for i := 1; i < len(list); i++ {
			gap := list[i].first.Sub(list[i-1].last)
			if gap >= leaseTime {
				text = ""
				continue
			}
			follows := text != ""
			if !follows {
				text = runner + ": " + list[i-1].holder
			}
			text += fmt.Sprintf(", %d ms later %s", gap.Milliseconds(), list[i].holder)
			single = append(single, text)
			if follows {
				double = append(double, text)
			}
		}
	}
	return single, double
}

// holderOf returns who holds the lease of orders by the store, empty if nobody does.
func (w *world) holderOf() string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var spec struct {
		Body struct {
			Holder string `json:"holder"`
		} `json:"body"`
	}
	_ = json.Unmarshal(w.store.kinds["leases"]["orders"].Spec, &spec)
	return spec.Body.Holder
}

// playTurns stops and starts the machines that give the orders, one after the other.
func playTurns(w *world) error {
	seen := &orders{turns: map[string][]turn{}}
	w.line = func(s *server, text string) {
		if _, rest, ok := strings.Cut(text, " holder="); ok {
			name, _, _ := strings.Cut(rest, " ")
			seen.add(s.id, name, time.Now())
		}
	}
	w.putConfig(adapterCount)
	for i, zone := range []string{"vake", "saburtalo"} {
		if _, err := w.startServer(fmt.Sprintf("i-lm-%d", i+1), engines, zone, "-models", "m0", "-events", "8", "-interval", "20ms"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if err := w.startDaemons(turnMachines); err != nil {
		return err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := 0; ; i++ {
		if i == 0 {
			go w.rollAll(done)
		}
		select {
		case <-done:
			clients.Wait()
			return seen.judge(w)
		case <-time.After(askEvery):
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := w.newID()
			a := w.send(w.daemons[i%len(w.daemons)], id, draftPath+"2f", fmt.Sprintf("m0/a%d", i%adapterCount+1), 4*time.Second, strings.NewReader("a draft"))
			w.record("client", fmt.Sprintf("gets %s status=%d whole=%t", id, a.status, a.err == nil))
		}()
	}
}

// judge returns whether holders took turns: one quick hand-over alone does not count.
func (o *orders) judge(w *world) error {
	single, double := o.quick()
	for _, t := range single {
		w.record("case", "quick hand-over at "+t)
	}
	w.record("case", fmt.Sprintf("%d quick hand-overs, %d of them right after another", len(single), len(double)))
	if len(double) > 0 {
		return fmt.Errorf("%w: ONE: holders took turns within %d ms %d times, first at %s", errBroken, leaseTime.Milliseconds(), len(double), double[0])
	}
	if len(o.turns) == 0 {
		return fmt.Errorf("no orders were given")
	}
	return nil
}

// rollAll stops all machines and starts them again, one after the other: at each step the one that holds the lease, or
// another one if that has had its turn.
func (w *world) rollAll(done chan<- struct{}) {
	defer close(done)
	time.Sleep(8 * time.Second)
	for range rolls {
		rolled := map[string]bool{}
		for range w.daemons {
			if w.trouble {
				w.roll(rolled)
			}
			time.Sleep(rollGap)
		}
		time.Sleep(rollPause)
	}
}

// roll stops a machine with SIGTERM, and starts it again when its process has ended.
func (w *world) roll(rolled map[string]bool) {
	holder := w.holderOf()
	var next *daemon
	for _, d := range w.daemons {
		if !rolled[d.name] && (next == nil || d.name == holder) {
			next = d
		}
	}
	rolled[next.name] = true
	w.record(next.name, fmt.Sprintf("gets SIGTERM, holds the lease: %t", next.name == holder))
	_ = next.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		_ = next.cmd.Wait()
		time.Sleep(startDelay)
		if err := w.startDaemon(next); err != nil {
			w.record(next.name, err.Error())
		}
	}()
}
