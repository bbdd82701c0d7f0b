package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"

	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/runner"
)

const (
	// firstPart is the first part of all prompts, documentParts the number of parts that harmless ones share.
	firstPart     = "a1"
	documentParts = 4
	// maxPartExits is how many runners may exit under requests with one prompt part before these must be
	// stopped.
	maxPartExits = 5
)

// fatalParts are the prompt parts that make each runner exit that begins to run a request with one.
var fatalParts = []string{"bad0", "bad1", "bad2", "bad3", "bad4", "bad5", "bad6", "bad7"}

// fatalForms are how some of fatalParts do so. The others make a runner exit after fatalAfter.
var fatalForms = map[string]runner.FatalForm{
	"bad1": {After: fatalAfter, Stage: runner.FatalBeforeHead},
	"bad2": {After: 10 * eventGap, Stage: runner.FatalAfterEvents},
	"bad3": {After: eventsPerStream * eventGap, Stage: runner.FatalAfterEvents},
	"bad4": {After: fatalAfter, One: 2},
}

// harmlessPrompt returns the shared parts of the prompt of a harmless request.
func harmlessPrompt(id string) []string {
	h := fnv.New32()
	_, _ = h.Write([]byte(id)) // never fails
	return []string{firstPart, fmt.Sprint("d", h.Sum32()%documentParts)}
}

// promptLine returns the header line of a prompt, whose last part is the request's own.
func promptLine(req *request) string {
	var b strings.Builder
	for _, p := range req.prompt {
		b.WriteString(p + ":400,")
	}
	return fmt.Sprintf("%s: %s%x:250\r\n", wire.HeaderParts, b.String(), req.id)
}

// sendFatalPart sends requests that share one fatal part and are not equal otherwise, for a time, to daemons drawn
// at random.
func (w *World) sendFatalPart(r *rand.Rand) string {
	part, length := fatalParts[r.IntN(len(fatalParts))], randomSeconds(r, 4, 9)
	w.sendAtRandom(r, length, func() *request {
		id := fmt.Sprintf("%s-%d", part, r.Uint64())
		return &request{id: id, kind: "gen", target: "/gen/" + id, prompt: []string{firstPart, part}}
	})
	return fmt.Sprintf("%s for %v", part, length)
}

// checkFatalParts checks that requests with fatal parts were stopped. It returns the digests that may be on hold for
// them.
func (w *World) checkFatalParts() map[string]bool {
	allowed, byID := map[string]bool{}, map[string]*request{}
	for _, req := range w.requests {
		if hasFatalPart(req) {
			byID[req.id] = req
			allowed[core.DigestOf(&core.Request{Method: "POST", Host: "h.example", Target: req.target}).String()] = true
		}
	}
	runs := map[string][]execution{}
	for id, list := range w.runsByRequest() {
		if req := byID[id]; req != nil {
			part := req.prompt[len(req.prompt)-1]
			runs[part] = append(runs[part], list...)
		}
	}
	for _, part := range fatalParts {
		allowed[core.NewPart(mainWorkspace, part).Digest.String()] = true
		if late := w.lateRuns(runs[part], byID, maxPartExits); late > maxLateRuns {
			w.reportViolation("%s: requests with this part ran %d times later than %v after %d runners had exited under it", part, late, fatalSettleTime, maxPartExits)
		}
	}
	return allowed
}

// hasFatalPart reports whether a request makes runners exit because of a part of its prompt.
func hasFatalPart(req *request) bool {
	return slices.ContainsFunc(req.prompt, func(p string) bool { return slices.Contains(fatalParts, p) })
}
