package runner

import (
	"context"
	"net/http"
	"time"
)

// Silence makes the runner do and send nothing for a duration, as a process that is paused. Its
// connections stay open, and it goes on afterwards.
func (s *Server) Silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
}

// awaitSilence waits until the runner is not silent.
func (s *Server) awaitSilence() {
	for {
		s.mu.Lock()
		left := time.Until(s.silentUntil)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// runAfterSilence returns a handler whose requests begin when the runner is not silent.
func (s *Server) runAfterSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), arrivalKey{}, time.Now())
		s.awaitSilence()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// arrivalKey is the key of the time at which a request arrived in its context.
type arrivalKey struct{}

// arrivalOf returns when a request arrived, which a silent runner takes up later.
func arrivalOf(r *http.Request) time.Time {
	at, _ := r.Context().Value(arrivalKey{}).(time.Time)
	return at
}
