package soak

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/standin/runner"
)

// Guards against a check of cut answers that excuses one for a fault that did not touch it, or blames a
// daemon for what its runner, a path or the end of its process did.
func TestCutsAreExcused(t *testing.T) {
	one, other := &daemon{name: "vm-1"}, &daemon{name: "vm-2"}
	const after = 500 * time.Millisecond
	for _, tt := range []struct {
		name string
		do   func(w *World, req *request, h, second *proxiedRunner)
		runs int // that began, by h and then by second
		want string
	}{
		{"a sound runner", nil, 1, "though i-1"},
		{"a sound runner, silent", func(_ *World, _ *request, h, _ *proxiedRunner) { h.Silence(after) }, 1, "though i-1"},
		{"no runner had it", nil, 0, "before a runner had it"},
		{"no runner had it, cut at once", func(_ *World, req *request, _, _ *proxiedRunner) { req.ended = req.sent.Add(lossSlack) }, 0, ""},
		{"its time is up", func(_ *World, req *request, _, _ *proxiedRunner) { req.ended = req.sent.Add(timeout) }, 1, ""},
		{"complete", func(_ *World, req *request, _, _ *proxiedRunner) { req.complete = true }, 1, ""},
		{"left by its caller", func(_ *World, req *request, _, _ *proxiedRunner) { req.abandoned = true }, 1, ""},
		{"its runner broke it off", func(_ *World, req *request, h, _ *proxiedRunner) { h.NoteBreak(req.id) }, 1, ""},
		{"its runner broke another off", func(_ *World, _ *request, h, _ *proxiedRunner) { h.NoteBreak("c0-2") }, 1, "though i-1"},
		{"its runner ended", func(_ *World, _ *request, h, _ *proxiedRunner) { h.Kill() }, 1, ""},
		{"the first of two runners ended", func(_ *World, _ *request, h, _ *proxiedRunner) { h.Kill() }, 2, "though i-2"},
		{"the second of two runners ended", func(_ *World, _ *request, _, second *proxiedRunner) { second.Kill() }, 2, "though i-1"},
		{"both ended", func(_ *World, _ *request, h, second *proxiedRunner) { h.Kill(); second.Kill() }, 2, ""},
		{"its daemon is killed", func(w *World, _ *request, _, _ *proxiedRunner) { w.noteBreakage(one, nil, 0, 0) }, 1, ""},
		{"another daemon is killed", func(w *World, _ *request, _, _ *proxiedRunner) { w.noteBreakage(other, nil, 0, 0) }, 1, "though i-1"},
		{"its daemon's grace ends later", func(w *World, _ *request, _, _ *proxiedRunner) {
			w.noteBreakage(one, nil, stopGrace-graceLeft, graceLeft)
		}, 1, "though i-1"},
		{"the path to its runner", func(w *World, _ *request, h, _ *proxiedRunner) { w.noteBreakage(one, h, 0, after) }, 1, ""},
		{"the path to another runner", func(w *World, _ *request, _, second *proxiedRunner) { w.noteBreakage(one, second, 0, after) }, 1, "though i-1"},
		{"another daemon's path to its runner", func(w *World, _ *request, h, _ *proxiedRunner) { w.noteBreakage(other, h, 0, after) }, 1, "though i-1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := &World{startedAt: time.Now(), daemons: []*daemon{one, other}, opts: Options{Dir: t.TempDir()}}
			var list []*proxiedRunner
			for _, id := range []string{"i-1", "i-2"} {
				h := &proxiedRunner{Server: runner.New(runner.Spec{ID: id}, func(string, string, any) {})}
				t.Cleanup(h.Kill)
				list = append(list, h)
			}
			now := time.Now()
			req := &request{id: "c0-1", kind: "gen", daemon: one, sent: now, ended: now.Add(after), err: io.ErrUnexpectedEOF}
			w.requests = []*request{req}
			runs := map[string][]execution{}
			for _, h := range list[:tt.runs] {
				runs[req.id] = append(runs[req.id], execution{runner.Run{ID: req.id, At: now}, h})
			}
			if tt.do != nil {
				tt.do(w, req, list[0], list[1])
			}
			w.checkCuts(runs)
			got := strings.Join(w.violations, "\n")
			assert.Equal(t, got != "", tt.want != "", got)
			assert.Assert(t, strings.Contains(got, tt.want), got)
		})
	}
}
