// Package holds shows operators which requests are held back because runners ended under
// them, and releases one.
package holds

import (
	"context"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/state/hold"
)

// leftStep is how exactly times are shown.
const leftStep = 100 * time.Millisecond

// Status is one request that is or was held back. Of the request itself only a digest is
// known.
type Status struct {
	Digest  core.Digest `json:"digest"`
	State   hold.State  `json:"state"`
	By      hold.By     `json:"by,omitempty"` // who released it
	Route   string      `json:"route"`
	Service string      `json:"service"`
	Runners int         `json:"runners"` // that have ended under it
	Since   time.Time   `json:"since"`
	Left    string      `json:"left"`  // until one run of it is tried
	Times   int         `json:"times"` // that it was held back
}

// List shows records, the latest first.
func List(records []hold.Record, now time.Time) []Status {
	out := make([]Status, 0, len(records))
	for i := range records {
		r := &records[i]
		out = append(out, Status{
			Digest: r.Digest, State: r.State, By: r.By, Route: r.Route, Service: r.Service, Runners: r.Runners,
			Since: r.Since, Left: r.Left(now).Round(leftStep).String(), Times: r.Level + 1,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Since.After(out[j].Since) })
	return out
}

// ErrNotHeld is the error of a release of what is not held back. It wraps core.ErrNotFound.
var ErrNotHeld = eris.Wrap(core.ErrNotFound, "the request is not held back")

// Keeper is a daemon's part in holding requests back.
type Keeper interface {
	Records() []hold.Record
	// Release says whether the request was held back.
	Release(d core.Digest) bool
}

// Table shows and changes the records that a daemon knows.
type Table struct {
	keeper Keeper
	clock  core.Clock
}

// NewTable returns a Table.
func NewTable(k Keeper, clock core.Clock) *Table { return &Table{keeper: k, clock: clock} }

// Holds lists the records.
func (t *Table) Holds(context.Context) ([]Status, error) {
	return List(t.keeper.Records(), t.clock.Now()), nil
}

// Release ends a request's hold. Its error is ErrNotHeld if there is none.
func (t *Table) Release(_ context.Context, d core.Digest) error {
	if !t.keeper.Release(d) {
		return ErrNotHeld
	}
	return nil
}

// Store shows and changes the records that the platform's store keeps. Daemons take in
// such a change within seconds.
type Store struct {
	store core.Platform
	clock core.Clock
}

// NewStore returns a Store.
func NewStore(store core.Platform, clock core.Clock) *Store {
	return &Store{store: store, clock: clock}
}

// Holds lists the records; those that can't be read are left out.
func (s *Store) Holds(ctx context.Context) ([]Status, error) {
	objects, _, err := s.store.List(ctx, core.KindHolds)
	if err != nil {
		return nil, err
	}
	now := s.clock.Now()
	var records []hold.Record
	for _, o := range objects {
		if r, err := hold.Stored(o.Body, now); err == nil {
			records = append(records, *r)
		}
	}
	return List(records, now), nil
}

// Release ends a request's hold. Its error is ErrNotHeld if there is none.
func (s *Store) Release(ctx context.Context, d core.Digest) error {
	o, err := s.store.Get(ctx, core.KindHolds, d.String())
	if err != nil {
		return eris.Wrap(err, "hold")
	}
	now := s.clock.Now()
	r, err := hold.Stored(o.Body, now)
	if err != nil {
		return err
	}
	if r.State != hold.StateHeld {
		return ErrNotHeld
	}
	r.Release(hold.ByOperator, now)
	if o.Body, err = hold.Encode(r, now); err != nil {
		return err
	}
	_, err = s.store.Update(ctx, o)
	return err
}
