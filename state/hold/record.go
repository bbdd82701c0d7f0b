// Package hold keeps which requests are held back because runners ended under them. It
// is the same at all daemons in the end: each record has a version, and the highest wins.
package hold

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"primroseward/core"
)

// terms are how long a request is held back for the first, second and each further time.
// After each one run is let through: a request that was blamed wrongly, or whose model has
// been repaired, is served again, and one that ends a runner again is held for longer. The
// first is short, as blame may be wrong; the second lasts longer than callers return.
var terms = []time.Duration{5 * time.Second, 10 * time.Minute, time.Hour}

// Term is how long a request is held back at a level, which counts from 0.
func Term(level int) time.Duration { return terms[max(0, min(level, len(terms)-1))] }

// State is what a record says of its request.
type State string

// States of a request.
const (
	StateHeld     State = "held"
	StateReleased State = "released"
)

// By tells who has released a request.
type By string

// Reasons of a release.
const (
	ByWork     By = "work"     // it was served
	ByOperator By = "operator" // an operator said so
)

// Record is what is known of one request that is or was held back. Of the request itself
// it keeps a digest alone.
type Record struct {
	Digest  core.Digest
	Version uint64 // of later decisions it is higher
	State   State
	By      By     // of a release
	Level   int    // how often it was held back before
	Route   string // on which it came
	Service string
	Runners int // that have ended under it
	Since   time.Time
	Until   time.Time // by this daemon's clock; then one run may be tried
}

// Left is how much longer the request is held back, 0 if one run may be tried.
func (r *Record) Left(now time.Time) time.Duration { return max(0, r.Until.Sub(now)) }

// Hold makes the record the decision that the request is held back from now on.
func (r *Record) Hold(now time.Time) {
	r.Version++
	r.State, r.By, r.Since, r.Until = StateHeld, "", now, now.Add(Term(r.Level))
}

// Release makes the record the decision that the request is held back no longer.
func (r *Record) Release(by By, now time.Time) {
	r.Version++
	r.State, r.By, r.Until = StateReleased, by, now
}

// sum is a hash of the decision that a record stands for.
func (r *Record) sum() uint64 {
	var b [len(r.Digest) + 9]byte
	copy(b[:], r.Digest[:])
	for i := range 8 {
		b[len(r.Digest)+i] = byte(r.Version >> (8 * i))
	}
	if r.State == StateHeld {
		b[len(b)-1] = 1
	}
	return xxhash.Sum64(b[:])
}

// message is a record as daemons tell it and as the store keeps it.
type message struct {
	Digest  core.Digest `json:"digest"`
	Version uint64      `json:"version"`
	State   State       `json:"state"`
	By      By          `json:"by,omitempty"`
	Level   int         `json:"level,omitempty"`
	Route   string      `json:"route"`
	Service string      `json:"service"`
	Runners int         `json:"runners"`
	Since   int64       `json:"since"` // Unix milliseconds
	Until   int64       `json:"until"` // the same, by the clock of the writer
	Left    int64       `json:"left"`  // milliseconds until then, when it was written
}

// Encode writes a record as of now.
func Encode(r *Record, now time.Time) (json.RawMessage, error) {
	return json.Marshal(message{
		Digest: r.Digest, Version: r.Version, State: r.State, By: r.By, Level: r.Level, Route: r.Route, Service: r.Service,
		Runners: r.Runners, Since: r.Since.UnixMilli(), Until: r.Until.UnixMilli(), Left: r.Left(now).Milliseconds(),
	})
}

// Told reads a record that another daemon has just written. Its error is core.ErrInvalid.
func Told(data []byte, now time.Time) (*Record, error) {
	return decode(data, now, func(m *message) time.Duration { return milliseconds(m.Left) })
}

// Stored reads a record that was written some time ago, by a clock that may differ from
// this one. Its error is core.ErrInvalid.
func Stored(data []byte, now time.Time) (*Record, error) {
	return decode(data, now, func(m *message) time.Duration { return time.UnixMilli(m.Until).Sub(now) })
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func decode(data []byte, now time.Time, left func(*message) time.Duration) (*Record, error) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrapf(core.ErrInvalid, "record of a request: %v", err)
	}
	if m.State != StateHeld && m.State != StateReleased || m.Version == 0 {
		return nil, eris.Wrapf(core.ErrInvalid, "record of a request: state %q, version %d", m.State, m.Version)
	}
	r := &Record{
		Digest: m.Digest, Version: m.Version, State: m.State, By: m.By, Level: m.Level, Route: m.Route, Service: m.Service,
		Runners: m.Runners, Since: time.UnixMilli(m.Since),
	}
	// A clock that is wrong must not hold a request back for longer than its term.
	r.Until = now.Add(min(max(0, left(&m)), Term(r.Level)))
	return r, nil
}
