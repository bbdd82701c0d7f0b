package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

const (
	// endlessTimeout is how long the caller of a test waits, and maxEndlessBytes how much its runner may
	// write until its connection is closed: what is read and what fits the sockets' buffers.
	endlessTimeout  = 8 * time.Second
	maxEndlessBytes = 16 << 20
	// slowPieceInterval is the time between two pieces of an answer that arrives slowly.
	slowPieceInterval = 50 * time.Millisecond
)

// TestBytesWithoutEndAreNotRead guards against a request that hangs until its deadline, and a daemon that runs out of
// memory, because a runner sends bytes that are no answer until the connection is closed.
func TestBytesWithoutEndAreNotRead(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\n" + idHeader + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for _, tt := range []struct{ name, begin, repeat string }{
		{"no HTTP", "", "x"},
		{"in the status line", "HTTP/1.1 200 ", "x"},
		{"in a field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"answers to another request", "", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 0\r\n\r\n"},
		{"the body of an answer to another request", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n\r\n", "x"},
		{"in the size of a chunk", chunked, "0"},
		{"in the extension of a chunk", chunked + "2;", "x"},
		{"no chunks", chunked, "x"},
		{"in a trailer", chunked + "0\r\n", "x"},
		{"trailers", chunked + "0\r\n", "X: y\r\n"},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow %v", tt.name, slow), func(t *testing.T) {
				t.Parallel()
				var written atomic.Int64
				s := serve(t, func(_ int, c net.Conn, r *http.Request) bool {
					begin := tt.begin
					if strings.Contains(begin, "%s") {
						begin = fmt.Sprintf(begin, r.Header.Get(idHeader))
					}
					piece, pause := strings.Repeat(tt.repeat, 1+4096/len(tt.repeat)), time.Duration(0)
					if slow {
						piece, pause = tt.repeat, slowPieceInterval
					}
					_, err := io.WriteString(c, begin)
					for err == nil {
						var n int
						n, err = io.WriteString(c, piece)
						written.Add(int64(n))
						time.Sleep(pause)
					}
					return false
				})
				ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
				defer cancel()
				reply, err := client().Send(ctx, &s.runner, request("a", ""), core.Outgoing{Timeout: time.Second, Instance: "i-1", Priority: -1})
				if err == nil {
					_, err = io.ReadAll(reply.Body)
					_ = reply.Body.Close()
				}
				assert.ErrorIs(t, err, core.ErrAnswerLost)
				assert.NilError(t, ctx.Err(), "the connection was read until the caller's deadline")
				assert.Assert(t, written.Load() <= maxEndlessBytes, "%d bytes were written", written.Load())
			})
		}
	}
}

// TestPausesInAnAnswerAreNoReasonToEndIt guards against breaking off an answer whose runner is silent for a time
// longer than bytes that are no part of it may take, wherever the pause is.
func TestPausesInAnAnswerAreNoReasonToEndIt(t *testing.T) {
	const pause = 1500 * time.Millisecond
	pieces := []string{"HTT", "P/1.1 200 OK\r\n", idHeader + ": a\r\nTransfer-Enc", "oding: chunked\r\n\r\n2;", "x\r\no", "k\r\n0", "\r\n", "\r\n"}
	for at := range pieces {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(_ int, c net.Conn, _ *http.Request) bool {
				for i, p := range pieces {
					if i == at {
						time.Sleep(pause)
					}
					if _, err := io.WriteString(c, p); err != nil {
						return false
					}
				}
				return true
			})
			got, err := get(client(), s, request("a", ""))
			assert.NilError(t, err)
			assert.Equal(t, got, "ok")
		})
	}
}
