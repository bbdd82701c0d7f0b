package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
)

// bucket is one workspace's, as this daemon knows it.
type bucket struct {
	mu      sync.Mutex
	name    string
	rate    float64 // units a second, over all daemons
	depth   float64 // the most that all daemons' bucket holds
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

// counts are a workspace's counters.
type counts struct{ spent, refused tally.Counter }

// reconfigure takes in that the workspace's allowance may have changed.
func (b *bucket) reconfigure(now time.Time, w *core.Workspace, window core.Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.configure(w, window)
	b.left = min(b.left, b.depth*b.share)
}

// configure takes in the workspace's allowance; the caller holds the lock, or has just
// made the bucket.
func (b *bucket) configure(w *core.Workspace, window core.Window) {
	b.name, b.rate, b.depth = w.Name, w.Rate, w.Burst+slackShare*window.Slack
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
	b.left = min(b.depth*b.share, b.left+(b.rate*b.share-b.others.Spent)*seconds)
}

// miss takes in that daemons are out of touch: those in touch have a smaller share of the
// bucket. Until they were missed the others may have let in as much as these, whatever they
// told last. The caller holds the lock.
func (b *bucket) miss(now time.Time, u core.Usage, share float64) {
	gone := b.share - share
	each := (b.spent.rate(now) + u.Spent) / share
	told := max(0, b.others.Spent-u.Spent)
	b.left -= max(0, each*gone-told) * missTime.Seconds()
	b.left *= share / b.share
}

// allowed is the share of what is asked for, in units a second over all daemons in touch,
// that may be let in now; the caller holds the lock. A workspace that asks for no more than
// its rate is let in as long as anything is left.
func (b *bucket) allowed(asked float64, young bool) float64 {
	refill, flow := b.rate*b.share, 1.0
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
func (b *bucket) chance(share, units float64) float64 {
	b.size.add(units)
	if share >= 1 || share <= 0 {
		return share
	}
	return math.Pow(share, math.Sqrt(units/b.size.mean()))
}

// spend counts units as let in, or back; the caller holds the lock.
func (b *bucket) spend(now time.Time, units float64) {
	b.left -= units
	b.spent.add(now, units)
	if units > 0 {
		b.counts.spent.Inc(int64(units))
	}
}

// hear takes in what the others in touch tell of the workspace, and the share of the bucket
// that all in touch have. A daemon that has just started takes their word for what is left.
func (b *bucket) hear(now time.Time, u core.Usage, share float64, young bool) {
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
	case young && first:
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
	u := core.Usage{Asked: b.asked.rate(now), Spent: b.spent.rate(now), Left: b.left}
	return u, u.Asked >= leastTold || u.Spent >= leastTold || b.others.Asked >= leastTold || b.left < b.depth*b.share
}

// state tells operators of the bucket.
func (b *bucket) state(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return State{
		Name: b.name, Rate: b.rate, Asked: b.asked.rate(now) + b.others.Asked, Spent: b.spent.rate(now) + b.others.Spent,
		Left: b.left, Share: b.share, Refused: b.refused, Age: b.age(now),
	}
}

// age is how long ago the others told of the workspace, 0 if they never have.
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

// meterSpan is the time over which a rate is measured.
const meterSpan = 300 * time.Millisecond

// meter measures a rate.
type meter struct {
	value float64 // units a second as of at
	at    time.Time
}

func (m *meter) rate(now time.Time) float64 {
	return m.value * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterSpan.Seconds())
}

func (m *meter) add(now time.Time, units float64) {
	m.value = max(0, m.rate(now)+units/meterSpan.Seconds())
	m.at = now
}
