package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a change that seems better only because its days were easier: differences
// are taken between the same day and seed only.
func TestRowsComparePairs(t *testing.T) {
	before, after := tree{"before", "a"}, tree{"after", "b"}
	plays := []dayRun{
		{before, "s", "d1", "1"},
		{after, "s", "d1", "1"},
		{before, "s", "d1", "2"},
		{after, "s", "d1", "2"},
		{before, "other", "d1", "1"},
		{after, "other", "d1", "1"},
	}
	results := []outcome{
		{Worth: 0.2},
		{Worth: 0.3, Prices: [][]any{{loadsLine, 4.0, 0.1}}},
		{Worth: 0.8},
		{Worth: 0.7, BrokenRules: map[string]any{"LOST": 1}},
		{Worth: 0},
		{Worth: 1},
	}
	baseline := map[string]float64{}
	first := newRow(before, "s", plays, results, baseline, true)
	assert.DeepEqual(t, first.diffs, []float64{0, 0})
	second := newRow(after, "s", plays, results, baseline, false)
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
	for _, tt := range cases {
		mean, stderr := meanError(tt.list)
		assert.Assert(t, math.Abs(mean-tt.mean) < 1e-9 && math.Abs(stderr-tt.stderr) < 1e-9, "%v: %v %v", tt.list, mean, stderr)
	}
}
