// Package queue orders the requests that wait for a runner: by class, then first
// attempts before retries, then earliest deadline first. It also estimates how long a
// new request would wait. The cost per call is logarithmic in the number of waiting
// requests.
package queue

import (
	"container/heap"
	"time"

	"primroseward/core"
)

// ageStep is the waiting time after which a request counts as one class more urgent,
// so that a steady stream of urgent requests cannot starve batch requests.
const ageStep = 2 * time.Minute

// Item is one waiting request.
type Item struct {
	ID       string
	Class    core.Class
	Retry    bool
	Deadline time.Time     // time by which it should start
	Cost     time.Duration // expected slot time
	Value    any

	since time.Time // when it was queued
	index int       // position in its heap, -1 when removed
}

// requestHeap is a heap.Interface of the requests of one class.
type requestHeap []*Item

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].Retry != h[j].Retry {
		return h[j].Retry
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *requestHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	item.index = -1
	return item
}

// Queue is a priority queue of waiting requests. It is not safe for concurrent use: only
// the loop of its owner uses it.
type Queue struct {
	heaps [3]requestHeap   // by class rank
	cost  [3]time.Duration // sum of Item.Cost by class rank
	byID  map[string]*Item
}

// New returns an empty queue.
func New() *Queue { return &Queue{byID: map[string]*Item{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds an item and reports whether it did: an id that is already queued is refused.
func (q *Queue) Push(item *Item, now time.Time) bool {
	if _, queued := q.byID[item.ID]; queued {
		return false
	}
	item.since = now
	rank := item.Class.Rank()
	heap.Push(&q.heaps[rank], item)
	q.cost[rank] += item.Cost
	q.byID[item.ID] = item
	return true
}

// Pop removes and returns the next item to run, or nil if the queue is empty.
func (q *Queue) Pop(now time.Time) *Item {
	best := -1
	bestRank := 0
	for rank := range q.heaps {
		if len(q.heaps[rank]) == 0 {
			continue
		}
		head := q.heaps[rank][0]
		aged := rank - int(now.Sub(head.since)/ageStep)
		if best < 0 || aged < bestRank {
			best, bestRank = rank, aged
		}
	}
	if best < 0 {
		return nil
	}
	item := q.heaps[best][0]
	q.remove(item)
	return item
}

// Remove removes and returns an item by id, or returns nil if it is not queued.
func (q *Queue) Remove(id string) *Item {
	item := q.byID[id]
	if item != nil {
		q.remove(item)
	}
	return item
}

func (q *Queue) remove(item *Item) {
	rank := item.Class.Rank()
	heap.Remove(&q.heaps[rank], item.index)
	q.cost[rank] -= item.Cost
	delete(q.byID, item.ID)
}

// Ahead returns the expected slot time of all items that would run before a new item
// of a class. Items of less urgent classes do not count, since the new item overtakes
// them.
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
	q.heaps = [3]requestHeap{}
	q.cost = [3]time.Duration{}
	q.byID = map[string]*Item{}
	return out
}
