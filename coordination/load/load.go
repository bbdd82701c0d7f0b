// Package load tracks the load of the runners as far as this daemon can know it: its own
// requests exactly, those of other daemons as last reported.
package load

import (
	"maps"
	"sync"
	"time"

	"primroseward/core"
)

const (
	// peerCountTTL is how long another daemon's counts are used without an update.
	peerCountTTL = 2 * time.Second
	// reportedLoadTTL is how long a load that a runner reported is used.
	reportedLoadTTL = 500 * time.Millisecond
	// penaltyStep is what one failed attempt adds to a runner's cost, as a part of its slots.
	// The penalty halves every penaltyHalf, so that only a few requests probe the runner at
	// first.
	penaltyStep = 0.5
	penaltyHalf = 1500 * time.Millisecond
	maxPenalty  = 4
)

// DataCentrePeers stands in SetPeerRequests for all other daemons of this data centre in a large
// fleet.
const DataCentrePeers = ""

// Table holds the load of all runners.
type Table struct {
	clock core.Clock

	mu           sync.Mutex
	local        map[string]*int // requests of this daemon in progress
	failures     map[string]failure
	peers        map[string]peerCounts
	reported     map[string]reportedLoad
	lastReceived map[string]time.Time     // when a runner last sent anything
	down         map[string]time.Time     // when a runner last refused a connection of this daemon
	peerDown     map[core.Code]downReport // the latest report of a peer that a runner is down
	probedAt     map[string]time.Time     // when a runner that was down was last probed
	verifiedAt   map[string]time.Time     // when a request last went to a runner that peers report as down
	confirmedAt  map[string]time.Time     // when other daemons last found a runner down that is down here
	waiting      map[string][]*Send       // requests of this daemon without an answer, oldest first
	answered     map[string]time.Time     // when the latest answered request of this daemon was sent
	unanswering  map[string]*unanswering  // runners that answer other daemons but not this one
	paths        pathEvidence
	fleet        fleetCounts             // requests of the other daemons of the fleet
	restartedAt  map[core.Code]time.Time // when a runner was last found to have restarted
	paces        paces
	steps        steps
}

type peerCounts struct {
	at     time.Time
	counts map[core.Code]int
}

type reportedLoad struct {
	at    time.Time
	load  core.Load
	local int // requests of this daemon in progress at that time
}

type failure struct {
	at    time.Time
	value float64
}

// New returns an empty Table.
func New(clock core.Clock) *Table {
	return &Table{clock: clock, local: map[string]*int{}, failures: map[string]failure{}, peers: map[string]peerCounts{}, reported: map[string]reportedLoad{}, lastReceived: map[string]time.Time{}, down: map[string]time.Time{}, peerDown: map[core.Code]downReport{}, probedAt: map[string]time.Time{}, verifiedAt: map[string]time.Time{}, confirmedAt: map[string]time.Time{}, waiting: map[string][]*Send{}, answered: map[string]time.Time{}, unanswering: map[string]*unanswering{}, paths: newPathEvidence(), restartedAt: map[core.Code]time.Time{}, paces: newPaces(), steps: newSteps()}
}

// Begin is BeginSend where only the end of the request is recorded.
func (t *Table) Begin(runner string) (end func()) { return t.BeginSend(runner).End }

// BeginSend counts a request sent to a runner, until its end. Each instance of the runner has its own
// count, so that the end of a request to a former instance does not lower the count of the current
// one.
func (t *Table) BeginSend(runner string) *Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.local[runner]
	if n == nil {
		n = new(int)
		t.local[runner] = n
	}
	*n++
	s := &Send{table: t, runner: runner, at: t.clock.Now(), count: n}
	t.waiting[runner] = append(t.waiting[runner], s)
	t.paths.begin(s.at)
	return s
}

// localRequests returns this daemon's requests in progress at a runner; the caller holds t.mu.
func (t *Table) localRequests(runner string) int {
	if n := t.local[runner]; n != nil {
		return *n
	}
	return 0
}

// Restarted drops everything about a runner that has restarted under its ID: none of the
// requests to the former instance is in progress any more.
func (t *Table) Restarted(runner string) {
	t.Forget(runner)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.local, runner)
	delete(t.waiting, runner)
	for _, p := range t.peers {
		delete(p.counts, core.CodeOf(runner))
	}
	t.restartedInFleet(core.CodeOf(runner))
}

// SetReportedLoad records the load that a runner reported with an answer.
func (t *Table) SetReportedLoad(runner string, l core.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported[runner] = reportedLoad{at: t.clock.Now(), load: l, local: t.localRequests(runner)}
}

// RecordActivity records that a runner has sent something.
func (t *Table) RecordActivity(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.lastReceived[runner] = now
	t.paths.heard(runner, now)
}

// LastActivity returns when a runner last sent anything to this daemon.
func (t *Table) LastActivity(runner string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReceived[runner]
}

// Forget drops everything about a runner that is gone, except requests in progress.
func (t *Table) Forget(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reported, runner)
	delete(t.failures, runner)
	delete(t.lastReceived, runner)
	delete(t.verifiedAt, runner)
	delete(t.answered, runner)
	t.paces.drop(runner, t.clock.Now())
	delete(t.steps.recent, runner)
	t.clearDown(runner)
}

// RecordFailure adds to a runner's penalty for a failed attempt.
func (t *Table) RecordFailure(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.failures[runner] = failure{at: now, value: min(maxPenalty, t.failures[runner].remaining(now)+penaltyStep)}
}

// RecordSuccess halves a runner's penalty, and drops a small one.
func (t *Table) RecordSuccess(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.failures[runner]
	if !ok {
		return
	}
	now := t.clock.Now()
	if f.value = f.remaining(now) / 2; f.value < penaltyStep/4 {
		delete(t.failures, runner)
		return
	}
	t.failures[runner] = failure{at: now, value: f.value}
}

func (f failure) remaining(now time.Time) float64 {
	halvings := now.Sub(f.at) / penaltyHalf
	if halvings > 10 {
		return 0
	}
	return f.value / float64(int(1)<<halvings)
}

// LocalRequests returns this daemon's requests in progress by runner, without those at runners that do
// not answer this daemon: they have not arrived there, or their answers are lost.
func (t *Table) LocalRequests() map[core.Code]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[core.Code]int, len(t.local))
	for id, n := range t.local {
		if t.unanswering[id] == nil {
			out[core.CodeOf(id)] += *n
		}
	}
	return out
}

// SetPeerRequests records another daemon's counts, or under the name DataCentrePeers the sum of
// those reported by the daemons of the data centre.
func (t *Table) SetPeerRequests(daemon string, counts map[core.Code]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[daemon] = peerCounts{at: t.clock.Now(), counts: maps.Clone(counts)}
}

// View is the known load of a runner.
type View struct {
	Requests int // in progress, from all daemons
	// Age is the age of what Requests says of other daemons, 0 if that is not known for the whole fleet.
	Age time.Duration
	// Pace is how long work takes there now, as a multiple of the usual; 0: not known.
	Pace    float64
	Penalty float64 // for recent failed attempts, as a part of the runner's slots
	Down    bool    // has recently refused a connection, see Table.Down
	// Reported is set if only reports of peers say that it is down, Unanswering if it only does not
	// answer requests of this daemon.
	Reported, Unanswering bool
	// VerifyDue is set if a request may be sent to such a runner to find out, UnsafeDue if also one
	// that must not be sent again.
	VerifyDue, UnsafeDue bool
}

// MayVerify reports whether a request may be sent to a runner that counts as down, to find out whether
// it is. repeatable tells whether it may be sent elsewhere if it is not answered.
func (v View) MayVerify(repeatable bool) bool {
	switch {
	case v.Reported:
		return v.VerifyDue
	case v.Unanswering:
		return v.VerifyDue && repeatable || v.UnsafeDue
	}
	return false
}

// View returns the known load of a runner. Its requests are the higher of two estimates: the
// sum over all daemons, or over those of the data centre while the fleet's counts are not known,
// and the load that the runner reported plus what this daemon has sent since.
func (t *Table) View(runner string) View {
	code := core.CodeOf(runner)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	sum, age := t.localRequests(runner), time.Duration(0)
	if n, measured, ok := t.fleetRequests(code, now); ok {
		sum, age = sum+n, now.Sub(measured)
	} else {
		for _, p := range t.peers {
			if now.Sub(p.at) < peerCountTTL {
				sum += p.counts[code]
			}
		}
	}
	if s, ok := t.reported[runner]; ok && now.Sub(s.at) < reportedLoadTTL {
		if stated := s.load.Running + s.load.Waiting + t.localRequests(runner) - s.local; stated > sum {
			sum = stated
			if age > 0 {
				age = now.Sub(s.at)
			}
		}
	}
	v := View{Requests: sum, Age: age, Pace: t.paces.of(runner, now), Penalty: t.failures[runner].remaining(now)}
	switch u := t.unanswering[runner]; {
	case t.refused(runner, now):
		v.Down = true
	case t.reportedDown(runner, now):
		v.Down, v.Reported, v.VerifyDue = true, true, t.verifyDue(runner, now)
	case u != nil:
		v.Down, v.Unanswering = true, true
		v.VerifyDue, v.UnsafeDue = now.Sub(u.triedAt) >= u.interval, now.Sub(u.triedAt) >= unsafeTrialInterval
	}
	return v
}
