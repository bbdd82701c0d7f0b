package runner

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"primroseward/platform"
)

// isFatal reports whether the runner exits because of a request.
func (s *Server) isFatal(h http.Header, body string) bool {
	return s.Fatal != nil && s.Fatal(body) || slices.ContainsFunc(s.FatalParts, func(part string) bool { return HasSharedPart(h, part) })
}

// HasSharedPart reports whether a request's prompt has a part other than the last one.
func HasSharedPart(h http.Header, part string) bool {
	list := strings.Split(h.Get(platform.HeaderParts), ",")
	return slices.ContainsFunc(list[:len(list)-1], func(v string) bool { return strings.HasPrefix(v, part+":") })
}

// crash makes the runner exit after FatalAfter, with all its connections; the head of a
// stream has been sent by then. If the caller disconnects first, the runner does not exit.
func (s *Server) crash(w http.ResponseWriter, r *http.Request) {
	if s.Events > 0 && s.FatalAnswer == nil {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // fails if the caller has disconnected
	}
	select {
	case <-r.Context().Done():
	case <-time.After(s.FatalAfter):
		if s.FatalAnswer != nil {
			s.write(s.FatalAnswer, w)
		}
		s.exit()
	}
	panic(http.ErrAbortHandler)
}

// exit closes the listener and all connections and calls Exited, once.
func (s *Server) exit() {
	s.mu.Lock()
	exited := s.exited
	s.exited = true
	s.mu.Unlock()
	if exited {
		return
	}
	s.noteClose()
	_ = s.srv.Listener.Close()
	s.srv.CloseClientConnections()
	s.Exited()
}
