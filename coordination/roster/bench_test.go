package roster

import (
	"fmt"
	"testing"
	"time"

	"primroseward/core"
)

// BenchmarkFleet tells what the daemons of a fleet cost each other: datagrams and bytes
// that a daemon sends in a second, the most that one does, and the processor time that
// all that is told in a second takes a daemon, which is the time of an operation.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct{ daemons, places, runners int }{
		{30, 6, 21}, {100, 6, 70}, {300, 6, 210}, {1000, 10, 2700},
	} {
		b.Run(fmt.Sprintf("daemons=%d", c.daemons), func(b *testing.B) {
			s := fleetOf(1, c.daemons, c.places)
			s.run(5 * time.Second)
			for _, n := range s.order {
				n.word.Usage = map[core.Code]core.Usage{}
				for w := range 16 {
					n.word.Usage[core.Code(w*104729)] = core.Usage{Asked: 100, Spent: 100, Left: 100}
				}
				for range 24 { // 16 requests a second of a second and a half each
					n.word.Loads[core.Code(s.rand.Intn(c.runners)*7919)]++
				}
			}
			s.run(time.Second)
			before := make([]int, len(s.order))
			for i, n := range s.order {
				before[i] = n.sent
			}
			sent, bytes := s.sent, s.bytes
			b.ResetTimer()
			for b.Loop() {
				s.run(time.Second)
			}
			most := 0
			for i, n := range s.order {
				most = max(most, n.sent-before[i])
			}
			per := float64(b.N) * float64(c.daemons)
			b.ReportMetric(float64(s.sent-sent)/per, "datagrams/s")
			b.ReportMetric(float64(s.bytes-bytes)/per, "bytes/s")
			b.ReportMetric(float64(most)/float64(b.N), "most-datagrams/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per, "ns/daemon-s")
		})
	}
}
