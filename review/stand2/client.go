package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	wire "primroseward/platform"
)

// host is the host of all routes.
const host = "ficu95.example"

// callerConn is a kept connection of a client.
type callerConn struct {
	net.Conn
	in *bufio.Reader
}

// dialCaller opens a connection to a daemon.
func dialCaller(addr string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// reply is the answer to a request.
type reply struct {
	status int
	header http.Header
	body   string
	close  bool
}

// ask sends a request and waits for its answer.
func (c *callerConn) ask(method, path, id string, limit time.Duration, body string, more ...string) (*reply, error) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", method, path, host, wire.HeaderRequestID, id, wire.HeaderTimeout, limit.Milliseconds(), len(body))
	for _, line := range more {
		text += line + "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text+"\r\n"+body); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, header: resp.Header, body: string(data), close: resp.Close}, err
}
