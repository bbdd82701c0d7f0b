// Package answer holds answers in progress and finished ones, so that a reader whose
// connection broke can resume at the offset that it had reached.
package answer

import (
	"context"
	"net/http"
	"sync"

	"primroseward/core"
)

const (
	// maxAhead is how many bytes a writer may be ahead of the furthest reader.
	maxAhead = 1 << 20
	// retained is how many bytes of a long answer stay readable behind the furthest reader.
	retained = 16 << 20
)

// Head is the status and headers of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Buffer is one answer. One writer fills it; any number of readers read it, each from
// its own offset. It ends either complete or with a core.RequestError.
type Buffer struct {
	mu      sync.Mutex
	head    *Head
	base    int64 // offset of data[0]
	data    []byte
	readEnd int64 // offset up to which the furthest reader has read
	done    bool
	failure *core.RequestError
	changed chan struct{} // closed and replaced on each change
	readers int
}

// NewBuffer returns an empty answer.
func NewBuffer() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// wake wakes up all waiting readers and writers. The caller holds the lock.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetHead sets the head of the answer. Only the first call has an effect.
func (b *Buffer) SetHead(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil {
		b.head = &h
		b.wake()
	}
}

// Append adds data at the end. It blocks while the end is maxAhead bytes or more past the
// furthest reader, so that a slow caller pauses the read of its own endpoint stream and no
// other.
func (b *Buffer) Append(ctx context.Context, data []byte) error {
	for {
		b.mu.Lock()
		if b.end()-b.readEnd < maxAhead || b.done {
			b.push(data)
			b.mu.Unlock()
			return nil
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// push appends data and drops old data that exceeds retained by half or more and that has
// been read. The caller holds the lock.
func (b *Buffer) push(data []byte) {
	if b.done {
		return
	}
	b.data = append(b.data, data...)
	if excess := int64(len(b.data)) - retained; excess > retained/2 && b.base+excess <= b.readEnd {
		b.data = append([]byte(nil), b.data[excess:]...)
		b.base += excess
	}
	b.wake()
}

func (b *Buffer) end() int64 { return b.base + int64(len(b.data)) }

// Len returns the length of the body so far.
func (b *Buffer) Len() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end()
}

// Size returns the number of bytes of data that the buffer holds.
func (b *Buffer) Size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.data))
}

// Finish marks the answer as complete. Only the first call of Finish or Fail has an
// effect.
func (b *Buffer) Finish() { b.close(nil) }

// Fail ends the answer with an error. Only the first call of Finish or Fail has an effect.
func (b *Buffer) Fail(err *core.RequestError) { b.close(err) }

func (b *Buffer) close(err *core.RequestError) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.done = true
	b.failure = err
	b.wake()
}

// Done reports whether the answer has ended, and with which error; nil if it is complete.
func (b *Buffer) Done() (bool, *core.RequestError) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done, b.failure
}

// Head waits for the head and returns it, or the error with which the answer ended.
func (b *Buffer) Head(ctx context.Context) (*Head, error) {
	for {
		b.mu.Lock()
		head, done, failure, changed := b.head, b.done, b.failure, b.changed
		b.mu.Unlock()
		switch {
		case head != nil:
			return head, nil
		case failure != nil:
			return nil, failure
		case done:
			return nil, core.MayHaveRun("answer_without_head", "the answer ended before it began")
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// Next waits for data at an offset. It returns a copy of the data from there on, or
// whole set if the answer is complete and ends at offset. core.ErrGone means that the
// data at offset is no longer held or lies past the end of the answer.
func (b *Buffer) Next(ctx context.Context, offset int64) (data []byte, whole bool, err error) {
	for {
		b.mu.Lock()
		if offset < b.base || offset > b.end() && b.done {
			b.mu.Unlock()
			return nil, false, core.ErrGone
		}
		if offset < b.end() {
			data = append([]byte(nil), b.data[offset-b.base:]...)
			b.readEnd = max(b.readEnd, b.end())
			b.wake()
			b.mu.Unlock()
			return data, false, nil
		}
		done, failure, changed := b.done, b.failure, b.changed
		b.mu.Unlock()
		if failure != nil {
			return nil, false, failure
		}
		if done {
			return nil, true, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-changed:
		}
	}
}

// Release drops the data of an answer that has ended. Later reads of the data return
// core.ErrGone; reads at its end still report how it ended.
func (b *Buffer) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done {
		return
	}
	b.base = b.end()
	b.data = nil
}

// Attach registers a reader. The returned function unregisters it.
func (b *Buffer) Attach() func() {
	b.mu.Lock()
	b.readers++
	b.mu.Unlock()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.readers--
		b.wake()
	})
}

// Readers returns the number of attached readers.
func (b *Buffer) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readers
}
