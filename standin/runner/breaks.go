package runner

import "time"

// closeSlack is how long after the runner begins to close its connections answers may still break off.
const closeSlack = 200 * time.Millisecond

// NoteBreak records that the runner breaks off the answer to a request, or fails the request.
func (s *Server) NoteBreak(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.brokenOff == nil {
		s.brokenOff = map[string]bool{}
	}
	s.brokenOff[id] = true
}

// noteClose records that the runner closes all its connections now.
func (s *Server) noteClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closes = append(s.closes, time.Now())
}

// HasBrokenOff reports whether the runner broke off the answer to a request, failed the request, or closed its
// connections between the start of a run of it and the given time.
func (s *Server) HasBrokenOff(run Run, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.closes {
		if at.Before(to) && at.Add(closeSlack).After(run.At) {
			return true
		}
	}
	return s.brokenOff[run.ID]
}
