package logs

import (
	"io"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// Guards against lines that are written after the Writer was closed. A daemon that stops
// cancels the remaining requests at the end of its grace time, and each of them logs its
// end, possibly after the logs were closed. The process would exit with a panic, or the race
// detector would report a send to the queue while it is closed.
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
