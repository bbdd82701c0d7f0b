package balance

import (
	"time"

	"primroseward/coordination/policy"
)

const (
	// leftShare is the part of the time that a caller has left that it may be told to stay away: after two refusals
	// a third of it remains for the answer.
	leftShare = 1.0 / 3
	// returningShare is the part of the room for returning callers; new requests take the rest.
	returningShare = 0.5
	// minSpread is the shortest time over which callers return. Within 100 ms, counts of a fleet do not show yet
	// where those before have gone.
	minSpread = 200 * time.Millisecond
)

// RetryAfter returns when a refused caller should return, whose request has some time left: when the excess over the
// limits has ended, at random within the time that those need that are refused while it is away.
func (d *Decision) RetryAfter(w Work, left time.Duration, random func() float64) time.Duration {
	least := policy.MinRetryAfter(w.Target, w.Engine)
	from := max(least, d.Room)
	spread := max(minSpread, time.Duration(d.Refused*float64(from)/returningShare))
	latest := max(least+minSpread, time.Duration(leftShare*float64(left)))
	from = min(from, latest-minSpread)
	spread = min(spread, latest-from)
	return from + time.Duration(random()*float64(spread))
}
