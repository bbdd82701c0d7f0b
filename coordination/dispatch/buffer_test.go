package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/io/retain"
)

// zeros returns the given number of bytes, then an error.
type zeros struct {
	left int
	end  error
}

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, z.end
	}
	n := min(len(p), z.left)
	clear(p[:n])
	z.left -= n
	return n, nil
}

// newLongDispatcher returns a Dispatcher whose runners answer with the given number of bytes.
func newLongDispatcher(size int, end error) *Dispatcher {
	d := newDispatcher(&fleet{nextAct: script()}, 3)
	d.sender = senderFunc(func(context.Context, *core.Runner, *core.Request, core.Outgoing) (*core.Reply, error) {
		return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: core.ReplyInfo{Stamped: true}, Framing: core.FramingClose, Body: io.NopCloser(&zeros{size, end})}, nil
	})
	return d
}

// TestLongAnswers guards against an answer that is cut where a daemon no longer holds it in memory, and
// against one that is retried after a part of it has reached the caller.
func TestLongAnswers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		size   int
		end    error
		status int
		size2  int // that the caller receives
		broken bool
		runs   int
	}{
		{"as much as is held", maxBuffered - maxBlock, io.EOF, http.StatusOK, maxBuffered - maxBlock, false, 1},
		{"more than is held", maxBuffered + 1, io.EOF, http.StatusOK, maxBuffered + 1, false, 1},
		{"much more", 42 << 20, io.EOF, http.StatusOK, 42 << 20, false, 1},
		{"broken while it is held", maxBuffered / 2, errCrashed, http.StatusBadGateway, 0, true, 2},
		{"broken after it is held", maxBuffered + 1, errCrashed, http.StatusOK, maxBuffered + 1, true, 1},
	} {
		d := newLongDispatcher(tt.size, tt.end)
		g := &guard{admits: 10}
		WithGuard(g)(d)
		status, body, err := call(d, route(core.KindSafe, false, 2))
		assert.Equal(t, status, tt.status, tt.name)
		assert.Equal(t, len(body), tt.size2, tt.name)
		assert.Equal(t, err != nil, tt.broken, "%s: %v", tt.name, err)
		assert.Equal(t, len(g.closed), map[bool]int{true: tt.runs}[tt.broken], tt.name)
		assert.Equal(t, g.worked > 0, !tt.broken, tt.name)
		assert.Equal(t, d.buffers.Used(), int64(0), tt.name)
	}
}

// TestLongAnswersAreBoundedInMemory guards against running out of memory while many callers are slow to
// read long answers.
func TestLongAnswersAreBoundedInMemory(t *testing.T) {
	const (
		answers = 200
		size    = 42 << 20
		// slack is for what the answers need besides their content, and for the rest of the process.
		slack = 8 << 20
	)
	for _, tt := range []struct {
		balance core.Balance
		wait    time.Duration // for what is read ahead of the callers
		ahead   uint64        // bytes of that
	}{{core.BalanceOff, 0, 0}, {core.BalanceOn, 500 * time.Millisecond, maxAheadTotal + answers*freeAhead}} {
		d := newLongDispatcher(size, io.EOF)
		WithBalance(func() core.Balance { return tt.balance })(d)
		d.catalog.Put(core.Runner{ID: "r0", Service: "s", Slots: answers, Holdings: []core.Holding{{Model: "m"}}}, d.clock.Now())
		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		before := heap()
		replies := make([]*core.Reply, answers)
		for i := range replies {
			q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Minute}
			r := route(core.KindSafe, false, 2)
			r.Timeout = time.Minute
			reply, err := d.Do(t.Context(), r, q)
			assert.NilError(t, err)
			replies[i] = reply
		}
		time.Sleep(tt.wait)
		held := heap() - before
		assert.Assert(t, held <= maxBufferedTotal+answers*freeBuffered+slack+tt.ahead, "%s: %d MiB", tt.balance, held>>20)
		var wg sync.WaitGroup
		for _, reply := range replies {
			wg.Add(1)
			go func() {
				defer wg.Done()
				n, err := io.Copy(io.Discard, reply.Body)
				assert.Check(t, err)
				assert.Check(t, n == size, "%d bytes", n)
				_ = reply.Body.Close()
			}()
		}
		wg.Wait()
		assert.Equal(t, d.buffers.Used()+d.ahead.Used(), int64(0))
	}
}

// TestLargeEventsAreBoundedInMemory guards against running out of memory while many streams are in the
// middle of a large event, and against a part of the budget that is never given back.
func TestLargeEventsAreBoundedInMemory(t *testing.T) {
	budget := retain.New(maxBufferedTotal)
	readers := make([]*eventReader, 200)
	for i := range readers {
		readers[i] = &eventReader{in: io.MultiReader(&zeros{maxEvent / 2, io.EOF}, &zeros{0, core.ErrAnswerLost}), budget: budget}
		for {
			_, err := readers[i].next()
			assert.Check(t, budget.Used() <= maxBufferedTotal)
			if errors.Is(err, core.ErrAnswerLost) {
				break
			}
			assert.NilError(t, err)
		}
	}
	assert.Assert(t, budget.Used() > maxBufferedTotal-maxEvent)
	for _, r := range readers {
		r.close()
	}
	assert.Equal(t, budget.Used(), int64(0))
}
