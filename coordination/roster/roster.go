// Package roster distributes the state of the daemons of a large fleet among them: which
// ones are ready, which changes of the store each has, and how many requests each runner
// is processing for all of them. If every daemon sent this to every other one, the cost per
// daemon would grow with the fleet: with 295 daemons, 300 datagrams a second in each
// direction. Instead, the daemons of a data centre form groups. Each daemon reports to the
// hub of its group, which sends a summary of the reports to the other hubs, and sends the
// summaries that it receives from these to its group. A daemon then sends and receives
// about ten datagrams a second, whatever the size of the fleet.
//
// Hubs are not elected. All daemons sort the members of a group alike, and the first live
// one acts as the hub. The second one receives the same reports and takes over when it
// receives no more messages from the first. A daemon that receives messages from no hub
// acts as one itself, so a disagreement about the hub costs some datagrams and has no other
// effect.
//
// A Roster does no network I/O and reads no clock.
package roster

import (
	"maps"
	"time"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

const (
	// ReportInterval is the interval at which a daemon reports to its hubs, and a hub sends
	// summaries to its group and to the hubs of its data centre. Requests are routed by
	// loads up to three intervals old.
	ReportInterval = 200 * time.Millisecond
	// remoteTicks is the number of ticks from one summary to hubs of other data centres to
	// the next one: traffic between data centres is charged for.
	remoteTicks = 2
	// groupSize bounds the daemons of a group: its hub receives 320 reports a second and
	// sends as many summaries, which takes a few per cent of one core of a small VM.
	groupSize = 64
	// hubTimeout is how long a hub counts as reachable after its last message: three
	// datagrams may be lost.
	hubTimeout = 700 * time.Millisecond
	// reportTimeout is how long a hub counts a daemon as alive after its last report: on a
	// small VM that serves a burst of requests, the process may not run for a second.
	reportTimeout = 1500 * time.Millisecond
	// groupStateTTL is how long other daemons use the state of a group that a hub has sent.
	// It exceeds the time that the next daemon needs to take over from a hub that has
	// exited, so that the members of the group do not count as gone together with the hub.
	groupStateTTL = 2 * time.Second
	// loadTTL is how long the sum of loads that a hub has sent counts. It is limited as the
	// daemon that takes over from the hub sends the same loads, and both sums would count.
	loadTTL = time.Second
	// hubForwardTTL is how long after its last message a hub is still sent what it has to
	// forward: two of the summaries to another data centre may be lost, and the daemon that
	// takes over from it is sent the same.
	hubForwardTTL = 3 * remoteTicks * ReportInterval
	// minUrgentInterval is the least time between two rounds of urgent summaries. They are
	// sent between ticks when a daemon becomes ready, leaves, acquires the lease of orders,
	// or has a change of the store that its group did not have.
	minUrgentInterval = 100 * time.Millisecond
	// changeSends is how many summaries carry a changed member list or group state, as
	// datagrams get lost.
	changeSends = 3
	// probeTicks is the number of ticks between two summaries of a hub to those daemons of
	// its group that do not report to it: they have just started, or follow another hub. It
	// is also the number from one report to the next to daemons that precede the hub in
	// order and do not act as one.
	probeTicks = 5
	// searchTicks is the number of ticks for which a hub sends to the same pair of daemons
	// to find the hub of another group, before it tries the next pair.
	searchTicks = 5
	// contactsPerGroup is how many daemons of each group a new daemon announces itself to:
	// the hub and the next one in order.
	contactsPerGroup = 2
	// maxUnknown bounds the unknown daemons that are looked up at a time, so that the reply
	// fits into one packet.
	maxUnknown = 4
	// maxPacket is the largest size of a datagram, in bytes: the network fragments larger
	// ones, and the loss of one fragment loses the whole datagram.
	maxPacket = 1300
	// groupsPerTick is how many groups a hub includes in the summary to its own group at
	// each tick, besides those that have changed: of 80 groups, each is sent once a second.
	groupsPerTick = 16
	// hubChunksPerTick is how many chunks each of its loads and of its usage a hub sends to
	// the other hubs per tick.
	hubChunksPerTick = 2
	// maxChunkRunners bounds the runners of one message; each takes five or six bytes.
	maxChunkRunners = 150
	// maxChunkWorkspaces bounds the workspaces of one message; each takes sixteen bytes.
	maxChunkWorkspaces = 70
	// pauseThreshold is the time between two ticks from which this daemon's process is
	// taken to have been paused, instead of the other daemons to have been unreachable.
	pauseThreshold = 2 * ReportInterval
)

// Daemon holds the properties of a daemon that do not change while its process lives.
type Daemon struct {
	Name        string
	DataCentre  string
	Incarnation uint64  // larger in later processes of the same daemon
	AddressTag  uint8   // identifies its addresses: it changes with them
	Cores       float64 // of a processor that it may use; daemons with more become hubs first
}

// Status is the state that a daemon last reported, as far as hubs forward it.
type Status struct {
	Ready, Failing, Leaving, LeaseRenewed bool          // Failing: does not reach the store. LeaseRenewed: has renewed the lease recently.
	PathLost                              bool          // has lost its path to the runners
	Term                                  uint64        // of the lease of orders, 0 if the daemon does not hold it
	Settings                              uint64        // the last change of the settings that it has
	Confirmed                             time.Duration // time since the settings of its group were confirmed as the newest; below 0: never
}

// Report is what a daemon reports about itself.
type Report struct {
	Status
	LastChanges     core.Changes             // the last changes of the store that it has
	RefusingRunners []core.Code              // runners that have refused its connections recently
	Loads           map[core.Code]int        // its requests in progress by runner
	Usage           map[core.Code]core.Usage // of its own callers, by workspace
}

// Message is a datagram to send to another daemon.
type Message struct {
	To   core.Code
	Kind string // label in the counts of datagrams
	Data []byte
}

// Values of Message.Kind.
const (
	KindReport  = "report"
	KindSummary = "digest"
)

// Summary is what a hub has sent about its group, apart from the states of the members.
type Summary struct {
	DataCentre      string
	Sources         Sources
	LastChanges     core.Changes
	Confirmed       time.Duration
	RefusingRunners []core.Code
}

// Sources names a daemon that has the last change, for each kind of change; 0 if no change
// is known. They may differ: a daemon with a newer configuration may lack a change of the
// runners.
type Sources struct{ Config, Runners, Settings core.Code }

type groupKey struct {
	dataCentre string
	index      int
}

// daemon is an entry of the roster: another daemon, or this one.
type daemon struct {
	Daemon
	lastSeenAsHub time.Time // time of its last summary as the hub of this group
	knownSince    time.Time // time at which it was added
}

// receivedReport is the last report of a daemon, as its hub keeps it.
type receivedReport struct {
	Report
	receivedAt time.Time
	standby    bool // the daemon follows another hub, and this one only stands by
}

// groupState is the state of a group as its hub last sent it.
type groupState struct {
	hub             core.Code
	sentAt          time.Time
	version         uint64 // hash of the members as last sent
	members         map[core.Code]member
	membersVersion  uint64 // version that members belongs to
	memberSendsLeft int    // summaries that still have to carry the members
	sendsLeft       int    // summaries that still have to carry this state outside its rotation
	changes         core.Changes
	sources         Sources
	confirmed       time.Duration
	reachable       int         // members with a recent report, including the hub itself
	refusingRunners []core.Code // runners that have refused connections recently
	claims          map[core.Code]claim
	loads           map[core.Code]int        // known to hubs only
	loadsAt         time.Time                // zero: not received yet
	usage           map[core.Code]core.Usage // of the group by workspace; known to hubs only
	usageAt         time.Time                // zero: not received yet
}

type member struct {
	addressTag  uint8
	flags       rosterv1.Flag
	settingsLag uint64
}

type claim struct {
	term  uint64
	fresh bool
}

// Roster is one daemon's view of the fleet.
type Roster struct {
	self          core.Code
	started       time.Time
	daemons       map[core.Code]*daemon    // includes this one
	groups        map[groupKey][]core.Code // nil: to be rebuilt
	groupOf       map[core.Code]int        // number of each daemon's group, rebuilt with groups
	ownKey        groupKey                 // the group of this daemon
	ownReport     Report
	reportedLoads map[core.Code]int // loads of the last report
	reports       map[core.Code]*receivedReport
	groupStates   map[core.Code]*groupState // by hub; includes this daemon's own while it acts as one
	totalLoads    map[core.Code]int         // loads of the data centre, as last received or summed up
	totalUsage    map[core.Code]core.Usage  // of the fleet by workspace, as last received or summed up
	totalUsageAt  time.Time
	reportedUsage map[core.Code]core.Usage // usage of the last report
	unknownHubs   map[core.Code]core.Code  // hubs that are not known here, and the hub that named each
	tickCount     int
	lastUrgent    time.Time // time of the last urgent summaries
	actingSince   time.Time // when this daemon began to act as a hub, zero if it does not
	lastTick      time.Time // time of the last tick
}

// New returns a roster that contains only the daemon itself.
func New(now time.Time, self Daemon) *Roster {
	code := core.CodeOf(self.Name)
	return &Roster{
		self: code, started: now, tickCount: -1, daemons: map[core.Code]*daemon{code: {Daemon: self}}, reports: map[core.Code]*receivedReport{},
		groupStates: map[core.Code]*groupState{}, unknownHubs: map[core.Code]core.Code{},
	}
}

// AddDaemon adds a daemon, or updates one that has changed. Each daemon added shortly after this
// one has started may be its hub (see mayBeHub): when a fleet starts at once, only the first
// daemon of each group acts as one.
func (r *Roster) AddDaemon(now time.Time, d Daemon) {
	code := core.CodeOf(d.Name)
	delete(r.unknownHubs, code)
	if k, ok := r.daemons[code]; ok {
		if k.DataCentre != d.DataCentre || k.Cores != d.Cores {
			r.groups = nil
		}
		k.Daemon = d
		return
	}
	r.daemons[code] = &daemon{Daemon: d, knownSince: now}
	r.groups = nil
}

// RemoveDaemon removes a daemon that is gone.
func (r *Roster) RemoveDaemon(name string) {
	code := core.CodeOf(name)
	delete(r.daemons, code)
	delete(r.reports, code)
	r.groups = nil
}

// UnknownDaemons returns daemons that hubs have named and that are not known here, and the daemon
// to look them up at.
func (r *Roster) UnknownDaemons(now time.Time) (source core.Code, codes []core.Code) {
	add := func(from, code core.Code) {
		if len(codes) == 0 || from == source && len(codes) < maxUnknown {
			source, codes = from, append(codes, code)
		}
	}
	for code, from := range r.unknownHubs {
		add(from, code)
	}
	clear(r.unknownHubs)
	_, hubs := r.reportTargets(now)
	direct := len(hubs) == 0 || r.isHub(now)
	r.eachUnknownMember(now, func(hub, code core.Code) bool {
		if !direct {
			hub = hubs[0]
		}
		add(hub, code)
		return true
	})
	return source, codes
}

// HasUnknown reports whether hubs have named daemons that are not known here.
func (r *Roster) HasUnknown(now time.Time) bool {
	found := len(r.unknownHubs) > 0
	if !found {
		r.eachUnknownMember(now, func(core.Code, core.Code) bool {
			found = true
			return false
		})
	}
	return found
}

// eachUnknownMember calls fn for each member that is not known here, with the hub that named
// it, until fn returns false.
func (r *Roster) eachUnknownMember(now time.Time, fn func(hub, code core.Code) bool) {
	for _, g := range r.liveStates(now) {
		for code, m := range g.members {
			if r.isUnknown(code, m) && !fn(g.hub, code) {
				return
			}
		}
	}
}

// isUnknown reports whether a member is not known here, or is known with other addresses.
func (r *Roster) isUnknown(code core.Code, m member) bool {
	k, ok := r.daemons[code]
	return !ok || k.AddressTag != m.addressTag && code != r.self
}

// OtherLoads returns the number of requests in progress at each runner from the other daemons of
// the data centre.
func (r *Roster) OtherLoads() map[core.Code]int {
	out := make(map[core.Code]int, len(r.totalLoads))
	for code, n := range r.totalLoads {
		if n -= r.reportedLoads[code]; n > 0 {
			out[code] = n
		}
	}
	return out
}

// OtherUsage returns the usage of the other daemons by workspace. Available is the value that
// the hub sent or, where this daemon acts as the hub, the mean of the values of all hubs.
func (r *Roster) OtherUsage(now time.Time) map[core.Code]core.Usage {
	if now.Sub(r.totalUsageAt) >= groupStateTTL {
		return nil
	}
	out := make(map[core.Code]core.Usage, len(r.totalUsage))
	for code, u := range r.totalUsage {
		own := r.reportedUsage[code]
		u.Demand, u.Admitted = max(0, u.Demand-own.Demand), max(0, u.Admitted-own.Admitted)
		out[code] = u
	}
	return out
}

// Tick stores this daemon's report and returns the messages to send. It is called once per
// ReportInterval.
func (r *Roster) Tick(now time.Time, report Report) []Message {
	r.tickCount++
	r.ownReport = report
	r.compensatePause(now)
	r.expire(now)
	out := r.makeReports(now)
	if r.isHub(now) {
		return append(out, r.makeSummaries(now, r.tickCount)...)
	}
	r.actingSince = time.Time{}
	delete(r.groupStates, r.self) // another hub sends the state of the group now
	return out
}

// ReportNow stores this daemon's report between two ticks and returns the messages to send at
// once.
func (r *Roster) ReportNow(now time.Time, report Report) []Message {
	r.ownReport = report
	out := r.makeReports(now)
	return append(out, r.urgentSummaries(now)...)
}

// urgentSummaries returns the summaries to send before the next tick, if this daemon acts as
// a hub and the last ones are at least minUrgentInterval old.
func (r *Roster) urgentSummaries(now time.Time) []Message {
	if !r.isHub(now) || now.Sub(r.lastUrgent) < minUrgentInterval {
		return nil
	}
	r.lastUrgent = now
	return r.makeSummaries(now, 0)
}

// compensatePause shifts the times of what was received before a pause of this process by
// the length of the pause. Datagrams that arrived during the pause have not been read yet, so
// without the shift a small VM whose process has not run for two seconds would consider all
// other daemons gone.
func (r *Roster) compensatePause(now time.Time) {
	pause := now.Sub(r.lastTick) - ReportInterval
	previous := r.lastTick
	r.lastTick = now
	if previous.IsZero() || pause < pauseThreshold-ReportInterval {
		return
	}
	shift := func(at time.Time) time.Time {
		if at = at.Add(pause); at.After(now) {
			return now // was received after the pause
		}
		return at
	}
	for _, report := range r.reports {
		report.receivedAt = shift(report.receivedAt)
	}
	for _, g := range r.groupStates {
		g.sentAt = shift(g.sentAt)
		if !g.loadsAt.IsZero() {
			g.loadsAt = shift(g.loadsAt)
		}
	}
	for _, k := range r.daemons {
		k.lastSeenAsHub = shift(k.lastSeenAsHub)
	}
}

// expire drops reports and group states that have not been renewed.
func (r *Roster) expire(now time.Time) {
	maps.DeleteFunc(r.reports, func(_ core.Code, report *receivedReport) bool { return now.Sub(report.receivedAt) >= reportTimeout })
	for hub, g := range r.groupStates {
		if now.Sub(g.sentAt) >= groupStateTTL {
			delete(r.groupStates, hub)
		}
	}
}

// Name returns the name of a daemon, or an empty string if it is not known.
func (r *Roster) Name(code core.Code) string {
	k, ok := r.daemons[code]
	if !ok {
		return ""
	}
	return k.Daemon.Name
}
