// Package limits lists for operators the limits that runners declare and the limits of the
// settings tree, as one daemon sees them.
package limits

import (
	"cmp"
	"slices"

	"primroseward/coordination/allowance"
)

// Status is a limit as this daemon sees it.
type Status struct {
	Name      string  `json:"name"`    // of a runner, or "settings" and a node of the settings tree
	Rate      float64 `json:"rate"`    // requests per second, for all daemons together
	Demand    float64 `json:"asked"`   // demand in requests per second, over all reachable daemons
	Sent      float64 `json:"sent"`    // requests sent per second, over all reachable daemons
	Available float64 `json:"left"`    // number of requests that may be sent at once
	Share     float64 `json:"share"`   // share of the limit that the reachable daemons have
	Refused   int64   `json:"refused"` // number of requests that this daemon has refused
	From      string  `json:"from"`    // the daemon that read the limit from the runner's answer; empty: this one
	LimitAge  float64 `json:"heard"`   // age of that answer in seconds
	UsageAge  float64 `json:"age"`     // seconds since the other daemons last sent their request counts
}

// List returns the status of the limits, sorted by name.
func List(states []allowance.LimitState) []Status {
	out := make([]Status, 0, len(states))
	for _, s := range states {
		out = append(out, Status{
			Name: s.Name, Rate: s.Limit.Rate, Demand: s.Demand, Sent: s.Spent, Available: s.Left, Share: s.Share, Refused: s.Refused,
			From: s.From, LimitAge: s.Limit.Age.Seconds(), UsageAge: s.State.Age.Seconds(),
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
