package logs

import "time"

// throttleInterval is the least time between two entries of a Throttle.
const throttleInterval = time.Second

// Throttle limits how often the same kind of entry is logged. The zero value is ready for use;
// it is not safe for concurrent use.
type Throttle struct{ loggedAt time.Time }

// Allow reports whether an entry may be logged now, and counts it as logged if so.
func (t *Throttle) Allow(now time.Time) bool {
	if now.Sub(t.loggedAt) < throttleInterval {
		return false
	}
	t.loggedAt = now
	return true
}

// maxValue bounds the text of a client in a line, in bytes.
const maxValue = 128

// Short returns the beginning of a text that a client has sent.
func Short(text string) string { return text[:min(len(text), maxValue)] }
