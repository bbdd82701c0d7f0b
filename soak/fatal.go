package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"primroseward/core"
	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/state/hold"
)

const (
	// fatalPrefix begins the body of a fatal request: each runner that begins to run it exits.
	fatalPrefix = "fatal"
	// fatalInterval is the time between two sends of a fatal request.
	fatalInterval = 150 * time.Millisecond
	// fatalAfter is the time from when a runner begins such a request until it exits.
	fatalAfter = 60 * time.Millisecond
	// maxFatalExits is how many runners may exit under a request before it must be stopped,
	// and maxLateRuns how often it may run later than fatalSettleTime after that.
	maxFatalExits   = 3
	maxLateRuns     = 3
	fatalSettleTime = 3 * time.Second
)

// isFatal reports whether a request with this body makes runners exit.
func isFatal(body string) bool { return strings.HasPrefix(body, fatalPrefix) }

// runnerExited replaces a runner that exited under a request, unless it has been replaced
// already because it had announced that it leaves.
func (w *World) runnerExited(h *proxiedRunner) {
	w.closeProxies(h)
	w.mu.Lock()
	replaced := slices.Contains(w.removedRunners, h)
	w.mu.Unlock()
	if replaced {
		return
	}
	r := rand.New(rand.NewPCG(w.opts.Seed, uint64(len(h.ID))))
	w.markAllImpaired(time.Second)
	w.replaceRunner(h, r)
	w.schedule(randomSeconds(r, 0.5, 3), func() { w.store.Remove(wire.KindRunners, h.ID) })
}

// sendFatal sends a fatal request repeatedly for a time, each time with a new id and to a
// daemon drawn at random.
func (w *World) sendFatal(r *rand.Rand) string {
	kind := []string{"gen", "order", "ask"}[r.IntN(3)]
	body, length := fmt.Sprintf("%s-%d", fatalPrefix, r.Uint64()), randomSeconds(r, 4, 9)
	w.sendAtRandom(r, length, func() *request {
		return &request{id: fmt.Sprintf("%s-%d", body, r.Uint64()), kind: kind, target: "/" + kind + "/" + fatalPrefix, body: body}
	})
	return fmt.Sprintf("%s %s for %v", kind, body, length)
}

// sendAtRandom sends what next returns every fatalInterval for a time, each to a daemon drawn at random.
func (w *World) sendAtRandom(r *rand.Rand, length time.Duration, next func() *request) {
	w.schedule(0, func() {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(fatalInterval) {
			d := w.anyDaemon(r)
			req := next()
			d.mu.Lock()
			req.daemon, req.processStart = d, d.processStart
			d.mu.Unlock()
			w.schedule(0, func() { w.sendOnNewConn(req) })
		}
	})
}

// sendOnNewConn sends one request on a new connection.
func (w *World) sendOnNewConn(req *request) {
	conn, err := net.DialTimeout("tcp", req.daemon.callerProxy.Addr(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	req.model = "m1"
	w.send(req, conn, bufio.NewReader(conn))
}

// checkFatal checks that fatal requests were stopped, and that no others are on hold.
func (w *World) checkFatal() {
	fatalDigests := w.checkFatalParts()
	byID, bodies := map[string]*request{}, map[string]*request{}
	for _, req := range w.requests {
		if isFatal(req.body) {
			byID[req.id], bodies[req.body] = req, req
			fatalDigests[core.DigestOf(&core.Request{Method: "POST", Host: "h.example", Target: req.target, Body: []byte(req.body)}).String()] = true
		}
	}
	runs := map[string][]execution{}
	for _, list := range w.runsByRequest() {
		for _, r := range list {
			runs[r.Body] = append(runs[r.Body], r)
		}
	}
	for body, req := range bodies {
		if late := w.lateRuns(runs[body], byID, maxFatalExits); late > maxLateRuns {
			w.reportViolation("%s %s: ran %d times later than %v after %d runners had exited under it", req.kind, body, late, fatalSettleTime, maxFatalExits)
		}
	}
	for _, path := range w.logFiles() {
		for line := range strings.Lines(readFile(path)) {
			if digest := heldDigest(line); digest != "" && !fatalDigests[digest] {
				w.reportViolation("a harmless request is on hold: %s: %s", path, strings.TrimSpace(line))
			}
		}
	}
}

// lateRuns counts the runs of a request after it must have been stopped, which is after some exits. It leaves
// out those through daemons that had just started or resumed: they receive the hold with a delay.
func (w *World) lateRuns(runs []execution, byID map[string]*request, exits int) int {
	slices.SortFunc(runs, func(a, b execution) int { return a.At.Compare(b.At) })
	fatal := slices.DeleteFunc(slices.Clone(runs), func(r execution) bool { return r.Fatal == nil })
	if len(fatal) <= exits {
		return 0
	}
	settled := fatal[exits-1].At.Add(fatal[exits-1].Fatal.After + w.scale(fatalSettleTime))
	n := 0
	for _, r := range runs {
		a, since := byID[r.ID], r.At.Add(-fatalSettleTime)
		if r.At.After(settled) && a.processStart.Before(since) && a.daemon.resumedBefore(since) {
			n++
		}
	}
	return n
}

// resumedBefore reports whether a daemon has not been frozen since the given time.
func (d *daemon) resumedBefore(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.frozen && d.resumedAt.Before(since)
}

// heldDigest returns the digest of the request that a log line reports on hold, or "" if the
// line reports none.
func heldDigest(line string) string {
	var l struct {
		Event  string     `json:"msg"`
		Digest string     `json:"digest"`
		State  hold.State `json:"state"`
	}
	if json.Unmarshal([]byte(line), &l) != nil || l.Event != logs.HoldChanged || l.State != hold.StateHeld {
		return ""
	}
	return l.Digest
}
