package logs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log that is flooded by entries of one kind, or that lacks the first of them.
func TestThrottle(t *testing.T) {
	start := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	var throttle Throttle
	for _, tt := range []struct {
		after   time.Duration // since start
		allowed bool
	}{
		{0, true},
		{time.Millisecond, false},
		{throttleInterval - 1, false},
		{throttleInterval, true},
		{throttleInterval + 1, false},
	} {
		assert.Equal(t, throttle.Allow(start.Add(tt.after)), tt.allowed, "after %v", tt.after)
	}
}
