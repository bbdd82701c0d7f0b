package soak

import "time"

const (
	// drainTime is how long after a daemon has passed on an answer that announces that its
	// runner is leaving requests of that daemon may still arrive there.
	drainTime = 2 * time.Second
	// backoffSettleTime is how long after a rejection requests of the same daemon that were on
	// their way may arrive, maxInBackoff how many may arrive from then on until the backoff is over.
	backoffSettleTime = 500 * time.Millisecond
	maxInBackoff      = 2
)

// process identifies a process of a daemon: a later one knows nothing of what was announced
// to an earlier one.
type process struct {
	daemon *daemon
	start  time.Time
}

// requestsByID returns the requests by their ids.
func (w *World) requestsByID() map[string]*request {
	out := make(map[string]*request, len(w.requests))
	for _, req := range w.requests {
		out[req.id] = req
	}
	return out
}

// checkLeaving checks that a daemon sends no requests to a runner later than drainTime after it
// has passed on an answer that announces that the runner is leaving. A daemon that was frozen
// since then is left out.
func (w *World) checkLeaving(h *proxiedRunner, byID map[string]*request) {
	if h.leavingAt.IsZero() {
		return
	}
	told := map[process]time.Time{}
	for _, r := range h.Runs() {
		req := byID[r.ID]
		if req == nil || r.At.Before(h.leavingAt) || !req.complete {
			continue
		}
		p := process{req.daemon, req.processStart}
		if at, ok := told[p]; !ok || req.ended.Before(at) {
			told[p] = req.ended
		}
	}
	for _, a := range h.Arrivals() {
		req := byID[a.ID]
		if req == nil {
			continue
		}
		at, ok := told[process{req.daemon, req.processStart}]
		if ok && req.sent.After(at.Add(drainTime)) && req.daemon.resumedAt.Before(at) {
			w.reportViolation("%s: sent to %s by %s, %v after an answer had announced that it leaves", a.ID, h.ID, req.daemon.name, req.sent.Sub(at))
		}
	}
}

// checkBackoffs checks that no more than maxInBackoff requests of a daemon arrive at a runner during a
// backoff that it has asked that daemon for.
func (w *World) checkBackoffs(h *proxiedRunner, byID map[string]*request) {
	arrived := h.Arrivals()
	for i, rejected := range arrived {
		req := byID[rejected.ID]
		if req == nil || rejected.Backoff == 0 {
			continue
		}
		from, to, n := rejected.At.Add(w.scale(backoffSettleTime)), rejected.At.Add(rejected.Backoff), 0
		for _, a := range arrived[i:] {
			other := byID[a.ID]
			if other != nil && other.daemon == req.daemon && other.processStart.Equal(req.processStart) && a.At.After(from) && a.At.Before(to) {
				n++
			}
		}
		if n > maxInBackoff && !req.daemon.impairedDuring(rejected.At, to) {
			w.reportViolation("%s: %s received %d requests of %s in a backoff of %v", rejected.ID, h.ID, n, req.daemon.name, rejected.Backoff)
			return
		}
	}
}
