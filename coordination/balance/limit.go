package balance

import (
	"math"
	"time"

	"primroseward/coordination/policy"
)

// maxQueue bounds the queue in which a runner still gets a request, as a fraction of its slots. Runners start a request
// at once where less urgent ones run, but reject it where their own queue is full.
const maxQueue = 1.0

// Parts of a request's target latency up to which its expected time may reach at a runner that still gets it. The wait for
// a slot varies like the time to a random event: with a mean of a quarter of the target, two in 100 are longer than the
// target. A request that waits in the daemon instead takes the first slot that any of the runners frees.
const (
	streamTargetShare = 0.25
	plainTargetShare  = 1.0
)

// Work is what a request needs, and what is known of the requests of its service.
type Work struct {
	Engine bool
	// AheadShare is the part of the requests in progress that are at least as urgent, 0 if that is not known. Only these
	// keep the request waiting at a runner, which puts less urgent ones back.
	AheadShare float64
	// Waits is set if the request waits in the daemon for a free slot rather than in the queue of a runner. Reserved is the
	// part of the slots that it leaves to more urgent requests.
	Waits    bool
	Reserved float64
	Target   time.Duration
	Left     time.Duration // how long its caller still waits
	// Duration is the mean duration of requests, Prefill the time for reading the request's prompt; 0: not known.
	Duration, Prefill time.Duration
	// Tokens is what the request needs of a runner's memory for requests, MeanTokens what one needs in the mean, and
	// CacheTokens that memory; 0: not known.
	Tokens, MeanTokens, CacheTokens int
}

// sanitize drops figures that are impossible, and returns how many.
func (w *Work) sanitize() int {
	dropped := 0
	for _, d := range []*time.Duration{&w.Target, &w.Left, &w.Duration, &w.Prefill} {
		if *d < 0 || *d > maxSeconds*time.Second {
			*d = 0
			dropped++
		}
	}
	if !(w.AheadShare >= 0 && w.AheadShare <= 1) {
		w.AheadShare = 0
		dropped++
	}
	for _, n := range []*int{&w.Tokens, &w.MeanTokens, &w.CacheTokens} {
		if *n < 0 || w.CacheTokens > 0 && *n > w.CacheTokens {
			*n = 0
			dropped++
		}
	}
	switch {
	case w.Duration == 0 && !w.Engine && w.Target > 0:
		w.Duration = w.Target / policy.MaxPlainLoad // so that the limit is that of package policy
	case w.Duration == 0:
		w.Duration = unknownDuration
	}
	return dropped
}

// usableSlots returns how many requests run at once beside the request, as far as their tokens fit.
func (w *Work) usableSlots(slots float64) float64 {
	if w.CacheTokens == 0 || w.MeanTokens == 0 {
		return slots
	}
	return min(slots, 1+float64(w.CacheTokens-w.Tokens)/float64(w.MeanTokens))
}

// expected returns the time in seconds until a runner with some requests begins one more, or has answered it if it is
// of a plain service: the wait for a slot, the prompts ahead that are being read, and its own.
func (w *Work) expected(requests, slots, pace float64, delay time.Duration) float64 {
	duration := w.Duration.Seconds() * pace
	return delay.Seconds() + max(0, requests*w.ahead()-w.usableSlots(slots)+1)*duration/slots + w.ownTime(min(requests, slots), pace)
}

// ahead returns the part of the requests at a runner that the request waits for.
func (w *Work) ahead() float64 {
	if w.AheadShare == 0 {
		return 1
	}
	return w.AheadShare
}

// ownTime returns the time that passes from getting a slot. Of the requests in progress, the share that is reading its
// prompt is that of the prefill in the duration.
func (w *Work) ownTime(running, pace float64) float64 {
	if !w.Engine {
		return w.Duration.Seconds() * pace
	}
	prefill := w.Prefill.Seconds()
	return prefill * pace * (1 + running*prefill/w.Duration.Seconds())
}

// limit returns up to how many requests, with this one, a runner may have so that this one begins within its target. A
// request that would be late at an idle runner too may go where a slot is free. Only the requests that are at least as
// urgent count, as runners put the others back.
func (w *Work) limit(slots, pace float64) float64 {
	if !w.Engine {
		usable := plainTargetShare * w.Target.Seconds() / (w.Duration.Seconds() * pace)
		return min(max(1, usable), policy.MaxPlainLoad) * slots
	}
	if w.Waits {
		return math.Round(w.usableSlots(slots) - w.Reserved*slots)
	}
	usable := w.usableSlots(slots)
	spare := max(0, streamTargetShare*w.Target.Seconds()-w.ownTime(usable, pace))
	return math.Floor(min((1+maxQueue)*slots, (usable+spare*usable/(w.Duration.Seconds()*pace))/w.ahead()))
}

// Requirements returns the limit at a runner of the usual pace as requirements of package policy.
func (w Work) Requirements(slots int) policy.Requirements {
	w.sanitize()
	n := max(1, float64(slots))
	return policy.Requirements{Engine: w.Engine, QueueLimit: float64(int(w.limit(n, 1)))/n - 1}
}
