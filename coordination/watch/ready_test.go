package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/memory"
)

// Callers of a daemon that has just started are refused although runners are there: it
// knew the configuration and the settings, counted as ready, and had not taken in the
// list of runners, which came 4 ms later.
func TestRunnersAreKnownOnceListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		s.Put(runners, "r1", `"ready"`)
		n := newNode(s)
		assert.Assert(t, !n.KnowsRunners())
		n.Start()
		defer n.Stop()
		within(t, time.Second, "listed", n.KnowsRunners)
		assert.Assert(t, n.catalog.Runner("r1") != nil, "known before its runners were taken in")
	})
}
