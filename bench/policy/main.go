// Command policy measures the placement policy against baselines in virtual
// time: the planner, the routing decision, the queues and the admission rule
// are the daemon's own; runners, demand and faults are made up from a seed.
// It prints the tables of docs/POLICY.md.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"primroseward/coordination/planner"
	"primroseward/core"
	"primroseward/state/queue"
	"primroseward/state/tree"
)

const (
	length = 4 * time.Hour
	seeds  = 2
)

type named struct {
	name string
	make func() variant
}

func plannedBy(change func(*planner.Policy)) func() variant {
	return func() variant {
		p := planner.Default()
		change(&p)
		return planned{p}
	}
}

func variants() []named {
	return []named{
		{"chosen", plannedBy(func(*planner.Policy) {})},
		{"static", func() variant { return &static{inner: planned{planner.Default()}, held: map[string][]string{}} }},
		{"LRU on demand", func() variant { return lru{} }},
	}
}

func ablations() []named {
	return []named{
		{"chosen", plannedBy(func(*planner.Policy) {})},
		{"no second replica", plannedBy(func(p *planner.Policy) { p.NoSecond = true })},
		{"no replica for demand", plannedBy(func(p *planner.Policy) { p.NoDemand = true })},
		{"fast average alone", plannedBy(func(p *planner.Policy) { p.NoSlow = true })},
		{"moves cost nothing", plannedBy(func(p *planner.Policy) { p.NoCost = true })},
		{"most memory first", plannedBy(func(p *planner.Policy) { p.NoSpread = true })},
	}
}

// build makes a deployment's world. load is the share of all slots that the
// mean demand fills.
func build(file string, seed uint64, load float64, v variant) *world {
	data, err := os.ReadFile("docs/samples/" + file)
	if err != nil {
		panic(err)
	}
	root, err := tree.ParseNode(data)
	if err != nil {
		panic(err)
	}
	t := tree.New(tree.Split(root))
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), variant: v, tree: t, byName: map[string]*served{}}
	w.result = result{met: map[core.Class]int{}, asked: map[core.Class]int{}}
	slots := 0
	for i := range 64 {
		for id, e := range t.Endpoints() {
			if e.Kind == tree.KindModel && strings.HasSuffix(id, fmt.Sprintf("-%02d", i)) {
				w.engines = append(w.engines, &engine{id: id, spec: e, used: map[string]time.Duration{}, queue: queue.New(), running: map[*request]bool{}, cost: firstCost})
				slots += e.Slots
			}
		}
	}
	w.result.engines = len(w.engines)
	var sum float64
	levels := map[string]float64{}
	for i, name := range t.Models() {
		m := planner.ModelOf(t, name, 0, 0)
		level := math.Pow(float64(1+(i*7)%len(t.Models())), -0.7)
		if m.Base != "" {
			level *= 0.3
		}
		levels[name] = level
		sum += level
		eff := t.Effective(tree.Coord{Service: t.ServiceOf(name), Model: name})
		w.models = append(w.models, &served{Model: m, class: eff.Class, target: eff.Target(eff.Class)})
	}
	const meanWork = 2.0 // seconds
	for _, m := range w.models {
		rate := load * float64(slots) / meanWork * levels[m.Name] / sum
		m.curve = newCurve(w.rng, rate, length)
		w.byName[m.Name] = m
	}
	return w
}

// faults are the same for every variant: a runner's death, a place's loss and
// an hour without the platform.
func (w *world) faults() {
	w.after(60*time.Minute, func() { w.kill(w.engines[2]) })
	w.after(75*time.Minute, func() { w.revive(w.engines[2]) })
	lost := w.engines[1].spec.Place
	w.after(100*time.Minute, func() {
		for _, e := range w.engines {
			if e.spec.Place == lost {
				w.kill(e)
			}
		}
	})
	w.after(115*time.Minute, func() {
		for _, e := range w.engines {
			if e.spec.Place == lost {
				w.revive(e)
			}
		}
	})
	w.after(150*time.Minute, func() { w.outage = true })
	w.after(210*time.Minute, func() { w.outage = false })
}

func simulate(file string, seed uint64, load float64, v variant) result {
	w := build(file, seed, load, v)
	w.after(0, w.reportAll)
	w.after(0, w.second)
	var tick func()
	tick = func() {
		w.variant.tick(w)
		w.after(planEvery, tick)
	}
	w.after(0, tick)
	w.faults()
	w.run(length)
	return w.result
}

// row joins the results of all seeds.
func row(name, file string, load float64, build func() variant) string {
	results := [seeds]result{}
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = simulate(file, uint64(i+1), load, build())
		}()
	}
	wg.Wait()
	met, asked := map[core.Class]int{}, map[core.Class]int{}
	var moves, hours, peak float64
	var dark time.Duration
	total, wanted := 0, 0
	for _, r := range results {
		for c, n := range r.asked {
			asked[c] += n
			met[c] += r.met[c]
			wanted += n
			total += r.met[c]
		}
		moves += float64(r.moves)
		hours += r.hours
		dark += r.dark
		peak = max(peak, r.peak)
	}
	cells := []string{name}
	for _, c := range core.Classes {
		if asked[c] == 0 {
			cells = append(cells, "-")
			continue
		}
		cells = append(cells, fmt.Sprintf("%.2f%%", 100*float64(met[c])/float64(asked[c])))
	}
	perEngine := float64(total) / hours / float64(results[0].engines)
	cells = append(cells, fmt.Sprintf("%.2f%%", 100*float64(total)/float64(wanted)), fmt.Sprintf("%.0f", perEngine),
		fmt.Sprintf("%.1f", moves/hours), fmt.Sprintf("%.0f s", dark.Seconds()/seeds), fmt.Sprintf("%.3f", peak))
	return "| " + strings.Join(cells, " | ") + " |"
}

const header = `| variant | urgent met | normal met | batch met | all met | met per accelerator and hour | moves per hour | model-seconds unreachable | peak memory |
|---|---|---|---|---|---|---|---|---|`

func main() {
	if len(os.Args) > 1 && os.Args[1] == "quick" {
		for _, file := range []string{"registry.json", "cooperative.json"} {
			fmt.Println(file)
			for _, v := range variants() {
				fmt.Println(row(v.name, file, 0.5, v.make))
			}
		}
		return
	}
	for _, load := range []float64{0.4, 0.5, 0.6} {
		for _, file := range []string{"registry.json", "cooperative.json"} {
			fmt.Printf("\n### %s, mean load %.2f\n\n%s\n", strings.TrimSuffix(file, ".json"), load, header)
			for _, v := range variants() {
				fmt.Println(row(v.name, file, load, v.make))
			}
		}
	}
	fmt.Println("\n## Each part turned off, mean load 0.50")
	for _, file := range []string{"registry.json", "cooperative.json"} {
		fmt.Printf("\n### %s\n\n%s\n", strings.TrimSuffix(file, ".json"), header)
		for _, v := range ablations() {
			fmt.Println(row(v.name, file, 0.5, v.make))
		}
	}
}
