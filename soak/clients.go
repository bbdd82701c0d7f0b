package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	wire "primroseward/platform"
)

const (
	// maxOddClients is the number of connections of clients that do not behave, in one fault at most.
	maxOddClients = 80
	// oddSize is the size of what such a client sends, in bytes; oddBody that of the body that it announces.
	oddSize = 12 << 10
	oddBody = 64 << 10
)

// host is the host of all routes.
const host = "h.example"

// oddRequests are the beginnings of requests that never become whole, each with what is repeated behind it.
var oddRequests = []struct{ name, start, repeated string }{
	{"nothing", "", ""},
	{"a head without end", "GET /ask/x HTTP/1.1\r\nHost: " + host + "\r\n", "abc: \r\n"},
	{"a field without end", "GET /ask/x HTTP/1.1\r\nX: ", "x"},
	{"empty lines", "", "\r\n"},
	{"a body without its end", fmt.Sprintf("POST /ask/x HTTP/1.1\r\nHost: %s\r\n%s: odd\r\nContent-Length: %d\r\n\r\n", host, wire.HeaderRequestID, oddBody), "x"},
	{"chunks without end", fmt.Sprintf("POST /ask/x HTTP/1.1\r\nHost: %s\r\n%s: odd\r\nTransfer-Encoding: chunked\r\n\r\n", host, wire.HeaderRequestID), "1\r\nx\r\n"},
}

// sendOddRequests opens connections of clients that do not behave, at one address of a daemon, and closes them later.
func (w *World) sendOddRequests(r *rand.Rand) string {
	d, length := w.anyDaemon(r), randomSeconds(r, 0.5, 4)
	addr := []string{d.caller, d.caller, d.directory, d.ready, d.peer, d.admin}[r.IntN(6)]
	request, n := oddRequests[r.IntN(len(oddRequests))], 1+r.IntN(maxOddClients)
	for range n {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			break // the daemon is down
		}
		_ = conn.SetDeadline(time.Now().Add(length))
		go func() {
			_, _ = io.WriteString(conn, request.start+strings.Repeat(request.repeated, oddSize/max(1, len(request.repeated))))
		}() // ends with the connection
		w.schedule(length, func() { _ = conn.Close() })
	}
	return fmt.Sprintf("%d at %s send %s for %v", n, d.name, request.name, length)
}
