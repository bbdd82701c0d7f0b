// Package core holds the domain types and the interfaces that the other
// packages implement or use. It does no input or output.
package core

import "github.com/jonboulle/clockwork"

// Clock is the source of time of every component that waits or compares times.
type Clock = clockwork.Clock

// Kinds of platform objects that the system keeps.
const (
	KindTree   = "branches" // settings tree, one object per top branch
	KindHolds  = "holds"    // requests that are held back, one object each
	KindRunner = "runners"  // memory plan of one endpoint
	KindClaim  = "claims"   // keyed requests that must not be repeated
	KindFloor  = "floors"   // pinned replica of one model
	KindStore  = "stores"   // load slots of the weight store
	KindVM     = "vms"      // live and leaving VMs, written by the platform
)
