package dispatch

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// TestPanicEndsTheRequest guards against a request that counts as in progress for good after a defect has
// ended the work on it: a daemon that leaves would wait for it until its grace time ends.
func TestPanicEndsTheRequest(t *testing.T) {
	f := &fleet{nextAct: func(string) act { panic("a defect") }}
	d := newDispatcher(f, 1)
	func() {
		defer func() { assert.Equal(t, recover(), "a defect") }()
		_, _ = d.Do(context.Background(), route(core.KindUnsafe, false, 2), &core.Request{ID: "q", Model: "m", Header: http.Header{}, Arrived: d.clock.Now()})
	}()
	assert.Equal(t, d.Running(), 0)
}
