package soak

import (
	"slices"
	"time"

	"primroseward/standin/budget"
	"primroseward/standin/runner"
)

// retryBudget is the retry budget in the daemons' settings.
var retryBudget = budget.Bound{Ratio: 0.2, Slack: 60, Length: 10 * time.Second}

// checkBudget checks that all daemons together, killed ones too, stayed within the retry budget of each service
// in any window.
func (w *World) checkBudget() {
	arrivals := map[string][]runner.Arrival{}
	for _, h := range slices.Concat(w.runners, w.removedRunners) {
		arrivals[h.Service] = append(arrivals[h.Service], h.Arrivals()...)
	}
	for service, list := range arrivals {
		var l budget.Log
		slices.SortFunc(list, func(a, b runner.Arrival) int { return a.At.Compare(b.At) })
		here := map[string]bool{}
		for _, a := range list {
			l.Arrived(a.ID, a.At)
			here[a.ID] = true
		}
		kinds := map[string]bool{} // of requests for the service
		for _, req := range w.requests {
			kinds[req.kind] = kinds[req.kind] || here[req.id]
		}
		for _, req := range w.requests {
			if kinds[req.kind] {
				l.Sent(req.sent)
			}
		}
		if worst := retryBudget.Worst(&l); worst.Excess() > 0 {
			w.reportViolation("service %s got %s", service, worst)
		}
	}
}
