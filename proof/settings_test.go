package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	wire "primroseward/platform"
	service "primroseward/services/tree"
	"primroseward/standin/platform"
	plain "primroseward/standin/service"
	"primroseward/state/tree"
	"primroseward/transport/admin"
)

// edit replaces the node at a path through a daemon and returns the status and the new
// version.
func (d *daemon) edit(path string, version uint64, node *tree.Node) (int, service.NodeState) {
	data, _ := json.Marshal(node)
	var got service.NodeState
	status := d.adminCall(http.MethodPut, "/admin/tree?path="+path, admin.EditBody{Version: version, Node: data}, &got)
	return status, got
}

// readNode returns the node at a path, or the zero value if the daemon does not return one.
func (d *daemon) readNode(path string) service.NodeState {
	var got service.NodeState
	d.adminCall(http.MethodGet, "/admin/tree?path="+path, nil, &got)
	return got
}

// chatNode returns the node of service chat, narrowed to data centres.
func (c *cluster) chatNode(dataCentres ...string) *tree.Node {
	node := *c.root.Children["service/chat"]
	node.Set.DataCentres = &dataCentres
	return &node
}

// TestNarrowingIsInForceWithinSeconds guards against answers from a data centre that an
// operator has excluded: the edit was accepted, but a daemon that routes or owns had not
// received it. All daemons must have it within seconds, and from then on no answer may come
// from that data centre.
func TestNarrowingIsInForceWithinSeconds(t *testing.T) {
	s := defaultSpec()
	s.daemons = 6
	c := startCluster(t, s)
	got := c.daemons[1].readNode("/service/chat")
	status, _ := c.daemons[1].edit("/service/chat", got.Version, c.chatNode("south"))
	assert.Equal(t, status, http.StatusOK)
	c.waitFor("the edit is in force", 10*time.Second, func() bool {
		var st service.Status
		c.daemons[2].adminCall(http.MethodGet, "/admin/status", nil, &st)
		return st.InForce
	})
	for i, d := range c.daemons {
		r, err := d.chat("m", fmt.Sprint("where ", i), 3, false)
		assert.NilError(t, err)
		assert.Equal(t, r.status, http.StatusOK, r.body)
		assert.Equal(t, r.dataCentre, "south")
	}
}

// TestRacingOperators guards against an operator who unknowingly undoes another operator's
// change made at the same time. An edit names the version that it was made from; of several
// edits made from the same version exactly one is accepted, and the others get a conflict
// with what it wrote.
func TestRacingOperators(t *testing.T) {
	c := startCluster(t, defaultSpec())
	for range 5 {
		base := c.daemons[0].readNode("/service/chat").Version
		codes := make([]int, 6)
		runConcurrently(len(codes), func(i int) {
			node := c.chatNode("north", "south")
			node.Set.Concurrency = 10 + i
			codes[i], _ = c.daemons[i%3].edit("/service/chat", base, node)
		})
		won := 0
		for _, code := range codes {
			if code == http.StatusOK {
				won++
				continue
			}
			assert.Equal(t, code, http.StatusConflict)
		}
		assert.Equal(t, won, 1)
	}
}

// TestLostAnswerOfAnEdit guards against a false conflict, or a change made twice, when the
// platform carries out the write but its answer is lost. The write must be recognised as
// the operator's own.
func TestLostAnswerOfAnEdit(t *testing.T) {
	c := startCluster(t, defaultSpec())
	for i := range 5 {
		base := c.daemons[0].readNode("/service/chat")
		c.platform.SetFaults(platform.Faults{LoseWrites: 1})
		node := c.chatNode("north", "south")
		node.Set.Concurrency = 20 + i
		status, got := c.daemons[0].edit("/service/chat", base.Version, node)
		assert.Equal(t, status, http.StatusOK)
		now := c.daemons[1].readNode("/service/chat")
		assert.Equal(t, now.Version, got.Version)
		assert.Equal(t, now.Node.Set.Concurrency, 20+i)
		assert.Equal(t, len(now.Log), min(10, len(base.Log)+1), "the edit was written once")
	}
}

// TestBadSettingsNeverGetIntoForce guards against an invalid edit that takes the system
// down. Children that widen their parent's settings, unknown fields and dangling names are
// refused with all faults in one answer, and an invalid branch that another program has
// written to the platform does not replace the valid one.
func TestBadSettingsNeverGetIntoForce(t *testing.T) {
	c := startCluster(t, defaultSpec())
	base := c.daemons[0].readNode("/service/review").Version
	widened := []string{"north", "west"}
	status, _ := c.daemons[0].edit("/service/review/model/r", base, &tree.Node{
		Set: tree.Settings{DataCentres: &widened, Repeatable: truePtr()}, Model: &tree.Model{Version: "1", Memory: 1, Base: "nowhere"},
	})
	assert.Equal(t, status, http.StatusUnprocessableEntity)

	c.platformPut(core.KindTree, "service.chat", `{"node":{"set":{"concurency":1}}}`)
	c.waitFor("the status of every member shows the fault", 10*time.Second, func() bool {
		var st service.Status
		c.daemons[0].adminCall(http.MethodGet, "/admin/status", nil, &st)
		for _, m := range st.Members {
			if len(m.Problems) != 1 {
				return false
			}
		}
		return len(st.Members) == 3
	})
	r, err := c.daemons[0].chat("m", "still", 3, false)
	assert.NilError(t, err)
	assert.NilError(t, checkAnswer(r, "m", "still", 3))
}

// platformPut writes an object directly to the platform, without a daemon.
func (c *cluster) platformPut(kind, name, spec string) {
	c.t.Helper()
	url := "http://" + c.platformAddr + wire.PathObjects + kind + "/" + name
	var item wire.Item
	if callJSON(adminClient, http.MethodGet, url, nil, &item) != http.StatusOK {
		item.Metadata.Name = name
		item.Spec = json.RawMessage(spec)
		callJSON(adminClient, http.MethodPost, "http://"+c.platformAddr+wire.PathObjects+kind, item, nil)
		return
	}
	item.Spec = json.RawMessage(spec)
	assert.Equal(c.t, callJSON(adminClient, http.MethodPut, url, item, nil), http.StatusOK)
}

// TestSettingsNeverGoBack guards against regulated data being served where an operator has
// just excluded it, when a daemon restarts, a watch begins with old events or the platform
// is down. The restarted daemon must get the newest settings that any daemon or the
// platform has, and never older ones.
func TestSettingsNeverGoBack(t *testing.T) {
	c := startCluster(t, defaultSpec())
	base := c.daemons[0].readNode("/service/chat")
	status, got := c.daemons[0].edit("/service/chat", base.Version, c.chatNode("south"))
	assert.Equal(t, status, http.StatusOK)
	c.waitFor("the edit is in force at the third daemon", 10*time.Second, func() bool { return c.daemons[2].ownVersion("service/chat") == got.Version })
	c.platform.SetFaults(platform.Faults{StaleWatch: true})
	for _, d := range c.daemons {
		d.kill()
		d.start()
		c.waitFor("the restarted daemon serves again", 20*time.Second, func() bool {
			assert.Check(t, !c.anyOlder("service/chat", got.Version), "a daemon has returned to older settings")
			r, err := d.chat("m", "again", 3, false)
			if err != nil || r.status != http.StatusOK {
				return false
			}
			assert.Equal(t, r.dataCentre, "south")
			return true
		})
	}
	c.platform.SetFaults(platform.Faults{Down: true})
	d := c.daemons[1]
	d.kill()
	d.start()
	c.waitFor("the restarted daemon serves with the settings of its peers", 20*time.Second, func() bool {
		r, err := d.chat("m", "outage", 3, false)
		return err == nil && r.status == http.StatusOK && r.dataCentre == "south"
	})
	assert.Equal(t, d.ownVersion("service/chat"), got.Version)
}

// ownVersion returns the version of a branch in a daemon's own memory, or 0 if the daemon
// does not answer.
func (d *daemon) ownVersion(branch string) uint64 {
	var st service.Status
	d.adminCall(http.MethodGet, "/admin/status", nil, &st)
	for _, m := range st.Members {
		if m.Name == d.name {
			return m.Versions[branch]
		}
	}
	return 0
}

// anyOlder reports whether a daemon has a branch in a version below the given one.
func (c *cluster) anyOlder(branch string, version uint64) bool {
	for _, d := range c.daemons {
		if v := d.ownVersion(branch); v != 0 && v < version {
			return true
		}
	}
	return false
}

// TestLeavingEndpointGetsNoNewWork guards against requests to a VM that is about to be
// removed, when the platform's list, an operator's drain or the endpoint itself reports
// that it is leaving. After a few seconds it must get no new requests, and its model must
// be ready elsewhere.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := defaultSpec()
	s.plainEndpoints = []string{"p1", "p2"}
	c := startCluster(t, s)
	c.platformPut(core.KindVM, "p1", `{"state":"leaving"}`)
	lookups := func() (onP1 int) {
		for i := range 12 {
			r, err := c.daemons[i%3].send("GET", "/services/parts/x", "")
			assert.NilError(t, err)
			assert.Equal(t, r.status, http.StatusOK, r.body)
			if r.runner == "p1" {
				onP1++
			}
		}
		return onP1
	}
	c.waitFor("the leaving endpoint gets no requests", 20*time.Second, func() bool { return lookups() == 0 })
	before := len(c.services["p1"].Runs())
	assert.Equal(t, lookups(), 0)
	assert.Equal(t, len(c.services["p1"].Runs()), before)

	c.services["p2"].SetFaults(plain.Faults{Leaving: true})
	c.waitFor("no endpoint accepts new requests", 20*time.Second, func() bool {
		r, err := c.daemons[0].send("GET", "/services/parts/x", "")
		assert.NilError(t, err)
		if r.status == http.StatusOK {
			return false
		}
		assert.Equal(t, r.outcome, "not_run")
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Check(t, r.retryAfter != "")
		return true
	})

	// The only runner of the review model leaves, so the model must become ready elsewhere
	// first.
	c.platformPut(core.KindVM, c.readyRunner("r"), `{"state":"leaving"}`)
	c.waitFor("the model is ready elsewhere", 20*time.Second, func() bool {
		r, err := c.daemons[0].chat("r", "moved", 3, false)
		return err == nil && r.status == http.StatusOK
	})
	c.checkNoOverCommit()
}

// readyRunner returns a runner that has a model ready and is not leaving, or an empty
// string.
func (c *cluster) readyRunner(model string) string {
	var runners []service.RunnerStatus
	c.daemons[0].adminCall(http.MethodGet, "/admin/runners", nil, &runners)
	for _, r := range runners {
		for _, m := range r.Models {
			if m.Model == model && m.State == "ready" && !r.Leaving {
				return r.Runner
			}
		}
	}
	return ""
}

// TestPlatformOutage guards against losing the service together with the platform. During
// an outage requests, streams and the failover of a killed owner must go on; requests that
// need a write to the platform must be refused truthfully and at once.
func TestPlatformOutage(t *testing.T) {
	s := defaultSpec()
	s.daemons = 4
	c := startCluster(t, s)
	c.platform.SetFaults(platform.Faults{Down: true})
	c.ownerOf("e1").signal(syscall.SIGKILL)
	errs := make([]error, 40)
	runConcurrently(8, func(w int) {
		for i := w; i < len(errs); i += 8 {
			errs[i] = c.chatWithRetries(i, "m", fmt.Sprint("outage ", i), 20, i%2 == 0)
		}
	})
	checkErrors(t, errs)
	var running *daemon
	for _, d := range c.daemons {
		if !d.exited() {
			running = d
		}
	}
	began := time.Now()
	const deadline = 2 * time.Minute
	r, err := running.send("POST", "/services/parts/orders/o", "belt", "Idempotency-Key", "outage", "Primrose-Timeout", deadline.String())
	assert.NilError(t, err)
	assert.Equal(t, r.outcome, "not_run", r.body)
	assert.Check(t, r.retryAfter != "")
	assert.Check(t, time.Since(began) < deadline/4, "the refusal came late")
	assert.Equal(t, c.runsOf("/orders/o"), 0)
	c.platform.SetFaults(platform.Faults{})
	c.waitFor("the order can be made", 30*time.Second, func() bool {
		r, err := running.send("POST", "/services/parts/orders/o", "belt", "Idempotency-Key", "outage")
		return err == nil && r.status == http.StatusOK
	})
	assert.Equal(t, c.runsOf("/orders/o"), 1)
}
