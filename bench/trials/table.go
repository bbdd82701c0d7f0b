package main

import (
	"fmt"
	"math"
	"strings"
)

// loadsLine is the name of the line of a report that counts loads from the weight store.
const loadsLine = "loads of weights"

// siteRow is the result of a tree's days on one site.
type siteRow struct {
	worth, diffs                   []float64
	served, refused, failed, loads float64
	byDay                          map[string][]float64
	broken                         []string
}

// newRow summarizes the days of a tree on a site. baseline is the worth of the first tree's
// days by day and seed. The call for the first tree fills it.
func newRow(t tree, site string, plays []dayRun, results []outcome, baseline map[string]float64, first bool) siteRow {
	r := siteRow{byDay: map[string][]float64{}}
	for i, p := range plays {
		if p.site != site || p.tree != t {
			continue
		}
		o, pair := results[i], p.day+" "+p.seed
		if first {
			baseline[pair] = o.Worth
		}
		r.worth = append(r.worth, o.Worth)
		r.diffs = append(r.diffs, o.Worth-baseline[pair])
		r.served += o.Served
		r.refused += o.Refused
		r.failed += o.Failed
		r.loads += o.quantityOf(loadsLine)
		r.byDay[p.day] = append(r.byDay[p.day], o.Worth)
		if len(o.BrokenRules) > 0 || o.Fault != nil {
			r.broken = append(r.broken, fmt.Sprintf("BROKEN %s: %v %v", pair, o.BrokenRules, o.Fault))
		}
	}
	return r
}

// report prints a site's table.
func (s *options) report(site string, plays []dayRun, results []outcome) {
	fmt.Printf("\n%s\n%-28s %7s %8s %7s %7s %7s %7s %8s  %s\n", siteName(site), "tree", "worth", "against", "error", "served", "refused", "failed", "loads", strings.Join(s.days, " "))
	baseline := map[string]float64{}
	for n, t := range s.trees {
		r := newRow(t, site, plays, results, baseline, n == 0)
		k := float64(len(r.worth))
		mean, _ := meanError(r.worth)
		diff, stderr := meanError(r.diffs)
		fmt.Printf("%-28s %7.3f %+8.3f %7.3f %7.3f %7.3f %7.3f %8.1f ", t.label, mean, diff, stderr, r.served/k, r.refused/k, r.failed/k, r.loads/k)
		for _, day := range s.days {
			mean, _ := meanError(r.byDay[day])
			fmt.Printf(" %.3f", mean)
		}
		fmt.Println(strings.Join(append([]string{""}, r.broken...), " "))
	}
}

// quantityOf returns the quantity in the report's price line of that name, 0 without one.
func (o *outcome) quantityOf(name string) float64 {
	for _, p := range o.Prices {
		if len(p) > 1 && p[0] == name {
			v, _ := p[1].(float64)
			return v
		}
	}
	return 0
}

// meanError returns the mean and its standard error, which is 0 for fewer than two values.
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
