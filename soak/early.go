package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	wire "primroseward/platform"
	"primroseward/standin/runner"
)

const (
	// uploadInterval is how many requests of a caller there are to one with a body of uploadBytes or more.
	uploadInterval = 12
	uploadBytes    = 256 << 10
)

// uploads reports whether callers send long bodies: in runs with all kinds of faults.
func (w *World) uploads() bool { return w.faultKinds() == len(faults) }

// answerEarly makes a runner answer long uploads before their end for a while: streams whole or with a reset at any byte, others
// with a reset.
func (w *World) answerEarly(r *rand.Rand) string {
	h, length := w.anyRunner(r), randomSeconds(r, 1, 4)
	if h == nil {
		return "none"
	}
	salt := r.Uint32()
	h.SetEarly(func(q *http.Request) *runner.Raw {
		if q.ContentLength < uploadBytes {
			return nil
		}
		return earlyAnswerOf(h, q, salt)
	})
	w.schedule(length, func() { h.SetEarly(nil) })
	return fmt.Sprintf("%s for %v", h.ID, length)
}

// earlyAnswerOf returns a runner's early answer to a request. The request's id and salt decide how it ends.
func earlyAnswerOf(h *proxiedRunner, q *http.Request, salt uint32) *runner.Raw {
	id := q.Header.Get(wire.HeaderRequestID)
	n := drawOf(id, salt)
	a := unframedAnswer()
	a.Early, a.Read, a.Unread = true, int64(n%3)*q.ContentLength/4, n/3%2 == 0
	if h.Service == "gen" {
		last, _ := strconv.Atoi(q.Header.Get(wire.HeaderLastEvent)) // absent: 0
		a.Body = streamAfter(h, last)
		if n/6%2 == 0 {
			return a
		}
	} else {
		a.Body = h.ID + " " + q.RequestURI
	}
	h.NoteBreak(id)
	a.Reset, a.Body = true, a.Body[:n/12%(len(a.Body)+1)]
	return a
}

// dropFromConfig stores a configuration that lacks what requests are in progress for, and the usual one a moment later.
func (w *World) dropFromConfig(r *rand.Rand) string {
	drops := []struct {
		name   string
		change func(c *wire.ConfigMessage)
	}{
		{"service", func(c *wire.ConfigMessage) {
			for i := range c.Routes {
				if c.Routes[i].Service == "gen" {
					c.Routes[i].Service = "spare"
				}
			}
			c.Services[0].Name = "spare"
		}},
		{"engine", func(c *wire.ConfigMessage) { c.Services[0].Engine = nil }},
		{"model", func(c *wire.ConfigMessage) { c.Services[0].Engine.Models = c.Services[0].Engine.Models[:1] }},
		{"adapters", func(c *wire.ConfigMessage) { c.Services[0].Engine.Models[0].Adapters = 0 }},
	}
	drop, length := drops[r.IntN(len(drops))], randomSeconds(r, 0.1, 1.5)
	if err := w.putChangedConfig(drop.change); err != nil {
		return err.Error()
	}
	w.schedule(length, func() {
		if err := w.putConfig(); err != nil {
			w.logEvent("configuration: %v", err)
		}
	})
	return fmt.Sprintf("%s for %v", drop.name, length)
}
