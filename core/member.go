package core

import "net/netip"

// MemberState orders a member's life; of two reports with the same
// incarnation the higher state holds.
type MemberState int

// States of a member.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	MemberSuspect
	MemberDead
)

var memberStates = []string{"alive", "leaving", "suspect", "dead"}

func (s MemberState) String() string {
	if s < 0 || int(s) >= len(memberStates) {
		return "unknown"
	}
	return memberStates[s]
}

// Member is one daemon as others know it.
type Member struct {
	Name        string
	Place       string
	Peer        netip.AddrPort // of gossip and of calls between daemons
	Caller      netip.AddrPort // that callers connect to
	Incarnation uint64
	State       MemberState
	Boot        uint64 // random, new with each start of the process
}

// Members is a daemon's view of the others. It is a hint: two daemons may
// disagree for a while, so nothing that must hold may follow from it alone.
type Members interface {
	Self() Member
	// All returns all members that are not dead, itself included.
	All() []Member
	// Get returns a member by name, ErrNotFound if unknown or dead.
	Get(name string) (Member, error)
	// Rank returns up to n members of a place that should hold key, best
	// first; an empty place stands for all. Members that leave or are dead are
	// left out. A suspect member stays: most suspicions are refuted, and moving
	// what it owns twice costs more. The result must not be changed.
	Rank(key, place string, n int) []Member
	// Generation changes with every change of the list.
	Generation() uint64
}
