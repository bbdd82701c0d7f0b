package proof

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/engine"
	"primroseward/standin/platform"
)

// setVersion edits the version of model m through a daemon and reports whether the edit was
// accepted.
func (c *cluster) setVersion(d *daemon, version string) bool {
	got := d.readNode("/service/chat/model/m")
	if got.Node == nil {
		return false
	}
	got.Node.Model.Version = version
	status, _ := d.edit("/service/chat/model/m", got.Version, got.Node)
	return status == http.StatusOK
}

// TestVersionsChangeWhileOwnersFail guards against overfilled accelerators, and against a
// model that is unavailable for a while, when versions change while the owners that carry
// out the change are killed or suspended past any lease, orders are lost or arrive two
// seconds late, and endpoints differ in whether they check fencing numbers. The engines
// have memory for at most two versions side by side. The peak that each engine measures
// itself must stay within its memory, and callers must be answered throughout.
func TestVersionsChangeWhileOwnersFail(t *testing.T) {
	s := defaultSpec()
	s.daemons = 4
	c := startCluster(t, s)
	var stop atomic.Bool
	var wg sync.WaitGroup
	errs := make([]error, 3)
	var answered atomic.Int64
	for i := range errs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stop.Load() && errs[i] == nil; n++ {
				errs[i] = c.chatWithRetries(i+n, "m", fmt.Sprintf("v %d %d", i, n), 10, n%2 == 0)
				answered.Add(1)
			}
		}()
	}
	for round := 2; round <= 4; round++ {
		version := fmt.Sprint(round)
		for _, e := range c.engines {
			e.SetFaults(engine.Faults{LoseOrders: 1, LateOrders: 1})
		}
		c.waitFor("the edit is accepted", 20*time.Second, func() bool { return c.setVersion(c.daemons[round%4], version) })
		time.Sleep(500 * time.Millisecond)
		if suspended := c.ownerOf("e1"); suspended != nil {
			suspended.signal(syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			suspended.signal(syscall.SIGCONT)
		}
		if killed := c.ownerOf("e3"); killed != nil {
			killed.kill()
			killed.start()
		}
		c.waitFor("the new version is ready", 60*time.Second, func() bool { return c.hasVersion("m", version) })
	}
	stop.Store(true)
	wg.Wait()
	checkErrors(t, errs)
	assert.Check(t, answered.Load() > 30, "%d answered", answered.Load())
	c.checkNoOverCommit()
}

// hasVersion reports whether some engine itself has a version ready.
func (c *cluster) hasVersion(model, version string) bool {
	for _, e := range c.engines {
		for _, r := range e.Residents() {
			if r.Model == model && r.Version == version && r.Ready {
				return true
			}
		}
	}
	return false
}

// TestEnginesLoseTheirMemory guards against requests that find no model after the only
// runner in a data centre restarts without its loaded models, and then after all runners of
// a data centre do. The model must become ready elsewhere, and be loaded again where an
// engine has restarted empty.
func TestEnginesLoseTheirMemory(t *testing.T) {
	c := startCluster(t, defaultSpec())
	for _, name := range []string{"e2", "e3"} {
		c.engines[name].Restart()
	}
	errs := make([]error, 8)
	runConcurrently(len(errs), func(i int) { errs[i] = c.chatWithRetries(i, "m", fmt.Sprint("lost ", i), 5, true) })
	checkErrors(t, errs)
	c.waitFor("the review model is ready again", 30*time.Second, func() bool {
		r, err := c.daemons[0].chat("r", "again", 2, false)
		return err == nil && r.status == http.StatusOK
	})
	c.checkNoOverCommit()
}

// TestSettingsAgeLimit guards against serving regulated data with settings that may be out of
// date, when a daemon is cut off from the platform and goes on for hours. Where a node sets
// fresh, the daemon refuses requests after that time; for other nodes it goes on serving.
func TestSettingsAgeLimit(t *testing.T) {
	c := startCluster(t, defaultSpec())
	got := c.daemons[0].readNode("/service/review")
	node := got.Node
	node.Set.MaxUnconfirmed = 6e9
	status, _ := c.daemons[0].edit("/service/review", got.Version, node)
	assert.Equal(t, status, http.StatusOK)
	r, err := c.daemons[1].chat("r", "fresh", 2, false)
	assert.NilError(t, err)
	assert.NilError(t, checkAnswer(r, "r", "fresh", 2))
	c.platform.SetFaults(platform.Faults{Down: true})
	c.waitFor("the review service refuses", 30*time.Second, func() bool {
		r, err := c.daemons[1].chat("r", "stale", 2, false)
		return err == nil && r.code == "settings_not_fresh" && r.outcome == "not_run"
	})
	assert.NilError(t, c.chatWithRetries(0, "m", "no limit here", 2, false))
}
