package allowance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// usual is the share of a workspace's allowance that it uses as a rule.
const usual = 0.556

// owner makes a workspace that uses its allowance as its load says.
func owner(name string, rate float64, load func(time.Duration) float64) *user {
	return &user{Workspace: &core.Workspace{Name: name, Rate: rate, Burst: rate}, size: 1000, load: load}
}

// cases are loads and faults of a fleet: rate is the workspace's allowance, load what it
// asks for, do what happens to the daemons.
var cases = []struct {
	name  string
	rate  float64
	load  func(rate float64) func(time.Duration) float64
	where func(n int) int
	do    func(s *sim) func(at time.Duration)
	calm  float64 // most that may be refused of what is owed, in a fleet in touch; 0: not checked
}{
	{"calm", 270e3, func(r float64) func(time.Duration) float64 { return steady(usual * r) }, nil, nil, 0.02},
	{"calm, small", 1900, func(r float64) func(time.Duration) float64 { return steady(usual * r) }, nil, nil, 0.05},
	{"at few daemons", 100e3, func(r float64) func(time.Duration) float64 { return steady(usual * r) }, func(n int) int { return min(1, n-1) }, nil, 0.02},
	{"hot", 270e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 7.5, 10*time.Second, 12*time.Second) }, nil, nil, 0},
	{"hot, small", 1900, func(r float64) func(time.Duration) float64 { return hot(usual*r, 7.5, 10*time.Second, 12*time.Second) }, nil, nil, 0},
	{"hot at few daemons", 100e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 7.5, 10*time.Second, 12*time.Second) }, func(n int) int { return min(1, n-1) }, nil, 0},
	{"hot, then a third is cut off", 270e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 6, 10*time.Second, 20*time.Second) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			s.splitBetween(at, 14*time.Second, 24*time.Second, func(i int) int { return min(1, i%3) })
		}
	}, 0},
	{"a third is cut off, then hot", 270e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 6, 14*time.Second, 12*time.Second) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			s.splitBetween(at, 10*time.Second, 26*time.Second, func(i int) int { return min(1, i%3) })
		}
	}, 0},
	{"each hears nobody, then hot", 270e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 6, 14*time.Second, 12*time.Second) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			s.splitBetween(at, 10*time.Second, 26*time.Second, func(i int) int { return i })
		}
	}, 0},
	{"hot, and all start again", 270e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 6, 10*time.Second, 20*time.Second) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			for _, n := range s.nodes {
				s.restart(n, at, 16*time.Second)
			}
		}
	}, 0},
	{"calm, and all start again", 270e3, func(r float64) func(time.Duration) float64 { return steady(usual * r) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			for _, n := range s.nodes {
				s.restart(n, at, 16*time.Second)
			}
		}
	}, 0.03},
	{"hot, and one by one starts again", 270e3, func(r float64) func(time.Duration) float64 { return hot(usual*r, 6, 10*time.Second, 20*time.Second) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			for i, n := range s.nodes {
				s.restart(n, at, 12*time.Second+time.Duration(i)*time.Second)
			}
		}
	}, 0},
	{"half are gone for good", 270e3, func(r float64) func(time.Duration) float64 { return steady(usual * r) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			if at == 12*time.Second {
				for i := range s.nodes {
					if i%2 == 0 {
						s.nodes[i].up, s.nodes[i].down = false, s.clock.Now()
					}
				}
				for _, u := range s.users {
					u.where = func(n int) int { return 2*s.rand.Intn(n/2) + 1 }
				}
			}
		}
	}, 0},
	{"the limit falls far below the load", 270e3, func(r float64) func(time.Duration) float64 { return steady(usual * r) }, nil, func(s *sim) func(time.Duration) {
		return func(at time.Duration) {
			if at == 12*time.Second {
				for _, u := range s.users {
					w := *u.Workspace
					w.Rate, w.Burst = w.Rate/6, w.Burst/6
					u.Workspace, u.in, u.left = &w, nil, min(u.left, w.Burst)
				}
				for _, n := range s.nodes {
					s.configure(n)
				}
			}
		}
	}, 0},
}

// A workspace uses more than its allowance over all daemons, whatever becomes of these; or
// what it may use is refused.
func TestAllowanceHolds(t *testing.T) {
	for _, tt := range cases {
		for _, way := range []struct {
			name string
			opts []Option
		}{{"pool", nil}, {"even parts", []Option{WithEvenParts()}}} {
			for _, daemons := range []int{8, 71, 300} {
				t.Run(fmt.Sprintf("%s, %s, %d daemons", tt.name, way.name, daemons), func(t *testing.T) {
					u := owner("w", tt.rate, tt.load(tt.rate))
					u.where = tt.where
					s := newSim(1, daemons, []*user{u}, way.opts...)
					var each func(time.Duration)
					if tt.do != nil {
						each = tt.do(s)
					}
					s.run(36*time.Second, each)
					t.Logf("most %.2f of the bound; let in %.3f of what is owed, refused %.3f of it", u.most(), u.let(), u.refused())
					assert.Check(t, u.most() <= 1, "%.2f of the bound", u.most())
					if tt.calm > 0 && way.opts == nil {
						assert.Check(t, u.refused() <= tt.calm, "%.3f refused", u.refused())
					}
				})
			}
		}
	}
}
