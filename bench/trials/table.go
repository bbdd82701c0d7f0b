package main

import (
	"fmt"
	"math"
	"strings"
)

// loadsPrice names the line of a report that counts loads from the weight store.
const loadsPrice = "loads of weights"

// row is what a tree's days on one site were worth.
type row struct {
	worth, diffs                   []float64
	served, refused, failed, loads float64
	byDay                          map[string][]float64
	broken                         []string
}

// rowOf takes the days of a tree on a site together. base is what the first tree's days
// were worth, by day and seed; the first tree fills it.
func rowOf(t tree, site string, plays []play, results []outcome, base map[string]float64, first bool) row {
	r := row{byDay: map[string][]float64{}}
	for i, p := range plays {
		if p.site != site || p.tree != t {
			continue
		}
		o, pair := results[i], p.day+" "+p.seed
		if first {
			base[pair] = o.Worth
		}
		r.worth = append(r.worth, o.Worth)
		r.diffs = append(r.diffs, o.Worth-base[pair])
		r.served += o.Served
		r.refused += o.Refused
		r.failed += o.Failed
		r.loads += o.priceOf(loadsPrice)
		r.byDay[p.day] = append(r.byDay[p.day], o.Worth)
		if len(o.Breaks) > 0 || o.Fault != nil {
			r.broken = append(r.broken, fmt.Sprintf("BROKEN %s: %v %v", pair, o.Breaks, o.Fault))
		}
	}
	return r
}

// report prints a site's table.
func (s *setup) report(site string, plays []play, results []outcome) {
	fmt.Printf("\n%s\n%-28s %7s %8s %7s %7s %7s %7s %8s  %s\n", siteName(site), "tree", "worth", "against", "error", "served", "refused", "failed", "loads", strings.Join(s.days, " "))
	base := map[string]float64{}
	for n, t := range s.trees {
		r := rowOf(t, site, plays, results, base, n == 0)
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

// priceOf is the quantity of a priced thing.
func (o *outcome) priceOf(name string) float64 {
	for _, p := range o.Prices {
		if len(p) > 1 && p[0] == name {
			v, _ := p[1].(float64)
			return v
		}
	}
	return 0
}

// meanError is the mean and its standard error, 0 for fewer than two values.
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
