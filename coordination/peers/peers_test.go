package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	"primroseward/standin/memory"
)

// daemons is the kind of the daemons' objects in the store.
const daemons = "daemons"

// newPeers makes a daemon's Peers on a loopback port; loads are those that it sends.
func newPeers(t *testing.T, s *memory.Store, name, dataCentre string, loads map[core.Code]int, onLoads func(Peer, map[core.Code]int)) *Peers {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(conn.LocalAddr().String())
	self := Peer{Name: name, DataCentre: dataCentre, Peer: addr, Caller: netip.MustParseAddrPort("127.0.0.1:1"), Boot: uint64(time.Now().UnixNano())}
	if onLoads == nil {
		onLoads = func(Peer, map[core.Code]int) {}
	}
	p := New(self, daemons, s.Client(), conn, clockwork.NewRealClock(), zap.NewNop(), func() map[core.Code]int { return loads }, onLoads)
	return p
}

// aliveNames returns the names of the daemons that p sees alive.
func aliveNames(p *Peers) map[string]bool {
	out := map[string]bool{}
	for _, peer := range p.Alive() {
		out[peer.Name] = true
	}
	return out
}

func eventually(t *testing.T, what string, fn func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fn() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second))
}

// Daemons that start at the same time discover each other, exchange their numbers of
// requests in progress, and no longer count a daemon that sends nothing.
func TestDaemonsDiscoverEachOther(t *testing.T) {
	s := memory.New()
	received := make(chan map[core.Code]int, 100)
	a := newPeers(t, s, "a", "north", map[core.Code]int{core.CodeOf("r1"): 3}, nil)
	b := newPeers(t, s, "b", "south", nil, func(_ Peer, counts map[core.Code]int) {
		select {
		case received <- counts:
		default:
		}
	})
	a.Start()
	b.Start()
	defer a.Stop()
	eventually(t, "both are known", func() bool { return aliveNames(a)["b"] && aliveNames(b)["a"] })
	assert.Equal(t, (<-received)[core.CodeOf("r1")], 3)
	assert.NilError(t, b.Unregister(context.Background()))
	objects, _, err := s.Client().List(context.Background(), daemons)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
	b.Leave()
	eventually(t, "leaving is known", func() bool {
		p, ok := a.Get("b")
		return ok && p.Leaving
	})
	b.Stop()
	eventually(t, "b is unreachable", func() bool { return !aliveNames(a)["b"] })
}

// TestUnreachableDaemonsAreKnown guards against daemons that are cut off from each other and each use the parts of the
// others of what all may use together.
func TestUnreachableDaemonsAreKnown(t *testing.T) {
	s := memory.New()
	all := []*Peers{newPeers(t, s, "a", "p", nil, nil), newPeers(t, s, "b", "p", nil, nil), newPeers(t, s, "c", "q", nil, nil)}
	assert.Equal(t, all[0].CountKnown(), 0, "before the store has been listed")
	for _, p := range all {
		p.Start()
	}
	defer all[0].Stop()
	eventually(t, "all are known", func() bool { return all[0].Count() == 3 && all[0].CountKnown() == 3 })
	all[2].Stop() // it sends nothing any more
	eventually(t, "one is unreachable", func() bool { return all[0].Count() == 2 })
	assert.Equal(t, all[0].CountKnown(), 3)
	all[1].Leave()
	all[1].Stop()
	eventually(t, "another one has left", func() bool { return all[0].Count() == 1 })
	assert.Equal(t, all[0].CountKnown(), 2)
}

// A request gets its reply or fails with ErrNoReply, and a message without a reply arrives.
func TestRequestsAndMessages(t *testing.T) {
	s := memory.New()
	a, b := newPeers(t, s, "a", "north", nil, nil), newPeers(t, s, "b", "south", nil, nil)
	received := make(chan string, 1)
	b.Handle("double", func(_ Peer, body json.RawMessage, reply func(any)) {
		var n int
		assert.Check(t, json.Unmarshal(body, &n) == nil)
		reply(2 * n)
	})
	b.Handle("news", func(from Peer, _ json.RawMessage, reply func(any)) {
		reply("nobody waits for this")
		received <- from.Name
	})
	for _, p := range []*Peers{a, b} {
		p.Start()
		defer p.Stop()
	}
	eventually(t, "b is known", func() bool { return aliveNames(a)["b"] })
	to, _ := a.Get("b")
	var got int
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, a.Request(ctx, to, "double", 21, &got, 50*time.Millisecond))
	assert.Equal(t, got, 42)
	a.Send(to, "news", 1)
	assert.Equal(t, <-received, "a")
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, a.Request(short, to, "unknown", 1, &got, 10*time.Millisecond), ErrNoReply)
}

// Two daemons may claim the lease of orders for a moment; the one with the later term is
// the holder.
func TestHolderHasLatestTerm(t *testing.T) {
	a := newPeers(t, memory.New(), "a", "north", nil, nil)
	defer a.conn.Close()
	_, ok := a.Holder()
	assert.Assert(t, !ok)
	a.receiveHeartbeat(&heartbeat{Peer: Peer{Name: "b", Boot: 1, State: State{Term: 4}}})
	a.receiveHeartbeat(&heartbeat{Peer: Peer{Name: "c", Boot: 1, State: State{Term: 5}}})
	p, ok := a.Holder()
	assert.Assert(t, ok)
	assert.Equal(t, p.Name, "c")
}

// A late heartbeat of a replaced process must not overwrite the state of its successor. But
// a process that starts after its clock was set back has a smaller boot number than its
// predecessor, and its heartbeats must be accepted.
func TestHeartbeatOfReplacedProcess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newPeers(t, memory.New(), "a", "north", nil, nil)
	defer a.conn.Close()
	a.clock = clock
	assert.Assert(t, a.receiveHeartbeat(&heartbeat{Peer: Peer{Name: "b", Boot: 7}}))
	assert.Assert(t, !a.receiveHeartbeat(&heartbeat{Peer: Peer{Name: "b", Boot: 6, Leaving: true}}))
	p, _ := a.Get("b")
	assert.Assert(t, !p.Leaving)
	clock.Advance(aliveTimeout)
	assert.Assert(t, a.receiveHeartbeat(&heartbeat{Peer: Peer{Name: "b", Boot: 5}}))
	assert.Assert(t, !a.receiveHeartbeat(&heartbeat{Peer: Peer{Name: "a", Boot: 9}}), "a heartbeat with the daemon's own name")
}

// TestLeavingDaemonIsCountedUntilItsGraceEnds guards against daemons that use the part of a leaving one, of what all may
// use together, while that one is only silent and goes on within its grace time.
func TestLeavingDaemonIsCountedUntilItsGraceEnds(t *testing.T) {
	const grace = 3 * time.Second
	s := memory.New()
	a, b := newPeers(t, s, "a", "p", nil, nil), newPeers(t, s, "b", "p", nil, nil)
	WithGrace(func() time.Duration { return grace })(a)
	for _, p := range []*Peers{a, b} {
		p.Start()
	}
	defer a.Stop()
	eventually(t, "both are known", func() bool { return a.Count() == 2 && b.Count() == 2 })
	b.Leave()
	eventually(t, "leaving is known", func() bool { peer, _ := a.Get("b"); return peer.Leaving })
	left := time.Now()
	b.Stop() // it sends nothing any more
	eventually(t, "it is silent", func() bool { return a.Count() == 1 })
	assert.Equal(t, a.CountKnown(), 2)
	eventually(t, "its grace time has ended", func() bool { return a.CountKnown() == 1 })
	assert.Assert(t, time.Since(left) >= grace-aliveTimeout, "%v", time.Since(left))
}

// TestNewDaemonHasNoPartUntilOthersKnowIt guards against a VM that is added while it is cut off from the others, which divide
// what all may use together without it.
func TestNewDaemonHasNoPartUntilOthersKnowIt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		listed bool // in the store, from an earlier process
		want   int
	}{
		{"new", false, 0},
		{"started again", true, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := memory.New()
			a, b := newPeers(t, s, "a", "p", nil, nil), newPeers(t, s, "b", "p", nil, nil)
			assert.NilError(t, a.register(context.Background()))
			if tt.listed {
				assert.NilError(t, newPeers(t, s, "b", "p", nil, nil).register(context.Background()))
			}
			b.Start() // a does not receive anything yet
			defer b.Stop()
			eventually(t, "the store has been listed", b.Discovered)
			assert.Equal(t, b.CountKnown(), tt.want)
			a.Start()
			defer a.Stop()
			eventually(t, "both know each other", func() bool { return b.CountKnown() == 2 && a.CountKnown() == 2 })
		})
	}
}
