package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wire "primroseward/platform"
	"primroseward/standin/platform"
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

// TestLeavingIsSharedWithoutTheStore guards against daemons that learn that a runner is leaving
// only from the store, which is away, or only from their own requests: callers are at one
// daemon of each data centre first, and at all daemons after drainTime.
func TestLeavingIsSharedWithoutTheStore(t *testing.T) {
	c := startFleet(t, 20)
	c.addRunners("i-app-3", "i-app-4")
	c.sendAtInterval(10*time.Millisecond, time.Second)
	c.store.SetFaults(platform.Faults{Down: true})
	leaving := c.runners[2:4]
	for _, r := range leaving {
		r.SetLeaving("1")
	}
	began := time.Now()
	for i := 0; time.Since(began) < drainTime; i++ {
		status, _, err := c.daemons[i%2].send("/ask/x", "", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	from := time.Now()
	got := c.sendAtInterval(10*time.Millisecond, drainTime)
	c.store.SetFaults(platform.Faults{})
	for _, r := range leaving {
		assert.Equal(t, countAfter(r.ArrivalTimes(), from), 0, r.ID)
	}
	assert.Equal(t, len(got), 1, "requests were not served while other runners had free slots: %v", got)
}

// TestStartedDaemonKnowsLeavingRunners guards against a daemon that has just started and sends to a runner
// whose announcement was broadcast before, while the store still lists it as ready.
func TestStartedDaemonKnowsLeavingRunners(t *testing.T) {
	c := startFleet(t, 3)
	c.addRunners("i-app-3", "i-app-4")
	leaving := c.runners[2]
	leaving.SetLeaving("1")
	c.sendAtInterval(10*time.Millisecond, drainTime)
	for i := range 3 {
		from := time.Now()
		c.startDaemon(fmt.Sprint("vm-new-", i), "north")
		d := c.daemons[len(c.daemons)-1]
		c.awaitReadyStatus(d, http.StatusOK)
		for range 40 {
			status, _, err := d.send("/ask/x", "", "")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
		assert.Equal(t, countAfter(leaving.ArrivalTimes(), from), 0, d.name)
	}
}

// TestStreamsEndAtALeavingRunner guards against cutting or moving streams that run at a runner
// when it announces that it is leaving.
func TestStreamsEndAtALeavingRunner(t *testing.T) {
	c := startFleet(t, 2)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			status, body, err := c.daemons[0].send("/gen/x", "", "m1")
			assert.Check(t, err)
			assert.Check(t, status == http.StatusOK && strings.Contains(body, "piece 20"), "%d %s", status, body)
		})
	}
	time.Sleep(100 * time.Millisecond)
	gen := c.runners[0]
	gen.SetLeaving("1")
	wg.Wait()
	runs := len(gen.Runs()) + len(c.runners[1].Runs())
	assert.Equal(t, runs, 10, "streams were moved")
}

// TestAnnouncementsAreShownToOperators guards against announcements that operators cannot see:
// they could not find out why a runner gets no requests.
func TestAnnouncementsAreShownToOperators(t *testing.T) {
	c := startFleet(t, 1)
	c.runners[2].SetLeaving("1")
	c.runners[3].Reject("30")
	c.sendAtInterval(5*time.Millisecond, time.Second)
	out, code := c.primrosectl(c.daemons[0], "", "runners")
	assert.Equal(t, code, 0, out)
	for _, want := range []string{"leaving, heard by this daemon", "backed off, "} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing in\n%s", want, out)
	}
}

// TestAnnouncementsArePassedOn guards against answers that reach callers without the runner's
// announcement.
func TestAnnouncementsArePassedOn(t *testing.T) {
	c := startFleet(t, 1)
	for _, r := range c.runners[2:] {
		r.SetLeaving("1")
	}
	resp := c.daemons[0].post(t, "/ask/x")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get(wire.HeaderLeaving), "1")
}
