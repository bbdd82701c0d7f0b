package runner

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

// Point is a place in a runner's work at which it may fall silent.
type Point string

const (
	// InBody is where an eighth of a request's body has been read.
	InBody Point = "in a body sent to it"
	// InReport is where a health check has arrived and is not answered yet.
	InReport Point = "in a health check"
	// InOrder is where an order has arrived and is not answered yet.
	InOrder Point = "in an order"
)

// SetSilence makes the runner fall silent at each point for which fn returns a duration. fn may be
// called by several requests at once.
func (s *Server) SetSilence(fn func(p Point) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenceAt = fn
}

// pass falls silent if the runner is to do so at a point.
func (s *Server) pass(p Point) {
	s.mu.Lock()
	fn := s.silenceAt
	s.mu.Unlock()
	if fn == nil {
		return
	}
	if d := fn(p); d > 0 {
		s.Silence(d)
		s.awaitSilence()
	}
}

// readBody reads the body of a request, and passes InBody on the way.
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := io.CopyN(&body, r.Body, r.ContentLength/8); r.ContentLength > 0 && err != nil {
		return nil, err
	}
	if r.ContentLength > 0 {
		s.pass(InBody)
	}
	_, err := body.ReadFrom(r.Body)
	return body.Bytes(), err
}

// writePieces writes a raw answer, and falls silent before the byte at which it is to.
func (s *Server) writePieces(conn net.Conn, data []byte, a *Raw) error {
	if a.Pause > 0 {
		at := min(a.PauseAt, len(data))
		if a.PauseAt < 0 {
			at = len(data) + a.PauseAt
		}
		if _, err := conn.Write(data[:at]); err != nil {
			return err
		}
		data = data[at:]
		s.Silence(a.Pause)
		s.awaitSilence()
	}
	_, err := conn.Write(data)
	return err
}
