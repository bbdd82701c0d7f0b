package watch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/standin/memory"
)

// Guards against removing most of the fleet at the end of an outage of the store: entries
// of live runners expire during the outage and are back two seconds after the store's
// return. A runner that leaves after that must not get work for two more seconds.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		s.Put(runners, "r2", `"ready"`)
		n := newNode(s)
		n.Start()
		defer n.Stop()
		known := func(id string) bool { return n.catalog.Runner(id) != nil }
		within(t, time.Second, "start", func() bool { return known("r1") && known("r2") })
		n.client.SetDisconnected(true)
		s.Remove(runners, "r1")
		s.Remove(runners, "r2")
		time.Sleep(4 * time.Second)
		n.client.SetDisconnected(false)
		time.Sleep(time.Second)
		assert.Assert(t, known("r1") && known("r2"), "runners with lapsed entries were removed at once")
		s.Put(runners, "r1", `"ready"`)
		within(t, 3*time.Second, "r2 gone", func() bool { return !known("r2") })
		assert.Assert(t, known("r1"))
		s.Remove(runners, "r1")
		within(t, 500*time.Millisecond, "r1 gone", func() bool { return !known("r1") })
	})
}

// Guards against sending work to a runner that has left, for as long as the store turns one
// daemon away: the runner was missing in the snapshots that the daemon fetched from its
// peers, and each of them started the grace for lapsed entries again.
func TestMissingInSnapshotOfHealthyPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		a, b := newNode(s), newNode(s)
		a.peer = b
		for _, n := range []*node{a, b} {
			n.Start()
			defer n.Stop()
		}
		within(t, time.Second, "start", func() bool { return a.catalog.Runner("r1") != nil && b.catalog.Runner("r1") != nil })
		a.client.SetDisconnected(true)
		time.Sleep(5 * time.Second)
		s.Remove(runners, "r1")
		within(t, 1500*time.Millisecond, "gone", func() bool { return a.catalog.Runner("r1") == nil })
	})
}

// Guards against sending work for two more seconds to a runner that has left, once the store serves a daemon again
// that it has turned away: peers that it served all the while show that no entries have lapsed.
func TestStoreThatFailedHereAloneStartsNoGrace(t *testing.T) {
	for _, tt := range []struct {
		name  string
		peers bool // the store serves the peer all the while
		gone  bool // at once
	}{
		{"the peer was served", true, true},
		{"the peer was not served either", false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memory.New()
				s.Put(runners, "r1", `"ready"`)
				a, b := newNode(s), newNode(s)
				a.peer = b
				for _, n := range []*node{a, b} {
					n.Start()
					defer n.Stop()
				}
				within(t, time.Second, "start", func() bool { return a.catalog.Runner("r1") != nil && b.catalog.Runner("r1") != nil })
				time.Sleep(5 * time.Second)
				a.client.SetDisconnected(true)
				b.client.SetDisconnected(!tt.peers)
				time.Sleep(4 * time.Second)
				s.Remove(runners, "r1")
				a.client.SetDisconnected(false)
				time.Sleep(time.Second)
				assert.Equal(t, a.catalog.Runner("r1") == nil, tt.gone)
			})
		})
	}
}

// Guards against sending work for seconds to a runner that leaves: the time of day was five
// seconds ahead when the store failed, and was set back afterwards. How long the store has
// not failed must be measured by monotonic time.
func TestClockStep(t *testing.T) {
	n := newNode(memory.New())
	n.recordFailure(configs, core.ErrUnavailable)
	failedAt := func() string { return n.kinds[configs].failedAt.String() }
	assert.Assert(t, strings.Contains(failedAt(), "m="), "%v has no monotonic reading", failedAt())
	n.recordSuccess(configs)
	assert.Assert(t, strings.Contains(failedAt(), "m="), "%v has no monotonic reading", failedAt())
}

// Guards against sending work for two more seconds to a runner that has left: the store
// turned away a call for another kind, which started the grace for lapsed entries of runners
// again.
func TestFailureOfAnotherKindStartsNoGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(runners, "r1", `"ready"`)
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "start", func() bool { return n.catalog.Runner("r1") != nil })
		time.Sleep(5 * time.Second)
		n.recordFailure(configs, core.ErrUnavailable)
		s.Remove(runners, "r1")
		within(t, 500*time.Millisecond, "gone", func() bool { return n.catalog.Runner("r1") == nil })
	})
}
