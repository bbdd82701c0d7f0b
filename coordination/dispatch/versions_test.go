package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// setVersions gives the runners of a Dispatcher software versions, in the order of their names.
func setVersions(d *Dispatcher, versions ...string) {
	for i, v := range versions {
		r := d.catalog.Runner(fmt.Sprint("r", i)).Runner
		r.Version = v
		d.catalog.Put(r, d.clock.Now())
	}
}

// versionOf returns the software version of a runner.
func versionOf(d *Dispatcher, runner string) string { return d.catalog.Runner(runner).Version }

// TestStreamIsResumedAtTheVersionThatBeganIt guards against a stream that a daemon continues at a runner
// of another software version than the one that began it.
func TestStreamIsResumedAtTheVersionThatBeganIt(t *testing.T) {
	for _, tt := range []struct {
		name     string
		versions []string
		whole    bool
	}{
		{"another runner of the version", []string{"v1", "v1", "v2", "v2"}, true},
		{"no other runner of the version", []string{"v1", "v2", "v3"}, false},
	} {
		for range 20 {
			f := &fleet{nextAct: script(breaksOff)}
			d := newDispatcher(f, len(tt.versions))
			setVersions(d, tt.versions...)
			_, body, err := call(d, route(core.KindStream, true, 4))
			for _, r := range f.runs {
				assert.Equal(t, versionOf(d, r), versionOf(d, f.runs[0]), tt.name)
			}
			assert.Equal(t, err == nil, tt.whole, "%s: %v", tt.name, err)
			if tt.whole {
				assert.Equal(t, body, eventText("", eventCount), tt.name)
			}
		}
	}
}

// TestStreamOfUnknownVersionDoesNotGoOn guards against a stream that a caller takes up at a daemon that
// does not know which of two software versions began it, and that goes on at either.
func TestStreamOfUnknownVersionDoesNotGoOn(t *testing.T) {
	for _, resumes := range []string{"q0", ""} {
		f := &fleet{nextAct: script()}
		d := newDispatcher(f, 2)
		setVersions(d, "v1", "v2")
		q := &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now(), LastEvent: "3", Resumes: resumes}
		_, err := d.Do(context.Background(), route(core.KindStream, true, 2), q)
		assert.Assert(t, err != nil, "it ran at %v", f.runs)
		refusal := core.AsRequestError(err)
		assert.Equal(t, len(f.runs), 0)
		assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
		assert.Equal(t, refusal.Outcome, core.OutcomeNotRun)
	}
}
