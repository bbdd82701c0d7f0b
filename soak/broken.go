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
	id := q.Header.Get(wire.HeaderRequestID)
	n, a := drawOf(id, salt), unframedAnswer()
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
	a.Body = streamAfter(h, last)
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

// drawOf draws a number by a request's id and a salt.
func drawOf(id string, salt uint32) int {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id) // writing to a hash does not fail
	return int(sum.Sum32()^salt) & 0xffff
}

// unframedAnswer returns an answer without length and chunks.
func unframedAnswer() *runner.Raw { return &runner.Raw{Framing: core.FramingClose} }

// streamAfter returns a runner's events after the last one that a caller has.
func streamAfter(h *proxiedRunner, last int) string {
	var text strings.Builder
	for i := last + 1; i <= eventsPerStream; i++ {
		text.WriteString(runner.EventText(i, h.Version))
	}
	return text.String()
}
