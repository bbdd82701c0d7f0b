package proof

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/runner"
	"primroseward/standin/service"
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

// TestRestingRunnersServeAgainAfterTheirRest guards against callers that wait for their refusal or
// are sent back before the rest ends while all runners rest, and against a runner that is left
// out after its rest.
func TestRestingRunnersServeAgainAfterTheirRest(t *testing.T) {
	const slowest = 500 * time.Millisecond
	c := startFleet(t, 2)
	for _, r := range c.runners[2:] {
		r.Reject(restText)
	}
	c.sendAtInterval(10*time.Millisecond, 300*time.Millisecond) // each daemon has been asked by each runner
	resting, firstRest := time.Now(), time.Now()
	for _, r := range c.runners[2:] {
		if arrived := r.ArrivalTimes(); len(arrived) > 0 && arrived[0].Before(firstRest) {
			firstRest = arrived[0]
		}
	}
	refused := 0
	for time.Since(resting) < restTime/2 {
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
			assert.Assert(t, !back.Before(firstRest.Add(restTime)), "sent back %v after the beginning of the first rest", back.Sub(firstRest))
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, refused > 0)
	for _, r := range c.runners[2:] {
		r.Accept()
	}
	time.Sleep(time.Until(resting.Add(restTime + restSettleTime)))
	back := time.Now()
	got := c.sendAtInterval(10*time.Millisecond, time.Second)
	assert.Assert(t, float64(got[http.StatusOK]) >= 0.98*float64(total(got)), "answers: %v", got)
	for _, r := range c.runners[2:] {
		n := countAfter(r.ArrivalTimes(), back)
		assert.Assert(t, n >= total(got)/4, "%s got %d of %d requests in the second after its rest", r.ID, n, total(got))
	}
}

// total returns the number of answers.
func total(byStatus map[int]int) int {
	n := 0
	for _, count := range byStatus {
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
// asks for a rest, or announces that it is leaving, and still gets requests.
func TestOwnerKeepsWhatAnEndpointAnnounces(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults service.Faults
		most   int // requests that may arrive at the endpoint
	}{
		{"rest", service.Faults{Rest: restText}, 2 * maxInRest},
		{"leaving", service.Faults{Departing: true}, maxInRest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := defaultSpec()
			s.plainEndpoints = []string{"p1", "p2"}
			c := startCluster(t, s)
			p1 := c.services["p1"]
			p1.SetFaults(tt.faults)
			began := time.Now()
			var mu sync.Mutex
			var wg sync.WaitGroup
			got := map[int]int{}
			for time.Since(began) < 2*restTime-restSettleTime {
				d := c.daemons[rand.IntN(len(c.daemons))]
				wg.Go(func() {
					r, err := d.send(http.MethodGet, "/services/parts/x", "")
					assert.Check(t, err)
					mu.Lock()
					defer mu.Unlock()
					got[r.status]++
				})
				time.Sleep(20 * time.Millisecond)
			}
			wg.Wait()
			arrived := p1.ArrivalTimes()
			t.Logf("%d arrivals, at most %d in a rest; answers: %v", len(arrived), mostInRest(arrived), got)
			assert.Assert(t, len(arrived) > 0 && len(arrived) <= tt.most, "%d arrivals", len(arrived))
			assert.Assert(t, float64(got[http.StatusOK]) >= 0.98*float64(total(got)), "answers: %v", got)
		})
	}
}
