package entry

import (
	"context"
	"net/netip"
	"slices"

	"primroseward/coordination/owner"
	"primroseward/core"
	"primroseward/state/directory"
)

// maxAddresses bounds an answer to the question which address to use.
const maxAddresses = 4

// Address is one daemon that a caller may use.
type Address struct {
	Member string         `json:"member"`
	Place  string         `json:"place"`
	Addr   netip.AddrPort `json:"addr"`
	Owner  bool           `json:"owner"` // owns a runner of the model asked for
}

// Addresses returns the daemons that a caller in a place should use for a
// model, best first: owners of its runners, which save the request a hop, then
// others, those of the caller's place first.
func (e *Entry) Addresses(ctx context.Context, model, place string) []Address {
	var out []Address
	add := func(m core.Member, isOwner bool) {
		known := slices.ContainsFunc(out, func(a Address) bool { return a.Member == m.Name })
		if m.State == core.MemberAlive && !known && len(out) < maxAddresses {
			out = append(out, Address{Member: m.Name, Place: m.Place, Addr: m.Caller, Owner: isOwner})
		}
	}
	if model != "" {
		for _, m := range e.owners(ctx, model, place) {
			add(m, true)
		}
	}
	key := "entries/" + NewID()
	for _, where := range []string{place, ""} {
		for _, m := range e.members.Rank(key, where, maxAddresses) {
			add(m, false)
		}
	}
	return out
}

func (e *Entry) owners(ctx context.Context, model, place string) []core.Member {
	t := e.replica.Tree()
	if t == nil {
		return nil
	}
	reports, _ := e.locator.find(ctx, directory.ModelKey(model))
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b directory.Report) int {
		if (a.Place == place) != (b.Place == place) {
			if a.Place == place {
				return -1
			}
			return 1
		}
		return int(a.Wait - b.Wait)
	})
	ask := Ask{Service: t.ServiceOf(model), Model: model}
	var out []core.Member
	for _, r := range reports {
		if _, ok := t.Allowed(ask.coord(r.Place)); !ok || r.Leaving {
			continue
		}
		if m, ok := owner.Of(e.members, r.Runner, r.Place); ok {
			out = append(out, m)
		}
	}
	return out
}
