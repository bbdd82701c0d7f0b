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

// leaveMargin is the time before a runner's announced end from which requests prefer other
// runners.
const leaveMargin = 3 * time.Second

// codeUnreachable is the code of refusals after several attempts to reach a runner.
const codeUnreachable = "unreachable"

// Reasons why no runner can take a request now. Each is the code of a refusal.
var (
	errAbsent    = errors.New("absent")
	errExhausted = errors.New("exhausted")
	errFull      = errors.New("full")
	errDown      = errors.New("down")
	errLimited   = errors.New(core.CodeLimited)
	errBackoff   = errors.New(core.CodeBackoff)
	errShare     = errors.New("share")
	// errUnreachable and errPath are final: no runner was reached in several attempts, or another
	// daemon has forwarded the request to this one, which has no path either.
	errUnreachable = errors.New(codeUnreachable)
	errPath        = errors.New(core.CodePath)
)

// finalReasons are those for which a stream that waits for a runner is given up at once.
var finalReasons = []error{errUnreachable, errPath, errVersionGone}

// messages are the texts sent to callers for each reason.
var messages = map[error]string{
	errAbsent:    "no runner has the model",
	errExhausted: "no other runner may serve the request",
	errFull:      "all runners that may serve the request are full",
	errDown:      "the runners that may serve the request have ended",
	errLimited:   "the runners that may serve the request take no more for now",
	errShare:     "the workspace uses more than its share of the room at the runners that may serve the request",
	errBudget:    "the retry budget is used up",
	errBackoff:   "the runners that may serve the request have asked for a backoff",

	errUnreachable: "no runner could be reached",
	errPath:        "this daemon has lost its path to the runners",
	errVersionGone: "no runner of the version that began the stream is left",
}

// refuseFor refuses the request for one of the reasons in messages.
func (j *job) refuseFor(reason error) error { return j.refuse(reason.Error(), messages[reason], nil) }

// choose finds the runner for the next attempt, or another daemon where this one has no path to
// the runners. Its error is a key of messages.
func (j *job) choose(ctx context.Context) (*core.Runner, error) {
	if j.d.pathLost() {
		if j.q.Forward != nil {
			j.retryAfter = pathRetry
			return nil, errPath
		}
		if r := j.chooseHelper("path lost"); r != nil {
			return r, nil
		}
	}
	if j.failedDials >= maxFailedDials {
		if r := j.chooseHelper("runners unreachable"); r != nil {
			return r, nil
		}
		return nil, errUnreachable
	}
	r, err := j.chooseRunner(ctx)
	if err == errFull && len(j.brittleOwners) > 0 && j.brittleRoom == 0 {
		if r := j.chooseOwner(); r != nil {
			return r, nil
		}
	}
	if err == errDown && !j.exitConfirmed() || err == errExhausted && j.failedDials+j.closed+j.unanswered > 0 {
		if r := j.chooseHelper(err.Error()); r != nil {
			return r, nil
		}
	}
	return r, err
}

// chooseRunner finds the runner for the next attempt. It reads the runner from the catalog at the
// last moment, as a runner that has begun to leave since the request arrived must not get it.
// Its error is a key of messages.
func (j *job) chooseRunner(ctx context.Context) (*core.Runner, error) {
	holders, candidates := j.candidates()
	switch {
	case len(candidates) > 0:
		j.startAdmission()
	case len(j.unadmitted) > 0 && j.awaitAdmission(ctx):
		holders, candidates = j.candidates()
	}
	if j.yieldsAt(candidates) {
		j.noteFull(candidates)
		return nil, errShare
	}
	i := j.pickCandidate(candidates)
	if j.needsPlacement(candidates, i) {
		if r := j.requestPlacement(ctx, len(candidates) > 0 && !j.adapterGone(candidates)); r != nil {
			return r, nil
		}
		holders, candidates = j.candidates() // a replica may have been loaded during the wait
		i = j.pickCandidate(candidates)
	}
	switch {
	case len(candidates) == 0 && j.origin != nil && !j.versionServes(""):
		return nil, errVersionGone
	case len(candidates) == 0 && j.sends > 0:
		if j.noteBackoff() {
			return nil, errBackoff
		}
		return nil, errExhausted
	case len(candidates) == 0:
		return nil, errAbsent
	case i < 0 && j.atLimit:
		return nil, errLimited
	case i < 0 && policy.OnlyBackedOff(candidates):
		j.noteBackoff()
		return nil, errBackoff
	case i < 0 && j.d.balanced() && policy.AllDown(candidates):
		return nil, errDown // no room becomes free there
	case i < 0:
		j.noteFull(candidates)
		return nil, errFull
	case candidates[i].Reported:
		j.verify(candidates[i].ID)
	case candidates[i].Down && (j.isWaitingForLoad() || !j.d.loads.Probe(candidates[i].ID)):
		return nil, errDown // one that waits for a replica does not risk its sends on probes
	}
	c := &candidates[i]
	wait := j.reserveSend(c.ID)
	limit, limited := j.d.limits.Limit(c.ID)
	j.log.Info(logs.RunnerChosen, append(j.balanceFields(), zap.String("runner", c.ID), zap.String("version", holders[i].Version), zap.String("after", j.lastEvent), zap.String("resumes", j.q.Resumes), zap.Stringer("digest", j.q.Digest), j.partsField(), zap.String("model", j.q.Model), zap.String("adapter", j.q.Adapter),
		zap.Int("candidates", len(candidates)), zap.Int("requests", c.Requests), zap.Int("slots", c.Slots), zap.Float64("penalty", c.Penalty), zap.Bool("near", c.SameDataCentre), zap.Duration("wait", wait),
		zap.Bool("limited", limited), zap.Float64("limit", limit.Rate), zap.String("limitfrom", limit.From), zap.Duration("limitage", limit.Age), j.beganField(), j.omittedField())...)
	if wait == 0 {
		return &holders[i].Runner, nil
	}
	end := j.occupied()
	core.Sleep(ctx, j.d.clock, wait)
	end()
	if e := j.d.catalog.Runner(c.ID); e != nil && j.suits(e) && j.stillAccepts(e, c.Down || c.Reported) {
		return &e.Runner, nil
	}
	return j.chooseRunner(ctx) // it no longer accepts requests, or the settings have changed
}

// verify records that the request finds out whether a runner is down. If the runner has not answered
// this daemon, a retry is taken from the budget, so that the request can be sent elsewhere.
func (j *job) verify(runner string) {
	if j.d.loads.IsUnanswering(runner) && j.spare == nil && j.attemptsLeft(1) {
		j.spare = j.reserveRetry(retryVerify)
	}
	j.d.loads.Verify(runner)
}

// needsPlacement reports whether to ask the holder of orders for the request's model or
// adapter: if no runner that is up has it, or if all runners with the adapter are full or
// down and another replica of its model has capacity. This is done once per request, once
// more after its stream has broken, and again while the request waits for a load.
func (j *job) needsPlacement(candidates []policy.Candidate, chosen int) bool {
	if j.q.Model == "" || j.placementRequested && !j.renewsExpectation() || j.runs > 0 && !j.resumed {
		return false
	}
	if len(candidates) == 0 {
		return true
	}
	if j.q.Adapter == "" {
		return policy.AllDown(candidates)
	}
	if j.adapterGone(candidates) {
		return true
	}
	if chosen < 0 && j.freeSlotOnly {
		return false // it waits for a free slot first
	}
	return (chosen < 0 || candidates[chosen].Down) && j.capacityElsewhere()
}

// capacityElsewhere reports whether a runner that has the request's model but not its adapter
// has capacity.
func (j *job) capacityElsewhere() bool {
	req := j.requirements()
	for _, e := range j.d.catalog.Runners(j.service) {
		if j.tried[e.ID] || !j.hasModel(e) || e.HoldsAdapter(j.q.Model, j.q.Adapter) {
			continue
		}
		s := j.d.available.State(e)
		if c := (policy.Candidate{Slots: e.Slots, Requests: s.Load.Requests}); s.Accepts() && !s.Limited && !c.Full(req) {
			return true
		}
	}
	return false
}

// reserveSend reserves the next send to a runner and returns how long to delay the request.
// Retries are not delayed, as much of their time has been spent.
func (j *job) reserveSend(runner string) time.Duration {
	if !j.engine() || j.sends > 0 || j.paced {
		return 0
	}
	j.paced = true
	return j.d.pacer.Reserve(j.d.clock.Now(), j.service, runner, j.q.InputTokens, j.d.daemons(), j.route.Target)
}

// suits reports whether the request may go to a runner if that accepts requests.
func (j *job) suits(e *catalog.Entry) bool { return !j.tried[e.ID] && j.canServe(e) }

// canServe is like suits but ignores whether the request has been sent to the runner before.
func (j *job) canServe(e *catalog.Entry) bool {
	return j.hasModel(e) && (j.q.Adapter == "" || e.HoldsAdapter(j.q.Model, j.q.Adapter))
}

// hasModel is like canServe but ignores the request's adapter.
func (j *job) hasModel(e *catalog.Entry) bool {
	return j.fitsOrigin(e) && j.allows(e.DataCentre) && (j.q.Model == "" || e.Holds(j.q.Model))
}

// requirements returns what the request needs of its runner.
func (j *job) requirements() policy.Requirements {
	spec := j.spec()
	if spec == nil || spec.Engine == nil {
		return policy.Requirements{}
	}
	if j.d.balanced() {
		return j.work().Requirements(spec.Engine.Slots)
	}
	if spec.Ranked && j.rank() == spec.TopRank {
		return policy.Requirements{Engine: true, QueueLimit: policy.UrgentQueueLimit()}
	}
	return policy.Requirements{Engine: true, QueueLimit: policy.QueueLimit(j.route.Target, j.d.pacer.StreamDuration(j.service))}
}

// engine reports whether the request is for a service of engines, which serve models.
func (j *job) engine() bool {
	spec := j.spec()
	return spec != nil && spec.Engine != nil
}

// spec returns the request's service from the configuration in force, or nil if it is not
// in there.
func (j *job) spec() *core.Service { return j.d.catalog.Config().Services[j.service] }

// candidates returns the runners that can serve the request now.
func (j *job) candidates() ([]*catalog.Entry, []policy.Candidate) {
	var holders []*catalog.Entry
	var out []policy.Candidate
	now := j.d.clock.Now()
	j.omitted, j.probeAwaited = nil, false
	j.brittleRoom, j.brittleOwners = 0, nil
	j.unadmitted = nil
	for _, e := range j.d.catalog.Runners(j.service) {
		if !j.suits(e) {
			continue
		}
		s := j.d.available.State(e)
		if !s.Accepts() {
			j.omit(e, s)
		}
		if s.Leaving {
			continue
		}
		if !j.mayBegin(e) {
			j.addUnadmitted(e)
			continue
		}
		verify := s.Load.Down && s.Load.MayVerify(j.attemptsLeft(1) && j.d.budget.Left(j.service))
		holders = append(holders, e)
		out = append(out, policy.Candidate{
			ID: e.ID, Slots: e.Slots, Requests: s.Load.Requests, Penalty: s.Load.Penalty, Age: j.d.ageOf(s.Load), Pace: s.Load.Pace,
			SameDataCentre: e.DataCentre == j.d.dataCentre, Leaving: e.LeavesIn > 0 && e.LeavesIn < leaveMargin,
			Wait: j.d.pacer.Wait(now, e.ID), Down: s.Load.Down && !verify, Reported: s.Load.Reported || verify, Limited: s.Limited && !s.Limit.Spare, BackedOff: s.BackedOff,
			NoRoom: s.Brittle && s.Room.Left() <= 0,
		})
		if s.Brittle {
			j.brittleRoom += s.Room.Total
			j.brittleOwners = append(j.brittleOwners, s.Room.Owners...)
		}
	}
	return holders, out
}

// requestPlacement asks the holder of orders to load the request's adapter or model, as no
// runner with capacity has it, and returns the runner that gets it, or nil. busy means that
// some runners have it but are full.
func (j *job) requestPlacement(ctx context.Context, busy bool) *core.Runner {
	again := j.placementRequested && j.renewsExpectation()
	j.placementRequested = true
	began := j.d.clock.Now()
	key := PlacementKey{Service: j.service, Model: j.q.Model, Adapter: j.q.Adapter, Busy: busy}
	if !busy && !again {
		key.Wait = j.placementWait()
	}
	if j.origin != nil {
		key.Version = j.origin.Version
	}
	end := j.occupied()
	id, err := j.askHolder(ctx, key)
	j.endPlacementWait(key.Wait)
	end()
	if err != nil {
		if !again {
			j.log.Info(logs.ModelNotPlaced, zap.String("model", j.q.Model), zap.String("adapter", j.q.Adapter), zap.Duration("expected", j.load.left(j.d.clock.Now())), logs.Err(err))
		}
		return nil
	}
	e := j.d.catalog.Runner(id)
	if e == nil || j.tried[id] || !j.fitsOrigin(e) || !j.allows(e.DataCentre) || !j.d.available.State(e).Accepts() {
		return nil
	}
	if !j.mayBegin(e) {
		j.unadmitted = nil
		if j.addUnadmitted(e); !j.awaitAdmission(ctx) {
			return nil
		}
	}
	if j.q.Adapter != "" {
		j.d.catalog.RecordHolding(id, j.q.Model, j.q.Adapter, true)
	}
	if room, ok := j.d.available.Brittle(e); ok && room.Left() <= 0 || !j.takeLimit(id, j.d.limits.Take) {
		return nil
	}
	j.log.Info(logs.ModelPlaced, zap.String("runner", id), zap.String("model", j.q.Model), zap.String("adapter", j.q.Adapter),
		zap.Duration("waited", j.d.clock.Since(began)))
	return &e.Runner
}
