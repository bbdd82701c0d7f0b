// Command primrose-soak plays seeds of the fault soak: real daemons as processes on
// loopback, harmed from outside. It exits with 1 if a promise was broken, and leaves
// the logs of each such seed.
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

func main() {
	o := soak.Options{Binary: "bin/primrosed", Daemons: 4, Callers: 12, Length: 12 * time.Second}
	seeds, jobs, seed := 4, 2, uint64(0)
	dir := filepath.Join(os.TempDir(), "soak")
	flaggy.SetName("primrose-soak")
	flaggy.SetDescription("plays random faults against real daemons and checks what callers and runners see")
	flaggy.SetVersion(core.Version)
	flaggy.String(&o.Binary, "b", "binary", "the daemon")
	flaggy.String(&dir, "d", "dir", "where settings files and logs go")
	flaggy.Int(&seeds, "n", "seeds", "how many seeds to play")
	flaggy.Int(&jobs, "j", "jobs", "how many at the same time")
	flaggy.UInt64(&seed, "s", "seed", "the first seed; 0: drawn")
	flaggy.Int(&o.Daemons, "", "daemons", "daemons in each run")
	flaggy.Int(&o.Callers, "", "callers", "callers in each run")
	flaggy.Duration(&o.Length, "l", "length", "how long things go wrong in each run")
	flaggy.Parse()
	if seed == 0 {
		seed = rand.Uint64N(1e9)
	}
	p := &player{o: o, dir: dir}
	p.play(seed, seeds, jobs)
	fmt.Printf("%d seeds played, %d broken\n", seeds, p.broken)
	if p.broken > 0 {
		os.Exit(1)
	}
}

// player plays seeds side by side.
type player struct {
	o      soak.Options
	dir    string
	mu     sync.Mutex
	broken int
}

func (p *player) play(first uint64, n, jobs int) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, jobs)
	for i := range n {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			p.one(first + uint64(i))
		}()
	}
	wg.Wait()
}

func (p *player) one(seed uint64) {
	o := p.o
	o.Seed, o.Dir = seed, filepath.Join(p.dir, fmt.Sprint(seed))
	err := os.MkdirAll(o.Dir, 0o700)
	var r *soak.Report
	if err == nil {
		r, err = soak.Run(o)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.broken++
		fmt.Printf("seed %d: %v\n", seed, err)
		return
	}
	fmt.Printf("seed %d: %d asked, %d served, %d refused, %d lost; calm: %d of %d\n", seed, r.Asked, r.Served, r.Refused, r.Lost, r.CalmGood, r.InCalm)
	if len(r.Wrong) == 0 {
		_ = os.RemoveAll(o.Dir) // left-over logs harm nobody
		return
	}
	p.broken++
	for _, line := range r.Wrong {
		fmt.Println("  broken:", line)
	}
	for _, line := range r.Events {
		fmt.Println("  event: ", line)
	}
	fmt.Println("  logs:  ", o.Dir)
}
