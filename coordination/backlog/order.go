// Package backlog holds requests in the daemon until a runner has room for them, instead of lengthening a
// runner's queue or refusing them. It decides which requests wait, for how long and in which order. It has no
// network access, and takes the time from a clock.
package backlog

import (
	"cmp"
	"time"

	"primroseward/core"
)

const (
	// patientWaitShare is the part of its target that a patient request may spend here. The rest is left for a
	// runner's queue and the prompt, which take half a second.
	patientWaitShare = 0.7
	// queueShare is the part of its target for which a patient request accepts a runner's queue: the last part of
	// its wait.
	queueShare = 0.4
	// startShare is the part of its target after which a request counts as late: reading the prompt takes the
	// rest. Until then one that waits for a free slot may still meet its target, where it would not in the queue of a
	// runner.
	startShare = 0.75
	// lateTargets is for how many targets a late request waits. A longer wait would only delay the return of those
	// that find no room.
	lateTargets = 2
	// maxFirstEvent is how long a late request needs for its first event once there is room, unless its target
	// is shorter.
	maxFirstEvent = 500 * time.Millisecond
	// reservedShare is the part of a runner's slots, at least one, that patient requests leave to more urgent
	// ones, which come at any moment.
	reservedShare = 0.1
)

// Kind is why a request waits.
type Kind int

// Kinds of waiting requests.
const (
	Live    Kind = iota // it may still meet its target, which is near
	Patient             // its target is seconds away
	Late                // it is not expected to meet its target any more, but its caller still waits
)

// String returns the kind's name in logs.
func (k Kind) String() string { return [...]string{"live", "patient", "late"}[k] }

// Request is what is known of a request that may wait.
type Request struct {
	// Key stands for the runners that may serve the request. Requests of one key compete for the same room.
	Key  string
	Rank int // 0 is the most urgent
	// Yields is set if the request's workspace uses more than its share of the room.
	Yields  bool
	Arrived time.Time
	Target  time.Duration // to the first event
	GiveUp  time.Duration // time after the arrival at which the caller gives up
	Bytes   int           // of the body that is held
	// AwaitsLoad is set if no runner has the request's model, and it waits until one has loaded it.
	AwaitsLoad bool
}

// LatestStart returns the time until which a request has to find room so that its first event reaches its caller.
func (r *Request) LatestStart() time.Time {
	first := maxFirstEvent
	if r.Target > 0 {
		first = min(first, r.Target)
	}
	return r.Arrived.Add(r.GiveUp - first)
}

// MayAwait reports whether a request may wait for a replica that is expected at a time.
func (r *Request) MayAwait(now, expected time.Time) bool {
	latest := r.LatestStart()
	return latest.After(now) && !expected.After(latest)
}

// IsLate reports whether a request can't meet its target any more, as reading its prompt takes the rest.
func (r *Request) IsLate(now time.Time) bool { return r.Target > 0 && !now.Before(r.at(startShare)) }

// Plan returns as what a request waits from now on, and until when. ok is false if it has no time to wait.
func (r *Request) Plan(now time.Time) (k Kind, until time.Time, ok bool) {
	switch {
	case r.AwaitsLoad: // unlike room, a replica is known to come, and is worth the whole wait
		k, until = Late, r.LatestStart()
	case r.IsLate(now):
		k, until = Late, r.LatestStart()
		if last := r.at(startShare + lateTargets); last.Before(until) {
			until = last
		}
	case r.Target >= core.PatientTarget && now.Before(r.at(patientWaitShare)):
		k, until = Patient, r.at(patientWaitShare)
	default:
		k, until = Live, r.at(startShare)
	}
	return k, until, until.After(now)
}

// NeedsFreeSlot reports whether a request may only go to a runner with a free slot now, as it has the time to
// wait for one.
func (r *Request) NeedsFreeSlot(now time.Time) bool {
	return r.Target >= core.PatientTarget && now.Before(r.at(patientWaitShare-queueShare))
}

// blocks reports whether another request that r goes before may not go to a runner while r waits. r does not
// block one that may take room that r may not take.
func (r *Request) blocks(o *Request, now time.Time) bool {
	return r.Key == o.Key && (!r.Yields || o.Yields) && (!r.NeedsFreeSlot(now) || o.NeedsFreeSlot(now))
}

// Reserved returns the part of a runner's slots that requests which need a free slot leave to more urgent ones.
// moreUrgent is set if there are any.
func Reserved(slots int, moreUrgent bool) float64 {
	if !moreUrgent || slots <= 1 {
		return 0
	}
	return max(reservedShare, 1/float64(slots))
}

// at returns the time at which a part of the request's target has passed.
func (r *Request) at(part float64) time.Time { return r.Arrived.Add(share(r.Target, part)) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// place is a request's place in the order.
type place struct {
	rank   int
	yields bool
	late   bool
	due    time.Time
}

// compare orders requests by what is lost if they wait longer: the more urgent rank first, and of one rank the
// workspaces that keep to their share, then those that can still meet their target, then the nearest target.
func (p *place) compare(o *place) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), compareBool(p.yields, o.yields), compareBool(p.late, o.late), p.due.Compare(o.due))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// placeOf returns the place of a request that waits as a kind.
func placeOf(r *Request, k Kind) place {
	return place{rank: r.Rank, yields: r.Yields, late: k == Late, due: r.Arrived.Add(r.Target)}
}
