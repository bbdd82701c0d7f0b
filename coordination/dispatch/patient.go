package dispatch

import (
	"net/http"
	"time"

	"primroseward/coordination/policy"
	"primroseward/core"
)

// countEnd counts the end of an answer for the plan of replicas. Before its answer begins, a request waits in
// the runner's queue and uses no slot.
func (j *job) countEnd(reply *core.Reply) {
	if j.d.balanced() && !j.countedElsewhere && reply.Status < http.StatusMultipleChoices && !j.answeredAt.IsZero() {
		j.d.demand.CountEnd(j.service, j.q, j.d.clock.Since(j.answeredAt))
	}
}

// maxPlacementWaits bounds the requests of a daemon that wait for models to be loaded, each with its prompt.
const maxPlacementWaits = 64

// placementWait returns how long the request may wait until a model that no runner has is loaded, 0 if it may
// not. If it is not 0, endPlacementWait must be called. Half of the target is left for the answer to begin.
func (j *job) placementWait() time.Duration {
	if !j.d.balanced() {
		return 0
	}
	if m := j.d.catalog.Config().Engine(j.service).Model(j.q.Model); m == nil || !policy.IsPatient(j.route.Target, m) {
		return 0
	}
	if j.d.placementWaits.Add(1) > maxPlacementWaits {
		j.d.placementWaits.Add(-1)
		return 0
	}
	return j.route.Target / 2
}

// endPlacementWait records the end of a wait.
func (j *job) endPlacementWait(wait time.Duration) {
	if wait > 0 {
		j.d.placementWaits.Add(-1)
	}
}
