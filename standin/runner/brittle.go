package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// Brittle describes a runner that fails if it has to reject too many requests for want of room.
type Brittle struct {
	Header     string        // value of the header in all answers
	Rejections int           // per second, that it can bear
	Room       int           // requests in progress, running or waiting
	Downtime   time.Duration // after a failure
}

// brittleState is the state of a brittle runner. The lock of the Server guards it.
type brittleState struct {
	Brittle
	slots      chan struct{} // requests that run
	rejections []time.Time   // within the last second
	falls      int
}

// SetBrittle makes the runner brittle, run at most Slots requests at the same time, and reject
// requests beyond the given room.
func (s *Server) SetBrittle(b Brittle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle.Brittle = b
	if s.brittle.slots == nil {
		s.brittle.slots = make(chan struct{}, s.Slots)
	}
}

// Falls returns how often the runner has failed because of rejections.
func (s *Server) Falls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brittle.falls
}

// room returns how many requests may be in progress; s.mu must be held.
func (s *Server) room() int {
	if s.brittle.Room > 0 {
		return s.brittle.Room
	}
	return 2 * s.Slots
}

// noteRejection makes a brittle runner fail if it has rejected too many requests within a second;
// s.mu must be held.
func (s *Server) noteRejection() {
	if s.brittle.Header == "" {
		return
	}
	now := time.Now()
	for len(s.brittle.rejections) > 0 && now.Sub(s.brittle.rejections[0]) >= time.Second {
		s.brittle.rejections = s.brittle.rejections[1:]
	}
	if s.brittle.rejections = append(s.brittle.rejections, now); len(s.brittle.rejections) > s.brittle.Rejections {
		s.brittle.rejections = nil
		s.brittle.falls++
		go s.runFall(s.brittle.Downtime)
	}
}

// runFall closes the listener and all connections, and starts another instance at the same address
// after a time.
func (s *Server) runFall(downtime time.Duration) {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	addr := srv.Listener.Addr().String()
	s.noteClose()
	_ = srv.Listener.Close()
	srv.CloseClientConnections()
	time.Sleep(downtime)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return // the port was taken; the runner stays away
	}
	next := &httptest.Server{Listener: ln, Config: &http.Server{Handler: s.handler}}
	next.Start()
	s.mu.Lock()
	s.srv, s.running, s.started = next, 0, time.Now()
	s.brittle.slots = make(chan struct{}, s.Slots)
	s.mu.Unlock()
	s.Register()
}

// work takes the time of a plain request, once one of the slots of a brittle runner is free. Other
// runners stop working when the caller disconnects.
func (s *Server) work(ctx context.Context) {
	s.mu.Lock()
	slots := s.brittle.slots
	s.mu.Unlock()
	if slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return
		}
		time.Sleep(s.duration())
		return
	}
	select {
	case <-time.After(s.duration()):
	case <-ctx.Done():
	}
}
