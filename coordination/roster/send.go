package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// makeReports returns this daemon's reports to its hubs.
func (r *Roster) makeReports(now time.Time) []Message {
	hub, to := r.reportTargets(now)
	if len(to) == 0 {
		return nil
	}
	r.reportedLoads, r.reportedUsage = r.ownReport.Loads, r.ownReport.Usage
	self, own := r.daemons[r.self], &r.ownReport
	report := &rosterv1.Report{
		Name: self.Name, Boot: self.Incarnation, Tag: uint32(self.AddressTag), Flags: uint32(encodeFlags(&own.Status)), Term: own.Term,
		Knows: encodeChanges(own.LastChanges), Confirmed: encodeMillis(own.Confirmed), Down: encodeCodes(own.RefusingRunners), Loads: encodeLoads(own.Loads),
		Usage: encodeUsage(own.Usage),
	}
	out := make([]Message, len(to))
	for i, code := range to {
		report.Spare = code != hub
		out[i] = Message{To: code, Kind: KindReport, Data: marshal(&rosterv1.Datagram{Kind: &rosterv1.Datagram_Report{Report: report}})}
	}
	return out
}

// makeSummaries returns the summaries of the fleet for this daemon's group, and those of the
// group for the other hubs. Tick 0 stands for urgent summaries, which go to all of them.
func (r *Roster) makeSummaries(now time.Time, tick int) []Message {
	if r.actingSince.IsZero() {
		r.actingSince = now
	}
	own := r.collectReports(now)
	if r.loadsComplete(now) {
		r.totalLoads = r.sumLoads(now)
	}
	r.reportedLoads, r.reportedUsage = r.ownReport.Loads, r.ownReport.Usage
	if r.usageComplete(now) {
		r.totalUsage, r.totalUsageAt = r.sumUsage(now), now
	}
	return append(r.summariesToHubs(now, own, tick), r.summariesToGroup(now, tick)...)
}

// summariesToHubs returns the summaries of this group for the hubs of the other groups.
func (r *Roster) summariesToHubs(now time.Time, own *groupState, tick int) []Message {
	full := own.memberSendsLeft > 0 || tick%probeTicks == 0
	parts := []*rosterv1.Part{r.encodeGroupState(now, own, full)}
	usage := chunksForTick(usageChunks(own.usage), tick, hubChunksPerTick)
	local, remote := packSummaries(false, parts, chunksForTick(loadChunks(own.loads), tick, hubChunksPerTick), usage), packSummaries(false, parts, nil, usage)
	var out []Message
	for key, codes := range r.allGroups() {
		if key == r.ownKey || key.dataCentre != r.ownKey.dataCentre && tick%remoteTicks != 0 {
			continue
		}
		to := slices.DeleteFunc(slices.Clone(codes), func(code core.Code) bool {
			g := r.groupStates[code]
			return g == nil || now.Sub(g.sentAt) >= groupStateTTL
		})
		if len(to) == 0 {
			to = r.searchTargets(codes)
		}
		packets := remote
		if key.dataCentre == r.ownKey.dataCentre {
			packets = local
		}
		for _, code := range to {
			out = appendMessages(out, code, packets)
		}
	}
	return out
}

// summariesToGroup returns the summaries of all groups for the daemons of this group. The
// members of a group are included when they have changed, and otherwise in rotation.
func (r *Roster) summariesToGroup(now time.Time, tick int) []Message {
	hubs := slices.Sorted(maps.Keys(r.groupStates))
	hubs = append([]core.Code{r.self}, slices.DeleteFunc(hubs, func(c core.Code) bool { return c == r.self })...)
	var parts []*rosterv1.Part
	for i, hub := range hubs {
		g := r.groupStates[hub]
		inRotation := (i+tick*groupsPerTick)%len(hubs) < groupsPerTick
		if i > 0 && g.sendsLeft == 0 && !inRotation {
			continue
		}
		full := g.memberSendsLeft > 0 || tick%len(hubs) == i
		g.memberSendsLeft, g.sendsLeft = max(0, g.memberSendsLeft-1), max(0, g.sendsLeft-1)
		parts = append(parts, r.encodeGroupState(now, g, full))
	}
	var loads []*rosterv1.Loads
	if tick > 0 && r.loadsComplete(now) {
		// One chunk per tick: each daemon receives one packet per tick, however many
		// runners there are.
		loads = chunksForTick(loadChunks(r.totalLoads), tick, 1)
	}
	var usage []*rosterv1.Usage
	if tick > 0 && r.usageComplete(now) {
		usage = chunksForTick(usageChunks(r.totalUsage), tick, 1)
	}
	packets := packSummaries(true, parts, loads, usage)
	var out []Message
	for _, code := range r.ownMembers() {
		_, reportsHere := r.reports[code]
		if code != r.self && (reportsHere || tick%probeTicks == 0) {
			out = appendMessages(out, code, packets)
		}
	}
	return out
}

// chunksForTick returns the n chunks that are sent at a tick, in rotation.
func chunksForTick[T any](chunks []T, tick, n int) []T {
	if len(chunks) <= n {
		return chunks
	}
	at := tick * n % len(chunks)
	return append(chunks, chunks...)[at : at+n]
}

func appendMessages(out []Message, to core.Code, packets [][]byte) []Message {
	for _, data := range packets {
		out = append(out, Message{To: to, Kind: KindSummary, Data: data})
	}
	return out
}

// collectReports sums up the reports of this group and stores the result as its state.
func (r *Roster) collectReports(now time.Time) *groupState {
	previous := r.groupStates[r.self]
	g := &groupState{
		hub: r.self, sentAt: now, loadsAt: now, usageAt: now, confirmed: -1, members: make(map[core.Code]member, len(r.reports)+1),
		claims: map[core.Code]claim{}, loads: map[core.Code]int{},
		usage: map[core.Code]core.Usage{},
	}
	reports := make(map[core.Code]*Report, len(r.reports)+1)
	for code, received := range r.reports {
		reports[code] = &received.Report
		if received.standby && now.Sub(r.actingSince) >= loadTTL {
			continue // counted by the hub that it follows
		}
		for runner, n := range received.Loads {
			g.loads[runner] += n
		}
		if now.Sub(received.receivedAt) < ReachableFor {
			addUsage(g.usage, received.Usage)
			g.reachable++
		}
	}
	g.reachable++
	for runner, n := range r.ownReport.Loads {
		g.loads[runner] += n
	}
	addUsage(g.usage, r.ownReport.Usage)
	g.setRemaining(r.ownReport.Usage)
	reports[r.self] = &r.ownReport
	refusing := map[core.Code]bool{}
	for code, report := range reports {
		g.addChanges(code, report.LastChanges)
		for _, runner := range report.RefusingRunners {
			refusing[runner] = true
		}
		if report.Term > 0 {
			g.claims[code] = claim{report.Term, report.LeaseRenewed}
		}
	}
	g.refusingRunners = slices.Sorted(maps.Keys(refusing))
	for code, report := range reports {
		g.members[code] = member{addressTag: r.daemons[code].AddressTag, flags: encodeFlags(&report.Status), settingsLag: g.changes.Settings - report.LastChanges.Settings}
		if report.LastChanges.Settings == g.changes.Settings && report.Confirmed >= 0 && (g.confirmed < 0 || report.Confirmed < g.confirmed) {
			g.confirmed = report.Confirmed
		}
	}
	g.version = hashMembers(g.members)
	g.membersVersion = g.version
	switch {
	case previous == nil || previous.version != g.version:
		g.memberSendsLeft = changeSends
	default:
		g.memberSendsLeft = previous.memberSendsLeft
	}
	r.groupStates[r.self] = g
	return g
}

// addChanges adds the changes that a daemon of the group has.
func (g *groupState) addChanges(code core.Code, changes core.Changes) {
	for _, change := range []struct {
		version uint64
		newest  *uint64
		source  *core.Code
	}{
		{changes.Config, &g.changes.Config, &g.sources.Config},
		{changes.Runners, &g.changes.Runners, &g.sources.Runners},
		{changes.Settings, &g.changes.Settings, &g.sources.Settings},
	} {
		if change.version > *change.newest {
			*change.newest, *change.source = change.version, code
		}
	}
}

// hashMembers returns a hash of the members, which is equal for equal members.
func hashMembers(members map[core.Code]member) uint64 {
	h := xxhash.New()
	for _, code := range slices.Sorted(maps.Keys(members)) {
		m := members[code]
		_, _ = h.Write([]byte{
			byte(code), byte(code >> 8), byte(code >> 16), byte(code >> 24), m.addressTag, byte(m.flags),
			byte(m.settingsLag), byte(m.settingsLag >> 8), byte(m.settingsLag >> 16), byte(m.settingsLag >> 24),
		}) // writing to a hash never fails
	}
	return h.Sum64()
}

// sumLoads sums up the loads of the groups of this data centre.
func (r *Roster) sumLoads(now time.Time) map[core.Code]int {
	out := map[core.Code]int{}
	for _, g := range r.groupStates {
		if !r.inOwnDataCentre(g) || now.Sub(g.loadsAt) >= loadTTL {
			continue
		}
		for runner, n := range g.loads {
			out[runner] += n
		}
	}
	return out
}

// inOwnDataCentre reports whether a group is in this daemon's data centre.
func (r *Roster) inOwnDataCentre(g *groupState) bool {
	k, ok := r.daemons[g.hub]
	return ok && k.DataCentre == r.ownKey.dataCentre
}

// loadsComplete reports whether the sum of loads covers all groups of the data centre. A hub
// that has just begun to act has not received the loads of all groups yet: its sum would make
// runners seem idle.
func (r *Roster) loadsComplete(now time.Time) bool {
	if now.Sub(r.actingSince) >= loadTTL {
		return true
	}
	for _, g := range r.groupStates {
		if r.inOwnDataCentre(g) && g.loadsAt.IsZero() {
			return false
		}
	}
	return true
}

// encodeGroupState encodes the state of a group, with its members if full is set.
func (r *Roster) encodeGroupState(now time.Time, g *groupState, full bool) *rosterv1.Part {
	k, ok := r.daemons[g.hub]
	if !ok {
		return &rosterv1.Part{}
	}
	age := now.Sub(g.sentAt)
	out := &rosterv1.Part{
		Hub: k.Name, Age: uint32(age.Milliseconds()), Version: g.version, Knows: encodeChanges(g.changes), Sources: encodeSources(g.sources),
		Confirmed: encodeMillis(g.confirmed), Down: encodeCodes(g.refusingRunners), Touch: uint32(g.reachable),
	}
	for code, c := range g.claims {
		out.Claims = append(out.Claims, &rosterv1.Claim{Code: uint32(code), Term: c.term, Fresh: c.fresh})
	}
	if !full || g.membersVersion != g.version {
		return out
	}
	m := &rosterv1.Members{}
	for code, one := range g.members {
		m.Codes = append(m.Codes, uint32(code))
		m.Tags = append(m.Tags, one.addressTag)
		m.Flags = append(m.Flags, byte(one.flags))
		m.Lag = append(m.Lag, one.settingsLag)
	}
	out.Members = m
	return out
}
