package member

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/protocol/peerv1"
)

// ToWire encodes a member as a message.
func ToWire(m core.Member) *peerv1.Member {
	return &peerv1.Member{
		Name:        m.Name,
		Place:       m.DataCentre,
		Peer:        m.Peer.String(),
		Caller:      m.Caller.String(),
		Incarnation: m.Incarnation,
		State:       peerv1.State(m.State),
		Boot:        m.Boot,
	}
}

// FromWire decodes the message of a member.
func FromWire(w *peerv1.Member) (core.Member, error) {
	if w == nil {
		return core.Member{}, eris.Wrap(core.ErrInvalid, "missing member")
	}
	peer, err := netip.ParseAddrPort(w.Peer)
	if err != nil {
		return core.Member{}, eris.Wrap(core.ErrInvalid, "invalid peer address of a member")
	}
	caller, err := netip.ParseAddrPort(w.Caller)
	if err != nil {
		return core.Member{}, eris.Wrap(core.ErrInvalid, "invalid caller address of a member")
	}
	return core.Member{
		Name:        w.Name,
		DataCentre:  w.Place,
		Peer:        peer,
		Caller:      caller,
		Incarnation: w.Incarnation,
		State:       core.MemberState(w.State),
		Boot:        w.Boot,
	}, nil
}
