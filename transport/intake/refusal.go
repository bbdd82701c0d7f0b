package intake

import (
	"encoding/json"
	"fmt"
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
	if _, err := c.socket.Write(answer(e)); err == nil && c.socket.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.socket, DrainBytes)
	}
	return io.EOF
}

// answer returns a whole answer with a refusal.
func answer(e *core.RequestError) []byte {
	body, _ := json.Marshal(struct {
		Code    string `json:"code"`
		Text    string `json:"text"`
		Outcome string `json:"outcome"`
	}{e.Code, e.Message, string(e.Outcome)}) // cannot fail
	retry := ""
	if e.Retry > 0 {
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", e.Retry.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		e.Status, http.StatusText(e.Status), retry, len(body), body)
}
