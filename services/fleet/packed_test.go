package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/coordination/watch"
	"primroseward/core"
	"primroseward/platform"
)

// bigConfig returns a configuration with many routes, in the form in which the store keeps it.
func bigConfig(t testing.TB, routes int) core.Object {
	t.Helper()
	m := platform.ConfigMessage{Version: 7}
	for i := range routes {
		m.Routes = append(m.Routes, platform.RouteMessage{
			Name: fmt.Sprint("route-", i*7919), Host: fmt.Sprintf("h%d.example", i%9), Prefix: fmt.Sprintf("/p%d/", i*104729),
			Kind: "safe", TimeoutMS: 800, TargetMS: 300, Service: "app", MaxAttempts: 2,
		})
	}
	body, err := json.Marshal(m)
	assert.NilError(t, err)
	return core.Object{Kind: platform.KindConfig, Name: platform.NameConfig, Version: 9, Body: body}
}

// The daemons of a data centre all fetch a configuration of 1,200 routes from one of them.
// Uncompressed, it saturates the small link of the sending daemon: the streams of its callers
// stall for seconds, and runners continue with requests whose callers have disconnected. The
// snapshot must be sent compressed, and must be compressed only once.
func TestSnapshotsAreCompressedOnce(t *testing.T) {
	s := watch.Snapshot{Version: 9, LastChange: 9, Objects: []core.Object{bigConfig(t, 1200)}}
	plain, err := json.Marshal(s)
	assert.NilError(t, err)
	c := &snapshotCache{}
	first, err := c.get(platform.KindConfig, 3, s)
	assert.NilError(t, err)
	assert.Assert(t, len(first)*8 < len(plain), "%d of %d bytes", len(first), len(plain))
	s.HealthyFor = time.Minute
	again, err := c.get(platform.KindConfig, 3, s)
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &again[0], "compressed again")
	got, err := decodeSnapshot(again)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, s.Version)
	assert.Equal(t, string(got.Objects[0].Body), string(s.Objects[0].Body))
	s.Version = 10
	next, err := c.get(platform.KindConfig, 3, s)
	assert.NilError(t, err)
	assert.Assert(t, &next[0] != &first[0], "an older version was returned")
	for i := range 3 * maxCachedSnapshots {
		_, err := c.get("other", uint64(i), watch.Snapshot{Version: 1})
		assert.NilError(t, err)
	}
	assert.Assert(t, len(c.data) <= maxCachedSnapshots)
}

func BenchmarkSnapshotEncoding(b *testing.B) {
	s := watch.Snapshot{Version: 9, Objects: []core.Object{bigConfig(b, 1200)}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (&snapshotCache{}).get(platform.KindConfig, 3, s); err != nil {
			b.Fatal(err)
		}
	}
}
