package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// TestAnswersWithoutAValidStatusAreBroken guards against the body of a broken answer that is read as an answer of its own,
// and against a request that waits for another answer until its time is over.
func TestAnswersWithoutAValidStatusAreBroken(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "101", "+20", "-20", "0", "00", "20", "2000", "600", "999", "abc", ""} {
		for _, tt := range []struct{ name, head, body string }{
			{"no body", "", ""},
			{"a short body", "Content-Length: 2\r\n", "no"},
			{"a body that reads like an answer", "", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 5\r\n\r\nfalse"},
		} {
			t.Run(status+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Oops\r\n%s: %s\r\n%s\r\n%s", status, idHeader, r.Header.Get(idHeader), tt.head, tt.body)
					return true
				})
				c := client()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				reply, err := c.Send(ctx, &s.runner, request("a", ""), core.Outgoing{Timeout: time.Second, Instance: "i-1", Priority: -1})
				if err == nil {
					_ = reply.Body.Close()
				}
				assert.ErrorIs(t, err, core.ErrAnswerLost)
				_, err = c.Report(ctx, &s.runner)
				assert.Assert(t, err != nil, "report")
				assert.Assert(t, c.Check(ctx, &s.runner, "/healthz") != nil, "check")
				result, err := c.Order(ctx, &s.runner, core.RunnerOrder{Load: true, Model: "m"})
				assert.Assert(t, err != nil && result == core.OrderUnknown, "order: %v", result)
				assert.NilError(t, ctx.Err(), "waited")
			})
		}
	}
}

// TestInterimAnswersAreSkipped guards against a sound answer that is lost because others announce it, and against an
// interim answer with a body, which would be read as the next answer.
func TestInterimAnswersAreSkipped(t *testing.T) {
	for _, tt := range []struct {
		name, before string
		served       bool
	}{
		{"continue", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"processing, twice", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", true},
		{"early hints", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", true},
		{"another one", "HTTP/1.1 199 X\r\n\r\n", true},
		{"one with a length", "HTTP/1.1 102 Processing\r\nContent-Length: 60\r\n\r\n", false},
		{"one in chunks", "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, tt.before)
				reply(c, r.Header.Get(idHeader), "ok")
				return true
			})
			got, err := get(client(), s, request("a", ""))
			if !tt.served {
				assert.ErrorIs(t, err, core.ErrAnswerLost)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, "ok")
		})
	}
}
