package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/standin/memory"
)

// newLargeFleet makes more daemons than a small fleet has, in two data centres. onLoads is
// called with the index of a daemon and the sum of loads that it has received.
func newLargeFleet(t *testing.T, daemons int, onLoads func(i int, counts map[core.Code]int)) []*Peers {
	t.Helper()
	s := memory.New()
	out := make([]*Peers, daemons)
	for i := range daemons {
		loads := map[core.Code]int{core.CodeOf("r"): 1}
		out[i] = newPeers(t, s, fmt.Sprint("d", i), []string{"north", "south"}[i%2], loads, func(from Peer, counts map[core.Code]int) {
			if from.Name == "" {
				onLoads(i, counts)
			}
		})
	}
	for _, p := range out {
		p.SetState(func() State { return State{Ready: true, Confirmed: -1} })
	}
	return out
}

// In a fleet too large for direct heartbeats, hubs make all daemons known to each other,
// sum up their loads, make the holder of the lease known, forward broadcasts, and remove a
// daemon that stops.
func TestLargeFleet(t *testing.T) {
	const daemons = smallFleet + 8
	var mu sync.Mutex
	sums := make([]int, daemons)
	var received atomic.Int64
	all := newLargeFleet(t, daemons, func(i int, counts map[core.Code]int) {
		mu.Lock()
		defer mu.Unlock()
		sums[i] = counts[core.CodeOf("r")]
	})
	all[3].SetState(func() State { return State{Ready: true, Term: 7, LeaseRenewed: true, Confirmed: -1} })
	for _, p := range all {
		p.Handle("news", func(from Peer, body json.RawMessage, _ func(any)) {
			if from.Name == "d3" && string(body) == `"adapter"` {
				received.Add(1)
			}
		})
		p.Start()
	}
	stopped := map[int]bool{}
	defer func() {
		for i, p := range all {
			if !stopped[i] {
				p.Stop()
			}
		}
	}()
	eventually(t, "all are ready and the holder is known everywhere", func() bool {
		for _, p := range all {
			holder, ok := p.Holder()
			if !p.Large() || p.Count() != daemons || !ok || holder.Name != "d3" || !holder.LeaseRenewed {
				return false
			}
			for _, peer := range p.Alive() {
				if !peer.Ready && peer.Name != p.Self().Name {
					return false
				}
			}
		}
		return true
	})
	eventually(t, "the loads of the data centre are known", func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range sums {
			if n != daemons/2-1 { // those of its data centre
				return false
			}
		}
		return true
	})
	all[3].Broadcast("news", "adapter")
	eventually(t, "all have received the broadcast", func() bool { return received.Load() >= daemons-1 })
	assert.NilError(t, all[5].Unregister(context.Background()))
	all[5].Stop()
	stopped[5] = true
	eventually(t, "the stopped daemon is unreachable everywhere", func() bool {
		for i, p := range all {
			if _, ok := p.Get("d5"); i != 5 && ok {
				return false
			}
		}
		return true
	})
}

// After a VM is replaced by one of the same name at another address, callers must not be
// sent to the old address any more.
func TestReplacedVMHasNewAddress(t *testing.T) {
	const daemons = smallFleet + 4
	all := newLargeFleet(t, daemons, func(int, map[core.Code]int) {})
	for _, p := range all {
		p.Start()
		defer p.Stop()
	}
	eventually(t, "all are known", func() bool {
		for _, p := range all {
			if p.Count() != daemons {
				return false
			}
		}
		return true
	})
	old := all[7]
	old.Stop()
	self := old.Self()
	replacement := newPeers(t, memory.New(), self.Name, self.DataCentre, nil, nil)
	replacement.store = old.store
	replacement.self.Caller = self.Peer
	replacement.roster.AddDaemon(replacement.clock.Now(), replacement.self.daemon())
	replacement.SetState(func() State { return State{Ready: true, Confirmed: -1} })
	replacement.Start()
	defer replacement.Stop()
	eventually(t, "the new address is known everywhere", func() bool {
		for i, p := range all {
			peer, ok := p.Get(self.Name)
			if i != 7 && (!ok || peer.Caller != self.Peer || peer.Peer != replacement.Self().Peer) {
				return false
			}
		}
		return true
	})
}
