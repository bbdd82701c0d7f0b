package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// report tells this daemon's word to its hubs.
func (r *Roster) report(now time.Time) []Message {
	hub, to := r.hubs(now)
	if len(to) == 0 {
		return nil
	}
	r.told, r.used = r.word.Loads, r.word.Usage
	self, w := r.known[r.self], &r.word
	report := &rosterv1.Report{
		Name: self.Name, Boot: self.Boot, Tag: uint32(self.Tag), Flags: uint32(flagsOf(&w.Status)), Term: w.Term,
		Knows: changesTo(w.Knows), Confirmed: millis(w.Confirmed), Down: codesTo(w.Down), Loads: loadsTo(w.Loads),
		Usage: usageTo(w.Usage),
	}
	out := make([]Message, len(to))
	for i, code := range to {
		report.Spare = code != hub
		out[i] = Message{To: code, Kind: KindReport, Data: write(&rosterv1.Datagram{Kind: &rosterv1.Datagram_Report{Report: report}})}
	}
	return out
}

// digests tells this daemon's group of the fleet, and the other hubs of the group.
// Turn 0 is out of turn and for all of them.
func (r *Roster) digests(now time.Time, turn int) []Message {
	if r.acting.IsZero() {
		r.acting = now
	}
	own := r.gather(now)
	if r.complete(now) {
		r.total = r.placeLoads(now)
	}
	r.told, r.used = r.word.Loads, r.word.Usage
	if r.usageComplete(now) {
		r.usage, r.usageAt = r.fleetUsage(now), now
	}
	return append(r.toHubs(now, own, turn), r.toGroup(now, turn)...)
}

// toHubs tells the hubs of the other groups of this one.
func (r *Roster) toHubs(now time.Time, own *part, turn int) []Message {
	full := own.fresh > 0 || turn%lonelyTurns == 0
	parts := []*rosterv1.Part{r.write(now, own, full)}
	usage := inTurn(usageChunks(own.usage), turn, hubChunks)
	near, far := pack(false, parts, inTurn(chunksOf(own.loads), turn, hubChunks), usage), pack(false, parts, nil, usage)
	var out []Message
	for key, codes := range r.allGroups() {
		if key == r.own || key.place != r.own.place && turn%farTurns != 0 {
			continue
		}
		to := slices.DeleteFunc(slices.Clone(codes), func(code core.Code) bool {
			p := r.parts[code]
			return p == nil || now.Sub(p.at) >= partLife
		})
		if len(to) == 0 {
			to = r.search(codes)
		}
		packets := far
		if key.place == r.own.place {
			packets = near
		}
		for _, code := range to {
			out = appendTo(out, code, packets)
		}
	}
	return out
}

// toGroup tells the daemons of this group what is known of all groups. The members of a
// part are told where they have changed, and in turn.
func (r *Roster) toGroup(now time.Time, turn int) []Message {
	hubs := slices.Sorted(maps.Keys(r.parts))
	hubs = append([]core.Code{r.self}, slices.DeleteFunc(hubs, func(c core.Code) bool { return c == r.self })...)
	var parts []*rosterv1.Part
	for i, hub := range hubs {
		p := r.parts[hub]
		itsTurn := (i+turn*partsPerTurn)%len(hubs) < partsPerTurn
		if i > 0 && p.due == 0 && !itsTurn {
			continue
		}
		full := p.fresh > 0 || turn%len(hubs) == i
		p.fresh, p.due = max(0, p.fresh-1), max(0, p.due-1)
		parts = append(parts, r.write(now, p, full))
	}
	var loads []*rosterv1.Loads
	if turn > 0 && r.complete(now) {
		// One chunk a turn: each daemon gets one packet a turn, however many runners
		// there are.
		loads = inTurn(chunksOf(r.total), turn, 1)
	}
	var usage []*rosterv1.Usage
	if turn > 0 && r.usageComplete(now) {
		usage = inTurn(usageChunks(r.usage), turn, 1)
	}
	packets := pack(true, parts, loads, usage)
	var out []Message
	for _, code := range r.mine() {
		_, follows := r.reports[code]
		if code != r.self && (follows || turn%lonelyTurns == 0) {
			out = appendTo(out, code, packets)
		}
	}
	return out
}

// inTurn returns the chunks that a turn tells, n of all.
func inTurn[T any](chunks []T, turn, n int) []T {
	if len(chunks) <= n {
		return chunks
	}
	at := turn * n % len(chunks)
	return append(chunks, chunks...)[at : at+n]
}

func appendTo(out []Message, to core.Code, packets [][]byte) []Message {
	for _, data := range packets {
		out = append(out, Message{To: to, Kind: KindDigest, Data: data})
	}
	return out
}

// gather sums up the reports of this group, as a part of its own.
func (r *Roster) gather(now time.Time) *part {
	was := r.parts[r.self]
	p := &part{
		hub: r.self, at: now, loadsAt: now, usageAt: now, confirmed: -1, members: make(map[core.Code]member, len(r.reports)+1),
		claims: map[core.Code]claim{}, loads: map[core.Code]int{},
		usage: map[core.Code]core.Usage{},
	}
	words := make(map[core.Code]*Word, len(r.reports)+1)
	for code, one := range r.reports {
		words[code] = &one.Word
		if one.spare && now.Sub(r.acting) >= loadLife {
			continue // is counted by the hub that it follows
		}
		for runner, n := range one.Loads {
			p.loads[runner] += n
		}
		if now.Sub(one.at) < TouchFor {
			addUsage(p.usage, one.Usage)
			p.touch++
		}
	}
	p.touch++
	for runner, n := range r.word.Loads {
		p.loads[runner] += n
	}
	addUsage(p.usage, r.word.Usage)
	p.settle(r.word.Usage)
	words[r.self] = &r.word
	down := map[core.Code]bool{}
	for code, w := range words {
		p.learn(code, w.Knows)
		for _, runner := range w.Down {
			down[runner] = true
		}
		if w.Term > 0 {
			p.claims[code] = claim{w.Term, w.Fresh}
		}
	}
	p.down = slices.Sorted(maps.Keys(down))
	for code, w := range words {
		p.members[code] = member{tag: r.known[code].Tag, flags: flagsOf(&w.Status), lag: p.knows.Settings - w.Knows.Settings}
		if w.Knows.Settings == p.knows.Settings && w.Confirmed >= 0 && (p.confirmed < 0 || w.Confirmed < p.confirmed) {
			p.confirmed = w.Confirmed
		}
	}
	p.version = versionOf(p.members)
	p.held = p.version
	switch {
	case was == nil || was.version != p.version:
		p.fresh = repeats
	default:
		p.fresh = was.fresh
	}
	r.parts[r.self] = p
	return p
}

// learn takes in the changes that a daemon of the group knows.
func (p *part) learn(code core.Code, knows core.Changes) {
	for _, one := range []struct {
		is     uint64
		newest *uint64
		source *core.Code
	}{
		{knows.Config, &p.knows.Config, &p.sources.Config},
		{knows.Runners, &p.knows.Runners, &p.sources.Runners},
		{knows.Settings, &p.knows.Settings, &p.sources.Settings},
	} {
		if one.is > *one.newest {
			*one.newest, *one.source = one.is, code
		}
	}
}

// versionOf is equal for equal members.
func versionOf(members map[core.Code]member) uint64 {
	h := xxhash.New()
	for _, code := range slices.Sorted(maps.Keys(members)) {
		m := members[code]
		_, _ = h.Write([]byte{
			byte(code), byte(code >> 8), byte(code >> 16), byte(code >> 24), m.tag, byte(m.flags),
			byte(m.lag), byte(m.lag >> 8), byte(m.lag >> 16), byte(m.lag >> 24),
		}) // a hash takes all bytes
	}
	return h.Sum64()
}

// placeLoads sums up the loads of the place's groups.
func (r *Roster) placeLoads(now time.Time) map[core.Code]int {
	out := map[core.Code]int{}
	for _, p := range r.parts {
		if !r.near(p) || now.Sub(p.loadsAt) >= loadLife {
			continue
		}
		for runner, n := range p.loads {
			out[runner] += n
		}
	}
	return out
}

// near says whether a part is of this daemon's place.
func (r *Roster) near(p *part) bool {
	k, ok := r.known[p.hub]
	return ok && k.Place == r.own.place
}

// complete says whether the sum of loads is that of all groups of the place. A hub that
// has just begun to act has not heard from all: its sum would make runners seem idle.
func (r *Roster) complete(now time.Time) bool {
	if now.Sub(r.acting) >= loadLife {
		return true
	}
	for _, p := range r.parts {
		if r.near(p) && p.loadsAt.IsZero() {
			return false
		}
	}
	return true
}

// write writes a part, with its members if full is set.
func (r *Roster) write(now time.Time, p *part, full bool) *rosterv1.Part {
	k, ok := r.known[p.hub]
	if !ok {
		return &rosterv1.Part{}
	}
	age := now.Sub(p.at)
	out := &rosterv1.Part{
		Hub: k.Name, Age: uint32(age.Milliseconds()), Version: p.version, Knows: changesTo(p.knows), Sources: sourcesTo(p.sources),
		Confirmed: millis(p.confirmed), Down: codesTo(p.down), Touch: uint32(p.touch),
	}
	for code, c := range p.claims {
		out.Claims = append(out.Claims, &rosterv1.Claim{Code: uint32(code), Term: c.term, Fresh: c.fresh})
	}
	if !full || p.held != p.version {
		return out
	}
	m := &rosterv1.Members{}
	for code, one := range p.members {
		m.Codes = append(m.Codes, uint32(code))
		m.Tags = append(m.Tags, one.tag)
		m.Flags = append(m.Flags, byte(one.flags))
		m.Lag = append(m.Lag, one.lag)
	}
	out.Members = m
	return out
}
