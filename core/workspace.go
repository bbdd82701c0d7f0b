package core

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"
)

// Unit is what a workspace's allowance counts.
type Unit int

// Units of an allowance.
const (
	UnitRequests Unit = iota
	UnitTokens
)

// Workspace is a group of callers that share keys and an allowance.
type Workspace struct {
	Name     string
	Code     Code // of the name, in messages between daemons
	Keys     []KeyID
	Priority int     // 0 is the most urgent; it goes before the route's
	Rate     float64 // units a second, over all daemons; 0: no limit
	Burst    float64 // units beyond that, over all daemons
	Unit     Unit
	// PlainTokens is what a request weighs that does not tell its tokens.
	PlainTokens float64
	// Invalid says that the allowance could not be read: nobody is let in.
	Invalid bool
}

// Limited says whether the workspace has an allowance.
func (w *Workspace) Limited() bool { return w.Invalid || w.Rate > 0 || w.Burst > 0 }

// Weight is what a request takes of the allowance.
func (w *Workspace) Weight(q *Request) float64 {
	switch {
	case w.Unit == UnitRequests:
		return 1
	case !q.Counted:
		return w.PlainTokens
	default:
		return float64(q.Input + q.MaxOutput)
	}
}

// KeyID stands for a caller's key. The key itself is not kept.
type KeyID [sha256.Size]byte

// KeyIDOf returns a key's ID.
func KeyIDOf(key string) KeyID { return sha256.Sum256([]byte(key)) }

// keyIDShown is how many bytes of an ID tell two keys apart where people read it.
const keyIDShown = 4

// String returns a short form, for logs.
func (k KeyID) String() string { return hex.EncodeToString(k[:keyIDShown]) }

// ErrKey is the error of a request that does not carry exactly one well-formed key.
var ErrKey = errors.New("no key")

// Window is over which the rule of allowances is checked, and by how much more than
// rate and burst may be let in there over all daemons.
type Window struct {
	Length time.Duration
	Over   float64 // a share of rate and burst
	Slack  float64 // units
}

// Most is how much of a workspace's work may be let in within the window.
func (w Window) Most(of *Workspace) float64 {
	return (of.Rate*w.Length.Seconds()+of.Burst)*(1+w.Over) + w.Slack
}

// Allowance holds workspaces to their allowances over all daemons.
type Allowance interface {
	// Take lets a request's units in, or says when it may come back.
	Take(w *Workspace, units float64) Admission
	// Charge counts units that are used once more, by a request that was let in.
	Charge(w *Workspace, units float64)
	// Give takes back units that were let in for a request that has not run.
	Give(w *Workspace, units float64)
}

// Unbounded is an Allowance that lets all in.
type Unbounded struct{}

// Take implements Allowance.
func (Unbounded) Take(*Workspace, float64) Admission { return Admission{OK: true} }

// Charge implements Allowance.
func (Unbounded) Charge(*Workspace, float64) {}

// Give implements Allowance.
func (Unbounded) Give(*Workspace, float64) {}

// Admission is a decision on a request of a workspace, with what it rests on.
type Admission struct {
	OK    bool
	Retry time.Duration // when the request may come back, if it was refused
	Left  float64       // units that may be let in at once, over all daemons in touch
	Asked float64       // units a second that are asked for there
	Heard int           // daemons in touch, this one included
	Known int           // all daemons
	Age   time.Duration // of what the others have told
}

// Usage is what a workspace's callers ask for and what of it is let in, in units a second,
// and what may be let in at once, in units.
type Usage struct {
	Asked float64 `json:"a,omitempty"`
	Spent float64 `json:"s,omitempty"`
	Left  float64 `json:"l,omitempty"`
}
