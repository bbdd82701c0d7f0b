package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/memory"
)

// Guards against refusals by a daemon that has just started although there are runners: it
// had the configuration and the settings and counted as ready, but the list of runners
// arrived 4 ms later.
func TestRunnersAreKnownOnceListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		s.Put(runners, "r1", `"ready"`)
		n := newNode(s)
		assert.Assert(t, !n.RunnersListed())
		n.Start()
		defer n.Stop()
		within(t, time.Second, "listed", n.RunnersListed)
		assert.Assert(t, n.catalog.Runner("r1") != nil, "KnowsRunners before the list of runners was applied")
	})
}
