package core

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"
)

// Unit is the unit in which a workspace's allowance is counted.
type Unit int

// Units of an allowance.
const (
	UnitRequests Unit = iota
	UnitTokens
)

// Workspace is a group of callers that share keys and an allowance.
type Workspace struct {
	Name     string
	Code     Code // hash of the name, used in messages between daemons
	Keys     []KeyID
	Priority int     // 0 is the most urgent; takes precedence over the route's
	Rate     float64 // units per second, over all daemons; 0 with Burst 0: unlimited
	Burst    float64 // units beyond that, over all daemons
	Unit     Unit
	// DefaultTokens is the number of tokens charged for a request that does not state them.
	DefaultTokens float64
	// Invalid marks an allowance that could not be read: all requests are refused.
	Invalid bool
}

// Limited reports whether the workspace has an allowance.
func (w *Workspace) Limited() bool { return w.Invalid || w.Rate > 0 || w.Burst > 0 }

// Weight returns the units of the allowance that a request uses.
func (w *Workspace) Weight(q *Request) float64 {
	switch {
	case w.Unit == UnitRequests:
		return 1
	case !q.TokensKnown:
		return w.DefaultTokens
	default:
		return float64(q.InputTokens + q.MaxOutputTokens)
	}
}

// KeyID is the SHA-256 sum of a caller's key. The key itself is not kept.
type KeyID [sha256.Size]byte

// KeyIDOf returns a key's ID.
func KeyIDOf(key string) KeyID { return sha256.Sum256([]byte(key)) }

// keyIDLogBytes is the number of bytes of an ID that logs show; they suffice to
// distinguish keys.
const keyIDLogBytes = 4

// String returns a short form, for logs.
func (k KeyID) String() string { return hex.EncodeToString(k[:keyIDLogBytes]) }

// ErrKey is the error for a request that does not carry exactly one well-formed key.
var ErrKey = errors.New("no key")

// AllowanceWindow is the time window over which allowances are checked, with the excess over rate
// and burst that all daemons together may admit within it.
type AllowanceWindow struct {
	Length time.Duration
	Over   float64 // excess as a share of rate and burst
	Slack  float64 // further excess in units
}

// MaxUnits returns the most units of a workspace that may be admitted within the window.
func (w AllowanceWindow) MaxUnits(of *Workspace) float64 {
	return (of.Rate*w.Length.Seconds()+of.Burst)*(1+w.Over) + w.Slack
}

// AllowanceRequest is what an allowance needs to know of a request.
type AllowanceRequest struct {
	Units   float64
	Patient bool // its target for the first event is PatientTarget or more
	Late    bool // its caller has come back after a refusal, and it can't meet its target any more
}

// PatientTarget is the shortest target of patient requests. Below it, half of the target is less than the time in which
// one of a runner's slots becomes free, and a caller that is refused does not return in time.
const PatientTarget = time.Second

// Allowance enforces the allowances of workspaces over all daemons.
type Allowance interface {
	// Take admits a request's units, or returns after how long the caller may retry.
	Take(w *Workspace, r AllowanceRequest) Admission
	// Charge deducts units that an admitted request uses again.
	Charge(w *Workspace, units float64)
	// Refund refunds units that were admitted for a request that has not run.
	Refund(w *Workspace, units float64)
}

// Unbounded is an Allowance that admits all requests.
type Unbounded struct{}

// Take implements Allowance.
func (Unbounded) Take(*Workspace, AllowanceRequest) Admission { return Admission{OK: true} }

// Charge implements Allowance.
func (Unbounded) Charge(*Workspace, float64) {}

// Refund implements Allowance.
func (Unbounded) Refund(*Workspace, float64) {}

// Admission is a decision on a request of a workspace, with the data on which it is based.
type Admission struct {
	OK               bool
	Retry            time.Duration // after how long to retry, if refused
	Available        float64       // units that may be admitted at once, over all reachable daemons
	Demand           float64       // demand in units per second, over all reachable daemons
	ReachableDaemons int           // reachable daemons, including this one
	TotalDaemons     int           // all daemons
	Age              time.Duration // age of the other daemons' figures
}

// Usage is a workspace's use of its allowance: the demand of its callers and the admitted
// part of it, in units per second, and the units that may be admitted at once.
type Usage struct {
	Demand    float64 `json:"a,omitempty"`
	Admitted  float64 `json:"s,omitempty"`
	Available float64 `json:"l,omitempty"`
}
