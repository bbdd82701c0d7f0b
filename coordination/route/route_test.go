package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/state/directory"
)

func candidate(id, place string, wait time.Duration, running int) Candidate {
	return Candidate{Report: directory.Report{Runner: id, Place: place, Wait: wait, Slots: 4, Running: running}}
}

func TestChoose(t *testing.T) {
	failed := candidate("r1", "a", 0, 0)
	failed.Penalty = time.Second
	sent := candidate("r1", "a", 0, 0)
	sent.Sent = 40
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"least wait", []Candidate{candidate("r1", "a", time.Second, 4), candidate("r2", "a", 0, 0)}, 1},
		{"own place", []Candidate{candidate("r1", "b", 0, 0), candidate("r2", "a", 0, 0)}, 1},
		{"other place when busy here", []Candidate{candidate("r1", "a", time.Second, 4), candidate("r2", "b", 0, 0)}, 1},
		{"failed lately", []Candidate{failed, candidate("r2", "b", 0, 0)}, 1},
		{"sent to since the report", []Candidate{sent, candidate("r2", "a", 0, 0)}, 1},
	}
	for _, one := range cases {
		got := Ask{Place: "a"}.Choose(one.candidates)
		assert.Equal(t, got, one.want, one.name)
	}
}

func TestPrefixStaysUntilItsRunnerIsBusy(t *testing.T) {
	prefix := make([]byte, 16<<10)
	idle := []Candidate{candidate("r1", "a", 0, 0), candidate("r2", "a", 0, 0), candidate("r3", "a", 0, 0)}
	ask := Ask{Place: "a", Prefix: prefix}
	home := ask.Choose(idle)
	for range 20 {
		assert.Equal(t, ask.Choose(idle), home)
	}
	idle[home].Wait = 500 * time.Millisecond
	assert.Assert(t, ask.Choose(idle) != home)
}

func TestTiesAreSpread(t *testing.T) {
	idle := []Candidate{candidate("r1", "a", 0, 0), candidate("r2", "a", 0, 0)}
	seen := map[int]int{}
	for range 200 {
		seen[Ask{Place: "a"}.Choose(idle)]++
	}
	assert.Equal(t, len(seen), 2)
}

// Failing requests would double the load on what is left of a system.
func TestRetriesAreAShareOfTraffic(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 1000 {
		b.First()
		for b.Retry() {
			retries++
		}
	}
	assert.Assert(t, retries <= retryBurst+100, "%d retries", retries)
	assert.Assert(t, retries >= 100)
}

func TestFailedRunnerIsProbedBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := NewHealth(clock)
	h.Failed("r")
	h.Failed("r")
	assert.Equal(t, h.Penalty("r"), 2*penaltyStep)
	clock.Advance(penaltyHalf)
	assert.Equal(t, h.Penalty("r"), penaltyStep)
	h.Worked("r")
	assert.Equal(t, h.Penalty("r"), time.Duration(0))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{2, 16, 100} {
		var candidates []Candidate
		for i := range n {
			candidates = append(candidates, candidate(fmt.Sprint("r", i), "a", time.Duration(i)*time.Millisecond, i%5))
		}
		ask := Ask{Place: "a", Prefix: make([]byte, 4096)}
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ask.Choose(candidates)
			}
		})
	}
}
