package intake

import "errors"

// errChunk is returned for bytes that are no chunked body. The server rejects them too.
var errChunk = errors.New("malformed chunk")

// Parts of a chunked body.
const (
	partSize = iota
	partExtension
	partData
	partDataEnd
	partTrailer
)

// chunks follows a chunked body to its end.
type chunks struct {
	part  int
	size  int64 // of the chunk, then what is left of it
	line  int   // bytes in the line of a trailer
	ended bool
}

// maxChunk bounds the size of a chunk.
const maxChunk = 1 << 56

// follow returns how many of the bytes belong to the body.
func (c *chunks) follow(data []byte) (int, error) {
	for i := 0; i < len(data); i++ {
		if c.part == partData {
			n := min(int64(len(data)-i), c.size)
			c.size -= n
			i += int(n) - 1
			if c.size == 0 {
				c.part = partDataEnd
			}
			continue
		}
		if err := c.step(data[i]); err != nil {
			return 0, err
		}
		if c.ended {
			return i + 1, nil
		}
	}
	return len(data), nil
}

// step follows a byte outside of a chunk's data.
func (c *chunks) step(b byte) error {
	switch c.part {
	case partSize:
		return c.stepSize(b)
	case partExtension:
		if b == '\n' {
			c.begin()
		}
	case partDataEnd:
		if b == '\n' {
			c.part = partSize
		} else if b != '\r' {
			return errChunk
		}
	case partTrailer:
		switch {
		case b == '\n':
			c.ended, c.line = c.line == 0, 0
		case b != '\r':
			c.line++
		}
	}
	return nil
}

func (c *chunks) stepSize(b byte) error {
	digit := int64(0)
	switch {
	case b >= '0' && b <= '9':
		digit = int64(b - '0')
	case b >= 'a' && b <= 'f':
		digit = int64(b-'a') + 10
	case b >= 'A' && b <= 'F':
		digit = int64(b-'A') + 10
	case b == '\n':
		c.begin()
		return nil
	case b == '\r' || b == ';' || b == ' ' || b == '\t':
		c.part = partExtension
		return nil
	default:
		return errChunk
	}
	if c.size = c.size<<4 | digit; c.size > maxChunk {
		return errChunk
	}
	return nil
}

// begin begins the data of a chunk, or the trailers.
func (c *chunks) begin() {
	c.part = partData
	if c.size == 0 {
		c.part = partTrailer
	}
}
