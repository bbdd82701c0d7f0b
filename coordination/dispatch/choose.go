package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
)

// leaveMargin is how close a runner's announced end may be before requests go
// elsewhere if they can.
const leaveMargin = 3 * time.Second

// Reasons for which no runner can take a request now. Each is the code of a refusal.
var (
	errAbsent    = errors.New("absent")
	errExhausted = errors.New("exhausted")
	errFull      = errors.New("full")
	errDown      = errors.New("down")
	errLimited   = errors.New(core.CodeLimited)
)

// reasons tells callers of these.
var reasons = map[error]string{
	errAbsent:    "no runner has the model",
	errExhausted: "no other runner may serve the request",
	errFull:      "all runners that may serve the request are full",
	errDown:      "the runners that may serve the request have ended",
	errLimited:   "the runners that may serve the request take no more for now",
}

// refuseFor is refuse for one of reasons.
func (j *job) refuseFor(reason error) error { return j.refuse(reason.Error(), reasons[reason], nil) }

// choose finds the runner for the next attempt. The runner is read from the
// catalog at the last moment: one that has begun to leave since the request
// came must not get it. Its error is one of reasons.
func (j *job) choose(ctx context.Context) (*core.Runner, error) {
	holders, candidates := j.candidates()
	i := j.pick(candidates)
	if j.asksFor(candidates, i) {
		if r := j.placed(ctx, len(candidates) > 0); r != nil {
			return r, nil
		}
		holders, candidates = j.candidates() // may have come while it waited
		i = j.pick(candidates)
	}
	switch {
	case len(candidates) == 0 && j.sends > 0:
		return nil, errExhausted
	case len(candidates) == 0:
		return nil, errAbsent
	case i < 0 && j.limited:
		return nil, errLimited
	case i < 0:
		return nil, errFull
	case candidates[i].Down && !j.d.loads.Probe(candidates[i].ID):
		return nil, errDown
	}
	c := &candidates[i]
	wait := j.takeTurn(c.ID)
	limit, limited := j.d.limits.Limit(c.ID)
	j.log.Info(logs.RunnerChosen, zap.String("runner", c.ID), zap.Stringer("digest", j.q.Digest), zap.String("model", j.q.Model), zap.String("adapter", j.q.Adapter),
		zap.Int("candidates", len(candidates)), zap.Int("requests", c.Requests), zap.Int("slots", c.Slots), zap.Float64("penalty", c.Penalty), zap.Bool("near", c.SamePlace), zap.Duration("wait", wait),
		zap.Bool("limited", limited), zap.Float64("limit", limit.Rate), zap.String("limitfrom", limit.From), zap.Duration("limitage", limit.Age))
	if wait == 0 {
		return &holders[i].Runner, nil
	}
	core.Sleep(ctx, j.d.clock, wait)
	if e := j.d.catalog.Runner(c.ID); e != nil && j.mayServe(e) && (c.Down || !j.d.loads.Down(c.ID)) {
		return &e.Runner, nil
	}
	return j.choose(ctx) // it has ended or begun to leave, or the settings have changed
}

// asksFor says whether the holder of orders is to be asked for the request's model or
// adapter, once: where no runner that is up has it, or where all runners that have the
// adapter are full or down and another copy of its model has room.
func (j *job) asksFor(candidates []policy.Candidate, chosen int) bool {
	if j.q.Model == "" || j.asked || j.runs > 0 && !j.resumed {
		return false
	}
	if len(candidates) == 0 {
		return true
	}
	if j.q.Adapter == "" {
		return policy.AllDown(candidates)
	}
	return (chosen < 0 || candidates[chosen].Down) && j.roomElsewhere()
}

// roomElsewhere says whether a runner that has the request's model without its adapter
// has room.
func (j *job) roomElsewhere() bool {
	ask := j.ask()
	for _, e := range j.d.catalog.Runners(j.service) {
		if !j.hasModel(e) || e.HoldsAdapter(j.q.Model, j.q.Adapter) {
			continue
		}
		v := j.d.loads.View(e.ID)
		_, limited := j.d.limits.Limit(e.ID)
		if c := (policy.Candidate{Slots: e.Slots, Requests: v.Requests}); !v.Down && !limited && !c.Full(ask) {
			return true
		}
	}
	return false
}

// takeTurn puts the request in line for a runner and returns how long it is to wait.
// A repeat waits no more: much of its time is gone.
func (j *job) takeTurn(runner string) time.Duration {
	if !j.engine() || j.sends > 0 || j.waited {
		return 0
	}
	j.waited = true
	return j.d.pace.Take(j.d.clock.Now(), j.service, runner, j.q.Input, j.d.daemons(), j.route.Target)
}

// mayServe says whether the request may go to a runner now.
func (j *job) mayServe(e *catalog.Entry) bool {
	return j.hasModel(e) && (j.q.Adapter == "" || e.HoldsAdapter(j.q.Model, j.q.Adapter))
}

// hasModel is mayServe but for the request's adapter.
func (j *job) hasModel(e *catalog.Entry) bool {
	return e.Usable() && !j.tried[e.ID] && j.allows(e.Place) && (j.q.Model == "" || e.Holds(j.q.Model))
}

// ask is what the request asks of its runner.
func (j *job) ask() policy.Ask {
	spec := j.spec()
	if spec == nil || spec.Engine == nil {
		return policy.Ask{}
	}
	if spec.Ranked && j.rank() == spec.Urgent {
		return policy.Ask{Engine: true, Queue: policy.UrgentQueue()}
	}
	return policy.Ask{Engine: true, Queue: policy.Queue(j.route.Target, j.d.pace.Length(j.service))}
}

// engine says whether the request goes to runners of models.
func (j *job) engine() bool {
	spec := j.spec()
	return spec != nil && spec.Engine != nil
}

// spec is the request's service as the configuration in force has it, nil if it has none.
func (j *job) spec() *core.Service { return j.d.catalog.Config().Services[j.service] }

// candidates are the runners that can serve the request now.
func (j *job) candidates() ([]*catalog.Entry, []policy.Candidate) {
	var holders []*catalog.Entry
	var out []policy.Candidate
	now := j.d.clock.Now()
	for _, e := range j.d.catalog.Runners(j.service) {
		if !j.mayServe(e) {
			continue
		}
		v := j.d.loads.View(e.ID)
		limit, limited := j.d.limits.Limit(e.ID)
		holders = append(holders, e)
		out = append(out, policy.Candidate{
			ID: e.ID, Slots: e.Slots, Requests: v.Requests, Penalty: v.Penalty,
			SamePlace: e.Place == j.d.place, Leaving: e.Leaves > 0 && e.Leaves < leaveMargin,
			Wait: j.d.pace.Wait(now, e.ID), Down: v.Down, Limited: limited && !limit.Spare,
		})
	}
	return holders, out
}

// placed asks for the request's adapter or model where no runner that is free
// for it has it, and returns the runner that gets it. With busy those that have it are
// full.
func (j *job) placed(ctx context.Context, busy bool) *core.Runner {
	j.asked = true
	began := j.d.clock.Now()
	id, retry, err := j.d.placer.Place(ctx, Want{Service: j.service, Model: j.q.Model, Adapter: j.q.Adapter, Busy: busy})
	if err != nil {
		j.retry = retry
		j.log.Info(logs.ModelNotPlaced, zap.String("model", j.q.Model), zap.String("adapter", j.q.Adapter), logs.Err(err))
		return nil
	}
	e := j.d.catalog.Runner(id)
	if e == nil || !e.Usable() || j.tried[id] || !j.allows(e.Place) || j.d.loads.Down(id) {
		return nil
	}
	if j.q.Adapter != "" {
		j.d.catalog.Learn(id, j.q.Model, j.q.Adapter, true)
	}
	if !j.take(id, j.d.limits.Take) {
		return nil
	}
	j.log.Info(logs.ModelPlaced, zap.String("runner", id), zap.String("model", j.q.Model), zap.String("adapter", j.q.Adapter),
		zap.Duration("waited", j.d.clock.Since(began)))
	return &e.Runner
}
