package availability

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/standin/fuzz"
	"primroseward/state/catalog"
)

func TestMain(m *testing.M) { fuzz.Main(m, 500, 40) }

// askBackoff passes a rejection that asks for a backoff.
func (d *daemon) askBackoff(r core.Runner, asked time.Duration) {
	d.ObserveAnswer(&r, core.ReplyInfo{NotRun: true, Backoff: core.Backoff{Announced: true, Duration: asked}})
}

// Guards against a backoff that ends too early or never: it lasts until the latest time that the
// runner has asked for, or core.DefaultMaxBackoff, and until a request after it is answered.
func TestEndOfABackoff(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		asks func(d *daemon, r core.Runner)
		ends time.Duration // since the start; 0: no backoff
	}{
		{"asked once", func(d *daemon, r core.Runner) { d.askBackoff(r, 3*time.Second) }, 3 * time.Second},
		{"a fraction of a second", func(d *daemon, r core.Runner) { d.askBackoff(r, 300*time.Millisecond) }, 300 * time.Millisecond},
		{"no time", func(d *daemon, r core.Runner) { d.askBackoff(r, 0) }, 0},
		{"asked again", func(d *daemon, r core.Runner) {
			d.askBackoff(r, 3*time.Second)
			time.Sleep(step)
			d.askBackoff(r, 3*time.Second)
		}, 3*time.Second + step},
		{"lengthened", func(d *daemon, r core.Runner) { d.askBackoff(r, time.Second); d.askBackoff(r, 3*time.Second) }, 3 * time.Second},
		{"shortened", func(d *daemon, r core.Runner) { d.askBackoff(r, 3*time.Second); d.askBackoff(r, time.Second) }, 3 * time.Second},
		{"too long", func(d *daemon, r core.Runner) { d.askBackoff(r, time.Hour) }, core.DefaultMaxBackoff},
		{"asked by a former instance", func(d *daemon, r core.Runner) {
			r.StartedAt = r.StartedAt.Add(-time.Second)
			d.askBackoff(r, 3*time.Second)
		}, 0},
		{"gone", func(d *daemon, r core.Runner) { d.askBackoff(r, 3*time.Second); d.Forget(r.ID) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := core.Runner{ID: "r", Service: "s", StartedAt: time.Now()}
				d := newDaemon(r)
				began := time.Now()
				tt.asks(d, r)
				for time.Since(began) < tt.ends {
					_, backedOff := d.Backoff("r")
					ok, _ := d.Admit("r")
					assert.Assert(t, backedOff && !ok, "after %v", time.Since(began))
					time.Sleep(step)
				}
				_, backedOff := d.Backoff("r")
				assert.Assert(t, !backedOff)
				ok, probe := d.Admit("r")
				assert.Assert(t, ok)
				assert.Equal(t, probe, tt.ends > 0)
			})
		})
	}
}

// Guards against many requests at once after a backoff, and against waiting forever for the
// answer to the first.
func TestFirstRequestAfterABackoff(t *testing.T) {
	r := core.Runner{ID: "r", Service: "s"}
	for _, tt := range []struct {
		name    string
		outcome func(d *daemon)
		next    bool // another request may be sent
		probe   bool // that one probes too
	}{
		{"no answer yet", func(*daemon) {}, false, false},
		{"served", func(d *daemon) { d.EndProbe("r", true) }, true, false},
		{"answer lost", func(d *daemon) { d.EndProbe("r", false) }, true, true},
		{"asks for another backoff", func(d *daemon) { d.askBackoff(r, time.Second); d.EndProbe("r", true) }, false, false},
		{"no answer for long", func(*daemon) { time.Sleep(probeTimeout) }, true, true},
		{"started again", func(d *daemon) { d.Forget("r"); d.EndProbe("r", false) }, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(r)
				d.askBackoff(r, time.Second)
				time.Sleep(time.Second)
				ok, probe := d.Admit("r")
				assert.Assert(t, ok && probe)
				tt.outcome(d)
				ok, probe = d.Admit("r")
				assert.Equal(t, ok, tt.next)
				assert.Equal(t, probe, tt.probe)
			})
		})
	}
}

// Guards against state that is kept for runners whose backoff no request has followed.
func TestBackoffsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon()
		d.askBackoff(core.Runner{ID: "r"}, time.Second)
		time.Sleep(time.Second + backoffRetention)
		d.askBackoff(core.Runner{ID: "other"}, time.Second)
		assert.Equal(t, len(*d.backoffs.Load()), 1)
	})
}

// Guards against one announcement that hides or ends another: entries, answers, messages,
// refused connections and new starts come in any order.
func TestStateUnderRandomAnnouncements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var violation string
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 40).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1500), len(steps), len(steps)).Draw(rt, "pauses")
		synctest.Test(t, func(*testing.T) {
			r := core.Runner{ID: "r", Service: "s", StartedAt: time.Now()}
			d := newDaemon(r)
			var backoffUntil time.Time
			leaving, draining := false, false
			for i, step := range steps {
				switch step {
				case 0:
					d.ObserveAnswer(&r, leavingInfo)
					leaving = true
				case 1:
					d.ApplyUpdate("other", Update{Runner: "r", Started: r.StartedAt})
					leaving = true
				case 2:
					d.ObserveAnswer(&r, core.ReplyInfo{Stamped: true})
				case 3:
					draining = !draining
					r.Draining = draining
					d.catalog.Put(r, time.Now())
				case 4:
					d.askBackoff(r, time.Second)
					backoffUntil = time.Now().Add(time.Second)
				case 5:
					if ok, probe := d.Admit("r"); ok && time.Now().Before(backoffUntil) {
						violation = "a request is admitted during a backoff"
					} else if probe {
						d.EndProbe("r", true)
					}
				case 6:
					former := r
					former.StartedAt = r.StartedAt.Add(-time.Millisecond)
					d.ObserveAnswer(&former, core.ReplyInfo{Leaving: core.Leaving{Announced: true}, Backoff: core.Backoff{Announced: true, Duration: time.Minute}})
				case 7:
					d.limits.ObserveAnswer("r", core.ReplyInfo{Limit: core.RateLimit{Announced: true, Rate: 1}})
				case 8:
					r.StartedAt, r.Draining = r.StartedAt.Add(time.Minute), false
					d.catalog.Put(r, time.Now())
					d.Forget("r")
					leaving, draining, backoffUntil = false, false, time.Time{}
				}
				s := d.State(d.catalog.Runner("r"))
				if s.Leaving != (leaving || draining) || !s.BackedOff && time.Now().Before(backoffUntil) {
					violation = s.Describe(time.Now())
				}
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
		})
		assert.Equal(rt, violation, "")
	})
}

// Guards against unreadable announcements that fill the log, or that take a runner out of use.
func TestUnreadableAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := core.Runner{ID: "r", Service: "s"}
		d := newDaemon(r)
		seen, lines := observer.New(zap.InfoLevel)
		d.log = zap.New(seen)
		for range 1000 {
			d.ObserveAnswer(&r, core.ReplyInfo{Leaving: core.ReadLeaving([]string{"yes"}), Backoff: core.ReadBackoff([]string{"soon"})})
		}
		assert.Equal(t, lines.FilterMessage(logs.AnnouncementUnreadable).Len(), 1)
		assert.Assert(t, d.State(d.catalog.Runner("r")).Accepts())
	})
}

// Operators must be able to read why a runner gets no requests.
func TestDescribe(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		state State
		want  string
	}{
		{State{}, ""},
		{State{Leaving: true}, "leaving, by its entry"},
		{State{Leaving: true, Departure: &catalog.Departure{At: now.Add(-time.Second), Source: "vm-2"}}, "leaving, heard by vm-2 1s ago"},
		{State{Leaving: true, Departure: &catalog.Departure{At: now}}, "leaving, heard by this daemon 0s ago"},
		{State{BackedOff: true, Backoff: Backoff{Until: now.Add(2 * time.Second), AskedAt: now.Add(-time.Second)}}, "backed off, 2s left, asked 1s ago"},
	} {
		assert.Equal(t, tt.state.Describe(now), tt.want)
	}
}

func BenchmarkState(b *testing.B) {
	r := core.Runner{ID: "r", Service: "s"}
	d := newDaemon(r)
	e := d.catalog.Runner("r")
	b.Run("state", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.State(e)
		}
	})
	b.Run("answer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.ObserveAnswer(&r, core.ReplyInfo{Stamped: true})
		}
	})
}
