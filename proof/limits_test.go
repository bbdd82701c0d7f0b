package proof

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/runner"
)

// limitSpan is the span over which arrivals at a limited runner are counted, limitSettle
// the time from its first naming a limit until the count begins.
const (
	limitSpan   = 4 * time.Second
	limitSettle = 3 * time.Second
)

// mostWithin is the most of some times that lie within a span, from a time on.
func mostWithin(times []time.Time, from time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// press has callers at random daemons send a request every pause, and returns the
// statuses that they got.
func (c *fleetCluster) press(pause, total time.Duration) map[int]int {
	c.t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := map[int]int{}
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for end := time.Now().Add(total); time.Now().Before(end); <-tick.C {
		d := c.daemons[rand.IntN(len(c.daemons))]
		wg.Go(func() {
			status, _, err := d.send("/ask/x", "", "")
			assert.Check(c.t, err)
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	wg.Wait()
	return got
}

// addRunners starts more plain runners.
func (c *fleetCluster) addRunners(ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		r := runner.New(runner.Spec{ID: id, Service: "app", Place: "north", Slots: 8, Gap: 5 * time.Millisecond}, c.put)
		c.t.Cleanup(r.Kill)
		c.runners = append(c.runners, r)
	}
}

// A runner names the requests a second that it takes, and each daemon goes on sending as
// if it were alone, or had not read it.
func TestDaemonsTogetherKeepARunnersLimit(t *testing.T) {
	const rate = 2.0
	c := startFleet(t, 6)
	c.addRunners("i-app-3", "i-app-4")
	limited := c.runners[2]
	limited.SetLimit("2")
	began := time.Now()
	got := c.press(10*time.Millisecond, limitSettle+2*limitSpan)
	arrived := limited.Arrived()
	most := mostWithin(arrived, began.Add(limitSettle), limitSpan)
	allowed := int(1.5*rate*limitSpan.Seconds() + 5)
	t.Logf("%d arrivals, at most %d in %v where %d are allowed; answers: %v", len(arrived), most, limitSpan, allowed, got)
	assert.Assert(t, most <= allowed, "%d arrivals in %v, allowed %d", most, limitSpan, allowed)
	assert.Equal(t, len(got), 1, "requests were not served while other runners had room: %v", got)
	assert.Assert(t, got[http.StatusOK] > 0)
}
