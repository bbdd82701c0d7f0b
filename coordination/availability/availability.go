// Package availability decides whether this daemon may send to a runner: from the runner's entry,
// from what its answers announce to this daemon and to others, and from refused connections.
package availability

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
)

// rebroadcasts are the times after which an announcement that a runner is leaving is broadcast
// again, in case a datagram was lost.
var rebroadcasts = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond}

// Update is a message between daemons: an instance of a runner has announced that it is
// leaving.
type Update struct {
	Runner  string    `json:"r"`
	Started time.Time `json:"s"` // start of the instance; zero if the platform does not state it
}

// Table holds the announcements of all runners. It stores nothing for runners that announce
// nothing.
type Table struct {
	clock      core.Clock
	catalog    *catalog.Catalog
	loads      *load.Table
	limits     *allowance.Limits
	log        *zap.Logger
	scope      tally.Scope
	maxBackoff time.Duration
	broadcast  func(Update)

	backoffs atomic.Pointer[map[string]*backoff]

	self             string
	members          func() []string // names of the daemons that send to the runners
	broadcastBrittle func(BrittleUpdate)
	brittleCount     atomic.Int64 // records of brittle runners, also ended ones
	brittleMu        sync.Mutex   // guards brittle
	brittle          map[string]*brittle

	mu         sync.Mutex    // guards changes
	problemLog logs.Throttle // of unreadable announcements
}

// Option configures a Table.
type Option func(*Table)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(t *Table) { t.scope = s } }

// WithMaxBackoff sets the longest backoff that is granted to a runner.
func WithMaxBackoff(d time.Duration) Option { return func(t *Table) { t.maxBackoff = d } }

// WithBroadcast sets the function that broadcasts to the other daemons that a runner is leaving.
func WithBroadcast(fn func(Update)) Option { return func(t *Table) { t.broadcast = fn } }

// New returns a Table without announcements. It records in the catalog which runners are
// leaving.
func New(clock core.Clock, c *catalog.Catalog, loads *load.Table, limits *allowance.Limits, log *zap.Logger, opts ...Option) *Table {
	t := &Table{
		clock: clock, catalog: c, loads: loads, limits: limits, log: log, scope: tally.NoopScope,
		maxBackoff: core.DefaultMaxBackoff, broadcast: func(Update) {}, broadcastBrittle: func(BrittleUpdate) {},
		members: func() []string { return nil }, brittle: map[string]*brittle{},
	}
	for _, o := range opts {
		o(t)
	}
	t.backoffs.Store(&map[string]*backoff{})
	return t
}

// State is whether this daemon may send requests to a runner now, and why not.
type State struct {
	Load     load.View
	Evidence load.Evidence // why it is down, if it is
	Leaving  bool          // by its entry or by an announcement
	// Departure is the announcement that it is leaving; nil if there is none.
	Departure *catalog.Departure
	Backoff   Backoff
	BackedOff bool // it has asked for a backoff, or a request finds out whether the backoff is over
	Limit     allowance.Limit
	Limited   bool
	Brittle   bool // it fails if it rejects too many requests
	Room      Room // if it is brittle
}

// State returns the state of a runner.
func (t *Table) State(e *catalog.Entry) State {
	s := State{Load: t.loads.View(e.ID), Leaving: !e.Usable(), Departure: e.Departure}
	s.Backoff, s.BackedOff = t.Backoff(e.ID)
	s.Limit, s.Limited = t.limits.Limit(e.ID)
	s.Room, s.Brittle = t.Brittle(e)
	if s.Load.Down {
		s.Evidence = t.loads.Evidence(e.ID)
	}
	return s
}

// Leaving reports whether an instance of a runner has announced that it is leaving.
func (t *Table) Leaving(r *core.Runner) bool { return t.catalog.DepartureOf(r) != nil }

// Accepts reports whether the runner accepts requests, up to its limit.
func (s State) Accepts() bool { return s.AcceptsIfUp() && !s.Load.Down }

// AcceptsIfUp is like Accepts but ignores whether the runner is down.
func (s State) AcceptsIfUp() bool { return !s.Leaving && !s.BackedOff }

// Describe returns why a runner gets no requests, who received the announcement and how old it
// is, or an empty text.
func (s State) Describe(now time.Time) string {
	switch {
	case s.Departure != nil:
		return fmt.Sprintf("leaving, heard by %s %s ago", cmp.Or(s.Departure.Source, "this daemon"), now.Sub(s.Departure.At).Round(time.Millisecond))
	case s.Leaving:
		return "leaving, by its entry"
	case s.BackedOff && s.Backoff.Probing:
		return "backed off, a request finds out whether it accepts requests"
	case s.BackedOff:
		return fmt.Sprintf("backed off, %s left, asked %s ago", s.Backoff.Until.Sub(now).Round(time.Millisecond), now.Sub(s.Backoff.AskedAt).Round(time.Millisecond))
	case s.Load.Down:
		return "down, " + s.Evidence.String()
	}
	return ""
}

// ObserveAnswer records what an answer of a runner's instance announces.
func (t *Table) ObserveAnswer(r *core.Runner, info core.ReplyInfo) {
	t.observeBrittle(r, info)
	if info.Leaving == (core.Leaving{}) && info.Brittle.Problem == "" && info.Backoff == (core.Backoff{}) {
		return
	}
	if info.Leaving.Announced {
		t.observeLeaving(r)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, problem := range []string{info.Leaving.Problem, info.Backoff.Problem, info.Brittle.Problem} {
		if problem != "" {
			t.reportUnreadable(r.ID, problem)
		}
	}
	if info.Backoff.Announced && info.Backoff.Duration > 0 {
		t.setBackoff(r, info.Backoff.Duration)
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

// Updates returns what this daemon knows of leaving runners, for a daemon that has just started.
func (t *Table) Updates() []Update {
	var out []Update
	for id, d := range t.catalog.Departures() {
		out = append(out, Update{Runner: id, Started: d.StartedAt})
	}
	slices.SortFunc(out, func(a, b Update) int { return strings.Compare(a.Runner, b.Runner) })
	return out
}

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

// reportUnreadable counts an announcement that cannot be parsed, and logs it from time to time;
// the caller holds t.mu.
func (t *Table) reportUnreadable(runner, problem string) {
	t.scope.Counter("runner_announcements_unreadable").Inc(1)
	if t.problemLog.Allow(t.clock.Now()) {
		t.log.Warn(logs.AnnouncementUnreadable, zap.String("runner", runner), zap.String("problem", problem))
	}
}
