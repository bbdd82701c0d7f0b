package dispatch

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// readEvents reads a stream to its end.
func readEvents(in *eventReader) (string, error) {
	var out strings.Builder
	for {
		part, err := in.next()
		out.Write(part)
		if err != nil {
			return out.String(), err
		}
	}
}

// TestEndOfAStream guards against a stream that ends inside an event and counts as complete, and
// against a complete one that counts as broken because something that is no event follows.
func TestEndOfAStream(t *testing.T) {
	const mark = "\xef\xbb\xbf"
	large := "data: " + strings.Repeat("x", maxEvent) + "\n\n"
	for _, tt := range []struct {
		name, text string
		passed     string // if it is broken off
		whole      bool
	}{
		{"nothing", "", "", true},
		{"an empty line", "\n", "", true},
		{"a comment", ": ping\n", "", true},
		{"a byte order mark", mark, "", true},
		{"a part of a byte order mark", mark[:2], "", true},
		{"one event", "id: 1\ndata: x\n\n", "", true},
		{"CRLF", "id: 1\r\ndata: x\r\n\r\n", "", true},
		{"CR", "id: 1\rdata: x\r\r", "", true},
		{"line ends mixed", "id: 1\ndata: x\r\n\rdata: y\r\n\n", "", true},
		{"many data lines", "data: x\ndata: y\ndata\n\n", "", true},
		{"a mark before the first line", mark + "data: x\n\n", "", true},
		{"a mark before a comment", mark + ": x\ndata: x\n\n", "", true},
		{"comments between events", ": a\n\ndata: x\n\n: b\n: c\ndata: y\n\n", "", true},
		{"a comment in an event", "data: x\n: ping\ndata: y\n\n", "", true},
		{"a comment at the end", "data: x\n\n: bye\n", "", true},
		{"a comment without its line end", "data: x\n\n: by", "", true},
		{"empty lines at the end", "data: x\n\n\n\r\n", "", true},
		{"a mark at the end", "data: x\n\n" + mark, "", true},
		{"a large event", large, "", true},
		{"a large event and another", large + "data: y\n\n", "", true},
		{"a large comment", ":" + large[1:] + "data: x\n\n", "", true},
		{"in the first line", "da", "", false},
		{"in the first event", "id: 1\n", "", false},
		{"after a line", "data: x\n\ndata: y\n", "data: x\n\n", false},
		{"after a line, CRLF", "data: x\r\n\r\ndata: y\r\n", "data: x\r\n\r\n", false},
		{"after a line, CR", "data: x\r\rdata: y\r", "data: x\r\r", false},
		{"in a line", "data: x\n\nda", "data: x\n\n", false},
		{"in a line after a comment", "data: x\n\n: a\nda", "data: x\n\n: a\n", false},
		{"after a comment in an event", "data: x\n\ndata: y\n: a\n", "data: x\n\n", false},
		{"in an event after a comment only", ": a\n\nda", "", false},
		{"after a field that is not known", "data: x\n\nversion: 3\n", "data: x\n\n", false},
		{"in a large event", large[:len(large)-1], large[:len(large)-1], false},
		{"after a large event", large + "data: y\n", large, false},
	} {
		for _, size := range []int{1, 7, 8 << 10} {
			if len(tt.text) > maxEvent && size < 8<<10 {
				continue
			}
			got, err := readEvents(&eventReader{in: &pieceReader{strings.NewReader(tt.text), size}})
			if tt.whole {
				assert.Check(t, err == io.EOF && got == tt.text, "%s, by %d: %v, %d of %d bytes", tt.name, size, err, len(got), len(tt.text))
				continue
			}
			assert.Check(t, errors.Is(err, errInsideEvent), "%s, by %d: %v", tt.name, size, err)
			assert.Check(t, strings.HasPrefix(tt.passed, got) && len(tt.passed)-len(got) <= eventChunk, "%s, by %d: %d of %d bytes", tt.name, size, len(got), len(tt.passed))
			assert.Check(t, len(got) == len(tt.passed) || len(tt.text) > maxEvent, "%s, by %d: %q", tt.name, size, got)
		}
	}
}

// TestPartOfALargeEventIsPassedOn guards against a stream that is resumed after a part of an event has
// reached the caller, who would get that part twice.
func TestPartOfALargeEventIsPassedOn(t *testing.T) {
	large := "id: 2\ndata: " + strings.Repeat("x", 2*maxEvent) + "\n\n"
	in := &eventReader{in: strings.NewReader("id: 1\ndata: x\n\n" + large + "id: 3\ndata: y\n\nda")}
	seen := false
	for {
		_, err := in.next()
		seen = seen || in.partial
		if err != nil {
			assert.ErrorIs(t, err, errInsideEvent)
			break
		}
	}
	assert.Assert(t, seen)
	assert.Assert(t, !in.partial)
	assert.Equal(t, in.lastID, "3")
	assert.Equal(t, in.leftover, 2)
}

// drawStream draws the text of a stream with the id of each event.
func drawStream(t *rapid.T) string {
	end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"})
	var b strings.Builder
	for i := range rapid.IntRange(0, 6).Draw(t, "events") {
		b.WriteString(rapid.SampledFrom([]string{"", "", ": comment", "\n", ":"}).Draw(t, "between"))
		if b.Len() > 0 {
			b.WriteString(end.Draw(t, "end"))
		}
		fmt.Fprintf(&b, "id: %d%s", i+1, end.Draw(t, "end"))
		for range rapid.IntRange(0, 3).Draw(t, "lines") {
			b.WriteString(rapid.SampledFrom([]string{"data: x", "data", ": in an event", "event: y"}).Draw(t, "line") + end.Draw(t, "end"))
		}
		b.WriteString(end.Draw(t, "end"))
	}
	b.WriteString(rapid.SampledFrom([]string{"", "", ": comment", "\n", "\xef\xbb\xbf"}).Draw(t, "last"))
	return b.String()
}

// splitEvents is a plain reading of a text: whether it ends inside an event, the number of complete
// events and the id of the last one. A text that ends outside an event and outside a line is settled.
func splitEvents(text string) (inside, settled bool, events int, lastID string) {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	lines := strings.Split(text, "\n")
	id := ""
	for _, line := range lines[:len(lines)-1] {
		if !inside {
			line = strings.TrimPrefix(line, "\xef\xbb\xbf")
		}
		switch {
		case line == "" && inside:
			inside, events = false, events+1
			lastID = id
		case line == "" || line[0] == ':':
		default:
			inside = true
			if v, ok := strings.CutPrefix(line, "id: "); ok {
				id = v
			}
		}
	}
	last := lines[len(lines)-1]
	settled = !inside && last == ""
	if last != "" && !strings.HasPrefix(strings.TrimPrefix(last, "\xef\xbb\xbf"), ":") && !strings.HasPrefix("\xef\xbb\xbf", last) {
		inside = true
	}
	return inside, settled, events, lastID
}

// TestAnyCutOfAStream guards against a cut point, a split of reads or a line end for which a broken
// stream counts as complete, or is resumed after the wrong event.
func TestAnyCutOfAStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawStream(t)
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
		in := &eventReader{in: &pieceReader{strings.NewReader(text), rapid.IntRange(1, 40).Draw(t, "read")}}
		got, err := readEvents(in)
		inside, _, events, lastID := splitEvents(text)
		assert.Equal(t, in.lastID, lastID)
		assert.Equal(t, in.events, events)
		if !inside {
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, got, text)
			return
		}
		assert.ErrorIs(t, err, errInsideEvent)
		passed := 0
		for n := range len(text) + 1 {
			if _, settled, events, _ := splitEvents(text[:n]); settled && events > 0 {
				passed = n
			}
		}
		assert.Equal(t, got, text[:passed], "of %q", text)
	})
}

// oneByteReader returns one byte per read.
type oneByteReader struct{ io.Reader }

func (s oneByteReader) Read(p []byte) (int, error) { return s.Reader.Read(p[:min(1, len(p))]) }

func TestEventsSplitAcrossReads(t *testing.T) {
	text := eventText("", eventCount)
	in := &eventReader{in: oneByteReader{strings.NewReader(text)}}
	var got []byte
	for {
		part, err := in.next()
		got = append(got, part...)
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
	}
	assert.Equal(t, string(got), text)
	assert.Equal(t, in.lastID, fmt.Sprint(eventCount))
}
