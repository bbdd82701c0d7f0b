package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wire "primroseward/platform"
	"primroseward/standin/runner"
)

const (
	// silence is for how long runners are silent, silenceInterval the time from one silence to the next.
	silence         = 1200 * time.Millisecond
	silenceInterval = 2500 * time.Millisecond
	silenceEvents   = 60
	// silentRunnerCount is the number of runners of each service.
	silentRunnerCount = 4
)

// answerCounts counts the requests of callers by how they ended.
type answerCounts struct {
	sent, whole, refused int
	late                 int // the caller's time was up
	cut                  int // the connection ended before that, without a whole answer
}

// sendKinds sends requests of all kinds to random daemons for a duration, and counts them by kind.
func (c *fleetCluster) sendKinds(interval, duration time.Duration) map[string]*answerCounts {
	out := map[string]*answerCounts{"gen": {}, "live": {}, "order": {}, "ask": {}}
	kinds := []string{"gen", "live", "order", "ask"}
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-tick.C {
		d, kind := c.daemons[rand.IntN(len(c.daemons))], kinds[rand.IntN(len(kinds))]
		wg.Go(func() {
			model := ""
			if kind == "gen" || kind == "live" {
				model = "m1"
			}
			began := time.Now()
			status, body, err := d.send("/"+kind+"/x", "", model)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			n := out[kind]
			n.sent++
			switch {
			case err != nil && took < 3900*time.Millisecond:
				n.cut++
				c.t.Logf("%s: cut after %v with status %d and %d bytes: %v", kind, took, status, len(body), err)
			case err != nil || status == http.StatusGatewayTimeout:
				n.late++
			case status == http.StatusOK && (model == "" || strings.HasSuffix(body, fullStream(silenceEvents))):
				n.whole++
			default:
				n.refused++
			}
		})
	}
	wg.Wait()
	return out
}

// runnersOf returns the runners of a service.
func (c *fleetCluster) runnersOf(service string) []*runner.Server {
	var out []*runner.Server
	for _, r := range c.runners {
		if r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// startSilent starts a fleet of four daemons and four runners of each service, with streams that outlast
// the limits on silence.
func startSilent(t *testing.T) *fleetCluster {
	c := startFleet(t, 4, func(c *fleetCluster) { c.events = silenceEvents })
	for i := 3; i <= silentRunnerCount; i++ {
		c.addRunner(runner.Spec{ID: fmt.Sprint("i-gen-", i), Service: "gen", DataCentre: []string{"north", "south"}[i%2], Slots: 8, Models: []string{"m1"}, Events: silenceEvents, Interval: 20 * time.Millisecond})
	}
	c.addRunners("i-app-3", "i-app-4")
	c.sendAtInterval(10*time.Millisecond, time.Second)
	return c
}

// TestSilentRunnersCutNoAnswer guards against callers' connections that daemons close without an answer
// because runners are silent for a second and go on, beside changes of the configuration.
func TestSilentRunnersCutNoAnswer(t *testing.T) {
	for _, tt := range []struct {
		name    string
		silent  int // runners of a service that are silent at once
		service string
		rejects bool // the others reject meanwhile
		rounds  int
	}{
		{"one of four, the others reject", 1, "gen", true, 2},
		{"two of four, the others reject", 2, "gen", true, 2},
		{"three of four", 3, "gen", false, 4},
		{"all of a service", 4, "gen", false, 2},
		{"three of four plain ones", 3, "app", false, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startSilent(t)
			list := c.runnersOf(tt.service)
			var wg sync.WaitGroup
			wg.Go(func() {
				for i := range tt.rounds {
					time.Sleep(silenceInterval - silence)
					c.put(wire.KindConfig, wire.NameConfig, fleetConfig(10+i, "/gen/"))
					for k := range list {
						if r := list[(i+k)%len(list)]; k < tt.silent {
							r.Silence(silence)
						} else if tt.rejects {
							r.Reject()
							time.AfterFunc(silence, r.Accept)
						}
					}
					time.Sleep(silence)
				}
			})
			got := c.sendKinds(20*time.Millisecond, time.Duration(tt.rounds)*silenceInterval)
			wg.Wait()
			for kind, n := range got {
				t.Logf("%s: %+v", kind, *n)
				assert.Check(t, n.cut == 0, "%s: %d of %d cut", kind, n.cut, n.sent)
			}
		})
	}
}
