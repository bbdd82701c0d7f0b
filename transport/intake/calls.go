package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// errNoRoom ends a call for whose message there is no room.
var errNoRoom = errors.New(overloaded().Message)

// Calls returns a handler that holds each call of multiplexed connections to the limits: its head and its message are
// charged, and a call whose message makes no progress ends to make room for others. Calls for which reserved returns true
// are served while requests take up all memory.
func (i *Intake) Calls(next http.Handler, reserved func(*http.Request) bool) http.Handler {
	return &calls{intake: i, next: next, isReserved: reserved, reserved: i.addPort(Port{Name: "calls", Reserved: true}), other: i.addPort(Port{Name: "requests"})}
}

type calls struct {
	intake          *Intake
	next            http.Handler
	isReserved      func(*http.Request) bool
	reserved, other *port
}

// ServeHTTP implements http.Handler.
func (h *calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &Conn{stop: callEnd{http.NewResponseController(w)}, intake: h.intake, port: h.other}
	if h.isReserved(r) {
		c.port = h.reserved
	}
	h.intake.admit(c)
	defer c.end()
	if !c.charge(costOf(r)) || !c.to(phaseBody) {
		http.Error(w, errNoRoom.Error(), http.StatusServiceUnavailable)
		return
	}
	r.Body = &message{ReadCloser: r.Body, call: c}
	h.next.ServeHTTP(w, r)
}

// costOf returns the memory that a request whose head has been parsed may take.
func costOf(r *http.Request) int {
	h := head{}
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			h.lines++
		}
	}
	return h.cost(size)
}

// message is the body of a call.
type message struct {
	io.ReadCloser
	call  *Conn
	taken int
}

// Read implements io.Reader. It fails if there is no room for what has been read.
func (m *message) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	if n > 0 {
		m.taken += n
		if !m.call.chargeBody(n, m.taken) {
			return 0, errNoRoom
		}
		m.call.advance(n)
	}
	if err == io.EOF {
		m.call.to(phaseWhole)
	}
	return n, err
}

// callEnd ends the read of a call's message. Other calls on the same connection go on.
type callEnd struct{ control *http.ResponseController }

// Close implements io.Closer.
func (e callEnd) Close() error { return e.control.SetReadDeadline(time.Unix(1, 0)) }
