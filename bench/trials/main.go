// Command trials plays the same days with several trees of the code, or several
// settings of one, and prints what each is worth against the first: the mean, the
// mean difference over pairs of the same day and seed, and its standard error.
//
//	go run ./bench/trials --play BENCH --sites A.toml,B.toml --days scale-1,trouble-1 \
//	    --seeds 1,2,3,4 --why "..." base=. other=/tmp/tree
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// tree is one variant of the code.
type tree struct{ label, dir string }

// play is one day to be played.
type play struct {
	tree      tree
	site, day string
	seed      string
}

// key is what a play shares with those of other trees.
func (p play) key() string { return p.day + " " + p.seed }

// outcome is what a day was worth.
type outcome struct {
	Worth   float64        `json:"G"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Fault   any            `json:"fault"`
	Breaks  map[string]any `json:"breaks"`
	Prices  [][]any        `json:"prices"`
}

func main() {
	bench := flag.String("play", "", "program that plays a day")
	sites := flag.String("sites", "", "site files, joined by commas")
	days := flag.String("days", "scale-1,scale-2,trouble-1", "days, joined by commas")
	seeds := flag.String("seeds", "1,2,3,4", "seeds, joined by commas")
	why := flag.String("why", "", "what the trial is for")
	jobs := flag.Int("jobs", 7, "days played at a time")
	raw := flag.String("raw", "", "file that each day's figures are added to")
	flag.Parse()
	if err := run(*bench, strings.Split(*sites, ","), strings.Split(*days, ","), strings.Split(*seeds, ","), *why, *jobs, *raw, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "trials:", err)
		os.Exit(1)
	}
}

func run(bench string, sites, days, seeds []string, why string, jobs int, raw string, args []string) error {
	if bench == "" || why == "" || len(args) == 0 {
		return errors.New("--play, --why and at least one LABEL=DIR are needed")
	}
	var trees []tree
	var plays []play
	for _, a := range args {
		label, dir, ok := strings.Cut(a, "=")
		if !ok {
			return fmt.Errorf("%q is not LABEL=DIR", a)
		}
		t := tree{label, dir}
		build := exec.Command(bench, "build")
		build.Dir = dir
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build of %s: %w\n%s", label, err, out)
		}
		trees = append(trees, t)
	}
	for _, site := range sites {
		for _, day := range days {
			for _, seed := range seeds {
				for _, t := range trees {
					plays = append(plays, play{t, site, day, seed})
				}
			}
		}
	}
	results, err := playAll(bench, why, jobs, plays)
	if err != nil {
		return err
	}
	if raw != "" {
		if err := keepRaw(raw, plays, results); err != nil {
			return err
		}
	}
	for _, site := range sites {
		report(site, trees, plays, results)
	}
	return collect(trees)
}

func playAll(bench, why string, jobs int, plays []play) ([]outcome, error) {
	results := make([]outcome, len(plays))
	errs := make([]error, len(plays))
	var wg sync.WaitGroup
	slots := make(chan struct{}, jobs)
	for i, p := range plays {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = playOne(bench, why, p)
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func playOne(bench, why string, p play) (o outcome, err error) {
	report, err := os.CreateTemp("", "trial-*.json")
	if err != nil {
		return o, err
	}
	_ = report.Close()
	defer func() { err = errors.Join(err, os.Remove(report.Name())) }()
	cmd := exec.Command(bench, "run", p.site, p.day, "--seed", p.seed, "--no-cpu", "--report", report.Name(), "--why", "Trial, "+p.tree.label+": "+why)
	cmd.Dir = p.tree.dir
	if out, err := cmd.CombinedOutput(); err != nil && len(out) == 0 {
		return o, fmt.Errorf("%s %s %s: %w", p.tree.label, p.site, p.key(), err)
	}
	data, err := os.ReadFile(report.Name())
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("%s %s %s: %w", p.tree.label, p.site, p.key(), err)
	}
	return o, nil
}

func keepRaw(path string, plays []play, results []outcome) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	for i, p := range plays {
		o := results[i]
		fmt.Fprintf(f, "%s\t%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\n", p.tree.label, siteName(p.site), p.day, p.seed, o.Worth, o.Served, o.Refused, o.Failed, len(o.Breaks))
	}
	return f.Close()
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// report prints a site's table.
func report(site string, trees []tree, plays []play, results []outcome) {
	fmt.Printf("\n%s\n%-28s %7s %8s %7s %7s %7s %7s %8s  by day\n", siteName(site), "tree", "worth", "against", "error", "served", "refused", "failed", "loads")
	base := map[string]float64{}
	for n, t := range trees {
		var worth, diffs []float64
		var served, refused, failed, loads float64
		byDay := map[string][]float64{}
		var order []string
		broken := ""
		for i, p := range plays {
			if p.site != site || p.tree != t {
				continue
			}
			o := results[i]
			if n == 0 {
				base[p.key()] = o.Worth
			}
			worth = append(worth, o.Worth)
			diffs = append(diffs, o.Worth-base[p.key()])
			served += o.Served
			refused += o.Refused
			failed += o.Failed
			loads += priceOf(o, "loads of weights")
			if byDay[p.day] == nil {
				order = append(order, p.day)
			}
			byDay[p.day] = append(byDay[p.day], o.Worth)
			if len(o.Breaks) > 0 || o.Fault != nil {
				broken += fmt.Sprintf(" BROKEN %s %v %v", p.key(), o.Breaks, o.Fault)
			}
		}
		k := float64(len(worth))
		m, _ := meanError(worth)
		d, e := meanError(diffs)
		fmt.Printf("%-28s %7.3f %+8.3f %7.3f %7.3f %7.3f %7.3f %8.1f ", t.label, m, d, e, served/k, refused/k, failed/k, loads/k)
		for _, day := range order {
			m, _ := meanError(byDay[day])
			fmt.Printf(" %.3f", m)
		}
		fmt.Println(broken)
	}
}

// priceOf is the quantity of a priced thing.
func priceOf(o outcome, name string) float64 {
	for _, p := range o.Prices {
		if len(p) > 1 && p[0] == name {
			v, _ := p[1].(float64)
			return v
		}
	}
	return 0
}

// meanError is the mean and its standard error.
func meanError(list []float64) (mean, stderr float64) {
	n := float64(len(list))
	for _, v := range list {
		mean += v / n
	}
	if n < 2 {
		return mean, 0
	}
	for _, v := range list {
		stderr += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(stderr / (n - 1) / n)
}

// collect copies the trees' journals into this one's.
func collect(trees []tree) error {
	here, err := filepath.Abs(".")
	if err != nil {
		return err
	}
	for _, t := range trees {
		if dir, err := filepath.Abs(t.dir); err != nil || dir == here {
			continue
		}
		from := filepath.Join(t.dir, "journal")
		err := filepath.WalkDir(from, func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				return err
			}
			rel, err := filepath.Rel(from, path)
			if err != nil {
				return err
			}
			to := filepath.Join("journal", rel)
			if _, err := os.Stat(to); err == nil {
				return nil
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			return errors.Join(os.MkdirAll(filepath.Dir(to), 0o755), os.WriteFile(to, data, 0o644))
		})
		if err != nil {
			return err
		}
	}
	return nil
}
