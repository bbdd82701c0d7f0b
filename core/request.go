package core

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Request is one request of a caller, read from the wire. A caller's retry is a new
// Request with another ID.
type Request struct {
	ID              string // chosen by the caller, unique for each send
	Method          string
	Host            string
	Path            string      // decoded for routing
	Target          string      // path and query as sent
	Header          http.Header // headers that are forwarded to the endpoint
	Body            []byte
	Timeout         time.Duration // how long the caller waits; 0: not given
	Arrived         time.Time
	Model           string
	Adapter         string
	InputTokens     int      // tokens of the prompt
	MaxOutputTokens int      // most tokens of the answer
	TokensKnown     bool     // InputTokens and MaxOutputTokens are given
	SharedParts     []string // IDs of the parts of the prompt that other requests may have too
	LastEvent       string   // id of the last event that the caller has received
	Resumes         string   // id of the caller's earlier attempt that brought the first event of the stream; empty if not given
	Caller          netip.Addr
	Digest          Digest     // of the request, the same when the caller retries
	Key             KeyID      // of the caller, if callers need a key
	Workspace       *Workspace // to which the key belongs; nil: no key is needed
	Forward         *Forward   // set if another daemon has passed the request on
	// Gone reports whether the caller has closed its connection; nil: not known.
	Gone func() bool
}

// Outgoing holds the values of the headers that the system itself adds to a request to an
// endpoint.
type Outgoing struct {
	Timeout   time.Duration
	Instance  string // any other instance of the runner must reject the request
	Priority  int    // 0 is the most urgent; below 0: not sent
	Workspace string // of the caller; empty: none
	LastEvent string // resume after this event
	// Accepts reports whether the request may still be sent. It is called just before the
	// request is written, as dialing a connection takes a while; nil: it may.
	Accepts func() bool
	// Began is called when the endpoint has sent a first part of its answer; nil: nothing is called.
	Began   func()
	Forward *Forward // set if the request goes to another daemon
}

// ReplyInfo holds what the headers of an endpoint's answer state.
type ReplyInfo struct {
	RequestID string
	Unread    bool // another daemon has refused the last request on the connection before it read its id
	NotRun    bool // the endpoint states that it did not run the request
	Stamped   bool // the answer carries the endpoint's signature
	Encoded   bool // the body is encoded, although no encoding was requested
	Load      *Load
	Limit     RateLimit
	Leaving   Leaving
	Brittle   Brittle
	Backoff   Backoff // only with status 503
	Instance  string  // ID of the instance that answered; empty if not stated
	Runs      int     // sends that may have run, as another daemon states in its answer to a forwarded request
	Origin    *Origin // of the stream; from another daemon as that one states it, nil: it does not
}

// Framing is how the end of an answer's body is marked on the wire.
type Framing string

// Framings.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	FramingClose   Framing = "close" // the body ends with its connection
)

// maxStatus is the largest status that has a meaning.
const maxStatus = 599

// FramingOf returns how the end of an answer's body is marked.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}

// ErrStatus means that the status of an answer is none that ends a request. What follows it is no answer either.
var ErrStatus = errors.New("invalid status")

// CheckStatus returns ErrStatus unless the status is that of a final answer, 200 to 599.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w %03d", ErrStatus, status)
	}
	return nil
}

// CheckInterim returns ErrStatus unless a status below 200 is that of an answer which another one follows. Switching
// protocols is none, as it is never asked for. A body would be read as the next answer.
func CheckInterim(resp *http.Response) error {
	hasBody := resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0 || resp.Header.Get("Transfer-Encoding") != ""
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols || hasBody {
		return fmt.Errorf("%w %03d of an interim answer", ErrStatus, resp.StatusCode)
	}
	return nil
}

// IsEventStream reports whether the headers of an answer state that it is a series of events.
func IsEventStream(h http.Header) bool {
	return strings.HasPrefix(strings.ToLower(h.Get("Content-Type")), "text/event-stream")
}

// Reply is an endpoint's answer.
type Reply struct {
	Status  int
	Header  http.Header
	Info    ReplyInfo
	Framing Framing
	// Body ends with io.EOF only if the answer is complete. Closing it earlier
	// closes the connection, and the endpoint then stops working on the request.
	Body io.ReadCloser
}

// Dialect reads and writes the wire format of requests, answers, orders and reports.
type Dialect interface {
	// ReadKey returns the ID of the caller's key. Its error is ErrKey.
	ReadKey(h http.Header) (KeyID, error)
	// DropKey removes the caller's key from headers that are forwarded to a runner.
	DropKey(h http.Header)
	// ReadRequest fails with ErrInvalid if a request lacks what the format
	// requires. It does not read the body.
	ReadRequest(r *http.Request) (*Request, error)
	// RequestID returns the caller's id of a request, empty if it has none.
	RequestID(h http.Header) string
	// WriteOutgoing sets the system's own headers.
	WriteOutgoing(h http.Header, o Outgoing)
	// WriteInstance sets the header that makes any other instance of a runner
	// reject the call.
	WriteInstance(h http.Header, id string)
	ReadReply(status int, h http.Header) ReplyInfo
	WriteOrder(o RunnerOrder) (path string, body []byte, err error)
	ReadOrder(status int) OrderResult
	ReportPath() string
	ReadReport(body []byte) (*Report, error)
}

// Errors of sending a request to an endpoint.
var (
	// ErrNotSent: no byte of the request was sent, so it cannot have run.
	ErrNotSent = errors.New("request was not sent")
	// ErrWithdrawn: Outgoing.Accepts returned false. It is returned together with ErrNotSent.
	ErrWithdrawn = errors.New("the runner no longer accepts requests")
	// ErrNoListener: the runner's VM is reachable, but no process listens at the
	// runner's address. protocol/runner returns it together with ErrNotSent.
	ErrNoListener = errors.New("nothing listens at the runner's address")
	// ErrAnswerLost: the request was sent and no complete answer arrived; it may have run.
	ErrAnswerLost = errors.New("no complete answer")
	// ErrClosed: the runner closed the connection before the answer was complete. It is
	// returned together with ErrAnswerLost.
	ErrClosed = errors.New("the runner closed the connection")
	// ErrReplaced: another instance of the runner answers at its address.
	ErrReplaced = errors.New("another instance answers")
	// ErrMismatchedAnswer: the answer is not the endpoint's answer to this request.
	ErrMismatchedAnswer = errors.New("answer to another request")
)
