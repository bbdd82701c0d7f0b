package load

import (
	"time"

	"primroseward/core"
)

const (
	// statedFor is how long a runner counts as one that states its pace. It states it at the beginning of an
	// answer; streams last a second or two.
	statedFor = 5 * time.Second
	// usualQuantile is the part of all steps of a service that are shorter than the usual one. Prompts that are
	// read between two steps, full batches and slow machines only lengthen steps.
	usualQuantile = 0.2
	// minUsualGain is the part by which a new step moves the usual one at least; the first steps move it more. The
	// steps of a runner that is slow for 600 ms must hardly move it.
	minUsualGain = 0.005
	// minSteps is how many steps are needed for an estimate of the usual one.
	minSteps = 100
	// recentSteps is the number of latest steps of a runner of which the shortest gives its pace: a prompt that is
	// read, or a pause of this daemon, lengthens one step.
	recentSteps = 3
	// minSlowRatio is the ratio to the usual step below which a runner counts as usual: steps differ by a half
	// with the size of the batch, and slow machines take 2.5 times as long.
	minSlowRatio = 1.5
	// maxMeasuredPace bounds a measured pace. Streams that stand still have other causes than a slow machine.
	maxMeasuredPace = 10
)

// steps measures the time from one event of a stream to the next, from which the paces of runners follow that
// state none. The table's lock guards it.
type steps struct {
	usual  map[string]usualStep // by service
	recent map[string]*recent   // by runner
}

// usualStep estimates a low quantile of a service's steps.
type usualStep struct {
	step  float64 // in seconds
	count int
}

// recent holds the latest steps of a runner.
type recent struct {
	steps [recentSteps]float64 // in seconds
	at    [recentSteps]time.Time
	next  int
}

func newSteps() steps { return steps{usual: map[string]usualStep{}, recent: map[string]*recent{}} }

// ObserveStep records the time from one event of a stream to the next at a runner. It counts as the runner's pace
// if the runner states none.
func (t *Table) ObserveStep(service, runner string, step time.Duration) {
	if step <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	pace := t.steps.observe(service, runner, step.Seconds(), now)
	if stated, ok := t.paces.stated[runner]; pace > 0 && (!ok || now.Sub(stated) >= statedFor) {
		t.paces.hear(runner, pace, now)
	}
}

// observe records a step and returns the runner's pace, 0 if it is not known.
func (s *steps) observe(service, runner string, step float64, now time.Time) float64 {
	u := s.usual[service]
	u.count++
	gain := max(minUsualGain, 1/float64(u.count))
	switch {
	case u.count == 1:
		u.step = step
	case step < u.step:
		u.step *= 1 - gain*(1-usualQuantile)
	default:
		u.step *= 1 + gain*usualQuantile
	}
	s.usual[service] = u
	r := s.recent[runner]
	if r == nil {
		r = &recent{}
		s.recent[runner] = r
	}
	r.steps[r.next], r.at[r.next] = step, now
	r.next = (r.next + 1) % recentSteps
	if u.count < minSteps {
		return 0
	}
	shortest := step
	for i, at := range r.at {
		if now.Sub(at) >= core.PaceTTL {
			return 0 // too few steps of late
		}
		shortest = min(shortest, r.steps[i])
	}
	if ratio := shortest / u.step; ratio >= minSlowRatio {
		return min(ratio, maxMeasuredPace)
	}
	return 1
}
