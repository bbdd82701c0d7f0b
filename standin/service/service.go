// Package service is a stand-in for a plain service in tests and the demo. It records
// every request that it receives.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"primroseward/core"
	"primroseward/standin/faults"
)

// Faults lists the faults that the stand-in injects. Counts apply to the next requests.
type Faults struct {
	Unanswered int           `json:"silent"` // requests that run but are never answered
	Cut        int           `json:"cut"`    // requests that run and whose connection is then closed
	Delay      time.Duration `json:"delay"`  // before each answer
	Leaving    bool          `json:"leaving"`
	Limit      string        `json:"limit"` // limit sent in each answer; empty: none
	// Departing announces in each answer that the service is leaving; its state does not.
	Departing bool `json:"departing"`
	// Backoff is the time that the service asks for as it rejects all requests, in seconds;
	// empty: it accepts them.
	Backoff string `json:"backoff"`
}

// Run is one request that has run.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Key    string `json:"key"`
}

// Server is the stand-in; it implements http.Handler.
type Server struct {
	http.Handler
	name   string
	mu     sync.Mutex
	faults Faults
	runs   []Run
	// arrived are the arrival times of requests, run or rejected.
	arrived []time.Time
}

// New returns a service that includes name in its answers.
func New(name string) *Server {
	s := &Server{name: name}
	r := chi.NewRouter()
	r.Get("/state", s.state)
	r.Put("/faults", faults.Handler(s.SetFaults))
	r.Get("/log", s.log)
	r.HandleFunc("/*", s.serve)
	s.Handler = r
	return s
}

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that have run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// ArrivalTimes returns the arrival times of all requests, run or not, oldest first.
func (s *Server) ArrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived)
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(core.Observation{Leaving: s.faults.Leaving, Instance: s.name})
}

func (s *Server) log(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	if backoff := s.faults.Backoff; backoff != "" {
		s.mu.Unlock()
		w.Header().Set(core.HeaderRetryAfter, backoff)
		w.Header().Set(core.HeaderRequestID, r.Header.Get(core.HeaderRequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.runs = append(s.runs, Run{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Key: r.Header.Get(core.HeaderIdempotencyKey)})
	n := len(s.runs)
	f := s.faults
	s.faults.Unanswered = max(0, f.Unanswered-1)
	s.faults.Cut = max(0, f.Cut-1)
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Unanswered > 0 {
		<-r.Context().Done()
		return
	}
	if f.Cut > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(core.HeaderRequestID, r.Header.Get(core.HeaderRequestID))
	if f.Departing {
		w.Header().Set(core.HeaderLeaving, "1")
	}
	if f.Limit != "" {
		w.Header().Set(core.HeaderLimit, f.Limit)
	}
	_, _ = fmt.Fprintf(w, "{\"service\":%q,\"run\":%d,\"method\":%q,\"path\":%q,\"body\":%q}\n", s.name, n, r.Method, r.URL.RequestURI(), body)
}
