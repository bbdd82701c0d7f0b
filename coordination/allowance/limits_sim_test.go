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
	limitedRunner = "i-1"
	// arrivalWindow is the window in which arrivals at a limited runner are counted. They are
	// checked limitSettle after the runner first declares a limit.
	arrivalWindow = 4 * time.Second
	limitSettle   = 3 * time.Second
	// updateLag is the delay of an update on a limit.
	updateLag = 60 * time.Millisecond
)

// limitSim is a fleet that sends to one runner, which declares a limit.
type limitSim struct {
	*sim
	opts      []Option
	rate      float64 // declared by the runner; below 0: none
	load      float64 // requests per second that no other runner can serve
	daemonFor func(at time.Duration, n int) int
	limits    []*Limits
	arrivals  []time.Duration // times of the arrivals at the runner
	requests  int
	updates   []delayedUpdate
}

// delayedUpdate is an update in transit.
type delayedUpdate struct {
	at     time.Duration
	from   int
	update LimitUpdate
}

func newLimitSim(seed int64, daemons int, rate, load float64, opts ...Option) *limitSim {
	s := &limitSim{sim: newSim(seed, daemons, nil), rate: rate, load: load, opts: opts}
	s.daemonFor = func(_ time.Duration, n int) int { return s.rand.Intn(n) }
	s.limits = make([]*Limits, daemons)
	for i := range s.nodes {
		s.startNode(i)
	}
	return s
}

// startNode starts a daemon without any state.
func (s *limitSim) startNode(i int) {
	pool := append([]Option{WithRandom(s.rand.Float64)}, s.opts...)
	s.limits[i] = NewLimits(s.clock, zap.NewNop(), WithPool(pool...), WithBroadcast(func(w LimitUpdate) {
		s.updates = append(s.updates, delayedUpdate{s.now() + updateLag, i, w})
	}))
	n := s.nodes[i]
	n.pool, n.up, n.reports = s.limits[i].pool, true, nil
}

// answerInfo returns what the runner's answers declare.
func (s *limitSim) answerInfo() core.ReplyInfo {
	out := core.ReplyInfo{Stamped: true}
	if s.rate >= 0 {
		out.Limit = core.RateLimit{Announced: true, Rate: s.rate}
	}
	return out
}

// runLimited advances the time; onStep is called at each step.
func (s *limitSim) runLimited(duration time.Duration, onStep func(at time.Duration)) {
	s.run(duration, func(at time.Duration) {
		if onStep != nil {
			onStep(at)
		}
		if at%reportInterval == 0 {
			for i, n := range s.nodes {
				if n.up {
					s.limits[i].flush()
				}
			}
		}
		s.deliver(at)
		for due := s.load * step.Seconds(); due > 0; due-- {
			if due < 1 && s.rand.Float64() >= due {
				break
			}
			s.send(at, s.daemonFor(at, len(s.nodes)))
		}
	})
}

// deliver passes the updates that are due to the daemons in the same partition.
func (s *limitSim) deliver(at time.Duration) {
	rest := s.updates
	s.updates = nil
	for _, w := range rest {
		if w.at > at {
			s.updates = append(s.updates, w)
			continue
		}
		for i, n := range s.nodes {
			if i != w.from && n.up && s.partitionOf(i) == s.partitionOf(w.from) {
				s.limits[i].ApplyUpdate(fmt.Sprint(w.from), w.update)
			}
		}
	}
}

// send sends a request for the runner to a daemon.
func (s *limitSim) send(at time.Duration, i int) {
	s.requests++
	if !s.nodes[i].up || !s.limits[i].Take(limitedRunner, 0).OK {
		return
	}
	s.arrivals = append(s.arrivals, at)
	s.limits[i].ObserveAnswer(limitedRunner, s.answerInfo())
}

// peakArrivals returns the most arrivals within any arrivalWindow from the given time on, and
// the count of all arrivals since.
func (s *limitSim) peakArrivals(from time.Duration) (most, count int) {
	first := 0
	for i, at := range s.arrivals {
		if at < from {
			first = i + 1
			continue
		}
		for at-s.arrivals[first] >= arrivalWindow {
			first++
		}
		count++
		most = max(most, i-first+1)
	}
	return most, count
}

// maxArrivals returns the most arrivals within arrivalWindow that the rule allows for a
// declared rate.
func maxArrivals(rate float64) float64 { return 1.5*rate*arrivalWindow.Seconds() + 5 }

// callerPatterns are the ways in which callers choose daemons.
var callerPatterns = []struct {
	name      string
	daemonFor func(s *limitSim) func(at time.Duration, n int) int
}{
	{"any daemon", func(s *limitSim) func(time.Duration, int) int {
		return func(_ time.Duration, n int) int { return s.rand.Intn(n) }
	}},
	{"one daemon", func(*limitSim) func(time.Duration, int) int {
		return func(time.Duration, int) int { return 0 }
	}},
	{"two daemons, a new pair every two seconds", func(s *limitSim) func(time.Duration, int) int {
		return func(at time.Duration, n int) int { return (2*int(at/(2*time.Second)) + s.rand.Intn(2)) % n }
	}},
}

// Guards against a limited runner that gets more requests from all daemons together than it
// has declared, or that is left idle because part of the limit belongs to daemons without
// callers.
func TestLimitIsEnforcedAndUsed(t *testing.T) {
	const duration = 30 * time.Second
	for _, daemons := range []int{3, 8, 20, 100, 300} {
		for _, rate := range []float64{0.5, 2, 6, 30} {
			if daemons > 20 && rate != 6 {
				continue
			}
			for _, callers := range callerPatterns {
				for _, demand := range []float64{0.5, 2, 10} {
					t.Run(fmt.Sprintf("%d daemons, limit %v per second, callers at %s, demand %v times the limit", daemons, rate, callers.name, demand), func(t *testing.T) {
						measure := func(opts ...Option) (most, count int, due float64) {
							s := newLimitSim(1, daemons, -1, demand*rate, opts...)
							s.daemonFor = callers.daemonFor(s)
							s.runLimited(settleTime, nil)
							s.rate = rate
							declared := s.now()
							s.runLimited(limitSettle, nil)
							s.requests = 0
							s.runLimited(duration, nil)
							most, count = s.peakArrivals(declared + limitSettle)
							return most, count, min(float64(s.requests), rate*duration.Seconds())
						}
						most, count, due := measure()
						partMost, partCount, partDue := measure(WithEvenParts())
						bound := maxArrivals(rate)
						t.Logf("peak in 4 s relative to the rule: %.2f (even parts %.2f); used part of the limit: %.2f (even parts %.2f)",
							float64(most)/bound, float64(partMost)/bound, float64(count)/due, float64(partCount)/partDue)
						assert.Assert(t, float64(most) <= bound, "%d arrivals", most)
						assert.Assert(t, float64(count) <= rate*duration.Seconds()+runnerParams(limitedRunner, rate).depth+1, "%d arrivals in %v", count, duration)
						assert.Assert(t, float64(count) >= 0.8*due-2, "%d arrivals, %.0f due", count, due)
					})
				}
			}
		}
	}
}

// All other runners exit or fill up at once, so that each daemon admits the whole rest of the
// bucket before it receives the peers' reports. Arrivals must still stay within the rule.
func TestSurgeAtLimitedRunner(t *testing.T) {
	for _, daemons := range []int{2, 8, 20} {
		for _, rate := range []float64{0.5, 2, 6, 30} {
			t.Run(fmt.Sprintf("%d daemons, limit %v per second", daemons, rate), func(t *testing.T) {
				worst, sum := 0.0, 0
				const seeds, duration = 5, 8 * time.Second
				for seed := range int64(seeds) {
					s := newLimitSim(seed, daemons, rate, rate/2)
					s.runLimited(settleTime+limitSettle, nil)
					from := s.now()
					s.load = 16 * rate
					s.runLimited(duration, nil)
					most, count := s.peakArrivals(from - arrivalWindow)
					worst = max(worst, float64(most)/maxArrivals(rate))
					sum += count
				}
				t.Logf("peak in 4 s relative to the rule: %.2f; used part of the limit: %.2f", worst, float64(sum)/(rate*seeds*(duration+arrivalWindow).Seconds()))
				assert.Assert(t, worst <= 1, "peak is %.2f of what the rule allows", worst)
			})
		}
	}
}
