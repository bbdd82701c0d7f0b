package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"primroseward/core"
	"primroseward/io/retain"
	"primroseward/transport/intake"
)

// codeLateBody is the code of a refusal of a request whose body has not arrived in time.
const codeLateBody = "late_body"

// endsBody reports whether a refusal may have ended the read of its request's body.
func endsBody(e *core.RequestError) bool { return e.Code == core.CodeLeaving || e.Code == codeLateBody }

// timeLimit returns how long the caller of a request waits for its answer.
func timeLimit(route *core.Route, q *core.Request) time.Duration {
	limit := route.Timeout
	if q.Timeout > 0 && (limit <= 0 || q.Timeout < limit) {
		limit = q.Timeout
	}
	return limit
}

// readBody reads a request's body, if there is room for it, within the time limit of the request; 0: there is none.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, body *retain.Body) error {
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	if timeout > 0 && r.ContentLength != 0 {
		endReadIn(w, timeout)
	}
	complete := waitingOf(w, r).wait(func() { endRead(w) })
	var err error
	if limit > 0 && r.ContentLength > limit {
		endReadIn(w, intake.DrainTime)
		_, _ = io.Copy(io.Discard, r.Body)
		err = &http.MaxBytesError{Limit: limit}
	} else {
		err = body.Read(r.Body, r.ContentLength, f.bodies)
	}
	ended := complete()
	var large *http.MaxBytesError
	switch {
	case ended:
		return refuseLeaving()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return core.NotRun(http.StatusRequestTimeout, codeLateBody, "the body was not complete within the time limit of the request", 0)
	case errors.Is(err, retain.ErrFull):
		return core.NotRun(http.StatusServiceUnavailable, core.CodeOverloaded, err.Error(), fullRetry)
	case errors.Is(err, retain.ErrLarge):
		return core.NotRun(http.StatusRequestEntityTooLarge, "too_large", err.Error(), 0)
	case errors.As(err, &large):
		return core.NotRun(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes", 0)
	case err != nil:
		return core.NotRun(http.StatusBadRequest, "bad_body", err.Error(), 0)
	}
	return nil
}

// answerAndSkipBody refuses a request before its body has been read, and then reads the body: a connection that is
// closed with unread bytes is reset, and the caller may lose the answer. The server itself would read first, and a
// caller that sends nothing more would wait for its answer.
func (f *Front) answerAndSkipBody(w http.ResponseWriter, r *http.Request, e *core.RequestError) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // otherwise the server would read 256 KiB first
	writeError(w, e)
	_ = control.Flush() // an error means that the caller has disconnected, as below
	complete := waitingOf(w, r).wait(func() { endRead(w) })
	defer complete()
	_, _ = io.CopyN(io.Discard, r.Body, intake.DrainBytes)
}
