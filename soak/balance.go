package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/standin/runner"
)

// Runs with Options.Balance have engines of fewer slots, and faults of what balancing requests depends on
// (docs/design/0018-balancing.md). No run covers the exchange of counts in coordination/occupancy: up to 16 daemons send each other heartbeats, so that there are
// no hubs, counts have no age (a choice takes them to be 400 ms old), and no pace is heard from other daemons. The
// simulations of that package cover this.
const (
	balancedSlots = 12
	// The route of patient requests; its priority is below that of the other routes.
	patientPrefix   = "/patient/"
	patientTarget   = 2 * time.Second
	patientPriority = 5
	// patientPercent is the percentage of callers' streams that are patient.
	patientPercent = 25
	// burstFactor is by how much a burst multiplies the load of patient requests that come beside the callers', one each
	// fatalInterval.
	burstFactor = 4
	// maxBalanceRepeats is how often a fault of balancing comes again at most.
	maxBalanceRepeats = 2
	// balanceFaultPart is the part of the faults in such runs that are those of balancing: one of this many. Among all
	// kinds evenly, most runs would have none.
	balanceFaultPart = 4
)

// slots returns the slots of a runner.
func (w *World) slots() int {
	if w.opts.Balance {
		return balancedSlots
	}
	return slotsPerRunner
}

// balanceSetting returns the part of a daemon's settings that the run adds.
func (w *World) balanceSetting() string {
	if w.opts.Balance {
		return `"balance":"on",`
	}
	return ""
}

// balanceFaults are the further kinds of faults of runs with Options.Balance. They are not in faults, as the kept
// seeds without balancing would otherwise play something else.
var balanceFaults = []fault{
	{"paces", func(w *World, r *rand.Rand) string { return w.inSeries(r, "paces", w.changePaces) }},
	{"patient burst", func(w *World, r *rand.Rand) string { return w.inSeries(r, "patient burst", w.sendPatientBurst) }},
}

// drawFault draws the kind of the next fault.
func (w *World) drawFault() fault {
	if w.opts.Balance && w.rng.IntN(balanceFaultPart) == 0 {
		return balanceFaults[w.rng.IntN(len(balanceFaults))]
	}
	return faults[w.rng.IntN(w.faultKinds())]
}

// inSeries injects a fault now and up to maxBalanceRepeats times again, so that it overlaps with others.
func (w *World) inSeries(r *rand.Rand, name string, inject func(*rand.Rand) string) string {
	at := time.Duration(0)
	for range r.IntN(maxBalanceRepeats + 1) {
		at += randomSeconds(r, 0.5, 2)
		next := rand.New(rand.NewPCG(w.opts.Seed, r.Uint64()))
		w.schedule(at, func() { w.logEvent("%s, again: %s", name, inject(next)) })
	}
	return inject(r)
}

// usualPace is the pace of a runner without a fault, which it states.
var usualPace = runner.Pace{Figure: runner.StatePace}

// absurdPaces are figures that no runner in use states as its pace.
var absurdPaces = []string{"0", "-100", "10001", "99999999999999999999", "1e3", "NaN", "fast", ""}

// changePaces makes some runners work at paces that change each runner.PaceTurn for a while. They state these paces,
// none, a frozen one or absurd ones.
func (w *World) changePaces(r *rand.Rand) string {
	w.mu.Lock()
	list := append([]*proxiedRunner(nil), w.runners...)
	w.mu.Unlock()
	length := randomSeconds(r, 0.6, 4)
	text := fmt.Sprintf("for %v:", length)
	for _, k := range r.Perm(len(list))[:1+r.IntN(len(list))] {
		h, p, how := list[k], runner.Pace{}, "none"
		for range 2 + r.IntN(3) {
			p.Turns = append(p.Turns, []float64{1, 2.5, 4}[r.IntN(3)])
		}
		switch r.IntN(4) {
		case 0:
			p.Figure, how = runner.StatePace, "as it is"
		case 1:
			figure := absurdPaces[r.IntN(len(absurdPaces))]
			p.Figure, how = runner.StateAlways(figure), fmt.Sprintf("%q", figure)
		case 2:
			p.Figure, how = runner.StateAlways("100"), "frozen"
		}
		h.SetPace(p)
		w.schedule(length, func() { h.SetPace(usualPace) })
		text += fmt.Sprintf(" %s %v, stated %s;", h.ID, p.Turns, how)
	}
	return text
}

// sendPatient sends patient requests for a time, one each fatalInterval, for model m2, which fewer runners have, or m1.
func (w *World) sendPatient(r *rand.Rand, length time.Duration) {
	w.sendAtRandom(r, length, func() *request {
		id := fmt.Sprintf("patient-%d", r.Uint64())
		return &request{id: id, kind: "gen", target: patientPrefix + id, model: []string{"m2", "m2", "m1"}[r.IntN(3)], prompt: harmlessPrompt(id)}
	})
}

// sendPatientBurst sends burstFactor times the usual load of patient requests for a short time.
func (w *World) sendPatientBurst(r *rand.Rand) string {
	length := randomSeconds(r, 1, 3)
	for range burstFactor - 1 {
		w.sendPatient(rand.New(rand.NewPCG(w.opts.Seed, r.Uint64())), length)
	}
	return length.String()
}

// patientRoute returns the route of patient requests.
func patientRoute(r wire.RouteMessage) wire.RouteMessage {
	r.TargetMS, r.Priority = float64(patientTarget.Milliseconds()), patientPriority
	return r
}

// checkBalance checks that requests were balanced. In runs without Options.Balance, fleet.balance is auto, which balances
// them as slotsPerRunner is not above core.MaxSmallBatch.
func (w *World) checkBalance() {
	balanced := false
	for _, path := range w.logFiles() {
		for line := range strings.Lines(readFile(path)) {
			balanced = balanced || strings.Contains(line, logs.RunnerChosen) && strings.Contains(line, `"believed":`)
		}
	}
	if !balanced {
		w.reportViolation("no request was balanced by counts")
	}
}
