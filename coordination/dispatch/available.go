package dispatch

import (
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/availability"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/state/catalog"
)

const (
	// maxProbeWait is how long a request waits for the answer to another one that finds out
	// whether the backoff of the only runners that can serve it is over. It looks again every
	// probePollInterval.
	maxProbeWait      = 150 * time.Millisecond
	probePollInterval = 10 * time.Millisecond
	// maxOmitted bounds the runners that are logged as left out of a choice.
	maxOmitted = 8
)

// stillAccepts reports whether a runner that was chosen before a wait accepts requests now.
// wasDown is set if it counted as down already.
func (j *job) stillAccepts(e *catalog.Entry, wasDown bool) bool {
	s := j.d.available.State(e)
	return s.AcceptsIfUp() && (wasDown || !s.Load.Down)
}

// accepts reports whether an instance of a runner still accepts a request. If probe is set, its
// backoff does not count, as the request finds out whether that is over.
func (d *Dispatcher) accepts(r *core.Runner, probe bool) bool {
	e := d.catalog.Runner(r.ID)
	if e == nil || !e.StartedAt.Equal(r.StartedAt) || e.Version != r.Version || !e.Usable() {
		return false
	}
	_, backedOff := d.available.Backoff(r.ID)
	return probe || !backedOff
}

// omittedRunner is a runner that would suit but accepts no requests.
type omittedRunner struct {
	id    string
	state availability.State
}

// omit records for the log that a runner accepts no requests.
func (j *job) omit(e *catalog.Entry, s availability.State) {
	if len(j.omitted) < maxOmitted {
		j.omitted = append(j.omitted, omittedRunner{e.ID, s})
	}
}

// noteBackoff finds the first backoff to end among the runners that could serve the request, those
// that it has been sent to too, and sets when the caller should return. It returns false if
// none is backed off.
func (j *job) noteBackoff() bool {
	now, first := j.d.clock.Now(), time.Time{}
	for _, e := range j.d.catalog.Runners(j.service) {
		b, backedOff := j.d.available.Backoff(e.ID)
		if !backedOff || !j.canServe(e) {
			continue
		}
		j.probeAwaited = j.probeAwaited || b.Probing
		if e.Usable() && (first.IsZero() || b.Until.Before(first)) {
			first = b.Until
		}
	}
	if first.IsZero() {
		return false
	}
	j.backoffUntil = first
	j.retryAfter = policy.RetryAfterBackoff(first.Sub(now), j.rank())
	return true
}

// omittedField returns the log field on the runners that were left out of the latest choice.
func (j *job) omittedField() zap.Field {
	if len(j.omitted) == 0 {
		return zap.Skip()
	}
	now, texts := j.d.clock.Now(), make([]string, len(j.omitted))
	for i, o := range j.omitted {
		texts[i] = o.id + ": " + o.state.Describe(now)
	}
	return zap.Strings("omitted", texts)
}
