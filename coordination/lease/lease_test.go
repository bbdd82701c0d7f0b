package lease

import (
	"context"
	"encoding/json"
	"fmt"
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

// cluster is a set of daemons that compete for one lease, in virtual time.
type cluster struct {
	t       *testing.T
	start   time.Time
	store   *memory.Store
	daemons []*daemon
	last    order
}

// order is an order that a daemon has sent.
type order struct {
	name string
	term uint64
	at   time.Duration
}

// daemon is one of them.
type daemon struct {
	*Lease
	process  atomic.Pointer[Lease] // the same, for the other daemons
	cluster  *cluster
	name     string
	client   *memory.Client
	isolated atomic.Bool // does not reach the other daemons
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, start: time.Now(), store: memory.New()}
	for _, name := range names {
		d := &daemon{cluster: c, name: name, client: c.store.Client()}
		d.newProcess()
		c.daemons = append(c.daemons, d)
	}
	return c
}

// newProcess gives a daemon a process that knows nothing of the one before.
func (d *daemon) newProcess() {
	d.Lease = New(d.client, "leases", "orders", d.name, pause, d, clockwork.NewRealClock(), zap.NewNop(), WithBootTime(d.cluster.elapsed))
	d.process.Store(d.Lease)
}

// kill ends a daemon's process without notice.
func (d *daemon) kill() {
	d.cancel()
	d.wg.Wait()
}

func (c *cluster) elapsed() time.Duration { return time.Since(c.start) }

// RenewedRecently and RequestYield implement CurrentHolder for a daemon by the state of the others.
func (d *daemon) RenewedRecently() bool {
	for _, o := range d.cluster.daemons {
		if _, fresh := o.process.Load().Claim(); o != d && fresh && !o.isolated.Load() && !d.isolated.Load() {
			return true
		}
	}
	return false
}

func (d *daemon) RequestYield(_ context.Context, term uint64) (time.Duration, bool) {
	for _, o := range d.cluster.daemons {
		if held, _ := o.process.Load().Claim(); o != d && held == term && !o.isolated.Load() && !d.isolated.Load() {
			return o.process.Load().Yield(term)
		}
	}
	return 0, false
}

// checkOrders lets all daemons send orders whenever they may, for a time, and checks that no two
// of them do so within the pause, or in one term.
func (c *cluster) checkOrders(t time.Duration) {
	for end := c.elapsed() + t; c.elapsed() < end; time.Sleep(20 * time.Millisecond) {
		for _, d := range c.daemons {
			term, ok := d.Use()
			if !ok {
				continue
			}
			now := order{d.name, term, c.elapsed()}
			if c.last.name != "" && c.last.name != now.name {
				assert.Assert(c.t, now.at-c.last.at >= pause, "%v after %v", now, c.last)
				assert.Assert(c.t, now.term > c.last.term, "%v after %v", now, c.last)
			}
			assert.Assert(c.t, now.term >= c.last.term, "%v after %v", now, c.last)
			c.last = now
		}
	}
}

func (c *cluster) startAll() {
	for _, d := range c.daemons {
		d.Start()
	}
}

func (c *cluster) holder() *daemon {
	for _, d := range c.daemons {
		if _, ok := d.Term(); ok {
			return d
		}
	}
	return nil
}

func (c *cluster) stopAll() {
	for _, d := range c.daemons {
		d.Stop(context.Background())
	}
}

// At the first start of a fleet, nobody sends orders to runners. A first holder must be there
// within a second, since there is no previous one to wait for.
func TestFirstHolderActsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		c.checkOrders(time.Second)
		assert.Assert(t, c.holder() != nil)
		c.stopAll()
	})
}

// Runners must not receive orders from two daemons in alternation. The holder is disconnected
// from the store or from everything, loses answers, or stops, and another daemon takes over. The
// old holder must have stopped well before that, and reconnects later.
func TestHoldersDoNotOverlap(t *testing.T) {
	cases := []struct {
		name  string
		fault func(d *daemon)
		gap   time.Duration // longest time without a holder
	}{
		{"disconnected from the store", func(d *daemon) { d.client.SetDisconnected(true) }, 6 * time.Second},
		{"disconnected from all", func(d *daemon) { d.client.SetDisconnected(true); d.isolated.Store(true) }, 10 * time.Second},
		{"stops", func(d *daemon) { d.Stop(context.Background()) }, 4 * time.Second},
		{"answers lost", func(d *daemon) { d.client.LoseAnswers(3) }, 6 * time.Second},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, "a", "b", "c")
				c.startAll()
				c.checkOrders(2 * time.Second)
				old := c.holder()
				one.fault(old)
				faultAt := c.elapsed()
				for c.holder() == nil || c.holder() == old {
					c.checkOrders(100 * time.Millisecond)
					if one.name == "answers lost" && c.elapsed()-faultAt > 4*time.Second {
						break
					}
					assert.Assert(t, c.elapsed()-faultAt < one.gap, "no daemon holds the lease")
				}
				old.client.SetDisconnected(false)
				old.isolated.Store(false)
				c.checkOrders(10 * time.Second)
				assert.Assert(t, c.holder() != nil)
				for _, d := range c.daemons {
					if d != old || one.name != "stops" {
						d.Stop(context.Background())
					}
				}
			})
		})
	}
}

// TestStopBesideALostRenewal guards against a lease that is not released because the answer to its last renewal is missing when
// its holder stops: nobody sends orders until it has run out.
func TestStopBesideALostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		c.checkOrders(2 * time.Second)
		old := c.holder()
		old.mu.Lock()
		object := old.object
		old.mu.Unlock()
		_, err := c.store.Client().Update(t.Context(), object) // as a renewal does
		assert.NilError(t, err)
		old.Stop(context.Background())
		stored, err := c.store.Client().Get(t.Context(), "leases", "orders")
		assert.NilError(t, err)
		var now record
		assert.NilError(t, json.Unmarshal(stored.Body, &now))
		assert.Equal(t, now.Holder, "")
		c.stopAll()
	})
}

// A VM is suspended for some seconds. By its own timers no time has passed, so it would go on
// sending orders beside the new holder.
func TestSuspendedHolderHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		d := c.daemons[0]
		var suspended atomic.Int64
		d.bootTime = func() time.Duration { return c.elapsed() + time.Duration(suspended.Load()) }
		d.Start()
		time.Sleep(2 * time.Second)
		_, ok := d.Term()
		assert.Assert(t, ok)
		d.client.SetDisconnected(true)
		suspended.Store(int64(validFor))
		_, ok = d.Term()
		assert.Assert(t, !ok, "the lease is still valid after a suspend")
		d.client.SetDisconnected(false)
		d.Stop(context.Background())
	})
}

// A holder that still renews its lease does not yield it to any daemon.
func TestFreshHolderDoesNotYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		d := c.daemons[0]
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

// If every daemon could take over from an unreachable holder, the store would get thousands of
// reads; if none did, the lease would stay unused. So only candidates read the lease, and the
// function that selects them may itself query the lease. A daemon that held the lease before its
// restart must take it again at once.
func TestOnlyCandidatesTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		candidates := map[string]bool{"b": true}
		for _, d := range c.daemons {
			WithCandidate(func() bool {
				_, _ = d.Claim() // as the daemons do when they announce the lease
				return candidates[d.name]
			})(d.Lease)
		}
		for _, d := range c.daemons {
			d.Start()
		}
		time.Sleep(2 * time.Second)
		var first *daemon
		for _, d := range c.daemons {
			if _, ok := d.Term(); ok {
				first = d
			}
		}
		assert.Assert(t, first != nil, "no daemon created the lease")
		for _, d := range c.daemons {
			d.Stop(context.Background())
		}
		// The previous holder exits without releasing the lease, and sends nothing more.
		c.store.Put("leases", "orders", `{"holder":"c","term":9}`)
		calls := c.daemons[0].client.Calls()
		for _, d := range c.daemons[:2] {
			d.Lease = New(d.client, "leases", "orders", d.name, pause, d, clockwork.NewRealClock(), zap.NewNop(), WithBootTime(c.elapsed), WithCandidate(func() bool { return candidates[d.name] }))
		}
		for _, d := range c.daemons[:2] {
			d.Start()
		}
		time.Sleep(takeoverAfter + pause + 2*time.Second)
		_, ok := c.daemons[1].Term()
		assert.Assert(t, ok, "the candidate has not taken over")
		assert.Assert(t, c.daemons[0].client.Calls()-calls <= 2, "%d calls by a daemon that is not a candidate", c.daemons[0].client.Calls()-calls)
		// The former holder restarts after the candidate has stopped, and finds the lease in its
		// own name.
		for _, d := range c.daemons[:2] {
			d.Stop(context.Background())
		}
		c.store.Put("leases", "orders", `{"holder":"c","term":20}`)
		restarted := c.daemons[2]
		restarted.Lease = New(restarted.client, "leases", "orders", "c", pause, restarted, clockwork.NewRealClock(), zap.NewNop(), WithBootTime(c.elapsed), WithCandidate(func() bool { return false }))
		restarted.Start()
		time.Sleep(time.Second)
		_, ok = restarted.Term()
		assert.Assert(t, ok, "the daemon did not take its own lease again")
		restarted.Stop(context.Background())
	})
}

// TestPauseIsKeptWhileHoldersRestart guards against a pause between two holders that is lost as the new one ends
// before it is over: the next one, or its own next process, would send orders at once.
func TestPauseIsKeptWhileHoldersRestart(t *testing.T) {
	const rolls = 8
	for _, tt := range []struct {
		name string
		end  func(d *daemon)
	}{
		{"stopped in turn", func(d *daemon) { d.Stop(context.Background()) }},
		{"killed in turn", (*daemon).kill},
		{"killed after its answers were lost", func(d *daemon) { d.client.LoseAnswers(2); time.Sleep(100 * time.Millisecond); d.kill() }},
	} {
		for _, gap := range []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(tt.name, " each ", gap), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, "a", "b", "c", "d")
					c.startAll()
					c.checkOrders(2 * time.Second)
					for range rolls {
						for _, d := range c.daemons {
							tt.end(d)
							c.checkOrders(gap / 3)
							d.newProcess()
							d.Start()
							c.checkOrders(gap - gap/3)
						}
						c.checkOrders(2 * pause)
					}
					c.checkOrders(10 * time.Second)
					assert.Assert(t, c.holder() != nil)
					c.stopAll()
				})
			})
		}
	}
}
