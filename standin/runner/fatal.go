package runner

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"primroseward/platform"
)

// FatalStage is how far the answer to a request has come.
type FatalStage int

// Stages of an answer.
const (
	FatalAfterHead   FatalStage = iota // of a stream, the head has been sent
	FatalBeforeHead                    // nothing has been sent
	FatalAfterEvents                   // of a stream, events have been sent at their usual intervals
)

// isFatal reports whether the runner exits because of a request.
func (s *Server) isFatal(h http.Header, body string) bool {
	switch {
	case time.Now().Before(s.FatalFrom):
		return false
	case s.FatalModel != "" && s.FatalModel != h.Get(platform.HeaderModel):
		return false
	case s.FatalOne > 1 && rand.IntN(s.FatalOne) > 0:
		return false
	}
	return s.Fatal != nil && s.Fatal(body) || slices.ContainsFunc(s.FatalParts, func(part string) bool { return HasSharedPart(h, part) })
}

// HasSharedPart reports whether a request's prompt has a part other than the last one.
func HasSharedPart(h http.Header, part string) bool {
	list := strings.Split(h.Get(platform.HeaderParts), ",")
	return slices.ContainsFunc(list[:len(list)-1], func(v string) bool { return strings.HasPrefix(v, part+":") })
}

// crash makes the runner exit after FatalAfter, with all its connections. If the caller disconnects first, the
// runner does not exit.
func (s *Server) crash(w http.ResponseWriter, r *http.Request) {
	rc, exits := http.NewResponseController(w), time.After(s.FatalAfter)
	if s.Events > 0 && s.FatalAnswer == nil && s.FatalStage != FatalBeforeHead {
		w.WriteHeader(http.StatusOK)
		_ = rc.Flush() // fails if the caller has disconnected
	}
	var events <-chan time.Time
	if s.FatalStage == FatalAfterEvents {
		ticker := time.NewTicker(s.Interval)
		defer ticker.Stop()
		events = ticker.C
	}
	number, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	for {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-events:
			number++
			_, _ = io.WriteString(w, EventText(number, s.Version)) // as the flush
			_ = rc.Flush()
		case <-exits:
			if s.FatalAnswer != nil {
				s.write(s.FatalAnswer, w)
			}
			s.exit()
			panic(http.ErrAbortHandler)
		}
	}
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
