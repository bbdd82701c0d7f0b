package load

import (
	"time"

	"primroseward/core"
)

// paces holds how long work takes at the runners. The table's lock guards it.
type paces struct {
	heard    map[string]core.PaceReport    // that this daemon has heard or measured, by runner
	fleet    map[core.Code]core.PaceReport // that other daemons have heard
	unsent   map[core.Code]core.PaceReport // heard since the latest report to other daemons
	restarts map[core.Code]time.Time       // when a runner was last found to have started again or to be gone
	stated   map[string]time.Time          // when a runner last stated its pace
}

func newPaces() paces {
	return paces{heard: map[string]core.PaceReport{}, fleet: map[core.Code]core.PaceReport{}, unsent: map[core.Code]core.PaceReport{}, restarts: map[core.Code]time.Time{}, stated: map[string]time.Time{}}
}

// SetStatedPace records the pace that a runner stated with an answer. One that no runner can state is dropped.
func (t *Table) SetStatedPace(runner string, pace float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if core.ValidPace(pace) {
		now := t.clock.Now()
		t.paces.stated[runner] = now
		t.paces.hear(runner, pace, now)
	}
}

// SetFleetPaces records the paces that other daemons have heard, with the times at which they heard them. Of
// several for a runner the newest counts.
func (t *Table) SetFleetPaces(reports map[core.Code]core.PaceReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for code, r := range t.paces.fleet {
		if !isCurrent(r, now) {
			delete(t.paces.fleet, code)
		}
	}
	for code, r := range reports {
		if r.At.After(now) {
			r.At = now // the clock of another daemon must not extend the time for which a pace is used
		}
		if core.ValidPace(r.Pace) && isCurrent(r, now) && r.At.After(t.paces.fleet[code].At) && r.At.After(t.paces.restarts[code]) {
			t.paces.fleet[code] = r
		}
	}
}

// HeardPaces returns the paces that this daemon has heard since the last call and that may still be used, for
// the reports to other daemons.
func (t *Table) HeardPaces() map[core.Code]core.PaceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, now := t.paces.unsent, t.clock.Now()
	t.paces.unsent = map[core.Code]core.PaceReport{}
	for code, r := range out {
		if !isCurrent(r, now) {
			delete(out, code)
		}
	}
	return out
}

// isCurrent reports whether a pace may still be used.
func isCurrent(r core.PaceReport, now time.Time) bool { return now.Sub(r.At) < core.PaceTTL }

// hear records a pace that this daemon has heard or measured.
func (p *paces) hear(runner string, pace float64, now time.Time) {
	r := core.PaceReport{Pace: pace, At: now}
	p.heard[runner], p.unsent[core.CodeOf(runner)] = r, r
}

// drop drops the paces of a runner that has started again or is gone. Those that other daemons heard before
// are not used either when they arrive later.
func (p *paces) drop(runner string, now time.Time) {
	code := core.CodeOf(runner)
	delete(p.heard, runner)
	delete(p.stated, runner)
	delete(p.fleet, code)
	delete(p.unsent, code)
	for c, at := range p.restarts {
		if now.Sub(at) >= core.PaceTTL {
			delete(p.restarts, c)
		}
	}
	p.restarts[code] = now
}

// of returns the newest pace of a runner, 0 if none may be used.
func (p *paces) of(runner string, now time.Time) float64 {
	r := p.heard[runner]
	if f := p.fleet[core.CodeOf(runner)]; f.At.After(r.At) {
		r = f
	}
	if !isCurrent(r, now) {
		return 0
	}
	return r.Pace
}
