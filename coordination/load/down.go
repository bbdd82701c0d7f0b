package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"primroseward/core"
)

const (
	// downTTL is how long a runner counts as down after it refused a connection. By then
	// its entry has expired, which takes three missed heartbeats of 1.2 s.
	downTTL = 4 * time.Second
	// probeInterval is the least time between two requests to a runner that counts as down.
	// Only requests that no other runner can serve are sent to it.
	probeInterval = 3 * time.Second
	// peerDownTTL is how long a runner counts as down after a peer's last report of it: two
	// heartbeats between data centres, and a lost one.
	peerDownTTL = time.Second
	// heardTTL is how long a report of a peer that a runner is down is ignored after this daemon
	// has received something from the runner. The runners in use send events and answers more
	// often.
	heardTTL = time.Second
	// confirmTTL is how long it counts that other daemons have found a runner down as well. A daemon
	// that does not know asks them.
	confirmTTL = 500 * time.Millisecond
	// verifyInterval is the least time between two requests to a runner that only peers report as
	// down. Each finds out whether it is.
	verifyInterval = 250 * time.Millisecond
)

// downReport is a report of other daemons that a runner is down.
type downReport struct {
	at       time.Time // of the latest report
	since    time.Time // of the first report of an unbroken series
	reporter string
}

// Evidence is why a runner counts as down or not.
type Evidence struct {
	RefusedAgo  time.Duration // since it last refused a connection of this daemon; below 0: it has not lately
	Reporter    string        // daemon whose report that it is down is the latest; empty: none lately
	ReportedAgo time.Duration // since that report
	HeardAgo    time.Duration // since this daemon last received anything from it; below 0: it has not
	Unanswering time.Duration // since it was found to answer other daemons but not this one; below 0: it was not
}

// String returns the evidence for logs.
func (e Evidence) String() string {
	var parts []string
	if e.RefusedAgo >= 0 {
		parts = append(parts, fmt.Sprintf("refused this daemon %s ago", e.RefusedAgo.Round(time.Millisecond)))
	}
	if e.Reporter != "" {
		parts = append(parts, fmt.Sprintf("reported by %s %s ago", e.Reporter, e.ReportedAgo.Round(time.Millisecond)))
	}
	if e.Unanswering >= 0 {
		parts = append(parts, fmt.Sprintf("does not answer this daemon for %s", e.Unanswering.Round(time.Millisecond)))
	}
	if e.HeardAgo >= 0 {
		parts = append(parts, fmt.Sprintf("last heard %s ago", e.HeardAgo.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

// Evidence returns why a runner counts as down or not.
func (t *Table) Evidence(runner string) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, out := t.clock.Now(), Evidence{RefusedAgo: -1, HeardAgo: -1, Unanswering: -1}
	if at, ok := t.down[runner]; ok && now.Sub(at) < downTTL {
		out.RefusedAgo = now.Sub(at)
	}
	if r, ok := t.peerDown[core.CodeOf(runner)]; ok && now.Sub(r.at) < peerDownTTL {
		out.Reporter, out.ReportedAgo = r.reporter, now.Sub(r.at)
	}
	if u := t.unanswering[runner]; u != nil {
		out.Unanswering = now.Sub(u.since)
	}
	if at, ok := t.lastReceived[runner]; ok {
		out.HeardAgo = now.Sub(at)
	}
	return out
}

// clearDown marks a runner as not down; the caller holds t.mu.
func (t *Table) clearDown(runner string) {
	delete(t.down, runner)
	delete(t.probedAt, runner)
	delete(t.confirmedAt, runner)
	delete(t.unanswering, runner)
	delete(t.paths.failedAt, runner)
	delete(t.peerDown, core.CodeOf(runner))
}

// ConnectionRefused records that a runner refused a connection, so its process has exited. It
// returns false if the runner already counted as down.
func (t *Table) ConnectionRefused(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	known := t.isDown(runner, now)
	t.down[runner] = now
	t.recordPathFailure(runner, now)
	return !known
}

// Answered records that a runner has begun an answer, so it is not down.
func (t *Table) Answered(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearDown(runner)
}

// Probe reports whether a request may be sent now to a runner that counts as down, and records
// it as sent. The runner may be up after all.
func (t *Table) Probe(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.unanswering[runner] != nil {
		return false // Verify decides when it is tried
	}
	if at, ok := t.probedAt[runner]; ok && now.Sub(at) < probeInterval {
		return false
	}
	t.probedAt[runner] = now
	return true
}

// ConfirmExit records that other daemons do not reach a runner either that is down for this one.
func (t *Table) ConfirmExit(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmedAt[runner] = t.clock.Now()
}

// ExitConfirmed reports whether ConfirmExit was called for a runner within confirmTTL.
func (t *Table) ExitConfirmed(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.confirmedAt[runner]
	return ok && t.clock.Since(at) < confirmTTL
}

// Verify is like Probe for a runner that counts as down by the reports of peers only, or because it
// does not answer this daemon. It may well be up: a daemon that has lost its path to the runners takes
// all of them for down.
func (t *Table) Verify(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if u := t.unanswering[runner]; u != nil && !t.reportedDown(runner, now) {
		return u.try(now)
	}
	if !t.verifyDue(runner, now) {
		return false
	}
	t.verifiedAt[runner] = now
	return true
}

// verifyDue reports whether a runner may be verified now; the caller holds t.mu.
func (t *Table) verifyDue(runner string, now time.Time) bool {
	at, ok := t.verifiedAt[runner]
	return !ok || now.Sub(at) >= verifyInterval
}

// Down reports whether a runner recently refused a connection, of this daemon or of another
// one, or does not answer this one. The runner's entry remains for some seconds after its exit; relying on the entry would
// leave the runner's models unreachable for that long.
func (t *Table) Down(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isDown(runner, t.clock.Now())
}

// isDown is Down at a given time; the caller holds t.mu.
func (t *Table) isDown(runner string, now time.Time) bool {
	return t.refused(runner, now) || t.reportedDown(runner, now) || t.unanswering[runner] != nil
}

// refused reports whether a runner recently refused a connection of this daemon or did not answer
// the attempt; the caller holds t.mu.
func (t *Table) refused(runner string, now time.Time) bool {
	at, ok := t.down[runner]
	return ok && now.Sub(at) < downTTL || t.noConnection(runner, now)
}

// reportedDown reports whether peers report a runner as down and this daemon knows no better: it
// has received nothing from the runner since, or not lately. The caller holds t.mu.
func (t *Table) reportedDown(runner string, now time.Time) bool {
	r, ok := t.peerDown[core.CodeOf(runner)]
	if !ok || now.Sub(r.at) >= peerDownTTL {
		return false
	}
	heard, ok := t.lastReceived[runner]
	return !ok || heard.Before(r.since) || now.Sub(heard) >= heardTTL
}

// LocalDown returns the runners that recently refused connections of this daemon, without those
// that have sent something since: old connections may live on while new ones are refused.
func (t *Table) LocalDown() []core.Code {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []core.Code
	for id, at := range t.down {
		if now.Sub(at) < downTTL && !t.lastReceived[id].After(at) {
			out = append(out, core.CodeOf(id))
		}
	}
	slices.Sort(out)
	return out
}

// SetPeerDown records the runners that another daemon reports as down.
func (t *Table) SetPeerDown(reporter string, runners []core.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, code := range runners {
		since := now
		if old, ok := t.peerDown[code]; ok && now.Sub(old.at) < peerDownTTL {
			since = old.since
		}
		t.peerDown[code] = downReport{at: now, since: since, reporter: reporter}
	}
	maps.DeleteFunc(t.peerDown, func(_ core.Code, r downReport) bool { return now.Sub(r.at) >= peerDownTTL })
}
