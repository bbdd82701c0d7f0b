package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"primroseward/platform"
)

// EventText returns an event of a stream: its number and the software version of the runner that
// generated it.
func EventText(number int, version string) string {
	if version != "" {
		version = " " + version
	}
	return fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", number, number, version)
}

// stream sends the events after the one in the Last-Event-Id header. If cut is positive, it
// closes the connection in the middle of the event after number cut.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, cut int) {
	from, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := from + 1; i <= s.Events; i++ {
		s.awaitSilence()
		if cut > 0 && i > cut {
			s.NoteBreak(r.Header.Get(platform.HeaderRequestID))
			fmt.Fprintf(w, "id: %d\nda", i)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, EventText(i, s.Version)) // the flush shows whether the caller has disconnected
		if rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.duration()):
		}
	}
}
