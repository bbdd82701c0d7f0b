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
	// maxResumes bounds how often one stream is read again on a new connection.
	maxResumes = 3
	// cancelTimeout bounds the word to an engine that a caller has gone.
	cancelTimeout  = time.Second
	copyBufferSize = 32 << 10
)

// doneMarker ends a stream of server-sent events in OpenAI's form.
var doneMarker = []byte("data: [DONE]")

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

	endpoint          core.Endpoint
	stall             time.Duration
	clock             core.Clock
	ctx               context.Context
	cancel            context.CancelFunc
	startedAt         time.Time           // of its slot; set before run starts
	instance          instance            // of the endpoint when it was sent; set before run starts
	onHeader          func(h http.Header) // takes in an answer's headers; set before run starts
	onResume          func()              // counts the answer as asked for once more; set before run starts
	tookToken         bool                // has been let through by the endpoint's limit; held by the loop
	lastReadAt        time.Time           // last seen with a reader; held by the sweep
	endedAt           time.Time           // held by the sweep
	status            int                 // of the answer; held by run
	span              trace.SpanContext
	stopDeadlineWatch func() bool // ends the watch for a deadline in the queue
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
	defer a.reportOutcome(guard)
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
	a.onHeader(ans.Header)
	a.Buffer.SetHead(answer.Head{Status: ans.Status, Header: ans.Header})
	if err := a.copyAnswer(ctx, ans); err != nil {
		a.Buffer.Fail(a.classifyCopyError(err))
		a.cancelAtEngine()
		return
	}
	a.Buffer.Finish()
}

// reportOutcome tells the guard how the attempt has ended at its endpoint.
func (a *Attempt) reportOutcome(guard core.Guard) {
	_, err := a.Buffer.Done()
	switch {
	case err == nil:
		if a.status < http.StatusInternalServerError {
			guard.Worked(a.Digest)
		}
	case err.Code == core.CodeEndpointBroken:
		// The endpoint is sent no more than it has slots, so that it had begun.
		guard.Broke(core.Broken{Digest: a.Digest, Runner: a.instance.runner(a.Runner), Route: a.Service, Service: a.Service, Begun: true})
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

// copyAnswer copies the answer. When the connection breaks or goes silent the
// engine may still hold the stream, so it is read on from the same offset over
// a new connection; the caller sees neither gap nor repetition.
func (a *Attempt) copyAnswer(ctx context.Context, ans *core.Answer) error {
	tail := &tailCheck{enabled: isEventStream(ans.Header)}
	err := a.copyBody(ctx, ans.Body, tail)
	for resumes := 0; err != nil && resumes < maxResumes && ctx.Err() == nil && a.Model != ""; resumes++ {
		a.onResume()
		resumed, resumeErr := a.endpoint.Resume(ctx, a.call(), a.Buffer.Len())
		if resumeErr != nil {
			return err
		}
		err = a.copyBody(ctx, resumed.Body, tail)
	}
	return err
}

var errNoDoneMarker = errors.New("the stream ended without its end marker")

func (a *Attempt) copyBody(ctx context.Context, body io.ReadCloser, tail *tailCheck) error {
	defer body.Close()
	buf := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			tail.write(buf[:n])
			if appendErr := a.Buffer.Append(ctx, buf[:n]); appendErr != nil {
				return appendErr
			}
		}
		if err == io.EOF {
			if !tail.complete() {
				return errNoDoneMarker
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// tailCheck keeps the end of a stream of events to see its end marker.
type tailCheck struct {
	enabled bool
	tail    []byte
}

const tailSize = 64

func (t *tailCheck) write(b []byte) {
	if !t.enabled {
		return
	}
	t.tail = append(t.tail, b...)
	if len(t.tail) > tailSize {
		t.tail = append(t.tail[:0], t.tail[len(t.tail)-tailSize:]...)
	}
}

func (t *tailCheck) complete() bool {
	return !t.enabled || bytes.HasSuffix(bytes.TrimRight(t.tail, "\r\n"), doneMarker)
}

func (a *Attempt) classifyCopyError(err error) *core.RequestError {
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

// cancelAtEngine frees the engine from work that nobody waits for.
func (a *Attempt) cancelAtEngine() {
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

func (m *attempts) register(a *Attempt) (*Attempt, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if existing, ok := m.byID[a.Attempt]; ok {
		return existing, false
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
func (m *attempts) sweep(now time.Time, releaseAfter, forgetAfter, orphanAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, a := range m.byID {
		done, _ := a.Buffer.Done()
		if !done {
			a.cancelIfOrphaned(now, orphanAfter)
			continue
		}
		if a.endedAt.IsZero() {
			a.endedAt = now
		}
		age := now.Sub(a.endedAt)
		if age > releaseAfter && a.Buffer.Readers() == 0 {
			a.Buffer.Release()
		}
		if age > forgetAfter {
			delete(m.byID, id)
		}
	}
}

// cancelIfOrphaned cancels an attempt whose entry has been away for too long.
func (a *Attempt) cancelIfOrphaned(now time.Time, after time.Duration) {
	if a.Buffer.Readers() > 0 || !a.Repeat {
		a.lastReadAt = now
		return
	}
	if a.lastReadAt.IsZero() {
		a.lastReadAt = now
	}
	if now.Sub(a.lastReadAt) > after {
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
