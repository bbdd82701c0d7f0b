package answer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
)

// Guards against gaps or repeated bytes in the answer of a caller that resumes. Readers
// start at any offset at any time while the answer is written. Each must read the same
// bytes and the end.
func TestReadersSeeTheSame(t *testing.T) {
	b := NewBuffer()
	ctx := context.Background()
	var want []byte
	for i := range 3000 {
		want = append(want, byte(i), byte(i>>8), '.')
	}
	var wg sync.WaitGroup
	for _, from := range []int{0, 1, 5000, len(want)} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := make([]byte, 0, len(want))
			for {
				data, whole, err := b.Next(ctx, int64(from+len(got)))
				assert.Check(t, err)
				if whole {
					break
				}
				got = append(got, data...)
			}
			assert.Check(t, bytes.Equal(got, want[from:]))
		}()
	}
	for i := 0; i < len(want); i += 100 {
		assert.NilError(t, b.Append(ctx, want[i:min(len(want), i+100)]))
	}
	b.Finish()
	wg.Wait()
	_, _, err := b.Next(ctx, int64(len(want)+1))
	assert.Assert(t, errors.Is(err, core.ErrGone))
}

// Guards against running out of memory when a caller reads slowly or not at all: the
// writer must wait, and continue when the reader does.
func TestSlowReaderStopsItsOwnWriter(t *testing.T) {
	b := NewBuffer()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	chunk := make([]byte, 256<<10)
	var err error
	for range 10 {
		if err = b.Append(ctx, chunk); err != nil {
			break
		}
	}
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Assert(t, b.Len() <= 2*maxAhead)
	_, _, err = b.Next(context.Background(), 0)
	assert.NilError(t, err)
	assert.NilError(t, b.Append(context.Background(), chunk))
}

// A long answer holds a bounded number of bytes; its beginning is dropped.
func TestLongAnswersAreBounded(t *testing.T) {
	b := NewBuffer()
	ctx := context.Background()
	chunk := make([]byte, 512<<10)
	for offset := int64(0); offset < 64<<20; {
		assert.NilError(t, b.Append(ctx, chunk))
		data, _, err := b.Next(ctx, offset)
		assert.NilError(t, err)
		offset += int64(len(data))
	}
	assert.Assert(t, b.Size() <= 2*retained)
	_, _, err := b.Next(ctx, 0)
	assert.Assert(t, errors.Is(err, core.ErrGone))
}

// Of Fail and Finish, only the first call has an effect.
func TestFirstEndHolds(t *testing.T) {
	b := NewBuffer()
	b.Fail(core.MayHaveRun("broken", "x"))
	b.Finish()
	_, fail := b.Done()
	assert.Equal(t, fail.Code, "broken")
	_, whole, err := b.Next(context.Background(), 0)
	assert.Assert(t, !whole && err != nil)
}

// A Cache drops the oldest finished answers past its byte limit or TTL, and none in progress.
func TestKeepDropsOldestFinished(t *testing.T) {
	clock := clockwork.NewFakeClock()
	k := NewCache(clock, 100, time.Minute)
	hold := func(key string, n int) *Held {
		h, fresh := k.Begin(key, 1)
		assert.Assert(t, fresh)
		assert.NilError(t, h.Buffer.Append(context.Background(), make([]byte, n)))
		return h
	}
	running := hold("running", 90)
	k.MarkFinished(hold("a", 60))
	k.MarkFinished(hold("b", 60))
	_, err := k.Get("a")
	assert.Assert(t, errors.Is(err, core.ErrGone), "a dropped answer must be reported as gone")
	_, err = k.Get("b")
	assert.NilError(t, err)
	_, err = k.Get("c")
	assert.Assert(t, errors.Is(err, core.ErrNotFound))
	clock.Advance(2 * time.Minute)
	k.Trim()
	_, err = k.Get("b")
	assert.Assert(t, errors.Is(err, core.ErrGone))
	again, fresh := k.Begin("running", 1)
	assert.Assert(t, !fresh && again == running, "an answer in progress must stay")
	k.Forget(running)
	_, fresh = k.Begin("running", 1)
	assert.Assert(t, fresh)
	assert.Equal(t, k.Bytes(), int64(0))
}
