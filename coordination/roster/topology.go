package roster

import (
	"slices"
	"time"

	"primroseward/core"
)

// Topology is what a daemon knows of the groups and their hubs.
type Topology struct {
	Acting   bool              // this daemon acts as the hub of its group
	Hub      core.Code         // to which it reports; 0: none
	Next     core.Code         // the next daemon in order after the hub; 0: none, or this one
	Hubs     []core.Code       // hubs of the other groups
	Standbys []core.Code       // the next live daemons in order there
	GroupOf  map[core.Code]int // number of the group of each daemon; must not be changed
}

// Topology returns the groups as this daemon knows them.
func (r *Roster) Topology(now time.Time) Topology {
	groups := r.allGroups()
	out := Topology{Acting: r.isHub(now), GroupOf: r.groupOf}
	out.Hub, out.Next = r.hubAndNext(now)
	for key, codes := range groups {
		if key == r.ownKey {
			continue
		}
		acts := func(code core.Code) bool {
			g := r.groupStates[code]
			return g != nil && now.Sub(g.sentAt) < groupStateTTL
		}
		standby := slices.IndexFunc(codes, func(code core.Code) bool {
			s, ok := r.Status(now, code)
			return ok && !s.Leaving && !acts(code)
		})
		for _, code := range codes {
			if acts(code) {
				out.Hubs = append(out.Hubs, code)
			}
		}
		if standby >= 0 {
			out.Standbys = append(out.Standbys, codes[standby])
		}
	}
	return out
}

// hubAndNext returns the hub that this daemon reports to, 0 if it acts as the hub itself or knows none,
// and the next live daemon in order. It is reportTargets without the daemons that precede the hub.
func (r *Roster) hubAndNext(now time.Time) (hub, next core.Code) {
	codes := r.ownMembers()
	hub, to := r.reportTargets(now)
	first := hub
	if hub == 0 {
		if !r.isHub(now) {
			return 0, 0
		}
		first = r.self
	}
	if last := len(to) - 1; last >= 0 && slices.Index(codes, to[last]) > slices.Index(codes, first) {
		next = to[last]
	}
	return hub, next
}
