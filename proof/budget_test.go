package proof

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/budget"
	"primroseward/standin/runner"
)

// fleetBudget is the retry budget in the settings of the fleet's daemons.
var fleetBudget = budget.Bound{Ratio: 0.2, Slack: 20, Length: 10 * time.Second}

const (
	// servedBefore is the number of requests that each daemon serves before the runners fail.
	servedBefore  = 25
	restartRounds = 8
)

// failAppRunners makes all runners of service app fail what they run.
func (c *fleetCluster) failAppRunners() {
	for _, r := range c.runners {
		if r.Service == "app" {
			r.FailNext(1 << 30)
		}
	}
}

// appBudgetLog returns what the runners of service app have received, with the given times of
// callers' requests.
func (c *fleetCluster) appBudgetLog(sent []time.Time) *budget.Log {
	var of []*runner.Server
	for _, r := range c.runners {
		if r.Service == "app" {
			of = append(of, r)
		}
	}
	return arrivalLog(of, sent)
}

// arrivalLog returns what runners have received, with the given times of callers' requests.
func arrivalLog(runners []*runner.Server, sent []time.Time) *budget.Log {
	var arrivals []runner.Arrival
	for _, r := range runners {
		arrivals = append(arrivals, r.Arrivals()...)
	}
	slices.SortFunc(arrivals, func(a, b runner.Arrival) int { return a.At.Compare(b.At) })
	l := &budget.Log{}
	for _, at := range sent {
		l.Sent(at)
	}
	for _, a := range arrivals {
		l.Arrived(a.ID, a.At)
	}
	return l
}

// sendBatch sends n repeatable requests to each daemon, at the same time to all, and returns
// when.
func (c *fleetCluster) sendBatch(n int) []time.Time {
	c.t.Helper()
	var mu sync.Mutex
	var sent []time.Time
	var wg sync.WaitGroup
	for _, d := range c.daemons {
		wg.Go(func() {
			for range n {
				at := time.Now()
				_, _, err := d.send("/ask/x", "", "")
				assert.Check(c.t, err)
				mu.Lock()
				sent = append(sent, at)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent
}

// TestRetriesOfRestartedDaemonsStayInBudget guards against daemons that forget with a restart
// which retries they have made, or do not know yet how many daemons share the budget, so that
// all together exceed it while runners fail.
func TestRetriesOfRestartedDaemonsStayInBudget(t *testing.T) {
	for _, tt := range []struct {
		name    string
		restart func(c *fleetCluster, round int)
	}{
		{"not restarted", func(*fleetCluster, int) {}},
		{"all killed", func(c *fleetCluster, _ int) {
			for _, d := range c.daemons {
				d.kill()
			}
			for _, d := range c.daemons {
				d.run(c)
			}
		}},
		{"killed in turn", func(c *fleetCluster, round int) { c.daemons[round%len(c.daemons)].restart(c) }},
		{"stopped in turn", func(c *fleetCluster, round int) {
			d := c.daemons[round%len(c.daemons)]
			assert.NilError(c.t, d.cmd.Process.Signal(syscall.SIGTERM))
			_ = d.cmd.Wait()
			d.run(c)
		}},
		{"all but one killed", func(c *fleetCluster, _ int) {
			for _, d := range c.daemons[1:] {
				d.kill()
			}
			for _, d := range c.daemons[1:] {
				d.run(c)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := startFleet(t, 4)
			c.addRunners("i-app-3", "i-app-4")
			sent := c.sendBatch(servedBefore)
			c.failAppRunners()
			for round := range restartRounds {
				sent = append(sent, c.sendBatch(8)...)
				tt.restart(c, round)
				for _, d := range c.daemons {
					c.awaitReadyStatus(d, http.StatusOK)
				}
			}
			sent = append(sent, c.sendBatch(8)...)
			log := c.appBudgetLog(sent)
			worst := fleetBudget.Worst(log)
			t.Logf("%d repeats; %s", log.Repeats(), worst)
			assert.Assert(t, log.Repeats() > 0)
			assert.Assert(t, worst.Excess() <= 0, "%s", worst)
		})
	}
}
