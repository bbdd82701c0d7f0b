package dispatch

import (
	"context"
	"io"
	"sync"

	"primroseward/io/retain"
)

const (
	// maxAhead bounds what is read of an answer ahead of its caller, in bytes. A live stream of 31 events has
	// some 6 kB.
	maxAhead = 1 << 20
	// freeAhead is what may be read ahead of each caller in any case, in bytes.
	freeAhead = 16 << 10
	// maxAheadTotal bounds what is read ahead of all callers together, in bytes, apart from freeAhead of each: a
	// tenth of the memory of the smallest daemon.
	maxAheadTotal = 16 << 20
	// aheadChunk is the size of a read in bytes.
	aheadChunk = 8 << 10
)

// Bounds at which a daemon stops reading ahead of a caller, as labels of metrics.
const (
	boundAnswer = "answer"
	boundTotal  = "total"
)

// unread counts an answer that is read no further, as its caller reads slowly, by the bound that was reached.
func (m *metrics) unread(bound string) {
	m.scope.Tagged(map[string]string{"bound": bound}).Counter("answers_unread").Inc(1)
}

// readAhead reads an answer from its runner ahead of a caller that reads slowly: a runner cuts an answer off that
// stays unread for some seconds, and its slot is taken until then. At a bound it reads only as fast as the
// caller.
type readAhead struct {
	body    io.ReadCloser // used by run alone until done is closed
	cancel  context.CancelFunc
	budget  *retain.Budget
	metrics *metrics
	done    chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	chunks  [][]byte
	size    int // of the chunks
	taken   int // from the budget
	bounded bool
	closed  bool
	err     error
	cause   any // of a panic of the body
}

// newReadAhead reads body until its end or Close, which calls cancel to end a read in progress.
func newReadAhead(body io.ReadCloser, cancel context.CancelFunc, budget *retain.Budget, m *metrics) *readAhead {
	a := &readAhead{body: body, cancel: cancel, budget: budget, metrics: m, done: make(chan struct{})}
	a.changed = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// run reads the body. It closes it at its end, so that the runner no longer counts as working on the request.
func (a *readAhead) run() {
	defer close(a.done)
	defer a.passPanic()
	buf := make([]byte, aheadChunk)
	for a.awaitRoom() {
		n, err := a.body.Read(buf)
		if err != nil {
			_ = a.body.Close() // the answer has been read to its end
		}
		a.mu.Lock()
		if n > 0 {
			a.hold(buf[:n])
		}
		a.err = err
		a.changed.Broadcast()
		a.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// hold keeps a copy of data. Small parts share a chunk: events of a few bytes would take several times their size
// otherwise. The caller holds the lock.
func (a *readAhead) hold(data []byte) {
	a.size += len(data)
	if last := len(a.chunks) - 1; last >= 0 && len(a.chunks[last])+len(data) <= aheadChunk {
		a.chunks[last] = append(a.chunks[last], data...)
		return
	}
	a.chunks = append(a.chunks, append([]byte(nil), data...))
}

// passPanic passes a panic of the body on to the reader.
func (a *readAhead) passPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cause, a.err = cause, io.ErrUnexpectedEOF
	a.changed.Broadcast()
}

// awaitRoom waits until a chunk more may be held. It returns false if the answer is no longer needed.
func (a *readAhead) awaitRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed {
		bound := a.reserve()
		if bound == "" {
			return true
		}
		if !a.bounded {
			a.bounded = true
			a.metrics.unread(bound)
		}
		a.changed.Wait()
	}
	return false
}

// reserve takes the room for a chunk from the budget, or returns the bound that forbids it. The caller holds the
// lock.
func (a *readAhead) reserve() (bound string) {
	more := a.size + aheadChunk - freeAhead - a.taken
	switch {
	case more <= 0:
		return ""
	case a.size+aheadChunk > maxAhead:
		return boundAnswer
	case !a.budget.Take(max(more, aheadChunk)):
		return boundTotal
	}
	a.taken += max(more, aheadChunk)
	return ""
}

// Read returns what has arrived. It waits only if nothing has. After Close it returns io.ErrClosedPipe.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.chunks) == 0 && a.err == nil && !a.closed {
		a.changed.Wait()
	}
	if a.closed {
		return 0, io.ErrClosedPipe // what was held is dropped, so that even the end of the answer must not be returned
	}
	if len(a.chunks) == 0 {
		if a.cause != nil {
			panic(a.cause)
		}
		return 0, a.err
	}
	n := 0
	for len(a.chunks) > 0 && n < len(p) {
		m := copy(p[n:], a.chunks[0])
		n += m
		if a.chunks[0] = a.chunks[0][m:]; len(a.chunks[0]) == 0 {
			a.chunks = a.chunks[1:]
		}
	}
	a.size -= n
	if a.size+aheadChunk <= freeAhead || a.err != nil && len(a.chunks) == 0 {
		a.budget.Release(a.taken)
		a.taken = 0
	}
	a.changed.Broadcast()
	return n, nil
}

// Close ends the answer and drops what is held. A runner still working on it stops.
func (a *readAhead) Close() error {
	a.mu.Lock()
	a.closed = true
	ended := a.err != nil && a.cause == nil
	a.changed.Broadcast()
	a.mu.Unlock()
	if !ended {
		a.cancel()
	}
	<-a.done
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(a.taken)
	a.chunks, a.size, a.taken = nil, 0, 0
	if ended || a.err != nil && a.cause == nil {
		return nil
	}
	return a.body.Close()
}
