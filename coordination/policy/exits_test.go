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

func TestHoldAfterRunnerExits(t *testing.T) {
	type exit struct {
		after    time.Duration
		instance Instance
		started  bool
	}
	for _, tt := range []struct {
		name  string
		exits []exit
		hold  bool
	}{
		{"two runners", []exit{{0, 1, true}, {0, 2, true}}, false},
		{"three runners", []exit{{0, 1, true}, {0, 2, true}, {0, 3, true}}, true},
		{"one exit reported three times", []exit{{0, 1, true}, {0, 1, true}, {0, 1, true}}, false},
		{"three runners where it may have been queued", []exit{{0, 1, false}, {0, 2, false}, {0, 3, false}}, false},
		{"six runners where it may have been queued", []exit{{0, 1, false}, {0, 2, false}, {0, 3, false}, {0, 4, false}, {0, 5, false}, {0, 6, false}}, true},
		{"reported as queued by one daemon and as started by another", []exit{{0, 1, false}, {0, 1, true}, {0, 2, true}, {0, 3, true}, {0, 3, false}}, true},
		{"two runners, and a third one much later", []exit{{0, 1, true}, {0, 2, true}, {exitRetention + time.Second, 3, true}}, false},
		{"three runners some minutes apart", []exit{{0, 1, true}, {4 * time.Minute, 2, true}, {4 * time.Minute, 3, true}}, true},
	} {
		b, now, hold := NewExitRecords(), time.Unix(1e9, 0), false
		for _, e := range tt.exits {
			now = now.Add(e.after)
			_, hold = b.Add(now, digest(1), e.instance, e.started)
		}
		assert.Equal(t, hold, tt.hold, tt.name)
	}
}

// Two runners that exited just as they started a request are enough to hold it, without a
// third one.
func TestTwoFreshExitsAreEnough(t *testing.T) {
	b, now := NewExitRecords(), time.Unix(1e9, 0)
	_, hold := b.AddFresh(now, digest(1), 1)
	assert.Assert(t, !hold)
	_, hold = b.AddFresh(now, digest(1), 1)
	assert.Assert(t, !hold, "one exit reported twice")
	b.Add(now, digest(2), 1, true)
	_, hold = b.AddFresh(now, digest(2), 2)
	assert.Assert(t, !hold, "the first runner had been working on it for longer")
	runners, hold := b.AddFresh(now, digest(1), 2)
	assert.Assert(t, runners == 2 && hold)
}

func TestExitsAreCleared(t *testing.T) {
	b, now := NewExitRecords(), time.Unix(1e9, 0)
	b.Add(now, digest(1), 1, true)
	b.Add(now, digest(1), 2, true)
	b.Clear(digest(1))
	runners, hold := b.Add(now, digest(1), 3, true)
	assert.Assert(t, runners == 1 && !hold)
}

// When a caller sends many different requests to runners that exit, the records of exits
// stay bounded, and the one request that crashes runners is not lost among them.
func TestExitsAreBounded(t *testing.T) {
	b, now, harmful := NewExitRecords(), time.Unix(1e9, 0), digest(0)
	b.Add(now, harmful, 1, true)
	b.Add(now, harmful, 2, true)
	for i := range uint64(maxTrackedRequests + 500) {
		b.Add(now.Add(time.Duration(i)), digest(i+1), 9, true)
	}
	assert.Assert(t, len(b.byDigest) <= maxTrackedRequests)
	_, hold := b.Add(now, harmful, 3, true)
	assert.Assert(t, hold)
}
