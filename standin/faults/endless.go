package faults

import (
	"io"
	"strings"
	"time"
)

// endlessPiece is the least size of what is written at once without a pause, in bytes.
const endlessPiece = 16 << 10

// WriteEndless writes head, and then text again and again until that fails. interval is the time between two of them;
// if it is 0, text is repeated to endlessPiece bytes.
func WriteEndless(to io.Writer, head, text string, interval time.Duration) {
	piece := text
	if interval == 0 {
		piece = strings.Repeat(text, 1+endlessPiece/len(text))
	}
	for _, err := io.WriteString(to, head); err == nil; _, err = io.WriteString(to, piece) {
		time.Sleep(interval)
	}
}
