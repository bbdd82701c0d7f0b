package core

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCounts(t *testing.T) {
	cases := []struct {
		counts Counts
		text   string
		sum    int
	}{
		{Counts{}, "[]", 0},
		{Counts{3}, "[3]", 3},
		{Counts{0, 0, 2}, "[0,0,2]", 2},
		{Counts{1, 2, 3, 4}, "[1,2,3,4]", 10},
	}
	for _, one := range cases {
		data, err := json.Marshal(one.counts)
		assert.NilError(t, err)
		assert.Equal(t, string(data), one.text)
		var back Counts
		assert.NilError(t, json.Unmarshal(data, &back))
		assert.Equal(t, back, one.counts)
		assert.Equal(t, back.Sum(), one.sum)
	}
	assert.Equal(t, Counts{1, 2, 3, 4}.Ahead(Level(1)), 3)
	assert.Equal(t, Level(-1), 0)
	assert.Equal(t, Level(9), Levels-1)
	assert.Equal(t, Counts{1}.Plus(Counts{2, 1}), Counts{3, 1})
}
