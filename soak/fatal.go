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
	// fatal begins the body of a request that ends each runner that begins to run it.
	fatal = "fatal"
	// fatalPause is the time between a caller's attempts.
	fatalPause = 150 * time.Millisecond
	// fatalAfter is how long a runner lives once it has begun such a request.
	fatalAfter = 60 * time.Millisecond
	// endsBorne is how many runners may end under a request before it is stopped, and
	// runsBorne how often it may run later than fatalSettle after that.
	endsBorne   = 3
	runsBorne   = 3
	fatalSettle = 3 * time.Second
)

// isFatal says whether a request's body ends runners.
func isFatal(body string) bool { return strings.HasPrefix(body, fatal) }

// crashed replaces a runner that a request has ended, unless it has been replaced already,
// as it had said that it leaves.
func (w *World) crashed(h *host) {
	h.proxy.Close()
	w.mu.Lock()
	replaced := slices.Contains(w.gone, h)
	w.mu.Unlock()
	if replaced {
		return
	}
	r := rand.New(rand.NewPCG(w.opts.Seed, uint64(len(h.ID))))
	w.harmAll(time.Second)
	w.replace(h, r)
	w.later(seconds(r, 0.5, 3), func() { w.store.Remove(wire.KindRunners, h.ID) })
}

// sendFatal sends a request that ends runners again and again for a time, under new ids
// and to daemons drawn at random.
func (w *World) sendFatal(r *rand.Rand) string {
	kind := []string{"gen", "order", "ask"}[r.IntN(3)]
	body, length := fmt.Sprintf("%s-%d", fatal, r.Uint64()), seconds(r, 4, 9)
	w.later(0, func() {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(fatalPause) {
			d := w.anyDaemon(r)
			d.mu.Lock()
			process := d.began
			d.mu.Unlock()
			id := fmt.Sprintf("%s-%d", body, r.Uint64())
			a := &ask{id: id, kind: kind, target: "/" + kind + "/" + fatal, body: body, daemon: d, process: process}
			w.later(0, func() { w.attempt(a) })
		}
	})
	return fmt.Sprintf("%s %s for %v", kind, body, length)
}

// attempt sends one request on a connection of its own.
func (w *World) attempt(a *ask) {
	conn, err := net.DialTimeout("tcp", a.daemon.front.Addr(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	w.send(a, "m1", conn, bufio.NewReader(conn))
}

// checkFatal checks that requests that end runners were stopped, and no others.
func (w *World) checkFatal() {
	known := map[string]bool{}
	byID, bodies := map[string]*ask{}, map[string]*ask{}
	for _, a := range w.asked {
		if isFatal(a.body) {
			byID[a.id], bodies[a.body] = a, a
			known[core.DigestOf(&core.Request{Method: "POST", Host: "h.example", Target: a.target, Body: []byte(a.body)}).String()] = true
		}
	}
	runs := map[string][]where{}
	for _, list := range w.runs() {
		for _, r := range list {
			runs[r.Body] = append(runs[r.Body], r)
		}
	}
	for body, a := range bodies {
		if late := w.lateRuns(runs[body], byID); late > runsBorne {
			w.note("%s %s: ran %d times later than %v after it had ended %d runners", a.kind, body, late, fatalSettle, endsBorne)
		}
	}
	for _, path := range w.logs() {
		for line := range strings.Lines(readAll(path)) {
			if digest := heldBack(line); digest != "" && !known[digest] {
				w.note("a harmless request is held back: %s: %s", path, strings.TrimSpace(line))
			}
		}
	}
}

// lateRuns counts the runs of a request after it must have been stopped, but for those
// by daemons that had just started or stood still: they need a moment to learn of it.
func (w *World) lateRuns(runs []where, byID map[string]*ask) int {
	slices.SortFunc(runs, func(a, b where) int { return a.At.Compare(b.At) })
	if len(runs) <= endsBorne {
		return 0
	}
	settled := runs[endsBorne-1].At.Add(fatalAfter + w.slow(fatalSettle))
	n := 0
	for _, r := range runs {
		a, since := byID[r.ID], r.At.Add(-fatalSettle)
		if r.At.After(settled) && a.process.Before(since) && a.daemon.thawedBefore(since) {
			n++
		}
	}
	return n
}

// thawedBefore says whether a daemon has run without a pause since a moment.
func (d *daemon) thawedBefore(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.frozen && d.thawed.Before(since)
}

// heldBack returns the digest that a log line says is held back, if it says so.
func heldBack(line string) string {
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
