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

// bigConfig is a configuration of many routes, as it lies in the store.
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

// Callers' streams stand still for seconds, and runners go on with requests whose
// callers have left: the daemons of a place all fetch a configuration of 1,200 routes
// from one of them over its small link. It goes over the wire compressed, and is
// compressed once.
func TestCopiesAreCompressedOnce(t *testing.T) {
	c := watch.Copy{Version: 9, Change: 9, Objects: []core.Object{bigConfig(t, 1200)}}
	whole, err := json.Marshal(c)
	assert.NilError(t, err)
	p := &packed{}
	first, err := p.get(platform.KindConfig, 3, c)
	assert.NilError(t, err)
	assert.Assert(t, len(first)*8 < len(whole), "%d of %d bytes", len(first), len(whole))
	c.Healthy = time.Minute
	again, err := p.get(platform.KindConfig, 3, c)
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &again[0], "compressed again")
	got, err := unpack(again)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, c.Version)
	assert.Equal(t, string(got.Objects[0].Body), string(c.Objects[0].Body))
	c.Version = 10
	next, err := p.get(platform.KindConfig, 3, c)
	assert.NilError(t, err)
	assert.Assert(t, &next[0] != &first[0], "an older version")
	for i := range 3 * maxPacked {
		_, err := p.get("other", uint64(i), watch.Copy{Version: 1})
		assert.NilError(t, err)
	}
	assert.Assert(t, len(p.data) <= maxPacked)
}

func BenchmarkPack(b *testing.B) {
	c := watch.Copy{Version: 9, Objects: []core.Object{bigConfig(b, 1200)}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (&packed{}).get(platform.KindConfig, 3, c); err != nil {
			b.Fatal(err)
		}
	}
}
