// Package workspaces lists for operators the allowances of workspaces, as one daemon sees them.
package workspaces

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primroseward/coordination/allowance"
	"primroseward/core"
)

// ageResolution is the resolution of the ages that are shown.
const ageResolution = 10 * time.Millisecond

// Status is the state of a workspace. Rates are in units per second, over all reachable
// daemons.
type Status struct {
	Name      string   `json:"name"`
	Unit      string   `json:"unit"`
	Rate      float64  `json:"rate"` // 0: no limit
	Burst     float64  `json:"burst"`
	Keys      []string `json:"keys"`    // short hashes of the keys
	Demand    float64  `json:"asked"`   // demand
	Admitted  float64  `json:"spent"`   // accepted
	Available float64  `json:"left"`    // units that may be accepted at once
	Share     float64  `json:"share"`   // share of the allowance that the reachable daemons have
	Refused   int64    `json:"refused"` // requests that this daemon has refused since it started
	UsageAge  string   `json:"age"`     // time since the other daemons last sent their usage
	Problem   bool     `json:"problem"` // its allowance could not be read: all requests are refused
}

var units = map[core.Unit]string{core.UnitRequests: "requests", core.UnitTokens: "tokens"}

// List returns the status of a configuration's workspaces, sorted by their demand relative to
// their rate, the highest first.
func List(of []*core.Workspace, states []allowance.State) []Status {
	known := make(map[string]allowance.State, len(states))
	for _, s := range states {
		known[s.Name] = s
	}
	out := make([]Status, 0, len(of))
	for _, w := range of {
		s := known[w.Name]
		status := Status{
			Name: w.Name, Unit: units[w.Unit], Rate: w.Rate, Burst: w.Burst, Keys: make([]string, 0, len(w.Keys)),
			Demand: math.Round(s.Demand), Admitted: math.Round(s.Spent), Available: math.Round(s.Left), Share: s.Share, Refused: s.Refused,
			UsageAge: s.Age.Round(ageResolution).String(), Problem: w.Invalid,
		}
		for _, k := range w.Keys {
			status.Keys = append(status.Keys, k.String())
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Demand*max(1, a.Rate), a.Demand*max(1, b.Rate)), cmp.Compare(a.Name, b.Name))
	})
	return out
}
