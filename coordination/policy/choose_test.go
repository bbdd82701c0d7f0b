package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	near := Candidate{ID: "near", Slots: 8, SameDataCentre: true}
	far := Candidate{ID: "far", Slots: 8}
	busy := func(c Candidate, n int) Candidate {
		c.Requests = n
		return c
	}
	failed, leaving, down := near, near, near
	down.Down = true
	failed.Penalty = 1
	leaving.Leaving = true
	cases := []struct {
		name string
		from []Candidate
		want int
	}{
		{"none", nil, -1},
		{"own data centre", []Candidate{far, near}, 1},
		{"other data centre if clearly less busy", []Candidate{busy(near, 6), far}, 1},
		{"own data centre if hardly busier", []Candidate{busy(near, 1), far}, 0},
		{"failed recently", []Candidate{failed, far}, 1},
		{"its process has exited", []Candidate{down, busy(far, 9)}, 1},
		{"has exited, and no other runner has the model", []Candidate{down}, 0},
		{"has exited, and the other one is full", []Candidate{down, busy(far, 12)}, -1},
		{"is leaving", []Candidate{leaving, far}, 1},
		{"all are full", []Candidate{busy(near, 10), busy(far, 12)}, -1},
		{"the one that is not full", []Candidate{busy(near, 10), busy(far, 9)}, 1},
	}
	for _, one := range cases {
		assert.Equal(t, Choose(one.from, Requirements{Engine: true, QueueLimit: 0.25}), one.want, one.name)
	}
}

// Daemons that start with the same data must not all send their first requests to the same
// runner, which would become the slowest.
func TestTiesAreBrokenAtRandom(t *testing.T) {
	seen := map[int]int{}
	for range 300 {
		seen[Choose(make([]Candidate, 3), Requirements{})]++
	}
	assert.Equal(t, len(seen), 3)
}

func TestRetryAfterIsBounded(t *testing.T) {
	assert.Equal(t, RetryAfter(0, false), minRetryAfter)
	assert.Equal(t, RetryAfter(time.Second, false), 500*time.Millisecond)
	assert.Equal(t, RetryAfter(time.Hour, false), maxRetryAfter)
	for _, one := range []struct{ target, want time.Duration }{
		{0, minEngineRetryAfter}, {400 * time.Millisecond, 1600 * time.Millisecond}, {time.Hour, maxEngineRetryAfter},
	} {
		for range 100 {
			got := RetryAfter(one.target, true)
			assert.Assert(t, got <= one.want && float64(got) >= (1-retryJitter)*float64(one.want), "%v of %v", got, one.want)
		}
	}
}

// While the demand for a model exceeds the capacity of its replicas, its runners must not
// fill up to a quarter more requests than slots: every queued request would then wait longer
// than its target latency. The queue limit of each route must let its requests meet their
// target; routes with a long target may queue behind others.
func TestQueueLimitByTarget(t *testing.T) {
	const length = 3 * time.Second
	cases := []struct {
		name        string
		target      time.Duration
		requests    int // at a runner of 32 slots
		hasCapacity bool
	}{
		{"short target, a slot is free", 400 * time.Millisecond, 31, true},
		{"short target, fourth in the queue", 400 * time.Millisecond, 35, true},
		{"short target, would be late", 400 * time.Millisecond, 36, false},
		{"long target, queued", 4 * time.Second, 40, true},
		{"long target, queue so long that callers give up", 4 * time.Second, 48, false},
	}
	for _, one := range cases {
		c := Candidate{Slots: 32, Requests: one.requests}
		req := Requirements{Engine: true, QueueLimit: QueueLimit(one.target, length)}
		assert.Equal(t, !c.Full(req), one.hasCapacity, one.name)
	}
	assert.Equal(t, QueueLimit(time.Second, 0), maxQueue, "before any stream has ended")
	assert.Assert(t, QueueLimit(time.Second, 8*time.Second) < QueueLimit(time.Second, 4*time.Second), "a slower runner has a shorter queue")
}

func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 100)
	for i := range candidates {
		candidates[i] = Candidate{Slots: 64, Requests: i % 70, SameDataCentre: i%3 == 0}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(candidates, Requirements{Engine: true, QueueLimit: 0.25})
	}
}

// Guards against sending to runners that are backed off, and against refusing because of a backoff while a
// runner that accepts requests is only full or at its limit.
func TestBackedOffCandidates(t *testing.T) {
	free, backedOff := Candidate{ID: "free", Slots: 4}, Candidate{ID: "backedOff", Slots: 4, BackedOff: true}
	full, down := Candidate{ID: "full", Slots: 1, Requests: 100}, Candidate{ID: "down", Slots: 4, Down: true}
	for _, tt := range []struct {
		name       string
		candidates []Candidate
		chosen     int
		only       bool
	}{
		{"one accepts", []Candidate{backedOff, free}, 1, false},
		{"all are backed off", []Candidate{backedOff, backedOff}, -1, true},
		{"the other is full", []Candidate{backedOff, full}, -1, false},
		{"the other is down", []Candidate{backedOff, down}, -1, true},
		{"none", nil, -1, false},
	} {
		assert.Equal(t, Choose(tt.candidates, Requirements{}), tt.chosen, tt.name)
		assert.Equal(t, OnlyBackedOff(tt.candidates), tt.only, tt.name)
	}
	limited := backedOff
	limited.Limited = true
	assert.Equal(t, len(RankLimited([]Candidate{limited}, Requirements{})), 0)
}

// Guards against callers that return before a backoff is over, all at once, or less urgent ones
// before more urgent ones.
func TestRetryAfterBackoff(t *testing.T) {
	for rank := range maxBackoffRank {
		for range 100 {
			got := RetryAfterBackoff(time.Second, rank)
			assert.Assert(t, got >= time.Second+backoffMargin+time.Duration(rank)*backoffSpread && got < time.Second+backoffMargin+time.Duration(rank+1)*backoffSpread, "%v", got)
		}
	}
}
