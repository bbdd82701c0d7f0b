package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/runner"
)

// breakAnswers makes a runner answer without length and chunks for a while, and break off every third
// answer: inside an event by the end of the connection, by a reset or by a last chunk.
func (w *World) breakAnswers(r *rand.Rand) string {
	h, length := w.anyRunner(r), randomSeconds(r, 1, 4)
	if h == nil {
		return "none"
	}
	salt := r.Uint32()
	h.SetRaw(func(q *http.Request) *runner.Raw { return rawAnswerOf(h, q, salt) })
	w.schedule(length, func() { h.SetRaw(nil) })
	return fmt.Sprintf("%s for %v", h.ID, length)
}

// rawAnswerOf returns a runner's answer to a request. The request's id and salt decide how it ends.
func rawAnswerOf(h *proxiedRunner, q *http.Request, salt uint32) *runner.Raw {
	sum := fnv.New32a()
	id := q.Header.Get(wire.HeaderRequestID)
	_, _ = io.WriteString(sum, id) // writing to a hash does not fail
	n := int(sum.Sum32()^salt) & 0xffff
	a := &runner.Raw{Framing: core.FramingClose}
	if h.Service != "gen" {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return nil
		}
		if n%3 == 0 {
			h.NoteBreak(id)
		}
		a.Body, a.Reset = h.ID+" "+q.RequestURI+" "+string(body), n%3 == 0
		return a
	}
	last, _ := strconv.Atoi(q.Header.Get(wire.HeaderLastEvent)) // absent: 0
	for i := last + 1; i <= eventsPerStream; i++ {
		a.Body += runner.EventText(i, h.Version)
	}
	if n%3 == 0 && a.Body != "" {
		h.NoteBreak(id)
		end := (n / 3) % len(a.Body)
		for strings.HasSuffix(a.Body[:end], "\n\n") { // an end between two events shows no break
			end++
		}
		a.Body = a.Body[:end]
		a.Reset = n/3%3 == 1
		if n/3%3 == 2 && a.Body != "" {
			a.Framing = core.FramingChunked
		}
	}
	return a
}
