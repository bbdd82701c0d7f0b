package dispatch

import (
	"bytes"
	"io"
)

// maxEvent bounds an event of a stream, in bytes.
const maxEvent = 1 << 20

// eventReader reads a stream of server-sent events. It returns only complete events, so
// that a stream that breaks off within an event can be resumed elsewhere.
type eventReader struct {
	in     io.Reader
	buf    []byte
	lastID string // id of the last complete event returned
	err    error
	// bytes counts what was read, leftover what followed the last complete event.
	bytes    int64
	leftover int
}

// next returns the complete events that have arrived, at least one. At the end of the
// stream it returns the data after the last complete event, and io.EOF.
func (e *eventReader) next() ([]byte, error) {
	var chunk [8 << 10]byte
	for e.err == nil {
		n, err := e.in.Read(chunk[:])
		e.buf = append(e.buf, chunk[:n]...)
		e.err = err
		e.bytes += int64(n)
		if end := wholeEvents(e.buf); end > 0 {
			out := e.buf[:end:end]
			e.buf = append([]byte(nil), e.buf[end:]...)
			e.recordLastID(out)
			return out, nil
		}
		if len(e.buf) > maxEvent {
			e.err = io.ErrShortBuffer
		}
	}
	e.leftover = len(e.buf)
	if e.err == io.EOF {
		rest := e.buf
		e.buf = nil
		return rest, io.EOF
	}
	return nil, e.err
}

// wholeEvents returns the length of the complete events at the start of b. An empty
// line ends an event.
func wholeEvents(b []byte) int {
	end := bytes.LastIndex(b, []byte("\n\n")) + 2
	if crlf := bytes.LastIndex(b, []byte("\n\r\n")) + 3; crlf > 2 {
		end = max(end, crlf)
	}
	if end == 1 {
		return 0
	}
	return end
}

// recordLastID records the last id in a series of complete events.
func (e *eventReader) recordLastID(b []byte) {
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
