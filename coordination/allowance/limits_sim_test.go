package allowance

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/core"
)

const (
	limited = "i-1"
	// limitedSpan is over which arrivals at a limited runner are counted, limitedSettle the
	// time from its first naming a limit until they are.
	limitedSpan   = 4 * time.Second
	limitedSettle = 3 * time.Second
	// wordLag is how old a message on a limit is when it arrives.
	wordLag = 60 * time.Millisecond
)

// limitSim is a fleet that sends to one runner, which names a limit.
type limitSim struct {
	*sim
	opts  []Option
	rate  float64 // that the runner names; below 0: none
	load  float64 // requests a second that no other runner can serve
	where func(at time.Duration, n int) int
	limit []*Limits
	sent  []time.Duration // arrivals
	asked int
	words []lateWord
}

// lateWord is a message on its way.
type lateWord struct {
	at   time.Duration
	from int
	word Word
}

func newLimitSim(seed int64, daemons int, rate, load float64, opts ...Option) *limitSim {
	s := &limitSim{sim: newSim(seed, daemons, nil), rate: rate, load: load, opts: opts}
	s.where = func(_ time.Duration, n int) int { return s.rand.Intn(n) }
	s.limit = make([]*Limits, daemons)
	for i := range s.nodes {
		s.startNode(i)
	}
	return s
}

// startNode starts a daemon, which knows nothing.
func (s *limitSim) startNode(i int) {
	pool := append([]Option{WithDraw(s.rand.Float64)}, s.opts...)
	s.limit[i] = NewLimits(s.clock, zap.NewNop(), WithPool(pool...), WithTell(func(w Word) {
		s.words = append(s.words, lateWord{s.now() + wordLag, i, w})
	}))
	n := s.nodes[i]
	n.pool, n.up, n.words = s.limit[i].pool, true, nil
}

// info is what the runner's answers say.
func (s *limitSim) info() core.ReplyInfo {
	out := core.ReplyInfo{Stamped: true}
	if s.rate >= 0 {
		out.Limit = core.RateLimit{Named: true, Rate: s.rate}
	}
	return out
}

// play lets time pass; each is called at each moment.
func (s *limitSim) play(long time.Duration, each func(at time.Duration)) {
	s.run(long, func(at time.Duration) {
		if each != nil {
			each(at)
		}
		if at%turn == 0 {
			for i, n := range s.nodes {
				if n.up {
					s.limit[i].flush()
				}
			}
		}
		s.deliver(at)
		for want := s.load * step.Seconds(); want > 0; want-- {
			if want < 1 && s.rand.Float64() >= want {
				break
			}
			s.send(at, s.where(at, len(s.nodes)))
		}
	})
}

// deliver brings the messages that have arrived to those of the same part.
func (s *limitSim) deliver(at time.Duration) {
	rest := s.words
	s.words = nil
	for _, w := range rest {
		if w.at > at {
			s.words = append(s.words, w)
			continue
		}
		for i, n := range s.nodes {
			if i != w.from && n.up && s.part(i) == s.part(w.from) {
				s.limit[i].Told(fmt.Sprint(w.from), w.word)
			}
		}
	}
}

// send has a caller of a daemon ask for the runner.
func (s *limitSim) send(at time.Duration, i int) {
	s.asked++
	if !s.nodes[i].up || !s.limit[i].Take(limited, 0).OK {
		return
	}
	s.sent = append(s.sent, at)
	s.limit[i].Answered(limited, s.info())
}

// mostFrom is the most that arrived within limitedSpan from a time on, and count how many
// did in all.
func (s *limitSim) mostFrom(from time.Duration) (most, count int) {
	first := 0
	for i, at := range s.sent {
		if at < from {
			first = i + 1
			continue
		}
		for at-s.sent[first] >= limitedSpan {
			first++
		}
		count++
		most = max(most, i-first+1)
	}
	return most, count
}

// ruleOf is the most that may arrive within limitedSpan at a runner that names a rate.
func ruleOf(rate float64) float64 { return 1.5*rate*limitedSpan.Seconds() + 5 }

// callers are daemons that callers come to.
var callers = []struct {
	name  string
	where func(s *limitSim) func(at time.Duration, n int) int
}{
	{"any daemon", func(s *limitSim) func(time.Duration, int) int {
		return func(_ time.Duration, n int) int { return s.rand.Intn(n) }
	}},
	{"one daemon", func(*limitSim) func(time.Duration, int) int {
		return func(time.Duration, int) int { return 0 }
	}},
	{"two daemons, others every two seconds", func(s *limitSim) func(time.Duration, int) int {
		return func(at time.Duration, n int) int { return (2*int(at/(2*time.Second)) + s.rand.Intn(2)) % n }
	}},
}

// A limited runner gets more from all daemons together than it has named, or is left idle
// because its part of the limit lies with daemons that no caller comes to.
func TestLimitIsKeptAndUsed(t *testing.T) {
	const long = 30 * time.Second
	for _, daemons := range []int{3, 8, 20, 100, 300} {
		for _, rate := range []float64{0.5, 2, 6, 30} {
			if daemons > 20 && rate != 6 {
				continue
			}
			for _, from := range callers {
				for _, times := range []float64{0.5, 2, 10} {
					t.Run(fmt.Sprintf("%d daemons, %v a second, %s, asked %v times", daemons, rate, from.name, times), func(t *testing.T) {
						row := func(opts ...Option) (most, count int, due float64) {
							s := newLimitSim(1, daemons, -1, times*rate, opts...)
							s.where = from.where(s)
							s.play(settle, nil)
							s.rate = rate
							began := s.now()
							s.play(limitedSettle, nil)
							s.asked = 0
							s.play(long, nil)
							most, count = s.mostFrom(began + limitedSettle)
							return most, count, min(float64(s.asked), rate*long.Seconds())
						}
						most, count, due := row()
						partMost, partCount, partDue := row(WithEvenParts())
						bound := ruleOf(rate)
						t.Logf("most in 4 s, share of the rule's: %.2f (even parts %.2f); share of the limit used: %.2f (even parts %.2f)",
							float64(most)/bound, float64(partMost)/bound, float64(count)/due, float64(partCount)/partDue)
						assert.Assert(t, float64(most) <= bound, "%d arrivals", most)
						assert.Assert(t, float64(count) <= rate*long.Seconds()+rateOfRunner(limited, rate).depth+1, "%d arrivals in %v", count, long)
						assert.Assert(t, float64(count) >= 0.8*due-2, "%d arrivals of %.0f", count, due)
					})
				}
			}
		}
	}
}

// All other runners end or fill up at once, and each daemon lets through what the limit has
// left before it hears of the others.
func TestSurgeAtALimitedRunner(t *testing.T) {
	for _, daemons := range []int{2, 8, 20} {
		for _, rate := range []float64{0.5, 2, 6, 30} {
			t.Run(fmt.Sprintf("%d daemons, %v a second", daemons, rate), func(t *testing.T) {
				worst, sum := 0.0, 0
				const seeds, long = 5, 8 * time.Second
				for seed := range int64(seeds) {
					s := newLimitSim(seed, daemons, rate, rate/2)
					s.play(settle+limitedSettle, nil)
					from := s.now()
					s.load = 16 * rate
					s.play(long, nil)
					most, count := s.mostFrom(from - limitedSpan)
					worst = max(worst, float64(most)/ruleOf(rate))
					sum += count
				}
				t.Logf("most in 4 s, share of the rule's: %.2f; used %.2f", worst, float64(sum)/(rate*seeds*(long+limitedSpan).Seconds()))
				assert.Assert(t, worst <= 1, "%.2f of the rule's", worst)
			})
		}
	}
}
