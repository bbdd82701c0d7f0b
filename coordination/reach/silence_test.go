package reach

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/coordination/load"
	"primroseward/core"
)

// silentChecker checks runners that accept connections and may be silent on them.
type silentChecker struct{ silent func(runner string) bool }

func (c silentChecker) Check(ctx context.Context, r *core.Runner, _ string) error {
	if c.silent(r.ID) {
		<-ctx.Done()
		return core.ErrAnswerLost
	}
	return nil
}

// otherDaemons are daemons that each have a table of their own.
type otherDaemons []*load.Table

func (o otherDaemons) AnsweredWithin(context.Context, string, time.Duration) PeerView {
	return PeerView{}
}

func (o otherDaemons) HeardWithin(_ context.Context, runners []string, d time.Duration) []load.Heard {
	out := make([]load.Heard, 0, len(o))
	for _, l := range o {
		out = append(out, l.HeardWithin(runners, d))
	}
	return out
}

// Guards against a daemon that takes the silence of runners which go on after a second for the loss of its
// own path, and against one that takes a loss of its path for such a silence.
func TestSilenceOfRunners(t *testing.T) {
	const (
		silence       = 1200 * time.Millisecond
		interval      = 10 * time.Millisecond
		plainInterval = 300 * time.Millisecond // above maxSilence, so that checks are made
	)
	models, plain := []string{"m0", "m1", "m2", "m3"}, []string{"p0", "p1", "p2", "p3"}
	every := slices.Concat(models, plain)
	for _, tt := range []struct {
		name   string
		used   []string // runners that daemons have streams at
		idle   []string // further runners without any
		hung   []string // runners that send nothing to this daemon
		silent []string // those of them that send nothing to the others either
		cut    int      // other daemons that receive nothing either
		alone  bool     // there are no other daemons
		failed string   // runner that did not answer a check in an earlier silence
		lost   bool
		late   bool // it takes a second round of checks to find it
	}{
		{name: "three of four, the fourth failed a check before", used: []string{"m0", "m1", "m2", "p0", "p1"}, idle: models[3:], hung: models[:3], silent: models[:3], failed: "m3"},
		{name: "three of four, the fourth is idle, no other runner sends", used: models[:3], idle: models[3:], hung: models[:3], silent: models[:3], failed: "m3"},
		{name: "all that may be checked", used: every, hung: models, silent: models},
		{name: "all that may be checked, no other daemon", used: every, hung: models, silent: models, alone: true},
		{name: "all", used: every, hung: every, silent: every},
		{name: "all, a single daemon", used: every, hung: every, silent: every, alone: true, lost: true},
		{name: "lost path", used: every, hung: every, lost: true},
		{name: "lost path of five of six", used: every, hung: every, cut: 4, lost: true},
		{name: "lost path to all that may be checked", used: every, hung: models, lost: true},
		{name: "lost path, three runners are silent for the others too", used: every, hung: every, silent: models[:3], lost: true, late: true},
		{name: "lost path, the others are idle there", used: plain, idle: models, hung: every, cut: 4, lost: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				tables := make([]*load.Table, 6)
				for i := range tables {
					tables[i] = load.New(clock)
				}
				targets := func() []Target {
					var out []Target
					for _, id := range models {
						out = append(out, Target{Runner: core.Runner{ID: id}, Path: "/"})
					}
					return out
				}
				var hung, lost atomic.Bool
				var opts []Option
				if !tt.alone {
					opts = append(opts, WithPeers(otherDaemons(tables[1:])))
				}
				opts = append(opts, WithOnChange(func(now bool) { lost.Store(lost.Load() || now) }))
				m := New(tables[0], silentChecker{func(r string) bool { return hung.Load() && slices.Contains(tt.hung, r) }}, targets, clock, zap.NewNop(), opts...)
				m.Start()
				defer m.Stop()
				send := func(d time.Duration) {
					for step := range d / interval {
						for i, l := range tables {
							for _, r := range tt.used {
								stopped := tt.silent
								if i <= tt.cut {
									stopped = tt.hung
								}
								if slices.Contains(plain, r) && step%(plainInterval/interval) != 0 {
									continue
								}
								if !hung.Load() || !slices.Contains(stopped, r) {
									l.RecordActivity(r)
								}
							}
						}
						time.Sleep(interval)
					}
				}
				for _, l := range tables {
					for _, r := range tt.used {
						l.Begin(r)
						l.RecordActivity(r)
					}
					for _, r := range tt.idle {
						l.RecordActivity(r)
					}
				}
				if tt.failed != "" {
					tables[0].RecordPathFailure(tt.failed)
				}
				send(2500 * time.Millisecond)
				hung.Store(true)
				if tt.lost {
					if tt.late {
						send(checkInterval + checkTimeout + pollInterval)
					}
					send(plainInterval + maxSilence + checkTimeout + 2*pollInterval)
					assert.Assert(t, lost.Load(), "it is found as fast as without other daemons")
					return
				}
				send(silence)
				hung.Store(false)
				send(time.Second)
				assert.Assert(t, !lost.Load(), "silent: %v", tt.silent)
			})
		})
	}
}
