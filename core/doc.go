// Package core holds the domain types and the interfaces that the other
// packages implement or use. It does no input or output.
package core

import "github.com/jonboulle/clockwork"

// Clock is the source of time of every component that waits or compares times.
type Clock = clockwork.Clock

// Kinds of objects in the platform's store.
const (
	KindTree   = "branches" // settings tree, one object per top-level branch
	KindHolds  = "holds"    // holds of requests, one object each
	KindRunner = "runners"  // memory plan of one endpoint
	KindClaim  = "claims"   // requests with idempotency keys, which must not run again
	KindFloor  = "floors"   // pinned replica of one model
	KindStore  = "stores"   // load slots of the weight store
	KindVM     = "vms"      // live and leaving VMs, written by the platform
)
