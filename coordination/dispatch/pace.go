package dispatch

import (
	"time"

	"primroseward/core"
)

// maxReadDelay is the longest time after an event after which the stream waits for the next one, so that a step is
// measured. If the caller reads slowly, the next event may have arrived long before it is read.
const maxReadDelay = 5 * time.Millisecond

// observePace applies the pace that an answer of a runner states.
func (d *Dispatcher) observePace(r *core.Runner, l core.Load) {
	if l.Problem != "" {
		d.metrics.malformedPace()
	}
	if l.Pace > 0 && d.isCurrent(r) {
		d.loads.SetStatedPace(r.ID, l.Pace)
	}
}

// isCurrent reports whether r is, as far as is known, the present instance of its runner.
func (d *Dispatcher) isCurrent(r *core.Runner) bool {
	e := d.catalog.Runner(r.ID)
	return e == nil || e.StartedAt.Equal(r.StartedAt)
}

// hasEnded reports whether the process of a runner has ended, as far as the store's list shows.
func (d *Dispatcher) hasEnded(r *core.Runner) bool {
	e := d.catalog.Runner(r.ID)
	return e == nil || !e.StartedAt.Equal(r.StartedAt)
}

// observeStep records how long the runner took for each of the events that a read has brought, for which the
// stream has waited since began.
func (s *stream) observeStep(began time.Time, events int) {
	d := s.j.d
	if events == 0 || isDaemon(s.runner) || !d.balanced() {
		return
	}
	if last := s.lastAt; s.stepped && began.Sub(last) <= maxReadDelay && d.isCurrent(s.runner) {
		d.loads.ObserveStep(s.j.service, s.runner.ID, d.clock.Now().Sub(last)/time.Duration(events))
	}
	s.stepped = true
}
