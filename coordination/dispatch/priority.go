package dispatch

import (
	"primroseward/coordination/backlog"
	"primroseward/core"
)

// priority returns the request's priority at runners. Where runners have more requests than slots, one that is late in any
// case would delay others that may still be in time, which would then be late too; it gets the lowest one. A stream
// that goes on after its first event keeps its rank, as its caller waits for the next one.
func (j *job) priority() int {
	request := backlog.Request{Arrived: j.q.Arrived, Target: j.route.Target}
	if j.d.balanced() && j.engine() && !j.begun && (j.returned || request.IsLate(j.d.clock.Now())) {
		return core.MaxRank
	}
	return j.rank()
}
