package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
)

// Cuts, kills, starts, surges and changes of the limit in any order bring more to a runner
// than it has named, or keep a limit that has ended.
func TestLimitHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 24).Draw(t, "daemons")
		s := newLimitSim(rapid.Int64().Draw(t, "seed"), daemons, 6, 20)
		s.play(settle, nil)
		binds := s.now() + limitedSettle
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"surge", "calm", "cut", "heal", "kill", "start", "limit", "none"}).Draw(t, "event") {
			case "surge":
				s.load = 100
			case "calm":
				s.load = 3
			case "cut":
				parts := rapid.IntRange(2, 4).Draw(t, "parts")
				s.split(func(i int) int { return i % parts })
			case "heal":
				s.split(func(int) int { return 0 })
			case "kill":
				s.nodes[i].up, s.nodes[i].down = false, s.clock.Now()
			case "start":
				if !s.nodes[i].up && s.clock.Since(s.nodes[i].down) >= away {
					s.startNode(i)
				}
			case "limit":
				s.rate = rapid.SampledFrom([]float64{0, 0.1, 0.5, 2, 6, 30}).Draw(t, "rate")
				s.sent, binds = nil, s.now()+limitedSettle
			case "none":
				s.rate = -1
			}
			s.play(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause"))*turn, nil)
			if s.rate < 0 {
				continue
			}
			most, _ := s.mostFrom(binds)
			assert.Assert(t, float64(most) <= ruleOf(s.rate), "%d arrivals, limit %v", most, s.rate)
		}
		s.split(func(int) int { return 0 })
		s.rate, s.load = -1, 100
		s.play(20*time.Second, nil)
		for i, n := range s.nodes {
			_, ok := s.limit[i].Limit(limited)
			assert.Assert(t, !ok || !n.up, "daemon %d still holds the limit", i)
		}
	})
}

// alone returns one daemon's Limits, which are all that send.
func alone(clock core.Clock, opts ...LimitsOption) *Limits {
	r := NewLimits(clock, zap.NewNop(), opts...)
	r.Heard(1, 1, nil)
	return r
}

func named(rate float64) core.ReplyInfo {
	return core.ReplyInfo{Stamped: true, Limit: core.RateLimit{Named: true, Rate: rate}}
}

// A limit is kept after the runner has stopped naming it, or is dropped by an answer that
// does not tell.
func TestLimitFollowsAnswers(t *testing.T) {
	const other = "i-2"
	for _, tt := range []struct {
		name string
		do   func(r *Limits)
		want float64 // below 0: no limit
	}{
		{"named", func(*Limits) {}, 2},
		{"lower", func(r *Limits) { r.Answered(limited, named(0.5)) }, 0.5},
		{"higher", func(r *Limits) { r.Answered(limited, named(9)) }, 9},
		{"none any more", func(r *Limits) { r.Answered(limited, core.ReplyInfo{Stamped: true}) }, -1},
		{"rejection without one", func(r *Limits) { r.Answered(limited, core.ReplyInfo{NotRun: true}) }, 2},
		{"rejection with one", func(r *Limits) {
			r.Answered(limited, core.ReplyInfo{NotRun: true, Limit: core.RateLimit{Named: true, Rate: 1}})
		}, 1},
		{"answer of another runner", func(r *Limits) { r.Answered(other, core.ReplyInfo{Stamped: true}) }, 2},
		{"unreadable", func(r *Limits) {
			r.Answered(limited, core.ReplyInfo{Stamped: true, Limit: core.RateLimit{Problem: "empty"}})
		}, -1},
		{"another daemon tells a lower one", func(r *Limits) { r.Told("b", Word{Runner: limited, Limited: true, Rate: 1}) }, 1},
		{"another daemon tells that it has ended", func(r *Limits) { r.Told("b", Word{Runner: limited}) }, -1},
		{"started again, or its address given away", func(r *Limits) { r.Forget(limited) }, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := alone(clockwork.NewFakeClock())
			r.Answered(limited, named(2))
			tt.do(r)
			got, ok := r.Limit(limited)
			assert.Equal(t, ok, tt.want >= 0)
			assert.Assert(t, !ok || got.Rate == tt.want, "%v", got.Rate)
			_, ok = r.Limit(other)
			assert.Assert(t, !ok)
		})
	}
}

// A runner that names next to nothing gets nothing at all, so that nobody learns when its
// limit has ended.
func TestLowLimitsAreTriedNowAndThen(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 0.5} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := alone(clock)
			r.Answered(limited, named(rate))
			let := 0
			for range 20 * 10 {
				clock.Advance(100 * time.Millisecond)
				if r.Take(limited, 0).OK {
					let++
				}
			}
			assert.Assert(t, let >= 2 && let <= 14, "%d in 20 s", let)
		})
	}
}

// Urgent requests are refused as often as others while a runner takes few.
func TestUrgentRequestsGoFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := alone(clock)
	r.Answered(limited, named(4))
	let := [2]int{}
	for range 600 {
		clock.Advance(50 * time.Millisecond)
		for rank := range let {
			if a := r.Take(limited, rank); a.OK {
				let[rank]++
			} else {
				assert.Assert(t, a.Retry >= leastRetry && a.Retry <= 2*mostRetry)
			}
		}
	}
	assert.Assert(t, let[0] > 2*let[1], "%v", let)
	assert.Assert(t, let[0]+let[1] >= 96 && let[0]+let[1] <= 126, "%v in 30 s of 4 a second", let)
}

// Requests that other runners could serve use up a limit that some can't do without.
func TestSpareRequestsLeaveRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := alone(clock)
	r.Answered(limited, named(2))
	spare := 0
	for range 400 {
		clock.Advance(50 * time.Millisecond)
		if l, _ := r.Limit(limited); l.Spare && r.TakeSpare(limited, 0).OK {
			spare++
		}
	}
	assert.Assert(t, spare >= 10 && spare <= 42, "%d in 20 s of 2 a second", spare)
}

// A daemon tells all others of each answer of a limited runner.
func TestLimitsAreToldSparingly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var told []Word
	r := alone(clock, WithTell(func(w Word) { told = append(told, w) }))
	for i := range 100 { // over 2 s
		r.Answered(limited, named(float64(2+i%2)))
		clock.Advance(20 * time.Millisecond)
	}
	assert.Assert(t, len(told) >= 2 && len(told) <= 11, "%d", len(told))
	r.Answered(limited, core.ReplyInfo{Stamped: true})
	assert.Equal(t, told[len(told)-1], Word{Runner: limited})
}

// BenchmarkLimit is what limits cost a request: to a runner without one while there are
// others with one, and to a limited one.
func BenchmarkLimit(b *testing.B) {
	r := alone(clockwork.NewRealClock())
	r.Answered(limited, named(1e5))
	for _, id := range []string{"i-2", limited} {
		b.Run(id, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, ok := r.Limit(id); ok {
						r.Take(id, 0)
					}
				}
			})
		})
	}
}

// A rate of the settings is divided evenly among the daemons, though callers come to few of
// them.
func TestSettingsRateIsSharedByUse(t *testing.T) {
	const rate, daemons = 20.0, 8
	s := newLimitSim(1, daemons, -1, 0)
	s.play(settle, nil)
	let := 0
	s.play(20*time.Second, func(time.Duration) {
		for range 2 { // 100 a second, all at one daemon
			if s.limit[0].TakeSetting("/service/s", rate).OK {
				let++
			}
		}
	})
	assert.Assert(t, let >= 300 && let <= 430, "%d in 20 s at 20 a second", let)
}
