// Command trials plays the same days with several trees of the code and prints what
// each is worth against the first: the mean, the mean difference over pairs of the
// same day and seed, and its standard error.
//
//	go run ./bench/trials --play BENCH --sites A.toml,B.toml --days scale-1,trouble-1 \
//	    --seeds 1,2,3,4 --why "..." --trees before=.,after=/tmp/tree
//
// Runs of unchanged code repeat; any change of the code draws other luck, which moves a
// day by 0.03 to 0.05. Only pairs of many days tell a change from that.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"primroseward/core"
)

// tree is one variant of the code.
type tree struct{ label, dir string }

// play is one day to be played.
type play struct {
	tree            tree
	site, day, seed string
}

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

// setup is what is to be played and how.
type setup struct {
	bench, why, raw    string
	sites, days, seeds []string
	jobs               int
	trees              []tree
}

func main() {
	s := setup{jobs: 7}
	sites, days, seeds, trees := "", "scale-1,scale-2,trouble-1", "1,2,3,4", ""
	flaggy.SetName("trials")
	flaggy.SetDescription("plays the same days with several trees of the code and compares what they are worth")
	flaggy.SetVersion(core.Version)
	flaggy.String(&s.bench, "p", "play", "program that plays a day")
	flaggy.String(&sites, "s", "sites", "site files, joined by commas")
	flaggy.String(&days, "d", "days", "days, joined by commas")
	flaggy.String(&seeds, "n", "seeds", "seeds, joined by commas")
	flaggy.String(&trees, "t", "trees", "LABEL=DIR, joined by commas; the others are compared with the first")
	flaggy.String(&s.why, "w", "why", "what the trial is for")
	flaggy.Int(&s.jobs, "j", "jobs", "days played at a time")
	flaggy.String(&s.raw, "r", "raw", "file that each day's figures are added to")
	flaggy.Parse()
	s.sites, s.days, s.seeds = strings.Split(sites, ","), strings.Split(days, ","), strings.Split(seeds, ",")
	if err := s.run(strings.Split(trees, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "trials:", err)
		os.Exit(1)
	}
}

func (s *setup) run(trees []string) error {
	if s.bench == "" || s.why == "" {
		return errors.New("--play and --why are needed")
	}
	if err := s.build(trees); err != nil {
		return err
	}
	plays := s.plays()
	results, err := s.playAll(plays)
	if err != nil {
		return err
	}
	if err := s.keepRaw(plays, results); err != nil {
		return err
	}
	for _, site := range s.sites {
		s.report(site, plays, results)
	}
	return collect(s.trees)
}

// build builds the trees before any is played: plays of one tree share what is built.
func (s *setup) build(trees []string) error {
	for _, t := range trees {
		label, dir, ok := strings.Cut(t, "=")
		if !ok {
			return fmt.Errorf("--trees: %q is not LABEL=DIR", t)
		}
		cmd := exec.Command(s.bench, "build")
		cmd.Dir = dir
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build of %s: %w\n%s", label, err, out)
		}
		s.trees = append(s.trees, tree{label, dir})
	}
	return nil
}

func (s *setup) plays() []play {
	var out []play
	for _, site := range s.sites {
		for _, day := range s.days {
			for _, seed := range s.seeds {
				for _, t := range s.trees {
					out = append(out, play{t, site, day, seed})
				}
			}
		}
	}
	return out
}

func (s *setup) playAll(plays []play) ([]outcome, error) {
	results := make([]outcome, len(plays))
	errs := make([]error, len(plays))
	var wg sync.WaitGroup
	slots := make(chan struct{}, s.jobs)
	for i, p := range plays {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = s.play(p)
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func (s *setup) play(p play) (o outcome, err error) {
	report, err := os.CreateTemp("", "trial-*.json")
	if err != nil {
		return o, err
	}
	defer func() { err = errors.Join(err, os.Remove(report.Name())) }()
	if err := report.Close(); err != nil {
		return o, err
	}
	cmd := exec.Command(s.bench, "run", p.site, p.day, "--seed", p.seed, "--no-cpu", "--report", report.Name(), "--why", "Trial, "+p.tree.label+": "+s.why)
	cmd.Dir = p.tree.dir
	// A day with a broken rule ends with an error as well: the report tells which.
	out, played := cmd.CombinedOutput()
	data, err := os.ReadFile(report.Name())
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("%s, %s %s %s: %w: %w\n%s", p.tree.label, p.site, p.day, p.seed, err, played, out)
	}
	return o, nil
}

func (s *setup) keepRaw(plays []play, results []outcome) error {
	if s.raw == "" {
		return nil
	}
	f, err := os.OpenFile(s.raw, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	for i, p := range plays {
		o := results[i]
		_, err := fmt.Fprintf(f, "%s\t%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\n", p.tree.label, siteName(p.site), p.day, p.seed, o.Worth, o.Served, o.Refused, o.Failed, len(o.Breaks))
		if err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return f.Close()
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// collect copies the trees' journals into the one here, which keeps those of failed trials too.
func collect(trees []tree) error {
	for _, t := range trees {
		from := filepath.Join(t.dir, "journal")
		err := filepath.WalkDir(from, func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				return err
			}
			rel, err := filepath.Rel(from, path)
			if err != nil {
				return err
			}
			return copyNew(path, filepath.Join("journal", rel))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// copyNew copies a file unless there is one already.
func copyNew(from, to string) error {
	if _, err := os.Stat(to); err == nil {
		return nil
	}
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return errors.Join(os.MkdirAll(filepath.Dir(to), 0o755), os.WriteFile(to, data, 0o644))
}
