package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/state/directory"
)

func candidate(id, dataCentre string, wait time.Duration, running int) Candidate {
	return Candidate{Report: directory.Report{Runner: id, DataCentre: dataCentre, Wait: wait, Slots: 4, Running: running}}
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
		{"no candidates", nil, -1},
		{"shortest wait", []Candidate{candidate("r1", "a", time.Second, 4), candidate("r2", "a", 0, 0)}, 1},
		{"own data centre", []Candidate{candidate("r1", "b", 0, 0), candidate("r2", "a", 0, 0)}, 1},
		{"other data centre when the own one is busy", []Candidate{candidate("r1", "a", time.Second, 4), candidate("r2", "b", 0, 0)}, 1},
		{"recent failure", []Candidate{failed, candidate("r2", "b", 0, 0)}, 1},
		{"requests sent since the report", []Candidate{sent, candidate("r2", "a", 0, 0)}, 1},
	}
	for _, tt := range cases {
		got := Requirements{DataCentre: "a"}.Choose(tt.candidates)
		assert.Equal(t, got, tt.want, tt.name)
	}
}

func TestPrefixKeepsRunnerUntilBusy(t *testing.T) {
	prefix := make([]byte, 16<<10)
	idle := []Candidate{candidate("r1", "a", 0, 0), candidate("r2", "a", 0, 0), candidate("r3", "a", 0, 0)}
	requirements := Requirements{DataCentre: "a", Prefix: prefix}
	cached := requirements.Choose(idle)
	for range 20 {
		assert.Equal(t, requirements.Choose(idle), cached)
	}
	idle[cached].Wait = 500 * time.Millisecond
	assert.Assert(t, requirements.Choose(idle) != cached)
}

func TestTiesAreBrokenAtRandom(t *testing.T) {
	idle := []Candidate{candidate("r1", "a", 0, 0), candidate("r2", "a", 0, 0)}
	seen := map[int]int{}
	for range 200 {
		seen[Requirements{DataCentre: "a"}.Choose(idle)]++
	}
	assert.Equal(t, len(seen), 2)
}

// Guards against retries that double the load on the rest of a system in which requests
// fail.
func TestRetriesAreBoundedByBudget(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.CountFirst()
		for b.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= retryBurst+100, "%d retries", retries)
	assert.Assert(t, retries >= 100)
}

func TestPenaltyHalvesAndClears(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := NewHealth(clock)
	h.RecordFailure("r")
	h.RecordFailure("r")
	assert.Equal(t, h.Penalty("r"), 2*penaltyStep)
	clock.Advance(penaltyHalfLife)
	assert.Equal(t, h.Penalty("r"), penaltyStep)
	h.RecordSuccess("r")
	assert.Equal(t, h.Penalty("r"), time.Duration(0))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{2, 16, 100} {
		var candidates []Candidate
		for i := range n {
			candidates = append(candidates, candidate(fmt.Sprint("r", i), "a", time.Duration(i)*time.Millisecond, i%5))
		}
		requirements := Requirements{DataCentre: "a", Prefix: make([]byte, 4096)}
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				requirements.Choose(candidates)
			}
		})
	}
}
