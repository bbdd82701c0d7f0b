package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/coordination/peers"
)

// Guards against a daemon that never becomes ready because it was paused while it started, or because no
// other daemon answers, and against one that serves before another one has sent what it knows.
func TestDepartureReader(t *testing.T) {
	errNoReply := errors.New("no reply")
	for _, tt := range []struct {
		name       string
		peerAfter  time.Duration // when another daemon is found; below 0: never
		storeAfter time.Duration
		failures   int           // requests that are not answered
		pause      time.Duration // of the process, during the first request
		knownAfter time.Duration // at the latest
		unknown    time.Duration // it must not be known before
		learnt     bool
	}{
		{"another daemon answers", 0, 0, 0, 0, 0, 0, true},
		{"another daemon is found later", 300 * time.Millisecond, time.Hour, 0, 0, 320 * time.Millisecond, 300 * time.Millisecond, true},
		{"there is none", -1, 100 * time.Millisecond, 0, 0, 120 * time.Millisecond, 100 * time.Millisecond, false},
		{"there is none, and the store is away", -1, time.Hour, 0, 0, time.Second, 0, false},
		{"one is found after the store was read", 500 * time.Millisecond, 0, 0, 0, 0, 0, true},
		{"the first requests are lost", 0, 0, 3, 0, 100 * time.Millisecond, 40 * time.Millisecond, true},
		{"all are lost", 0, 0, departuresLooks, 0, time.Second, 800 * time.Millisecond, false},
		{"paused for longer than it looks", 0, 0, 1, 10 * time.Second, 10*time.Second + 40*time.Millisecond, 10 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, asked, learnt := time.Now(), 0, false
				r := &departureReader{clock: clockwork.NewRealClock(), log: zap.NewNop()}
				r.choose = func() (peers.Peer, bool) { return peers.Peer{}, tt.peerAfter >= 0 && time.Since(began) >= tt.peerAfter }
				r.storeKnown = func() bool { return time.Since(began) >= tt.storeAfter }
				r.fetch = func(context.Context, peers.Peer) (int, error) {
					if asked++; asked == 1 {
						time.Sleep(tt.pause)
					}
					if asked <= tt.failures {
						return 0, errNoReply
					}
					learnt = true
					return 0, nil
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					r.run(t.Context())
				}()
				if tt.unknown > 0 {
					time.Sleep(tt.unknown - time.Millisecond)
					synctest.Wait()
					assert.Assert(t, !r.known.Load(), "before %v", tt.unknown)
				}
				time.Sleep(tt.knownAfter - time.Since(began) + time.Millisecond)
				synctest.Wait()
				assert.Assert(t, r.known.Load(), "after %v", tt.knownAfter)
				<-done
				assert.Equal(t, learnt, tt.learnt)
			})
		})
	}
}
