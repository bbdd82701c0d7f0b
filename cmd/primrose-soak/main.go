// Command primrose-soak runs seeds of the soak test: daemon processes on loopback into
// which faults are injected from outside. It exits with 1 if a seed failed or violated a
// guarantee, and keeps the logs of each such seed.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"primroseward/core"
	"primroseward/soak"
)

// balancedEvery is how many seeds there are to one that balances requests. The seed decides, so that a seed that is run
// again plays the same.
const balancedEvery = 3

func main() {
	o := soak.Options{Binary: "bin/primrosed", Daemons: 4, Callers: 12, FaultDuration: 12 * time.Second}
	seeds, jobs, seed := 4, 2, uint64(0)
	dir := filepath.Join(os.TempDir(), "soak")
	flaggy.SetName("primrose-soak")
	flaggy.SetDescription("injects random faults into real daemons and checks what callers and runners observe")
	flaggy.SetVersion(core.Version)
	flaggy.String(&o.Binary, "b", "binary", "path of the daemon's binary")
	flaggy.String(&dir, "d", "dir", "directory for settings files and logs")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds to run")
	flaggy.Int(&jobs, "j", "jobs", "number of seeds to run at the same time")
	flaggy.UInt64(&seed, "s", "seed", "first seed; 0: random")
	flaggy.Int(&o.Daemons, "", "daemons", "daemons in each run")
	flaggy.Int(&o.Callers, "", "callers", "callers in each run")
	flaggy.Duration(&o.FaultDuration, "l", "length", "how long faults are injected in each run")
	flaggy.Parse()
	if seed == 0 {
		seed = rand.Uint64N(1e9)
	}
	p := &seedRunner{opts: o, dir: dir}
	p.runAll(seed, seeds, jobs)
	fmt.Printf("%d seeds run, %d failed\n", seeds, p.failed)
	if p.failed > 0 {
		os.Exit(1)
	}
}

// seedRunner runs seeds concurrently and counts those that failed.
type seedRunner struct {
	opts   soak.Options
	dir    string
	mu     sync.Mutex
	failed int
}

func (p *seedRunner) runAll(first uint64, n, jobs int) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, jobs)
	for i := range n {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			p.runSeed(first + uint64(i))
		}()
	}
	wg.Wait()
}

func (p *seedRunner) runSeed(seed uint64) {
	o := p.opts
	o.Seed, o.Dir, o.Balance = seed, filepath.Join(p.dir, fmt.Sprint(seed)), seed%balancedEvery == 0
	err := os.MkdirAll(o.Dir, 0o700)
	var r *soak.Report
	if err == nil {
		r, err = soak.Run(o)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		fmt.Printf("seed %d: %v\n", seed, err)
		return
	}
	fmt.Printf("seed %d: %d asked, %d served, %d refused, %d lost; %d of %d streams taken up went on; calm: %d of %d\n", seed, r.Requests, r.Served, r.Refused, r.Lost, r.WentOn, r.TakenUp, r.CalmServed, r.CalmRequests)
	if len(r.Violations) == 0 {
		_ = os.RemoveAll(o.Dir) // a failure only leaves logs behind
		return
	}
	p.failed++
	for _, line := range r.Violations {
		fmt.Println("  violation:", line)
	}
	for _, line := range r.Events {
		fmt.Println("  event:    ", line)
	}
	fmt.Println("  logs:     ", o.Dir)
}
