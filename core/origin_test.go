package core

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOriginHeaders guards against an origin that another daemon reads as none or as another one, and against
// headers of a caller that are taken for a daemon's.
func TestOriginHeaders(t *testing.T) {
	for _, o := range []*Origin{nil, {Service: "s"}, {Service: "s", Version: "v1.1"}} {
		h := http.Header{}
		h.Set(HeaderOriginService, "of the caller")
		h.Set(HeaderOriginVersion, "of the caller")
		(&Forward{From: "vm-1", Attempts: 1, Origin: o}).Write(h)
		f, err := ReadForward(h)
		assert.NilError(t, err)
		assert.DeepEqual(t, f.Origin, o)
		assert.Equal(t, len(h), 0, "%v", h)
	}
}

// TestStreamKeys guards against two streams under one key: of two workspaces, or of a name that runs into an id.
func TestStreamKeys(t *testing.T) {
	seen := map[StreamKey]bool{}
	for _, k := range []StreamKey{
		StreamKeyOf(nil, "q1"), StreamKeyOf(nil, "q2"), StreamKeyOf(&Workspace{Name: "a"}, "q1"), StreamKeyOf(&Workspace{Name: "b"}, "q1"),
		StreamKeyOf(&Workspace{Name: "aq"}, "1"), StreamKeyOf(&Workspace{Name: "q1"}, ""),
	} {
		assert.Assert(t, !seen[k])
		seen[k] = true
		data, err := json.Marshal(k)
		assert.NilError(t, err)
		var back StreamKey
		assert.NilError(t, json.Unmarshal(data, &back))
		assert.Equal(t, back, k)
	}
	var k StreamKey
	for _, text := range []string{`"12"`, `"zz345678901234567890123456789012"`} {
		assert.Assert(t, errors.Is(json.Unmarshal([]byte(text), &k), ErrInvalid), text)
	}
}
