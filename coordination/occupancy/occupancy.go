// Package occupancy counts the requests in progress at each runner from all daemons of a large fleet.
// Each daemon reports its requests to the hub of its group and to the next daemon in order, which takes
// over if the hub fails. A hub sends the sum of its group to the hubs of the other groups, and the sum
// over all groups to its own group. Package roster knows the groups and their hubs; its own messages are
// separate and carry the loads of a data centre only, several hundred milliseconds old.
//
// Daemons follow the phase of their hub, and hubs that of the first of them: reports arrive just before
// the hubs sum them up, and the sums just before they are sent to the groups. With independent phases the
// counts would be twice as old.
//
// Hubs state counts by the position of the runner in a list, four bits each. They send the list when it
// changes, and to those who request it. With the codes of the runners, the counts would be ten times as
// large.
//
// A Tracker does no network I/O and reads no clock.
package occupancy

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"primroseward/coordination/roster"
	"primroseward/core"
)

const (
	// Interval is the interval at which a daemon reports and a hub sends sums. Within 100 ms, one in
	// eight of eight requests in progress is replaced by another one.
	Interval = 100 * time.Millisecond
	// SourceTTL is how long the counts of a daemon or of a group are used after their last message: two
	// messages in a row may be lost and a third delayed. The connections of a process that has exited
	// are closed, so that its requests have ended.
	SourceTTL = 500 * time.Millisecond
	// TotalsTTL is how long the counts of the fleet are used. It covers the takeover from a hub that has
	// failed (700 ms in package roster) and the first messages of the next one.
	TotalsTTL = time.Second
	// maxAge bounds the age of counts in a message.
	maxAge = 2 * SourceTTL
	// startTime is how long after it has begun to act, or after a pause of its process, a hub waits for the
	// reports of startShare of its group and for the sums of all groups at most. Partial sums would make
	// runners seem idle. Some of the group may be gone, as the former hub.
	startTime  = SourceTTL
	startShare = 0.75
	// silenceTime is how long the hub may send no totals until the next daemon in order acts in its place
	// here, before package roster takes it for gone (700 ms). Both may act for a moment; see otherSums.
	silenceTime = 5 * Interval / 2
	// pauseTime is the time between two ticks from which this process is taken to have been paused.
	pauseTime = 3 * Interval
	// minSettle is how long after it has sent the sum of its group a hub sends the totals at least: the
	// sums of the other groups arrive in between, with delays of up to 3 ms.
	minSettle = 6 * time.Millisecond
	// minLead and leadSpread are the range in which reports are to arrive before the hub sums them up. The
	// spread keeps the reports of a group from arriving at once.
	minLead    = 5 * time.Millisecond
	leadSpread = 16 // ms
	// maxJitter bounds what is added to both where messages vary by more: with a larger part of the interval,
	// counts would be older than with independent phases. jitterDecay is the part of it that is dropped in
	// each interval.
	maxJitter   = 25 * time.Millisecond
	jitterDecay = 10
	// phaseGain is the part of a phase error that is corrected in an interval. A correction shows in the
	// phase after two intervals, so that a larger part would overshoot.
	phaseGain = 4
	// listTTL is how long a runner without requests remains in a hub's list.
	listTTL = 30 * time.Second
	// minPaceChange is the least difference from the usual pace that is reported.
	minPaceChange = 0.1
)

// Report is what a daemon knows itself.
type Report struct {
	Requests map[core.Code]int             // its requests in progress by runner
	Paces    map[core.Code]core.PaceReport // that runners have stated to it
}

// Totals are the counts of the fleet.
type Totals struct {
	Requests map[core.Code]int // of the other daemons by runner
	Paces    map[core.Code]core.PaceReport
	Measured time.Time // mean time at which the daemons counted
	Daemons  int       // whose requests are counted, this one included
}

// Message is a datagram to send to another daemon.
type Message struct {
	To   core.Code
	Data []byte
}

// Tracker is one daemon's knowledge of the requests in progress.
type Tracker struct {
	self        core.Code
	boot        uint32
	started     time.Time
	topology    roster.Topology
	actingSince time.Time // when this daemon began to act as a hub or was paused; zero if it does not act
	hubSince    time.Time // when the roster began to take this daemon for the hub; zero if it does not
	hasReports  bool      // since actingSince, reports have been complete once
	hasSums     bool      // since actingSince, sums have been complete once
	lastTick    time.Time // last report, and last sum of a hub
	nextTick    time.Time
	totalsAt    time.Time     // when the totals are to be sent; zero: have been sent
	shift       time.Duration // correction of the next tick
	lateness    time.Duration // by which this daemon's reports have recently arrived later than aimed at
	sumLag      time.Duration // by which sums of other hubs have recently arrived after this hub's own
	tickCount   int

	own     []entry // last report
	reports map[core.Code]*source
	sums    map[core.Code]*source
	totals  map[core.Code]*source
	lists   map[core.Code]*source
	wanted  map[core.Code]bool // hubs whose list is to be requested

	list     []core.Code // by which this daemon states counts as a hub
	listID   uint32
	lastUsed map[core.Code]time.Time // runners of the list
	hasList  map[core.Code]bool      // daemons that the list was sent to

	group    sum     // of this group, as last sent
	fleet    sum     // over all daemons, as last received or summed up
	fleetOwn []entry // this daemon's part of it
}

// New returns a Tracker. boot identifies the process of this daemon.
func New(now time.Time, self core.Code, boot uint64) *Tracker {
	return &Tracker{
		self: self, boot: uint32(boot>>32) ^ uint32(boot), started: now,
		reports: map[core.Code]*source{}, sums: map[core.Code]*source{}, totals: map[core.Code]*source{}, lists: map[core.Code]*source{},
		wanted: map[core.Code]bool{}, lastUsed: map[core.Code]time.Time{}, hasList: map[core.Code]bool{},
	}
}

// sum is a sum of counts.
type sum struct {
	entries  []entry // sorted by runner
	measured time.Time
	daemons  int
}

// Wait returns how long after now Tick is due. It changes with what is received, but need not be asked
// again before.
func (t *Tracker) Wait(now time.Time) time.Duration {
	if !t.totalsAt.IsZero() {
		return max(0, t.totalsAt.Sub(now))
	}
	return max(0, t.nextTick.Sub(now))
}

// Tick returns the messages to send. Once per Interval these are this daemon's report and, if it acts as
// a hub, the sum of its group; the totals of a hub follow some milliseconds later.
func (t *Tracker) Tick(now time.Time, topology roster.Topology, report Report) []Message {
	t.topology = topology
	var out []Message
	if !t.totalsAt.IsZero() && !now.Before(t.totalsAt) {
		t.totalsAt = time.Time{}
		out = t.makeTotals(now)
	}
	if now.Before(t.nextTick) {
		return out
	}
	paused := now.Sub(t.lastTick) >= pauseTime
	due := t.nextTick
	if now.Sub(due) > Interval/2 {
		due = now
	}
	t.lastTick = now
	if topology.Acting {
		t.followHubs()
	}
	t.nextTick, t.shift = due.Add(Interval+t.shift), 0
	t.tickCount++
	t.lateness -= t.lateness / jitterDecay
	t.sumLag -= t.sumLag / jitterDecay
	t.own = t.ownEntries(now, report)
	t.forgetUnknown()
	out = append(out, t.makeReports(now)...)
	out = append(out, t.makeRequests(now)...)
	switch {
	case !topology.Acting:
		t.hubSince = time.Time{}
	case t.hubSince.IsZero():
		t.hubSince = now
	}
	switch {
	case !t.Acting(now):
		t.actingSince, t.totalsAt = time.Time{}, time.Time{}
		return out
	case t.actingSince.IsZero() || paused:
		t.actingSince, t.hasReports, t.hasSums = now, false, false
	}
	t.totalsAt = now.Add(max(minSettle, t.sumLag+minSettle/2))
	return append(out, t.makeSum(now)...)
}

// Acting reports whether this daemon acts as the hub of its group: it is the hub, or the next one in order
// and the hub is silent.
func (t *Tracker) Acting(now time.Time) bool {
	return t.topology.Acting || t.topology.Hub != 0 && t.topology.Next == 0 && t.hubSilent(now)
}

// hubSilent reports whether the hub that this daemon follows sends no totals.
func (t *Tracker) hubSilent(now time.Time) bool {
	s := t.totals[t.topology.Hub]
	return s == nil || now.Sub(s.receivedAt) >= silenceTime*time.Duration(max(1, len(s.pending.parts)))
}

// forgetUnknown drops what daemons have sent that are no longer known.
func (t *Tracker) forgetUnknown() {
	for _, sources := range []map[core.Code]*source{t.reports, t.sums, t.totals, t.lists} {
		for code := range sources {
			if _, ok := t.topology.GroupOf[code]; !ok {
				delete(sources, code)
			}
		}
	}
}

// followHubs corrects the phase of this daemon by that of the first hub.
func (t *Tracker) followHubs() {
	first := t.self
	for _, hub := range t.topology.Hubs {
		if s := t.sums[hub]; s != nil && hub < first && s.fresh(t.lastTick) {
			first = hub
		}
	}
	if first != t.self {
		t.shift = phaseError(t.sums[first].receivedAt.Sub(t.lastTick)) / phaseGain
	}
}

// phaseError returns the difference of two phases for the difference of two times. Of the two ways round
// the interval it prefers the positive one: if it took the shorter one, corrections that show late would
// make opposite phases swing between the two.
func phaseError(d time.Duration) time.Duration {
	d %= Interval
	switch {
	case d > Interval*3/4:
		return d - Interval
	case d < -Interval/4:
		return d + Interval
	}
	return d
}

// followHub corrects the phase of this daemon by the time at which its report arrived before the hub summed
// up.
func (t *Tracker) followHub(lead time.Duration) {
	early := phaseError(lead - minLead - time.Duration(t.self%leadSpread)*time.Millisecond - t.lateness)
	t.lateness = min(maxJitter, max(t.lateness, -early))
	t.shift = early / phaseGain
}

// ownEntries returns a report as entries. A usual pace is included only where the fleet knows another
// one, which it replaces.
func (t *Tracker) ownEntries(now time.Time, report Report) []entry {
	all := adder{now: now}
	for runner, n := range report.Requests {
		if n > 0 {
			all.addEntry(entry{runner: runner, requests: n})
		}
	}
	for runner, p := range report.Paces {
		if now.Sub(p.At) < core.PaceTTL && p.Pace > 0 && (isUnusual(p.Pace) || isUnusual(t.fleet.pace(runner))) {
			all.addEntry(entry{runner: runner, pace: p.Pace, paceAt: p.At})
		}
	}
	return all.result().entries
}

func isUnusual(pace float64) bool { return pace > 0 && math.Abs(pace-1) > minPaceChange }

// pace returns the pace of a runner, or 0.
func (s *sum) pace(runner core.Code) float64 {
	i, ok := slices.BinarySearchFunc(s.entries, runner, func(e entry, r core.Code) int { return cmp.Compare(e.runner, r) })
	if !ok {
		return 0
	}
	return s.entries[i].pace
}

// makeReports returns this daemon's reports to its hubs.
func (t *Tracker) makeReports(now time.Time) []Message {
	var out []Message
	for _, to := range []core.Code{t.topology.Hub, t.topology.Next} {
		if to == 0 || to == t.self {
			continue
		}
		h := t.header(now, kindReport)
		h.standby, h.daemons = to != t.topology.Hub, 1
		out = appendMessages(out, to, encode(now, h, t.own))
	}
	return out
}

func (t *Tracker) header(now time.Time, k kind) header {
	return header{kind: k, sender: t.self, boot: t.boot, sent: now.Sub(t.started)}
}

// makeRequests requests the lists of hubs that have sent counts by one that is not known here.
func (t *Tracker) makeRequests(now time.Time) []Message {
	var out []Message
	for hub := range t.wanted {
		h := t.header(now, kindRequest)
		h.daemons = 1
		out = appendMessages(out, hub, encode(now, h, nil))
	}
	clear(t.wanted)
	return out
}

// Receive processes a datagram of another daemon, and returns whether the totals have changed. An error
// says why the datagram was dropped.
func (t *Tracker) Receive(now time.Time, data []byte) (changed bool, err error) {
	m, err := decode(data)
	if err != nil {
		return false, err
	}
	group, ok := t.topology.GroupOf[m.sender]
	if !ok {
		return false, ErrUnknown
	}
	ownGroup := group == t.topology.GroupOf[t.self]
	var sources map[core.Code]*source
	switch {
	case m.sender == t.self:
		return false, ErrMisdirected
	case m.kind == kindRequest:
		delete(t.hasList, m.sender)
		return false, nil
	case m.kind == kindReport && ownGroup:
		sources = t.reports
	case m.kind == kindSum && !ownGroup:
		sources = t.sums
	case m.kind == kindTotals && (m.sender == t.topology.Hub || m.sender == t.topology.Next && t.hubSilent(now)):
		sources = t.totals
	case m.kind == kindList:
		sources = t.lists
	default:
		return false, ErrMisdirected
	}
	s := sources[m.sender]
	if s == nil {
		s = &source{}
		sources[m.sender] = s
	}
	complete, err := s.receive(now, now.Sub(t.started), m, t.lists[m.sender])
	if errors.Is(err, ErrUnlisted) {
		t.wanted[m.sender] = true
	}
	if !complete || err != nil {
		return false, err
	}
	if m.kind == kindSum {
		t.sumLag = min(maxJitter, max(t.sumLag, phaseError(now.Sub(t.lastTick))))
	}
	if m.kind != kindTotals {
		return false, nil
	}
	t.followHub(m.lead)
	t.fleet, t.fleetOwn = s.sum, t.own
	return true, nil
}

// Totals returns the counts of the fleet, and whether they are recent.
func (t *Tracker) Totals(now time.Time) (Totals, bool) {
	if t.fleet.daemons == 0 || now.Sub(t.fleet.measured) >= TotalsTTL {
		return Totals{}, false
	}
	out := Totals{Requests: make(map[core.Code]int, len(t.fleet.entries)), Paces: map[core.Code]core.PaceReport{}, Measured: t.fleet.measured, Daemons: t.fleet.daemons}
	own := t.fleetOwn
	for _, e := range t.fleet.entries {
		for len(own) > 0 && own[0].runner < e.runner {
			own = own[1:]
		}
		n := e.requests
		if len(own) > 0 && own[0].runner == e.runner {
			n -= own[0].requests
		}
		if n > 0 {
			out.Requests[e.runner] = n
		}
		if e.pace > 0 && now.Sub(e.paceAt) < core.PaceTTL {
			out.Paces[e.runner] = core.PaceReport{Pace: e.pace, At: e.paceAt}
		}
	}
	return out, true
}
