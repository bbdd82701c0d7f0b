package occupancy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primroseward/core"
)

// groupSum returns the sum of this group.
func (t *Tracker) groupSum(now time.Time) sum {
	group := adder{now: now}
	group.add(sum{t.own, t.lastTick, 1})
	for _, s := range t.reports {
		if t.counts(now, s) {
			group.add(s.sum)
		}
	}
	return group.result()
}

// counts reports whether a daemon's report is a part of the sum of this group. One that follows another
// hub is counted there, but may not have noticed that this daemon acts now.
func (t *Tracker) counts(now time.Time, s *source) bool {
	return s.fresh(now) && (!s.standby || t.hubSince.IsZero() || now.Sub(t.hubSince) < startTime)
}

// makeSum returns the sum of this group for the other hubs.
func (t *Tracker) makeSum(now time.Time) []Message {
	t.group = sum{}
	if !t.reportsComplete(now) {
		return nil
	}
	t.group = t.groupSum(now)
	t.updateList(now, t.group)
	data := encodeCounts(now, t.sumHeader(now, kindSum, t.group), t.list, t.listID, t.group.entries)
	var out []Message
	for _, hubs := range [][]core.Code{t.topology.Hubs, t.topology.Standbys} {
		for _, to := range hubs {
			out = appendMessages(t.appendList(out, now, to), to, data)
		}
	}
	return out
}

// makeTotals sums up all groups and returns the totals for the members of this one. Totals that need
// several datagrams are sent less often, so that each daemon receives one datagram in an interval.
func (t *Tracker) makeTotals(now time.Time) []Message {
	if t.group.daemons == 0 || !t.sumsComplete(now) {
		return nil
	}
	all := adder{now: now}
	all.add(t.group)
	for _, s := range t.otherSums(now) {
		all.add(s.sum)
	}
	t.fleet, t.fleetOwn = all.result(), t.own
	t.updateList(now, t.fleet)
	data := encodeCounts(now, t.sumHeader(now, kindTotals, t.fleet), t.list, t.listID, t.fleet.entries)
	if t.tickCount%len(data) != 0 {
		return nil
	}
	var out []Message
	for to, s := range t.reports {
		if !s.fresh(now) {
			continue
		}
		out = t.appendList(out, now, to)
		lead := (t.lastTick.Sub(s.arrivedAt)%Interval + Interval) % Interval
		for _, one := range data {
			out = append(out, Message{to, setLead(one, lead)})
		}
	}
	return out
}

// otherSums returns the sums of the other groups. While one hub takes over from another, both may have
// counted the same daemons: then only the latest sum of the group is used.
func (t *Tracker) otherSums(now time.Time) []*source {
	sizes, counted, latest := t.groupSizes(), map[int]int{}, map[int]*source{}
	for hub, s := range t.sums {
		if group := t.topology.GroupOf[hub]; s.fresh(now) {
			counted[group] += s.daemons
			if l := latest[group]; l == nil || s.receivedAt.After(l.receivedAt) {
				latest[group] = s
			}
		}
	}
	var out []*source
	for hub, s := range t.sums {
		if group := t.topology.GroupOf[hub]; s.fresh(now) && (s == latest[group] || counted[group] <= sizes[group]) {
			out = append(out, s)
		}
	}
	return out
}

// groupSizes returns the number of daemons of each group, whether they live or not.
func (t *Tracker) groupSizes() map[int]int {
	out := map[int]int{}
	for _, group := range t.topology.GroupOf {
		out[group]++
	}
	return out
}

// updateList includes the runners of a sum in the list, and drops those that have had no requests for
// listTTL when it does so. Runners that are listed keep their places, so that false reports of many runners
// don't displace them.
func (t *Tracker) updateList(now time.Time, s sum) {
	var unlisted []core.Code
	for _, e := range s.entries {
		if _, ok := t.lastUsed[e.runner]; !ok {
			unlisted = append(unlisted, e.runner)
			continue
		}
		t.lastUsed[e.runner] = now
	}
	if len(unlisted) == 0 {
		return
	}
	maps.DeleteFunc(t.lastUsed, func(_ core.Code, at time.Time) bool { return now.Sub(at) >= listTTL })
	room := maxListed - len(t.lastUsed)
	if room <= 0 {
		return
	}
	for _, runner := range unlisted[:min(room, len(unlisted))] {
		t.lastUsed[runner] = now
	}
	t.list = slices.Sorted(maps.Keys(t.lastUsed))
	t.listID = listID(t.list)
	clear(t.hasList)
}

// appendList appends the list for a daemon to which it was not sent.
func (t *Tracker) appendList(out []Message, now time.Time, to core.Code) []Message {
	if t.hasList[to] {
		return out
	}
	t.hasList[to] = true
	entries := make([]entry, len(t.list))
	for i, code := range t.list {
		entries[i].runner = code
	}
	h := t.header(now, kindList)
	h.daemons = 1
	return appendMessages(out, to, encode(now, h, entries))
}

// reportsComplete reports whether the daemons of this group have reported since this daemon acts.
func (t *Tracker) reportsComplete(now time.Time) bool {
	if t.hasReports || now.Sub(t.actingSince) >= startTime {
		return true
	}
	size, reports := t.groupSizes()[t.topology.GroupOf[t.self]], 1
	for _, s := range t.reports {
		if t.counts(now, s) {
			reports++
		}
	}
	t.hasReports = float64(reports) >= startShare*float64(size)
	return t.hasReports
}

// sumsComplete reports whether the sums of all groups have been received since this daemon acts, as far as
// their hubs are known.
func (t *Tracker) sumsComplete(now time.Time) bool {
	if t.hasSums || now.Sub(t.actingSince) >= startTime {
		return true
	}
	for _, hub := range t.topology.Hubs {
		if s := t.sums[hub]; s == nil || !s.fresh(now) {
			return false
		}
	}
	t.hasSums = true
	return true
}

func (t *Tracker) sumHeader(now time.Time, k kind, s sum) header {
	h := t.header(now, k)
	h.age, h.daemons = min(max(0, now.Sub(s.measured)), maxAge), min(s.daemons, maxDaemons)
	return h
}

func appendMessages(out []Message, to core.Code, datagrams [][]byte) []Message {
	for _, data := range datagrams {
		out = append(out, Message{to, data})
	}
	return out
}

// adder adds sums up.
type adder struct {
	now     time.Time
	entries []entry
	index   map[core.Code]int // of each runner in entries
	age     time.Duration     // sum over all daemons
	daemons int
}

func (a *adder) add(s sum) {
	for _, e := range s.entries {
		a.addEntry(e)
	}
	a.age += max(0, a.now.Sub(s.measured)) * time.Duration(s.daemons)
	a.daemons += s.daemons
}

// addEntry adds the requests at a runner. The newest pace counts.
func (a *adder) addEntry(e entry) {
	if e.pace > 0 && a.now.Sub(e.paceAt) >= core.PaceTTL {
		e.pace, e.paceAt = 0, time.Time{}
	}
	i, ok := a.index[e.runner]
	if !ok {
		if a.index == nil {
			a.index = map[core.Code]int{}
		}
		a.index[e.runner] = len(a.entries)
		a.entries = append(a.entries, e)
		return
	}
	a.entries[i].requests += e.requests
	if e.pace > 0 && e.paceAt.After(a.entries[i].paceAt) {
		a.entries[i].pace, a.entries[i].paceAt = e.pace, e.paceAt
	}
}

func (a *adder) result() sum {
	sorted := slices.DeleteFunc(a.entries, func(e entry) bool { return e.requests == 0 && e.pace == 0 })
	slices.SortFunc(sorted, func(a, b entry) int { return cmp.Compare(a.runner, b.runner) })
	return sum{sorted, a.now.Add(-a.age / time.Duration(max(1, a.daemons))), a.daemons}
}
