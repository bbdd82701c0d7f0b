package core

import (
	"net/netip"
	"slices"
	"time"
)

// Holding is a model that a runner has in memory.
type Holding struct {
	Model    string
	Version  int
	Adapters []string
}

// Runner is a running endpoint as it last described itself. One that restarts may keep
// its ID. The new instance holds nothing of what the former one held; StartedAt distinguishes
// the two.
type Runner struct {
	ID         string
	StartedAt  time.Time // start of the instance; zero if not given
	Service    string
	Version    string // of its software; empty if not given
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	LeavesIn   time.Duration // time until it is removed; 0: not announced
	WarmUpLeft time.Duration // for how much longer it is slow after its start
	Sequence   uint64        // orders accepted so far
	Holdings   []Holding
	OnDisk     []string // models that load from the runner's own disk
	InMemory   []string // models that load from the runner's own memory
}

// Holds reports whether the runner has a model in memory.
func (r *Runner) Holds(model string) bool {
	return r.holding(model) != nil
}

// HoldsAdapter reports whether the runner has an adapter of a model in memory.
func (r *Runner) HoldsAdapter(model, adapter string) bool {
	h := r.holding(model)
	return h != nil && slices.Contains(h.Adapters, adapter)
}

func (r *Runner) holding(model string) *Holding {
	for i := range r.Holdings {
		if r.Holdings[i].Model == model {
			return &r.Holdings[i]
		}
	}
	return nil
}

// Load is a runner's load, as stated in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // how long work takes there now, as a multiple of the usual; 0: not stated
	Problem string  // why the pace can't be read; it then counts as not stated
}

// PaceReport is the pace that a runner has stated, see Load.
type PaceReport struct {
	Pace float64
	At   time.Time
}

// Report is a runner's report of its replicas and its work. It is several hundred
// milliseconds old when it arrives.
type Report struct {
	StartedAt       time.Time // start of the instance; zero if not given
	Holdings        []Holding
	Busy            bool     // an order for a model is in progress
	Sequence        uint64   // orders accepted so far
	LoadingAdapters []string // adapters being loaded, as MODEL/NAME
	Running         int
	Waiting         int
	OnDisk          []string
	InMemory        []string
}

// RunnerOrder commands a runner to load or unload a model or an adapter.
type RunnerOrder struct {
	Load     bool // otherwise unload
	Model    string
	Adapter  string
	Expected uint64 // the runner's sequence when the order was decided
	Holder   string
	Fence    uint64
}

// OrderResult is a runner's answer to an order.
type OrderResult int

// Results of an order. After OrderUnknown the order may be carried out later,
// as long as the runner's sequence is the one that the order expected.
const (
	OrderUnknown       OrderResult = iota // no answer
	OrderAccepted                         // being carried out
	OrderDone                             // the requested state already holds
	OrderConflict                         // another order is in progress, or the sequence differs
	OrderRefused                          // the model or adapter does not exist, or the fence is stale
	OrderWrongInstance                    // another instance of the runner
)
