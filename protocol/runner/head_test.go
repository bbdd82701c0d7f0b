package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// cutHeads are the heads of answers to request a, each complete.
var cutHeads = []struct{ name, head string }{
	{"with a length", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 12\r\n\r\n"},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + idHeader + ": a\r\n\r\n"},
	{"length 0 in front", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 0012\r\n\r\n"},
	{"in chunks", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"without a length", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nX-Primroseward-Server-Stamp: 3e1b\r\n\r\n"},
	{"no body", "HTTP/1.1 204 No Content\r\n" + idHeader + ": a\r\n\r\n"},
	{"short lines", "HTTP/1.1 200 OK\n" + idHeader + ": a\nContent-Length: 12\n\n"},
	{"an empty value", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nX-Empty:\r\nX-Space: \t \r\n\r\n"},
	{"a folded line", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nX-Long: one\r\n \t two\r\n three\r\n\r\n"},
	{"an informational answer before", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\n"},
	{"longer than the buffer", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nX-Long: " + strings.Repeat("x", readBuffer) + "\r\n\r\n"},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + idHeader + ": a\r\n\r\n"},
}

// TestAnswerCutInItsHead guards against a runner that stops in the middle of its answer's head and closes, whose
// answer is then taken for one with an empty or short body.
func TestAnswerCutInItsHead(t *testing.T) {
	for _, tt := range cutHeads {
		t.Run(tt.name, func(t *testing.T) {
			cut := 0
			s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, tt.head[:cut])
				return false
			})
			c := client()
			step := max(1, len(tt.head)/400)
			for ; cut < len(tt.head); cut += step {
				_, err := get(c, s, request("a", ""))
				assert.ErrorIs(t, err, core.ErrAnswerLost, "cut after %d: %q", cut, tt.head[:cut])
				assert.Assert(t, !errors.Is(err, core.ErrNotSent))
			}
		})
	}
}

// TestCallCutInItsHead guards against the same for orders, reports and checks, whose answers bear no request id: an
// order would count as accepted, a report as that of a runner without models.
func TestCallCutInItsHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 45\r\n\r\n"
	answer := head + `{"models":[],"sequence":3,"busy":false,"x":1}`
	cut := 0
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, answer[:cut])
		return false
	})
	c := client()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for ; cut < len(answer); cut++ {
		what := fmt.Sprintf("cut after %d: %q", cut, answer[:cut])
		result, err := c.Order(ctx, &s.runner, core.RunnerOrder{Load: true, Model: "m", Holder: "h"})
		assert.Assert(t, err != nil, what)
		assert.Equal(t, result, core.OrderUnknown, what)
		_, err = c.Report(ctx, &s.runner)
		assert.Assert(t, err != nil, what)
		assert.Assert(t, c.Check(ctx, &s.runner, "/health") != nil, what)
	}
	_, err := c.Report(ctx, &s.runner)
	assert.NilError(t, err)
}
