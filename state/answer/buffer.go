// Package answer holds answers in progress and finished ones, so that a reader
// whose connection broke can go on where it stopped.
package answer

import (
	"context"
	"net/http"
	"sync"

	"primroseward/core"
)

const (
	// window is how far a writer may be ahead of the furthest reader.
	window = 1 << 20
	// keep is how much of a long answer stays readable behind the reader.
	keep = 16 << 20
)

// Head is an answer's status and headers.
type Head struct {
	Status int
	Header http.Header
}

// Buffer is one answer. One writer fills it; any number of readers read it,
// each from its own offset. It ends whole or with a RequestError, never
// silently.
type Buffer struct {
	mu      sync.Mutex
	head    *Head
	base    int64 // offset of data[0]
	data    []byte
	mark    int64 // furthest offset that was read
	done    bool
	fail    *core.RequestError
	changed chan struct{}
	readers int
}

// NewBuffer returns an empty answer.
func NewBuffer() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetHead gives the answer its head; a later head is ignored.
func (b *Buffer) SetHead(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil {
		b.head = &h
		b.wake()
	}
}

// Append adds data at the end. It waits while readers are far behind, so that
// a slow caller stops the read from its own endpoint stream alone.
func (b *Buffer) Append(ctx context.Context, data []byte) error {
	for {
		b.mu.Lock()
		if b.end()-b.mark < window || b.done {
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

func (b *Buffer) push(data []byte) {
	if b.done {
		return
	}
	b.data = append(b.data, data...)
	if over := int64(len(b.data)) - keep; over > keep/2 && b.base+over <= b.mark {
		b.data = append([]byte(nil), b.data[over:]...)
		b.base += over
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

// Size returns the bytes that the buffer occupies.
func (b *Buffer) Size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.data))
}

// Finish marks the answer as whole. Of Finish and Fail the first call holds.
func (b *Buffer) Finish() { b.close(nil) }

// Fail ends the answer with an error.
func (b *Buffer) Fail(err *core.RequestError) { b.close(err) }

func (b *Buffer) close(err *core.RequestError) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.done = true
	b.fail = err
	b.wake()
}

// Done says whether the answer has ended, and how.
func (b *Buffer) Done() (bool, *core.RequestError) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done, b.fail
}

// Head waits for the head or for a failure.
func (b *Buffer) Head(ctx context.Context) (*Head, error) {
	for {
		b.mu.Lock()
		head, done, fail, changed := b.head, b.done, b.fail, b.changed
		b.mu.Unlock()
		switch {
		case head != nil:
			return head, nil
		case fail != nil:
			return nil, fail
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

// Next waits for data at an offset. It returns a copy of what there is, with
// whole set when the answer ends there. ErrGone means that the data at offset
// is no longer held.
func (b *Buffer) Next(ctx context.Context, offset int64) (data []byte, whole bool, err error) {
	for {
		b.mu.Lock()
		if offset < b.base || offset > b.end() && b.done {
			b.mu.Unlock()
			return nil, false, core.ErrGone
		}
		if offset < b.end() {
			data = append([]byte(nil), b.data[offset-b.base:]...)
			b.mark = max(b.mark, b.end())
			b.wake()
			b.mu.Unlock()
			return data, false, nil
		}
		done, fail, changed := b.done, b.fail, b.changed
		b.mu.Unlock()
		if fail != nil {
			return nil, false, fail
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

// Release drops the data of an answer that has ended. What is read of it later
// is gone; its end is still known.
func (b *Buffer) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done {
		return
	}
	b.base = b.end()
	b.data = nil
}

// Attach counts a reader; the returned function ends it.
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

// Readers returns how many readers are attached.
func (b *Buffer) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readers
}
