package proof

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// restTime is the rest that runners ask for, restText its value of Retry-After.
	restTime = 3 * time.Second
	restText = "3"
	// restSettleTime is how long after a rejection requests that were on their way may arrive.
	restSettleTime = 500 * time.Millisecond
	// maxInRest is how many requests of one daemon may arrive in a rest.
	maxInRest = 2
)

// mostInRest returns the largest number of times within a rest that began at one of them.
func mostInRest(times []time.Time) int {
	peak := 0
	for i, began := range times {
		n := 0
		for _, at := range times[i:] {
			if after := at.Sub(began); after > restSettleTime && after < restTime {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak
}

// TestRestingRunnerGetsNoRequests guards against sending to a runner that has rejected a
// request and asked for a rest, and against refusing requests that other runners can serve:
// a runner that rejects at once has no requests in progress and looks idle.
func TestRestingRunnerGetsNoRequests(t *testing.T) {
	c := startFleet(t, 1)
	c.addRunners("i-app-3", "i-app-4")
	c.sendAtInterval(10*time.Millisecond, time.Second)
	resting := c.runners[2]
	resting.Reject(restText)
	began := time.Now()
	got := c.sendAtInterval(10*time.Millisecond, 2*restTime)
	var arrived []time.Time
	for _, at := range resting.ArrivalTimes() {
		if !at.Before(began) {
			arrived = append(arrived, at)
		}
	}
	most := mostInRest(arrived)
	t.Logf("%d arrivals, at most %d in a rest where %d are allowed; answers: %v", len(arrived), most, maxInRest, got)
	assert.Assert(t, most <= maxInRest, "%d arrivals in a rest", most)
	assert.Assert(t, float64(got[http.StatusOK]) >= 0.98*float64(total(got)), "answers: %v", got)
}

// total returns the number of answers.
func total(byStatus map[int]int) int {
	n := 0
	for _, count := range byStatus {
		n += count
	}
	return n
}
