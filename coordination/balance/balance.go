// Package balance decides which runner serves a request, and whether one begins it in time, from counts of
// the whole fleet that are some 100 ms old. It does no network I/O and has no clock of its own.
package balance

import (
	"math"
	"time"

	"primroseward/coordination/policy"
	"primroseward/core"
)

const (
	// unknownAge is the age of counts that state none: they come from this data centre's daemons, which report
	// every few hundred milliseconds.
	unknownAge = 400 * time.Millisecond
	// unknownPaceAge is the age of a pace that states none: half of the time for which one is used.
	unknownPaceAge = core.PaceTTL / 2
	// paceInterval is the time for which a runner's pace lasts: its effect fades over this time.
	paceInterval = 600 * time.Millisecond
	// maxRequests bounds the requests and slots that count as valid. More come from a fault, as no runner holds so many
	// connections.
	maxRequests = 1 << 20
	// unknownDuration is the mean duration of requests before one has ended.
	unknownDuration = 500 * time.Millisecond
	// burstFactor is how many requests are expected for each that ends within the age of the counts. Load jumps by 1.5
	// to 2.4 times, which the requests that end show late; a larger factor refuses requests while there is room.
	burstFactor = 1.5
	// crowdedShare is the part of the slots above which a runner counts as crowded. Of first events, one in 100
	// is late at up to 11 of 12 requests, and 10 in 100 above: from 0.8 of the slots, the noise of counts that
	// are 100 ms old reaches that.
	crowdedShare = 0.8
	// crowdedFactor is how much each further request counts there. A runner in another data centre, which costs
	// a quarter of the slots otherwise, is then only three quarters of a request of 12 slots behind.
	crowdedFactor = 4
	// levelSteps bounds the search for the level: bisection alone would then be exact to a millionth. levelTolerance is
	// the part of the expected arrivals by which the room below the level may differ from them.
	levelSteps     = 20
	levelTolerance = 0.001
	// fixedCandidates is up to how many candidates a choice allocates nothing.
	fixedCandidates = 64
)

// Outcome is what follows for a request.
type Outcome string

// Outcomes of a choice.
const (
	Serve Outcome = "serve" // send it to the chosen runner
	Late  Outcome = "late"  // it would be late at each runner, but its caller waits for longer
	Full  Outcome = "full"  // its caller would have given up by the time that a runner begins it
	None  Outcome = "none"  // no candidate is eligible
)

// Decision is the result of a choice.
type Decision struct {
	Outcome Outcome
	// Index is the chosen candidate, with Late and Full the one that could begin the request first; -1: none.
	Index int
	// Requests, Age and Pace are what was believed of it: the requests that its counts state, their age, and how
	// long work takes there.
	Requests int
	Age      time.Duration
	Pace     float64
	// Level is the load, as a multiple of the slots, up to which the expected arrivals fill the candidates.
	Level float64
	// Chance is the probability with which it was drawn.
	Chance float64
	// Expected is the time until it begins the request.
	Expected time.Duration
	// Room is when the candidates together have room again: their excess over their limits, at the rate at which
	// their requests end.
	Room time.Duration
	// Refused is the share of the requests expected for which there is no room below the limits.
	Refused float64
	// Malformed is how many figures were not used as they are impossible.
	Malformed int
}

// item is what a choice computes of one candidate.
type item struct {
	index     int
	left      float64 // of the requests counted, those still in progress
	pace      float64
	slots     float64
	load      float64 // effective requests: left times pace, and surcharges
	placeCost float64
	cost      float64 // of the next request, as a fraction of the slots
	room      float64 // requests up to the level
	limit     float64 // requests up to which one more begins in time
}

// roomBelow returns how many requests a candidate may get until it reaches a level, and how many more for each further
// level.
func (t *item) roomBelow(level float64) (room, slope float64) {
	if level <= t.cost {
		return 0, 0
	}
	load, slope := (level-t.placeCost)*t.slots, t.slots/t.pace
	if crowded := crowdedShare * t.slots; load > crowded {
		load, slope = crowded+(load-crowded)/crowdedFactor, slope/crowdedFactor
	}
	return max(0, load-t.load) / t.pace, slope
}

// crowd returns a load as a fraction of the slots, where what is above crowdedShare counts several times.
func crowd(load, slots float64) float64 {
	return (load + (crowdedFactor-1)*max(0, load-crowdedShare*slots)) / slots
}

// Choose draws the runner for a request. Each candidate's chance is in proportion to its room below a common
// level: the one up to which the requests that are expected within the age of the counts would fill the
// candidates. Daemons with equally old counts thus spread their requests as one that knows of all would (Dahlin,
// Interpreting Stale Load Information). Where the level is above the limits, only the part of the requests is
// served for which there is room below these. random returns numbers in [0, 1).
func Choose(candidates []policy.Candidate, w Work, random func() float64) Decision {
	d := Decision{Outcome: None, Index: -1, Malformed: w.sanitize()}
	items := make([]item, 0, fixedCandidates)
	filter := policy.NewFilter(candidates)
	arrivals, excess, rate, first := 0.0, 0.0, 0.0, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if !filter.Eligible(c) {
			continue
		}
		pace, ok := paceOf(c)
		if !ok {
			d.Malformed++
		}
		if c.Requests < 0 || c.Requests > maxRequests || c.Slots < 1 || c.Slots > maxRequests {
			d.Malformed++
		}
		requests, slots := requestsOf(c), slotsOf(c)
		seconds := w.Duration.Seconds() * pace
		left := requests * math.Exp(-ageOf(c).Seconds()/seconds)
		t := item{index: i, left: left, pace: pace, slots: slots, load: left*pace + c.Surcharge()*slots, placeCost: c.PlaceCost(), limit: w.limit(slots, pace)}
		t.cost = crowd(t.load, slots) + t.placeCost
		items = append(items, t)
		arrivals += requests - left
		excess += max(0, requests+1-t.limit)
		rate += min(max(1, requests), slots) / seconds
		if at := w.expected(requests, slots, pace, c.Wait); at < first {
			first, d.Index = at, i
		}
	}
	if len(items) == 0 {
		return d
	}
	d.Room = toDuration(excess / rate)
	chosen, admitted := draw(items, max(1, burstFactor*arrivals), random(), &d)
	switch {
	case admitted:
		d.Outcome, d.Index = Serve, chosen
	case first <= w.Left.Seconds():
		d.Outcome = Late
	default:
		d.Outcome = Full
	}
	c := &candidates[d.Index]
	d.Requests, d.Age = c.Requests, ageOf(c)
	d.Pace, _ = paceOf(c)
	d.Expected = toDuration(w.expected(requestsOf(c), slotsOf(c), d.Pace, c.Wait))
	return d
}

// findLevel returns the level up to which the expected arrivals fill the candidates. The room below a level is piecewise
// linear, so that steps along its slope mostly find it; a step that leaves the bounds is replaced by a bisection.
func findLevel(items []item, arrivals float64) float64 {
	low, high := math.Inf(1), math.Inf(1)
	for i := range items {
		t := &items[i]
		low = min(low, t.cost)
		high = min(high, t.cost+crowdedFactor*arrivals*t.pace/t.slots)
	}
	level := (low + high) / 2
	for range levelSteps {
		sum, slopes := 0.0, 0.0
		for i := range items {
			room, slope := items[i].roomBelow(level)
			sum, slopes = sum+room, slopes+slope
		}
		if math.Abs(sum-arrivals) <= levelTolerance*arrivals {
			return level
		}
		if sum < arrivals {
			low = level
		} else {
			high = level
		}
		if level += (arrivals - sum) / slopes; !(level > low && level < high) {
			level = (low + high) / 2
		}
	}
	return high
}

// draw finds the level and draws a candidate, with a number u in [0, 1). It reports whether there is room for the
// request below the limit of that candidate.
func draw(items []item, arrivals, u float64, d *Decision) (chosen int, admitted bool) {
	d.Level = findLevel(items, arrivals)
	total, beyond := 0.0, 0.0
	for i := range items {
		t := &items[i]
		t.room, _ = t.roomBelow(d.Level)
		total += t.room
		beyond += t.room - t.admissible()
	}
	d.Refused = beyond / total
	at, last := u*total, &items[0]
	for i := range items {
		t := &items[i]
		if t.room <= 0 {
			continue
		}
		if last = t; at < t.room {
			break
		}
		at -= t.room
	}
	d.Chance = last.room / total
	return last.index, at < last.admissible()
}

// admissible returns the part of a candidate's room that lies below its limit.
func (t *item) admissible() float64 { return min(t.room, max(0, t.limit-t.left)) }

// requestsOf returns the requests that a candidate's counts state.
func requestsOf(c *policy.Candidate) float64 { return float64(min(max(0, c.Requests), maxRequests)) }

// slotsOf returns a candidate's slots.
func slotsOf(c *policy.Candidate) float64 { return float64(min(max(1, c.Slots), maxRequests)) }

// ageOf returns the age of a candidate's counts.
func ageOf(c *policy.Candidate) time.Duration {
	if c.Age <= 0 {
		return unknownAge
	}
	return c.Age
}

// paceOf returns how long work is likely to take at a candidate now. It returns false for an impossible pace.
func paceOf(c *policy.Candidate) (pace float64, ok bool) {
	if c.Pace == 0 {
		return 1, true
	}
	if !core.ValidPace(c.Pace) {
		return 1, false
	}
	age := c.PaceAge
	if age <= 0 {
		age = unknownPaceAge
	}
	return 1 + (c.Pace-1)*max(0, 1-age.Seconds()/paceInterval.Seconds()), true
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(max(0, seconds), maxSeconds) * float64(time.Second))
}

// maxSeconds bounds the times of a decision.
const maxSeconds = 3600
