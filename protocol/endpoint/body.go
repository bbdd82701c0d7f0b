package endpoint

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"primroseward/core"
)

// stallTimer cancels a call when no byte has arrived for a time limit. A connection
// whose state was dropped by a device on the network path gives no error; it only
// stops delivering data.
type stallTimer struct {
	timer   interface{ Stop() bool }
	reset   func()
	expired atomic.Bool
}

func newStallTimer(clock core.Clock, limit time.Duration, cancel func()) *stallTimer {
	s := &stallTimer{reset: func() {}}
	if limit <= 0 {
		return s
	}
	t := clock.AfterFunc(limit, func() {
		s.expired.Store(true)
		cancel()
	})
	s.timer = t
	s.reset = func() { t.Reset(limit) }
	return s
}

func (s *stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// ErrStalled is returned by a body whose connection has delivered nothing for the
// call's time limit.
var ErrStalled = errors.New("endpoint connection stalled")

// watchedBody is a response body whose reads restart the call's stall timer.
type watchedBody struct {
	rc     io.ReadCloser
	stall  *stallTimer
	cancel func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if n > 0 {
		b.stall.reset()
	}
	if err != nil && err != io.EOF && b.stall.expired.Load() {
		err = ErrStalled
	}
	return n, err
}

func (b *watchedBody) Close() error {
	b.stall.stop()
	b.cancel()
	return b.rc.Close()
}
