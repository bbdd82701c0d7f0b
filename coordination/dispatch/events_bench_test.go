package dispatch

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// pieceReader returns at most size bytes per read.
type pieceReader struct {
	in   io.Reader
	size int
}

func (p *pieceReader) Read(b []byte) (int, error) { return p.in.Read(b[:min(len(b), p.size)]) }

// BenchmarkEvents measures reading a stream: an event per read, many per read, and an event of nearly
// the largest size that is read in small pieces.
func BenchmarkEvents(b *testing.B) {
	event := "id: 17\ndata: {\"choices\":[{\"delta\":{\"content\":\" word\"}}]}\n\n"
	for _, bb := range []struct {
		name string
		text string
		read int
	}{
		{"one per read", strings.Repeat(event, 2000), len(event)},
		{"many per read", strings.Repeat(event, 2000), 8 << 10},
		{"large", "data: " + strings.Repeat("x", 1_000_000) + "\n\n", 4 << 10},
	} {
		b.Run(bb.name, func(b *testing.B) {
			b.SetBytes(int64(len(bb.text)))
			for b.Loop() {
				in := &eventReader{in: &pieceReader{bytes.NewReader([]byte(bb.text)), bb.read}}
				n := 0
				for {
					out, err := in.next()
					n += len(out)
					if err == io.EOF {
						break
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				if n != len(bb.text) {
					b.Fatalf("%d bytes", n)
				}
			}
		})
	}
}
