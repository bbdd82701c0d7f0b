package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	wire "primroseward/platform"
	"primroseward/standin/runner"
)

// maxAttempts is how many runners may run one request, by its kind.
var maxAttempts = map[string]int{"gen": 2, "ask": 3, "order": 1}

// maxLost is how many of a hundred requests may fail on a calm system: runners there
// have just been replaced, and callers ask for adapters that no runner has yet.
const maxLost = 5

// where is one run of a request.
type where struct {
	runner.Run
	host *host
}

// runs returns all runs by request.
func (w *World) runs() map[string][]where {
	out := map[string][]where{}
	for _, h := range slices.Concat(w.runners, w.gone) {
		for _, r := range h.Runs() {
			out[r.ID] = append(out[r.ID], where{r, h})
		}
	}
	return out
}

// checkConfig checks that a configuration is in force at all daemons: its route and its
// key are there and those before are not.
func (w *World) checkConfig(version int) {
	old, now := prefix(version-1), prefix(version)
	for _, d := range w.daemons {
		if got := d.get(now, versionKey(version)); got != http.StatusOK && got != http.StatusServiceUnavailable {
			w.note("%s answers %d on a route that was added %v ago", d.name, got, w.slow(inForce))
		}
		if got := d.get(old, mainWorkspace); got != http.StatusNotFound {
			w.note("%s answers %d on a route that was dropped %v ago", d.name, got, w.slow(inForce))
		}
		if got := d.get(now, versionKey(version-1)); got != http.StatusUnauthorized {
			w.note("%s answers %d to a key that was taken away %v ago", d.name, got, w.slow(inForce))
		}
	}
}

// get makes one request past all proxies.
func (d *daemon) get(path, key string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.caller+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set(wire.HeaderRequestID, fmt.Sprintf("probe-%s-%d", d.name, time.Now().UnixNano()))
	req.Header.Set(wire.HeaderTimeout, "2000")
	req.Header.Set(wire.HeaderKey, wire.KeyScheme+" "+key)
	resp, err := directoryClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkRuns checks where requests ran after planned work was in force.
func (w *World) checkRuns(leaving *host, narrowed time.Time) {
	for id, list := range w.runs() {
		for _, r := range list {
			if leaving != nil && r.host == leaving && r.At.After(narrowed) {
				w.note("%s: sent to %s, which has left", id, leaving.ID)
			}
			if r.host.Service == "app" && r.At.After(narrowed) && !slices.Contains(places[:2], r.host.Place) {
				w.note("%s: ran in %s, where the settings forbid it", id, r.host.Place)
			}
		}
	}
}

// check compares what callers were told with what runners have run.
func (w *World) check(calmFrom, calmTo time.Time) {
	runs := w.runs()
	for _, a := range w.asked {
		w.checkAsk(a, runs[a.id], calmFrom)
	}
	for _, h := range slices.Concat(w.runners, w.gone) {
		w.checkLimits(h)
		for _, v := range h.Violations() {
			w.note("loaded beyond its bounds: %s", v)
		}
		w.checkTerms(h)
	}
	for _, path := range w.logs() {
		for line := range strings.Lines(readAll(path)) {
			if strings.Contains(line, "DATA RACE") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				w.note("%s: %s", path, strings.TrimSpace(line))
			}
		}
	}
	w.checkFatal()
	w.checkWorkspaces(runs)
	good, all := w.count(calmFrom, calmTo)
	if all == 0 || (all-good)*100 > maxLost*all {
		w.note("%d of %d requests served while all was calm", good, all)
	}
}

func (w *World) checkAsk(a *ask, runs []where, calmFrom time.Time) {
	if len(runs) > maxAttempts[a.kind] {
		w.note("%s: %s ran %d times", a.id, a.kind, len(runs))
	}
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if refused && len(runs) > 0 {
		w.note("%s: %s was refused as not run with %d, and ran at %s", a.id, a.kind, a.status, runs[0].host.ID)
	}
	if a.status == http.StatusOK && len(runs) == 0 {
		w.note("%s: %s was answered and ran nowhere", a.id, a.kind)
	}
	// A planned stop of a daemon cuts nothing that has been passed on.
	if a.err != nil && !a.whole && !a.left && a.sent.After(calmFrom) && len(runs) > 0 {
		w.note("%s: %s at %s was cut in a calm system after it had been passed on: %v", a.id, a.kind, a.daemon.name, a.err)
	}
}

// limitSettle is how long after a runner first named a limit it must be kept, limitSpan over
// which it is, limitOver and limitSlack by how much more may arrive there.
const (
	limitSettle = 3 * time.Second
	limitSpan   = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

// checkLimits checks that a runner that named a limit got no more from all daemons. One that
// named several at the same time is bound by none of them.
func (w *World) checkLimits(h *host) {
	arrived := h.Arrived()
	for i, l := range h.limits {
		if slices.ContainsFunc(h.limits, func(o limited) bool { return o != l && o.from.Before(l.to) && l.from.Before(o.to) }) {
			continue
		}
		from, allowed := l.from.Add(w.slow(limitSettle)), int(limitOver*l.rate*limitSpan.Seconds()+limitSlack)
		first := 0
		for k, at := range arrived {
			if at.Before(from) || at.After(l.to) {
				first = k + 1
				continue
			}
			for at.Sub(arrived[first]) >= limitSpan {
				first++
			}
			if k-first+1 > allowed {
				w.note("%s got %d requests in %v under its limit %d of %v a second, allowed %d", h.ID, k-first+1, limitSpan, i, l.rate, allowed)
				break
			}
		}
	}
}

// checkTerms checks the orders that a runner accepted: an older holder's never come
// after a newer one's, and two holders leave a pause between theirs. A holder that
// has just been thawed may not know yet that its time is over.
func (w *World) checkTerms(h *host) {
	terms := h.Terms()
	for i := 1; i < len(terms); i++ {
		was, now := terms[i-1], terms[i]
		if now.Holder == was.Holder || w.thawedLately(now) || w.thawedLately(was) {
			continue
		}
		if now.Fence < was.Fence {
			w.note("%s: an order of %s (%d) after one of %s (%d)", h.ID, now.Holder, now.Fence, was.Holder, was.Fence)
		}
		if pause := now.At.Sub(was.At); pause < lease {
			w.note("%s: orders of %s and %s are %v apart", h.ID, was.Holder, now.Holder, pause)
		}
	}
}

// thawMargin is how long after a thaw a holder's orders may still be on their way.
const thawMargin = 300 * time.Millisecond

func (w *World) thawedLately(t runner.Term) bool {
	for _, d := range w.daemons {
		if d.name == t.Holder {
			since := t.At.Sub(d.thawed)
			return since > -thawMargin && since < thawMargin
		}
	}
	return false
}

// count returns how many requests were asked in a time, and how many of them served.
func (w *World) count(from, to time.Time) (good, all int) {
	for _, a := range w.asked {
		if a.sent.Before(from) || a.sent.After(to.Add(-timeout)) || a.left || a.hot {
			continue
		}
		all++
		if a.status == http.StatusOK && a.whole {
			good++
		}
	}
	return good, all
}

func (w *World) report(calmFrom, calmTo time.Time) *Report {
	r := &Report{Seed: w.opts.Seed, Wrong: w.wrong, Events: w.events, Asked: len(w.asked), Logs: w.logs()}
	for _, a := range w.asked {
		switch {
		case a.status == http.StatusOK && a.whole:
			r.Served++
		case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
			r.Refused++
		case !a.left:
			r.Lost++
		}
	}
	r.CalmGood, r.InCalm = w.count(calmFrom, calmTo)
	return r
}
