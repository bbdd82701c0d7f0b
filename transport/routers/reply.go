// Package routers serves callers over HTTP through the native interface. It reads and
// validates requests and writes answers; package entry processes the requests.
package routers

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"primroseward/core"
	"primroseward/io/tcp"
	"primroseward/state/answer"
)

// writeTimeout is how long a caller may take to accept one write.
const writeTimeout = 30 * time.Second

// errorBody is an error in the format of the OpenAI API, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Param   *string      `json:"param"`
	Outcome core.Outcome `json:"outcome"`
	Request string       `json:"request_id,omitempty"`
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func newErrorBody(w http.ResponseWriter, e *core.RequestError) errorBody {
	return errorBody{errorDetail{
		Message: e.Message,
		Type:    errorType(e.Status),
		Code:    e.Code,
		Outcome: e.Outcome,
		Request: w.Header().Get(core.HeaderRequest),
	}}
}

// writeError answers with an error.
func writeError(w http.ResponseWriter, err error) {
	e := core.AsRequestError(err)
	h := w.Header()
	h.Set(core.HeaderOutcome, string(e.Outcome))
	if e.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.Retry.Seconds()))))
	}
	writeJSON(w, e.WireStatus(), newErrorBody(w, e))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errDisconnected is returned when the caller can no longer be written to.
var errDisconnected = errors.New("the caller has disconnected")

// writeAnswer copies an answer to the caller, starting at an offset. If the answer breaks off,
// the connection is aborted, so that the caller's client sees an error instead of an answer
// that looks complete.
func (a *API) writeAnswer(w http.ResponseWriter, r *http.Request, request string, buf *answer.Buffer, offset int64) error {
	ctx := r.Context()
	detach := buf.Attach()
	defer detach()
	head, err := buf.Head(ctx)
	if err != nil {
		if gone := ctx.Err(); gone != nil {
			return a.disconnected(request, offset, gone)
		}
		writeError(w, err)
		return nil
	}
	copyHeader(w.Header(), head.Header)
	if offset > 0 {
		w.Header().Del("Content-Length")
	}
	markComplete := tcp.ResetUntilComplete(r)
	w.WriteHeader(head.Status)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		data, complete, err := buf.Next(ctx, offset)
		switch {
		case ctx.Err() != nil:
			return a.disconnected(request, offset, ctx.Err())
		case err != nil:
			a.cut(request, head.Status, offset, err)
			abort(w, control, head, err)
		case complete:
			markComplete()
			return nil
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(data); err != nil {
			return a.disconnected(request, offset, err)
		}
		if err := control.Flush(); err != nil {
			return a.disconnected(request, offset, err)
		}
		offset += int64(len(data))
	}
}

// abort aborts the connection. In an event stream it sends the error as an event first.
func abort(w http.ResponseWriter, control *http.ResponseController, head *answer.Head, err error) {
	if head.Header.Get("Content-Type") == "text/event-stream" {
		data, _ := json.Marshal(newErrorBody(w, core.AsRequestError(err)))
		_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
		_ = control.Flush()
	}
	panic(http.ErrAbortHandler)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
