package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"primroseward/core"
	"primroseward/state/answer"
	"primroseward/state/directory"
)

// holdBack is how much of an answer that is not a stream of events is kept
// back until it is whole, so that a broken attempt can be replaced unseen.
const holdBack = 1 << 20

// relay passes attempts' answers on to the caller's buffer in such portions
// that a following attempt can take over: whole events of a stream, or
// the whole answer if it is short.
type relay struct {
	ask    *Ask
	out    *answer.Buffer
	runner directory.Report
	got    int64 // bytes received from all attempts
	events bool
	head   *answer.Head // kept back with pending
	part   []byte       // kept back
	passed bool         // something has been passed on
	again  bool         // this attempt continues another's stream
}

func newRelay(a *Ask, out *answer.Buffer) *relay {
	return &relay{ask: a, out: out}
}

// begin drops what an earlier attempt left incomplete.
func (r *relay) begin(runner directory.Report) {
	r.runner = runner
	r.head = nil
	r.part = nil
	r.again = r.passed
}

func (r *relay) received() int64 { return r.got }

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Proxy-Connection", core.HeaderRequestID}

// SetHead takes an attempt's head. That of a stream goes on at once.
func (r *relay) SetHead(h answer.Head) {
	h.Header = h.Header.Clone()
	if h.Header == nil {
		h.Header = http.Header{}
	}
	for _, name := range hopHeaders {
		h.Header.Del(name)
	}
	h.Header.Set(core.HeaderRunner, r.runner.Runner)
	h.Header.Set(core.HeaderPlace, r.runner.Place)
	r.head = &h
	r.events = h.Status == http.StatusOK && strings.HasPrefix(h.Header.Get("Content-Type"), "text/event-stream")
	if r.events {
		h.Header.Del("Content-Length")
		r.out.SetHead(h)
	}
}

// Append takes an attempt's data.
func (r *relay) Append(ctx context.Context, data []byte) error {
	r.got += int64(len(data))
	r.part = append(r.part, data...)
	if r.events {
		return r.passEvents(ctx)
	}
	if len(r.part) > holdBack {
		return r.flush(ctx)
	}
	return nil
}

var eventEnd = []byte("\n\n")

func (r *relay) passEvents(ctx context.Context) error {
	i := bytes.LastIndex(r.part, eventEnd)
	if i < 0 {
		return nil
	}
	whole := r.part[:i+len(eventEnd)]
	r.part = append([]byte(nil), r.part[len(whole):]...)
	if r.again {
		whole = dropEmpty(whole)
	}
	r.passed = true
	return r.out.Append(ctx, whole)
}

// flush passes on the head and what was kept back.
func (r *relay) flush(ctx context.Context) error {
	r.passed = true
	if r.head != nil {
		r.out.SetHead(*r.head)
	}
	part := r.part
	r.part = nil
	return r.out.Append(ctx, part)
}

// end passes on the rest of a whole answer, or says why it is none. An engine
// that turns a request down is an attempt that failed, so that another runner
// is asked.
func (r *relay) end(ctx context.Context) error {
	if r.events {
		if len(bytes.TrimSpace(r.part)) > 0 {
			return core.MayHaveRun("broken_event", "the stream ended inside an event")
		}
		return nil
	}
	if r.head != nil && !r.passed && r.ask.Model != "" && r.ask.Repeat && refusal(r.head.Status) {
		return core.MayHaveRun("engine_refused", http.StatusText(r.head.Status))
	}
	// An engine that ends its HTTP message in the middle of the answer marks an
	// end that is none; only the answer's own form shows it.
	if r.head != nil && !r.passed && r.ask.Model != "" && isJSON(r.head.Header) && !json.Valid(r.part) {
		return core.MayHaveRun("broken_answer", "the answer is not whole JSON")
	}
	return r.flush(ctx)
}

func isJSON(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "application/json")
}

func refusal(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError:
		return true
	}
	return false
}

// canContinue says whether another attempt can go on where the last stopped.
func (r *relay) canContinue() bool {
	if !r.passed {
		return true
	}
	if !r.events || !strings.HasPrefix(r.ask.Path, pathChat) {
		return false
	}
	d := r.delivered()
	return d.plain
}

// body is the request of the next attempt: the caller's own, or one that
// continues the text delivered so far.
func (r *relay) body() []byte {
	if !r.passed {
		return r.ask.Body
	}
	d := r.delivered()
	if d.tokens == 0 {
		return r.ask.Body
	}
	return d.continued(r.ask.Body)
}
