package availability

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
)

const (
	// brittleTTL is how long a runner counts as brittle without an answer or an update.
	brittleTTL = 10 * time.Second
	// brittleRebroadcast is the least time between two updates on a runner that stays brittle.
	brittleRebroadcast = time.Second
	// brittleEndTTL is how long late updates are ignored after an answer without the announcement.
	brittleEndTTL = time.Second
	// orderTTL is how long the order in which daemons get slots is kept.
	orderTTL = 100 * time.Millisecond
	// slowStart is the time in which the room of a brittle runner that has started again grows
	// from one request to all of its slots.
	slowStart = 2 * time.Second
)

// BrittleUpdate is a message between daemons: an instance of a runner has announced that it is
// brittle, or has sent an answer without that.
type BrittleUpdate struct {
	Runner  string    `json:"r"`
	Started time.Time `json:"s"`
	Brittle bool      `json:"b,omitempty"`
}

// brittle is a runner that fails if it has to reject too many requests. It gets no more requests
// than it has slots, as its queue may have become short. Each daemon may use a part of the
// slots: counts of the other daemons are too old to share them in another way.
type brittle struct {
	startedAt   time.Time // start of the runner's instance
	service     string
	ended       bool      // it has sent an answer without the announcement
	at          time.Time // of the last announcement, update or end
	broadcastAt time.Time
	slowFrom    time.Time // when its room began to grow; zero: all of it is used
	inUse       int       // requests of this daemon in progress
	order       []string  // daemons in the order in which they get slots, as of orderedAt
	orderedAt   time.Time
}

// WithBrittleBroadcast sets the function that broadcasts that a runner is brittle, or no longer.
func WithBrittleBroadcast(fn func(BrittleUpdate)) Option {
	return func(t *Table) { t.broadcastBrittle = fn }
}

// WithMembers sets this daemon's name and the function that returns the names of all daemons that
// send to the runners.
func WithMembers(self string, all func() []string) Option {
	return func(t *Table) { t.self, t.members = self, all }
}

// Room is how many requests of this daemon a brittle runner may have.
type Room struct {
	Total  int      // of this daemon
	InUse  int      // by this daemon
	Owners []string // daemons that have room there
}

// Left returns for how many more requests there is room.
func (r Room) Left() int { return r.Total - r.InUse }

// Brittle returns the room at a runner, false if it isn't brittle.
func (t *Table) Brittle(e *catalog.Entry) (Room, bool) {
	if t.brittleCount.Load() == 0 {
		return Room{}, false
	}
	t.brittleMu.Lock()
	defer t.brittleMu.Unlock()
	b := t.brittleOf(e)
	if b == nil {
		return Room{}, false
	}
	return t.room(e, b), true
}

// TakeRoom takes room for one request at a runner until release is called. It returns false if the
// runner is brittle and there is none.
func (t *Table) TakeRoom(r *core.Runner) (release func(), ok bool) {
	if t.brittleCount.Load() == 0 {
		return func() {}, true
	}
	e := t.catalog.Runner(r.ID)
	if e == nil {
		return func() {}, true
	}
	t.brittleMu.Lock()
	defer t.brittleMu.Unlock()
	b := t.brittleOf(e)
	if b == nil {
		return func() {}, true
	}
	if t.room(e, b).Left() <= 0 {
		return nil, false
	}
	b.inUse++
	return func() {
		t.brittleMu.Lock()
		defer t.brittleMu.Unlock()
		b.inUse--
	}, true
}

// brittleOf returns the record of a runner that counts as brittle now, or nil. An instance that has
// just started counts as brittle while others of its service are, until its first answer; the
// caller holds t.brittleMu.
func (t *Table) brittleOf(e *catalog.Entry) *brittle {
	now, b := t.clock.Now(), t.brittle[e.ID]
	if b != nil && b.startedAt.Equal(e.StartedAt) {
		if b.ended || now.Sub(b.at) >= brittleTTL {
			return nil
		}
		return b
	}
	if !t.loads.LastActivity(e.ID).IsZero() && b == nil || !t.anyBrittle(e.Service, now) {
		return nil
	}
	b = &brittle{startedAt: e.StartedAt, service: e.Service, at: now, slowFrom: now}
	t.brittle[e.ID] = b
	t.sweepBrittle(now)
	t.log.Info(logs.RunnerBrittle, zap.String("runner", e.ID), zap.Bool("brittle", true), zap.Bool("presumed", true))
	return b
}

// anyBrittle reports whether a runner of a service is brittle; the caller holds t.brittleMu.
func (t *Table) anyBrittle(service string, now time.Time) bool {
	for _, b := range t.brittle {
		if b.service == service && !b.ended && now.Sub(b.at) < brittleTTL {
			return true
		}
	}
	return false
}

// room returns this daemon's room at a brittle runner; the caller holds t.brittleMu.
func (t *Table) room(e *catalog.Entry, b *brittle) Room {
	total := max(1, e.Slots)
	if age := t.clock.Since(b.slowFrom); !b.slowFrom.IsZero() && age < slowStart {
		total = max(1, int(float64(total)*float64(age)/float64(slowStart)))
	}
	order := t.order(e.ID, b)
	if len(order) == 0 {
		return Room{Total: total, InUse: b.inUse}
	}
	out := Room{InUse: b.inUse, Owners: order[:min(total, len(order))]}
	if rank := slices.Index(order, t.self); rank >= 0 {
		out.Total = total / len(order)
		if rank < total%len(order) {
			out.Total++
		}
	}
	return out
}

// order returns the daemons that send to runners in the order in which they get slots of one, which
// is another one for each runner; the caller holds t.brittleMu.
func (t *Table) order(runner string, b *brittle) []string {
	if now := t.clock.Now(); b.order == nil || now.Sub(b.orderedAt) >= orderTTL {
		all := t.members()
		slices.SortFunc(all, func(x, y string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(runner+" "+x), xxhash.Sum64String(runner+" "+y)), cmp.Compare(x, y))
		})
		b.order, b.orderedAt = all, now
	}
	return b.order
}

// observeBrittle records whether an answer of a runner announces that it is brittle.
func (t *Table) observeBrittle(r *core.Runner, info core.ReplyInfo) {
	if !info.Brittle.Announced && (t.brittleCount.Load() == 0 || !info.Stamped) {
		return
	}
	u := BrittleUpdate{Runner: r.ID, Started: r.StartedAt, Brittle: info.Brittle.Announced}
	if t.recordBrittle(u, "") {
		t.broadcastBrittle(u)
	}
}

// ApplyBrittle applies an update that a peer has broadcast.
func (t *Table) ApplyBrittle(from string, u BrittleUpdate) { t.recordBrittle(u, from) }

// recordBrittle records an announcement or its end, and reports whether to broadcast it.
func (t *Table) recordBrittle(u BrittleUpdate, source string) bool {
	t.brittleMu.Lock()
	defer t.brittleMu.Unlock()
	now, b := t.clock.Now(), t.brittle[u.Runner]
	if b != nil && b.startedAt.After(u.Started) || b == nil && !u.Brittle {
		return false // from a former instance, or nothing new
	}
	if source != "" && b != nil && b.ended && now.Sub(b.at) < brittleEndTTL {
		return false // on its way when the answer without it arrived
	}
	changed := b == nil || !b.startedAt.Equal(u.Started) || b.ended == u.Brittle
	if b == nil || !b.startedAt.Equal(u.Started) {
		service := ""
		if e := t.catalog.Runner(u.Runner); e != nil {
			service = e.Service
		}
		b = &brittle{startedAt: u.Started, service: service}
		t.brittle[u.Runner] = b
	}
	if !b.ended || u.Brittle {
		b.at = now
	}
	b.ended = !u.Brittle
	if changed {
		t.log.Info(logs.RunnerBrittle, zap.String("runner", u.Runner), zap.Bool("brittle", u.Brittle), zap.String("from", source))
	}
	t.sweepBrittle(now)
	if changed || now.Sub(b.broadcastAt) >= brittleRebroadcast && u.Brittle {
		b.broadcastAt = now
		return true
	}
	return false
}

// sweepBrittle drops expired records; the caller holds t.brittleMu.
func (t *Table) sweepBrittle(now time.Time) {
	maps.DeleteFunc(t.brittle, func(_ string, b *brittle) bool { return now.Sub(b.at) >= 2*brittleTTL && b.inUse == 0 })
	t.brittleCount.Store(int64(len(t.brittle)))
	t.scope.Gauge("runners_brittle").Update(float64(len(t.brittle)))
}
