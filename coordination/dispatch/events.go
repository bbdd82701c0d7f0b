package dispatch

import (
	"bytes"
	"io"
)

// maxEvent bounds an event of a stream, in bytes.
const maxEvent = 1 << 20

// eventReader reads a stream of server-sent events. Whole events only are handed
// on, so that a stream that breaks inside of one can go on elsewhere.
type eventReader struct {
	in   io.Reader
	buf  []byte
	last string // id of the last whole event handed on
	err  error
}

// next returns the whole events that have come, at least one. At the end of
// the stream it returns what is left after the last whole event, and io.EOF.
func (e *eventReader) next() ([]byte, error) {
	var chunk [8 << 10]byte
	for e.err == nil {
		n, err := e.in.Read(chunk[:])
		e.buf = append(e.buf, chunk[:n]...)
		e.err = err
		if end := wholeEvents(e.buf); end > 0 {
			out := e.buf[:end:end]
			e.buf = append([]byte(nil), e.buf[end:]...)
			e.note(out)
			return out, nil
		}
		if len(e.buf) > maxEvent {
			e.err = io.ErrShortBuffer
		}
	}
	if e.err == io.EOF {
		rest := e.buf
		e.buf = nil
		return rest, io.EOF
	}
	return nil, e.err
}

// wholeEvents is the length of the whole events at the start of b. An empty
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

// note remembers the last id of a run of whole events.
func (e *eventReader) note(b []byte) {
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}
