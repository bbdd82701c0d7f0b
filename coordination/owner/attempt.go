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
	// maxResumes bounds how often one stream is resumed on a new connection.
	maxResumes = 3
	// cancelTimeout bounds the call that cancels an attempt at the engine after its answer
	// could not be completed.
	cancelTimeout  = time.Second
	copyBufferSize = 32 << 10
)

// doneMarker ends a stream of server-sent events in the OpenAI API.
var doneMarker = []byte("data: [DONE]")

// Request is one attempt as an entry dispatches it to the owner.
type Request struct {
	RequestID  string
	AttemptID  string
	Service    string
	Model      string
	Runner     string
	Class      core.Class
	Deadline   time.Time
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool        // the request may be sent again: it is idempotent
	Retry      bool        // this is a further attempt of the request
	Digest     core.Digest // hash of the request, for the quarantine
}

// Attempt is an attempt that is in progress or has ended recently.
type Attempt struct {
	Request
	Buffer *answer.Buffer

	endpoint  core.Endpoint
	stall     time.Duration
	clock     core.Clock
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time // when it took its slot; set before run starts
	instance  instance  // of the endpoint at the time of sending; set before run starts
	// onAnswer is called with the answer's status and headers, and may replace the answer by an
	// error; set before run starts.
	onAnswer          func(status int, h http.Header) *core.RequestError
	probe             bool      // finds out whether the endpoint's backoff is over; set before run starts, then used only by run
	onResume          func()    // charges a resumption to the endpoint's limit; set before run starts
	tookToken         bool      // holds a token of the endpoint's limit; used only by the runner's loop
	lastReadAt        time.Time // when the sweep last saw a reader; used only by the sweep
	heldBytes         int64     // of the answer, guarded by the lock of the attempts
	endedAt           time.Time // when the sweep first saw the end; used only by the sweep
	status            int       // of the answer; used only by run
	span              trace.SpanContext
	stopDeadlineWatch func() bool // unregisters the callback for a deadline that passes in the queue
}

// dropRequest drops the header and the body of a request that will not be sent any more: the attempt stays known for
// minutes.
func (a *Attempt) dropRequest() { a.Header, a.Body = nil, nil }

// refuse ends an attempt that was never sent.
func (a *Attempt) refuse(err *core.RequestError) {
	a.dropRequest()
	a.Buffer.Fail(err)
	a.cancel()
}

// run sends the attempt and copies its answer until it ends. It then reports the outcome
// to the guard and calls done.
func (a *Attempt) run(guard core.Guard, done func(*Attempt)) {
	defer done(a)
	defer a.dropRequest()
	defer a.reportOutcome(guard)
	defer a.cancel()
	ctx := trace.ContextWithRemoteSpanContext(a.ctx, a.span)
	ctx, span := otel.Tracer("primroseward").Start(ctx, "endpoint", trace.WithAttributes(
		attribute.String("runner", a.Runner), attribute.String("attempt", a.AttemptID)))
	defer span.End()
	ans, err := a.endpoint.Do(ctx, a.call())
	if err != nil {
		a.Buffer.Fail(core.AsRequestError(err))
		return
	}
	a.status = ans.Status
	if err := a.onAnswer(ans.Status, ans.Header); err != nil {
		_ = ans.Body.Close()
		a.Buffer.Fail(err)
		return
	}
	a.Buffer.SetHead(answer.Head{Status: ans.Status, Header: ans.Header})
	if err := a.copyAnswer(ctx, ans); err != nil {
		a.Buffer.Fail(a.classifyCopyError(err))
		a.cancelAtEngine()
		return
	}
	a.Buffer.Finish()
}

// reportOutcome reports to the quarantine guard how the attempt ended at its endpoint.
func (a *Attempt) reportOutcome(guard core.Guard) {
	_, err := a.Buffer.Done()
	switch {
	case err == nil:
		if a.status < http.StatusInternalServerError {
			guard.Served(a.Digest)
		}
	case err.Code == core.CodeEndpointBroken:
		// The request may have run: the endpoint is never sent more requests than it has
		// slots, so it had started on this one.
		guard.ConnectionLost(core.LostRequest{Digest: a.Digest, Runner: a.instance.runner(a.Runner), Route: a.Service, Service: a.Service, MayHaveRun: true})
	}
}

func (a *Attempt) call() core.Call {
	return core.Call{
		Attempt:      a.AttemptID,
		Method:       a.Method,
		Path:         a.Path,
		Header:       a.Header,
		Body:         a.Body,
		Repeatable:   a.Repeatable,
		Class:        a.Class,
		StallTimeout: a.stall,
	}
}

// copyAnswer copies the answer to the buffer. When the connection breaks or stalls, the
// engine may still hold the stream, so the answer is resumed at the same offset over a new
// connection; the caller sees neither a gap nor a repetition.
func (a *Attempt) copyAnswer(ctx context.Context, ans *core.Answer) error {
	tail := &tailCheck{enabled: core.IsEventStream(ans.Header)}
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

// tailCheck keeps the last bytes of an event stream to check that it ends with its end
// marker.
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

// complete reports whether the stream has ended behind its end marker, outside an event.
func (t *tailCheck) complete() bool {
	if !t.enabled {
		return true
	}
	at := bytes.LastIndex(t.tail, doneMarker)
	if at < 0 || at > 0 && t.tail[at-1] != '\n' && t.tail[at-1] != '\r' {
		return false
	}
	ends := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(t.tail[at+len(doneMarker):]))
	return len(ends) > 1 && strings.Trim(ends, "\n") == ""
}

// classifyCopyError maps an error of copyAnswer to the error that the caller receives:
// deadline, cancelled, or a broken endpoint.
func (a *Attempt) classifyCopyError(err error) *core.RequestError {
	if a.ctx.Err() != nil {
		if !a.clock.Now().Before(a.Deadline) {
			e := core.MayHaveRun("deadline", "the answer was not complete by the deadline")
			e.Status = http.StatusGatewayTimeout
			return e
		}
		return core.MayHaveRun("cancelled", "the caller disconnected")
	}
	return core.MayHaveRun(core.CodeEndpointBroken, err.Error())
}

// cancelAtEngine cancels the attempt at the engine, so that the engine does not work on an
// answer that nobody reads.
func (a *Attempt) cancelAtEngine() {
	if a.Model == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.endpoint.Cancel(ctx, a.AttemptID)
}

// attempts is an index of attempts by ID. An ID stays known for a while after the attempt
// has ended, so that a dispatch that the transport sends twice joins the first attempt
// instead of running again.
type attempts struct {
	mu    sync.Mutex
	byID  map[string]*Attempt
	limit int64      // bytes of the answers of ended attempts
	ended []*Attempt // whose answers are held, oldest first
	held  int64      // bytes of these
}

// end holds the answer of an attempt that has ended. The oldest ones that nobody reads are released beyond the limit.
func (m *attempts) end(a *Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = append(m.ended, a)
	a.heldBytes = a.Buffer.Size()
	m.held += a.heldBytes
	for m.held > m.limit && len(m.ended) > 0 {
		m.release(m.ended[0])
	}
}

// release drops the answer of the attempt that ended first. One that is being read is dropped by a sweep. The caller
// holds the lock.
func (m *attempts) release(oldest *Attempt) {
	m.ended[0] = nil
	m.ended = m.ended[1:]
	m.held -= oldest.heldBytes
	if oldest.Buffer.Readers() == 0 {
		oldest.Buffer.Release()
	}
}

// register adds an attempt. If its ID is already known, it returns the existing attempt
// and false.
func (m *attempts) register(a *Attempt) (*Attempt, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if existing, ok := m.byID[a.AttemptID]; ok {
		return existing, false
	}
	m.byID[a.AttemptID] = a
	return a, true
}

func (m *attempts) get(id string) (*Attempt, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.byID[id]
	return a, ok
}

// sweep releases the answers of attempts that ended more than releaseAfter ago, forgets
// their IDs after forgetAfter, and cancels attempts that have had no reader for
// orphanAfter if their request is repeatable.
func (m *attempts) sweep(now time.Time, releaseAfter, forgetAfter, orphanAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.ended) > 0 && !m.ended[0].endedAt.IsZero() && now.Sub(m.ended[0].endedAt) > releaseAfter {
		m.release(m.ended[0])
	}
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

// cancelIfOrphaned cancels a repeatable attempt that no entry has read for longer than
// after.
func (a *Attempt) cancelIfOrphaned(now time.Time, after time.Duration) {
	if a.Buffer.Readers() > 0 || !a.Repeatable {
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
