// Package roster lets the daemons of a large fleet know who serves, what each knows of
// the store and how many requests each runner has from all of them. Told by each to
// each, this costs a daemon as much as the fleet is large: with 295 daemons 300
// datagrams a second each way. Here the daemons of a place form groups; each reports
// to its group's hub, which tells the sum to the other hubs, and what these have told to
// its group. A daemon then sends and gets some ten datagrams a second, however many
// there are.
//
// Nobody elects a hub: the first live daemon of a group, in an order that all agree on,
// acts as one. The second gets the same reports and takes over when it hears the first
// no more. A daemon that hears no hub acts as one for itself, so that two that disagree
// cost some datagrams and nothing else.
//
// A Roster has no network and no clock of its own.
package roster

import (
	"maps"
	"time"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

const (
	// TellEvery is how often a daemon reports to its hubs, and a hub tells its group
	// and the hubs of its place. Requests are sent by loads as old as three of these.
	TellEvery = 200 * time.Millisecond
	// farTurns is how many turns lie between two digests to hubs of other places: the
	// traffic between places is paid for.
	farTurns = 2
	// groupSize bounds a group: its hub takes 320 reports a second and sends as many
	// digests, a few per cent of a small machine's core.
	groupSize = 64
	// hubSilence is how long a daemon trusts a hub without a word from it: three
	// datagrams may be lost.
	hubSilence = 700 * time.Millisecond
	// memberSilence is how long a hub counts a daemon as alive without a report: a small
	// VM that serves a burst may not get to run for a second.
	memberSilence = 1500 * time.Millisecond
	// partLife is how long a hub's word of its group holds at others: longer than the
	// next daemon needs to take over from a hub that has ended, so that no group is
	// missed with its hub.
	partLife = 2 * time.Second
	// loadLife is how long a hub's sum of loads counts: the one that takes over tells
	// the same loads.
	loadLife = time.Second
	// hubLife is how long a hub is told what it is to pass on after its last word: two
	// of the digests that go to another place may be lost, and the one that takes over
	// is told as well.
	hubLife = 3 * farTurns * TellEvery
	// urgentEvery is the least time between two digests out of turn, for what others
	// must know soon: that a daemon is ready, leaves, holds the lease, or knows of a
	// change of the store.
	urgentEvery = 100 * time.Millisecond
	// repeats is how often a changed list of members is told, as datagrams get lost.
	repeats = 3
	// lonelyTurns is how often a hub tells daemons of its group that do not report to
	// it: they have just started, or follow another hub.
	lonelyTurns = 5
	// searchTurns is how long a hub tries to find another group's by one pair of
	// daemons before it tries the next pair.
	searchTurns = 5
	// contacts is how many daemons of each group a new one tells of itself: the hub
	// and the one after it.
	contacts = 2
	// maxUnknown bounds the daemons that are asked for at a time, so that the answer
	// is one packet.
	maxUnknown = 4
	// maxPacket is how long a datagram may be, in bytes: longer ones are sent in pieces
	// by the network, and with any of them all is lost.
	maxPacket = 1300
	// partsPerTurn is how many groups a hub tells its own of in a turn, beside those
	// of which there is news: of 80, each once a second.
	partsPerTurn = 16
	// hubChunks is how many chunks of its loads a hub tells the others in a turn.
	hubChunks = 2
	// maxChunk bounds the runners of one message, five or six bytes each.
	maxChunk = 150
	// maxUsage bounds the workspaces of one message, sixteen bytes each.
	maxUsage = 70
	// stalled is the time between two turns from which this daemon, not the others, was
	// the one that stood still.
	stalled = 2 * TellEvery
)

// Daemon is what does not change of a daemon while its process lives.
type Daemon struct {
	Name  string
	Place string
	Boot  uint64  // later processes have larger ones
	Tag   uint8   // of its addresses
	Cores float64 // of a processor that it may use; those with more act as hubs first
}

// Status is what a daemon last told of itself, as far as it is passed on.
type Status struct {
	Ready, Failing, Leaving, Fresh bool
	Term                           uint64        // of the lease of orders, while it is held
	Settings                       uint64        // the last change of the settings that it knows
	Confirmed                      time.Duration // since the settings were known to be the newest in its group; below 0: never
}

// Word is what a daemon tells of itself.
type Word struct {
	Status
	Knows core.Changes
	Down  []core.Code              // runners that have refused its connections lately
	Loads map[core.Code]int        // its requests in progress by runner
	Usage map[core.Code]core.Usage // of its own callers, by workspace
}

// Message is a datagram to another daemon.
type Message struct {
	To   core.Code
	Kind string // for the counts
	Data []byte
}

// Kinds of messages.
const (
	KindReport = "report"
	KindDigest = "digest"
)

// News is what a hub has told of its group beyond its members' states.
type News struct {
	Place     string
	Sources   Sources
	Knows     core.Changes
	Confirmed time.Duration
	Down      []core.Code
}

// Sources are daemons that know the last change of each kind, 0: none is told of. One that
// has a newer configuration may lack a change of the runners.
type Sources struct{ Config, Runners, Settings core.Code }

type groupKey struct {
	place string
	index int
}

// daemon is another daemon, or this one.
type daemon struct {
	Daemon
	hub   time.Time // when it was last heard as a hub
	since time.Time // when it became known
}

// report is a daemon's word as its hub keeps it.
type report struct {
	Word
	at    time.Time
	spare bool // the daemon follows another hub
}

// part is what a hub has told of its group.
type part struct {
	hub       core.Code
	at        time.Time
	version   uint64 // of the members as last told
	members   map[core.Code]member
	held      uint64 // version of members
	fresh     int    // digests that are still to carry the members
	due       int    // digests that are still to carry the part, out of its turn
	knows     core.Changes
	sources   Sources
	confirmed time.Duration
	touch     int // members that are in touch with the hub, itself included
	down      []core.Code
	claims    map[core.Code]claim
	loads     map[core.Code]int        // known to hubs only
	loadsAt   time.Time                // zero: not told yet
	usage     map[core.Code]core.Usage // of the group by workspace; known to hubs only
	usageAt   time.Time                // zero: not told yet
}

type member struct {
	tag   uint8
	flags rosterv1.Flag
	lag   uint64
}

type claim struct {
	term  uint64
	fresh bool
}

// Roster is one daemon's view of the fleet.
type Roster struct {
	self    core.Code
	started time.Time
	known   map[core.Code]*daemon    // this one, too
	groups  map[groupKey][]core.Code // nil: to be made
	own     groupKey                 // the group of this daemon
	word    Word
	told    map[core.Code]int // loads of the last report
	reports map[core.Code]*report
	parts   map[core.Code]*part      // by hub; this one's while it acts
	total   map[core.Code]int        // loads of the place as last told
	usage   map[core.Code]core.Usage // of the fleet by workspace, as last told
	usageAt time.Time
	used    map[core.Code]core.Usage // as this daemon told it last
	unknown map[core.Code]core.Code  // hubs that are not known, and the hub that named them
	turn    int
	urgent  time.Time // of the last digest out of turn
	acting  time.Time // since when this daemon acts as a hub, zero if it does not
	ticked  time.Time // the last turn
}

// New returns the roster of a daemon that knows nobody.
func New(now time.Time, self Daemon) *Roster {
	code := core.CodeOf(self.Name)
	return &Roster{
		self: code, started: now, turn: -1, known: map[core.Code]*daemon{code: {Daemon: self}}, reports: map[core.Code]*report{},
		parts: map[core.Code]*part{}, unknown: map[core.Code]core.Code{},
	}
}

// Know takes in a daemon, or what has changed of one. While this one has just started
// each that it knows may be its hub: of a fleet that starts together only the first of
// each group acts as one.
func (r *Roster) Know(now time.Time, d Daemon) {
	code := core.CodeOf(d.Name)
	delete(r.unknown, code)
	if k, ok := r.known[code]; ok {
		if k.Place != d.Place || k.Cores != d.Cores {
			r.groups = nil
		}
		k.Daemon = d
		return
	}
	r.known[code] = &daemon{Daemon: d, since: now}
	r.groups = nil
}

// Forget drops a daemon that is gone.
func (r *Roster) Forget(name string) {
	code := core.CodeOf(name)
	delete(r.known, code)
	delete(r.reports, code)
	r.groups = nil
}

// Unknown returns daemons that hubs have named and that are not known here, and the
// daemon to be asked for them.
func (r *Roster) Unknown(now time.Time) (ask core.Code, codes []core.Code) {
	note := func(from, code core.Code) {
		if len(codes) == 0 || from == ask && len(codes) < maxUnknown {
			ask, codes = from, append(codes, code)
		}
	}
	for code, from := range r.unknown {
		note(from, code)
	}
	clear(r.unknown)
	_, hubs := r.hubs(now)
	direct := len(hubs) == 0 || r.acts(now)
	r.strangers(now, func(hub, code core.Code) bool {
		if !direct {
			hub = hubs[0]
		}
		note(hub, code)
		return true
	})
	return ask, codes
}

// HasUnknown says whether hubs have named daemons that are not known here.
func (r *Roster) HasUnknown(now time.Time) bool {
	found := len(r.unknown) > 0
	if !found {
		r.strangers(now, func(core.Code, core.Code) bool {
			found = true
			return false
		})
	}
	return found
}

// strangers goes through the members that are not known, with the hub that names each,
// while fn returns true.
func (r *Roster) strangers(now time.Time, fn func(hub, code core.Code) bool) {
	for _, p := range r.live(now) {
		for code, m := range p.members {
			if r.strange(code, m) && !fn(p.hub, code) {
				return
			}
		}
	}
}

// strange says whether a member is not known, or has other addresses than are known.
func (r *Roster) strange(code core.Code, m member) bool {
	k, ok := r.known[code]
	return !ok || k.Tag != m.tag && code != r.self
}

// Others are the requests in progress at each runner from the other daemons of the place.
func (r *Roster) Others() map[core.Code]int {
	out := make(map[core.Code]int, len(r.total))
	for code, n := range r.total {
		if n -= r.told[code]; n > 0 {
			out[code] = n
		}
	}
	return out
}

// Usage is that of the other daemons by workspace. What is left is as the hub thinks, or
// as the other hubs do where this daemon acts as one.
func (r *Roster) Usage(now time.Time) map[core.Code]core.Usage {
	if now.Sub(r.usageAt) >= partLife {
		return nil
	}
	out := make(map[core.Code]core.Usage, len(r.usage))
	for code, u := range r.usage {
		own := r.used[code]
		u.Asked, u.Spent = max(0, u.Asked-own.Asked), max(0, u.Spent-own.Spent)
		out[code] = u
	}
	return out
}

// Tick takes in what this daemon tells of itself, and returns what is to be sent each
// TellEvery.
func (r *Roster) Tick(now time.Time, word Word) []Message {
	r.turn++
	r.word = word
	r.excuse(now)
	r.expire(now)
	out := r.report(now)
	if r.acts(now) {
		return append(out, r.digests(now, r.turn)...)
	}
	r.acting = time.Time{}
	delete(r.parts, r.self) // another hub tells of the group now
	return out
}

// Nudge takes in what this daemon tells of itself now, and returns what is to be sent at
// once.
func (r *Roster) Nudge(now time.Time, word Word) []Message {
	r.word = word
	out := r.report(now)
	return append(out, r.outOfTurn(now)...)
}

// outOfTurn returns digests for what must be known soon.
func (r *Roster) outOfTurn(now time.Time) []Message {
	if !r.acts(now) || now.Sub(r.urgent) < urgentEvery {
		return nil
	}
	r.urgent = now
	return r.digests(now, 0)
}

// excuse makes what was heard before a time in which this daemon stood still as young as
// it was then. What came meanwhile is still to be read: a small VM that had no turn for
// two seconds would miss all others.
func (r *Roster) excuse(now time.Time) {
	gap := now.Sub(r.ticked) - TellEvery
	was := r.ticked
	r.ticked = now
	if was.IsZero() || gap < stalled-TellEvery {
		return
	}
	younger := func(at time.Time) time.Time {
		if at = at.Add(gap); at.After(now) {
			return now // was heard after it
		}
		return at
	}
	for _, one := range r.reports {
		one.at = younger(one.at)
	}
	for _, p := range r.parts {
		p.at = younger(p.at)
		if !p.loadsAt.IsZero() {
			p.loadsAt = younger(p.loadsAt)
		}
	}
	for _, k := range r.known {
		k.hub = younger(k.hub)
	}
}

// expire drops reports and parts that nobody has renewed.
func (r *Roster) expire(now time.Time) {
	maps.DeleteFunc(r.reports, func(_ core.Code, one *report) bool { return now.Sub(one.at) >= memberSilence })
	for hub, p := range r.parts {
		if now.Sub(p.at) >= partLife {
			delete(r.parts, hub)
		}
	}
}

// Name is the name of a daemon that is known, or empty.
func (r *Roster) Name(code core.Code) string {
	k, ok := r.known[code]
	if !ok {
		return ""
	}
	return k.Daemon.Name
}
