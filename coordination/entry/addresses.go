package entry

import (
	"context"
	"net/netip"
	"slices"

	"primroseward/coordination/owner"
	"primroseward/core"
	"primroseward/state/directory"
)

// maxAddresses is the largest number of daemons that Addresses returns.
const maxAddresses = 4

// Address is a daemon that a caller may send its requests to.
type Address struct {
	Member     string         `json:"member"`
	DataCentre string         `json:"place"`
	Addr       netip.AddrPort `json:"addr"`
	Owner      bool           `json:"owner"` // whether the daemon owns a runner of the requested model
}

// Addresses returns the daemons that a caller in dataCentre should use for a
// model, best first. Owners of the model's runners come first, since a request
// to them needs no hop to another daemon. Other daemons follow, those in the
// caller's data centre first.
func (e *Entry) Addresses(ctx context.Context, model, dataCentre string) []Address {
	var out []Address
	add := func(m core.Member, isOwner bool) {
		listed := slices.ContainsFunc(out, func(a Address) bool { return a.Member == m.Name })
		if m.State == core.MemberAlive && !listed && len(out) < maxAddresses {
			out = append(out, Address{Member: m.Name, DataCentre: m.DataCentre, Addr: m.Caller, Owner: isOwner})
		}
	}
	if model != "" {
		for _, m := range e.runnerOwners(ctx, model, dataCentre) {
			add(m, true)
		}
	}
	key := "entries/" + NewID()
	for _, preferred := range []string{dataCentre, ""} {
		for _, m := range e.members.Rank(key, preferred, maxAddresses) {
			add(m, false)
		}
	}
	return out
}

// runnerOwners returns the owners of the model's runners in allowed data
// centres. Those of runners in dataCentre come first, then those with the
// shortest expected wait.
func (e *Entry) runnerOwners(ctx context.Context, model, dataCentre string) []core.Member {
	t := e.replica.Tree()
	if t == nil {
		return nil
	}
	reports, _ := e.locator.find(ctx, directory.ModelKey(model))
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b directory.Report) int {
		if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
			if a.DataCentre == dataCentre {
				return -1
			}
			return 1
		}
		return int(a.Wait - b.Wait)
	})
	request := Request{Service: t.ServiceOf(model), Model: model}
	var out []core.Member
	for _, r := range reports {
		if _, ok := t.Allowed(request.selector(r.DataCentre)); !ok || r.Leaving {
			continue
		}
		if m, ok := owner.Of(e.members, r.Runner, r.DataCentre); ok {
			out = append(out, m)
		}
	}
	return out
}
