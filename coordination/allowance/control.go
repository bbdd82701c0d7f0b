package allowance

import (
	"math"
	"time"

	"primroseward/core"
)

const (
	// targetFill is the level at which a bucket settles under a high demand, as a part of
	// bucket.refillBase. It is a reserve for what is admitted before a further surge is known.
	targetFill = 0.4
	// steadyFill is added to it where the demand equals the rate, as a surge may still follow from
	// there. It falls to 0 at fullRefillDemand and at highDemand.
	steadyFill = 0.4
	// highDemand is a ratio of the demand to the rate.
	highDemand = 2
	// reserveFill is the part of bucket.refillBase by which the capacity is lower than the bucket's, a
	// reserve for surges that follow each other within seconds.
	reserveFill = 0.2
	// refillBaseTime times the rate, or the depth if that is smaller, is what the two refer to.
	refillBaseTime = time.Second
	// fullFill is the part of the capacity from which all requests are admitted.
	fullFill = 0.9
	// correctionTime is the time in which a deviation from the target level is corrected. It is
	// about the age of what is known of the peers.
	correctionTime = 700 * time.Millisecond
	// usageAge is the time until a change of what peers admit is contained in their reports: their
	// age, 300 to 500 ms, and the averaging time.
	usageAge = 700 * time.Millisecond
	// availableAge is the age of the peers' estimates of the units left.
	availableAge = 400 * time.Millisecond
	// probabilitySpan is the averaging time of the probability of admission.
	probabilitySpan = 300 * time.Millisecond
	// classSpan is the averaging time of the demand of live and of deferred requests.
	classSpan = time.Second
)

// control sets the part of the demand that a bucket admits so that the bucket is used up while the
// demand is above the rate: the whole refill is admitted, and a deviation from the target level is
// corrected. What the fleet admits now is not known before usageAge. It is estimated by the
// demand and the probability of admission, and what exceeds the refill is deducted from the
// level in advance.
type control struct {
	probability float64 // mean probability of admission
	at          time.Time
	classes     [classes]Meter // demand of this daemon's callers
	sizes       [classes]meanSize
}

// Classes of requests. Those that may be refused at a lower loss are deferred: the callers of patient ones may return
// in time, and late ones are late in any case.
const (
	live = iota
	deferred
	classes
)

// classOf returns a request's class.
func classOf(r core.AllowanceRequest) int {
	if r.Patient || r.Late {
		return deferred
	}
	return live
}

// settlingShare is admittedShare for a balanced bucket. The caller holds b.mu.
func (b *bucket) settlingShare(now time.Time, demand float64, isNew bool) float64 {
	refill, refillPart := b.params.perSecond*b.share, 1.0
	if refill <= 0 {
		return b.left / (demand * b.timing.horizon.Seconds())
	}
	if isNew {
		demand, refillPart = max(demand, refill), newBucketRefill
	}
	if demand <= 0 {
		return 1 // only requests of no units
	}
	c := &b.control
	excess := 0.0
	if !c.at.IsZero() {
		excess = (demand*c.probability - refill) * usageAge.Seconds()
	}
	share := max(0, (refillPart*refill+(b.left-targetLevel(demand/refill)*b.refillBase()-excess)/correctionTime.Seconds())/demand)
	if b.left >= fullFill*b.capacity() {
		share = 1
	}
	c.observe(now, min(1, share))
	return share
}

// targetLevel returns the level at which a bucket settles, as a part of its refillBase, for a ratio of
// the demand to the rate.
func targetLevel(demand float64) float64 {
	return targetFill + steadyFill*max(0, min((demand-fullRefillDemand)/(1-fullRefillDemand), (highDemand-demand)/(highDemand-1)))
}

// refillBase returns the units that targetFill and reserveFill refer to. The caller holds b.mu.
func (b *bucket) refillBase() float64 {
	return b.share * min(b.params.depth, refillBaseTime.Seconds()*b.params.perSecond)
}

// capacity returns the most units that the bucket holds. The caller holds b.mu.
func (b *bucket) capacity() float64 {
	depth := b.params.depth * b.share
	if b.balanced {
		depth -= reserveFill * b.refillBase()
	}
	return depth
}

// observe records a probability of admission.
func (c *control) observe(now time.Time, probability float64) {
	if c.at.IsZero() {
		c.probability = 1
	}
	w := math.Exp(-max(0, now.Sub(c.at).Seconds()) / probabilitySpan.Seconds())
	c.probability += (probability - c.probability) * (1 - w)
	c.at = now
}

// classProbability returns the probability with which a request is admitted, given the part of the
// demand that can be: live requests use it first, deferred ones share what is left. The classes'
// parts are those of this daemon's own callers, so that each daemon admits the given part of its
// demand. The caller holds b.mu.
func (b *bucket) classProbability(now time.Time, share float64, r core.AllowanceRequest) float64 {
	c, class := &b.control, classOf(r)
	c.classes[class].Add(now, classSpan, r.Units)
	c.sizes[class].add(r.Units)
	if share >= 1 || share <= 0 {
		return share
	}
	first, rest := c.classes[live].Rate(now, classSpan), c.classes[deferred].Rate(now, classSpan)
	admitted := share * (first + rest)
	switch {
	case class == live && first > 0:
		share = admitted / first
	case class == deferred && rest > 0:
		share = max(0, admitted-first) / rest
	}
	return sizeProbability(share, r.Units, &c.sizes[class])
}

// lagged follows a value with the delay of the peers' reports.
type lagged struct {
	value float64
	at    time.Time
}

// follow returns the delayed value after a step.
func (l *lagged) follow(now time.Time, value float64) float64 {
	if l.at.IsZero() {
		l.value = value
	}
	l.value += (value - l.value) * (1 - math.Exp(-max(0, now.Sub(l.at).Seconds())/availableAge.Seconds()))
	l.at = now
	return l.value
}

// followPeers corrects this daemon's estimate by the peers'. Theirs is as old as their reports, so it is compared with
// this daemon's own of that age: while the level falls, the newer one would be raised by each report. Estimates from
// before a change of the share refer to another part of the bucket and are not used. The caller holds b.mu.
func (b *bucket) followPeers(now time.Time, available float64) {
	if now.Sub(b.shareAt) < usageAge {
		b.delayed = lagged{}
		return
	}
	b.left += convergenceGain * (available - b.delayed.follow(now, b.left))
}

// joinReachable adds the debts of the daemons that are reachable again. The caller holds b.mu.
func (b *bucket) joinReachable(share float64) {
	if b.left < 0 {
		b.left *= share / b.share
	}
}
