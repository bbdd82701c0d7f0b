// Package logs writes structured logs within a bounded volume and without ever
// blocking, and holds the names of all events.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"

	"primroseward/core"
)

const (
	// LinesPerSecond bounds a process's lines: enough for three lines for each of
	// some hundred requests per second, and at most a megabyte per second.
	LinesPerSecond = 1000
	// failureShare is the share of the lines, in per cent, that is reserved for
	// warnings and errors: in an overload the failures are the lines of interest.
	failureShare = 40
	// MaxLine bounds a line, in bytes. A longer one is replaced by a line with
	// its event and its first bytes.
	MaxLine = 1024
	// queueCapacity is the capacity of the queue of lines, in which they wait for a slow
	// reader of standard output.
	queueCapacity = 4096
	// closeTimeout bounds how long Close waits for a reader that does not read.
	closeTimeout = 200 * time.Millisecond
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = time.Second
)

// Writer writes lines to standard output from a separate goroutine. If the reader
// does not keep up, lines are dropped and counted, so that a full pipe never blocks
// a request.
type Writer struct {
	to      io.Writer
	clock   core.Clock
	lines   chan *buffer.Buffer
	done    chan struct{}
	dropped [2]atomic.Int64 // by class
	counter Counter

	closeMu sync.RWMutex // held when lines is closed or sent to
	closed  bool

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// Classes of lines.
const (
	plain = iota
	failure
)

// NewWriter starts a Writer.
func NewWriter(to io.Writer, clock core.Clock) *Writer {
	w := &Writer{
		to: to, clock: clock, lines: make(chan *buffer.Buffer, queueCapacity), done: make(chan struct{}),
		tokens: LinesPerSecond, at: clock.Now(),
	}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for b := range w.lines {
		batch = append(batch[:0], b.Bytes()...)
		b.Free()
		// Write all queued lines at once: a write costs more than a line.
		for more := true; more && len(batch) < 32*MaxLine; {
			select {
			case next, ok := <-w.lines:
				if !ok {
					more = false
					break
				}
				batch = append(batch, next.Bytes()...)
				next.Free()
			default:
				more = false
			}
		}
		_, _ = w.to.Write(batch) // the error can't be reported anywhere else
	}
}

// Close writes the queued lines, but waits only briefly for a reader that does not read.
// Later lines are dropped.
func (w *Writer) Close() {
	w.closeMu.Lock()
	w.closed = true
	close(w.lines)
	w.closeMu.Unlock()
	select {
	case <-w.done:
	case <-w.clock.After(closeTimeout):
	}
}

// Dropped returns how many plain lines and failures have been dropped so far.
func (w *Writer) Dropped() (lines, failures int64) {
	return w.dropped[plain].Load(), w.dropped[failure].Load()
}

// Counter is a metric that counts dropped lines.
type Counter interface{ Inc(n int64) }

// SetCounter sets a metric that counts dropped lines. It must be called before the first line.
func (w *Writer) SetCounter(c Counter) { w.counter = c }

// countDropped counts a dropped line.
func (w *Writer) countDropped(class int) {
	w.dropped[class].Add(1)
	if w.counter != nil {
		w.counter.Inc(1)
	}
}

// admit reports whether the rate allows a line of the class, and takes a token for it.
func (w *Writer) admit(class int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.tokens = min(LinesPerSecond, w.tokens+now.Sub(w.at).Seconds()*LinesPerSecond)
	w.at = now
	floor := 1.0
	if class == plain {
		floor += LinesPerSecond * failureShare / 100
	}
	if w.tokens < floor {
		return false
	}
	w.tokens--
	return true
}

// enqueue queues a line, or drops it if the queue is full or closed. Requests that are
// cancelled at the end of the grace time log this when the Writer may be closed already;
// sending such a line to the closed queue would panic.
func (w *Writer) enqueue(b *buffer.Buffer, class int) {
	w.closeMu.RLock()
	defer w.closeMu.RUnlock()
	if !w.closed {
		select {
		case w.lines <- b:
			return
		default:
		}
	}
	b.Free()
	w.countDropped(class)
}

// logCore is a zapcore.Core that writes to a Writer.
type logCore struct {
	zapcore.LevelEnabler
	enc zapcore.Encoder
	out *Writer
}

// New returns a logger that writes to out, which must be closed after the last line.
func New(out *Writer, level zapcore.LevelEnabler) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(&logCore{LevelEnabler: level, enc: zapcore.NewJSONEncoder(cfg), out: out})
}

// StartReports starts to log the number of dropped lines at intervals, until the Writer is closed.
func (w *Writer) StartReports(log *zap.Logger) { go w.reportDropped(log) }

func (w *Writer) reportDropped(log *zap.Logger) {
	var lines, failures int64
	for {
		select {
		case <-w.done:
			return
		case <-w.clock.After(reportInterval):
		}
		l, f := w.Dropped()
		if l > lines || f > failures {
			log.Error(LinesDropped, zap.Int64("lines", l-lines), zap.Int64("failures", f-failures))
			lines, failures = l, f
		}
	}
}

func (c *logCore) With(fields []zapcore.Field) zapcore.Core {
	next := &logCore{LevelEnabler: c.LevelEnabler, enc: c.enc.Clone(), out: c.out}
	for _, f := range fields {
		f.AddTo(next.enc)
	}
	return next
}

// Check drops a line before it is encoded if the rate is used up.
func (c *logCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	class := classOf(e.Level)
	if !c.out.admit(class) {
		c.out.countDropped(class)
		return ce
	}
	return ce.AddCore(e, c)
}

func classOf(l zapcore.Level) int {
	if l >= zapcore.WarnLevel {
		return failure
	}
	return plain
}

func (c *logCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	b, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	if b.Len() > MaxLine {
		start := string(b.Bytes()[:MaxLine/2])
		b.Free()
		if b, err = c.enc.EncodeEntry(e, []zapcore.Field{zap.Bool("cut", true), zap.String("start", start)}); err != nil {
			return err
		}
	}
	c.out.enqueue(b, classOf(e.Level))
	return nil
}

// Sync does nothing, since lines are written without delay.
func (c *logCore) Sync() error { return nil }

// Err returns a field with an error's text only, without the stack trace that errors
// carry for output on a terminal.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
