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

// Runner is a running endpoint as it last described itself. One that starts again
// may keep its ID; it then holds nothing of before, and Born tells the two apart.
type Runner struct {
	ID       string
	Born     time.Time // when it started; zero if it does not say
	Service  string
	Addr     netip.AddrPort
	Place    string
	Slots    int
	Draining bool
	Leaves   time.Duration // until it is taken away; 0: not announced
	Warming  time.Duration // how much longer it is slow after its start
	Sequence uint64        // orders accepted so far
	Holdings []Holding
	OnDisk   []string // models that load from the runner's own disk
	InMemory []string // models that load from the runner's own memory
}

// Holds says whether the runner has a model in memory.
func (r *Runner) Holds(model string) bool {
	return r.holding(model) != nil
}

// HoldsAdapter says whether the runner has an adapter of a model in memory.
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

// Load is what a runner says of its load on an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Report is a runner's own account of what it holds and does. It is some
// hundred milliseconds old when it arrives.
type Report struct {
	Born     time.Time // when the runner started; zero if it does not say
	Holdings []Holding
	Busy     bool     // an order for a model is in progress
	Sequence uint64   // orders accepted so far
	Coming   []string // adapters on their way, as MODEL/NAME
	Running  int
	Waiting  int
	OnDisk   []string
	InMemory []string
}

// RunnerOrder asks a runner to load or unload a model or an adapter.
type RunnerOrder struct {
	Load     bool // otherwise unload
	Model    string
	Adapter  string
	Expected uint64 // the runner's sequence on which the order was decided
	Holder   string
	Fence    uint64
}

// OrderResult is a runner's answer to an order.
type OrderResult int

// Results of an order. After OrderUnknown the order may be carried out later,
// as long as the runner's sequence is the one that the order expected.
const (
	OrderUnknown   OrderResult = iota // no answer
	OrderAccepted                     // is being carried out
	OrderDone                         // holds already
	OrderConflict                     // another one is in progress, or the sequence differs
	OrderRefused                      // does not exist, or an older fence
	OrderWrongHost                    // another instance of the runner
)
