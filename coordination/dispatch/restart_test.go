package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// A runner loses its power and starts again under the same ID. Callers of streams there must
// not wait until their deadline although the runner's entry shows that the former instance
// is gone. A resumable stream continues elsewhere at once, another one ends, and the new
// instance gets no penalty for it.
func TestStreamsOfAFormerLife(t *testing.T) {
	cases := []struct {
		name      string
		resumable bool
	}{{"resumed elsewhere", true}, {"ends", false}}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{}
			first := true
			f.nextAct = func(string) act {
				if first {
					first = false
					return stalls
				}
				return serves
			}
			d := newDispatcher(f, 2)
			go func() {
				time.Sleep(100 * time.Millisecond)
				f.mu.Lock()
				r := d.catalog.Runner(f.runs[0]).Runner
				f.mu.Unlock()
				r.StartedAt = r.StartedAt.Add(time.Second)
				d.catalog.Put(r, time.Now())
				d.Restarted(r.ID)
			}()
			began := time.Now()
			_, body, err := call(d, route(core.KindStream, one.resumable, 2))
			assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%s: after %v", one.name, time.Since(began))
			if one.resumable {
				assert.NilError(t, err)
				assert.Equal(t, body, eventText("", eventCount))
			} else {
				assert.Assert(t, err != nil && !errors.Is(err, core.ErrNotSent), "%v", err)
			}
			penalty := d.loads.View(f.runs[0]).Penalty
			assert.Equal(t, penalty, 0.0)
			assert.Equal(t, len(d.byRunner.cancels), 0)
		})
	}
}

// In the seconds after a runner's crash, requests must not be sent to it first, as each of them
// would cost a retry from the budget. After one refused connection the other daemons are
// notified once, and requests go elsewhere until the runner answers again.
func TestRefusedConnection(t *testing.T) {
	f := &fleet{nextAct: func(id string) act {
		if id == "r0" {
			return noListener
		}
		return serves
	}}
	d := newDispatcher(f, 2)
	downCalls := 0
	WithDown(func() { downCalls++ })(d)
	for range 40 {
		_, body, err := call(d, route(core.KindStream, false, 1))
		assert.NilError(t, err)
		assert.Equal(t, body, eventText("", eventCount))
	}
	assert.Equal(t, len(f.sends), 41, "one request had its connection refused")
	assert.Equal(t, downCalls, 1)
	assert.Assert(t, d.loads.Down("r0") && !d.loads.Down("r1"))
	f.nextAct = func(string) act { return serves }
	d.catalog.Lapse("r1", time.Now())
	d.catalog.Sweep(time.Now())
	_, _, err := call(d, route(core.KindStream, false, 1))
	assert.NilError(t, err, "the only remaining runner is tried")
	assert.Assert(t, !d.loads.Down("r0"))
}

// If the runners that are up are full or don't have the model, requests must not be sent
// again and again to runners where nothing listens, and so be refused late.
func TestExitedRunnersAreNotRetried(t *testing.T) {
	for _, tt := range []struct {
		name  string
		full  bool // the other runner is up
		code  string
		sends int
	}{
		{"the other one is full", true, "full", 0},
		{"it is the only one", false, "down", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{nextAct: func(string) act { return noListener }}
			d := newDispatcher(f, 2)
			d.loads.ConnectionRefused("r0")
			if tt.full {
				for range plainFull {
					d.loads.Begin("r1")
				}
			} else {
				d.catalog.Lapse("r1", time.Now())
				d.catalog.Sweep(time.Now())
			}
			var err error
			for range 40 {
				_, _, err = call(d, route(core.KindStream, false, 1))
				assert.Assert(t, err != nil, tt.name)
			}
			assert.Equal(t, core.AsRequestError(err).Code, tt.code, tt.name)
			assert.Equal(t, len(f.sends), tt.sends, tt.name)
			time.Sleep(5 * time.Second)
			f.nextAct = func(string) act { return serves }
			if !tt.full {
				_, _, err = call(d, route(core.KindStream, false, 1))
				assert.NilError(t, err, "it is back under the same ID")
			}
		})
	}
}
