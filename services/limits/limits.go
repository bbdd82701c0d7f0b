// Package limits shows operators the limits that runners name, and the rates of the
// settings, as a daemon knows them.
package limits

import (
	"cmp"
	"slices"

	"primroseward/coordination/allowance"
)

// Status is a limit as this daemon knows it.
type Status struct {
	Name    string  `json:"name"`    // a runner, or settings and a node of theirs
	Rate    float64 `json:"rate"`    // requests a second, over all daemons
	Asked   float64 `json:"asked"`   // requests a second, over all daemons in touch
	Sent    float64 `json:"sent"`    // requests a second, over all daemons in touch
	Left    float64 `json:"left"`    // requests that may be sent at once
	Share   float64 `json:"share"`   // of the limit that the daemons in touch have
	Refused int64   `json:"refused"` // by this daemon
	From    string  `json:"from"`    // the daemon that heard it from the runner; empty: this one
	Heard   float64 `json:"heard"`   // seconds since then
	Age     float64 `json:"age"`     // seconds since the others told what they send
}

// List shows limits by their names.
func List(states []allowance.LimitState) []Status {
	out := make([]Status, 0, len(states))
	for _, s := range states {
		out = append(out, Status{
			Name: s.Name, Rate: s.Limit.Rate, Asked: s.Asked, Sent: s.Spent, Left: s.Left, Share: s.Share, Refused: s.Refused,
			From: s.From, Heard: s.Limit.Age.Seconds(), Age: s.State.Age.Seconds(),
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
