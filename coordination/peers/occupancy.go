package peers

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/occupancy"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// kindOccupancy is the kind under which the datagrams of package occupancy are counted.
	kindOccupancy = "occupancy"
	// minOccupancyWait is the least pause between two rounds of datagrams, so that one that is due in the
	// past does not make the loop spin.
	minOccupancyWait = time.Millisecond
)

// Occupancy connects package occupancy to the rest of the daemon. All functions are required.
type Occupancy struct {
	Enabled  func() bool // whether the counts are used; asked at each interval
	Report   func() occupancy.Report
	OnTotals func(occupancy.Totals) // for each change; without daemons when the counts are no longer used
	// OnTick is called at each interval, and when the counts are no longer used: acting is set if this
	// daemon acts as a hub, and age is that of the totals, below 0 if there are none.
	OnTick func(acting bool, age time.Duration)
	OnDrop func(cause error) // for each datagram that is dropped
}

// WithOccupancy makes the daemons of a large fleet exchange their requests in progress by runner, so that
// each knows those of all data centres.
func WithOccupancy(o Occupancy) Option {
	return func(p *Peers) {
		p.counts = &occupancyCounts{Occupancy: o, tracker: occupancy.New(p.clock.Now(), core.CodeOf(p.self.Name), p.self.Boot)}
	}
}

// occupancyCounts has its own lock, so that counts do not wait for other messages.
type occupancyCounts struct {
	Occupancy
	mu       sync.Mutex
	tracker  *occupancy.Tracker
	measured time.Time // of the last totals that were passed on
	known    bool      // recent totals were there at the last interval
}

// usesOccupancy reports whether this daemon takes part in the exchange of counts.
func (p *Peers) usesOccupancy() bool { return p.counts != nil && p.Large() && p.counts.Enabled() }

// runOccupancy sends what the tracker has to send, when it asks for it.
func (p *Peers) runOccupancy(ctx context.Context) {
	defer p.wg.Done()
	used := false
	for ctx.Err() == nil {
		wait, before := occupancy.Interval, used
		used = p.usesOccupancy()
		if before && !used {
			p.endOccupancy()
		}
		if used {
			p.tickOccupancy(ctx)
			p.counts.mu.Lock()
			wait = max(minOccupancyWait, p.counts.tracker.Wait(p.clock.Now()))
			p.counts.mu.Unlock()
		}
		core.Sleep(ctx, p.clock, wait)
	}
}

func (p *Peers) tickOccupancy(ctx context.Context) {
	report := p.counts.Report()
	p.mu.Lock()
	topology := p.roster.Topology(p.clock.Now())
	p.mu.Unlock()
	p.counts.mu.Lock()
	now := p.clock.Now()
	messages := p.counts.tracker.Tick(now, topology, report)
	totals, known, changed := p.counts.latest(now)
	cameOrWent := known != p.counts.known
	p.counts.known = known
	acting := p.counts.tracker.Acting(now)
	p.counts.mu.Unlock()
	if changed {
		p.counts.OnTotals(totals)
	}
	age := time.Duration(-1)
	if known {
		age = now.Sub(totals.Measured)
	}
	p.counts.OnTick(acting, age)
	if cameOrWent {
		p.log.Info(logs.FleetCountsChanged, zap.Bool("known", known), zap.Int("daemons", totals.Daemons), zap.Bool("hub", acting))
	}
	p.sendOccupancy(ctx, messages)
}

// endOccupancy withdraws the totals and this daemon's part as a hub when the counts are no longer used.
func (p *Peers) endOccupancy() {
	p.counts.mu.Lock()
	known := p.counts.known
	p.counts.known, p.counts.measured = false, time.Time{}
	p.counts.mu.Unlock()
	p.counts.OnTotals(occupancy.Totals{})
	p.counts.OnTick(false, -1)
	if known {
		p.log.Info(logs.FleetCountsChanged, zap.Bool("known", false), zap.Int("daemons", 0), zap.Bool("hub", false))
	}
}

// latest returns the totals, whether they are recent, and whether they have not been returned before. The caller
// holds c.mu.
func (c *occupancyCounts) latest(now time.Time) (totals occupancy.Totals, known, changed bool) {
	totals, known = c.tracker.Totals(now)
	changed = known && !totals.Measured.Equal(c.measured)
	if changed {
		c.measured = totals.Measured
	}
	return totals, known, changed
}

// sendOccupancy sends messages in batches, for the reason that runSend states.
func (p *Peers) sendOccupancy(ctx context.Context, messages []occupancy.Message) {
	to := make([]Peer, len(messages))
	p.mu.Lock()
	for i, m := range messages {
		to[i] = p.recipient(m.To)
	}
	p.mu.Unlock()
	for i, m := range messages {
		if to[i].Peer.IsValid() {
			p.send(to[i], kindOccupancy, m.Data)
		}
		if i%batchSize == batchSize-1 {
			core.Sleep(ctx, p.clock, batchPause)
		}
	}
}

// receiveOccupancy handles a datagram of package occupancy.
func (p *Peers) receiveOccupancy(data []byte) {
	if !p.usesOccupancy() {
		return
	}
	p.counts.mu.Lock()
	now := p.clock.Now()
	changed, err := p.counts.tracker.Receive(now, data)
	var totals occupancy.Totals
	if changed {
		totals, _, changed = p.counts.latest(now)
	}
	p.counts.mu.Unlock()
	switch {
	case err != nil:
		p.counts.OnDrop(err)
	case changed:
		p.counts.OnTotals(totals)
	}
}
