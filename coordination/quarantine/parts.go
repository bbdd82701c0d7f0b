package quarantine

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/hold"
)

// suspicion sums up what all daemons have reported on a part, at the models that explain the exits. The caller holds q.mu.
func (q *Quarantine) suspicion(c *partQuery, part core.Digest, until time.Time) (s policy.Suspicion, models []string) {
	now, evidence := q.clock.Now(), q.exits.Evidence(part, until)
	use := map[string]policy.Use{}
	for _, r := range c.reports[part] {
		for _, m := range r.Models {
			sum := use[m.Model]
			sum.Add(m.Recent)
			use[m.Model] = sum
		}
	}
	models = evidence.Models(use)
	s = policy.Suspicion{Known: q.runners != nil, Requests: evidence.Requests, Fresh: evidence.Fresh, Age: evidence.Age(models), Early: evidence.Early()}
	begin := evidence.Begin()
	for _, m := range models {
		s.Recent.Window = max(s.Recent.Window, now.Sub(begin[m]))
	}
	s.Recent.Window = max(time.Millisecond, s.Recent.Window)
	s.Long.Window = max(s.Recent.Window, min(policy.SuspicionWindow, q.fleetAge()))
	var exits []seenExit
	for _, r := range c.reports[part] {
		exits = append(exits, r.Exits...)
		for _, m := range r.Models {
			if !slices.Contains(models, m.Model) {
				s.Elsewhere.Add(m.Recent)
				continue
			}
			s.Recent.Add(m.Recent)
			s.Long.Add(m.Long)
		}
	}
	list := q.instances(part, c.service, &evidence, exits, until)
	s.Recent.AddInstances(list)
	s.Long.AddInstances(list)
	return s, models
}

// instances returns the instances of a service's runners: those that exited under requests with a part or a request, others
// that were seen to exit until a time, and those that are running. The caller holds q.mu.
func (q *Quarantine) instances(d core.Digest, service string, evidence *policy.PartEvidence, seen []seenExit, until time.Time) []policy.KnownInstance {
	now, exits := q.clock.Now(), map[policy.Instance]policy.KnownInstance{}
	for _, x := range evidence.Exits {
		exits[x.Instance] = policy.KnownInstance{Exited: true, Age: now.Sub(x.At), Part: true, Early: x.Early > 0}
	}
	gone := map[policy.Instance]bool{}
	for _, x := range seen {
		gone[x.Instance] = true
		one, known := exits[x.Instance]
		switch {
		case known:
			one.Life = x.Life
			exits[x.Instance] = one
		case !q.exits.HasOtherCause(x.Instance, d) && x.Age >= now.Sub(until):
			exits[x.Instance] = policy.KnownInstance{Exited: true, Age: x.Age, Life: x.Life}
		}
	}
	list := slices.Collect(maps.Values(exits))
	if q.runners == nil {
		return list
	}
	runners := q.runners(service)
	for i := range runners {
		instance := instanceOf(&runners[i])
		if _, exited := exits[instance]; !exited && !gone[instance] {
			list = append(list, policy.KnownInstance{Life: lifeOf(&runners[i], now)})
		}
	}
	return list
}

// requestSuspicion sums up what is known of a whole request under which runners have exited, and that was not served. The
// caller holds q.mu.
func (q *Quarantine) requestSuspicion(c *servedQuery, d core.Digest, until time.Time) policy.Suspicion {
	now, evidence := q.clock.Now(), q.exits.Evidence(d, until)
	s := policy.Suspicion{Known: q.runners != nil}
	for _, at := range evidence.Begin() {
		s.Recent.Window = max(s.Recent.Window, now.Sub(at))
	}
	for _, x := range evidence.Exits {
		s.Recent.Add(policy.Use{Busy: x.Ages[""], Runs: 1})
	}
	s.Recent.AddInstances(q.instances(d, c.record.Service, &evidence, append(q.seenExits(c.record.Service), c.exits...), until))
	return s
}

// verdict is the decision on a prompt part.
type verdict string

const (
	verdictHarmless  verdict = "harmless"  // it is not the cause
	verdictExplained verdict = "explained" // the exits that are left are too few
	verdictChance    verdict = "chance"    // it may have been there by chance; the exits still count
	verdictLikelier  verdict = "likelier"  // another part is the likelier cause
	verdictHeld      verdict = "held"
)

// assessment is a verdict and what it is based on.
type assessment struct {
	verdict
	policy.Suspicion
	models   []string    // that explain the exits
	likelier core.Digest // the likelier cause, if there is one
}

// assessUntil decides on a part by the exits that were reported until a time. The caller holds q.mu.
func (q *Quarantine) assessUntil(c *partQuery, part core.Digest, until time.Time) assessment {
	a := assessment{verdict: verdictHeld}
	a.Suspicion, a.models = q.suspicion(c, part, until)
	other, defers := q.likelierPart(c, &a.Suspicion, part, until)
	switch {
	case !q.exits.Held(part, until):
		a.verdict = verdictExplained
	case a.Harmless():
		a.verdict = verdictHarmless
	case !a.Suffices():
		a.verdict = verdictChance
	case defers:
		a.verdict, a.likelier = verdictLikelier, other
	}
	return a
}

// assess decides on a part. evident is whether it is so clearly the cause of the exits until now that no other explanation
// needs to be waited for. The caller holds q.mu.
func (q *Quarantine) assess(c *partQuery, part core.Digest) (a assessment, evident bool) {
	if a = q.assessUntil(c, part, q.clock.Now()); a.verdict == verdictHeld && a.Clear() {
		return a, true
	}
	return q.assessUntil(c, part, q.countsUntil(part)), false
}

// likelierPart returns a part that was there at each exit of another one and is the likelier cause. The caller holds q.mu.
func (q *Quarantine) likelierPart(c *partQuery, s *policy.Suspicion, part core.Digest, until time.Time) (core.Digest, bool) {
	mine := *s
	mine.Long.Use = c.longUse(part)
	for d, follows := range q.exits.Evidence(part, until).Companions {
		if c.asked[d] && mine.Likelier(c.longUse(d), follows) {
			return d, true
		}
	}
	return core.Digest{}, false
}

// decidePart holds a part back, at the models of the exits only if it is harmless at others.
func (q *Quarantine) decidePart(c *servedQuery, part core.Digest) {
	q.mu.Lock()
	asked := c.part
	q.mu.Unlock()
	q.askSelf(asked, part)
	q.mu.Lock()
	if q.queries[part] != c || q.ctx.Err() != nil {
		q.mu.Unlock()
		return
	}
	a, evident := q.assess(c.part, part)
	if !evident && q.undecided(c, part) {
		q.mu.Unlock()
		return
	}
	delete(q.queries, part)
	if a.verdict == verdictHarmless {
		q.clear(part)
	}
	records := q.partRecords(c, part, &a)
	q.mu.Unlock()
	q.scope.Tagged(map[string]string{"verdict": string(a.verdict)}).Counter("quarantine_parts").Inc(1)
	q.logPart(c, part, &a)
	if a.verdict != verdictHeld {
		return
	}
	for _, r := range records {
		q.hold(r)
	}
}

// logPart logs the decision on a part.
func (q *Quarantine) logPart(c *servedQuery, part core.Digest, a *assessment) {
	odds := a.Odds()
	q.log.Info(logs.PartDecided, zap.Stringer("digest", part), zap.String("route", c.record.Route), zap.String("verdict", string(a.verdict)), zap.Stringer("likelier", a.likelier),
		zap.Strings("models", a.models), zap.Int("events", a.Recent.Events), zap.Int("all", a.Recent.AllEvents), zap.Int("exits", a.Recent.AllExits), zap.Int("requests", a.Requests), zap.Int("fresh", a.Fresh), zap.Duration("age", a.Age),
		zap.Int("whole", a.Recent.Whole), zap.Duration("busy", a.Recent.Busy), zap.Duration("window", a.Recent.Window), zap.Duration("longbusy", a.Long.Busy), zap.Duration("longwindow", a.Long.Window),
		zap.Int("elsewhere", a.Elsewhere.Whole), zap.Duration("up", a.Recent.Up),
		zap.Float64("odds", odds.Recent), zap.Float64("longodds", odds.Long), zap.Float64("fate", odds.RecentFate), zap.Float64("longfate", odds.LongFate),
		zap.Duration("within", a.Early), zap.Float64("early", odds.RecentEarly), zap.Float64("longearly", odds.LongEarly))
}

// partRecords returns the holds to place for a part. The caller holds q.mu.
func (q *Quarantine) partRecords(c *servedQuery, part core.Digest, a *assessment) []hold.Record {
	record := c.record
	record.Whole = a.Recent.MayBeWhole(record.Runners)
	if !a.AtModels() {
		return []hold.Record{q.again(record)}
	}
	var out []hold.Record
	for _, m := range a.models {
		at := record
		at.Digest, at.Route = part.AtModel(m), record.Route+" at model "+m
		at.Part, at.Model = &part, m
		if old, ok := q.table.Get(at.Digest); ok {
			at.Version = old.Version
		}
		out = append(out, q.again(at))
	}
	return out
}

// again returns a hold at its next level if the same digest was released not long ago because it was served: that was by
// chance.
func (q *Quarantine) again(r hold.Record) hold.Record {
	if old, ok := q.table.Get(r.Digest); ok && old.State == hold.StateReleased && old.By == hold.BySuccess {
		r.Level = old.Level + 1
	}
	return r
}

// passed records that a run with a held part was served whole. That was a trial if it began after the hold. A part that
// crashes its runner only sometimes passes some: it is released once so many trials in a row have been served as would
// be unlikely otherwise.
func (q *Quarantine) passed(d core.Digest, began time.Time) {
	r, ok := q.table.Held(d)
	if !ok || began.Before(r.Placed()) {
		return
	}
	if r.Pass(q.clock.Now()) {
		q.release(r, hold.BySuccess)
		return
	}
	q.commit(r)
}
