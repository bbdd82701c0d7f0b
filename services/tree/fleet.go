package tree

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/ledger"
	"primroseward/transport/peer"
)

// RunnerStatus is the memory and the load of a runner.
type RunnerStatus struct {
	Runner      string        `json:"runner"`
	DataCentre  string        `json:"place"`
	Owner       string        `json:"owner"`
	Version     string        `json:"version,omitempty"` // of its software
	Capacity    int64         `json:"capacity"`          // bytes of memory for models; the next four are in bytes too
	Committed   int64         `json:"committed"`
	Reserved    int64         `json:"reserved"`    // part of Committed for loads in progress
	Quarantined int64         `json:"quarantined"` // part of Committed kept until no late order can arrive
	Free        int64         `json:"free"`
	Running     int           `json:"running"`
	Queued      int           `json:"queued"`
	Slots       int           `json:"slots"`
	Counts      *RunnerCounts `json:"counts,omitempty"` // on the platform only
	Leaving     bool          `json:"leaving,omitempty"`
	Detail      string        `json:"detail,omitempty"` // why the daemon queried sends it no requests, from whom it knows and since when
	Unreachable bool          `json:"unreachable,omitempty"`
	Models      []ModelStatus `json:"models,omitempty"`
}

// RunnerCounts is what the daemon queried chooses by.
type RunnerCounts struct {
	Believed int     `json:"believed"`       // requests believed in progress, from all daemons
	Age      string  `json:"age,omitempty"`  // of these counts; empty: those of the whole fleet are not known
	Pace     float64 `json:"pace,omitempty"` // how long work takes there, as a multiple of the usual; 0: not known
}

// ModelStatus is a model version on a runner.
type ModelStatus struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	State   string `json:"state"`
	Reason  string `json:"reason,omitempty"`
	Age     string `json:"age"`
}

// The states of a model on a runner, as shown to operators.
const (
	StateReady    = "ready"
	StateLoading  = "loading"
	StateEvicting = "evicting"
)

// MoveStatus is a load or an eviction in progress.
type MoveStatus struct {
	Runner string `json:"runner"`
	ModelStatus
}

// Fleet collects the runners from the daemons that own them.
type Fleet struct {
	members core.Members
	dial    peer.Dial
}

// NewFleet returns a Fleet.
func NewFleet(members core.Members, dial peer.Dial) *Fleet {
	return &Fleet{members: members, dial: dial}
}

// Runners returns the runners of all daemons that answer, sorted by name.
func (f *Fleet) Runners(ctx context.Context) []RunnerStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := []RunnerStatus{}
	for _, m := range f.members.All() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp, err := f.dial(m.Peer).View(ctx, connect.NewRequest(&peerv1.Empty{}))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, v := range resp.Msg.Views {
				out = append(out, runnerStatus(m.Name, v))
			}
		}()
	}
	wg.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Runner < out[j].Runner })
	return out
}

func runnerStatus(owner string, v *peerv1.View) RunnerStatus {
	r := RunnerStatus{
		Runner: v.Runner, DataCentre: v.Place, Owner: owner, Capacity: v.Capacity,
		Running: int(v.Running), Queued: int(v.Queued), Slots: int(v.Slots),
		Leaving: v.Leaving, Unreachable: v.Unreachable,
	}
	for _, h := range v.Held {
		r.Committed += h.Bytes
		switch ledger.State(h.State) {
		case ledger.Loading:
			r.Reserved += h.Bytes
		case ledger.Quarantine:
			r.Quarantined += h.Bytes
		}
		age := (time.Duration(h.Age) * time.Millisecond).Round(time.Second)
		r.Models = append(r.Models, ModelStatus{Model: h.Model, Version: h.Version, Bytes: h.Bytes, State: h.State, Reason: h.Reason, Age: age.String()})
	}
	r.Free = r.Capacity - r.Committed
	return r
}

// Moves returns all loads and evictions in progress.
func (f *Fleet) Moves(ctx context.Context) ([]MoveStatus, error) {
	out := []MoveStatus{}
	for _, r := range f.Runners(ctx) {
		for _, h := range r.Models {
			if ledger.State(h.State) != ledger.Ready {
				out = append(out, MoveStatus{Runner: r.Runner, ModelStatus: h})
			}
		}
	}
	return out, nil
}
