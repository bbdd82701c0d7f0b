package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// herd plays daemons that send requests to a few runners by loads that are told now and
// then. It returns the share of requests that found their runner with all slots taken.
type herd struct {
	daemons, runners, slots int
	rate                    float64       // requests a second, of all daemons
	lasts, told             time.Duration // a request; between two words of the loads
}

func (h herd) full(spread float64) float64 {
	const step = 5 * time.Millisecond
	type request struct {
		runner, daemon int
		ends           time.Duration
	}
	total := make([]int, h.runners)
	own := make([][]int, h.daemons)
	ownTold := make([][]int, h.daemons)
	for i := range own {
		own[i], ownTold[i] = make([]int, h.runners), make([]int, h.runners)
	}
	said := make([]int, h.runners)
	var running []request
	due, sent, late, next := 0.0, 0, 0, 0
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for len(running) > 0 && running[0].ends <= now {
			total[running[0].runner]--
			own[running[0].daemon][running[0].runner]--
			running = running[1:]
		}
		if now%h.told == 0 {
			copy(said, total)
			for i := range own {
				copy(ownTold[i], own[i])
			}
		}
		for due += h.rate * step.Seconds(); due >= 1; due-- {
			daemon := next % h.daemons
			next += 7
			candidates := make([]Candidate, h.runners)
			for r := range candidates {
				others := said[r] - ownTold[daemon][r]
				candidates[r] = Candidate{ID: fmt.Sprint(r), Slots: h.slots, Requests: others + own[daemon][r], SamePlace: true}
			}
			r := Choose(candidates, Ask{Engine: true, Queue: maxQueue, Spread: spread})
			if r < 0 {
				continue
			}
			if total[r] >= h.slots {
				late++
			}
			sent++
			total[r]++
			own[daemon][r]++
			running = append(running, request{r, daemon, now + h.lasts})
		}
	}
	return float64(late) / float64(sent)
}

// Eighty-five daemons know the loads of six runners as they were up to 0.4 s ago. All
// send to the one that was the least busy: it gets more than its slots, and its
// requests wait, while half of all slots are free.
func TestDaemonsDoNotAllChooseAlike(t *testing.T) {
	h := herd{daemons: 85, runners: 6, slots: 32, rate: 90, lasts: 1500 * time.Millisecond, told: 400 * time.Millisecond}
	assert.Assert(t, h.full(0) > 0.05, "the pattern shows: %.3f", h.full(0))
	got := h.full(Spread(h.daemons))
	assert.Assert(t, got < 0.01, "%.3f found their runner full", got)
}

// Daemons that tell each other each request choose the least busy runner.
func TestSmallFleetsChooseTheLeastBusy(t *testing.T) {
	assert.Equal(t, Spread(directDaemons), 0.0)
	candidates := []Candidate{{ID: "a", Slots: 32, Requests: 5, SamePlace: true}, {ID: "b", Slots: 32, Requests: 4, SamePlace: true}}
	for range 100 {
		assert.Equal(t, Choose(candidates, Ask{Engine: true, Queue: maxQueue, Spread: Spread(8)}), 1)
	}
}
