package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

// A runner loses its power and starts again under its id. Callers whose streams were
// there wait in silence until their deadline, although the runner's entry tells that
// nothing will come. A stream that may be resumed goes on elsewhere at once, another
// one ends, and the new life is not marked for it.
func TestStreamsOfAFormerLife(t *testing.T) {
	cases := []struct {
		name      string
		resumable bool
	}{{"goes on elsewhere", true}, {"ends", false}}
	for _, one := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{}
			first := true
			f.next = func(string) act {
				if first {
					first = false
					return freezes
				}
				return serves
			}
			d := newDispatcher(f, 2)
			go func() {
				time.Sleep(100 * time.Millisecond)
				f.mu.Lock()
				r := d.catalog.Runner(f.runs[0]).Runner
				f.mu.Unlock()
				r.Born = r.Born.Add(time.Second)
				d.catalog.Put(r, time.Now())
				d.Restarted(r.ID)
			}()
			began := time.Now()
			_, body, err := call(d, route(core.KindStream, one.resumable, 2))
			assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%s: after %v", one.name, time.Since(began))
			if one.resumable {
				assert.NilError(t, err)
				assert.Equal(t, body, pieces("", events))
			} else {
				assert.Assert(t, err != nil && !errors.Is(err, core.ErrNotSent), "%v", err)
			}
			penalty := d.loads.View(f.runs[0]).Penalty
			assert.Equal(t, penalty, 0.0)
			assert.Equal(t, len(d.sent.by), 0)
		})
	}
}

// For seconds after a runner's crash each request for a model is sent to it first, and
// the ones that follow a failure cost the repeats of the budget. One refused connection
// tells, the others are told of it once, and requests go elsewhere until it answers.
func TestRefusedConnection(t *testing.T) {
	f := &fleet{next: func(id string) act {
		if id == "r0" {
			return deserted
		}
		return serves
	}}
	d := newDispatcher(f, 2)
	told := 0
	WithDown(func() { told++ })(d)
	for range 40 {
		_, body, err := call(d, route(core.KindStream, false, 1))
		assert.NilError(t, err)
		assert.Equal(t, body, pieces("", events))
	}
	assert.Equal(t, len(f.sends), 41, "one request met the refusal")
	assert.Equal(t, told, 1)
	assert.Assert(t, d.loads.Down("r0") && !d.loads.Down("r1"))
	f.next = func(string) act { return serves }
	d.catalog.Lapse("r1", time.Now())
	d.catalog.Sweep(time.Now())
	_, _, err := call(d, route(core.KindStream, false, 1))
	assert.NilError(t, err, "the only runner that is left is tried")
	assert.Assert(t, !d.loads.Down("r0"))
}

// Requests go to runners where nothing listens, again and again, as the runners that are
// up are full or hold no copy, and are refused late.
func TestRunnersThatHaveEndedAreNotTriedAgainAndAgain(t *testing.T) {
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
			f := &fleet{next: func(string) act { return deserted }}
			d := newDispatcher(f, 2)
			d.loads.Refused("r0")
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
			f.next = func(string) act { return serves }
			if !tt.full {
				_, _, err = call(d, route(core.KindStream, false, 1))
				assert.NilError(t, err, "it is back under its id")
			}
		})
	}
}
