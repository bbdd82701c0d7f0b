package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
)

// fixedNetwork is a network whose daemons never change.
type fixedNetwork struct{ list []peers.Peer }

func (f fixedNetwork) Handle(string, peers.Handler) {}
func (f fixedNetwork) Alive() []peers.Peer          { return f.list }
func (f fixedNetwork) Large() bool                  { return len(f.list) > 16 }
func (f fixedNetwork) Send(peers.Peer, string, any) {}
func (f fixedNetwork) Request(context.Context, peers.Peer, string, any, any, time.Duration) error {
	return errNoReply
}

func fixedFleet(n int) fixedNetwork {
	var f fixedNetwork
	for i := range n {
		f.list = append(f.list, peers.Peer{Name: fmt.Sprintf("vm-%d", i)})
	}
	return f
}

// BenchmarkRecords measures what the records of streams cost a daemon at which 16 streams begin each
// second, and which share of the streams of a daemon that has been killed is still known, by the number of
// copies and of daemons.
func BenchmarkRecords(b *testing.B) {
	const (
		perSecond = 16
		envelope  = 28 + 60 // headers of IP and UDP, and the message around the records
	)
	for _, daemons := range []int{8, 30, 300, 3700} {
		for _, n := range []int{1, 2, copies, daemons - 1} {
			b.Run(fmt.Sprintf("daemons=%d/copies=%d", daemons, n), func(b *testing.B) {
				s := newSender(fixedFleet(daemons), clockwork.NewRealClock(), zap.NewNop())
				rng := rand.New(rand.NewPCG(1, 2))
				messages, bytes, known, knownOfHerd := 0, 0, 0, 0
				for b.Loop() {
					k := core.StreamKeyOf(nil, fmt.Sprint(rng.Uint64()))
					holders := s.holders(k, n)
					data, err := json.Marshal(pack([]copyOf{{key: k, origin: core.Origin{Service: "model-runner", Version: "v1.1"}}}))
					if err != nil {
						b.Fatal(err)
					}
					messages += len(holders)
					bytes += len(holders) * (len(data) + envelope)
					if len(holders) > 0 {
						known++
					}
					// Of the others six in ten are killed together with the daemon.
					if slices.ContainsFunc(holders, func(peers.Peer) bool { return rng.Float64() >= 0.6 }) {
						knownOfHerd++
					}
				}
				b.ReportMetric(float64(messages)/float64(b.N)*perSecond, "messages/s")
				b.ReportMetric(float64(bytes)/float64(b.N)*perSecond/1000, "kB/s")
				b.ReportMetric(float64(known)/float64(b.N), "known")
				b.ReportMetric(float64(knownOfHerd)/float64(b.N), "known-of-0.6")
			})
		}
	}
}

// BenchmarkBegin measures what a stream costs while one version serves.
func BenchmarkBegin(b *testing.B) {
	t := New(func(string) []string { return []string{"v1"} }, clockwork.NewRealClock(), zap.NewNop(), WithNetwork(fixedFleet(8)))
	for i := 0; b.Loop(); i++ {
		t.Begin(core.StreamKeyOf(nil, fmt.Sprint(i)), nil, core.Origin{Service: service, Version: "v1"})()
	}
}
