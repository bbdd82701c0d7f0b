package runner

import (
	"errors"
	"time"

	"primroseward/core"
)

const (
	// maxOverhead bounds the bytes that a runner may send in a row without any of an answer's body, such
	// as its head, and maxOverheadTime the time for which it may do so. Of the time between two reads at
	// most maxOverheadGap counts, as a sound runner may be silent for longer.
	maxOverhead     = 64 << 10
	maxOverheadTime = time.Second
	maxOverheadGap  = 250 * time.Millisecond
	// maxForeignBody is how much more may be read of an answer to another request.
	maxForeignBody = 1 << 20
)

// errOverhead: the runner sends bytes without end that are no part of an answer's body.
var errOverhead = errors.New("too many bytes that are no part of the answer's body")

// overhead measures what has been read of a connection since the last part of an answer's body. It is not
// safe for concurrent use.
type overhead struct {
	clock  core.Clock
	bytes  int
	extra  int // bytes allowed beyond maxOverhead
	spent  time.Duration
	readAt time.Time // zero: nothing has been read yet
}

// reset starts the measurement anew.
func (o *overhead) reset() { o.bytes, o.extra, o.spent, o.readAt = 0, 0, 0, time.Time{} }

// add records that n bytes have been read.
func (o *overhead) add(n int) {
	now := o.clock.Now()
	if !o.readAt.IsZero() {
		o.spent += min(now.Sub(o.readAt), maxOverheadGap)
	}
	o.readAt = now
	o.bytes += n
}

// exceeded reports whether no more may be read.
func (o *overhead) exceeded() bool {
	return o.bytes > maxOverhead+o.extra || o.spent > maxOverheadTime
}
