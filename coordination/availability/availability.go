// Package availability records what runners announce in their answers about whether they
// accept requests.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
)

const (
	// problemLogInterval is the least time between two log entries about unreadable
	// announcements.
	problemLogInterval = time.Second
	// defaultMaxRest is the longest rest that is granted to a runner.
	defaultMaxRest = time.Minute
	// restRetention is how long a rest that is over is kept if no request follows it.
	restRetention = time.Minute
)

// rebroadcasts are the times after which an announcement that a runner is leaving is broadcast
// again, in case a datagram was lost.
var rebroadcasts = []time.Duration{200 * time.Millisecond, time.Second}

// Update is a message between daemons: an instance of a runner has announced that it is
// leaving.
type Update struct {
	Runner  string    `json:"r"`
	Started time.Time `json:"s"` // start of the instance; zero if the platform does not state it
}

// Table holds the announcements of all runners. It stores nothing for runners that announce
// nothing.
type Table struct {
	clock     core.Clock
	catalog   *catalog.Catalog
	log       *zap.Logger
	scope     tally.Scope
	maxRest   func() time.Duration
	broadcast func(Update)

	rests atomic.Pointer[map[string]*rest]

	mu              sync.Mutex // guards changes
	problemLoggedAt time.Time
}

// rest is a time during which a runner has asked this daemon to send nothing.
type rest struct {
	startedAt time.Time // start of the runner's instance
	since     time.Time
	until     time.Time
}

// Option configures a Table.
type Option func(*Table)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(t *Table) { t.scope = s } }

// WithMaxRest sets the function that returns the longest rest that is granted to a runner.
func WithMaxRest(fn func() time.Duration) Option { return func(t *Table) { t.maxRest = fn } }

// WithBroadcast sets the function that broadcasts to the other daemons that a runner is leaving.
func WithBroadcast(fn func(Update)) Option { return func(t *Table) { t.broadcast = fn } }

// New returns a Table without announcements. It records in the catalog which runners are
// leaving.
func New(clock core.Clock, c *catalog.Catalog, log *zap.Logger, opts ...Option) *Table {
	t := &Table{
		clock: clock, catalog: c, log: log, scope: tally.NoopScope, maxRest: func() time.Duration { return defaultMaxRest }, broadcast: func(Update) {},
	}
	for _, o := range opts {
		o(t)
	}
	t.rests.Store(&map[string]*rest{})
	return t
}

// ObserveAnswer records what an answer of a runner's instance announces.
func (t *Table) ObserveAnswer(r *core.Runner, _ int, info core.ReplyInfo) {
	if info.Leaving == (core.Leaving{}) && info.Rest == (core.Rest{}) {
		return
	}
	if info.Leaving.Announced {
		t.observeLeaving(r)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, problem := range []string{info.Leaving.Problem, info.Rest.Problem} {
		if problem != "" {
			t.reportUnreadable(r.ID, problem)
		}
	}
	if info.Rest.Announced && info.Rest.Duration > 0 {
		t.setRest(r, info.Rest.Duration)
	}
}

// observeLeaving records that a runner has announced to this daemon that it is leaving, and
// broadcasts it.
func (t *Table) observeLeaving(r *core.Runner) {
	u := Update{Runner: r.ID, Started: r.StartedAt}
	if !t.recordLeaving(u, "") {
		return
	}
	t.broadcast(u)
	for _, after := range rebroadcasts {
		t.clock.AfterFunc(after, func() { t.broadcast(u) })
	}
}

// ApplyUpdate applies an update that a peer has broadcast.
func (t *Table) ApplyUpdate(from string, u Update) { t.recordLeaving(u, from) }

// recordLeaving records that a runner is leaving, as the named daemon has learnt, and reports
// whether this was not known.
func (t *Table) recordLeaving(u Update, source string) bool {
	if !t.catalog.RecordLeaving(u.Runner, catalog.Departure{StartedAt: u.Started, At: t.clock.Now(), Source: source}) {
		return false
	}
	t.scope.Counter("runners_announced_leaving").Inc(1)
	t.log.Info(logs.RunnerLeaving, zap.String("runner", u.Runner), zap.String("from", source), zap.Time("started", u.Started))
	return true
}

// reportUnreadable counts an announcement that cannot be parsed, and logs it at most once per
// problemLogInterval; the caller holds t.mu.
func (t *Table) reportUnreadable(runner, problem string) {
	t.scope.Counter("runner_announcements_unreadable").Inc(1)
	if now := t.clock.Now(); now.Sub(t.problemLoggedAt) >= problemLogInterval {
		t.problemLoggedAt = now
		t.log.Warn(logs.AnnouncementUnreadable, zap.String("runner", runner), zap.String("problem", problem))
	}
}

// setRest stores a rest that ends at the latest time that the runner has asked for; the
// caller holds t.mu.
func (t *Table) setRest(r *core.Runner, asked time.Duration) {
	now := t.clock.Now()
	next := &rest{startedAt: r.StartedAt, since: now, until: now.Add(min(asked, t.maxRest()))}
	if old := (*t.rests.Load())[r.ID]; old != nil && old.startedAt.Equal(r.StartedAt) && now.Before(old.until) {
		next.since = old.since
		if old.until.After(next.until) {
			next.until = old.until
		}
	}
	t.log.Info(logs.RunnerRests, zap.String("runner", r.ID), zap.Duration("asked", asked), zap.Duration("left", next.until.Sub(now)), zap.Duration("since", now.Sub(next.since)))
	rests := maps.Clone(*t.rests.Load())
	rests[r.ID] = next
	maps.DeleteFunc(rests, func(_ string, old *rest) bool { return now.Sub(old.until) >= restRetention })
	t.rests.Store(&rests)
}
