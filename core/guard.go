package core

import (
	"context"
	"net/http"
	"time"
)

// CodeHeld is the code of answers to requests that are held back.
const CodeHeld = "held_back"

// Guard holds back requests that have ended runners.
type Guard interface {
	// Held says for how much longer a request is held back, 0 if it is not or may be
	// tried.
	Held(d Digest) time.Duration
	// Admit says whether a request may be sent to a runner now, and if not when it may
	// come back.
	Admit(ctx context.Context, d Digest) (retry time.Duration, ok bool)
	// Broke takes in that a runner has closed a request's connection before a whole
	// answer.
	Broke(b Broken)
	// Worked takes in that a runner has served a request, or has worked on it for long.
	Worked(d Digest)
}

// Broken is a request whose runner has closed the connection before a whole answer.
type Broken struct {
	Digest  Digest
	Runner  Runner
	Route   string
	Service string
	Begun   bool // the runner may have begun to run it
	Fresh   bool // the runner had just begun to run it: nothing but the answer's head had come
}

// LoadDigest stands for the load of a model. No request has it: its method is none.
func LoadDigest(service, model string) Digest {
	return DigestOf(&Request{Method: "load model", Host: service, Target: model})
}

// BrokenLoad is the load of a model whose runner has ended.
func BrokenLoad(service, model string, r Runner) Broken {
	return Broken{Digest: LoadDigest(service, model), Runner: r, Route: "load of " + model, Service: service, Begun: true}
}

// NoGuard holds nothing back.
type NoGuard struct{}

// Held implements Guard.
func (NoGuard) Held(Digest) time.Duration { return 0 }

// Admit implements Guard.
func (NoGuard) Admit(context.Context, Digest) (time.Duration, bool) { return 0, true }

// Broke implements Guard.
func (NoGuard) Broke(Broken) {}

// Worked implements Guard.
func (NoGuard) Worked(Digest) {}

// HeldBack is the answer to a request like one that has ended runners: what is true of
// this one, which has run so many times, and when it may come back.
func HeldBack(runs int, retry time.Duration) *RequestError {
	const message = "runners have ended under this request; it is held back"
	if runs == 0 {
		return NotRun(http.StatusServiceUnavailable, CodeHeld, message, retry)
	}
	e := MayHaveRun(CodeHeld, message)
	e.Retry = retry
	return e
}
