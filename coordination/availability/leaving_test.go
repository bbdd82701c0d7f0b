package availability

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/coordination/allowance"
	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/state/catalog"
)

// daemon is a table with the messages that it has broadcast.
type daemon struct {
	*Table
	mu   sync.Mutex
	sent []Update
}

func (d *daemon) broadcast(u Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent = append(d.sent, u)
}

func (d *daemon) broadcasts() []Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.sent)
}

func newDaemon(runners ...core.Runner) *daemon {
	d := &daemon{}
	d.Table = newTable(d.broadcast, runners...)
	return d
}

// newTable returns a table whose catalog has the runners.
func newTable(broadcast func(Update), runners ...core.Runner) *Table {
	clock := clockwork.NewRealClock()
	c := catalog.New(clock)
	for _, r := range runners {
		c.Put(r, clock.Now())
	}
	return New(clock, c, load.New(clock), allowance.NewLimits(clock, zap.NewNop()), zap.NewNop(), WithBroadcast(broadcast))
}

var leavingInfo = core.ReplyInfo{Leaving: core.Leaving{Announced: true}}

// Guards against daemons that learn that a runner is leaving only from their own requests to
// it: one answer is broadcast, again in case a datagram is lost, and no more than that.
func TestOneAnswerIsBroadcastToAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := core.Runner{ID: "r", Service: "s", StartedAt: time.Now()}
		first, second := newDaemon(r), newDaemon(r)
		for range 100 {
			first.ObserveAnswer(&r, leavingInfo)
			time.Sleep(50 * time.Millisecond)
		}
		sent := first.broadcasts()
		assert.Equal(t, len(sent), 1+len(rebroadcasts))
		second.ApplyUpdate("first", sent[0])
		assert.Equal(t, second.catalog.Runner("r").Departure.Source, "first")
		second.ObserveAnswer(&r, leavingInfo)
		assert.Equal(t, len(second.broadcasts()), 0, "a known announcement is broadcast")
	})
}

// Guards against a runner that is left out because of an earlier instance: by a late answer, a
// late message, or an answer without the header.
func TestAnnouncementsOfAnEarlierInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier := core.Runner{ID: "r", Service: "s", StartedAt: time.Now()}
		later := earlier
		later.StartedAt = earlier.StartedAt.Add(time.Second)
		d := newDaemon(later)
		d.ObserveAnswer(&earlier, leavingInfo)
		d.ApplyUpdate("other", Update{Runner: "r", Started: earlier.StartedAt})
		assert.Assert(t, d.catalog.Runner("r").Usable())
		d.ObserveAnswer(&later, leavingInfo)
		d.ObserveAnswer(&later, core.ReplyInfo{})
		assert.Assert(t, !d.catalog.Runner("r").Usable())
	})
}

// Guards against a message that arrives before the entry of the instance that it is about.
func TestMessageBeforeTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := core.Runner{ID: "r", Service: "s", StartedAt: time.Now()}
		d := newDaemon()
		d.ApplyUpdate("other", Update{Runner: "r", Started: r.StartedAt})
		d.catalog.Put(r, time.Now())
		assert.Assert(t, !d.catalog.Runner("r").Usable())
	})
}
