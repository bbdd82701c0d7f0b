package hold

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
)

func digest(n uint64) core.Digest {
	var d core.Digest
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

func held(n, version uint64, until time.Time) Record {
	return Record{Digest: digest(n), Version: version, State: StateHeld, Route: "r", Service: "s", Runners: 3, Since: until, Until: until}
}

// A decoded record keeps the time left of its hold, whatever the clock of the reader says,
// and damaged records are refused.
func TestRecordIsDecoded(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := Record{Digest: digest(1), Level: 1, Route: "r", Service: "s", Runners: 4}
	r.Hold(now)
	data, err := Encode(&r, now.Add(time.Minute))
	assert.NilError(t, err)
	for _, tt := range []struct {
		name   string
		decode func([]byte, time.Time) (*Record, error)
		at     time.Duration // time of reading by the clock of the reader
		left   time.Duration
	}{
		{"received at once", DecodeReceived, time.Minute, 9 * time.Minute},
		{"received by a daemon whose clock is an hour ahead", DecodeReceived, time.Hour, 9 * time.Minute},
		{"stored for three minutes", DecodeStored, 3 * time.Minute, 7 * time.Minute},
		{"stored until after the hold expired", DecodeStored, time.Hour, 0},
		{"stored, and read by a daemon whose clock is an hour behind", DecodeStored, -time.Hour, 10 * time.Minute},
	} {
		at := now.Add(tt.at)
		got, err := tt.decode(data, at)
		assert.NilError(t, err)
		assert.Equal(t, got.Remaining(at), tt.left, tt.name)
		assert.Equal(t, got.Digest, r.Digest)
		assert.Equal(t, got.Runners, 4)
	}
	for _, text := range []string{`{}`, `""`, `{"version":1,"state":"none"}`, `{"version":0,"state":"held"}`, `{"version":1,"state":"held","digest":"zz"}`} {
		_, err := DecodeReceived([]byte(text), now)
		assert.Assert(t, errors.Is(err, core.ErrInvalid), text)
	}
}

// Merge keeps the latest decision, and Expire removes it after its retention.
func TestTableMerges(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable()
	assert.Assert(t, table.Merge(held(1, 1, now)))
	assert.Assert(t, !table.Merge(held(1, 1, now.Add(time.Minute))))
	released := held(1, 0, now)
	released.Release(BySuccess, now)
	assert.Assert(t, table.Merge(released), "of two decisions of one version the release must win")
	assert.Assert(t, !table.Merge(held(1, 1, now)))
	assert.Assert(t, table.Merge(held(1, 2, now)))
	table.Expire(now.Add(heldRetention + time.Second))
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, table.Sum(), uint64(0))
}

func TestTableIsBounded(t *testing.T) {
	now, table := time.Unix(1e9, 0), NewTable()
	for i := range uint64(maxRecords + 10) {
		table.Merge(held(i, 1, now.Add(time.Duration(i)*time.Second)))
	}
	assert.Equal(t, table.Len(), maxRecords)
	_, ok := table.Get(digest(0))
	assert.Assert(t, !ok, "the record that expires first must be dropped first")
}

// Two daemons receive the same decisions in different orders, some of them twice. In the
// end they must hold the same records and have equal sums.
func TestTablesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		list := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
			r := held(rapid.Uint64Range(0, 3).Draw(t, "digest"), rapid.Uint64Range(1, 4).Draw(t, "version"), now)
			if rapid.Bool().Draw(t, "released") {
				r.State = StateReleased
			}
			return r
		})).Draw(t, "records")
		a, b := NewTable(), NewTable()
		for _, r := range list {
			a.Merge(r)
		}
		for _, r := range rapid.Permutation(append(list, list...)).Draw(t, "order") {
			b.Merge(r)
		}
		assert.Equal(t, a.Sum(), b.Sum())
		assert.Equal(t, a.Len(), b.Len())
		for _, r := range a.All() {
			other, _ := b.Get(r.Digest)
			assert.DeepEqual(t, r, other)
		}
	})
}
