package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// probeTimeout is how long a check tries to reach a runner, with probePause between two
	// attempts. On a working network an exited process is detected within milliseconds, as the
	// connection is refused.
	probeTimeout = time.Second
	probePause   = 100 * time.Millisecond
	// minCheckInterval is the least time between two checks of one runner, so that a running
	// one that fails requests is not probed for each of them.
	minCheckInterval = 250 * time.Millisecond
	// reportDelay is how long requests that broke off at one runner are collected for a common
	// report. All of them break off within some milliseconds.
	reportDelay = 20 * time.Millisecond
	// exitRetention is how long a runner's exit is remembered.
	exitRetention = policy.SuspicionWindow
	// reportTimeout bounds sending a report to a counter, reportResend is the interval at
	// which it is resent in case a message was lost.
	reportTimeout = 3 * time.Second
	reportResend  = 100 * time.Millisecond
	// maxAffected and maxAffectedParts bound the requests and the prompt parts per message, to keep it
	// below a packet of 1,500 bytes.
	maxAffected      = 12
	maxAffectedParts = 2
	// maxPrompt bounds the parts of a prompt in a message, and maxPromptBefore those of them that precede
	// the part that the message is on.
	maxPrompt       = 12
	maxPromptBefore = 6
	// maxPartRequests bounds the requests that a daemon reports for one part and exit, those that had
	// come furthest first.
	maxPartRequests = 3
)

// affected is a request that was in progress at a runner when it exited, or a part of its prompt, on the
// wire.
type affected struct {
	Digest  core.Digest `json:"d"`
	Route   string      `json:"r"`
	Service string      `json:"s"`
	Begun   bool        `json:"b,omitempty"`
	Fresh   bool        `json:"f,omitempty"`
	// Request is the request of a part; nil: this is no part. Prompt are the shared parts of its prompt.
	Request *core.Digest  `json:"q,omitempty"`
	Prompt  []core.Digest `json:"p,omitempty"`
	Model   string        `json:"m,omitempty"`
	Age     int64         `json:"a,omitempty"` // milliseconds since it was sent to the runner
	// Late is the request itself, of which Digest is lateDigest; nil: this is a request or a part.
	Late *core.Digest `json:"l,omitempty"`
}

// lateDigest returns the digest under which exits are counted, as those of a prompt part, that followed after a runner had
// worked on a request for a long time.
func lateDigest(d core.Digest) core.Digest { return d.AtModel("late") }

// held returns the digests under which it may be on hold.
func (a *affected) held() []core.Digest {
	switch {
	case a.Late != nil:
		return []core.Digest{*a.Late}
	case a.isPart():
		return []core.Digest{a.Digest, a.Digest.AtModel(a.Model)}
	}
	return []core.Digest{a.Digest}
}

// age returns how long before the exit it was sent to the runner.
func (a *affected) age() time.Duration { return time.Duration(a.Age) * time.Millisecond }

// isPart reports whether it is a part of a prompt.
func (a *affected) isPart() bool { return a.Request != nil }

// affectedOf returns a lost request and the parts of its prompt.
func affectedOf(b *core.LostRequest) []affected {
	request := affected{Digest: b.Digest, Route: b.Route, Service: b.Service, Begun: b.MayHaveRun, Fresh: b.JustStarted}
	request.Age, request.Model = b.Age.Milliseconds(), b.Model
	var out []affected
	if !b.Worked {
		out = append(out, request)
	} else {
		late := request
		send := b.Digest.AtModel(fmt.Sprint("send to ", instanceOf(&b.Runner)))
		late.Digest, late.Late, late.Request, late.Model = lateDigest(b.Digest), &b.Digest, &send, ""
		out = append(out, late)
	}
	var prompt []core.Digest
	for _, p := range b.Parts {
		prompt = append(prompt, p.Digest)
	}
	for i, p := range b.Parts {
		part := request
		part.Digest, part.Route, part.Request = p.Digest, "prompt part "+p.ID, &b.Digest
		from := max(0, i-maxPromptBefore)
		part.Prompt = prompt[from:min(len(prompt), from+maxPrompt)]
		out = append(out, part)
	}
	return out
}

// exitReport reports a runner's exit to a counter.
type exitReport struct {
	Runner   string          `json:"runner"`
	Instance policy.Instance `json:"life"`
	Affected []affected      `json:"affected"`
}

// check determines whether a runner has exited, for all requests that broke off there.
type check struct {
	q         *Quarantine
	runner    core.Runner
	instance  policy.Instance
	affected  []affected // not reported yet
	exited    bool       // the runner has exited
	checkedAt time.Time  // end of the last check; zero: none yet
	running   bool
}

func instanceOf(r *core.Runner) policy.Instance {
	return policy.Instance(xxhash.Sum64String(r.ID + " " + strconv.FormatInt(r.StartedAt.UnixMilli(), 10)))
}

// ConnectionLost implements core.Guard.
func (q *Quarantine) ConnectionLost(b core.LostRequest) {
	instance := instanceOf(&b.Runner)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	now := q.clock.Now()
	q.expireChecks(now)
	c := q.checks[instance]
	if c == nil {
		c = &check{q: q, runner: b.Runner, instance: instance}
		q.checks[instance] = c
	}
	c.affected = append(c.affected, affectedOf(&b)...)
	if !c.running {
		c.running = true
		q.wg.Add(1)
		go c.run(c.delay(now))
	}
}

// expireChecks drops the runners whose last check ended more than exitRetention ago; the
// caller holds q.mu.
func (q *Quarantine) expireChecks(now time.Time) {
	for instance, c := range q.checks {
		if !c.running && now.Sub(c.checkedAt) > exitRetention {
			delete(q.checks, instance)
		}
	}
}

// delay returns the time until the next check may start; the caller holds q.mu.
func (c *check) delay(now time.Time) time.Duration {
	if c.exited || c.checkedAt.IsZero() {
		return 0
	}
	return max(0, minCheckInterval-now.Sub(c.checkedAt))
}

func (c *check) run(delay time.Duration) {
	q := c.q
	defer q.wg.Done()
	core.Sleep(q.ctx, q.clock, delay)
	exited, reason := c.exited, error(nil)
	if !exited {
		exited, reason = c.probe()
	}
	if exited && errors.Is(reason, core.ErrNoListener) && q.answersPeer(&c.runner) {
		exited, reason = false, errPath
	}
	if exited {
		core.Sleep(q.ctx, q.clock, reportDelay)
	}
	q.mu.Lock()
	affected := c.affected
	c.affected, c.exited, c.checkedAt, c.running = nil, exited, q.clock.Now(), false
	q.mu.Unlock()
	if !exited {
		q.log.Info(logs.RunnerStillRunning, zap.String("runner", c.runner.ID), zap.Int("requests", countRequests(affected)), logs.Err(reason))
		return
	}
	requests := countRequests(affected)
	q.scope.Counter("quarantine_ends").Inc(int64(requests))
	q.log.Info(logs.RunnerExited, zap.String("runner", c.runner.ID), zap.Time("born", c.runner.StartedAt), zap.Int("requests", requests), logs.Err(reason))
	q.reportExit(c, affected)
}

// probe requests the runner's state until it is known whether the runner has exited. A runner
// that is unreachable for other reasons counts as running: its VM may have lost power or be
// cut off, which no request can cause.
func (c *check) probe() (exited bool, err error) {
	ctx, cancel := context.WithTimeout(c.q.ctx, probeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var report *core.Report
		report, err = c.q.prober.Report(ctx, &c.runner)
		switch {
		case errors.Is(err, core.ErrNoListener), errors.Is(err, core.ErrReplaced):
			return true, err
		case err == nil:
			return !report.StartedAt.IsZero() && !report.StartedAt.Equal(c.runner.StartedAt), nil
		}
		core.Sleep(ctx, c.q.clock, probePause)
	}
	return false, err
}

// reportExit reports a runner's exit to the counters of each affected request.
func (q *Quarantine) reportExit(c *check, affected []affected) {
	self := q.net.Self().Name
	for _, share := range byCounter(affected, q.net.Alive()) {
		for _, chunk := range slices.Concat(slices.Collect(slices.Chunk(share.requests, maxAffected)), slices.Collect(slices.Chunk(share.parts, maxAffectedParts))) {
			report := exitReport{Runner: c.runner.ID, Instance: c.instance, Affected: chunk}
			if share.counter.Name == self {
				q.countExit(report, self)
				continue
			}
			q.wg.Add(1)
			go q.runReportExit(share.counter, report)
		}
	}
}

// countRequests counts what is no part of a prompt.
func countRequests(list []affected) int {
	n := 0
	for i := range list {
		if !list[i].isPart() {
			n++
		}
	}
	return n
}

// counterShare is the requests and prompt parts that one counter counts.
type counterShare struct {
	counter  peers.Peer
	requests []affected
	parts    []affected
}

// byCounter groups requests and prompt parts by their counters among all live daemons.
func byCounter(list []affected, all []peers.Peer) map[string]*counterShare {
	// Those that had come furthest first: of a part only some are reported.
	list = slices.SortedStableFunc(slices.Values(list), func(a, b affected) int { return b.progress() - a.progress() })
	out := map[string]*counterShare{}
	seen := map[core.Digest]int{}
	for _, s := range list {
		if n := seen[s.Digest]; s.isPart() && n >= maxPartRequests || !s.isPart() && n > 0 && !s.Begun {
			continue
		}
		seen[s.Digest]++
		for _, counter := range countersOf(s.Digest, all) {
			share := out[counter.Name]
			if share == nil {
				share = &counterShare{counter: counter}
				out[counter.Name] = share
			}
			if s.isPart() {
				share.parts = append(share.parts, s)
			} else {
				share.requests = append(share.requests, s)
			}
		}
	}
	return out
}

// progress ranks requests by how likely the exit is theirs.
func (a *affected) progress() int {
	switch {
	case a.Fresh:
		return 2
	case a.Begun:
		return 1
	}
	return 0
}

// runReportExit sends a report to a counter until the counter acknowledges it or reportTimeout
// has passed.
func (q *Quarantine) runReportExit(to peers.Peer, report exitReport) {
	defer q.wg.Done()
	ctx, cancel := context.WithTimeout(q.ctx, reportTimeout)
	defer cancel()
	var acknowledged bool
	if err := q.net.Request(ctx, to, kindExit, report, &acknowledged, reportResend); err != nil {
		q.log.Info(logs.CounterUnreachable, zap.String("counter", to.Name), zap.String("runner", report.Runner), zap.Int("requests", len(report.Affected)), logs.Err(err))
	}
}
