package proof

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainTime is how long after its first answer that announces it a leaving runner may still
// get requests.
const drainTime = 2 * time.Second

// countAfter returns the number of times at or after from.
func countAfter(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// TestLeavingRunnerGetsNoRequestsWhileItsEntryIsReady guards against sending to a runner that
// announces in its answers that it is leaving, while the store still lists it as ready.
func TestLeavingRunnerGetsNoRequestsWhileItsEntryIsReady(t *testing.T) {
	c := startFleet(t, 6)
	c.addRunners("i-app-3", "i-app-4")
	c.sendAtInterval(10*time.Millisecond, time.Second)
	leaving := c.runners[2]
	leaving.SetLeaving("1")
	began := time.Now()
	got := c.sendAtInterval(10*time.Millisecond, 3*drainTime)
	late := countAfter(leaving.ArrivalTimes(), began.Add(drainTime))
	t.Logf("%d arrivals since the announcement, %d later than %v; answers: %v", countAfter(leaving.ArrivalTimes(), began), late, drainTime, got)
	assert.Equal(t, late, 0)
	assert.Equal(t, len(got), 1, "requests were not served while other runners had free slots: %v", got)
	assert.Assert(t, got[http.StatusOK] > 0)
}
