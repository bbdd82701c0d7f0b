package dispatch

import (
	"net/http"

	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

// Codes of refusals that concern a caller's workspace.
const (
	codeAllowance = "allowance"
	codeKey       = "unknown_key"
)

// takeAllowance takes the request's units from its workspace's allowance, or refuses the
// request.
func (j *job) takeAllowance() error {
	w := j.q.Workspace
	if w == nil {
		return nil
	}
	j.units = w.Weight(j.q)
	if j.countedElsewhere || j.runs > 0 {
		return nil // taken by the daemon that sends it, or by one that has sent it
	}
	a := j.d.allowance.Take(w, core.AllowanceRequest{Units: j.units, Patient: j.route.Target >= core.PatientTarget, Late: j.returned})
	if a.OK {
		if j.d.balanced() {
			j.d.fairness.Count(w, j.q)
		}
		return nil
	}
	j.log.Warn(logs.RefusedByAllowance, zap.String("code", codeAllowance), zap.String("workspace", w.Name), zap.Float64("units", j.units), zap.Bool("invalid", w.Invalid),
		zap.Float64("left", a.Available), zap.Float64("asked", a.Demand), zap.Int("heard", a.ReachableDaemons), zap.Int("known", a.TotalDaemons), zap.Duration("age", a.Age), zap.Duration("retry", a.Retry))
	return core.NotRun(http.StatusTooManyRequests, codeAllowance, "the workspace's allowance is used up", a.Retry)
}

// chargeAllowance charges a run after the first one, and the first one if nothing was taken when
// the request arrived.
func (j *job) chargeAllowance() {
	if j.q.Workspace != nil && (j.runs > 0 || j.countedElsewhere) {
		j.d.allowance.Charge(j.q.Workspace, j.units)
	}
	j.countedElsewhere = false
}

// refundAllowance refunds what was taken for a request that has not run.
func (j *job) refundAllowance() {
	if j.q.Workspace != nil && j.runs == 0 && !j.countedElsewhere {
		j.d.allowance.Refund(j.q.Workspace, j.units)
		if j.d.balanced() {
			j.d.fairness.Refund(j.q.Workspace, j.q)
		}
	}
}

// authorize refuses a request whose key has been removed since it arrived. If the key now
// belongs to another workspace, the request counts for that one. If its route needs no key any more, the
// request goes on for the workspace that it arrived with.
func (j *job) authorize() error {
	if j.q.Workspace == nil {
		return nil
	}
	config := j.d.catalog.Config()
	if w := config.Workspace(j.q.Key); w != nil {
		j.q.Workspace = w
		return nil
	}
	if !j.needsKey(config) {
		return nil
	}
	j.log.Warn(logs.Refused, zap.String("code", codeKey), zap.Stringer("key", j.q.Key), zap.Uint64("config", config.Version), zap.Int("runs", j.runs))
	const message = "the key has been taken away"
	if j.runs > 0 {
		return core.MayHaveRun(codeKey, message)
	}
	return core.NotRun(http.StatusUnauthorized, codeKey, message, 0)
}

// yieldsAt reports whether the request leaves the room at the runners that may serve it to other workspaces, as its
// own uses more than its share.
func (j *job) yieldsAt(candidates []policy.Candidate) bool {
	w, yielded := j.q.Workspace, j.yields
	j.yields = false
	if !j.mayYield || w == nil || !j.engine() || policy.AllDown(candidates) {
		return false
	}
	d := j.d.fairness.Decide(w, policy.Occupancy(candidates), j.draw)
	if !d.Yields {
		return false
	}
	if j.yields = true; !yielded {
		j.d.fairness.CountYielded()
		j.log.Info(logs.WorkspaceYields, zap.String("workspace", w.Name), zap.Float64("asked", d.Demand), zap.Float64("usual", d.Usual), zap.Float64("share", d.Share),
			zap.Float64("occupancy", d.Occupancy), zap.Float64("likelihood", d.Likelihood), zap.Duration("age", d.Age), zap.Int("candidates", len(candidates)))
	}
	return true
}

// needsKey reports whether the request's route needs a key in a configuration.
func (j *job) needsKey(c *core.Config) bool {
	for i := range c.Routes {
		if c.Routes[i].Name == j.route.Name {
			return c.NeedsKey(&c.Routes[i])
		}
	}
	return c.NeedsKey(j.route)
}

// rank returns the request's urgency; 0 is the most urgent.
func (j *job) rank() int { return j.d.catalog.Config().Rank(j.q.Workspace, j.route) }
