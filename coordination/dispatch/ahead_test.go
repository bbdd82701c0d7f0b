package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/io/retain"
)

// impatientRunner is the body of a runner's answer that has an event each 50 ms, and is cut off if an event stays
// unread for 2 s. cutOff says so.
type impatientRunner struct {
	ctx    context.Context
	began  time.Time
	events int
	size   int // of an event
	sent   int
	cutOff *bool
}

func (r *impatientRunner) Read(p []byte) (int, error) {
	if r.sent == r.events {
		return 0, io.EOF
	}
	due := r.began.Add(time.Duration(r.sent+1) * 50 * time.Millisecond)
	if time.Since(due) > 2*time.Second {
		*r.cutOff = true
		return 0, errCrashed
	}
	select {
	case <-time.After(time.Until(due)):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	r.sent++
	return copy(p, "data: "+strings.Repeat("x", r.size)+"\n\n"), nil
}

// newImpatientDispatcher returns a Dispatcher whose runner cuts off answers that stay unread.
func newImpatientDispatcher(b core.Balance, events, size int) (d *Dispatcher, cutOff *bool) {
	d, cutOff = newDispatcher(&fleet{}, 1), new(bool)
	WithBalance(func() core.Balance { return b })(d)
	d.sender = senderFunc(func(ctx context.Context, _ *core.Runner, _ *core.Request, _ core.Outgoing) (*core.Reply, error) {
		return &core.Reply{Status: http.StatusOK, Header: http.Header{}, Info: core.ReplyInfo{Stamped: true}, Body: io.NopCloser(&impatientRunner{ctx: ctx, began: time.Now(), events: events, size: size, cutOff: cutOff})}, nil
	})
	return d, cutOff
}

// beginStream sends a request and returns its answer.
func beginStream(ctx context.Context, t *testing.T, d *Dispatcher) *core.Reply {
	t.Helper()
	r := route(core.KindStream, false, 1)
	r.Timeout = time.Minute
	reply, err := d.Do(ctx, r, &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), Timeout: time.Minute})
	assert.NilError(t, err)
	return reply
}

// A caller that reads an event in 0.5 s of a stream that has one each 50 ms. Guards against a runner that cuts the
// answer off as it stays unread, and whose slot is taken for as long as the caller reads.
func TestSlowReader(t *testing.T) {
	for _, b := range []core.Balance{core.BalanceOff, core.BalanceOn} {
		synctest.Test(t, func(t *testing.T) {
			const events = 31
			d, cutOff := newImpatientDispatcher(b, events, 100)
			reply := beginStream(context.Background(), t, d)
			data, buf, began := "", make([]byte, 108), time.Now()
			var err error
			for n := 0; err == nil; {
				time.Sleep(500 * time.Millisecond)
				n, err = reply.Body.Read(buf)
				data += string(buf[:n])
				if b == core.BalanceOn && time.Since(began) > 2*time.Second {
					assert.Equal(t, d.loads.View("r0").Requests, 0, "the runner is done")
				}
			}
			assert.NilError(t, reply.Body.Close())
			assert.Equal(t, *cutOff, b == core.BalanceOff)
			assert.Equal(t, err == io.EOF && strings.Count(data, "\n\n") == events, b == core.BalanceOn, "%v", err)
			assert.Equal(t, d.ahead.Used(), int64(0))
			assert.Equal(t, d.Running(), 0)
		})
	}
}

// Guards against events that are held back for later ones from a caller that reads them at once.
func TestFastReaderGetsEachEventAsItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newImpatientDispatcher(core.BalanceOn, 31, 100)
		began := time.Now()
		reply := beginStream(context.Background(), t, d)
		for i := range 31 {
			n, err := reply.Body.Read(make([]byte, 16<<10))
			assert.NilError(t, err)
			assert.Equal(t, n, 108)
			assert.Equal(t, time.Since(began), time.Duration(i+1)*50*time.Millisecond)
		}
		_, err := reply.Body.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		assert.NilError(t, reply.Body.Close())
	})
}

// countBounded returns how many answers are read no further.
func countBounded(bodies []*readAhead) (n int) {
	for _, a := range bodies {
		a.mu.Lock()
		if a.bounded {
			n++
		}
		a.mu.Unlock()
	}
	return n
}

// 300 callers that read nothing of long answers, and then all. Guards against running out of memory, and against
// what is lost or mixed up beyond the bounds.
func TestSlowReadersAreBoundedInMemory(t *testing.T) {
	const callers, size = 300, 4 << 20
	for _, tt := range []struct {
		bound   string
		callers int
	}{{boundAnswer, 1}, {boundTotal, callers}} {
		budget, scope := retain.New(maxAheadTotal), tally.NewTestScope("", nil)
		m := newMetrics(scope)
		var bodies []*readAhead
		for range tt.callers {
			bodies = append(bodies, newReadAhead(io.NopCloser(&zeros{size, io.EOF}), func() {}, budget, m))
		}
		counted := func() int64 {
			if c := scope.Snapshot().Counters()["answers_unread+bound="+tt.bound]; c != nil {
				return c.Value()
			}
			return 0
		}
		for end := time.Now().Add(20 * time.Second); counted() == 0 || countBounded(bodies) < tt.callers; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%s: %d", tt.bound, counted())
		}
		held := 0
		for _, a := range bodies {
			a.mu.Lock()
			assert.Assert(t, a.size <= maxAhead)
			held += a.size
			a.mu.Unlock()
		}
		assert.Assert(t, held <= maxAheadTotal+tt.callers*freeAhead, "%d", held)
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		assert.Assert(t, mem.HeapAlloc < 92<<20, "%d bytes, half of the memory of the smallest daemon", mem.HeapAlloc)
		var readers sync.WaitGroup
		for _, a := range bodies {
			readers.Go(func() {
				n, err := io.Copy(io.Discard, a)
				assert.Check(t, err == nil && n == size, "%d, %v", n, err)
				assert.Check(t, a.Close())
			})
		}
		readers.Wait()
		assert.Equal(t, budget.Used(), int64(0))
	}
}

// Guards against a runner that goes on for a caller that has gone, or a reader and memory that are never released.
func TestSlowReaderThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newImpatientDispatcher(core.BalanceOn, 1000, 4000)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reply := beginStream(ctx, t, d)
		time.Sleep(time.Second)
		assert.Assert(t, d.ahead.Used() > 0)
		assert.NilError(t, reply.Body.Close())
		assert.Equal(t, d.ahead.Used(), int64(0))
		assert.Equal(t, d.loads.View("r0").Requests, 0)
		assert.Equal(t, d.Running(), 0)
	})
}

// Guards against a defect in the work on one answer that ends the process, as the answer is read apart from its
// request.
func TestPanicWhileReadingAhead(t *testing.T) {
	a := newReadAhead(panickingBody{}, func() {}, retain.New(maxAheadTotal), newMetrics(tally.NoopScope))
	cause := func() (cause any) {
		defer func() { cause = recover() }()
		_, _ = a.Read(make([]byte, 1))
		return nil
	}()
	assert.Equal(t, cause, errPanicked)
	assert.NilError(t, a.Close())
}

var errPanicked = errors.New("defect")

type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic(errPanicked) }
func (panickingBody) Close() error             { return nil }

// Guards against a reader that waits for good for what a closed answer no longer gets.
func TestReadOfAClosedAnswer(t *testing.T) {
	for _, tt := range []struct {
		name string
		body io.Reader
	}{
		{"held up to a bound", &zeros{4 << 20, io.EOF}},
		{"read to its end", &zeros{100, io.EOF}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newReadAhead(io.NopCloser(tt.body), func() {}, retain.New(maxAheadTotal), newMetrics(tally.NoopScope))
				synctest.Wait()
				assert.NilError(t, a.Close())
				_, err := a.Read(make([]byte, 1))
				assert.Equal(t, err, io.ErrClosedPipe)
			})
		})
	}
}

// Guards against memory far above the bound for an answer that arrives in small parts, each of which takes
// a slice of its own.
func TestSmallPartsAreBoundedInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = maxAhead / 4
		a := newReadAhead(io.NopCloser(iotest.OneByteReader(&zeros{size, io.EOF})), func() {}, retain.New(maxAheadTotal), newMetrics(tally.NoopScope))
		synctest.Wait()
		a.mu.Lock()
		held := len(a.chunks) * int(unsafe.Sizeof(a.chunks[0]))
		for _, chunk := range a.chunks {
			held += cap(chunk)
		}
		a.mu.Unlock()
		assert.Assert(t, held <= 2*size, "%d bytes for %d", held, size)
		n, err := io.Copy(io.Discard, a)
		assert.Assert(t, err == nil && n == size, "%d, %v", n, err)
		assert.NilError(t, a.Close())
	})
}

// Guards against replicas that are planned for the time that slow callers take to read answers which runners
// have finished long before.
func TestSlowReaderDoesNotLengthenUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newImpatientDispatcher(core.BalanceOn, 40, 10)
		reply := beginStream(context.Background(), t, d)
		time.Sleep(10 * time.Second)
		_, err := io.Copy(io.Discard, reply.Body)
		assert.NilError(t, err)
		assert.NilError(t, reply.Body.Close())
		got := d.demand.TakeUses()[PlacementKey{Service: "s", Model: "m"}]
		assert.Equal(t, got.Ended, 1)
		assert.Assert(t, got.Busy > time.Second && got.Busy <= 2*time.Second, "%s", got.Busy)
	})
}
