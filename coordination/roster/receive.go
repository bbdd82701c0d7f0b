package roster

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

var (
	// ErrUnreadable is returned for a datagram that cannot be decoded.
	ErrUnreadable = errors.New("datagram unreadable")
	// ErrUnknown is returned for a datagram from a daemon that is not known or whose
	// addresses have changed: the caller has to request its name and addresses.
	ErrUnknown = errors.New("daemon unknown")
)

// Receive processes a datagram from another daemon, and returns the messages to send because of
// it and what it contained about groups.
func (r *Roster) Receive(now time.Time, data []byte) ([]Message, []Summary, error) {
	var d rosterv1.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return nil, nil, ErrUnreadable
	}
	switch kind := d.Kind.(type) {
	case *rosterv1.Datagram_Report:
		out, err := r.receiveReport(now, kind.Report)
		return out, nil, err
	case *rosterv1.Datagram_Digest:
		return r.receiveSummary(now, kind.Digest)
	default:
		return nil, nil, ErrUnreadable
	}
}

func (r *Roster) receiveReport(now time.Time, m *rosterv1.Report) ([]Message, error) {
	code := core.CodeOf(m.Name)
	k, ok := r.daemons[code]
	if !ok || k.AddressTag != uint8(m.Tag) || k.Name != m.Name {
		return nil, ErrUnknown
	}
	previous, ok := r.reports[code]
	if ok && m.Boot < k.Incarnation && now.Sub(previous.receivedAt) < reportTimeout {
		return nil, nil // from a process that has been replaced
	}
	k.Incarnation = m.Boot
	report := Report{
		Status: decodeFlags(rosterv1.Flag(m.Flags)), LastChanges: decodeChanges(m.Knows), RefusingRunners: decodeCodes(m.Down),
		Loads: decodeLoads(m.Loads), Usage: decodeUsage(m.Usage),
	}
	report.Term, report.Confirmed = m.Term, time.Duration(m.Confirmed)*time.Millisecond
	r.reports[code] = &receivedReport{Report: report, receivedAt: now, standby: m.Spare}
	if !ok || r.isUrgent(&previous.Report, &report) {
		return r.urgentSummaries(now), nil
	}
	return nil, nil
}

// isUrgent reports whether a daemon's new report has to reach others before the next tick:
// the daemon's readiness, its leaving or its term has changed, or it has a change of the store
// that the group did not have.
func (r *Roster) isUrgent(previous, current *Report) bool {
	if previous.Ready != current.Ready || previous.Leaving != current.Leaving || previous.Term != current.Term {
		return true
	}
	own := r.groupStates[r.self]
	return own != nil && hasNewerChanges(current.LastChanges, own.changes)
}

// hasNewerChanges reports whether changes contains a change that than lacks.
func hasNewerChanges(changes, than core.Changes) bool {
	return changes.Config > than.Config || changes.Runners > than.Runners || changes.Settings > than.Settings
}

func (r *Roster) receiveSummary(now time.Time, m *rosterv1.Digest) ([]Message, []Summary, error) {
	if len(m.Parts) == 0 {
		return nil, nil, ErrUnreadable
	}
	from := core.CodeOf(m.Parts[0].Hub)
	k, ok := r.daemons[from]
	if !ok || k.Name != m.Parts[0].Hub {
		return nil, nil, ErrUnknown
	}
	if from == r.self {
		return nil, nil, nil
	}
	if m.Fleet {
		return r.receiveFleetSummary(now, from, m)
	}
	change := r.updateGroupState(now, m.Parts[0])
	g := r.groupStates[from]
	if m.Loads != nil {
		g.loads, g.loadsAt = mergeLoads(g.loads, m.Loads), now
	}
	if m.Usage != nil {
		g.usage, g.usageAt = mergeUsage(g.usage, m.Usage), now
	}
	if r.isHub(now) {
		if change.changed {
			return r.urgentSummaries(now), change.updates(), nil
		}
		return nil, change.updates(), nil
	}
	return r.forwardToHub(now, m), change.updates(), nil
}

// forwardToHub forwards a summary of another group to the hub of this group: its sender does
// not know which daemon that is.
func (r *Roster) forwardToHub(now time.Time, m *rosterv1.Digest) []Message {
	hub, _ := r.reportTargets(now)
	if m.Passed || hub == 0 {
		return nil
	}
	m.Passed = true
	return []Message{{To: hub, Kind: KindSummary, Data: marshal(&rosterv1.Datagram{Kind: &rosterv1.Datagram_Digest{Digest: m}})}}
}

// receiveFleetSummary processes a summary from a hub of this group.
func (r *Roster) receiveFleetSummary(now time.Time, from core.Code, m *rosterv1.Digest) ([]Message, []Summary, error) {
	r.daemons[from].lastSeenAsHub = now
	var out []Summary
	acts := r.isHub(now)
	for i, part := range m.Parts {
		hub := core.CodeOf(part.Hub)
		if k, ok := r.daemons[hub]; hub == r.self || !ok || k.Name != part.Hub {
			if !ok && part.Hub != "" {
				r.unknownHubs[hub] = from
			}
			continue
		}
		if acts && i > 0 {
			continue // the other hubs send it to this one directly
		}
		out = append(out, r.updateGroupState(now, part).updates()...)
	}
	if !acts && m.Loads != nil && r.isCountedBy(from) {
		r.totalLoads = mergeLoads(r.totalLoads, m.Loads)
	}
	if !acts && m.Usage != nil && r.isCountedBy(from) {
		r.totalUsage, r.totalUsageAt = mergeUsage(r.totalUsage, m.Usage), now
	}
	return nil, out, nil
}

// isCountedBy reports whether this daemon is a member in the state that a hub sent. A hub
// that has just begun to act has no reports yet: its sum would make all runners seem idle.
func (r *Roster) isCountedBy(hub core.Code) bool {
	_, ok := r.groupStates[hub].members[r.self]
	return ok
}

// stateChange is the result of updateGroupState.
type stateChange struct {
	Summary
	accepted, changed bool
}

func (t stateChange) updates() []Summary {
	if !t.accepted {
		return nil
	}
	return []Summary{t.Summary}
}

// updateGroupState stores the state that a hub sent of its group, unless the stored one is
// newer.
func (r *Roster) updateGroupState(now time.Time, m *rosterv1.Part) stateChange {
	hub := core.CodeOf(m.Hub)
	at := now.Add(-time.Duration(m.Age) * time.Millisecond)
	g, ok := r.groupStates[hub]
	if !ok {
		g = &groupState{hub: hub, members: map[core.Code]member{}}
		r.groupStates[hub] = g
	}
	if ok && at.Before(g.sentAt) {
		if g.membersVersion != m.Version && m.Members != nil && g.version == m.Version {
			g.members, g.membersVersion = decodeMembers(m.Members), m.Version // in a later packet of the same tick
		}
		return stateChange{}
	}
	previousVersion := g.version
	previousChanges := g.changes
	g.sentAt, g.version, g.changes, g.sources = at, m.Version, decodeChanges(m.Knows), decodeSources(m.Sources)
	g.confirmed, g.refusingRunners = time.Duration(m.Confirmed)*time.Millisecond, decodeCodes(m.Down)
	if m.Confirmed < 0 {
		g.confirmed = -1
	}
	g.reachable = int(m.Touch)
	g.claims = make(map[core.Code]claim, len(m.Claims))
	for _, c := range m.Claims {
		g.claims[core.Code(c.Code)] = claim{c.Term, c.Fresh}
	}
	if m.Members != nil && g.membersVersion != m.Version {
		g.members, g.membersVersion = decodeMembers(m.Members), m.Version
	}
	changed := previousVersion != g.version || hasNewerChanges(g.changes, previousChanges)
	if previousVersion != g.version {
		g.memberSendsLeft = changeSends
	}
	if changed {
		g.sendsLeft = changeSends
	}
	return stateChange{Summary{DataCentre: r.daemons[hub].DataCentre, Sources: g.sources, LastChanges: g.changes, Confirmed: g.confirmed, RefusingRunners: g.refusingRunners}, true, changed}
}

// decodeMembers decodes a member list, up to the first incomplete entry.
func decodeMembers(m *rosterv1.Members) map[core.Code]member {
	out := make(map[core.Code]member, len(m.Codes))
	for i, code := range m.Codes {
		if i >= len(m.Tags) || i >= len(m.Flags) || i >= len(m.Lag) {
			break
		}
		out[core.Code(code)] = member{addressTag: m.Tags[i], flags: rosterv1.Flag(m.Flags[i]), settingsLag: m.Lag[i]}
	}
	return out
}
