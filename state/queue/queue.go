// Package queue orders the requests that wait for a runner: by class, first
// tries before retries, earliest deadline first. It also tells how long a new
// request would wait. Its cost per call does not grow with the classes' length
// beyond a heap's logarithm.
package queue

import (
	"container/heap"
	"time"

	"primroseward/core"
)

// ageStep is the time after which a waiting request counts as one class more
// urgent, so that a steady stream of urgent work cannot starve batch work.
const ageStep = 2 * time.Minute

// Item is one waiting request.
type Item struct {
	ID       string
	Class    core.Class
	Retry    bool
	Deadline time.Time     // by which it should start
	Cost     time.Duration // expected time in a slot
	Value    any

	since time.Time
	index int
}

type line []*Item

func (l line) Len() int { return len(l) }

func (l line) Less(i, j int) bool {
	if l[i].Retry != l[j].Retry {
		return l[j].Retry
	}
	return l[i].Deadline.Before(l[j].Deadline)
}

func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

func (l *line) Push(x any) {
	item := x.(*Item)
	item.index = len(*l)
	*l = append(*l, item)
}

func (l *line) Pop() any {
	old := *l
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	item.index = -1
	return item
}

// Queue is not safe for concurrent use; its owner's loop holds it.
type Queue struct {
	lines [3]line
	cost  [3]time.Duration
	byID  map[string]*Item
}

// New returns an empty queue.
func New() *Queue { return &Queue{byID: map[string]*Item{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds an item. An id that waits already is refused.
func (q *Queue) Push(item *Item, now time.Time) bool {
	if _, twice := q.byID[item.ID]; twice {
		return false
	}
	item.since = now
	rank := item.Class.Rank()
	heap.Push(&q.lines[rank], item)
	q.cost[rank] += item.Cost
	q.byID[item.ID] = item
	return true
}

// Pop removes the next item to run; nil when none waits.
func (q *Queue) Pop(now time.Time) *Item {
	best := -1
	bestRank := 0
	for rank := range q.lines {
		if len(q.lines[rank]) == 0 {
			continue
		}
		head := q.lines[rank][0]
		aged := rank - int(now.Sub(head.since)/ageStep)
		if best < 0 || aged < bestRank {
			best, bestRank = rank, aged
		}
	}
	if best < 0 {
		return nil
	}
	item := q.lines[best][0]
	q.remove(item)
	return item
}

// Remove takes out an item by id; nil when it does not wait.
func (q *Queue) Remove(id string) *Item {
	item := q.byID[id]
	if item != nil {
		q.remove(item)
	}
	return item
}

func (q *Queue) remove(item *Item) {
	rank := item.Class.Rank()
	heap.Remove(&q.lines[rank], item.index)
	q.cost[rank] -= item.Cost
	delete(q.byID, item.ID)
}

// Ahead returns the expected slot time of all that would run before a new item
// of a class. Less urgent work does not count: it is passed over.
func (q *Queue) Ahead(c core.Class) time.Duration {
	var sum time.Duration
	for rank := 0; rank <= c.Rank(); rank++ {
		sum += q.cost[rank]
	}
	return sum
}

// Drain removes and returns all items.
func (q *Queue) Drain() []*Item {
	out := make([]*Item, 0, len(q.byID))
	for _, item := range q.byID {
		out = append(out, item)
	}
	q.lines = [3]line{}
	q.cost = [3]time.Duration{}
	q.byID = map[string]*Item{}
	return out
}
