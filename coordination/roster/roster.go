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
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
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
	Down  []core.Code       // runners that have refused its connections lately
	Loads map[core.Code]int // its requests in progress by runner
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
	Source    core.Code // a daemon that knows the changes
	Knows     core.Changes
	Confirmed time.Duration
	Down      []core.Code
}

type groupKey struct {
	place string
	index int
}

// daemon is another daemon, or this one.
type daemon struct {
	Daemon
	hub time.Time // when it was last heard as a hub
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
	source    core.Code
	confirmed time.Duration
	down      []core.Code
	claims    map[core.Code]claim
	loads     map[core.Code]int // known to hubs only
	loadsAt   time.Time         // zero: not told yet
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
	parts   map[core.Code]*part     // by hub; this one's while it acts
	total   map[core.Code]int       // loads of the fleet as last told
	unknown map[core.Code]core.Code // hubs that are not known, and the hub that named them
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
	k := &daemon{Daemon: d}
	if now.Sub(r.started) < hubSilence {
		k.hub = now
	}
	r.known[code] = k
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
	for _, p := range r.live(now) {
		from := p.hub
		if !direct {
			from = hubs[0]
		}
		for code, m := range p.members {
			if k, ok := r.known[code]; !ok || k.Tag != m.tag && code != r.self {
				note(from, code)
			}
		}
	}
	return ask, codes
}

// Status is the state of a daemon that is alive. Of two hubs that name it the later word
// counts.
func (r *Roster) Status(now time.Time, code core.Code) (Status, bool) {
	var best *part
	for _, p := range r.parts {
		if _, ok := p.members[code]; ok && now.Sub(p.at) < partLife && (best == nil || p.at.After(best.at)) {
			best = p
		}
	}
	if best == nil {
		return Status{}, false
	}
	return best.status(now, code), true
}

// Each calls fn with the state of each daemon that is alive, as Status returns it. Where
// several hubs name one the last call counts.
func (r *Roster) Each(now time.Time, fn func(code core.Code, s Status)) {
	for _, p := range r.live(now) {
		for code := range p.members {
			fn(code, p.status(now, code))
		}
	}
}

// live are the parts that hold, oldest first.
func (r *Roster) live(now time.Time) []*part {
	var out []*part
	for _, p := range r.parts {
		if now.Sub(p.at) < partLife {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *part) int { return a.at.Compare(b.at) })
	return out
}

// status is the state of one of a part's members.
func (p *part) status(now time.Time, code core.Code) Status {
	m := p.members[code]
	has := func(f rosterv1.Flag) bool { return m.flags&f != 0 }
	s := Status{
		Ready: has(rosterv1.Flag_FLAG_READY), Failing: has(rosterv1.Flag_FLAG_FAILING), Leaving: has(rosterv1.Flag_FLAG_LEAVING),
		Settings: p.knows.Settings - m.lag, Confirmed: p.confirmed,
	}
	if c, ok := p.claims[code]; ok {
		s.Term, s.Fresh = c.term, c.fresh
	}
	if s.Confirmed >= 0 {
		s.Confirmed += now.Sub(p.at)
	}
	return s
}

// Others are the requests in progress at each runner from all other daemons.
func (r *Roster) Others() map[core.Code]int {
	out := make(map[core.Code]int, len(r.total))
	for code, n := range r.total {
		if n -= r.told[code]; n > 0 {
			out[code] = n
		}
	}
	return out
}

// groupsOf is how many groups a place of a size has: a power of two, so that it rarely
// changes as daemons come and go.
func groupsOf(size int) int { return 1 << bits.Len(uint((size-1)/groupSize)) }

func keyOf(place string, code core.Code, groups int) groupKey {
	return groupKey{place, int(code) & (groups - 1)}
}

// allGroups returns the daemons of each group in the order in which they act as its hub.
func (r *Roster) allGroups() map[groupKey][]core.Code {
	if r.groups != nil {
		return r.groups
	}
	sizes := map[string]int{}
	for _, k := range r.known {
		sizes[k.Place]++
	}
	r.groups = map[groupKey][]core.Code{}
	for code, k := range r.known {
		key := keyOf(k.Place, code, groupsOf(sizes[k.Place]))
		r.groups[key] = append(r.groups[key], code)
	}
	r.own = keyOf(r.known[r.self].Place, r.self, groupsOf(sizes[r.known[r.self].Place]))
	for _, codes := range r.groups {
		slices.SortFunc(codes, func(a, b core.Code) int {
			return cmp.Or(cmp.Compare(r.known[b].Cores, r.known[a].Cores), cmp.Compare(a, b))
		})
	}
	return r.groups
}

// mine are the daemons of this one's group, in order.
func (r *Roster) mine() []core.Code {
	groups := r.allGroups()
	return groups[r.own]
}

// heard says whether a daemon was heard as a hub lately, and stays.
func (r *Roster) heard(now time.Time, code core.Code) bool {
	if now.Sub(r.known[code].hub) >= hubSilence {
		return false
	}
	s, ok := r.Status(now, code)
	return !ok || !s.Leaving
}

// acts says whether this daemon acts as the hub of its group: it hears none before it
// or, where it leaves or has just started, none at all.
func (r *Roster) acts(now time.Time) bool {
	yields := r.word.Leaving || now.Sub(r.started) < loadLife
	for _, code := range r.mine() {
		if code == r.self {
			if !yields {
				return true
			}
			continue
		}
		if r.heard(now, code) {
			return false
		}
	}
	return true
}

// hubs are the daemons that this one reports to: the group's hub and the one that comes
// after it, beside the hub itself. One that has not been heard is still told now and then, as it may just have
// started and know nobody.
func (r *Roster) hubs(now time.Time) (hub core.Code, out []core.Code) {
	found := false
	for _, code := range r.mine() {
		switch {
		case code == r.self:
			if found {
				return hub, out // comes after the hub itself
			}
			found = r.acts(now)
		case !found && r.heard(now, code):
			hub, out, found = code, append(out, code), true
		case found:
			if s, ok := r.Status(now, code); ok && !s.Leaving {
				return hub, append(out, code)
			}
		case r.turn%lonelyTurns == 0:
			if _, ok := r.Status(now, code); ok {
				out = append(out, code)
			}
		}
	}
	return hub, out
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
	r.dropOwnPart()
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

// dropOwnPart forgets what this daemon has told as a hub, once another one acts.
func (r *Roster) dropOwnPart() {
	delete(r.parts, r.self)
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
	for _, one := range r.reports {
		one.at = one.at.Add(gap)
	}
	for _, p := range r.parts {
		p.at = p.at.Add(gap)
		p.loadsAt = p.loadsAt.Add(gap)
	}
	for _, k := range r.known {
		k.hub = k.hub.Add(gap)
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

// Contacts are daemons that one that has just started tells of itself: the first of each
// group, one of which is likely to be its hub.
func (r *Roster) Contacts() []core.Code {
	var out []core.Code
	for _, codes := range r.allGroups() {
		for _, code := range codes[:min(len(codes), contacts)] {
			if code != r.self {
				out = append(out, code)
			}
		}
	}
	return out
}

// search are three daemons of a group whose hub is not heard: two in order, and one
// drawn, as the first may all be gone. One that is no hub passes the digest on.
func (r *Roster) search(codes []core.Code) []core.Code {
	at := r.turn / searchTurns * 2 % len(codes)
	out := []core.Code{codes[at]}
	if next := codes[(at+1)%len(codes)]; next != codes[at] {
		out = append(out, next)
	}
	return append(out, codes[rand.IntN(len(codes))])
}

// Hubs are the hubs that are heard, without this daemon: each of another group, or this
// group's where another daemon acts as it.
func (r *Roster) Hubs(now time.Time) []core.Code {
	var out []core.Code
	for hub, p := range r.parts {
		if hub != r.self && now.Sub(p.at) < hubLife {
			out = append(out, hub)
		}
	}
	return out
}

// Group are the daemons that report to this one, if it acts as their hub.
func (r *Roster) Group(now time.Time) []core.Code {
	if !r.acts(now) {
		return nil
	}
	return slices.Collect(maps.Keys(r.reports))
}

// Acts says whether this daemon acts as the hub of its group, and how many report to it.
func (r *Roster) Acts(now time.Time) (acts bool, reports int) { return r.acts(now), len(r.reports) }

// Name is the name of a daemon that is known, or empty.
func (r *Roster) Name(code core.Code) string {
	k, ok := r.known[code]
	if !ok {
		return ""
	}
	return k.Daemon.Name
}
