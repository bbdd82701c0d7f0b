package intake

import (
	"bytes"
	"strconv"
)

// The cost of a request in memory, in bytes: of the work on any request, of each byte of its head, and of each line, which is
// parsed into a field and copied for its runner.
const (
	costRequest = 24 << 10
	costByte    = 2
	costLine    = 288
)

// maxLeading is the number of empty lines that may precede a request. The server decides about them.
const maxLeading = 4

// framing is how the end of a body is marked.
type framing int

// Framings of a body.
const (
	framedEmpty framing = iota
	framedLength
	framedChunks
	framedUnknown // the server will reject it
)

// head follows the lines of a request's head as they arrive. The server parses them once all have arrived.
type head struct {
	seen    int // bytes that have been searched for the end of a line
	line    int // where the line begins
	lines   int
	leading int // empty lines before the first one
	framing framing
	length  int64
	http10  bool
}

// cost returns the memory that a request with a head of a size may take.
func (h *head) cost(size int) int { return costRequest + costByte*size + costLine*h.lines }

// follow looks at a head as far as it has arrived. It returns the head's length, 0 if it is not whole.
func (h *head) follow(data []byte) int {
	for {
		k := bytes.IndexByte(data[h.seen:], '\n')
		if k < 0 {
			h.seen = len(data)
			return 0
		}
		end := h.seen + k
		line := bytes.TrimSuffix(data[h.line:end], []byte("\r"))
		h.seen, h.line = end+1, end+1
		switch {
		case len(line) > 0:
			h.read(line)
			h.lines++
		case h.lines > 0:
			return h.seen
		default:
			if h.leading++; h.leading > maxLeading {
				return h.seen
			}
		}
	}
}

// Names of the fields that frame a body, with their colon.
var (
	fieldLength   = []byte("content-length:")
	fieldEncoding = []byte("transfer-encoding:")
	version10     = []byte("HTTP/1.0")
)

// read reads what a line states of the body's framing.
func (h *head) read(line []byte) {
	if h.lines == 0 {
		h.http10 = bytes.HasSuffix(line, version10)
		return
	}
	switch line[0] {
	case 'c', 'C':
		if value, ok := cutField(line, fieldLength); ok && h.framing != framedChunks {
			n, err := strconv.ParseInt(string(value), 10, 64)
			switch {
			case err != nil || n < 0 || h.framing == framedLength && n != h.length:
				h.framing = framedUnknown
			case n > 0:
				h.framing, h.length = framedLength, n
			}
		}
	case 't', 'T':
		if value, ok := cutField(line, fieldEncoding); ok && !h.http10 {
			if h.framing = framedChunks; !bytes.EqualFold(value, []byte("chunked")) {
				h.framing = framedUnknown
			}
		}
	}
}

func cutField(line, name []byte) (value []byte, ok bool) {
	if len(line) < len(name) || !bytes.EqualFold(line[:len(name)], name) {
		return nil, false
	}
	return bytes.TrimSpace(line[len(name):]), true
}
