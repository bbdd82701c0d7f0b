package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"primroseward/core"
	"primroseward/state/answer"
)

const (
	// resumes bounds how often one stream is read again on a new connection.
	resumes = 3
	// cancelTimeout bounds the word to an engine that a caller has gone.
	cancelTimeout = time.Second
	copyBuffer    = 32 << 10
)

// doneMark ends a stream of server-sent events in OpenAI's form.
var doneMark = []byte("data: [DONE]")

// Request is one attempt as the entry asks for it.
type Request struct {
	Request  string
	Attempt  string
	Service  string
	Model    string
	Runner   string
	Class    core.Class
	Deadline time.Time
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Repeat   bool
	Retry    bool
	Digest   core.Digest // of what the request asks
}

// Attempt is one attempt in progress or lately ended.
type Attempt struct {
	Request
	Buffer *answer.Buffer

	endpoint core.Endpoint
	stall    time.Duration
	clock    core.Clock
	ctx      context.Context
	cancel   context.CancelFunc
	began    time.Time           // of its slot; set before run starts
	life     life                // of the endpoint when it was sent; set before run starts
	answered func(h http.Header) // takes in an answer's headers; set before run starts
	again    func()              // counts the answer as asked for once more; set before run starts
	limited  bool                // has been let through by the endpoint's limit; held by the loop
	readAt   time.Time           // last seen with a reader; held by the sweep
	ended    time.Time           // held by the sweep
	status   int                 // of the answer; held by run
	span     trace.SpanContext
	unwatch  func() bool // ends the watch for a deadline in the queue
}

// refuse ends an attempt that was never sent.
func (a *Attempt) refuse(err *core.RequestError) {
	a.Buffer.Fail(err)
	a.cancel()
}

// run sends the attempt and copies its answer until it ends; it then tells the guard
// and its runner.
func (a *Attempt) run(guard core.Guard, done func(*Attempt)) {
	defer done(a)
	defer a.tell(guard)
	defer a.cancel()
	ctx := trace.ContextWithRemoteSpanContext(a.ctx, a.span)
	ctx, span := otel.Tracer("primroseward").Start(ctx, "endpoint", trace.WithAttributes(
		attribute.String("runner", a.Runner), attribute.String("attempt", a.Attempt)))
	defer span.End()
	ans, err := a.endpoint.Do(ctx, a.call())
	if err != nil {
		a.Buffer.Fail(core.AsRequestError(err))
		return
	}
	a.status = ans.Status
	a.answered(ans.Header)
	a.Buffer.SetHead(answer.Head{Status: ans.Status, Header: ans.Header})
	if err := a.copyAll(ctx, ans); err != nil {
		a.Buffer.Fail(a.explain(err))
		a.tellGone()
		return
	}
	a.Buffer.Finish()
}

// tell tells the guard how the attempt has ended at its endpoint.
func (a *Attempt) tell(guard core.Guard) {
	_, err := a.Buffer.Done()
	switch {
	case err == nil:
		if a.status < http.StatusInternalServerError {
			guard.Worked(a.Digest)
		}
	case err.Code == core.CodeEndpointBroken:
		// The endpoint is sent no more than it has slots, so that it had begun.
		guard.Broke(core.Broken{Digest: a.Digest, Runner: a.life.runner(a.Runner), Route: a.Service, Service: a.Service, Begun: true})
	}
}

func (a *Attempt) call() core.Call {
	return core.Call{
		Attempt: a.Attempt,
		Method:  a.Method,
		Path:    a.Path,
		Header:  a.Header,
		Body:    a.Body,
		Repeat:  a.Repeat,
		Class:   a.Class,
		Stall:   a.stall,
	}
}

// copyAll copies the answer. When the connection breaks or goes silent the
// engine may still hold the stream, so it is read on from the same offset over
// a new connection; the caller sees neither gap nor repetition.
func (a *Attempt) copyAll(ctx context.Context, ans *core.Answer) error {
	tail := &tailCheck{on: isEvents(ans.Header)}
	err := a.copyOne(ctx, ans.Body, tail)
	for try := 0; err != nil && try < resumes && ctx.Err() == nil && a.Model != ""; try++ {
		a.again()
		next, resumeErr := a.endpoint.Resume(ctx, a.call(), a.Buffer.Len())
		if resumeErr != nil {
			return err
		}
		err = a.copyOne(ctx, next.Body, tail)
	}
	return err
}

var errNoDone = errors.New("the stream ended without its end marker")

func (a *Attempt) copyOne(ctx context.Context, body io.ReadCloser, tail *tailCheck) error {
	defer body.Close()
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			tail.write(buf[:n])
			if appendErr := a.Buffer.Append(ctx, buf[:n]); appendErr != nil {
				return appendErr
			}
		}
		if err == io.EOF {
			if !tail.whole() {
				return errNoDone
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// tailCheck keeps the end of a stream of events to see its end marker.
type tailCheck struct {
	on   bool
	last []byte
}

const tailLength = 64

func (t *tailCheck) write(b []byte) {
	if !t.on {
		return
	}
	t.last = append(t.last, b...)
	if len(t.last) > tailLength {
		t.last = append(t.last[:0], t.last[len(t.last)-tailLength:]...)
	}
}

func (t *tailCheck) whole() bool {
	return !t.on || bytes.HasSuffix(bytes.TrimRight(t.last, "\r\n"), doneMark)
}

func (a *Attempt) explain(err error) *core.RequestError {
	if a.ctx.Err() != nil {
		if !a.clock.Now().Before(a.Deadline) {
			e := core.MayHaveRun("deadline", "the answer was not whole by the deadline")
			e.Status = http.StatusGatewayTimeout
			return e
		}
		return core.MayHaveRun("cancelled", "the caller has gone")
	}
	return core.MayHaveRun(core.CodeEndpointBroken, err.Error())
}

// tellGone frees the engine from work that nobody waits for.
func (a *Attempt) tellGone() {
	if a.Model == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.endpoint.Cancel(ctx, a.Attempt)
}

// attempts finds attempts by id. An attempt's id stays known for a while after
// its end, so that a dispatch which a transport sends twice joins the first
// instead of running again.
type attempts struct {
	mu   sync.Mutex
	byID map[string]*Attempt
}

func (m *attempts) begin(a *Attempt) (*Attempt, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if have, ok := m.byID[a.Attempt]; ok {
		return have, false
	}
	m.byID[a.Attempt] = a
	return a, true
}

func (m *attempts) get(id string) (*Attempt, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.byID[id]
	return a, ok
}

// sweep drops the answers of attempts that ended a while ago, forgets their
// ids later, and cancels attempts that nobody has read for long if they may be
// repeated.
func (m *attempts) sweep(now time.Time, release, life, orphan time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, a := range m.byID {
		done, _ := a.Buffer.Done()
		if !done {
			a.orphaned(now, orphan)
			continue
		}
		if a.ended.IsZero() {
			a.ended = now
		}
		age := now.Sub(a.ended)
		if age > release && a.Buffer.Readers() == 0 {
			a.Buffer.Release()
		}
		if age > life {
			delete(m.byID, id)
		}
	}
}

// orphaned cancels an attempt whose entry has been away for too long.
func (a *Attempt) orphaned(now time.Time, limit time.Duration) {
	if a.Buffer.Readers() > 0 || !a.Repeat {
		a.readAt = now
		return
	}
	if a.readAt.IsZero() {
		a.readAt = now
	}
	if now.Sub(a.readAt) > limit {
		a.cancel()
	}
}

func (m *attempts) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, a := range m.byID {
		if done, _ := a.Buffer.Done(); !done {
			n++
		}
	}
	return n
}
