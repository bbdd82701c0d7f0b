package owner

import (
	"net/http"
	"time"

	"primroseward/core"
)

// codeLeaving and messageLeaving are the code and the text of refusals because an endpoint is
// leaving, messageBackoff is the text of those because of its backoff.
const (
	codeLeaving    = "runner_leaving"
	messageLeaving = "the endpoint accepts no new requests"
	messageBackoff = "the endpoint has asked for a backoff"
)

// observeAnswer applies what an answer announces of its endpoint. It returns the error of an
// attempt that may be made at another endpoint instead. It is called from the attempt's own
// goroutine.
func (r *runner) observeAnswer(a *Attempt, status int, h http.Header) *core.RequestError {
	if r.instances.current().startedAt.After(a.instance.startedAt) {
		return nil // a late answer of a former instance
	}
	info := core.ReplyInfo{Stamped: true, Limit: core.ReadRateLimit(h.Values(core.HeaderLimit)), Leaving: core.ReadLeaving(h.Values(core.HeaderLeaving))}
	if status == http.StatusServiceUnavailable {
		info.Backoff = core.ReadBackoff(h.Values(core.HeaderRetryAfter))
	}
	of := a.instance.runner(r.id)
	r.mgr.limits.ObserveAnswer(r.id, info)
	r.mgr.available.ObserveAnswer(&of, info)
	probed := a.probe
	r.endProbe(a, true)
	if probed || info.Leaving.Announced || info.Backoff.Announced {
		r.send(announcement{})
	}
	if !info.Backoff.Announced || !a.Repeatable {
		return nil
	}
	err := core.MayHaveRun(core.CodeBackoff, "the endpoint has rejected the request and asked for a backoff")
	err.Retry = info.Backoff.Duration
	return err
}

// announcement makes the loop apply what an answer has announced: requests that wait for an
// endpoint that is leaving or backed off are refused, so that their entries choose another one.
type announcement struct{}

func (announcement) apply(r *runner) {
	r.refuseQueuedIfLeaving()
	if left := r.backoffLeft(); left > 0 {
		r.refuseQueued(core.CodeBackoff, messageBackoff, left)
	}
	r.startWaiting()
}

// refuseQueuedIfLeaving refuses all queued requests if the endpoint accepts no new ones.
func (r *runner) refuseQueuedIfLeaving() {
	if r.isLeaving() {
		r.refuseQueued(codeLeaving, messageLeaving, minRetryAfter)
	}
}

// backoffLeft returns the time until the endpoint may get requests again, 0 if it may now.
func (r *runner) backoffLeft() time.Duration {
	backoff, backedOff := r.mgr.available.Backoff(r.id)
	if !backedOff {
		return 0
	}
	return backoff.Until.Sub(r.mgr.clock.Now())
}

// endProbe ends the attempt as the one that finds out whether the endpoint's backoff is over, if
// it is that.
func (r *runner) endProbe(a *Attempt, answered bool) {
	if a.probe {
		a.probe = false
		r.mgr.available.EndProbe(r.id, answered)
	}
}
