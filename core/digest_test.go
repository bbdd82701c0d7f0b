package core

import (
	"encoding/json"
	"errors"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDigestDistinguishesRequests(t *testing.T) {
	base := Request{ID: "1", Method: "POST", Host: "h", Target: "/a?b=1", Body: []byte("x"), Caller: netip.MustParseAddr("10.0.0.1")}
	for _, tt := range []struct {
		name   string
		change func(*Request)
		same   bool
	}{
		{"another id", func(q *Request) { q.ID = "2" }, true},
		{"another time limit", func(q *Request) { q.Timeout = 7 }, true},
		{"another address of the caller", func(q *Request) { q.Caller = netip.MustParseAddr("10.0.0.2") }, true},
		{"another path", func(q *Request) { q.Target = "/b?b=1" }, false},
		{"another query", func(q *Request) { q.Target = "/a?b=2" }, false},
		{"another method", func(q *Request) { q.Method = "PUT" }, false},
		{"another host", func(q *Request) { q.Host = "i" }, false},
		{"another body", func(q *Request) { q.Body = []byte("y") }, false},
		{"bytes moved from target to host", func(q *Request) { q.Host, q.Target = "h/a", "?b=1" }, false},
	} {
		q := base
		tt.change(&q)
		assert.Equal(t, DigestOf(&q) == DigestOf(&base), tt.same, tt.name)
	}
}

func TestDigestAsText(t *testing.T) {
	d := DigestOf(&Request{Target: "/a"})
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	var got Digest
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.Equal(t, got, d)
	for _, text := range []string{`""`, `"00"`, `"zz000000000000000000000000000000"`} {
		assert.Assert(t, errors.Is(json.Unmarshal([]byte(text), &got), ErrInvalid), text)
	}
}

func TestCallerOf(t *testing.T) {
	assert.Equal(t, CallerOf("[::ffff:10.0.0.1]:80"), netip.MustParseAddr("10.0.0.1"))
	assert.Equal(t, CallerOf("10.0.0.1:81"), netip.MustParseAddr("10.0.0.1"))
	assert.Equal(t, CallerOf("pipe"), netip.Addr{})
}

func BenchmarkDigest(b *testing.B) {
	for _, tt := range []struct {
		name string
		size int
	}{{"1KB", 1 << 10}, {"4MB", 4 << 20}} {
		b.Run(tt.name, func(b *testing.B) {
			q := &Request{Method: "POST", Host: "h.example", Target: "/a/b", Body: make([]byte, tt.size)}
			b.SetBytes(int64(tt.size))
			b.ReportAllocs()
			for b.Loop() {
				DigestOf(q)
			}
		})
	}
}
