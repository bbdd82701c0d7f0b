package core

import (
	"context"
	"net/http"
	"time"
)

// CodeHeld is the code of answers to requests that are on hold.
const CodeHeld = "held_back"

// Guard is the quarantine of requests: it puts a digest on hold if runners have exited
// under requests with it. A request has a digest of its own and one for each shared part of its
// prompt.
type Guard interface {
	// HoldRemaining returns for how much longer a request is on hold, 0 if it is not on hold or a
	// trial may run.
	HoldRemaining(d Digest) time.Duration
	// Admit reports whether a request may be sent to a runner now and, if not, after how
	// long the caller may retry.
	Admit(ctx context.Context, d Digest) (retry time.Duration, ok bool)
	// ConnectionLost records that a runner has closed a request's connection before the answer was
	// complete.
	ConnectionLost(b LostRequest)
	// Served records that a runner has served a request.
	Served(d Digest)
	// RunBegan records that a request for a model, with these parts in its prompt, is sent to a runner.
	RunBegan(parts []Part, model string) Run
}

// Run is one run of a request at a runner.
type Run interface {
	// Worked records that the runner has worked on the request for a long time. An exit that follows is
	// no more due to the request than to others, unless such exits repeat.
	Worked(d Digest)
	// Whole records that the answer was received whole.
	Whole()
	// Ended records that the runner no longer works on the request. Only the first call counts.
	Ended()
}

// LostRequest describes a request whose runner closed the connection before the answer was
// complete.
type LostRequest struct {
	Digest      Digest
	Runner      Runner
	Route       string
	Service     string
	MayHaveRun  bool // the runner may have started to run it
	JustStarted bool // the runner had just started to run it: only the answer's head had arrived
	Worked      bool // the runner had worked on it for a long time
	Model       string
	Age         time.Duration // since it was sent to the runner
	Parts       []Part        // shared parts of its prompt, in order
}

// LoadDigest returns the digest that stands for the load of a model. No request can have
// it, since "load model" is not a valid HTTP method.
func LoadDigest(service, model string) Digest {
	return DigestOf(&Request{Method: "load model", Host: service, Target: model})
}

// LostLoad describes the load of a model during which the runner exited.
func LostLoad(service, model string, r Runner) LostRequest {
	return LostRequest{Digest: LoadDigest(service, model), Runner: r, Route: "load of " + model, Service: service, MayHaveRun: true}
}

// NoGuard is a Guard that puts no request on hold.
type NoGuard struct{}

// HoldRemaining implements Guard.
func (NoGuard) HoldRemaining(Digest) time.Duration { return 0 }

// Admit implements Guard.
func (NoGuard) Admit(context.Context, Digest) (time.Duration, bool) { return 0, true }

// ConnectionLost implements Guard.
func (NoGuard) ConnectionLost(LostRequest) {}

// Served implements Guard.
func (NoGuard) Served(Digest) {}

// RunBegan implements Guard.
func (NoGuard) RunBegan([]Part, string) Run { return NoRun{} }

// NoRun is a Run that records nothing.
type NoRun struct{}

// Worked implements Run.
func (NoRun) Worked(Digest) {}

// Whole implements Run.
func (NoRun) Whole() {}

// Ended implements Run.
func (NoRun) Ended() {}

// HeldBack returns the answer to a request whose digest is on hold. runs is how often this
// request itself has run, which determines the outcome; retry is the time after which the
// caller may retry.
func HeldBack(runs int, retry time.Duration) *RequestError {
	const message = "runners have ended under this request; it is held back"
	if runs == 0 {
		return NotRun(http.StatusServiceUnavailable, CodeHeld, message, retry)
	}
	e := MayHaveRun(CodeHeld, message)
	e.Retry = retry
	return e
}
