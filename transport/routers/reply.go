// Package routers answers callers over HTTP. It reads and checks requests and
// writes answers; the work is done by the entry.
package routers

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"primroseward/core"
	"primroseward/state/answer"
)

// writeTimeout is how long a caller may take to accept one portion.
const writeTimeout = 30 * time.Second

// errorBody is OpenAI's error shape with the outcome added.
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

func detail(w http.ResponseWriter, e *core.RequestError) errorBody {
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
	writeJSON(w, e.Status, detail(w, e))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errGone says that the caller can no longer be written to.
var errGone = errors.New("the caller has gone")

// writeAnswer copies an answer from an offset to the caller. An answer that
// breaks off must not look whole: the connection is aborted, so that the
// caller's client sees an error and not an end.
func writeAnswer(ctx context.Context, w http.ResponseWriter, buf *answer.Buffer, offset int64) error {
	detach := buf.Attach()
	defer detach()
	head, err := buf.Head(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return errGone
		}
		writeError(w, err)
		return nil
	}
	copyHeader(w.Header(), head.Header)
	if offset > 0 {
		w.Header().Del("Content-Length")
	}
	w.WriteHeader(head.Status)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		data, whole, err := buf.Next(ctx, offset)
		switch {
		case ctx.Err() != nil:
			return errGone
		case err != nil:
			abort(w, control, head, err)
		case whole:
			return nil
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(data); err != nil {
			return errGone
		}
		if control.Flush() != nil {
			return errGone
		}
		offset += int64(len(data))
	}
}

// abort tells why in the stream, where it has a form for that, and cuts the
// connection.
func abort(w http.ResponseWriter, control *http.ResponseController, head *answer.Head, err error) {
	if head.Header.Get("Content-Type") == "text/event-stream" {
		data, _ := json.Marshal(detail(w, core.AsRequestError(err)))
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
