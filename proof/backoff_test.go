package proof

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/runner"
	"primroseward/standin/service"
)

const (
	// backoffTime is the backoff that runners ask for, backoffText its value of Retry-After.
	backoffTime = 3 * time.Second
	backoffText = "3"
	// backoffSettleTime is how long after a rejection requests that were on their way may arrive.
	backoffSettleTime = 500 * time.Millisecond
	// maxInBackoff is how many requests of one daemon may arrive in a backoff.
	maxInBackoff = 2
)

// mostInBackoff returns the largest number of times within a backoff that began at one of them.
func mostInBackoff(times []time.Time) int {
	peak := 0
	for i, began := range times {
		n := 0
		for _, at := range times[i:] {
			if after := at.Sub(began); after > backoffSettleTime && after < backoffTime {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak
}

// TestBackedOffRunnerGetsNoRequests guards against sending to a runner that has rejected a
// request and asked for a backoff, and against refusing requests that other runners can serve:
// a runner that rejects at once has no requests in progress and looks idle.
func TestBackedOffRunnerGetsNoRequests(t *testing.T) {
	c := startFleet(t, 1)
	c.addRunners("i-app-3", "i-app-4")
	c.sendAtInterval(10*time.Millisecond, time.Second)
	backedOff := c.runners[2]
	backedOff.Reject(backoffText)
	began := time.Now()
	got := c.sendAtInterval(10*time.Millisecond, 2*backoffTime)
	var arrived []time.Time
	for _, at := range backedOff.ArrivalTimes() {
		if !at.Before(began) {
			arrived = append(arrived, at)
		}
	}
	most := mostInBackoff(arrived)
	t.Logf("%d arrivals, at most %d in a backoff where %d are allowed; answers: %v", len(arrived), most, maxInBackoff, got)
	assert.Assert(t, most <= maxInBackoff, "%d arrivals in a backoff", most)
	assert.Assert(t, float64(got[http.StatusOK]) >= 0.98*float64(total(got)), "answers: %v", got)
}

// TestBackedOffRunnersServeAgainAfterTheirBackoff guards against callers that wait for their refusal or
// are sent back before the backoff ends while all runners are backed off, and against a runner that is left
// out after its backoff.
func TestBackedOffRunnersServeAgainAfterTheirBackoff(t *testing.T) {
	const slowest = 500 * time.Millisecond
	c := startFleet(t, 2)
	for _, r := range c.runners[2:] {
		r.Reject(backoffText)
	}
	c.sendAtInterval(10*time.Millisecond, 300*time.Millisecond) // each daemon has been asked by each runner
	backedOff, firstBackoff := time.Now(), time.Now()
	for _, r := range c.runners[2:] {
		if arrived := r.ArrivalTimes(); len(arrived) > 0 && arrived[0].Before(firstBackoff) {
			firstBackoff = arrived[0]
		}
	}
	refused := 0
	for time.Since(backedOff) < backoffTime/2 {
		for _, d := range c.daemons {
			began := time.Now()
			resp := d.post(t, "/order/x")
			if resp.StatusCode != http.StatusServiceUnavailable {
				continue
			}
			refused++
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(began) < slowest, "refused after %v", time.Since(began))
			back := time.Now().Add(time.Duration(after * float64(time.Second)))
			assert.Assert(t, !back.Before(firstBackoff.Add(backoffTime)), "sent back %v after the beginning of the first backoff", back.Sub(firstBackoff))
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, refused > 0)
	for _, r := range c.runners[2:] {
		r.Accept()
	}
	time.Sleep(time.Until(backedOff.Add(backoffTime + backoffSettleTime)))
	back := time.Now()
	got := c.sendAtInterval(10*time.Millisecond, time.Second)
	assert.Assert(t, float64(got[http.StatusOK]) >= 0.98*float64(total(got)), "answers: %v", got)
	for _, r := range c.runners[2:] {
		n := countAfter(r.ArrivalTimes(), back)
		assert.Assert(t, n >= total(got)/4, "%s got %d of %d requests in the second after its backoff", r.ID, n, total(got))
	}
}

// total returns the number of answers.
func total[K comparable](answers map[K]int) int {
	n := 0
	for _, count := range answers {
		n += count
	}
	return n
}

// TestFailingRunnersDrawNoMoreThanTheirShare guards against a runner that fails at once, has
// therefore no requests in progress, looks idle and draws ever more requests.
func TestFailingRunnersDrawNoMoreThanTheirShare(t *testing.T) {
	const runners, duration = 4, 5 * time.Second
	for _, tt := range []struct {
		name, path string
		fail       func(r *runner.Server)
		served     float64 // least share of the requests, 0 if failures are passed on
	}{
		{"rejects", "/ask/x", func(r *runner.Server) { r.Reject() }, 0.98},
		{"rejects with an unreadable time", "/ask/x", func(r *runner.Server) { r.Reject("soon") }, 0.98},
		{"fails requests that are not repeatable", "/order/x", func(r *runner.Server) { r.FailNext(1 << 30) }, 0},
		{"fails repeatable requests", "/ask/x", func(r *runner.Server) { r.FailNext(1 << 30) }, 0.98},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := startFleet(t, 1)
			c.addRunners("i-app-3", "i-app-4")
			c.sendPathAtInterval(tt.path, 10*time.Millisecond, time.Second)
			failing := c.runners[2]
			tt.fail(failing)
			began := time.Now()
			got := c.sendPathAtInterval(tt.path, 10*time.Millisecond, duration)
			drawn := float64(countAfter(failing.ArrivalTimes(), began)) / float64(total(got))
			t.Logf("drew %.2f of the requests; answers: %v", drawn, got)
			assert.Assert(t, drawn <= 1.0/runners, "%.2f of the requests", drawn)
			assert.Assert(t, float64(got[http.StatusOK]) >= tt.served*float64(total(got)), "answers: %v", got)
		})
	}
}

// TestOwnerKeepsWhatAnEndpointAnnounces guards against an endpoint of the native interface that
// asks for a backoff, or announces that it is leaving, and still gets requests.
func TestOwnerKeepsWhatAnEndpointAnnounces(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults service.Faults
		most   int // requests that may arrive at the endpoint
	}{
		{"backoff", service.Faults{Backoff: backoffText}, 2 * maxInBackoff},
		{"leaving", service.Faults{Departing: true}, maxInBackoff},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := defaultSpec()
			s.plainEndpoints = []string{"p1", "p2"}
			c := startCluster(t, s)
			p1 := c.services["p1"]
			p1.SetFaults(tt.faults)
			got := c.sendAtInterval(http.MethodGet, "", 20*time.Millisecond, 2*backoffTime-backoffSettleTime)
			arrived := p1.ArrivalTimes()
			t.Logf("%d arrivals, at most %d in a backoff; answers: %v", len(arrived), mostInBackoff(arrived), got)
			assert.Assert(t, len(arrived) > 0 && len(arrived) <= tt.most, "%d arrivals", len(arrived))
			assert.Assert(t, float64(got["200"]) >= 0.98*float64(total(got)), "answers: %v", got)
		})
	}
}
