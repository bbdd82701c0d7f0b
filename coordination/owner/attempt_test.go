package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/state/answer"
)

func newRunningAttempt(repeat bool) (*Attempt, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Attempt{Request: Request{AttemptID: "a", Repeatable: repeat}, Buffer: answer.NewBuffer(), ctx: ctx, cancel: cancel, startedAt: time.Unix(1000, 0)}, ctx
}

// Guards against a sweep that overwrites an attempt's start time. When the sweep kept its
// own timestamp in the same field, the time that a request held its slot was measured from
// the last sweep, and the queue admitted requests that could not be served in time.
func TestSweepKeepsStartTime(t *testing.T) {
	a, _ := newRunningAttempt(true)
	m := attempts{byID: map[string]*Attempt{"a": a}}
	detach := a.Buffer.Attach()
	defer detach()
	m.sweep(time.Unix(1060, 0), time.Minute, time.Hour, time.Second)
	assert.Equal(t, a.startedAt, time.Unix(1000, 0))
}

// Guards against accelerators that keep working for an entry that was killed: an attempt
// without a reader for a while is cancelled, unless its request is not repeatable.
func TestOrphanedAttemptsAreCancelled(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		a, ctx := newRunningAttempt(repeat)
		m := attempts{byID: map[string]*Attempt{"a": a}}
		detach := a.Buffer.Attach()
		now := time.Unix(1000, 0)
		sweep := func(after time.Duration) {
			now = now.Add(after)
			m.sweep(now, time.Minute, time.Hour, 15*time.Second)
		}
		sweep(time.Minute)
		detach()
		sweep(10 * time.Second)
		assert.NilError(t, ctx.Err(), "cancelled before the orphan timeout")
		sweep(10 * time.Second)
		assert.Equal(t, ctx.Err() != nil, repeat)
	}
}

// An attempt's ID stays known for as long as a late dispatch may arrive; its answer is
// released earlier.
func TestEndedAttemptsExpire(t *testing.T) {
	a, _ := newRunningAttempt(true)
	m := attempts{byID: map[string]*Attempt{"a": a}}
	assert.NilError(t, a.Buffer.Append(context.Background(), []byte("answer")))
	a.Buffer.Finish()
	now := time.Unix(1000, 0)
	m.sweep(now, 30*time.Second, 2*time.Minute, time.Second)
	m.sweep(now.Add(time.Minute), 30*time.Second, 2*time.Minute, time.Second)
	assert.Equal(t, a.Buffer.Size(), int64(0))
	joined, registered := m.register(&Attempt{Request: Request{AttemptID: "a"}})
	assert.Assert(t, !registered && joined == a, "a second dispatch joins the first attempt")
	m.sweep(now.Add(3*time.Minute), 30*time.Second, 2*time.Minute, time.Second)
	_, found := m.get("a")
	assert.Assert(t, !found)
}
