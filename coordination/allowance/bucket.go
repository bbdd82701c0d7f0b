package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
)

// params are the parameters of a token bucket that all daemons share.
type params struct {
	name      string
	perSecond float64 // units per second
	depth     float64 // capacity in units
}

// workspaceParams returns the parameters of a workspace's allowance.
func workspaceParams(w *core.Workspace, window core.AllowanceWindow) params {
	return params{name: w.Name, perSecond: w.Rate, depth: w.Burst + slackShare*window.Slack}
}

// bucket is this daemon's estimate of a shared token bucket.
type bucket struct {
	timing    timing
	createdAt time.Time
	mu        sync.Mutex
	params    params
	left      float64 // units that can be admitted at once, negative after too much was admitted
	share     float64 // part of the whole bucket that left refers to
	updatedAt time.Time
	demand    Meter
	spent     Meter
	peers     core.Usage // reported by the peers
	peersAt   time.Time  // time of that report; zero: none yet
	sizes     meanSize   // size of the requests, admitted or not
	refused   int64
	counters  counters
	balanced  bool // the bucket is used up under any demand above the rate, see control; set at each request
	control   control
	delayed   lagged    // units left, as old as the peers' reports
	shareAt   time.Time // when the share last changed
}

// counters are a bucket's metrics; nil ones are skipped.
type counters struct{ spent, refused tally.Counter }

// hasLeft reports whether at least the given part of the bucket's capacity is left.
func (b *bucket) hasLeft(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return b.share > 0 && b.left >= share*b.params.depth*b.share
}

// forgiveDebt reduces what is owed to maxDebtTime of the refill, at least one request; the caller
// holds b.mu. Without a bound, a burst at a low rate would keep the bucket empty for so long that
// no answer shows whether the rate still applies.
func (b *bucket) forgiveDebt() {
	if b.timing.perRequest {
		b.left = max(b.left, -max(1, maxDebtTime.Seconds()*b.params.perSecond*b.share))
	}
}

// reconfigure applies a rate that may have changed.
func (b *bucket) reconfigure(now time.Time, r params) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	if b.left < 0 && b.params.perSecond > 0 && r.perSecond < b.params.perSecond && b.timing.perRequest {
		// Keep the debt equal in seconds of the rate. Unscaled, it would block requests for
		// long at the lower rate.
		b.left *= r.perSecond / b.params.perSecond
	}
	b.params = r
	b.left = min(b.left, b.capacity())
}

// update advances the estimate to now; the caller holds b.mu.
func (b *bucket) update(now time.Time) {
	if now.Sub(b.peersAt) > usageTTL {
		b.peers = core.Usage{}
	}
	if b.share == 0 {
		// updatedAt stays, so that the refill of this time is added once the size of the fleet
		// is known.
		return
	}
	seconds := max(0, now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	gain := b.params.perSecond * b.share
	if !b.timing.perRequest {
		gain -= b.peers.Admitted
	}
	b.left = min(b.capacity(), b.left+gain*seconds)
}

// removeUnreachable reduces the bucket to the smaller share of the daemons that are still
// reachable. Until the loss was detected, each of the others may have admitted as much as each
// of these, whatever its last report said. The caller holds b.mu.
func (b *bucket) removeUnreachable(now time.Time, u core.Usage, share float64) {
	lost := b.share - share
	perShare := (b.spent.Rate(now, b.timing.spentSpan) + u.Admitted) / share
	reported := max(0, b.peers.Admitted-u.Admitted)
	b.left -= max(0, perShare*lost-reported) * lossDetectionTime.Seconds()
	if b.timing.perRequest && b.left > 0 {
		// The daemons lost may have sent a request since their last message.
		b.left -= min(1, b.left)
	}
	b.left *= share / b.share
	b.forgiveDebt()
}

// admittedShare returns the part of the demand, in units per second over all reachable
// daemons, that can be admitted now. A demand of no more than the rate is admitted as long as
// any units are left. The caller holds b.mu.
func (b *bucket) admittedShare(demand float64, isNew bool) float64 {
	refill, refillPart, horizon := b.params.perSecond*b.share, 1.0, b.timing.horizon
	if refill <= 0 {
		return b.left / (demand * horizon.Seconds())
	}
	if isNew {
		demand, refillPart = max(demand, refill), newBucketRefill
	}
	refillPart *= min(1, max(0, (noRefillDemand-demand/refill)/(noRefillDemand-fullRefillDemand)))
	return (refillPart*refill + b.left/horizon.Seconds()) / demand
}

// admitProbability returns the probability with which a request is admitted, given the part of
// the demand that can be; the caller holds b.mu.
func (b *bucket) admitProbability(share, size float64) float64 {
	b.sizes.add(size)
	return sizeProbability(share, size, &b.sizes)
}

// sizeProbability returns the probability with which a request of a size is admitted, given the
// part of the demand that can be.
func sizeProbability(share, size float64, sizes *meanSize) float64 {
	if share >= 1 || share <= 0 {
		return share
	}
	return math.Pow(share, math.Sqrt(size/sizes.mean()))
}

// spend counts units as admitted, or as returned if negative; the caller holds b.mu.
func (b *bucket) spend(now time.Time, units float64) {
	b.left -= units
	b.forgiveDebt()
	b.spent.Add(now, b.timing.spentSpan, units)
	if units > 0 && b.counters.spent != nil {
		b.counters.spent.Inc(int64(units))
	}
}

// spendByPeer counts units that a peer has admitted.
func (b *bucket) spendByPeer(now time.Time, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.left -= units
	b.forgiveDebt()
}

// refuse counts units as refused; the caller holds b.mu.
func (b *bucket) refuse(units float64) {
	b.refused++
	if b.counters.refused != nil {
		b.counters.refused.Inc(int64(units))
	}
}

// mergePeers applies the usage that reachable peers report, and the share of the bucket that
// belongs to all reachable daemons. A new bucket adopts the peers' estimate of the units left.
func (b *bucket) mergePeers(now time.Time, u core.Usage, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	if share > 0 && share < b.share {
		b.removeUnreachable(now, u, share)
	}
	if b.balanced && b.share > 0 && share > b.share {
		b.joinReachable(share)
	}
	if share != b.share {
		b.shareAt = now
	}
	first := b.peersAt.IsZero()
	b.share, b.peers, b.peersAt = share, u, now
	switch {
	case math.IsNaN(u.Available):
	case first && now.Sub(b.createdAt) < newBucketAge:
		b.left = u.Available
	case b.balanced:
		b.followPeers(now, u.Available)
	default:
		b.left += convergenceGain * (u.Available - b.left)
	}
}

// usage returns the report for the peers, false if there is nothing to report.
func (b *bucket) usage(now time.Time) (core.Usage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	u := core.Usage{Demand: b.demand.Rate(now, b.timing.demandSpan), Admitted: b.spent.Rate(now, b.timing.spentSpan), Available: b.left}
	return u, u.Demand >= minReportedRate || u.Admitted >= minReportedRate || b.peers.Demand >= minReportedRate || b.left < b.capacity()
}

// state returns the bucket's state for operators.
func (b *bucket) state(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return State{
		Name: b.params.name, Rate: b.params.perSecond, Demand: b.demand.Rate(now, b.timing.demandSpan) + b.peers.Demand, Spent: b.spent.Rate(now, b.timing.spentSpan) + b.peers.Admitted,
		Left: b.left, Share: b.share, Refused: b.refused, Age: b.age(now),
	}
}

// age returns the time since the last report of peers, 0 if there was none.
func (b *bucket) age(now time.Time) time.Duration {
	if b.peersAt.IsZero() {
		return 0
	}
	return now.Sub(b.peersAt)
}

// meanSizeWindow is the number of requests that the mean size covers.
const meanSizeWindow = 32

// meanSize is the mean size of requests, weighted by their size.
type meanSize struct{ sum, squares float64 }

func (s *meanSize) add(units float64) {
	s.sum += (units - s.sum) / meanSizeWindow
	s.squares += (units*units - s.squares) / meanSizeWindow
}

// mean is positive once a request of any size has been added.
func (s *meanSize) mean() float64 {
	if s.sum <= 0 {
		return 1
	}
	return s.squares / s.sum
}

// Meter measures a rate with exponential decay over a time span.
type Meter struct {
	value float64 // units per second at that time
	at    time.Time
}

// Rate returns the rate in units per second.
func (m *Meter) Rate(now time.Time, span time.Duration) float64 {
	return m.value * math.Exp(-max(0, now.Sub(m.at).Seconds())/span.Seconds())
}

// Add adds units at a time.
func (m *Meter) Add(now time.Time, span time.Duration, units float64) {
	m.value = max(0, m.Rate(now, span)+units/span.Seconds())
	m.at = now
}
