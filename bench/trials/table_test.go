package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// A change looks better because its days were better ones: differences are taken between
// the same day and seed only.
func TestRowsComparePairs(t *testing.T) {
	before, after := tree{"before", "a"}, tree{"after", "b"}
	plays := []play{
		{before, "s", "d1", "1"},
		{after, "s", "d1", "1"},
		{before, "s", "d1", "2"},
		{after, "s", "d1", "2"},
		{before, "other", "d1", "1"},
		{after, "other", "d1", "1"},
	}
	results := []outcome{
		{Worth: 0.2},
		{Worth: 0.3, Prices: [][]any{{loadsPrice, 4.0, 0.1}}},
		{Worth: 0.8},
		{Worth: 0.7, Breaks: map[string]any{"LOST": 1}},
		{Worth: 0},
		{Worth: 1},
	}
	base := map[string]float64{}
	first := rowOf(before, "s", plays, results, base, true)
	assert.DeepEqual(t, first.diffs, []float64{0, 0})
	second := rowOf(after, "s", plays, results, base, false)
	mean, stderr := meanError(second.diffs)
	assert.Assert(t, math.Abs(mean) < 1e-9 && math.Abs(stderr-0.1) < 1e-9, "%v %v", mean, stderr)
	assert.Equal(t, second.loads, 4.0)
	assert.Equal(t, len(second.broken), 1)
}

func TestMeanError(t *testing.T) {
	cases := []struct {
		list         []float64
		mean, stderr float64
	}{
		{[]float64{3}, 3, 0},
		{[]float64{1, 3}, 2, 1},
		{[]float64{2, 2, 2}, 2, 0},
	}
	for _, one := range cases {
		mean, stderr := meanError(one.list)
		assert.Assert(t, math.Abs(mean-one.mean) < 1e-9 && math.Abs(stderr-one.stderr) < 1e-9, "%v: %v %v", one.list, mean, stderr)
	}
}
