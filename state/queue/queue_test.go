package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/fuzz"
)

func TestMain(m *testing.M) { fuzz.Main(m, 500, 40) }

// The order of the queue is compared with that of a plain list that is sorted before
// each comparison.
func TestOrderAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		now := time.Unix(1e9, 0)
		var list []*Item
		n := 0
		next := func() *Item {
			slices.SortStableFunc(list, func(a, b *Item) int {
				ra := a.Class.Rank() - int(now.Sub(a.since)/ageStep)
				rb := b.Class.Rank() - int(now.Sub(b.since)/ageStep)
				switch {
				case a.Class != b.Class && ra != rb:
					return ra - rb
				case a.Class != b.Class:
					return a.Class.Rank() - b.Class.Rank()
				case a.Retry != b.Retry:
					if b.Retry {
						return -1
					}
					return 1
				default:
					return a.Deadline.Compare(b.Deadline)
				}
			})
			return list[0]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(list))
				var cost time.Duration
				for _, item := range list {
					cost += item.Cost
				}
				assert.Equal(t, q.Ahead(core.ClassBatch), cost)
			},
			"push": func(t *rapid.T) {
				n++
				item := &Item{
					ID: fmt.Sprint(n), Class: rapid.SampledFrom(core.Classes).Draw(t, "class"), Retry: rapid.Bool().Draw(t, "retry"),
					Deadline: now.Add(time.Duration(n) * time.Nanosecond).Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second),
					Cost:     time.Duration(rapid.IntRange(1, 9).Draw(t, "cost")),
				}
				assert.Assert(t, q.Push(item, now))
				assert.Assert(t, !q.Push(item, now), "pushed twice")
				list = append(list, item)
			},
			"remove": func(t *rapid.T) {
				if len(list) == 0 {
					t.Skip("queue is empty")
				}
				i := rapid.IntRange(0, len(list)-1).Draw(t, "item")
				assert.Assert(t, q.Remove(list[i].ID) == list[i])
				list = slices.Delete(list, i, i+1)
			},
			"pop": func(t *rapid.T) {
				if len(list) == 0 {
					assert.Assert(t, q.Pop(now) == nil)
					return
				}
				got := q.Pop(now)
				i := slices.Index(list, got)
				assert.Assert(t, i >= 0)
				// The queue looks only at the head of each heap, which may hide an
				// item behind it that has waited longer. So only the class must
				// agree, and not the item itself.
				if list[0].since == got.since {
					assert.Equal(t, got.Class, next().Class)
				}
				list = slices.DeleteFunc(list, func(x *Item) bool { return x == got })
			},
			"wait": func(*rapid.T) { now = now.Add(time.Second) },
		})
	})
}

// Urgent requests overtake a batch request, but must not starve it: it runs once it has
// aged to the urgent class.
func TestUrgentFirstAndBatchNotStarved(t *testing.T) {
	q := New()
	now := time.Unix(1e9, 0)
	q.Push(&Item{ID: "batch", Class: core.ClassBatch, Deadline: now}, now)
	for i := range 10 {
		now = now.Add(time.Minute)
		id := fmt.Sprint("urgent ", i)
		q.Push(&Item{ID: id, Class: core.ClassUrgent, Deadline: now}, now)
		got := q.Pop(now).ID
		if got == "batch" {
			assert.Assert(t, i >= 3, "batch request ran too early, in minute %d", i)
			return
		}
		assert.Equal(t, got, id)
	}
	t.Fatal("the batch request starves")
}

func BenchmarkPushPop(b *testing.B) {
	q := New()
	now := time.Unix(1e9, 0)
	for i := range 1000 {
		q.Push(&Item{ID: fmt.Sprint(i), Class: core.Classes[i%3], Deadline: now.Add(time.Duration(i))}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(q.Pop(now), now)
	}
}
