package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWholePerExit is how many whole answers to requests with a prompt part, for each exit under one, show that the
	// part is not the cause. A part that crashes its runner more seldom than that is not held back.
	maxWholePerExit = 10
	// minChance bounds the probability of chance from below: a run lasts for some milliseconds at least, which the clocks of
	// several daemons do not tell apart.
	minChance = 1e-3
	// minOdds is how much likelier the exits must be if the part is their cause than by chance, over the time since the
	// first of them, and minLongOdds the same over SuspicionWindow. The second one is larger: the first exits of a wave
	// come at once, and any part that has just come into use was seldom there before.
	minOdds     = 100
	minLongOdds = 1e4
	// minFate and minLongFate are the same for what became of the runs with the part: hardly any ended otherwise than in
	// an exit. They suffice together with minFateOdds over SuspicionWindow: a part that crashes its runners late is at many
	// of them when the exits begin, and so at many exits by chance.
	minFate     = 1e3
	minLongFate = 1e4
	minFateOdds = 100
	// minFateRequests is how many different requests must have been there for that. Fewer may be streams that go on at one
	// runner after the other in a wave of exits.
	minFateRequests = 4
	// minFresh is how many runners must have exited just after the start of a request, in as many events, for a part to be
	// held that was never answered whole in SuspicionWindow. Then minLongOdds suffices.
	minFresh = 2
	// minRequestOdds is minOdds for a whole request that was not served, minStreamOdds that for one for a model: while few
	// runners are up, streams go on at the same ones as the requests that crash these.
	minRequestOdds = 30
	minStreamOdds  = 1000
	// clearOdds is from which odds on no other explanation needs to be waited for.
	clearOdds = 1e6
	// minEarly bounds from below how long after the start of a request a runner is taken to have exited: daemons find out
	// about an exit some milliseconds later.
	minEarly = 20 * time.Millisecond
	// wholeWeight is the least that a whole answer counts as time at a runner.
	wholeWeight = 10 * time.Millisecond
	// maxElsewhere is how likely it may be by chance that a part has crashed no runner under requests for other models, for
	// it to be held at the models at which it has.
	maxElsewhere = 0.05
)

// simultaneous is the time within which exits count as one event: runners that exit together do so for a common reason,
// and where some part was by chance it may have been at all of them.
const simultaneous = 100 * time.Millisecond

// SuspicionWindow is over which time the use of a prompt part and exits of runners are compared.
const SuspicionWindow = time.Minute

// Use is how much requests with a prompt part were in use over a time, at all daemons.
type Use struct {
	Busy  time.Duration // time at runners, of all requests together
	Runs  int           // of requests at runners, also those in progress
	Whole int           // answers that were received whole
}

// Add adds the use of others.
func (u *Use) Add(o Use) { u.Busy, u.Runs, u.Whole = u.Busy+o.Busy, u.Runs+o.Runs, u.Whole+o.Whole }

// amount is a measure of use for comparisons.
func (u Use) amount() time.Duration { return max(u.Busy, time.Duration(u.Whole)*wholeWeight) }

// Exposure is what happened over a time: how much requests with a part were at runners, and which of the service's runners
// exited.
type Exposure struct {
	Use
	Events    int // with an exit under a request with the part
	Early     int // of these, with an exit of a runner that had just started the request
	AllEvents int // of one or more exits at a time, with a cause that is not known yet
	AllExits  int
	Window    time.Duration
	Up        time.Duration // for which instances of the service's runners have been running, together
}

// KnownInstance is an instance of a runner of the service. It is running, or its exit was found some time ago.
type KnownInstance struct {
	Exited bool
	Age    time.Duration // since its exit was found
	Life   time.Duration // since its start, until its exit or now; 0: not known
	Part   bool          // it exited under a request with the part
	Early  bool          // it had just started that request
}

// MayBeWhole returns how many runs with the part were answered whole, or still may be: a run that crashes its runner often ends
// before others that began with it.
func (x *Exposure) MayBeWhole(exits int) int { return max(x.Whole, x.Runs-exits) }

// AddInstances counts what the instances did within the exposure's window.
func (x *Exposure) AddInstances(list []KnownInstance) {
	list = slices.SortedFunc(slices.Values(list), func(a, b KnownInstance) int { return cmp.Compare(b.Age, a.Age) })
	began, counted, early := time.Duration(-1), false, false
	var exited, running time.Duration // of instances whose start is not known
	for _, i := range list {
		if i.Age > x.Window && !i.Part {
			continue
		}
		up := max(0, x.Window-i.Age)
		switch {
		case i.Life > 0:
			x.Up += min(up, i.Life)
		case i.Exited:
			exited += up
		default:
			running += up
		}
		if !i.Exited {
			continue
		}
		x.AllExits++
		if began < 0 || began-i.Age > simultaneous {
			began, counted, early = i.Age, false, false
			x.AllEvents++
		}
		if i.Part && !counted {
			counted = true
			x.Events++
		}
		if i.Early && !early {
			early = true
			x.Early++
		}
	}
	// Some of those that are running have taken the place of others in the window.
	x.Up += running + min(exited, running)
}

// odds returns how much likelier the exits are if the part is the cause of those under it than by chance. By chance, it is
// present at as many exits as it is at runners. The result is 1 if it was present at no more.
func (x *Exposure) odds() float64 { return x.presence(x.Events, x.Busy) }

// earlyOdds is odds for exits just after the start of a request, within a time. A part that crashes runners so is at many of them
// before its runs have ended, where some of these are answered whole; by chance, exits come at any time of a run.
func (x *Exposure) earlyOdds(within time.Duration) float64 {
	return x.presence(x.Early, min(x.Busy, time.Duration(x.Runs)*within))
}

// presence returns how much likelier it is that the part was present at a number of events if it is their cause than by chance,
// for a time in which it was at runners.
func (x *Exposure) presence(events int, busy time.Duration) float64 {
	exitsPerEvent := float64(x.AllExits) / float64(max(1, x.AllEvents))
	return likelihoodRatio(float64(events), float64(x.AllEvents), exitsPerEvent*float64(busy)/float64(max(1, x.Up)))
}

// fate returns how much likelier it is that so many runs with the part ended in an exit, and so few in a whole answer, if the
// part is the cause than by chance. By chance, a runner exits during a run with the rate at which the service's runners do.
func (x *Exposure) fate(age time.Duration) float64 {
	if x.Runs > 0 {
		age = max(age, x.Busy/time.Duration(x.Runs))
	}
	rate := float64(x.AllExits) / float64(max(1, x.Up))
	return likelihoodRatio(float64(x.Events), float64(x.Events+x.Whole), 1-math.Exp(-rate*float64(age)))
}

// likelihoodRatio returns how much likelier k of n events are with the probability k/n than with the one that chance gives
// them; 1 if that is larger.
func likelihoodRatio(k, n, chance float64) float64 {
	chance = min(1, max(minChance, chance))
	if n == 0 || k/n <= chance {
		return 1
	}
	ratio := k * math.Log(k/n/chance)
	if k < n {
		ratio += (n - k) * math.Log((1-k/n)/(1-chance))
	}
	return math.Exp(ratio)
}

// Suspicion is what is known for and against a prompt part that may crash runners. Recent is since the first exit under
// it, Long over SuspicionWindow, both at the models of the requests under which runners exited. Elsewhere is since the first
// exit, at other models.
type Suspicion struct {
	Known        bool          // what instances of the service's runners there are; else the exits alone count
	Requests     int           // different ones, at the exits
	Fresh        int           // exits of runners that had just started a request with the part
	Age          time.Duration // of the requests at the exits, on average
	Early        time.Duration // within which time of the start of a request such runners exited
	Recent, Long Exposure
	Elsewhere    Use
}

// Harmless reports whether the part is not the cause of the exits. As long as the runners are not known, a single whole
// answer counts.
func (s *Suspicion) Harmless() bool {
	if !s.Known {
		return s.Recent.Whole > 0
	}
	return s.Recent.Whole >= maxWholePerExit*s.Recent.Events
}

// Odds are how much likelier exits are if a part is their cause than by chance.
type Odds struct {
	Recent, Long         float64 // by where the part was present
	RecentFate, LongFate float64 // by what became of the runs with it

	RecentEarly, LongEarly float64 // by where it was present just after the start of a request
}

// Odds returns the odds over the time since the first exit, and over SuspicionWindow.
func (s *Suspicion) Odds() Odds {
	return Odds{s.Recent.odds(), s.Long.odds(), s.Recent.fate(s.Age), s.Long.fate(s.Age), s.Recent.earlyOdds(s.Early), s.Long.earlyOdds(s.Early)}
}

// Suffices reports whether the part is so much likelier the cause than chance that it is to be held. As long as the runners
// are not known, the exits alone count.
func (s *Suspicion) Suffices() bool {
	o := s.Odds()
	byPresence := o.Recent >= minOdds && o.Long >= minLongOdds
	byFate := o.RecentFate >= minFate && o.LongFate >= minLongFate && o.Long >= minFateOdds
	byStart := o.RecentEarly >= minOdds && o.LongEarly >= minLongOdds
	isNew := s.Fresh >= minFresh && s.Recent.Events >= minFresh && s.Long.Whole == 0 && o.Long >= minLongOdds
	return !s.Known || byPresence || isNew || (byFate || byStart) && s.Requests >= minFateRequests
}

// RequestSuffices is Suffices for a whole request, of which no more is known than the runs that ended in an exit: it was not
// served.
func (s *Suspicion) RequestSuffices(forModel bool) bool {
	least := float64(minRequestOdds)
	if forModel {
		least = minStreamOdds
	}
	return !s.Known || s.Recent.odds() >= least
}

// Clear reports whether no other explanation needs to be waited for.
func (s *Suspicion) Clear() bool {
	o := s.Odds()
	return s.Known && min(o.Recent, o.Long) >= clearOdds
}

// Likelier reports whether another part, which was there at each of the exits as well, is the likelier cause: it was in
// use less, or no more and follows in the prompt. Prompts share their first parts most.
func (s *Suspicion) Likelier(other Use, follows bool) bool {
	mine, theirs := s.Long.amount(), other.amount()
	return theirs < mine || theirs == mine && follows
}

// AtModels reports whether the part crashes runners at the models of the requests under which they exited only: there are so
// many runs at others that it is unlikely that none of them did.
func (s *Suspicion) AtModels() bool {
	events := float64(s.Recent.Events)
	share := events / (events + max(float64(s.Recent.Whole), 0.5))
	byRuns := math.Pow(1-share, float64(s.Elsewhere.Whole))
	byTime := 1.0
	if s.Recent.Busy > 0 {
		byTime = math.Exp(-events * float64(s.Elsewhere.Busy) / float64(s.Recent.Busy))
	}
	return min(byRuns, byTime) < maxElsewhere
}
