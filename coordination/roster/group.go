package roster

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"primroseward/core"
)

// groupCount returns the number of groups in a data centre with size daemons: a power of two,
// so that it rarely changes as daemons come and go.
func groupCount(size int) int { return 1 << bits.Len(uint((size-1)/groupSize)) }

func groupKeyOf(dataCentre string, code core.Code, groups int) groupKey {
	return groupKey{dataCentre, int(code) & (groups - 1)}
}

// allGroups returns the daemons of each group in the order in which they become its hub.
func (r *Roster) allGroups() map[groupKey][]core.Code {
	if r.groups != nil {
		return r.groups
	}
	sizes := map[string]int{}
	for _, k := range r.daemons {
		sizes[k.DataCentre]++
	}
	r.groups = map[groupKey][]core.Code{}
	for code, k := range r.daemons {
		key := groupKeyOf(k.DataCentre, code, groupCount(sizes[k.DataCentre]))
		r.groups[key] = append(r.groups[key], code)
	}
	r.ownKey = groupKeyOf(r.daemons[r.self].DataCentre, r.self, groupCount(sizes[r.daemons[r.self].DataCentre]))
	r.groupOf = make(map[core.Code]int, len(r.daemons))
	for _, codes := range r.groups {
		group := len(r.groupOf) // differs between groups, as none is empty
		for _, code := range codes {
			r.groupOf[code] = group
		}
		slices.SortFunc(codes, func(a, b core.Code) int {
			return cmp.Or(cmp.Compare(r.daemons[b].Cores, r.daemons[a].Cores), cmp.Compare(a, b))
		})
	}
	return r.groups
}

// ownMembers returns the daemons of this daemon's group, in order.
func (r *Roster) ownMembers() []core.Code {
	groups := r.allGroups()
	return groups[r.ownKey]
}

// isReachableHub reports whether a daemon has sent summaries as the hub of this group within
// hubTimeout and is not leaving.
func (r *Roster) isReachableHub(now time.Time, code core.Code) bool {
	return now.Sub(r.daemons[code].lastSeenAsHub) < hubTimeout && !r.isLeaving(now, code)
}

func (r *Roster) isLeaving(now time.Time, code core.Code) bool {
	s, ok := r.Status(now, code)
	return ok && s.Leaving
}

// mayBeHub reports whether a daemon may be a hub from which no message can have arrived yet,
// as this one has just started. In a fleet that starts at once, this lets only the first daemon
// of each group act as hub.
func (r *Roster) mayBeHub(now time.Time, code core.Code) bool {
	k := r.daemons[code]
	return k.knownSince.Sub(r.started) < hubTimeout && now.Sub(k.knownSince) < hubTimeout
}

// isHub reports whether this daemon acts as the hub of its group: no daemon before it in
// the order is reachable as a hub or, if this one is leaving or has just started, no daemon of
// the group at all.
func (r *Roster) isHub(now time.Time) bool {
	yields := r.ownReport.Leaving || now.Sub(r.started) < loadTTL
	before := true
	for _, code := range r.ownMembers() {
		switch {
		case code == r.self && !yields:
			return true
		case code == r.self:
			before = false
		case r.isReachableHub(now, code), before && r.mayBeHub(now, code):
			return false
		}
	}
	return true
}

// reportTargets returns the daemons that this one reports to: the hub of the group, which is
// also returned separately, and the next daemon in order. Every probeTicks ticks the live
// daemons before the hub that are not reachable as hubs are included, as they may just have
// started and have no other daemon in their roster.
func (r *Roster) reportTargets(now time.Time) (hub core.Code, out []core.Code) {
	found := false
	for _, code := range r.ownMembers() {
		switch {
		case code == r.self:
			if found {
				return hub, out // this daemon is itself the next one after the hub
			}
			found = r.isHub(now)
		case !found && (r.isReachableHub(now, code) || r.mayBeHub(now, code)):
			hub, out, found = code, append(out, code), true
		case found:
			if s, ok := r.Status(now, code); ok && !s.Leaving {
				return hub, append(out, code)
			}
		case r.tickCount%probeTicks == 0:
			if _, ok := r.Status(now, code); ok {
				out = append(out, code)
			}
		}
	}
	return hub, out
}

// Contacts returns the daemons to which a newly started one announces itself: the first ones
// of each group, one of which is likely to be the hub.
func (r *Roster) Contacts() []core.Code {
	var out []core.Code
	for _, codes := range r.allGroups() {
		for _, code := range codes[:min(len(codes), contactsPerGroup)] {
			if code != r.self {
				out = append(out, code)
			}
		}
	}
	return out
}

// searchTargets returns three daemons of a group whose hub is not reachable: two in order, and
// a random one, as the first ones may all be gone. A daemon that is not a hub forwards the
// summary to its hub.
func (r *Roster) searchTargets(codes []core.Code) []core.Code {
	at := r.tickCount / searchTicks * 2 % len(codes)
	out := []core.Code{codes[at]}
	if next := codes[(at+1)%len(codes)]; next != codes[at] {
		out = append(out, next)
	}
	return append(out, codes[rand.IntN(len(codes))])
}

// ReachableHubs returns the hubs other than this daemon from which a state younger than
// hubForwardTTL is known: those of the other groups, and that of this group if another daemon
// acts as it.
func (r *Roster) ReachableHubs(now time.Time) []core.Code {
	var out []core.Code
	for hub, g := range r.groupStates {
		if hub != r.self && now.Sub(g.sentAt) < hubForwardTTL {
			out = append(out, hub)
		}
	}
	return out
}

// GroupMembers returns the daemons that report to this one if it acts as their hub, or nil.
func (r *Roster) GroupMembers(now time.Time) []core.Code {
	if !r.isHub(now) {
		return nil
	}
	return slices.Collect(maps.Keys(r.reports))
}

// HubStatus reports whether this daemon acts as the hub of its group, and how many daemons report
// to it.
func (r *Roster) HubStatus(now time.Time) (acts bool, reports int) {
	return r.isHub(now), len(r.reports)
}
