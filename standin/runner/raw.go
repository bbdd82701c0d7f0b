package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"primroseward/core"
	"primroseward/platform"
	"primroseward/standin/faults"
)

// rawChunk is the size of the chunks of a raw answer in bytes, resetDelay the time that its last
// bytes get to arrive before the connection is reset.
const (
	rawChunk   = 16 << 10
	resetDelay = 20 * time.Millisecond
)

// Raw is an answer that the runner writes byte by byte, and with which its connection ends.
type Raw struct {
	Old     bool         // as HTTP/1.0
	Framing core.Framing // how the end of the body is marked
	Body    string
	Cut     bool // the connection ends before the end that the framing promises
	Reset   bool // the connection is reset
	// CutHead is the number of bytes of the head after which the connection ends, from the end of the head if
	// negative; 0: the head is whole.
	CutHead int
	// The runner falls silent for Pause before the byte at PauseAt of the answer, of which its head is a
	// part; if negative, counted from the end.
	Pause   time.Duration
	PauseAt int
	Exit    bool // the runner's listener ends before the connection, as in the exit of a process
	// Endless is what the runner writes again and again, until the caller closes the connection, instead of
	// an answer; empty: it answers. EndlessInterval is the time between two of them, each of which is
	// repeated to some kilobytes if it is 0. EndlessHead is written once before them.
	Endless         string
	EndlessHead     string
	EndlessInterval time.Duration
	// Early is set for an answer that is given before the request's body has been read, but for its first Read bytes. If
	// the connection is reset, it is at once; otherwise the rest of the body is read after the end of the answer, unless
	// Unread is set.
	Early  bool
	Read   int64
	Unread bool
}

// SetRaw makes the runner answer the requests that it has begun to run with what fn returns; nil:
// as usual. fn may be called by several requests at once.
func (s *Server) SetRaw(fn func(r *http.Request) *Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = fn
}

// SetEarly makes the runner answer requests before it has read their bodies with what fn returns, which must be Early; nil: as
// usual. fn may be called by several requests at once.
func (s *Server) SetEarly(fn func(r *http.Request) *Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.early = fn
}

// writeEarly answers a request before its body has been read, if it is to. The request counts as run, without its body.
func (s *Server) writeEarly(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	fn := s.early
	s.mu.Unlock()
	model := r.Header.Get(platform.HeaderModel)
	name, adapter, _ := strings.Cut(model, "/")
	if fn == nil || r.Header.Get(platform.HeaderInstance) != s.ID || model != "" && !s.IsLoaded(name, adapter) {
		return false
	}
	raw := fn(r)
	if raw == nil {
		return false
	}
	id := r.Header.Get(platform.HeaderRequestID)
	s.recordArrival(id, w.Header())
	s.announce(w.Header())
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderStamp, s.ID+"."+id)
	s.mu.Lock()
	s.runs = append(s.runs, Run{ID: id, Target: r.RequestURI, Model: model, Header: r.Header.Clone(), At: time.Now()})
	s.mu.Unlock()
	_, _ = io.CopyN(io.Discard, r.Body, raw.Read) // fails if the caller has disconnected
	s.write(raw, w)
	return true
}

// SetRawControl is SetRaw for reports and orders.
func (s *Server) SetRawControl(fn func(r *http.Request) *Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rawControl = fn
}

// writeRaw writes the raw answer that a function gives to a request, if there is one.
func (s *Server) writeRaw(w http.ResponseWriter, r *http.Request, of *func(r *http.Request) *Raw) bool {
	s.mu.Lock()
	fn := *of
	s.mu.Unlock()
	if fn == nil {
		return false
	}
	raw := fn(r)
	if raw != nil {
		s.write(raw, w)
	}
	return raw != nil
}

// write writes a raw answer on the connection of a request and ends it. Errors mean that the caller
// has disconnected.
func (s *Server) write(a *Raw, w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if a.Endless != "" {
		faults.WriteEndless(conn, a.EndlessHead, a.Endless, a.EndlessInterval)
		return
	}
	var head strings.Builder
	version := 1
	if a.Old {
		version = 0
	}
	fmt.Fprintf(&head, "HTTP/1.%d 200 OK\r\n", version)
	if a.Framing != core.FramingClose {
		head.WriteString("Connection: close\r\n") // otherwise the next request may be sent on it
	}
	_ = w.Header().Write(&head) // writing to a strings.Builder does not fail
	body := []byte(a.Body)
	switch a.Framing {
	case core.FramingLength:
		announced := len(body)
		if a.Cut {
			announced++
		}
		fmt.Fprintf(&head, "Content-Length: %d\r\n", announced)
	case core.FramingChunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
		body = a.chunks()
	}
	head.WriteString("\r\n")
	if a.CutHead != 0 {
		text := head.String()
		n := a.CutHead
		if n < 0 {
			n += len(text)
		}
		_, _ = conn.Write([]byte(text[:min(max(0, n), len(text)-1)])) // fails if the caller has disconnected
		return
	}
	// In one piece, so that a path that drops data does not let the head through alone.
	if err := s.writePieces(conn, append([]byte(head.String()), body...), a); err != nil {
		return
	}
	if a.Exit {
		_ = s.srv.Listener.Close()
	}
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !ok:
	case a.Reset:
		if !a.Early {
			time.Sleep(resetDelay)
		}
		_ = tcp.SetLinger(0) // Close resets the connection
	case a.Early:
		_ = tcp.CloseWrite() // fails if the caller has disconnected
		if a.Unread {
			time.Sleep(resetDelay)
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// chunks returns the body in chunks, with the last chunk unless the answer is cut.
func (a *Raw) chunks() []byte {
	var out []byte
	for rest := a.Body; rest != ""; {
		n := min(rawChunk, len(rest))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	if !a.Cut {
		out = append(out, "0\r\n\r\n"...)
	}
	return out
}
