package runner

import (
	"net/http"
	"slices"
	"time"

	"primroseward/core"
	"primroseward/platform"
)

// Arrival is a request that has arrived, whether it runs or not.
type Arrival struct {
	ID      string
	At      time.Time
	Backoff time.Duration // for which the runner asked as it rejected the request; 0: none
}

// SetLimit sets the values of the limit header in all further answers, one header line
// per value; none: no limit.
func (s *Server) SetLimit(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = values
}

// SetLeaving sets the values of the leaving header in all further answers, one header line
// per value; none: no header. The runner's entry does not change.
func (s *Server) SetLeaving(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = values
}

// Reject makes the runner reject all further requests, with the given values of Retry-After.
func (s *Server) Reject(backoff ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects, s.backoff = true, backoff
}

// Accept makes the runner accept requests again.
func (s *Server) Accept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = false
}

// ArrivalTimes returns the arrival times of all requests, run or not, oldest first.
func (s *Server) ArrivalTimes() []time.Time {
	var out []time.Time
	for _, a := range s.Arrivals() {
		out = append(out, a.At)
	}
	return out
}

// Arrivals returns all requests that have arrived, oldest first.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived)
}

// announce adds the headers that are in all answers.
func (s *Server) announce(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, value := range s.leaving {
		h.Add(platform.HeaderLeaving, value)
	}
	s.statePace(h)
	if s.brittle.Header != "" {
		h.Set(platform.HeaderBrittle, s.brittle.Header)
	}
}

// recordArrival records a request's arrival and adds the limit to its answer's header.
func (s *Server) recordArrival(id string, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Arrival{ID: id, At: time.Now()}
	if s.rejects && len(s.backoff) == 1 {
		a.Backoff = core.ReadBackoff(s.backoff).Duration
	}
	s.arrived = append(s.arrived, a)
	for _, value := range s.limit {
		h.Add(platform.HeaderLimit, value)
	}
}
