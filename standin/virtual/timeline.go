// Package virtual runs functions in virtual time, for simulations.
package virtual

import (
	"container/heap"
	"time"
)

// Timeline runs scheduled functions in the order of their times, without waiting. Those of the same time run in the
// order in which they were scheduled. It is not safe for concurrent use.
type Timeline struct {
	now       time.Time
	scheduled queue
	count     int
}

// New returns a Timeline that begins at a time.
func New(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the current time.
func (t *Timeline) Now() time.Time { return t.now }

// After schedules a function.
func (t *Timeline) After(d time.Duration, fn func()) {
	t.count++
	heap.Push(&t.scheduled, event{t.now.Add(d), t.count, fn})
}

// Run advances the time by d and runs the functions scheduled until then.
func (t *Timeline) Run(d time.Duration) {
	end := t.now.Add(d)
	for len(t.scheduled) > 0 && !t.scheduled[0].at.After(end) {
		e := heap.Pop(&t.scheduled).(event)
		t.now = e.at
		e.fn()
	}
	t.now = end
}

// event is a function that runs at a time.
type event struct {
	at    time.Time
	order int
	fn    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, k int) bool {
	return q[i].at.Before(q[k].at) || q[i].at.Equal(q[k].at) && q[i].order < q[k].order
}
func (q queue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
