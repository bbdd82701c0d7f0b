package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"primroseward/core"
	"primroseward/state/answer"
	"primroseward/state/directory"
)

// errOtherVersion: the runner that was to continue a stream has another software version than the one
// that began it; what two versions write does not fit together.
var errOtherVersion = errors.New("another software version than the one that began the stream")

// maxWithheld is how many bytes of an answer that is not an event stream are
// withheld until it is complete. Until then a failed attempt can be replaced
// without the caller noticing.
const maxWithheld = 1 << 20

// relay forwards the answers of attempts to the caller's buffer. It forwards
// complete events of a stream, or the complete answer if it is short, so that
// another attempt can continue after a failure.
type relay struct {
	request       *Request
	out           *answer.Buffer
	runner        directory.Report
	receivedBytes int64 // body bytes received, over all attempts
	status        int   // of the latest answer
	eventStream   bool
	head          *answer.Head // withheld together with pending
	pending       []byte       // body bytes withheld
	forwarded     bool         // whether anything was forwarded to the caller
	ranBefore     bool         // whether an earlier attempt may have run
	continuing    bool         // whether this attempt continues an earlier attempt's stream
	version       string       // of the software of the runner that brought the first event
}

func newRelay(a *Request, out *answer.Buffer) *relay {
	return &relay{request: a, out: out}
}

// beginAttempt discards the withheld data of an earlier attempt.
func (r *relay) beginAttempt(runner directory.Report) {
	r.runner = runner
	r.head = nil
	r.pending = nil
	r.continuing = r.forwarded
}

// received returns the number of body bytes received, over all attempts.
func (r *relay) received() int64 { return r.receivedBytes }

// hopHeaders are the headers that apply to one connection and are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Proxy-Connection", core.HeaderRequestID}

// SetHead receives the head of an attempt's answer. The head of an event stream is
// forwarded at once.
func (r *relay) SetHead(h answer.Head) {
	h.Header = h.Header.Clone()
	if h.Header == nil {
		h.Header = http.Header{}
	}
	for _, name := range hopHeaders {
		h.Header.Del(name)
	}
	h.Header.Set(core.HeaderRunner, r.runner.Runner)
	h.Header.Set(core.HeaderDataCentre, r.runner.DataCentre)
	r.head, r.status = &h, h.Status
	r.eventStream = h.Status == http.StatusOK && core.IsEventStream(h.Header)
	if r.eventStream {
		h.Header.Del("Content-Length")
		r.out.SetHead(h)
	}
}

// Append receives body data of an attempt's answer.
func (r *relay) Append(ctx context.Context, data []byte) error {
	if r.continuing && r.head != nil && r.head.Header.Get(core.HeaderVersion) != r.version {
		return errOtherVersion
	}
	r.receivedBytes += int64(len(data))
	r.pending = append(r.pending, data...)
	if r.eventStream {
		return r.forwardEvents(ctx)
	}
	if len(r.pending) > maxWithheld {
		return r.flush(ctx)
	}
	return nil
}

var eventSeparator = []byte("\n\n")

// forwardEvents forwards the complete events received so far.
func (r *relay) forwardEvents(ctx context.Context) error {
	i := bytes.LastIndex(r.pending, eventSeparator)
	if i < 0 {
		return nil
	}
	whole := r.pending[:i+len(eventSeparator)]
	r.pending = append([]byte(nil), r.pending[len(whole):]...)
	if r.continuing {
		whole = dropEmptyEvents(whole)
	}
	if !r.forwarded && r.head != nil {
		r.version = r.head.Header.Get(core.HeaderVersion)
	}
	r.forwarded = true
	return r.out.Append(ctx, whole)
}

// flush forwards the withheld head and data.
func (r *relay) flush(ctx context.Context) error {
	if !r.forwarded && r.ranBefore && r.head != nil && core.PromisesNotRun(r.head.Status) {
		return core.MayHaveRun("engine_refused", http.StatusText(r.head.Status)) // it holds for this attempt alone
	}
	r.forwarded = true
	if r.head != nil {
		r.out.SetHead(*r.head)
	}
	pending := r.pending
	r.pending = nil
	return r.out.Append(ctx, pending)
}

// finish forwards the rest of a complete answer, or returns an error if the answer
// is incomplete. A rejection by the engine counts as a failed attempt, so that
// another runner is tried.
func (r *relay) finish(ctx context.Context) error {
	if r.eventStream {
		if len(bytes.TrimSpace(r.pending)) > 0 {
			return core.MayHaveRun("broken_event", "the stream ended inside an event")
		}
		return nil
	}
	if r.head != nil && !r.forwarded && r.request.Model != "" && r.request.Repeatable && isRejection(r.head.Status) {
		return core.MayHaveRun("engine_refused", http.StatusText(r.head.Status))
	}
	// An engine can end its HTTP message properly in the middle of the answer.
	// Only the JSON syntax then shows that the answer is incomplete.
	if r.head != nil && !r.forwarded && r.request.Model != "" && isJSON(r.head.Header) && !json.Valid(r.pending) {
		return core.MayHaveRun("broken_answer", "the answer is not complete JSON")
	}
	return r.flush(ctx)
}

func isJSON(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "application/json")
}

// isRejection reports whether a status is a rejection that another runner may not
// give. Other client errors are the fault of the caller's request.
func isRejection(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError:
		return true
	}
	return false
}

// canContinue reports whether another attempt can continue the answer where the
// last attempt failed.
func (r *relay) canContinue() bool {
	if !r.forwarded {
		return true
	}
	if !r.eventStream || !strings.HasPrefix(r.request.Path, pathChat) {
		return false
	}
	d := r.delivered()
	return d.continuable
}

// nextBody returns the request body of the next attempt: the caller's, or one that
// continues the text delivered so far.
func (r *relay) nextBody() []byte {
	if !r.forwarded {
		return r.request.Body
	}
	d := r.delivered()
	if d.tokens == 0 {
		return r.request.Body
	}
	return d.continuation(r.request.Body)
}
