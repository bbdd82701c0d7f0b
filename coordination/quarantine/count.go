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
	// consultTime is how long the other daemons are waited for when they are asked
	// whether a request has been served: some round trips, and a turn of a hub.
	consultTime = 150 * time.Millisecond
	// workedFor is how long ago a request may have been served to count as harmless. What
	// it asks for may have changed since.
	workedFor = time.Minute
)

// consultTells are the times after which the question is asked: it may be lost.
var consultTells = []time.Duration{0, 50 * time.Millisecond}

// consult is a question to all daemons whether a request has been served lately.
type consult struct {
	record hold.Record // that holds it back if it has not
	worked string      // the daemon that has served it
}

// seen asks daemons for a request that they have served.
type seen struct {
	Digest core.Digest   `json:"digest"`
	Within time.Duration `json:"within"`
}

func (q *Quarantine) handleEnd(from peers.Peer, body json.RawMessage, answer func(any)) {
	var a runnerEnd
	if !q.read(from, body, &a) {
		return
	}
	answer(true)
	q.countEnd(a, from.Name)
}

// countEnd counts a runner's end under requests, and holds back those at which too many
// have ended.
func (q *Quarantine) countEnd(a runnerEnd, from string) {
	for _, s := range a.Affected {
		r, ok := q.table.Get(s.Digest)
		switch {
		case !ok || r.State != hold.StateHeld:
			q.count(a, s, from, r)
		case r.Left(q.clock.Now()) > 0:
			// It was in progress when it came to be held back.
		default:
			q.log.Info(logs.EndCounted, zap.Stringer("digest", s.Digest), zap.String("runner", a.Runner), zap.String("from", from), zap.Bool("tried", true))
			r.Level++
			r.Runners++
			q.hold(r)
		}
	}
}

// count adds a runner's end to those under a request that is not held back.
func (q *Quarantine) count(a runnerEnd, s affected, from string, old hold.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runners, many := q.addEnd(a.Life, s)
	q.log.Info(logs.EndCounted, zap.Stringer("digest", s.Digest), zap.String("runner", a.Runner), zap.String("from", from),
		zap.Bool("begun", s.Begun), zap.Bool("fresh", s.Fresh), zap.Int("runners", runners), zap.Bool("many", many))
	if !many {
		return
	}
	c := q.consults[s.Digest]
	if c == nil {
		c = &consult{}
		q.consults[s.Digest] = c
		q.ask(s.Digest)
	}
	c.record = hold.Record{Digest: s.Digest, Version: old.Version, Route: s.Route, Service: s.Service, Runners: runners}
}

// addEnd counts one runner's end; the caller holds the lock.
func (q *Quarantine) addEnd(life policy.Life, s affected) (runners int, many bool) {
	if s.Fresh {
		return q.ends.AddFresh(q.clock.Now(), s.Digest, life)
	}
	return q.ends.Add(q.clock.Now(), s.Digest, life, s.Begun)
}

// ask asks all daemons whether a request has been served lately; the caller holds the
// lock. A request that is served again and again may be at work on each of the runners
// that another one ends; only that it is served tells the two apart.
func (q *Quarantine) ask(d core.Digest) {
	within := workedFor
	if at, ok := q.cleared[d]; ok {
		within = min(within, q.clock.Since(at)) // that it was served before then has been heard
	}
	q.tellAll(kindSeen, seen{Digest: d, Within: within}, consultTells)
	q.clock.AfterFunc(consultTime, func() { q.conclude(d) })
	if q.recent.within(d, within) {
		q.consults[d].worked = q.net.Self().Name
	}
}

func (q *Quarantine) handleSeen(from peers.Peer, body json.RawMessage, _ func(any)) {
	var s seen
	if q.read(from, body, &s) && q.recent.within(s.Digest, s.Within) {
		q.net.Tell(from, kindWorked, s.Digest)
	}
}

func (q *Quarantine) handleWorked(from peers.Peer, body json.RawMessage, _ func(any)) {
	var d core.Digest
	if !q.read(from, body, &d) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.consults[d]; c != nil {
		c.worked = from.Name
	}
}

// conclude holds a request back, or clears it where a daemon has served it.
func (q *Quarantine) conclude(d core.Digest) {
	q.mu.Lock()
	c := q.consults[d]
	if c == nil || q.ctx.Err() != nil {
		q.mu.Unlock()
		return // decided elsewhere meanwhile
	}
	delete(q.consults, d)
	if c.worked != "" {
		q.clear(d)
	}
	q.mu.Unlock()
	if c.worked == "" {
		q.hold(c.record)
		return
	}
	q.scope.Counter("quarantine_cleared").Inc(1)
	q.log.Info(logs.RequestCleared, zap.Stringer("digest", d), zap.String("worked", c.worked), zap.Int("runners", c.record.Runners))
}

// clear drops what is held against a request; the caller holds the lock.
func (q *Quarantine) clear(d core.Digest) {
	q.ends.Clear(d)
	now := q.clock.Now()
	q.cleared[d] = now
	for other, at := range q.cleared {
		if now.Sub(at) > workedFor {
			delete(q.cleared, other)
		}
	}
}
