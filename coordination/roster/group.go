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
	return now.Sub(r.known[code].hub) < hubSilence && !r.leaves(now, code)
}

func (r *Roster) leaves(now time.Time, code core.Code) bool {
	s, ok := r.Status(now, code)
	return ok && s.Leaving
}

// expected says whether a daemon may be a hub that could not be heard yet: while this one
// has just started. Of a fleet that starts together only the first of each group acts.
func (r *Roster) expected(now time.Time, code core.Code) bool {
	k := r.known[code]
	return k.since.Sub(r.started) < hubSilence && now.Sub(k.since) < hubSilence
}

// acts says whether this daemon acts as the hub of its group: it hears none before it
// or, where it leaves or has just started, none at all.
func (r *Roster) acts(now time.Time) bool {
	yields := r.word.Leaving || now.Sub(r.started) < loadLife
	before := true
	for _, code := range r.mine() {
		switch {
		case code == r.self && !yields:
			return true
		case code == r.self:
			before = false
		case r.heard(now, code), before && r.expected(now, code):
			return false
		}
	}
	return true
}

// hubs are the daemons that this one reports to: the group's hub, which is returned by
// itself as well, and the one that comes after it. One before them that lives but has not
// been heard is told now and then, as it may just have started and know nobody.
func (r *Roster) hubs(now time.Time) (hub core.Code, out []core.Code) {
	found := false
	for _, code := range r.mine() {
		switch {
		case code == r.self:
			if found {
				return hub, out // comes after the hub itself
			}
			found = r.acts(now)
		case !found && (r.heard(now, code) || r.expected(now, code)):
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
