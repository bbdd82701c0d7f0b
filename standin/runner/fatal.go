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

// FatalForm is how requests with a part of their prompts make the runner exit.
type FatalForm struct {
	After time.Duration // since it has begun to run the request
	Stage FatalStage    // of the answer when it exits
	// One makes one request in so many make the runner exit, drawn at random; 0: each one. The others run as usual.
	One   int
	Model string    // requests for other models run as usual; empty: none does
	From  time.Time // before that all run as usual
}

// isFatal reports whether a request with these headers makes the runner exit.
func (f *FatalForm) isFatal(h http.Header) bool {
	return !time.Now().Before(f.From) && (f.Model == "" || f.Model == h.Get(platform.HeaderModel)) && (f.One < 2 || rand.IntN(f.One) == 0)
}

// fatal returns how the runner exits because of a request; nil: it does not.
func (s *Server) fatal(h http.Header, body string) *FatalForm {
	usual := &FatalForm{After: s.FatalAfter}
	if s.Fatal != nil && s.Fatal(body) {
		return usual
	}
	for _, part := range s.FatalParts {
		if !HasSharedPart(h, part) {
			continue
		}
		form, ok := s.FatalForms[part]
		if !ok {
			return usual
		}
		if form.isFatal(h) {
			return &form
		}
	}
	return nil
}

// HasSharedPart reports whether a request's prompt has a part other than the last one.
func HasSharedPart(h http.Header, part string) bool {
	list := strings.Split(h.Get(platform.HeaderParts), ",")
	return slices.ContainsFunc(list[:len(list)-1], func(v string) bool { return strings.HasPrefix(v, part+":") })
}

// crash makes the runner exit, with all its connections. If the caller disconnects first, the runner does not exit.
func (s *Server) crash(w http.ResponseWriter, r *http.Request, form *FatalForm) {
	rc, exits := http.NewResponseController(w), time.After(form.After)
	if s.Events > 0 && s.FatalAnswer == nil && form.Stage != FatalBeforeHead {
		w.WriteHeader(http.StatusOK)
		_ = rc.Flush() // fails if the caller has disconnected
	}
	var events <-chan time.Time
	if form.Stage == FatalAfterEvents {
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
