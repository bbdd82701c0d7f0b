package quarantine

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/standin/memory"
)

// hubFleetSize is a number of daemons that communicate through hubs, which takes more than
// sixteen.
const hubFleetSize = 20

// In a large fleet no daemon sends to all others itself. A hold and its release must reach all
// of them through the hubs, over real sockets.
func TestHoldIsRelayedByHubs(t *testing.T) {
	store, r := memory.New(), newRunners()
	all := make([]*daemon, hubFleetSize)
	for i := range all {
		all[i] = startOnSockets(t, store, fmt.Sprint("d", i), []string{"north", "south"}[i%2], r)
	}
	for _, d := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := len(d.Quarantine.net.Alive()); n != hubFleetSize {
				return poll.Continue("%s has %d live daemons", d.name, n)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
	for i := range 3 {
		r.crash(all[i], fmt.Sprint("r", i), harmful)
	}
	waitForAll(t, "held back", all, hasHold(harmful))
	assert.Assert(t, all[7].Release(harmful))
	waitForAll(t, "released", all, released(harmful))
}

// startOnSockets starts the quarantine of a daemon that communicates by datagrams.
func startOnSockets(t *testing.T, store *memory.Store, name, place string, r *runners) *daemon {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	addr := netip.MustParseAddrPort(conn.LocalAddr().String())
	self := peers.Peer{Name: name, DataCentre: place, Caller: addr, Peer: addr, Boot: 1, Cores: 1}
	p := peers.New(self, "daemons", store.Client(), conn, clock, zap.NewNop(),
		func() map[core.Code]int { return nil }, func(peers.Peer, map[core.Code]int) {})
	p.SetState(func() peers.State { return peers.State{Ready: true, Confirmed: -1} })
	d := &daemon{name: name, Quarantine: New(p, r, clock, zap.NewNop())}
	p.Start()
	d.Start()
	t.Cleanup(func() {
		d.Stop()
		p.Stop()
	})
	return d
}
