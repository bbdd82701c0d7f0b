package holds

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/standin/memory"
	"primroseward/state/hold"
)

func TestStoreRelease(t *testing.T) {
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	store := memory.New().Client()
	s := NewStore(store, clock)
	d := core.DigestOf(&core.Request{Target: "/a"})
	assert.Assert(t, errors.Is(s.Release(ctx, d), core.ErrNotFound))
	r := hold.Record{Digest: d, Version: 3, State: hold.StateHeld, Route: "r", Service: "s", Runners: 4, Level: 1, Since: clock.Now(), Until: clock.Now().Add(hold.Duration(1))}
	body, err := hold.Encode(&r, clock.Now())
	assert.NilError(t, err)
	_, err = store.Create(ctx, core.Object{Kind: core.KindHolds, Name: d.String(), Body: body})
	assert.NilError(t, err)
	clock.Advance(time.Minute)
	list, err := s.Holds(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Remaining, "9m0s")
	assert.Equal(t, list[0].Runners, 4)
	assert.NilError(t, s.Release(ctx, d))
	list, err = s.Holds(ctx)
	assert.NilError(t, err)
	assert.Equal(t, list[0].State, hold.StateReleased)
	assert.Equal(t, list[0].By, hold.ByOperator)
	o, err := store.Get(ctx, core.KindHolds, d.String())
	assert.NilError(t, err)
	got, err := hold.DecodeStored(o.Body, clock.Now())
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(4))
	assert.Assert(t, errors.Is(s.Release(ctx, d), ErrNotOnHold))
}
