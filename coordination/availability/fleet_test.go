package availability

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// Guards against daemons of a large fleet that go on sending to a leaving runner because the
// message was lost on the way: a tenth of the messages is, on each of the two hops over a hub.
func TestAllDaemonsLearnOfADepartureInTime(t *testing.T) {
	const (
		loss, hop = 0.1, 5 * time.Millisecond
		drainTime = 2 * time.Second
		groupSize = 64
	)
	for _, daemons := range []int{6, 20, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex // guards rnd
				rnd := rand.New(rand.NewPCG(1, uint64(daemons)))
				r := core.Runner{ID: "r", Service: "s", StartedAt: time.Now()}
				all := make([]*Table, daemons)
				lost := func() bool {
					mu.Lock()
					defer mu.Unlock()
					return rnd.Float64() < loss
				}
				deliver := func(to int, u Update) {
					if !lost() {
						time.AfterFunc(hop, func() { all[to].ApplyUpdate("d", u) })
					}
				}
				for i := range all {
					all[i] = newTable(func(u Update) {
						for group := 0; group < daemons; group += groupSize {
							if lost() {
								continue // the message to the hub
							}
							for to := group; to < min(daemons, group+groupSize); to++ {
								deliver(to, u)
							}
						}
					}, r)
				}
				began := time.Now()
				all[0].ObserveAnswer(&r, leavingInfo)
				for i, d := range all {
					for !d.Leaving(&r) {
						assert.Assert(t, time.Since(began) < drainTime, "daemon %d does not know it", i)
						time.Sleep(hop)
					}
				}
				t.Logf("%d daemons know it after %v", daemons, time.Since(began))
			})
		})
	}
}
