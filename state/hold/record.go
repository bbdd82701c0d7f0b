// Package hold records which requests are held back because runners exited while they
// ran them. The records of all daemons converge: each record has a version, and the
// highest version wins.
package hold

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"primroseward/core"
)

// durations are how long a request is held back the first, the second and each further
// time. When a hold expires, one trial is allowed. So a request that did not cause the
// exits, or whose model has been repaired, is served again, and one under which another
// runner exits is held for longer. The first duration is short because the request may not
// be the cause. The second is longer than callers keep sending the request again.
var durations = []time.Duration{5 * time.Second, 10 * time.Minute, time.Hour}

// Duration returns how long a request is held back at a level. Levels count from 0.
func Duration(level int) time.Duration { return durations[max(0, min(level, len(durations)-1))] }

// State is the state of the request of a record.
type State string

// States of a request.
const (
	StateHeld     State = "held"
	StateReleased State = "released"
)

// ReleaseReason is the reason for which a request was released.
type ReleaseReason string

// Reasons for a release.
const (
	BySuccess  ReleaseReason = "work"     // the request was served
	ByOperator ReleaseReason = "operator" // an operator released it
)

// Record is the hold of one request that is or was held back. It identifies the request
// only by its digest.
type Record struct {
	Digest  core.Digest
	Version uint64 // increases with each decision
	State   State
	By      ReleaseReason // reason of a release, else empty
	Level   int           // number of earlier holds of the request
	Route   string        // route of the request
	Service string
	Runners int // runners that exited under the request
	Whole   int // of a prompt part: answers to requests with it between the exits that were whole, or may have become so
	Passed  int // of a prompt part: trials since the hold that were served
	// Part is set if the exits were counted under another digest: that of a part that is held in requests for Model only, or
	// that of exits after long work on the request.
	Part  *core.Digest
	Model string
	Since time.Time // start of the latest hold
	Until time.Time // end of the hold by this daemon's clock; then one trial is allowed
}

// Remaining returns how much longer the request is held back; 0 if a trial is allowed.
func (r *Record) Remaining(now time.Time) time.Duration { return max(0, r.Until.Sub(now)) }

// Hold updates the record to a new decision: the request is held back from now on.
func (r *Record) Hold(now time.Time) {
	r.Version++
	r.State, r.By, r.Passed, r.Since, r.Until = StateHeld, "", 0, now, now.Add(Duration(r.Level))
}

// passedDuration is how long a prompt part is held back after a trial that was served, until the next one.
const passedDuration = time.Minute

// passesPerAnswer is how many trials must be served for each whole answer that there was to one exit.
const passesPerAnswer = 2

const (
	// evidentRunners is from how many exits on a prompt part is hardly held by mistake. It may crash its runner only sometimes, so
	// that one pass does not release it.
	evidentRunners = 5
	evidentPasses  = 2
)

// passesNeeded returns after how many passes the request is released.
func (r *Record) passesNeeded() int {
	runners := max(1, r.Runners)
	needed := (passesPerAnswer*r.Whole + runners - 1) / runners
	if r.Runners >= evidentRunners {
		return max(evidentPasses, needed)
	}
	return max(1, needed)
}

// Pass records that a trial was served. It reports whether the request is to be released; if not, the record is
// updated to a new decision: it is held back until the next trial.
func (r *Record) Pass(now time.Time) (release bool) {
	r.Passed++
	if r.Passed >= r.passesNeeded() {
		return true
	}
	r.Version++
	r.Level, r.Until = max(1, r.Level), now.Add(passedDuration)
	return false
}

// Placed returns since when the request is held back, by this daemon's clock: a trial begins later.
func (r *Record) Placed() time.Time {
	if r.Passed > 0 {
		return r.Until.Add(-passedDuration)
	}
	return r.Until.Add(-Duration(r.Level))
}

// Release updates the record to a new decision: the request is no longer held back.
func (r *Record) Release(by ReleaseReason, now time.Time) {
	r.Version++
	r.State, r.By, r.Until = StateReleased, by, now
}

// sum returns a hash of the record's digest, version and state.
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

// encodedRecord is the JSON form of a Record in messages between daemons and in the store.
type encodedRecord struct {
	Digest  core.Digest   `json:"digest"`
	Version uint64        `json:"version"`
	State   State         `json:"state"`
	By      ReleaseReason `json:"by,omitempty"`
	Level   int           `json:"level,omitempty"`
	Route   string        `json:"route"`
	Service string        `json:"service"`
	Runners int           `json:"runners"`
	Whole   int           `json:"whole,omitempty"`
	Passed  int           `json:"passed,omitempty"`
	Part    *core.Digest  `json:"part,omitempty"`
	Model   string        `json:"model,omitempty"`
	Since   int64         `json:"since"` // Unix milliseconds
	Until   int64         `json:"until"` // Unix milliseconds by the writer's clock
	Left    int64         `json:"left"`  // milliseconds from the time of writing to Until
}

// Encode returns the JSON form of a record, with Left as of now.
func Encode(r *Record, now time.Time) (json.RawMessage, error) {
	return json.Marshal(encodedRecord{
		Digest: r.Digest, Version: r.Version, State: r.State, By: r.By, Level: r.Level, Route: r.Route, Service: r.Service,
		Runners: r.Runners, Whole: r.Whole, Passed: r.Passed, Part: r.Part, Model: r.Model, Since: r.Since.UnixMilli(), Until: r.Until.UnixMilli(), Left: r.Remaining(now).Milliseconds(),
	})
}

// DecodeReceived decodes a record that another daemon has just sent. It computes Until from the
// time left, so that clock differences do not matter. Its error is core.ErrInvalid.
func DecodeReceived(data []byte, now time.Time) (*Record, error) {
	return decode(data, now, func(m *encodedRecord) time.Duration { return milliseconds(m.Left) })
}

// DecodeStored decodes a record that was written some time ago, by a clock that may differ from
// this daemon's. It uses the stored Until. Its error is core.ErrInvalid.
func DecodeStored(data []byte, now time.Time) (*Record, error) {
	return decode(data, now, func(m *encodedRecord) time.Duration { return time.UnixMilli(m.Until).Sub(now) })
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func decode(data []byte, now time.Time, left func(*encodedRecord) time.Duration) (*Record, error) {
	var m encodedRecord
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrapf(core.ErrInvalid, "hold record: %v", err)
	}
	if m.State != StateHeld && m.State != StateReleased || m.Version == 0 {
		return nil, eris.Wrapf(core.ErrInvalid, "hold record: state %q, version %d", m.State, m.Version)
	}
	r := &Record{
		Digest: m.Digest, Version: m.Version, State: m.State, By: m.By, Level: m.Level, Route: m.Route, Service: m.Service,
		Runners: m.Runners, Whole: m.Whole, Passed: m.Passed, Part: m.Part, Model: m.Model, Since: time.UnixMilli(m.Since),
	}
	// A wrong clock must not hold a request back for longer than its level's duration.
	r.Until = now.Add(min(max(0, left(&m)), Duration(r.Level)))
	return r, nil
}
