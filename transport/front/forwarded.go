package front

import (
	"net/http"
	"strconv"

	"primroseward/core"
	"primroseward/transport/intake"
)

// Forwarded returns the handler of requests that other daemons pass on, which arrive at the peer
// address. other handles all other requests there.
func (f *Front) Forwarded(other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(core.HeaderFrom) == "" {
			other.ServeHTTP(w, r)
			return
		}
		waiting, remove := f.conns.addForwarded()
		defer remove()
		w = &forwardedWriter{ResponseWriter: w, id: f.dialect.RequestID(r.Header), waiting: waiting}
		forward, err := core.ReadForward(r.Header)
		if err != nil {
			writeError(w, core.NotRun(http.StatusBadRequest, "bad_forward", err.Error(), 0))
			return
		}
		f.serve(w, r, forward)
	})
}

// PeerPort describes the listener of Forwarded.
func (f *Front) PeerPort() intake.Port {
	return intake.Port{
		Name: "peer", Share: intake.PeerShare, HeadLimit: forwardedHeaderBytes, Reserved: true, Refused: f.logRefusal,
		WriteError: func(w http.ResponseWriter, e *core.RequestError) { writeError(&forwardedWriter{ResponseWriter: w}, e) },
	}
}

// forwardedWriter writes the answer to a forwarded request: with the headers that tell the other
// daemon a refusal from a runner's answer.
type forwardedWriter struct {
	http.ResponseWriter
	id      string // of the request; empty: it has not been read
	waiting *waiting
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *forwardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setRefusal sets the headers of a refusal.
func (w *forwardedWriter) setRefusal(e *core.RequestError) {
	w.setAnswer(e.Runs, nil)
	w.Header().Set(core.HeaderCode, e.Code)
	w.Header().Set(core.HeaderOutcome, string(e.Outcome))
	w.Header().Set(core.HeaderArrived, strconv.FormatBool(e.Arrived))
}

// setAnswer sets the headers of any answer: to which request it is, how many sends of that may have run,
// and where its stream began.
func (w *forwardedWriter) setAnswer(runs int, o *core.Origin) {
	core.WriteOrigin(w.Header(), o)
	w.Header().Set(core.HeaderRequest, w.id)
	w.Header().Set(core.HeaderRuns, strconv.Itoa(runs))
	w.Header().Del(core.HeaderCode)
}
