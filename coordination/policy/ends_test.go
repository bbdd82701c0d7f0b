package policy

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

func digest(n uint64) core.Digest {
	var d core.Digest
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

func TestEnds(t *testing.T) {
	type end struct {
		after time.Duration
		life  Life
		begun bool
	}
	for _, tt := range []struct {
		name string
		ends []end
		hold bool
	}{
		{"two runners", []end{{0, 1, true}, {0, 2, true}}, false},
		{"three runners", []end{{0, 1, true}, {0, 2, true}, {0, 3, true}}, true},
		{"one runner told thrice", []end{{0, 1, true}, {0, 1, true}, {0, 1, true}}, false},
		{"three where it may have waited", []end{{0, 1, false}, {0, 2, false}, {0, 3, false}}, false},
		{"six where it may have waited", []end{{0, 1, false}, {0, 2, false}, {0, 3, false}, {0, 4, false}, {0, 5, false}, {0, 6, false}}, true},
		{"waited, as one daemon tells, and begun, as another does", []end{{0, 1, false}, {0, 1, true}, {0, 2, true}, {0, 3, true}, {0, 3, false}}, true},
		{"two, and one much later", []end{{0, 1, true}, {0, 2, true}, {endMemory + time.Second, 3, true}}, false},
		{"three some minutes apart", []end{{0, 1, true}, {4 * time.Minute, 2, true}, {4 * time.Minute, 3, true}}, true},
	} {
		b, now, hold := NewEnds(), time.Unix(1e9, 0), false
		for _, e := range tt.ends {
			now = now.Add(e.after)
			_, hold = b.Add(now, digest(1), e.life, e.begun)
		}
		assert.Equal(t, hold, tt.hold, tt.name)
	}
}

// A third runner ends under a request that two ended under just as they began it.
func TestTwoFreshEndsAreEnough(t *testing.T) {
	b, now := NewEnds(), time.Unix(1e9, 0)
	_, hold := b.AddFresh(now, digest(1), 1)
	assert.Assert(t, !hold)
	_, hold = b.AddFresh(now, digest(1), 1)
	assert.Assert(t, !hold, "one runner told twice")
	b.Add(now, digest(2), 1, true)
	_, hold = b.AddFresh(now, digest(2), 2)
	assert.Assert(t, !hold, "one that was at work for longer on the first")
	runners, hold := b.AddFresh(now, digest(1), 2)
	assert.Assert(t, runners == 2 && hold)
}

func TestEndsAreCleared(t *testing.T) {
	b, now := NewEnds(), time.Unix(1e9, 0)
	b.Add(now, digest(1), 1, true)
	b.Add(now, digest(1), 2, true)
	b.Clear(digest(1))
	runners, hold := b.Add(now, digest(1), 3, true)
	assert.Assert(t, runners == 1 && !hold)
}

// A caller sends a flood of different requests to runners that end. What is kept of them
// stays bounded, and the one request that ends runners is not lost among them.
func TestEndsAreBoundedUnderAFlood(t *testing.T) {
	b, now, harmful := NewEnds(), time.Unix(1e9, 0), digest(0)
	b.Add(now, harmful, 1, true)
	b.Add(now, harmful, 2, true)
	for i := range uint64(endsMost + 500) {
		b.Add(now.Add(time.Duration(i)), digest(i+1), 9, true)
	}
	assert.Assert(t, len(b.by) <= endsMost)
	_, hold := b.Add(now, harmful, 3, true)
	assert.Assert(t, hold)
}
