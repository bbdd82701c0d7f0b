package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/standin/memory"
)

const pause = 3 * time.Second

// group is a few daemons that want one lease, in virtual time.
type group struct {
	t     *testing.T
	start time.Time
	store *memory.Store
	all   []*daemon
}

// daemon is one of them; frozen adds to its boot time what its timers miss.
type daemon struct {
	*Lease
	g      *group
	name   string
	client *memory.Client
	apart  atomic.Bool // does not hear the others
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, start: time.Now(), store: memory.New()}
	for _, name := range names {
		d := &daemon{g: g, name: name, client: g.store.Client()}
		d.Lease = New(d.client, "leases", "orders", name, pause, d, clockwork.NewRealClock(), zap.NewNop(), WithBoot(g.boot))
		g.all = append(g.all, d)
	}
	return g
}

func (g *group) boot() time.Duration { return time.Since(g.start) }

// Fresh and AskYield make a daemon the others' rival.
func (d *daemon) Fresh() bool {
	for _, o := range d.g.all {
		if _, fresh := o.Claim(); o != d && fresh && !o.apart.Load() && !d.apart.Load() {
			return true
		}
	}
	return false
}

func (d *daemon) AskYield(_ context.Context, term uint64) (time.Duration, bool) {
	for _, o := range d.g.all {
		if held, _ := o.Claim(); o != d && held == term && !o.apart.Load() && !d.apart.Load() {
			return o.Yield(term)
		}
	}
	return 0, false
}

// use lets all daemons send orders whenever they may, for a time, and checks
// that no two of them do within the pause, nor with one term.
func (g *group) use(t time.Duration) {
	type order struct {
		name string
		term uint64
		at   time.Duration
	}
	var last order
	for end := g.boot() + t; g.boot() < end; time.Sleep(20 * time.Millisecond) {
		for _, d := range g.all {
			term, ok := d.Use()
			if !ok {
				continue
			}
			now := order{d.name, term, g.boot()}
			if last.name != "" && last.name != now.name {
				assert.Assert(g.t, now.at-last.at >= pause, "%v after %v", now, last)
				assert.Assert(g.t, now.term > last.term, "%v after %v", now, last)
			}
			assert.Assert(g.t, now.term >= last.term, "%v after %v", now, last)
			last = now
		}
	}
}

func (g *group) startAll() {
	for _, d := range g.all {
		d.Start()
	}
}

func (g *group) holder() *daemon {
	for _, d := range g.all {
		if _, ok := d.Term(); ok {
			return d
		}
	}
	return nil
}

func (g *group) stopAll() {
	for _, d := range g.all {
		d.Stop(context.Background())
	}
}

// Nobody orders runners at the start of a day: a first holder must be there
// within a second, since there is no other to wait for.
func TestFirstHolderActsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.startAll()
		g.use(time.Second)
		assert.Assert(t, g.holder() != nil)
		g.stopAll()
	})
}

// Runners get orders of two daemons in turns. The holder is cut from the store,
// cut from all, or stops, and another daemon takes over; the first must have
// stopped well before, and comes back later.
func TestHoldersDoNotOverlap(t *testing.T) {
	cases := []struct {
		name string
		harm func(d *daemon)
		gap  time.Duration // longest time without a holder
	}{
		{"cut from the store", func(d *daemon) { d.client.Cut(true) }, 6 * time.Second},
		{"cut from all", func(d *daemon) { d.client.Cut(true); d.apart.Store(true) }, 10 * time.Second},
		{"stops", func(d *daemon) { d.Stop(context.Background()) }, 4 * time.Second},
		{"answers lost", func(d *daemon) { d.client.LoseAnswers(3) }, 6 * time.Second},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, "a", "b", "c")
				g.startAll()
				g.use(2 * time.Second)
				old := g.holder()
				one.harm(old)
				broken := g.boot()
				for g.holder() == nil || g.holder() == old {
					g.use(100 * time.Millisecond)
					if one.name == "answers lost" && g.boot()-broken > 4*time.Second {
						break
					}
					assert.Assert(t, g.boot()-broken < one.gap, "nobody holds the lease")
				}
				old.client.Cut(false)
				old.apart.Store(false)
				g.use(10 * time.Second)
				assert.Assert(t, g.holder() != nil)
				for _, d := range g.all {
					if d != old || one.name != "stops" {
						d.Stop(context.Background())
					}
				}
			})
		})
	}
}

// A VM sleeps for some seconds and wakes: its own timers say that no time
// has passed, and it goes on ordering beside the new holder.
func TestSuspendedHolderHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a")
		d := g.all[0]
		var asleep atomic.Int64
		d.boot = func() time.Duration { return g.boot() + time.Duration(asleep.Load()) }
		d.Start()
		time.Sleep(2 * time.Second)
		_, ok := d.Term()
		assert.Assert(t, ok)
		d.client.Cut(true)
		asleep.Store(int64(validFor))
		_, ok = d.Term()
		assert.Assert(t, !ok, "the lease still counts after a suspend")
		d.client.Cut(false)
		d.Stop(context.Background())
	})
}

// A holder that still renews its lease does not give it up, whoever asks.
func TestFreshHolderDoesNotYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a")
		d := g.all[0]
		d.Start()
		time.Sleep(2 * time.Second)
		term, _ := d.Term()
		_, ok := d.Yield(term)
		assert.Assert(t, !ok)
		_, ok = d.Term()
		assert.Assert(t, ok)
		d.Stop(context.Background())
	})
}

// The store is asked thousands of times for a silent holder's lease, or nobody takes
// it: of many daemons only those that should take it over ask, which know the state
// of the lease themselves; and one that held it before its restart goes on at once.
func TestOnlyCandidatesTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		may := map[string]bool{"b": true}
		for _, d := range g.all {
			WithCandidate(func() bool {
				_, _ = d.Claim() // as the daemons do to tell each other
				return may[d.name]
			})(d.Lease)
		}
		for _, d := range g.all {
			d.Start()
		}
		time.Sleep(2 * time.Second)
		var first *daemon
		for _, d := range g.all {
			if _, ok := d.Term(); ok {
				first = d
			}
		}
		assert.Assert(t, first != nil, "nobody creates the lease")
		for _, d := range g.all {
			d.Stop(context.Background())
		}
		// The one before is gone without giving it back, and is silent.
		g.store.Put("leases", "orders", `{"holder":"c","term":9}`)
		calls := g.all[0].client.Calls()
		for _, d := range g.all[:2] {
			d.Lease = New(d.client, "leases", "orders", d.name, pause, d, clockwork.NewRealClock(), zap.NewNop(), WithBoot(g.boot), WithCandidate(func() bool { return may[d.name] }))
		}
		for _, d := range g.all[:2] {
			d.Start()
		}
		time.Sleep(takeAfter + pause + 2*time.Second)
		_, ok := g.all[1].Term()
		assert.Assert(t, ok, "the candidate has not taken over")
		assert.Assert(t, g.all[0].client.Calls()-calls <= 2, "%d calls of one that is none", g.all[0].client.Calls()-calls)
		// The former holder starts again after the candidate has given the lease back
		// to it, as it were.
		for _, d := range g.all[:2] {
			d.Stop(context.Background())
		}
		g.store.Put("leases", "orders", `{"holder":"c","term":20}`)
		c := g.all[2]
		c.Lease = New(c.client, "leases", "orders", "c", pause, c, clockwork.NewRealClock(), zap.NewNop(), WithBoot(g.boot), WithCandidate(func() bool { return false }))
		c.Start()
		time.Sleep(time.Second)
		_, ok = c.Term()
		assert.Assert(t, ok, "its own lease is not taken again")
		c.Stop(context.Background())
	})
}
