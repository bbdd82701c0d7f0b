package setting

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// The sample settings file is valid, and a missing file is reported as such.
func TestSampleIsValid(t *testing.T) {
	s, err := Load("../docs/samples/primrosed.json")
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "vm-1")
	assert.Equal(t, len(s.SeedAddrs), 2)
	_, err = Load("missing.json")
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

// All faults of a file are reported together, not only the first one.
func TestAllFaultsAreReported(t *testing.T) {
	cases := []struct {
		text string
		want []string
	}{
		{`{"nam":"x","held":{"life":5}}`, []string{"held.life: want a string, got the number 5", "nam: unknown field"}},
		{`{"limits":{"backoff":"-1s"}}`, []string{`limits.backoff: want a duration of zero or more, got "-1s"`}},
		{
			`{"place":"a","caller":"localhost:1","peer":"127.0.0.1:1","admin":"10.0.0.1:1","platform":"127.0.0.1:1","seeds":["x"],"log":{"level":"loud"},"trace":{"share":2},"limits":{"header":"1B"}}`,
			[]string{
				"name: must be set", `caller: want IP:port, got "localhost:1"`, `seeds[0]: want IP:port, got "x"`,
				"token: must be set, or admin must be a loopback address", `log.level: want debug, info, warn or error, got "loud"`,
				"trace.share: must be from 0 to 1", "limits: header must be 1KB or more, the others above zero",
			},
		},
	}
	for _, tt := range cases {
		_, err := Parse([]byte(tt.text))
		assert.Assert(t, errors.Is(err, core.ErrInvalid))
		assert.DeepEqual(t, strings.Split(err.Error(), "\n"), tt.want)
	}
}

// A misspelt mode must not silently turn balancing on or off.
func TestBalanceIsChecked(t *testing.T) {
	const text = `{"name":"a","place":"a","caller":"127.0.0.1:1","peer":"127.0.0.1:2","admin":"127.0.0.1:3","platform":"127.0.0.1:4",
		"fleet":{"ready":"127.0.0.1:5","directory":"127.0.0.1:6","keep":"1s","grace":"1s","lease":"1s","window":"1s","balance":%q}}`
	for _, tt := range []struct{ value, want string }{
		{"", ""},
		{"auto", ""},
		{"on", ""},
		{"off", ""},
		{"yes", `fleet.balance: want auto, on or off, got "yes"`},
	} {
		_, err := Parse(fmt.Appendf(nil, text, tt.value))
		if tt.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Error(t, err, tt.want)
	}
}

// A bound on clients that is out of range is reported by its name; without one it follows from the machine.
func TestBoundsOnClients(t *testing.T) {
	const text = `{"name":"a","place":"a","caller":"127.0.0.1:1","peer":"127.0.0.1:2","admin":"127.0.0.1:3","platform":"127.0.0.1:4","limits":{%s}}`
	for _, tt := range []struct {
		limits, fault        string
		memory               int64
		connections, receive int
	}{
		{limits: `"memory":"96MB","descriptors":1000`, memory: 24e6, connections: 500, receive: 11_520},
		{limits: `"memory":"284MB","descriptors":4100`, memory: 71e6, connections: 2050, receive: 8_312},
		{limits: `"memory":"16MB","descriptors":4100`, memory: 4e6, connections: 117, receive: 8_205},
		{limits: `"descriptors":4100`, memory: 64e6, connections: 2050},
		{limits: `"memory":"96MB","connections":300,"unread":"5KB"`, memory: 24e6, connections: 300, receive: 5000},
		{limits: `"descriptors":100`, fault: "limits.descriptors: must be 128 or more, or 0"},
		{limits: `"connections":-1`, fault: "limits.connections: must not be below zero, and below descriptors"},
		{limits: `"descriptors":200,"connections":200`, fault: "limits.connections: must not be below zero, and below descriptors"},
		{limits: `"unread":"1KB"`, fault: "limits.unread: must be 4096B or more, or 0B"},
		{limits: `"reader":"0s"`, fault: "limits.reader: must be above zero"},
	} {
		s, err := Parse(fmt.Appendf(nil, text, tt.limits))
		if tt.fault != "" {
			assert.Error(t, err, tt.fault)
			continue
		}
		assert.NilError(t, err)
		got := s.Limits.Intake()
		assert.Equal(t, got.Memory, tt.memory, tt.limits)
		assert.Equal(t, got.Connections, tt.connections, tt.limits)
		assert.Equal(t, got.Unread, tt.receive, tt.limits)
	}
}
