package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
)

// rate is what all daemons may let in together.
type rate struct {
	name      string
	perSecond float64 // units
	depth     float64 // the most that may be left at once, in units
}

// rateOf is the rate of a workspace's allowance.
func rateOf(w *core.Workspace, window core.Window) rate {
	return rate{name: w.Name, perSecond: w.Rate, depth: w.Burst + slackShare*window.Slack}
}

// bucket is one rate's, as this daemon knows it.
type bucket struct {
	timing  timing
	born    time.Time
	mu      sync.Mutex
	rate    rate
	left    float64 // units that may be let in at once, below 0 after too much was
	share   float64 // of the bucket that left is of
	at      time.Time
	asked   meter
	spent   meter
	others  core.Usage // of the other daemons
	heardAt time.Time  // when they told it; zero: never
	size    size       // of the requests that are asked for
	refused int64
	counts  counts
}

// counts are a bucket's counters; none is counted where they are nil.
type counts struct{ spent, refused tally.Counter }

// has says whether a share of what may be left at once is.
func (b *bucket) has(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return b.share > 0 && b.left >= share*b.rate.depth*b.share
}

// reconfigure takes in that the rate may have changed.
func (b *bucket) reconfigure(now time.Time, r rate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	if b.left < 0 && b.rate.perSecond > 0 && r.perSecond < b.rate.perSecond && b.timing.counted {
		b.left *= r.perSecond / b.rate.perSecond // as many seconds of the new rate, or nothing would be let in for long
	}
	b.rate = r
	b.left = min(b.left, r.depth*b.share)
}

// update brings the estimate up to now; the caller holds the lock.
func (b *bucket) update(now time.Time) {
	if now.Sub(b.heardAt) > wordLife {
		b.others = core.Usage{}
	}
	if b.share == 0 {
		return // what comes in until the fleet's size is known comes in then
	}
	seconds := max(0, now.Sub(b.at).Seconds())
	b.at = now
	gain := b.rate.perSecond * b.share
	if !b.timing.counted {
		gain -= b.others.Spent
	}
	b.left = min(b.rate.depth*b.share, b.left+gain*seconds)
}

// miss takes in that daemons are out of touch: those in touch have a smaller share of the
// bucket. Until they were missed the others may have let in as much as these, whatever they
// told last. The caller holds the lock.
func (b *bucket) miss(now time.Time, u core.Usage, share float64) {
	gone := b.share - share
	each := (b.spent.rate(now, b.timing.spent) + u.Spent) / share
	told := max(0, b.others.Spent-u.Spent)
	b.left -= max(0, each*gone-told) * missTime.Seconds()
	b.left *= share / b.share
}

// allowed is the share of what is asked for, in units a second over all daemons in touch,
// that may be let in now; the caller holds the lock. What asks for no more than the rate is
// let in as long as anything is left.
func (b *bucket) allowed(asked float64, young bool) float64 {
	refill, flow, horizon := b.rate.perSecond*b.share, 1.0, b.timing.horizon
	if refill <= 0 {
		return b.left / (asked * horizon.Seconds())
	}
	if young {
		asked, flow = max(asked, refill), youngFlow
	}
	flow *= min(1, max(0, (crowdShare-asked/refill)/(crowdShare-quietShare)))
	return (flow*refill + b.left/horizon.Seconds()) / asked
}

// chance is the probability with which a request is let in where a share of what is asked
// for can be; the caller holds the lock.
func (b *bucket) chance(share, size float64) float64 {
	b.size.add(size)
	if share >= 1 || share <= 0 {
		return share
	}
	return math.Pow(share, math.Sqrt(size/b.size.mean()))
}

// spend counts units as let in, or back; the caller holds the lock.
func (b *bucket) spend(now time.Time, units float64) {
	b.left -= units
	b.spent.add(now, b.timing.spent, units)
	if units > 0 && b.counts.spent != nil {
		b.counts.spent.Inc(int64(units))
	}
}

// spendElsewhere takes in what another daemon has let in.
func (b *bucket) spendElsewhere(now time.Time, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.left -= units
}

// refuse counts units as refused; the caller holds the lock.
func (b *bucket) refuse(units float64) {
	b.refused++
	if b.counts.refused != nil {
		b.counts.refused.Inc(int64(units))
	}
}

// hear takes in what the others in touch tell of the rate, and the share of the bucket that
// all in touch have. One that has just been made takes their word for what is left.
func (b *bucket) hear(now time.Time, u core.Usage, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	if share > 0 && share < b.share {
		b.miss(now, u, share)
	}
	first := b.heardAt.IsZero()
	b.share, b.others, b.heardAt = share, u, now
	switch {
	case math.IsNaN(u.Left):
	case first && now.Sub(b.born) < youngFor:
		b.left = u.Left
	default:
		b.left += follow * (u.Left - b.left)
	}
}

// usage is what the others are told, if there is anything to tell.
func (b *bucket) usage(now time.Time) (core.Usage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	u := core.Usage{Asked: b.asked.rate(now, b.timing.asked), Spent: b.spent.rate(now, b.timing.spent), Left: b.left}
	return u, u.Asked >= leastTold || u.Spent >= leastTold || b.others.Asked >= leastTold || b.left < b.rate.depth*b.share
}

// state tells operators of the rate.
func (b *bucket) state(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return State{
		Name: b.rate.name, Rate: b.rate.perSecond, Asked: b.asked.rate(now, b.timing.asked) + b.others.Asked, Spent: b.spent.rate(now, b.timing.spent) + b.others.Spent,
		Left: b.left, Share: b.share, Refused: b.refused, Age: b.age(now),
	}
}

// age is how long ago the others told of it, 0 if they never have.
func (b *bucket) age(now time.Time) time.Duration {
	if b.heardAt.IsZero() {
		return 0
	}
	return now.Sub(b.heardAt)
}

// sizeMemory is over how many requests their mean size is taken.
const sizeMemory = 32

// size is the mean size of requests, each weighed by its own size.
type size struct{ sum, squares float64 }

func (s *size) add(units float64) {
	s.sum += (units - s.sum) / sizeMemory
	s.squares += (units*units - s.squares) / sizeMemory
}

// mean is above 0 once a request of any size has been added.
func (s *size) mean() float64 {
	if s.sum <= 0 {
		return 1
	}
	return s.squares / s.sum
}

// meter measures a rate over a span.
type meter struct {
	value float64 // units a second as of at
	at    time.Time
}

func (m *meter) rate(now time.Time, span time.Duration) float64 {
	return m.value * math.Exp(-max(0, now.Sub(m.at).Seconds())/span.Seconds())
}

func (m *meter) add(now time.Time, span time.Duration, units float64) {
	m.value = max(0, m.rate(now, span)+units/span.Seconds())
	m.at = now
}
