package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"primroseward/standin/runner"
)

// softwareVersions are the versions of the runners' software. They have no order.
var softwareVersions = []string{"v1", "v2", "v1.1"}

const (
	// maxTakeUps bounds how often a caller takes one stream up, takeUpPause is its pause between two.
	maxTakeUps  = 3
	takeUpPause = 100 * time.Millisecond
)

// changeVersion makes new runners have another version, and replaces one runner of models.
func (w *World) changeVersion(r *rand.Rand) string {
	w.mu.Lock()
	w.software = softwareVersions[r.IntN(len(softwareVersions))]
	text := w.software
	w.mu.Unlock()
	h := w.anyRunner(r)
	if h == nil || h.Service != "gen" {
		return text
	}
	w.retireRunner(h, r)
	return text + ", in place of " + h.ID
}

// streamPart is what a caller has received of a stream: whole events only.
type streamPart struct {
	first, last int
	versions    []string // of the runners that generated the events
}

// partOf reads the whole events of an answer. ok is false if one is missing, comes twice or is not an
// event that a runner sends.
func partOf(text string) (p streamPart, ok bool) {
	for len(text) > 0 {
		event, rest, whole := strings.Cut(text, "\n\n")
		if !whole {
			return p, true
		}
		text = rest
		lines := strings.Split(event, "\n")
		if len(lines) != 2 || !strings.HasPrefix(lines[0], "id: ") {
			return p, false
		}
		id, err := strconv.Atoi(lines[0][len("id: "):])
		words := strings.Fields(lines[1])
		if err != nil || len(words) != 4 || words[0] != "data:" || words[1] != "piece" || words[2] != strconv.Itoa(id) {
			return p, false
		}
		if p.first == 0 {
			p.first, p.last = id, id-1
		}
		if id != p.last+1 {
			return p, false
		}
		p.last = id
		if !slices.Contains(p.versions, words[3]) {
			p.versions = append(p.versions, words[3])
		}
	}
	return p, true
}

// isWholeStream reports whether the answer to a stream that ended normally is the rest of it, from one
// version.
func isWholeStream(req *request) bool {
	var want strings.Builder
	p, ok := partOf(req.answer)
	if !ok || len(p.versions) != 1 {
		return ok && req.answer == "" && req.lastEvent == eventsPerStream
	}
	for i := req.lastEvent + 1; i <= eventsPerStream; i++ {
		want.WriteString(runner.EventText(i, p.versions[0]))
	}
	return req.answer == want.String()
}

// neverServed reports whether a refusal states that the stream can't go on, so that there is no time to
// come back.
func neverServed(req *request) bool {
	return req.first != nil && (strings.Contains(req.answer, `"origin_unknown"`) || strings.Contains(req.answer, `"version_gone"`))
}

// takeUp takes a stream up that has broken off, at the daemon that the directory lists next, until it ends
// or is refused.
func (c *caller) takeUp(first *request) {
	req := first
	last := 0
	for range maxTakeUps {
		if p, ok := partOf(req.answer); ok && req.status == http.StatusOK {
			last = max(last, p.last)
		}
		if last == 0 || req.complete && (req.status == http.StatusOK || neverServed(req)) {
			return
		}
		time.Sleep(takeUpPause)
		d := c.pickDaemon()
		if d == nil {
			return
		}
		conn, err := net.DialTimeout("tcp", d.callerProxy.Addr(), time.Second)
		if err != nil {
			continue
		}
		c.sent++
		d.mu.Lock()
		req = &request{
			id: fmt.Sprintf("c%d-%d", c.index, c.sent), kind: "gen", target: first.target, model: first.model, prompt: first.prompt, first: first, lastEvent: last, daemon: d, processStart: d.processStart,
		}
		d.mu.Unlock()
		c.w.send(req, conn, bufio.NewReader(conn))
		_ = conn.Close()
	}
}

// checkVersions checks that no stream holds events of two software versions, in one answer or over all of
// its caller's attempts, and that each of these goes on where the one before ended.
func (w *World) checkVersions() {
	versions := map[*request][]string{}
	for _, req := range w.requests {
		if req.kind != "gen" || req.status != http.StatusOK {
			continue
		}
		p, ok := partOf(req.answer)
		if !ok || p.first > 0 && p.first != req.lastEvent+1 {
			w.reportViolation("%s: events are missing, come twice or are wrong after event %d: %.200q", req.id, req.lastEvent, req.answer)
		}
		first := req
		if req.first != nil {
			first = req.first
		}
		for _, v := range p.versions {
			if !slices.Contains(versions[first], v) {
				versions[first] = append(versions[first], v)
			}
		}
	}
	for first, list := range versions {
		if len(list) > 1 {
			w.reportViolation("%s: its stream holds events of versions %v", first.id, list)
		}
	}
}
