package roster

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

var (
	// ErrUnreadable is the error of a datagram that can't be read.
	ErrUnreadable = errors.New("datagram unreadable")
	// ErrUnknown is the error of a datagram of a daemon that is not known, or whose
	// addresses have changed: it is to be asked who it is.
	ErrUnknown = errors.New("daemon unknown")
)

// Take takes in a datagram of another daemon, and returns what is to be sent for it and
// what it told of the groups.
func (r *Roster) Take(now time.Time, data []byte) ([]Message, []News, error) {
	var d rosterv1.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return nil, nil, ErrUnreadable
	}
	switch kind := d.Kind.(type) {
	case *rosterv1.Datagram_Report:
		out, err := r.takeReport(now, kind.Report)
		return out, nil, err
	case *rosterv1.Datagram_Digest:
		return r.takeDigest(now, kind.Digest)
	default:
		return nil, nil, ErrUnreadable
	}
}

func (r *Roster) takeReport(now time.Time, m *rosterv1.Report) ([]Message, error) {
	code := core.CodeOf(m.Name)
	k, ok := r.known[code]
	if !ok || k.Tag != uint8(m.Tag) || k.Name != m.Name {
		return nil, ErrUnknown
	}
	was, ok := r.reports[code]
	if ok && m.Boot < k.Boot && now.Sub(was.at) < memberSilence {
		return nil, nil // of a process that has been replaced
	}
	k.Boot = m.Boot
	w := Word{
		Status: statusOf(rosterv1.Flag(m.Flags)), Knows: changesFrom(m.Knows), Down: codesFrom(m.Down),
		Loads: loadsFrom(m.Loads), Usage: usageFrom(m.Usage),
	}
	w.Term, w.Confirmed = m.Term, time.Duration(m.Confirmed)*time.Millisecond
	r.reports[code] = &report{Word: w, at: now, spare: m.Spare}
	if !ok || r.soon(&was.Word, &w) {
		return r.outOfTurn(now), nil
	}
	return nil, nil
}

// soon says whether others must know of a daemon's new word before the next turn: what it
// is, or a change of the store that nobody here knew.
func (r *Roster) soon(was, is *Word) bool {
	if was.Ready != is.Ready || was.Leaving != is.Leaving || was.Term != is.Term {
		return true
	}
	own := r.parts[r.self]
	return own != nil && newer(is.Knows, own.knows)
}

// newer says whether one knows a change that another does not.
func newer(one, than core.Changes) bool {
	return one.Config > than.Config || one.Runners > than.Runners || one.Settings > than.Settings
}

func (r *Roster) takeDigest(now time.Time, m *rosterv1.Digest) ([]Message, []News, error) {
	if len(m.Parts) == 0 {
		return nil, nil, ErrUnreadable
	}
	from := core.CodeOf(m.Parts[0].Hub)
	k, ok := r.known[from]
	if !ok || k.Name != m.Parts[0].Hub {
		return nil, nil, ErrUnknown
	}
	if from == r.self {
		return nil, nil, nil
	}
	if m.Fleet {
		return r.takeFleet(now, from, m)
	}
	news := r.takePart(now, m.Parts[0])
	p := r.parts[from]
	if m.Loads != nil {
		p.loads, p.loadsAt = merge(p.loads, m.Loads), now
	}
	if m.Usage != nil {
		p.usage, p.usageAt = mergeUsage(p.usage, m.Usage), now
	}
	if r.acts(now) {
		if news.changed {
			return r.outOfTurn(now), news.list(), nil
		}
		return nil, news.list(), nil
	}
	return r.pass(now, m), news.list(), nil
}

// pass gives another group's digest to this group's hub: its sender does not know who
// that is.
func (r *Roster) pass(now time.Time, m *rosterv1.Digest) []Message {
	hub, _ := r.hubs(now)
	if m.Passed || hub == 0 {
		return nil
	}
	m.Passed = true
	return []Message{{To: hub, Kind: KindDigest, Data: write(&rosterv1.Datagram{Kind: &rosterv1.Datagram_Digest{Digest: m}})}}
}

// takeFleet takes in the digest of a hub of this group.
func (r *Roster) takeFleet(now time.Time, from core.Code, m *rosterv1.Digest) ([]Message, []News, error) {
	r.known[from].hub = now
	var out []News
	acts := r.acts(now)
	for i, one := range m.Parts {
		hub := core.CodeOf(one.Hub)
		if k, ok := r.known[hub]; hub == r.self || !ok || k.Name != one.Hub {
			if !ok && one.Hub != "" {
				r.unknown[hub] = from
			}
			continue
		}
		if acts && i > 0 {
			continue // is told by the hubs themselves
		}
		out = append(out, r.takePart(now, one).list()...)
	}
	if !acts && m.Loads != nil && r.counts(from) {
		r.total = merge(r.total, m.Loads)
	}
	if !acts && m.Usage != nil && r.counts(from) {
		r.usage, r.usageAt = mergeUsage(r.usage, m.Usage), now
	}
	return nil, out, nil
}

// counts says whether a hub counts this daemon. One that has just begun to act has no
// reports yet: its sum would make all runners seem idle.
func (r *Roster) counts(hub core.Code) bool {
	_, ok := r.parts[hub].members[r.self]
	return ok
}

// taken is what a part has told.
type taken struct {
	News
	newer, changed bool
}

func (t taken) list() []News {
	if !t.newer {
		return nil
	}
	return []News{t.News}
}

// takePart takes in what a hub has told of its group, unless it is older than what is
// known of it.
func (r *Roster) takePart(now time.Time, m *rosterv1.Part) taken {
	hub := core.CodeOf(m.Hub)
	at := now.Add(-time.Duration(m.Age) * time.Millisecond)
	p, ok := r.parts[hub]
	if !ok {
		p = &part{hub: hub, members: map[core.Code]member{}}
		r.parts[hub] = p
	}
	if ok && at.Before(p.at) {
		if p.held != m.Version && m.Members != nil && p.version == m.Version {
			p.members, p.held = membersFrom(m.Members), m.Version // by a later packet of one turn
		}
		return taken{}
	}
	was := p.version
	knew := p.knows
	p.at, p.version, p.knows, p.sources = at, m.Version, changesFrom(m.Knows), sourcesFrom(m.Sources)
	p.confirmed, p.down = time.Duration(m.Confirmed)*time.Millisecond, codesFrom(m.Down)
	if m.Confirmed < 0 {
		p.confirmed = -1
	}
	p.touch = int(m.Touch)
	p.claims = make(map[core.Code]claim, len(m.Claims))
	for _, c := range m.Claims {
		p.claims[core.Code(c.Code)] = claim{c.Term, c.Fresh}
	}
	if m.Members != nil && p.held != m.Version {
		p.members, p.held = membersFrom(m.Members), m.Version
	}
	changed := was != p.version || newer(p.knows, knew)
	if was != p.version {
		p.fresh = repeats
	}
	if changed {
		p.due = repeats
	}
	return taken{News{Place: r.known[hub].Place, Sources: p.sources, Knows: p.knows, Confirmed: p.confirmed, Down: p.down}, true, changed}
}

// membersFrom reads a list of members.
func membersFrom(m *rosterv1.Members) map[core.Code]member {
	out := make(map[core.Code]member, len(m.Codes))
	for i, code := range m.Codes {
		if i >= len(m.Tags) || i >= len(m.Flags) || i >= len(m.Lag) {
			break
		}
		out[core.Code(code)] = member{tag: m.Tags[i], flags: rosterv1.Flag(m.Flags[i]), lag: m.Lag[i]}
	}
	return out
}
