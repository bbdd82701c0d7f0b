package quarantine

import (
	"context"
	"errors"
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
	// checkLimit is how long a runner is asked whether it has ended, with checkPause
	// between two tries; on a sound network a process that has ended tells within
	// milliseconds, by refusing the connection.
	checkLimit = time.Second
	checkPause = 100 * time.Millisecond
	// checkGap is the least time between two checks of one runner: one that fails requests
	// and lives is not asked for each of them.
	checkGap = 250 * time.Millisecond
	// tellLag is how long requests that broke off at one runner may wait to be told
	// together: all of them break within some milliseconds.
	tellLag = 20 * time.Millisecond
	// endedMemory is how long it is known that a runner has ended.
	endedMemory = 30 * time.Second
	// tellLimit is how long a counter is told, tellResend repeats a message that was lost.
	tellLimit  = 3 * time.Second
	tellResend = 100 * time.Millisecond
	// tellMost is how many requests a message names, which keeps it below a packet of
	// 1,500 bytes.
	tellMost = 12
)

// affected is a request that was in progress at a runner when it ended, on the wire.
type affected struct {
	Digest  core.Digest `json:"d"`
	Route   string      `json:"r"`
	Service string      `json:"s"`
	Begun   bool        `json:"b,omitempty"`
	Fresh   bool        `json:"f,omitempty"`
}

// runnerEnd tells a counter of a runner's end.
type runnerEnd struct {
	Runner   string      `json:"runner"`
	Life     policy.Life `json:"life"`
	Affected []affected  `json:"affected"`
}

// check finds out whether a runner has ended, for all requests that broke off there.
type check struct {
	q        *Quarantine
	runner   core.Runner
	life     policy.Life
	affected []affected // not told yet
	ended    bool       // the runner has
	at       time.Time  // when that was found, or when the runner was found alive
	running  bool
}

func lifeOf(r *core.Runner) policy.Life {
	return policy.Life(xxhash.Sum64String(r.ID + " " + strconv.FormatInt(r.Born.UnixMilli(), 10)))
}

// Broke implements core.Guard.
func (q *Quarantine) Broke(b core.Broken) {
	life := lifeOf(&b.Runner)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	now := q.clock.Now()
	q.expireChecks(now)
	c := q.checks[life]
	if c == nil {
		c = &check{q: q, runner: b.Runner, life: life}
		q.checks[life] = c
	}
	c.affected = append(c.affected, affected{Digest: b.Digest, Route: b.Route, Service: b.Service, Begun: b.Begun, Fresh: b.Fresh})
	if !c.running {
		c.running = true
		q.wg.Add(1)
		go c.run(c.wait(now))
	}
}

// expireChecks forgets the runners that were checked long ago; the caller holds the lock.
func (q *Quarantine) expireChecks(now time.Time) {
	for life, c := range q.checks {
		if !c.running && now.Sub(c.at) > endedMemory {
			delete(q.checks, life)
		}
	}
}

// wait is how long the next check is put off; the caller holds the lock.
func (c *check) wait(now time.Time) time.Duration {
	if c.ended || c.at.IsZero() {
		return 0
	}
	return max(0, checkGap-now.Sub(c.at))
}

func (c *check) run(wait time.Duration) {
	q := c.q
	defer q.wg.Done()
	core.Sleep(q.ctx, q.clock, wait)
	ended, why := c.ended, error(nil)
	if !ended {
		ended, why = c.probe()
	}
	if ended {
		core.Sleep(q.ctx, q.clock, tellLag)
	}
	q.mu.Lock()
	affected := c.affected
	c.affected, c.ended, c.at, c.running = nil, ended, q.clock.Now(), false
	q.mu.Unlock()
	if !ended {
		q.log.Info(logs.RunnerLives, zap.String("runner", c.runner.ID), zap.Int("requests", len(affected)), logs.Err(why))
		return
	}
	q.scope.Counter("quarantine_ends").Inc(int64(len(affected)))
	q.log.Info(logs.RunnerEnded, zap.String("runner", c.runner.ID), zap.Time("born", c.runner.Born), zap.Int("requests", len(affected)), logs.Err(why))
	q.tellEnd(c, affected)
}

// probe asks the runner for its state until it is known whether it has ended. A runner
// that can't be reached for other reasons counts as alive: its VM may have lost power or
// be cut off, which no request brings about.
func (c *check) probe() (ended bool, err error) {
	ctx, cancel := context.WithTimeout(c.q.ctx, checkLimit)
	defer cancel()
	for ctx.Err() == nil {
		var report *core.Report
		report, err = c.q.prober.Report(ctx, &c.runner)
		switch {
		case errors.Is(err, core.ErrNoListener), errors.Is(err, core.ErrReplaced):
			return true, err
		case err == nil:
			return !report.Born.IsZero() && !report.Born.Equal(c.runner.Born), nil
		}
		core.Sleep(ctx, c.q.clock, checkPause)
	}
	return false, err
}

// tellEnd tells the counters of each request that a runner has ended under it.
func (q *Quarantine) tellEnd(c *check, affected []affected) {
	self := q.net.Self().Name
	for _, one := range byCounter(affected, q.net.Alive()) {
		for part := range slices.Chunk(one.affected, tellMost) {
			a := runnerEnd{Runner: c.runner.ID, Life: c.life, Affected: part}
			if one.counter.Name == self {
				q.countEnd(a, self)
				continue
			}
			q.wg.Add(1)
			go q.runTellEnd(one.counter, a)
		}
	}
}

// share is the requests that fall to one counter.
type share struct {
	counter  peers.Peer
	affected []affected
}

// byCounter groups requests by the daemons that they fall to, of all that live.
func byCounter(affected []affected, all []peers.Peer) map[string]*share {
	out := map[string]*share{}
	seen := map[core.Digest]bool{}
	for _, s := range affected {
		if seen[s.Digest] && !s.Begun {
			continue
		}
		seen[s.Digest] = true
		for _, counter := range countersOf(s.Digest, all) {
			if out[counter.Name] == nil {
				out[counter.Name] = &share{counter: counter}
			}
			out[counter.Name].affected = append(out[counter.Name].affected, s)
		}
	}
	return out
}

// runTellEnd tells a counter until it has heard.
func (q *Quarantine) runTellEnd(to peers.Peer, a runnerEnd) {
	defer q.wg.Done()
	ctx, cancel := context.WithTimeout(q.ctx, tellLimit)
	defer cancel()
	var heard bool
	if err := q.net.Ask(ctx, to, kindEnd, a, &heard, tellResend); err != nil {
		q.log.Info(logs.CounterSilent, zap.String("counter", to.Name), zap.String("runner", a.Runner), zap.Int("requests", len(a.Affected)), logs.Err(err))
	}
}
