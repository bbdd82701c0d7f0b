package core

import "net/netip"

// MemberState is a stage in a member's lifecycle. Of two messages about the same
// incarnation the one with the higher state takes precedence.
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

// Member describes one daemon to the others.
type Member struct {
	Name        string
	DataCentre  string
	Peer        netip.AddrPort // address for gossip and calls between daemons
	Caller      netip.AddrPort // address that callers connect to
	Incarnation uint64
	State       MemberState
	Boot        uint64 // random, chosen anew at each start of the process
}

// Members is a daemon's view of the members. It is a hint: two daemons may
// disagree for a while, so no guarantee may depend on it alone.
type Members interface {
	Self() Member
	// All returns all members that are not dead, including the daemon itself.
	All() []Member
	// Get returns a member by name, ErrNotFound if unknown or dead.
	Get(name string) (Member, error)
	// Rank returns up to n members in a data centre that should hold key, best
	// first; an empty data centre stands for all. Leaving and dead members are
	// left out. A suspect member is kept: most suspicions are refuted, and
	// moving what it owns away and back costs more. The result must not be
	// modified.
	Rank(key, dataCentre string, n int) []Member
	// Generation returns a number that changes with every change of the list.
	Generation() uint64
}
