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
	// minServedWindow is the least of that for a part of prompts that has been cleared before: requests with a harmless
	// one may be served seldom.
	minServedWindow = time.Second
)

// queryDelays are the times after which a query is sent; it is sent repeatedly because a
// message may be lost.
var queryDelays = []time.Duration{0, 50 * time.Millisecond}

// servedQuery is a query to all daemons for one that has recently served a request.
type servedQuery struct {
	record   hold.Record // the hold to place if no daemon has
	servedBy string      // the daemon that has served it; empty: none yet
	// deeper are the parts that follow a prompt part at each of its exits, and whether a daemon has
	// served them; nil if this is no part.
	deeper map[core.Digest]bool
}

// isPart reports whether it is a query for a part of prompts.
func (c *servedQuery) isPart() bool { return c.deeper != nil }

// seen is the message of a query for daemons that have served a request, or any with a prompt part.
type seen struct {
	Digest core.Digest   `json:"digest"`
	Within time.Duration `json:"within"`
	Part   bool          `json:"part,omitempty"`
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
		r, ok := q.table.Get(s.Digest)
		switch {
		case !ok || r.State != hold.StateHeld:
			q.count(report, s, from, r)
		case r.Remaining(q.clock.Now()) > 0:
			// The request was already in progress when it was held back.
		case s.isPart() && !s.mayBeCause():
		default:
			q.log.Info(logs.ExitCounted, zap.Stringer("digest", s.Digest), zap.String("runner", report.Runner), zap.String("from", from), zap.Bool("tried", true))
			r.Level++
			r.Runners++
			q.hold(r)
		}
	}
}

// count adds a runner's exit to those of a request that is not held back.
func (q *Quarantine) count(report exitReport, s affected, from string, old hold.Record) {
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
		c = &servedQuery{}
		q.queries[s.Digest] = c
		if s.isPart() {
			q.queryPart(c, s.Digest)
		} else {
			q.queryServed(s.Digest)
		}
	}
	c.record = hold.Record{Digest: s.Digest, Version: old.Version, Route: s.Route, Service: s.Service, Runners: runners}
}

// addExit counts one runner's exit; the caller holds q.mu.
func (q *Quarantine) addExit(instance policy.Instance, s affected) (runners int, tooMany bool) {
	if s.isPart() {
		x := policy.PartExit{Instance: instance, Fresh: s.Fresh, Request: *s.Request, Prompt: s.Prompt}
		return q.exits.AddPart(q.clock.Now(), s.Digest, x)
	}
	if s.Fresh {
		return q.exits.AddFresh(q.clock.Now(), s.Digest, instance)
	}
	return q.exits.Add(q.clock.Now(), s.Digest, instance, s.Begun)
}

// queryServed sends all daemons a query whether a request has been served recently. A harmless
// request that arrives again and again may be in progress at each runner that another request
// brings down. Only the fact that it is served distinguishes the two. The caller holds q.mu.
func (q *Quarantine) queryServed(d core.Digest) {
	within := servedWindow
	if at, ok := q.cleared[d]; ok {
		within = min(within, q.clock.Since(at)) // runs before the request was last cleared have been taken into account
	}
	q.broadcast(kindSeen, seen{Digest: d, Within: within}, queryDelays)
	q.clock.AfterFunc(queryWait, func() { q.decide(d) })
	if q.recent.servedWithin(d, within) {
		q.queries[d].servedBy = q.net.Self().Name
	}
}

// queryPart sends all daemons queries whether any request with a part of a prompt has been served recently,
// and any with one of the parts that followed it at each exit. The caller holds q.mu.
func (q *Quarantine) queryPart(c *servedQuery, part core.Digest) {
	c.deeper = map[core.Digest]bool{}
	within := q.partWindow(part)
	q.clock.AfterFunc(queryWait, func() { q.decide(part) })
	if q.recentParts.servedWithin(part, within) {
		c.servedBy = q.net.Self().Name
		return
	}
	q.queryDeeper(c, part)
	q.broadcast(kindSeen, seen{Digest: part, Within: within, Part: true}, queryDelays)
}

// partWindow returns how long ago a request with a part of a prompt may have been served for the part to count as
// harmless. What was served before the part was last cleared has been taken into account: the part may have begun to
// crash runners since. The caller holds q.mu.
func (q *Quarantine) partWindow(part core.Digest) time.Duration {
	at, ok := q.cleared[part]
	if !ok {
		return servedWindow
	}
	return min(servedWindow, max(minServedWindow, q.clock.Since(at)))
}

// queryDeeper sends the queries for the parts that followed a part at each exit and were not queried yet, and
// reports whether there are any. The caller holds q.mu.
func (q *Quarantine) queryDeeper(c *servedQuery, part core.Digest) bool {
	found := false
	for _, d := range q.exits.Deeper(part, q.countsUntil(part)) {
		if _, queried := c.deeper[d]; queried {
			continue
		}
		found = true
		within := q.partWindow(d)
		c.deeper[d] = q.recentParts.servedWithin(d, within)
		q.broadcast(kindSeen, seen{Digest: d, Within: within, Part: true}, queryDelays)
	}
	return found
}

// undecided reports whether it is too early to hold back what no daemon has served, and has it decided later.
// The caller holds q.mu.
func (q *Quarantine) undecided(c *servedQuery, d core.Digest) bool {
	now, wait := q.clock.Now(), queryWait
	switch up := q.fleetAge(); {
	case c.servedBy != "":
		return false
	case up < startPeriod && (c.isPart() || q.exits.InDoubt(d) && q.partWaits(d)):
		wait = startPeriod - up
		if q.exits.InDoubt(d) {
			wait += doubtWait // first what may explain the exits
		}
		if !c.isPart() {
			wait += doubtWait
		}
		q.clock.AfterFunc(wait, func() { q.queryAgain(c, d) })
		return true
	case c.isPart() && q.queryDeeper(c, d): // exits that were reported since have shown them
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
		q.queryPart(c, d)
	default:
		q.queryServed(d)
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
	served := q.recent
	if s.Part {
		served = q.recentParts
	}
	if served.servedWithin(s.Digest, s.Within) {
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
	for _, c := range q.queries {
		if _, ok := c.deeper[d]; ok {
			c.deeper[d] = true
		}
	}
}

// decide holds a request back, or clears it if a daemon has served it.
func (q *Quarantine) decide(d core.Digest) {
	q.mu.Lock()
	c := q.queries[d]
	if c == nil || q.ctx.Err() != nil {
		q.mu.Unlock()
		return // decided by another daemon meanwhile
	}
	if q.undecided(c, d) {
		q.mu.Unlock()
		return
	}
	delete(q.queries, d)
	if c.servedBy != "" {
		q.clear(d)
	}
	likelier, defers := q.likelierPart(c, d)
	explained := !q.exits.Held(d, q.countsUntil(d))
	q.mu.Unlock()
	switch {
	case c.servedBy != "":
	case defers || explained:
		q.scope.Counter("quarantine_deferred").Inc(1)
		q.log.Info(logs.HoldDeferred, zap.Stringer("digest", d), zap.String("route", c.record.Route), zap.Stringer("likelier", likelier), zap.Bool("explained", explained), zap.Int("runners", c.record.Runners))
		return
	default:
		q.hold(c.record)
		return
	}
	q.scope.Counter("quarantine_cleared").Inc(1)
	q.log.Info(logs.RequestCleared, zap.Stringer("digest", d), zap.String("worked", c.servedBy), zap.Int("runners", c.record.Runners))
}

// likelierPart returns a part that followed another one at each exit and that no daemon has served either.
// The caller holds q.mu.
func (q *Quarantine) likelierPart(c *servedQuery, part core.Digest) (core.Digest, bool) {
	for _, d := range q.exits.Deeper(part, q.countsUntil(part)) {
		if served, asked := c.deeper[d]; asked && !served {
			return d, true
		}
	}
	return core.Digest{}, false
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
