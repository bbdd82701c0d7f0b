// Command trials runs the same days with several trees of the code and compares each with the
// first: it prints the mean worth of a day, the mean difference over pairs of the same day
// and seed, and its standard error.
//
//	go run ./bench/trials --play BENCH --sites A.toml,B.toml --days scale-1,trouble-1 \
//	    --seeds 1,2,3,4 --why "..." --trees before=.,after=/tmp/tree
//
// Runs of unchanged code give the same result. Any change of the code also changes the random
// draws, which moves the worth of a day by 0.03 to 0.05. Only pairs of many days show the effect
// of a change apart from that.
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

// dayRun is one day to be run with one tree and seed.
type dayRun struct {
	tree            tree
	site, day, seed string
}

// outcome is the report of a day. Worth is the score of the day.
type outcome struct {
	Worth       float64        `json:"G"`
	Served      float64        `json:"served"`
	Refused     float64        `json:"refused"`
	Failed      float64        `json:"failed"`
	Fault       any            `json:"fault"`
	BrokenRules map[string]any `json:"breaks"`
	Prices      [][]any        `json:"prices"`
}

// options are the settings of a trial.
type options struct {
	bench, reason, rawFile string
	sites, days, seeds     []string
	jobs                   int
	trees                  []tree
}

func main() {
	s := options{jobs: 7}
	sites, days, seeds, trees := "", "scale-1,scale-2,trouble-1", "1,2,3,4", ""
	flaggy.SetName("trials")
	flaggy.SetDescription("runs the same days with several trees of the code and compares what they are worth")
	flaggy.SetVersion(core.Version)
	flaggy.String(&s.bench, "p", "play", "program that runs a day")
	flaggy.String(&sites, "s", "sites", "site files, joined by commas")
	flaggy.String(&days, "d", "days", "days, joined by commas")
	flaggy.String(&seeds, "n", "seeds", "seeds, joined by commas")
	flaggy.String(&trees, "t", "trees", "LABEL=DIR, joined by commas; the others are compared with the first")
	flaggy.String(&s.reason, "w", "why", "purpose of the trial")
	flaggy.Int(&s.jobs, "j", "jobs", "days run at the same time")
	flaggy.String(&s.rawFile, "r", "raw", "file that each day's figures are appended to")
	flaggy.Parse()
	s.sites, s.days, s.seeds = strings.Split(sites, ","), strings.Split(days, ","), strings.Split(seeds, ",")
	if err := s.run(strings.Split(trees, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "trials:", err)
		os.Exit(1)
	}
}

func (s *options) run(trees []string) error {
	if s.bench == "" || s.reason == "" {
		return errors.New("--play and --why are required")
	}
	if err := s.build(trees); err != nil {
		return err
	}
	plays := s.dayRuns()
	results, err := s.runAll(plays)
	if err != nil {
		return err
	}
	if err := s.appendRaw(plays, results); err != nil {
		return err
	}
	for _, site := range s.sites {
		s.report(site, plays, results)
	}
	return copyJournals(s.trees)
}

// build builds all trees before any day is run, as the runs of one tree share the build.
func (s *options) build(trees []string) error {
	for _, t := range trees {
		label, dir, ok := strings.Cut(t, "=")
		if !ok {
			return fmt.Errorf("--trees: %q is not LABEL=DIR", t)
		}
		cmd := exec.Command(s.bench, "build")
		cmd.Dir = dir
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("building %s: %w\n%s", label, err, out)
		}
		s.trees = append(s.trees, tree{label, dir})
	}
	return nil
}

// dayRuns returns the runs of all sites, days, seeds and trees.
func (s *options) dayRuns() []dayRun {
	var out []dayRun
	for _, site := range s.sites {
		for _, day := range s.days {
			for _, seed := range s.seeds {
				for _, t := range s.trees {
					out = append(out, dayRun{t, site, day, seed})
				}
			}
		}
	}
	return out
}

// runAll runs the days, at most s.jobs at the same time.
func (s *options) runAll(plays []dayRun) ([]outcome, error) {
	results := make([]outcome, len(plays))
	errs := make([]error, len(plays))
	var wg sync.WaitGroup
	slots := make(chan struct{}, s.jobs)
	for i, p := range plays {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = s.runDay(p)
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

// runDay runs one day with the bench program and reads its report.
func (s *options) runDay(p dayRun) (o outcome, err error) {
	report, err := os.CreateTemp("", "trial-*.json")
	if err != nil {
		return o, err
	}
	defer func() { err = errors.Join(err, os.Remove(report.Name())) }()
	if err := report.Close(); err != nil {
		return o, err
	}
	cmd := exec.Command(s.bench, "run", p.site, p.day, "--seed", p.seed, "--no-cpu", "--report", report.Name(), "--why", "Trial, "+p.tree.label+": "+s.reason)
	cmd.Dir = p.tree.dir
	// The bench program also exits with an error after a day with a broken rule. Only the
	// report distinguishes the two cases.
	out, runErr := cmd.CombinedOutput()
	data, err := os.ReadFile(report.Name())
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("%s, %s %s %s: %w: %w\n%s", p.tree.label, p.site, p.day, p.seed, err, runErr, out)
	}
	return o, nil
}

// appendRaw appends the figures of each day to the raw file, if there is one.
func (s *options) appendRaw(plays []dayRun, results []outcome) error {
	if s.rawFile == "" {
		return nil
	}
	f, err := os.OpenFile(s.rawFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	for i, p := range plays {
		o := results[i]
		_, err := fmt.Fprintf(f, "%s\t%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\n", p.tree.label, siteName(p.site), p.day, p.seed, o.Worth, o.Served, o.Refused, o.Failed, len(o.BrokenRules))
		if err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return f.Close()
}

// siteName returns the name of a site file without folder and extension.
func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// copyJournals copies the trees' journals into the journal of the current directory, those of
// failed trials too.
func copyJournals(trees []tree) error {
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
			return copyIfMissing(path, filepath.Join("journal", rel))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// copyIfMissing copies a file unless the target exists.
func copyIfMissing(from, to string) error {
	if _, err := os.Stat(to); err == nil {
		return nil
	}
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return errors.Join(os.MkdirAll(filepath.Dir(to), 0o755), os.WriteFile(to, data, 0o644))
}
