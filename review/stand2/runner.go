package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	wire "primroseward/platform"
)

// runnerServer is a stand-in for a runner. What it answers is decided by handle, on the connection itself.
type runnerServer struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	born    uint64
	addr    string
	models  func() []wire.HoldingMessage // nil: none
	ln      net.Listener
	// handle answers a request that has been read, and reports whether the connection is kept.
	handle func(s *runnerServer, c net.Conn, r *http.Request, body []byte) bool

	mu   sync.Mutex
	runs map[string]int // by request id
	at   []time.Time    // when each run began
}

// startRunner starts a runner and registers it in the store.
func (w *world) startRunner(s *runnerServer) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.w, s.ln, s.addr, s.runs = w, ln, ln.Addr().String(), map[string]int{}
	s.born = uint64(time.Now().UnixMilli())
	go s.accept()
	w.cleanups = append(w.cleanups, func() { _ = ln.Close() })
	return s.register(wire.StateReady)
}

// register writes the entry of the runner.
func (s *runnerServer) register(state string) error {
	m := wire.RunnerMessage{StartedAt: &s.born, Service: s.service, Version: "v1", Address: s.addr, Zone: s.zone, Slots: s.slots, State: state}
	if s.models != nil {
		m.Models = s.models()
	}
	return s.w.store.Put(wire.KindRunners, s.id, m)
}

func (s *runnerServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *runnerServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get(wire.HeaderInstance) != s.id {
			s.answer(c, r, http.StatusMisdirectedRequest, false, "")
			continue
		}
		if !s.handle(s, c, r, body) {
			return
		}
	}
}

// ran records that the runner has begun to run a request, and returns how often it has.
func (s *runnerServer) ran(r *http.Request) int {
	id := r.Header.Get(wire.HeaderRequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.at = append(s.at, time.Now())
	s.w.note("runner %s runs request %s", s.id, id)
	return s.runs[id]
}

// arrivedAfter returns how many runs began after a time.
func (s *runnerServer) arrivedAfter(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.at {
		if at.After(t) {
			n++
		}
	}
	return n
}

// answer writes a whole answer.
func (s *runnerServer) answer(c net.Conn, r *http.Request, status int, ran bool, body string) {
	_, _ = io.WriteString(c, s.answerText(r, status, ran, body)) // fails only if the connection has ended
}

// answerText returns a whole answer as it is written.
func (s *runnerServer) answerText(r *http.Request, status int, ran bool, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n", status, http.StatusText(status), len(body), wire.HeaderAnswerer, s.id)
	if id := r.Header.Get(wire.HeaderRequestID); id != "" {
		head += wire.HeaderRequestID + ": " + id + "\r\n"
		if ran {
			head += wire.HeaderStamp + ": " + s.id + "." + id + "\r\n"
		} else {
			head += wire.HeaderNotRun + ": 1\r\n"
		}
	}
	return head + "\r\n" + body
}
