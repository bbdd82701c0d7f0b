package intake

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"primroseward/core"
)

// DrainTime and DrainBytes bound what is read and dropped after a refusal, so that it reaches its client: a connection
// that is closed with unread bytes is reset.
const (
	DrainTime  = 2 * time.Second
	DrainBytes = 4 << 20
)

// overloadRetry is the Retry-After time where there is no room for a request.
const overloadRetry = time.Second

// headTooLarge refuses a head over a limit.
func headTooLarge(limit int) *core.RequestError {
	return core.NotRun(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "the headers are larger than "+strconv.Itoa(limit)+" bytes", 0)
}

// overloaded refuses a request for which there is no room.
func overloaded() *core.RequestError {
	return core.NotRun(http.StatusServiceUnavailable, core.CodeOverloaded, "the requests in progress take up the memory that is set aside for them", overloadRetry)
}

// refuse answers a request that the server has not seen, and ends its connection. It returns the error for the server.
func (c *Conn) refuse(e *core.RequestError) error {
	c.buf = nil
	c.release()
	if !c.to(phaseClosing) {
		return io.EOF
	}
	if c.port.Refused != nil {
		c.port.Refused(e)
	}
	deadline := time.Now().Add(DrainTime)
	_ = c.socket.SetDeadline(deadline) // fails only on a closed connection
	if _, err := c.socket.Write(c.port.answer(e)); err == nil && c.socket.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.socket, DrainBytes)
	}
	return io.EOF
}

// answer returns a whole answer with a refusal, in the form of the port.
func (p *Port) answer(e *core.RequestError) []byte {
	w := &recorder{header: http.Header{}}
	if p.WriteError != nil {
		p.WriteError(w, e)
	} else {
		http.Error(w, e.Error(), e.WireStatus())
	}
	resp := &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
	var out bytes.Buffer
	_ = resp.Write(&out) // a buffer takes all
	return out.Bytes()
}

// recorder is a ResponseWriter for an answer to a request that the server has not seen.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *recorder) Header() http.Header { return w.header }

func (w *recorder) WriteHeader(status int) { w.status = status }

func (w *recorder) Write(p []byte) (int, error) { return w.body.Write(p) }
