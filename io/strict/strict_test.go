package strict

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

type document struct {
	Name  string            `json:"name"`
	Wait  core.Duration     `json:"wait"`
	Size  *core.Bytes       `json:"size"`
	Parts []document        `json:"parts"`
	Table map[string]int    `json:"table"`
	Text  map[string]string `json:"text"`
	On    bool              `json:"on"`
	Share float64           `json:"share"`
}

func TestDecode(t *testing.T) {
	cases := []struct{ text, want string }{
		{`{"name":"a","wait":"1s","size":null,"parts":null,"table":{"x":1}}`, ""},
		{`{"nam":1}`, "nam: unknown field"},
		{`{"name":null}`, "name: must not be null"},
		{`{"parts":[{"wait":1},{"on":"yes"}]}`, "parts[0].wait: want a string, got the number 1\nparts[1].on: want true or false, got the string \"yes\""},
		{`{"table":{"x":1.5}}`, "table.x: want a whole number in range, got the number 1.5"},
		{`[]`, "(document): want an object, got a list"},
		{`{} {}`, "(document): more than one JSON value"},
		{`{`, "(document): not JSON: unexpected EOF"},
	}
	for _, tt := range cases {
		var d document
		err := Decode([]byte(tt.text), &d)
		if tt.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Error(t, err, tt.want)
		assert.Assert(t, errors.Is(err, core.ErrInvalid))
	}
}

// FuzzDecode searches for documents that the walker accepts and the decoder then
// rejects. Such an error would have no path.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","parts":[{"table":{"x":1}}],"share":1e3}`))
	f.Add([]byte(`{"text":{"a":null},"size":"1GB"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d document
		err := Decode(data, &d)
		var problems Problems
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("no path: %v", err)
		}
	})
}
