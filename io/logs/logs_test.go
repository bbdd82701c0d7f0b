package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// output records what is written. If blocked is set, writes block until it is closed.
type output struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(o.buf.String()) {
		var m map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &m), line)
		out = append(out, m)
	}
	return out
}

func TestLines(t *testing.T) {
	o := &output{}
	w := NewWriter(o, clockwork.NewRealClock())
	log := New(w, zapcore.InfoLevel).With(zap.String("daemon", "d"))
	log.Info(Started, zap.Int("n", 1))
	log.Debug(DatagramUnread)
	log.Info(Stopped, zap.String("long", strings.Repeat("x", 2*MaxLine)))
	w.Close()
	got := o.lines(t)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0]["msg"], Started)
	assert.Equal(t, got[0]["daemon"], "d")
	assert.Equal(t, got[1]["cut"], true)
	assert.Equal(t, got[1]["daemon"], "d")
}

// Guards against requests that block on logging: standard output is a pipe whose reader
// has stopped, and a write of a line would wait for it. Lines are dropped and counted
// instead.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	o := &output{blocked: make(chan struct{})}
	clock := clockwork.NewFakeClock()
	w := NewWriter(o, clock)
	log := New(w, zapcore.InfoLevel)
	const sent = 3 * queueCapacity
	for i := range sent {
		log.Warn(Refused, zap.Int("n", i))
		if i%500 == 0 {
			clock.Advance(reportInterval / 2)
		}
	}
	_, failures := w.Dropped()
	assert.Assert(t, failures > 0)
	close(o.blocked)
	w.Close()
	written := 0
	for _, line := range o.lines(t) {
		if line["msg"] == Refused {
			written++
		}
	}
	assert.Equal(t, int64(written)+failures, int64(sent))
}

// Guards against losing the lines on failures in an overload, because lines on successful
// requests use up the volume. The volume is bounded, and a share of it is reserved for
// failures.
func TestVolumeIsBoundedAndReservedForFailures(t *testing.T) {
	o := &output{}
	clock := clockwork.NewFakeClock()
	w := NewWriter(o, clock)
	log := New(w, zapcore.InfoLevel)
	for range 10 * LinesPerSecond {
		log.Info(RunnerChosen)
	}
	for range failureShare * LinesPerSecond / 100 {
		log.Warn(Refused)
	}
	lines, failures := w.Dropped()
	assert.Equal(t, failures, int64(0))
	assert.Equal(t, lines, int64(10*LinesPerSecond-(100-failureShare)*LinesPerSecond/100))
	w.Close()
	assert.Equal(t, len(o.lines(t)), LinesPerSecond)
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard, clockwork.NewRealClock())
	log := New(w, zapcore.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.Info(RunnerChosen, zap.String("request", "9c41d07be2a35f68"), zap.String("runner", "i-7f3a91c2"), zap.Int("requests", 12), zap.Float64("penalty", 0))
	}
}
