package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
)

// maxReportedExits and maxReportedModels bound an answer on the use of a prompt part. It is below a packet of 1,500
// bytes unless many runners exit; without their exits, those under the part would seem to be the only ones.
const (
	maxReportedExits  = 64
	maxReportedModels = 8
)

// useQuery asks all daemons how a prompt part was used, and which runners of a service have exited. For a whole request
// only the latter counts.
type useQuery struct {
	Part    core.Digest `json:"part"`
	Service string      `json:"service"`
	// Within is the recent time of the answer for each model of the exits, Longest that for others.
	Within  map[string]time.Duration `json:"within"`
	Longest time.Duration            `json:"longest"`
}

// within returns the recent time for a model.
func (m *useQuery) within(model string) time.Duration {
	if d, ok := m.Within[model]; ok {
		return d
	}
	return m.Longest
}

// modelUse is the use of a prompt part for one model: over the recent time, and over policy.SuspicionWindow.
type modelUse struct {
	Model  string     `json:"m"`
	Recent policy.Use `json:"r"`
	Long   policy.Use `json:"l"`
}

// seenExit is the exit of a runner's instance, how long ago it was found, and how long that one had been running by then;
// 0 if it is not known.
type seenExit struct {
	Instance policy.Instance `json:"i"`
	Age      time.Duration   `json:"a"`
	Life     time.Duration   `json:"l,omitempty"`
}

// lifeOf returns how long an instance of a runner had been running at a time; 0: not known. The runner's clock may differ.
func lifeOf(r *core.Runner, at time.Time) time.Duration {
	if r.StartedAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(r.StartedAt))
}

// useReport answers a useQuery.
type useReport struct {
	Part   core.Digest `json:"part"`
	Models []modelUse  `json:"models,omitempty"`
	Exits  []seenExit  `json:"exits,omitempty"`
}

// partQuery is a query for a prompt part and for others that were there at each of its exits.
type partQuery struct {
	service string
	asked   map[core.Digest]bool
	reports map[core.Digest]map[string]useReport // by part and daemon
}

// queryPart asks all daemons for the use of a part and of its companions at the exits. The caller holds q.mu.
func (q *Quarantine) queryPart(c *servedQuery, part core.Digest, service string) {
	c.part = &partQuery{service: service, asked: map[core.Digest]bool{}, reports: map[core.Digest]map[string]useReport{}}
	q.clock.AfterFunc(queryWait, func() { q.decide(part) })
	q.queryUse(c, part, part)
	q.queryCompanions(c, part)
}

// queryUse asks all daemons for the use of a part over the time that counts for another one. The caller holds q.mu.
func (q *Quarantine) queryUse(c *servedQuery, d, part core.Digest) {
	c.part.asked[d] = true
	q.broadcast(kindUse, q.useQuery(c.part, d, part), queryDelays)
}

// useQuery returns the query for a part, over the time that counts for another one. The caller holds q.mu.
func (q *Quarantine) useQuery(c *partQuery, d, part core.Digest) useQuery {
	now := q.clock.Now()
	m := useQuery{Part: d, Service: c.service, Within: map[string]time.Duration{}}
	evidence := q.exits.Evidence(part, now)
	for model, at := range evidence.Begin() {
		m.Within[model] = now.Sub(at)
		m.Longest = max(m.Longest, now.Sub(at))
	}
	return m
}

// queryCompanions asks for the parts that were there at each exit of a part and were not asked for yet, and reports
// whether there are any. The caller holds q.mu.
func (q *Quarantine) queryCompanions(c *servedQuery, part core.Digest) bool {
	found := false
	for d := range q.exits.Evidence(part, q.countsUntil(part)).Companions {
		if !c.part.asked[d] {
			found = true
			q.queryUse(c, d, part)
		}
	}
	return found
}

func (q *Quarantine) handleUse(from peers.Peer, body json.RawMessage, _ func(any)) {
	var m useQuery
	if !peers.Decode(q.log, from, body, &m) {
		return
	}
	if r := q.reportUse(m); len(r.Models)+len(r.Exits) > 0 {
		q.net.Send(from, kindUsed, r)
	}
}

// reportUse returns what this daemon knows of the use of a part, and of exits.
func (q *Quarantine) reportUse(m useQuery) useReport {
	out := useReport{Part: m.Part, Models: q.uses.report(m.Part, m.within)}
	slices.SortFunc(out.Models, func(a, b modelUse) int { return cmp.Compare(b.Long.Busy, a.Long.Busy) })
	out.Models = out.Models[:min(len(out.Models), maxReportedModels)]
	q.mu.Lock()
	defer q.mu.Unlock()
	out.Exits = q.seenExits(m.Service)
	return out
}

// seenExits returns the latest exits of a service's runners that this daemon has found. The caller holds q.mu.
func (q *Quarantine) seenExits(service string) []seenExit {
	var out []seenExit
	for instance, c := range q.checks {
		if c.exited && c.runner.Service == service {
			out = append(out, seenExit{instance, q.clock.Since(c.checkedAt), lifeOf(&c.runner, c.checkedAt)})
		}
	}
	slices.SortFunc(out, func(a, b seenExit) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxReportedExits)]
}

func (q *Quarantine) handleUsed(from peers.Peer, body json.RawMessage, _ func(any)) {
	var r useReport
	if !peers.Decode(q.log, from, body, &r) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for d, c := range q.queries {
		switch {
		case c.part != nil && c.part.asked[r.Part]:
			c.part.add(from.Name, r)
		case c.part == nil && d == r.Part:
			c.exits = append(c.exits, r.Exits...)
		}
	}
}

func (c *partQuery) add(from string, r useReport) {
	if c.reports[r.Part] == nil {
		c.reports[r.Part] = map[string]useReport{}
	}
	c.reports[r.Part][from] = r
}

// longUse sums up the use of a part over policy.SuspicionWindow, at all models.
func (c *partQuery) longUse(part core.Digest) policy.Use {
	var out policy.Use
	for _, r := range c.reports[part] {
		for _, m := range r.Models {
			out.Add(m.Long)
		}
	}
	return out
}

// askSelf adds what this daemon knows itself of the parts that were asked for.
func (q *Quarantine) askSelf(c *partQuery, part core.Digest) {
	q.mu.Lock()
	var queries []useQuery
	for d := range c.asked {
		queries = append(queries, q.useQuery(c, d, part))
	}
	q.mu.Unlock()
	for _, m := range queries {
		r := q.reportUse(m)
		q.mu.Lock()
		c.add("", r)
		q.mu.Unlock()
	}
}
