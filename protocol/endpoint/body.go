package endpoint

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"primroseward/core"
)

// silence cancels a call after a time without a byte. A connection that
// something on the way has forgotten gives no error, only silence.
type silence struct {
	timer   interface{ Stop() bool }
	reset   func()
	tripped atomic.Bool
}

func newSilence(clock core.Clock, limit time.Duration, cancel func()) *silence {
	s := &silence{reset: func() {}}
	if limit <= 0 {
		return s
	}
	t := clock.AfterFunc(limit, func() {
		s.tripped.Store(true)
		cancel()
	})
	s.timer = t
	s.reset = func() { t.Reset(limit) }
	return s
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// ErrSilent is the error of a body whose connection went silent.
var ErrSilent = errors.New("endpoint connection went silent")

// watchedBody is a response body watched for silence.
type watchedBody struct {
	rc      io.ReadCloser
	silence *silence
	cancel  func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if n > 0 {
		b.silence.reset()
	}
	if err != nil && err != io.EOF && b.silence.tripped.Load() {
		err = ErrSilent
	}
	return n, err
}

func (b *watchedBody) Close() error {
	b.silence.stop()
	b.cancel()
	return b.rc.Close()
}
