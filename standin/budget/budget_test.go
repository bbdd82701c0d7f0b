package budget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorst guards against a check that passes over a window that exceeds the budget.
func TestWorst(t *testing.T) {
	bound := Bound{Ratio: 0.2, Slack: 2, Length: 10 * time.Second}
	for _, tt := range []struct {
		name          string
		sent, repeats []time.Duration
		excess        float64
	}{
		{"nothing", nil, nil, -2},
		{"first arrivals only", []time.Duration{0, 1}, nil, -2},
		{"slack used up", nil, []time.Duration{0, 0}, 0},
		{"slack exceeded", nil, []time.Duration{0, 0, 9999 * time.Millisecond}, 1},
		{"slack of two windows", nil, []time.Duration{0, 0, 10 * time.Second, 10 * time.Second}, 0},
		{"requests of the window before", []time.Duration{0, 0, 0, 0, 0}, []time.Duration{9 * time.Second, 12 * time.Second, 18 * time.Second}, 0},
		{"requests of two windows before", []time.Duration{0, 0, 0, 0, 0}, []time.Duration{21 * time.Second, 21 * time.Second, 22 * time.Second}, 1},
		{"the window is any", nil, []time.Duration{0, 6 * time.Second, 12 * time.Second, 13 * time.Second}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var l Log
			start := time.Unix(1000, 0)
			for _, d := range tt.sent {
				l.Sent(start.Add(d))
			}
			for i, d := range tt.repeats {
				l.Arrived(fmt.Sprint(i), start)
				l.Arrived(fmt.Sprint(i), start.Add(d))
			}
			got := bound.Worst(&l)
			assert.Assert(t, got.Excess() > tt.excess-0.001 && got.Excess() < tt.excess+0.001, "%s", got)
		})
	}
}
