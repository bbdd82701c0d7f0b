package quarantine

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/hold"
)

const (
	// queryWait is how long to wait for daemons that have served a request: some round trips,
	// and one interval of a hub.
	queryWait = 150 * time.Millisecond
	// doubtWait is how long an exit does not count for what is in doubt: the reports on its cause may be on
	// their way, or another request or part be held back for it.
	doubtWait = 300 * time.Millisecond
	// startPeriod is how long after the start of all daemons no part of prompts is held back, and nothing in
	// doubt that such a part may explain: callers' usual requests may not have been served yet.
	startPeriod = 3 * time.Second
	// servedWindow is how long ago a request may have been served to count as harmless. What
	// it needs, such as its model, may have changed since an earlier run.
	servedWindow = time.Minute
)

// queryDelays are the times after which a query is sent; it is sent repeatedly because a
// message may be lost.
var queryDelays = []time.Duration{0, 50 * time.Millisecond}

// servedQuery is a query to all daemons for one that has recently served a request.
type servedQuery struct {
	record   hold.Record // the hold to place if no daemon has
	servedBy string      // the daemon that has served it; empty: none yet
	part     *partQuery  // nil: this is no part of prompts
	forModel bool        // it is a request for a model
	exits    []seenExit  // that daemons have reported for a request
}

// isPart reports whether it is a query for a part of prompts.
func (c *servedQuery) isPart() bool { return c.part != nil }

// seen is the message of a query for daemons that have served a request.
type seen struct {
	Digest core.Digest   `json:"digest"`
	Within time.Duration `json:"within"`
}

func (q *Quarantine) handleExit(from peers.Peer, body json.RawMessage, answer func(any)) {
	var report exitReport
	if !peers.Decode(q.log, from, body, &report) {
		return
	}
	answer(true)
	q.countExit(report, from.Name)
}

// countExit counts a runner's exit for the requests that it affected, and holds back those
// with too many exits.
func (q *Quarantine) countExit(report exitReport, from string) {
	for _, s := range report.Affected {
		if by, held := q.heldCause(&s); held {
			q.mu.Lock()
			q.explain([]policy.Instance{report.Instance}, by)
			q.mu.Unlock()
		}
		held := false
		for _, d := range s.held() {
			if r, ok := q.table.Held(d); ok {
				held = true
				q.countTrial(report, &s, from, r)
			}
		}
		if !held {
			q.count(report, s, from)
		}
	}
}

// countTrial counts an exit against a request or part that is held back, if that was its trial. Others were in progress
// already when it was held back.
func (q *Quarantine) countTrial(report exitReport, s *affected, from string, r hold.Record) {
	now := q.clock.Now()
	if r.Remaining(now) > 0 || s.isPart() && !s.mayBeTrial(&r, now) {
		return
	}
	q.log.Info(logs.ExitCounted, zap.Stringer("digest", r.Digest), zap.String("runner", report.Runner), zap.String("from", from), zap.Bool("tried", true))
	r.Level++
	r.Runners++
	q.hold(r)
}

// count adds a runner's exit to those of a request that is not held back.
func (q *Quarantine) count(report exitReport, s affected, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runners, tooMany := q.addExit(report.Instance, s)
	q.log.Info(logs.ExitCounted, zap.Stringer("digest", s.Digest), zap.String("route", s.Route), zap.String("runner", report.Runner), zap.String("from", from),
		zap.Bool("begun", s.Begun), zap.Bool("fresh", s.Fresh), zap.Int("runners", runners), zap.Bool("many", tooMany))
	if !tooMany {
		return
	}
	c := q.queries[s.Digest]
	if c == nil {
		c = &servedQuery{forModel: s.Model != ""}
		q.queries[s.Digest] = c
		if s.isPart() {
			q.queryPart(c, s.Digest, s.Service)
		} else {
			q.queryServed(s.Digest, s.Service)
		}
	}
	c.record = hold.Record{Digest: s.Digest, Route: s.Route, Service: s.Service, Runners: runners}
	if s.Late != nil {
		c.record.Digest, c.record.Part = *s.Late, &s.Digest
	}
	if old, ok := q.table.Get(c.record.Digest); ok {
		c.record.Version = old.Version
	}
}

// addExit counts one runner's exit; the caller holds q.mu.
func (q *Quarantine) addExit(instance policy.Instance, s affected) (runners int, tooMany bool) {
	if s.isPart() {
		x := policy.PartExit{Instance: instance, Fresh: s.Fresh, Request: *s.Request, Model: s.Model, Age: s.age(), Prompt: s.Prompt}
		return q.exits.AddPart(q.clock.Now(), s.Digest, x)
	}
	now := q.clock.Now()
	if s.Fresh {
		runners, tooMany = q.exits.AddFresh(now, s.Digest, instance)
	} else {
		runners, tooMany = q.exits.Add(now, s.Digest, instance, s.Begun)
	}
	q.exits.SetAge(s.Digest, instance, s.age())
	return runners, tooMany
}

// queryServed sends all daemons a query whether a request has been served recently. A harmless
// request that arrives again and again may be in progress at each runner that another request
// brings down. Only the fact that it is served distinguishes the two. The caller holds q.mu.
func (q *Quarantine) queryServed(d core.Digest, service string) {
	within := servedWindow
	if at, ok := q.cleared[d]; ok {
		within = min(within, q.clock.Since(at)) // runs before the request was last cleared have been taken into account
	}
	q.broadcast(kindSeen, seen{Digest: d, Within: within}, queryDelays)
	if q.exits.InDoubt(d) {
		q.broadcast(kindUse, useQuery{Part: d, Service: service}, queryDelays)
	}
	q.clock.AfterFunc(queryWait, func() { q.decide(d) })
	if q.recent.servedWithin(d, within) {
		q.queries[d].servedBy = q.net.Self().Name
	}
}

// undecided reports whether it is too early to hold back what no daemon has served, and has it decided later.
// The caller holds q.mu.
func (q *Quarantine) undecided(c *servedQuery, d core.Digest) bool {
	now, wait := q.clock.Now(), queryWait
	switch up := q.fleetAge(); {
	case c.servedBy != "":
		return false
	case up < startPeriod && !(c.isPart() && q.runners != nil) && (c.isPart() || q.exits.InDoubt(d) && q.partWaits(d)):
		wait = startPeriod - up
		if q.exits.InDoubt(d) {
			wait += doubtWait // first what may explain the exits
		}
		if !c.isPart() {
			wait += doubtWait
		}
		q.clock.AfterFunc(wait, func() { q.queryAgain(c, d) })
		return true
	case c.isPart() && q.queryCompanions(c, d): // exits that were reported since have shown them
	case q.exits.Held(d, now) && !q.exits.Held(d, q.countsUntil(d)):
		wait = doubtWait
	default:
		return false
	}
	q.clock.AfterFunc(wait, func() { q.decide(d) })
	return true
}

// partWaits reports whether a part of prompts is not decided yet that may explain exits under a request. The
// caller holds q.mu.
func (q *Quarantine) partWaits(request core.Digest) bool {
	for d, c := range q.queries {
		if c.isPart() && q.exits.ShareExit(d, request) {
			return true
		}
	}
	return false
}

// fleetAge returns for how long one of the live daemons, the oldest one, has been running.
func (q *Quarantine) fleetAge() time.Duration {
	now, oldest := q.clock.Now(), time.Duration(0)
	for _, p := range q.net.Alive() {
		oldest = max(oldest, now.Sub(time.Unix(0, int64(p.Boot))))
	}
	return oldest
}

// queryAgain sends the queries for a request or part once more, unless it has been decided meanwhile.
func (q *Quarantine) queryAgain(c *servedQuery, d core.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.queries[d] != c || q.ctx.Err() != nil:
	case c.isPart():
		q.queryPart(c, d, c.part.service)
	default:
		q.queryServed(d, c.record.Service)
	}
}

// countsUntil returns until when an exit must have been reported to count for a request or prompt part now. The
// caller holds q.mu.
func (q *Quarantine) countsUntil(d core.Digest) time.Time {
	now := q.clock.Now()
	if q.exits.InDoubt(d) {
		return now.Add(-doubtWait)
	}
	return now
}

func (q *Quarantine) handleSeen(from peers.Peer, body json.RawMessage, _ func(any)) {
	var s seen
	if !peers.Decode(q.log, from, body, &s) {
		return
	}
	if q.recent.servedWithin(s.Digest, s.Within) {
		q.net.Send(from, kindWorked, s.Digest)
	}
}

func (q *Quarantine) handleWorked(from peers.Peer, body json.RawMessage, _ func(any)) {
	var d core.Digest
	if !peers.Decode(q.log, from, body, &d) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.queries[d]; c != nil {
		c.servedBy = from.Name
	}
}

// decide holds a request or prompt part back, or clears it.
func (q *Quarantine) decide(d core.Digest) {
	q.mu.Lock()
	c := q.queries[d]
	if c == nil || q.ctx.Err() != nil {
		q.mu.Unlock()
		return // decided by another daemon meanwhile
	}
	if c.isPart() {
		q.mu.Unlock()
		q.decidePart(c, d)
		return
	}
	if q.undecided(c, d) {
		q.mu.Unlock()
		return
	}
	delete(q.queries, d)
	if c.servedBy != "" {
		q.clear(d)
	}
	until := q.countsUntil(d)
	explained, suspicion := !q.exits.Held(d, until), q.requestSuspicion(c, d, until)
	chance := q.exits.InDoubt(d) && !suspicion.RequestSuffices(c.forModel)
	q.mu.Unlock()
	switch {
	case c.servedBy != "":
	case explained || chance:
		q.scope.Counter("quarantine_deferred").Inc(1)
		q.log.Info(logs.HoldDeferred, zap.Stringer("digest", d), zap.String("route", c.record.Route), zap.Bool("explained", explained), zap.Bool("chance", chance),
			zap.Int("events", suspicion.Recent.Events), zap.Int("all", suspicion.Recent.AllEvents), zap.Duration("busy", suspicion.Recent.Busy), zap.Duration("up", suspicion.Recent.Up),
			zap.Float64("odds", suspicion.Odds().Recent), zap.Int("runners", c.record.Runners))
		return
	default:
		q.hold(c.record)
		return
	}
	q.scope.Counter("quarantine_cleared").Inc(1)
	q.log.Info(logs.RequestCleared, zap.Stringer("digest", d), zap.String("worked", c.servedBy), zap.Int("runners", c.record.Runners))
}

// clear drops the exits counted for a request; the caller holds q.mu.
func (q *Quarantine) clear(d core.Digest) {
	q.exits.Clear(d)
	now := q.clock.Now()
	q.cleared[d] = now
	for other, at := range q.cleared {
		if now.Sub(at) > servedWindow {
			delete(q.cleared, other)
		}
	}
}
