// Package budget checks what arrived at stand-ins for runners against the retry budget that
// all daemons share.
package budget

import (
	"fmt"
	"slices"
	"time"
)

// Bound is the budget: in each window of a length there may be as many repeats as a share of
// the requests, and some in addition. The requests are those of that window, of the one
// before it or of the one that begins half a window earlier, whichever has most.
type Bound struct {
	Ratio, Slack float64
	Length       time.Duration
}

// Log holds the times of the requests of one service, and of their arrivals beyond the first.
type Log struct {
	sent, repeats []time.Time
	arrived       map[string]bool
}

// Sent records that a caller sent a request.
func (l *Log) Sent(at time.Time) { l.sent = append(l.sent, at) }

// Arrived records that a request arrived at a runner. Arrivals must be recorded oldest first.
func (l *Log) Arrived(request string, at time.Time) {
	if l.arrived[request] {
		l.repeats = append(l.repeats, at)
		return
	}
	if l.arrived == nil {
		l.arrived = map[string]bool{}
	}
	l.arrived[request] = true
}

// Repeats returns the number of arrivals beyond the first of each request.
func (l *Log) Repeats() int { return len(l.repeats) }

// Window is a window and what was counted for it.
type Window struct {
	From              time.Time
	Requests, Repeats int
	Allowed           float64
}

// Excess returns by how much the repeats exceed what is allowed; below 0 if they do not.
func (w Window) Excess() float64 { return float64(w.Repeats) - w.Allowed }

func (w Window) String() string {
	return fmt.Sprintf("%d repeats for %d requests in a window, %.1f allowed", w.Repeats, w.Requests, w.Allowed)
}

// At returns the window that begins at a time.
func (b Bound) At(l *Log, from time.Time) Window {
	sent, repeats := slices.SortedFunc(slices.Values(l.sent), time.Time.Compare), slices.SortedFunc(slices.Values(l.repeats), time.Time.Compare)
	return b.window(sent, repeats, from)
}

// window returns the window that begins at a time, of sorted times.
func (b Bound) window(sent, repeats []time.Time, from time.Time) Window {
	w := Window{From: from, Repeats: count(repeats, from, b.Length)}
	for _, earlier := range []time.Duration{0, b.Length / 2, b.Length} {
		w.Requests = max(w.Requests, count(sent, from.Add(-earlier), b.Length))
	}
	w.Allowed = b.Ratio*float64(w.Requests) + b.Slack
	return w
}

// Worst returns the window in which the repeats exceed the bound most.
func (b Bound) Worst(l *Log) Window {
	sent, repeats := slices.SortedFunc(slices.Values(l.sent), time.Time.Compare), slices.SortedFunc(slices.Values(l.repeats), time.Time.Compare)
	worst := Window{Allowed: b.Slack}
	for i, at := range repeats {
		// Windows that begin with a repeat, and those that end with one.
		for _, from := range []time.Time{at, at.Add(time.Nanosecond - b.Length)} {
			if w := b.window(sent, repeats, from); i == 0 || w.Excess() > worst.Excess() {
				worst = w
			}
		}
	}
	return worst
}

// count returns how many of the sorted times are in a window.
func count(times []time.Time, from time.Time, length time.Duration) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(length), time.Time.Compare)
	return end - begin
}
