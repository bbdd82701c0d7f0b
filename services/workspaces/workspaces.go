// Package workspaces shows operators the allowances of workspaces as a daemon knows them.
package workspaces

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primroseward/coordination/allowance"
	"primroseward/core"
)

// ageStep is how exactly ages are shown.
const ageStep = 10 * time.Millisecond

// Status is one workspace. Rates are in units a second over all daemons in touch.
type Status struct {
	Name    string   `json:"name"`
	Unit    string   `json:"unit"`
	Rate    float64  `json:"rate"` // 0: no limit
	Burst   float64  `json:"burst"`
	Keys    []string `json:"keys"` // short hashes
	Asked   float64  `json:"asked"`
	Spent   float64  `json:"spent"`
	Left    float64  `json:"left"`    // units that may be let in at once
	Share   float64  `json:"share"`   // of the allowance that the daemons in touch have
	Refused int64    `json:"refused"` // requests, by this daemon since it started
	Age     string   `json:"age"`     // of what the other daemons have told
	Problem bool     `json:"problem"` // its allowance could not be read: nobody is let in
}

var units = map[core.Unit]string{core.UnitRequests: "requests", core.UnitTokens: "tokens"}

// List shows a configuration's workspaces, those that ask for most of their rate first.
func List(of []*core.Workspace, states []allowance.State) []Status {
	known := make(map[string]allowance.State, len(states))
	for _, s := range states {
		known[s.Name] = s
	}
	out := make([]Status, 0, len(of))
	for _, w := range of {
		s := known[w.Name]
		one := Status{
			Name: w.Name, Unit: units[w.Unit], Rate: w.Rate, Burst: w.Burst, Keys: make([]string, 0, len(w.Keys)),
			Asked: math.Round(s.Asked), Spent: math.Round(s.Spent), Left: math.Round(s.Left), Share: s.Share, Refused: s.Refused,
			Age: s.Age.Round(ageStep).String(), Problem: w.Invalid,
		}
		for _, k := range w.Keys {
			one.Keys = append(one.Keys, k.String())
		}
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Asked*max(1, a.Rate), a.Asked*max(1, b.Rate)), cmp.Compare(a.Name, b.Name))
	})
	return out
}
