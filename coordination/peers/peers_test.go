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

const daemons = "daemons"

// start starts a daemon's Peers on a loopback port; loads are what it tells.
func start(t *testing.T, s *memory.Store, name, place string, loads map[core.Code]int, heard func(Peer, map[core.Code]int)) *Peers {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(conn.LocalAddr().String())
	self := Peer{Name: name, Place: place, Peer: addr, Caller: netip.MustParseAddrPort("127.0.0.1:1"), Boot: uint64(time.Now().UnixNano())}
	if heard == nil {
		heard = func(Peer, map[core.Code]int) {}
	}
	p := New(self, daemons, s.Client(), conn, clockwork.NewRealClock(), zap.NewNop(), func() map[core.Code]int { return loads }, heard)
	return p
}

func names(p *Peers) map[string]bool {
	out := map[string]bool{}
	for _, one := range p.Alive() {
		out[one.Name] = true
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

// Daemons that start at the same time find each other, tell what they have in
// progress, and no longer count a daemon that is silent.
func TestDaemonsFindEachOther(t *testing.T) {
	s := memory.New()
	told := make(chan map[core.Code]int, 100)
	a := start(t, s, "a", "north", map[core.Code]int{core.CodeOf("r1"): 3}, nil)
	b := start(t, s, "b", "south", nil, func(_ Peer, counts map[core.Code]int) {
		select {
		case told <- counts:
		default:
		}
	})
	a.Start()
	b.Start()
	defer a.Stop()
	eventually(t, "both are known", func() bool { return names(a)["b"] && names(b)["a"] })
	assert.Equal(t, (<-told)[core.CodeOf("r1")], 3)
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
	eventually(t, "b is silent", func() bool { return !names(a)["b"] })
}

func TestAskAndTell(t *testing.T) {
	s := memory.New()
	a, b := start(t, s, "a", "north", nil, nil), start(t, s, "b", "south", nil, nil)
	told := make(chan string, 1)
	b.Handle("double", func(_ Peer, body json.RawMessage, answer func(any)) {
		var n int
		assert.Check(t, json.Unmarshal(body, &n) == nil)
		answer(2 * n)
	})
	b.Handle("news", func(from Peer, _ json.RawMessage, answer func(any)) {
		answer("nobody waits for this")
		told <- from.Name
	})
	for _, p := range []*Peers{a, b} {
		p.Start()
		defer p.Stop()
	}
	eventually(t, "b is known", func() bool { return names(a)["b"] })
	to, _ := a.Get("b")
	var got int
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, a.Ask(ctx, to, "double", 21, &got, 50*time.Millisecond))
	assert.Equal(t, got, 42)
	a.Tell(to, "news", 1)
	assert.Equal(t, <-told, "a")
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, a.Ask(short, to, "unknown", 1, &got, 10*time.Millisecond), ErrNoAnswer)
}

// Two daemons claim the lease for a moment; the later term counts.
func TestHolderIsTheLatestTerm(t *testing.T) {
	a := start(t, memory.New(), "a", "north", nil, nil)
	defer a.conn.Close()
	_, ok := a.Holder()
	assert.Assert(t, !ok)
	a.note(&beat{Peer: Peer{Name: "b", Boot: 1, State: State{Term: 4}}})
	a.note(&beat{Peer: Peer{Name: "c", Boot: 1, State: State{Term: 5}}})
	p, ok := a.Holder()
	assert.Assert(t, ok)
	assert.Equal(t, p.Name, "c")
}

// A datagram of a process that has been replaced brings its state back; but a
// process that starts after its clock was set back must be heard as well.
func TestReplacedProcesses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := start(t, memory.New(), "a", "north", nil, nil)
	defer a.conn.Close()
	a.clock = clock
	assert.Assert(t, a.note(&beat{Peer: Peer{Name: "b", Boot: 7}}))
	assert.Assert(t, !a.note(&beat{Peer: Peer{Name: "b", Boot: 6, Leaving: true}}))
	p, _ := a.Get("b")
	assert.Assert(t, !p.Leaving)
	clock.Advance(aliveFor)
	assert.Assert(t, a.note(&beat{Peer: Peer{Name: "b", Boot: 5}}))
	assert.Assert(t, !a.note(&beat{Peer: Peer{Name: "a", Boot: 9}}), "its own name")
}
