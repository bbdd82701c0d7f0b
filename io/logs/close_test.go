package logs

import (
	"io"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// A daemon stops while requests are cut at the end of its grace time. Each of them tells
// of its end, after the logs were closed: the process ends with a panic, or the race
// detector tells of a line that is sent as the queue is closed.
func TestLinesAfterClose(*testing.T) {
	w := NewWriter(io.Discard, clockwork.NewRealClock())
	log := New(w, zap.InfoLevel)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				log.Info("ended")
			}
		})
	}
	w.Close()
	wg.Wait()
	log.Info("ended")
}
