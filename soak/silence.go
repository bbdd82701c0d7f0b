package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"primroseward/io/logs"
	"primroseward/standin/runner"
)

const (
	// maxSilence is for how long runners are silent at most.
	maxSilence = 1500 * time.Millisecond
	// maxSilences is how often runners are silent in one fault at most.
	maxSilences = 5
	// nearlyFullRoom is for how many more requests nearly full runners have room at most.
	nearlyFullRoom = 3
	// lossSlack is how long after it was sent a request that no runner has received may be cut.
	lossSlack = 200 * time.Millisecond
	// timeUpMargin is how long before the end of its time limit a request's time counts as up.
	timeUpMargin = 100 * time.Millisecond
	// breakageTail is how long after its end a breakage may still break answers off.
	breakageTail = 500 * time.Millisecond
	// graceLeft is the part of a daemon's grace time at whose end it may cut answers.
	graceLeft = stopGrace / 6
)

// silenceRunners makes runners silent once or several times in turn.
func (w *World) silenceRunners(r *rand.Rand) string {
	at := time.Duration(0)
	for range r.IntN(maxSilences) {
		at += randomSeconds(r, 0.2, maxSilence.Seconds())
		next := rand.New(rand.NewPCG(w.opts.Seed, r.Uint64()))
		w.schedule(at, func() { w.logEvent("silent runners, again: %s", w.silenceOnce(next)) })
	}
	return w.silenceOnce(r)
}

// silenceOnce makes one runner, some or all of a service silent for a while. They go on afterwards. At
// times the runners of that service have little room meanwhile.
func (w *World) silenceOnce(r *rand.Rand) string {
	service, length := []string{"gen", "app"}[r.IntN(2)], randomSeconds(r, 0.2, maxSilence.Seconds())
	w.mu.Lock()
	var list []*proxiedRunner
	for _, h := range w.runners {
		if h.Service == service {
			list = append(list, h)
		}
	}
	w.mu.Unlock()
	n, full := 1+r.IntN(len(list)), r.IntN(2) == 0
	for i, k := range r.Perm(len(list)) {
		if full {
			list[k].SetBrittle(runner.Brittle{Room: max(1, list[k].Running()+r.IntN(nearlyFullRoom+1))})
			w.schedule(length, func() { list[k].SetBrittle(runner.Brittle{Room: 2 * w.slots()}) })
		}
		if i < n {
			list[k].Silence(length)
		}
	}
	return fmt.Sprintf("%d of %d %s for %v, nearly full: %v", n, len(list), service, length, full)
}

// breakage is a time in which answers may break off for a reason that neither the daemon's process nor
// the runner decides. An empty daemon or runner stands for all.
type breakage struct {
	interval
	daemon *daemon
	runner *proxiedRunner
}

// noteBreakage records a breakage that begins after a delay.
func (w *World) noteBreakage(d *daemon, h *proxiedRunner, after, length time.Duration) {
	from := time.Now().Add(after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakages = append(w.breakages, breakage{interval{from, from.Add(length + breakageTail)}, d, h})
}

// isBroken reports whether answers of a runner, nil for any, through one of the daemons may have broken
// off between two times.
func (w *World) isBroken(through []*daemon, h *proxiedRunner, from, to time.Time) bool {
	for _, b := range w.breakages {
		if !b.from.Before(to) || !b.to.After(from) || b.runner != nil && b.runner != h {
			continue
		}
		for _, d := range through {
			if b.daemon == nil || b.daemon == d {
				return true
			}
		}
	}
	return false
}

// checkCuts checks that no request ended without an answer before its time was up if its daemon lived on,
// or was leaving with grace time to spare, and a runner that ran it went on or no runner had it yet.
func (w *World) checkCuts(runs map[string][]execution) {
	through := w.daemonsPassed()
	excused := 0
	for _, req := range w.requests {
		if req.err == nil || req.complete || req.abandoned || !req.ended.Before(req.sent.Add(timeout-timeUpMargin)) {
			continue
		}
		if text := w.cutInVain(req, append(through[req.id], req.daemon), runs[req.id]); text != "" {
			w.reportViolation("%s: %s at %s was cut after %v with status %d and %d bytes, %s: %v",
				req.id, req.kind, req.daemon.name, req.ended.Sub(req.sent), req.status, len(req.answer), text, req.err)
			continue
		}
		excused++
	}
	w.logEvent("cut before their time was up, for a reason: %d", excused)
}

// cutInVain says why a request need not have been cut; empty: it had to.
func (w *World) cutInVain(req *request, through []*daemon, runs []execution) string {
	if w.isBroken(through, nil, req.sent, req.ended) {
		return ""
	}
	if len(runs) == 0 && req.ended.After(req.sent.Add(lossSlack)) {
		return "before a runner had it"
	}
	for _, r := range runs {
		if !r.runner.HasBrokenOff(r.Run, req.ended) && !w.isBroken(through, r.runner, r.At, req.ended) {
			return "though " + r.runner.ID + " that ran it went on"
		}
	}
	return ""
}

// daemonsPassed returns by request the other daemons that it was passed on to, as the logs say.
func (w *World) daemonsPassed() map[string][]*daemon {
	out := map[string][]*daemon{}
	for _, path := range w.logFiles() {
		for line := range strings.Lines(readFile(path)) {
			var l struct {
				Event string `json:"msg"`
				ID    string `json:"request"`
				To    string `json:"to"`
			}
			if json.Unmarshal([]byte(line), &l) != nil || l.Event != logs.RequestForwarded {
				continue
			}
			for _, d := range w.daemons {
				if d.name == l.To {
					out[l.ID] = append(out[l.ID], d)
				}
			}
		}
	}
	return out
}
