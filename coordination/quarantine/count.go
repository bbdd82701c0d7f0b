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
}

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
		r, ok := q.table.Get(s.Digest)
		switch {
		case !ok || r.State != hold.StateHeld:
			q.count(report, s, from, r)
		case r.Remaining(q.clock.Now()) > 0:
			// The request was already in progress when it was held back.
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
	q.log.Info(logs.ExitCounted, zap.Stringer("digest", s.Digest), zap.String("runner", report.Runner), zap.String("from", from),
		zap.Bool("begun", s.Begun), zap.Bool("fresh", s.Fresh), zap.Int("runners", runners), zap.Bool("many", tooMany))
	if !tooMany {
		return
	}
	c := q.queries[s.Digest]
	if c == nil {
		c = &servedQuery{}
		q.queries[s.Digest] = c
		q.queryServed(s.Digest)
	}
	c.record = hold.Record{Digest: s.Digest, Version: old.Version, Route: s.Route, Service: s.Service, Runners: runners}
}

// addExit counts one runner's exit; the caller holds q.mu.
func (q *Quarantine) addExit(instance policy.Instance, s affected) (runners int, tooMany bool) {
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

func (q *Quarantine) handleSeen(from peers.Peer, body json.RawMessage, _ func(any)) {
	var s seen
	if peers.Decode(q.log, from, body, &s) && q.recent.servedWithin(s.Digest, s.Within) {
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

// decide holds a request back, or clears it if a daemon has served it.
func (q *Quarantine) decide(d core.Digest) {
	q.mu.Lock()
	c := q.queries[d]
	if c == nil || q.ctx.Err() != nil {
		q.mu.Unlock()
		return // decided by another daemon meanwhile
	}
	delete(q.queries, d)
	if c.servedBy != "" {
		q.clear(d)
	}
	q.mu.Unlock()
	if c.servedBy == "" {
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
