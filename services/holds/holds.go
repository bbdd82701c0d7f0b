// Package holds lists for operators the requests that are on hold because runners exited
// under them, and releases single ones.
package holds

import (
	"context"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/state/hold"
)

// timeResolution is the resolution of the times that are shown.
const timeResolution = 100 * time.Millisecond

// Status is a request that is or was on hold. Only a digest of the request itself is stored.
type Status struct {
	Digest    core.Digest        `json:"digest"`
	State     hold.State         `json:"state"`
	By        hold.ReleaseReason `json:"by,omitempty"` // what released it
	Route     string             `json:"route"`
	Service   string             `json:"service"`
	Runners   int                `json:"runners"` // number of runners that exited under it
	Since     time.Time          `json:"since"`
	Remaining string             `json:"left"`  // time until a trial is allowed
	HoldCount int                `json:"times"` // number of times that it was put on hold
}

// List returns the status of the records, the most recent first.
func List(records []hold.Record, now time.Time) []Status {
	out := make([]Status, 0, len(records))
	for i := range records {
		r := &records[i]
		out = append(out, Status{
			Digest: r.Digest, State: r.State, By: r.By, Route: r.Route, Service: r.Service, Runners: r.Runners,
			Since: r.Since, Remaining: r.Remaining(now).Round(timeResolution).String(), HoldCount: r.Level + 1,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Since.After(out[j].Since) })
	return out
}

// ErrNotOnHold is the error for the release of a request that is not on hold. It wraps
// core.ErrNotFound.
var ErrNotOnHold = eris.Wrap(core.ErrNotFound, "the request is not on hold")

// Quarantine provides the holds of a daemon.
type Quarantine interface {
	Records() []hold.Record
	// Release ends the hold of a request, and reports whether there was one.
	Release(d core.Digest) bool
}

// Table lists and releases the holds of a daemon.
type Table struct {
	quarantine Quarantine
	clock      core.Clock
}

// NewTable returns a Table.
func NewTable(q Quarantine, clock core.Clock) *Table { return &Table{quarantine: q, clock: clock} }

// Holds returns the status of the holds.
func (t *Table) Holds(context.Context) ([]Status, error) {
	return List(t.quarantine.Records(), t.clock.Now()), nil
}

// Release ends the hold of a request. It returns ErrNotOnHold if there is none.
func (t *Table) Release(_ context.Context, d core.Digest) error {
	if !t.quarantine.Release(d) {
		return ErrNotOnHold
	}
	return nil
}

// Store lists and releases the holds in the platform's store. Daemons apply such a release
// within seconds.
type Store struct {
	store core.Platform
	clock core.Clock
}

// NewStore returns a Store.
func NewStore(store core.Platform, clock core.Clock) *Store {
	return &Store{store: store, clock: clock}
}

// Holds returns the status of the holds. Records that cannot be read are left out.
func (s *Store) Holds(ctx context.Context) ([]Status, error) {
	objects, _, err := s.store.List(ctx, core.KindHolds)
	if err != nil {
		return nil, err
	}
	now := s.clock.Now()
	var records []hold.Record
	for _, o := range objects {
		if r, err := hold.DecodeStored(o.Body, now); err == nil {
			records = append(records, *r)
		}
	}
	return List(records, now), nil
}

// Release ends the hold of a request. It returns ErrNotOnHold if the record is not on hold, and
// core.ErrNotFound if there is no record.
func (s *Store) Release(ctx context.Context, d core.Digest) error {
	o, err := s.store.Get(ctx, core.KindHolds, d.String())
	if err != nil {
		return eris.Wrap(err, "hold")
	}
	now := s.clock.Now()
	r, err := hold.DecodeStored(o.Body, now)
	if err != nil {
		return err
	}
	if r.State != hold.StateHeld {
		return ErrNotOnHold
	}
	r.Release(hold.ByOperator, now)
	if o.Body, err = hold.Encode(r, now); err != nil {
		return err
	}
	_, err = s.store.Update(ctx, o)
	return err
}
