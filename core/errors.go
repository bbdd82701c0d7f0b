package core

import (
	"errors"
	"net/http"
	"time"
)

// Sentinel errors; callers test them with errors.Is.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("version conflict")
	ErrOvertaken   = errors.New("written, then overwritten")
	ErrExists      = errors.New("already exists")
	ErrUnavailable = errors.New("unavailable")
	ErrInvalid     = errors.New("invalid")
	ErrOverCommit  = errors.New("memory would be over-committed")
	ErrLastReplica = errors.New("last ready replica")
	ErrStaleFence  = errors.New("stale fencing number")
	ErrGone        = errors.New("no longer held")
)

// Outcome says what is known of a request that got no whole answer.
type Outcome string

// Outcomes. OutcomeNotRun is only used when no endpoint can have seen the
// request.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// CodeOverloaded and CodeLimited are the codes of refusals by runners with too long a queue,
// and by those that take no more requests for now by the limit that they name.
const (
	CodeOverloaded = "overloaded"
	CodeLimited    = "limited"
)

// CodeEndpointBroken is the code of an attempt whose endpoint closed the connection, or
// went silent, before a whole answer.
const CodeEndpointBroken = "endpoint_broken"

// RequestError is the final answer to a request that was not served whole.
type RequestError struct {
	Outcome Outcome
	Status  int           // HTTP status for the caller
	Code    string        // machine-readable cause
	Message string        // one sentence for people
	Retry   time.Duration // when another try may help; 0: not known to help
}

func (e *RequestError) Error() string {
	return e.Code + ": " + e.Message + " (" + string(e.Outcome) + ")"
}

// NotRun makes a refusal of a request that no endpoint has seen.
func NotRun(status int, code, message string, retry time.Duration) *RequestError {
	return &RequestError{Outcome: OutcomeNotRun, Status: status, Code: code, Message: message, Retry: retry}
}

// MayHaveRun makes the answer to a request that an endpoint may have served.
func MayHaveRun(code, message string) *RequestError {
	return &RequestError{Outcome: OutcomeMayHaveRun, Status: http.StatusBadGateway, Code: code, Message: message}
}

// AsRequestError returns err's RequestError. Any other error becomes one that
// makes no claim beyond may_have_run.
func AsRequestError(err error) *RequestError {
	var re *RequestError
	if errors.As(err, &re) {
		return re
	}
	return MayHaveRun("internal", err.Error())
}
