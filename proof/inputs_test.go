package proof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/policy"
	"primroseward/coordination/roster"
	wire "primroseward/platform"
	"primroseward/state/hold"
	"primroseward/state/tree"
)

// The fuzz tests guard against input that makes a daemon exit. All daemons read the same
// input, so whatever ends one ends all of them: a configuration, a branch of the settings
// tree, a message that a daemon passes on.

func FuzzConfigCrashesNoDaemon(f *testing.F) {
	f.Add([]byte(`{"version":2,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"streaming","service":"s","timeout_ms":100,
		"max_attempts":2,"split":[{"service":"s","weight":0.5}]}],"services":[{"name":"s","engine":{"slots":4,"weights_mb":100,"adapter_slots":2,
		"loads_per_s":2,"models":[{"name":"m1","weights_mb":50,"load_s":1,"adapters":3,"adapter_mb":1},{"name":"m2","weights_mb":50}]}}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		c, err := wire.ReadConfig(body)
		if err != nil {
			return
		}
		c.Route("h", "/a/b")
		for _, s := range c.Services {
			if s.Engine == nil {
				continue
			}
			hosts := []*policy.HostState{
				{ID: "a", DataCentre: "p", FreeMB: s.Engine.MemoryMB, Models: map[string]bool{}, Local: map[string]bool{}},
				{ID: "b", DataCentre: "q", FreeMB: 10, Models: map[string]bool{"m1": true}, Local: map[string]bool{}, Requests: 3},
			}
			policy.Place(s.Engine, hosts, map[string]float64{"m1": 10, "m2": 3, "": 1})
		}
	})
}

func FuzzSettingsCrashNoDaemon(f *testing.F) {
	f.Add([]byte(`{"node":{"set":{"places":["north"]},"children":{"model":{"m":{"set":{"deadline":"3s","concurrency":3}}}}}}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		r := tree.NewReplica(tree.WithOverlay())
		r.ApplyList([]tree.Branch{{Name: "service/s", Version: 1, Body: body}}, 1)
		if t := r.InForce(); t != nil {
			at := tree.Selector{Service: "s", Model: "m", DataCentre: "p"}
			t.Effective(at)
			t.Allowed(at)
		}
	})
}

func FuzzMessageCrashesNoDaemon(f *testing.F) {
	f.Add([]byte{10, 3, 10, 1, 97})
	r := hold.Record{Route: "r"}
	now := time.Unix(1e9, 0)
	r.Hold(now)
	encoded, err := hold.Encode(&r, now)
	assert.NilError(f, err)
	f.Add([]byte(encoded))
	f.Fuzz(func(_ *testing.T, data []byte) {
		hub := roster.New(now, roster.Daemon{Name: "a", DataCentre: "p"})
		hub.AddDaemon(now, roster.Daemon{Name: "b", DataCentre: "p"})
		_, _, _ = hub.Receive(now, data) // only a panic is a failure
		hub.Tick(now.Add(time.Second), roster.Report{})
		if got, err := hold.DecodeReceived(data, now); err == nil {
			hold.NewTable().Merge(*got)
		}
	})
}
