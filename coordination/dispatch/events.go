package dispatch

import (
	"bytes"
	"errors"
	"io"

	"primroseward/io/retain"
)

const (
	// maxEvent bounds what is held in memory of one event, in bytes. A larger event is passed on in
	// parts.
	maxEvent = 1 << 20
	// eventChunk is the size of a read in bytes.
	eventChunk = 8 << 10
	// minReserved is the smallest part taken from the budget for an event, in bytes.
	minReserved = 64 << 10
)

var (
	// errInsideEvent: the answer's body ended inside an event.
	errInsideEvent = errors.New("the stream ended inside an event")
	// errNoEvent: the connection, with which the body ends, ended before the first event.
	errNoEvent = errors.New("the connection ended before the first event")
)

// A byte order mark may precede the first line of a stream.
var (
	byteOrderMark = []byte("\xef\xbb\xbf")
	markedComment = []byte("\xef\xbb\xbf:")
)

// eventReader reads a stream of server-sent events. It returns only complete events, so that a
// stream that breaks off within an event can be resumed elsewhere; of an event larger than maxEvent
// it returns parts. Nothing is returned before the first event.
//
// A line ends with LF, CR or both. An empty line ends an event. Comments, which begin with a colon,
// and empty lines between two events are no part of either.
type eventReader struct {
	in     io.Reader
	budget *retain.Budget
	onRead func() // called after each read that returned something; nil: nothing
	lastID string // id of the last complete event returned
	events int    // complete events returned
	// partial is whether a part of an event has been returned without its end.
	partial bool
	err     error
	// bytes counts what was read, leftover what was read of an event without its end.
	bytes    int64
	leftover int

	chunk    []byte
	buf      []byte // read, and not returned yet
	reserved int    // of the budget for buf
	line     int    // start of the last line in buf
	scanned  int    // start of that part of buf in which no end of a line was looked for yet
	afterCR  bool   // the line before ended with CR; an LF that follows belongs to that end
	cutLine  bool   // the beginning of the last line has been returned
	inEvent  bool   // a line of an event has been read, and not the event's end
	id       string // of this event
	hasID    bool
	complete int // events whose end is in buf
}

// next returns the complete events that have arrived, at least one. At the end of the stream it
// returns what follows the last event, such as a comment, and io.EOF. Its error is errInsideEvent if
// the body ends inside an event.
func (e *eventReader) next() ([]byte, error) {
	if e.chunk == nil {
		e.chunk = make([]byte, eventChunk)
	}
	for e.err == nil {
		n, err := e.in.Read(e.chunk)
		e.buf = append(e.buf, e.chunk[:n]...)
		e.bytes += int64(n)
		e.err = err
		if n > 0 && e.onRead != nil {
			e.onRead()
		}
		if whole := e.scan(); whole > 0 && (e.events > 0 || e.complete > 0 || e.partial) {
			return e.take(whole), nil
		}
		if !e.mayHold(len(e.buf) + eventChunk) {
			return e.takePart(), nil
		}
	}
	if e.err == io.EOF && !e.insideEvent() {
		return e.take(len(e.buf)), io.EOF
	}
	e.leftover = len(e.buf)
	if e.err == io.EOF {
		e.err = errInsideEvent
	}
	return nil, e.err
}

// mayHold reports whether n bytes may be held of one event.
func (e *eventReader) mayHold(n int) bool {
	more := n - freeBuffered - e.reserved
	if more <= 0 {
		return true
	}
	if n > maxEvent || !e.budget.Take(max(more, minReserved)) {
		return false
	}
	e.reserved += max(more, minReserved)
	return true
}

// close drops what is held.
func (e *eventReader) close() {
	e.budget.Release(e.reserved)
	e.buf, e.reserved = nil, 0
}

// take returns and removes the first n bytes of the buffer, which end outside an event.
func (e *eventReader) take(n int) []byte {
	out := e.buf[:n:n]
	e.buf = append([]byte(nil), e.buf[n:]...)
	e.line, e.scanned = max(0, e.line-n), max(0, e.scanned-n)
	e.events, e.complete = e.events+e.complete, 0
	e.partial = false
	e.shrink()
	return out
}

// shrink returns to the budget what the buffer no longer needs.
func (e *eventReader) shrink() {
	if e.reserved > 0 && len(e.buf) <= freeBuffered {
		e.budget.Release(e.reserved)
		e.reserved = 0
	}
}

// takePart returns and removes the whole buffer, which ends inside an event or a long comment.
func (e *eventReader) takePart() []byte {
	if rest := e.buf[e.line:]; len(rest) > 0 {
		e.cutLine = true
		e.inEvent = e.inEvent || !isComment(rest)
	}
	out := e.buf
	e.buf, e.line, e.scanned = nil, 0, 0
	e.partial = true
	e.shrink()
	return out
}

// scan looks for the ends of lines in what has been read since its last call. It returns the length
// of that part of the buffer that ends with the last line outside an event, 0 if there is none.
func (e *eventReader) scan() int {
	whole := 0
	for {
		if e.afterCR && e.line < len(e.buf) {
			e.afterCR = false
			if e.buf[e.line] == '\n' {
				e.line++
				e.scanned = e.line
				if !e.inEvent {
					whole = e.line
				}
			}
		}
		n := bytes.IndexAny(e.buf[e.scanned:], "\r\n")
		if n < 0 {
			e.scanned = len(e.buf)
			return whole
		}
		end := e.scanned + n
		e.endLine(e.buf[e.line:end])
		e.afterCR = e.buf[end] == '\r'
		e.line, e.scanned = end+1, end+1
		if !e.inEvent {
			whole = e.line
		}
	}
}

// endLine takes a complete line into account, without its end.
func (e *eventReader) endLine(line []byte) {
	if !e.inEvent {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	switch {
	case e.cutLine:
		e.cutLine = false
	case len(line) == 0:
		if !e.inEvent {
			return
		}
		e.inEvent = false
		e.complete++
		if e.hasID {
			e.lastID, e.hasID = e.id, false
		}
	case isComment(line):
	default:
		e.inEvent = true
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id, e.hasID = string(bytes.TrimSpace(id)), true
		}
	}
}

// isComment reports whether a line outside an event, or its beginning, is no part of one.
func isComment(line []byte) bool {
	return line[0] == ':' || bytes.HasPrefix(byteOrderMark, line) || bytes.HasPrefix(line, markedComment)
}

// insideEvent reports whether a line of an event has been read, or a part of one, and not the event's
// end.
func (e *eventReader) insideEvent() bool {
	rest := e.buf[e.line:]
	return e.inEvent || len(rest) > 0 && !e.cutLine && !isComment(rest)
}
