package policy

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestChoose(t *testing.T) {
	near := Candidate{ID: "near", Slots: 8, SamePlace: true}
	far := Candidate{ID: "far", Slots: 8}
	busy := func(c Candidate, n int) Candidate {
		c.Requests = n
		return c
	}
	failed, leaves, down := near, near, near
	down.Down = true
	failed.Penalty = 1
	leaves.Leaving = true
	cases := []struct {
		name string
		from []Candidate
		want int
	}{
		{"none", nil, -1},
		{"own place", []Candidate{far, near}, 1},
		{"other place when clearly less busy", []Candidate{busy(near, 6), far}, 1},
		{"own place when hardly busier", []Candidate{busy(near, 1), far}, 0},
		{"failed lately", []Candidate{failed, far}, 1},
		{"its process has ended", []Candidate{down, busy(far, 9)}, 1},
		{"has ended, and nobody else has the model", []Candidate{down}, 0},
		{"has ended, and the other one is full", []Candidate{down, busy(far, 12)}, -1},
		{"is taken away", []Candidate{leaves, far}, 1},
		{"all are full", []Candidate{busy(near, 10), busy(far, 12)}, -1},
		{"the one that is not full", []Candidate{busy(near, 10), busy(far, 9)}, 1},
	}
	for _, one := range cases {
		assert.Equal(t, Choose(one.from, Ask{Engine: true, Queue: 0.25}), one.want, one.name)
	}
}

// All entries that start with the same view send their first requests to the
// same runner, which then is the slowest.
func TestEqualRunnersAreDrawn(t *testing.T) {
	seen := map[int]int{}
	for range 300 {
		seen[Choose(make([]Candidate, 3), Ask{})]++
	}
	assert.Equal(t, len(seen), 3)
}

// Half of a service fails, and the repeats of all its requests double the load
// of the other half, which fails as well.
func TestRepeatsAreAShareOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		const ratio, slack = 0.2, 5.0
		b := NewBudget(clock, 10*time.Second, func() float64 { return ratio }, func() float64 { return slack })
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.First("s")
				events = append(events, event{clock.Now(), false})
			} else if b.Repeat("s") {
				events = append(events, event{clock.Now(), true})
			}
		}
		// Requests count in the window or in the one before it.
		for _, end := range events {
			first, repeat := 0, 0
			for _, e := range events {
				age := end.at.Sub(e.at)
				if age < 0 || age >= 20*time.Second {
					continue
				}
				if !e.repeat {
					first++
				} else if age < 9*time.Second {
					repeat++
				}
			}
			assert.Assert(t, float64(repeat) <= ratio*float64(first)+slack, "%d repeats of %d requests", repeat, first)
		}
	})
}

func TestRetryAfterIsBounded(t *testing.T) {
	assert.Equal(t, RetryAfter(0, false), minRetry)
	assert.Equal(t, RetryAfter(time.Second, false), 500*time.Millisecond)
	assert.Equal(t, RetryAfter(time.Hour, false), maxRetry)
	for _, one := range []struct{ target, want time.Duration }{
		{0, minEngineRetry}, {400 * time.Millisecond, 1600 * time.Millisecond}, {time.Hour, maxEngineRetry},
	} {
		for range 100 {
			got := RetryAfter(one.target, true)
			assert.Assert(t, got <= one.want && float64(got) >= (1-retrySpread)*float64(one.want), "%v of %v", got, one.want)
		}
	}
}

// All callers of a busy model are late: its runners have a quarter more requests than
// slots for as long as more is asked of it than its copies can do, and those in line wait
// longer than their targets. Each route's requests may be in a line that leaves them in
// time; those that may stand behind stand behind.
func TestRoomByTarget(t *testing.T) {
	const length = 3 * time.Second
	cases := []struct {
		name     string
		target   time.Duration
		requests int // at a runner of 32 slots
		room     bool
	}{
		{"a live request finds a slot", 400 * time.Millisecond, 31, true},
		{"is fourth in line", 400 * time.Millisecond, 35, true},
		{"would be late", 400 * time.Millisecond, 36, false},
		{"a patient one stands behind", 4 * time.Second, 40, true},
		{"but not until its caller has gone", 4 * time.Second, 48, false},
	}
	for _, one := range cases {
		c := Candidate{Slots: 32, Requests: one.requests}
		a := Ask{Engine: true, Queue: Queue(one.target, length)}
		assert.Equal(t, !c.Full(a), one.room, one.name)
	}
	assert.Equal(t, Queue(time.Second, 0), maxQueue, "before any stream has ended")
	assert.Assert(t, Queue(time.Second, 8*time.Second) < Queue(time.Second, 4*time.Second), "a slower runner has a shorter line")
}

func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 100)
	for i := range candidates {
		candidates[i] = Candidate{Slots: 64, Requests: i % 70, SamePlace: i%3 == 0}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(candidates, Ask{Engine: true, Queue: 0.25})
	}
}
