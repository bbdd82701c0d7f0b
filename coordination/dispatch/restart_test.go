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
				r := d.catalog.Runner(f.runs[0]).Runner
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
			_, penalty := d.loads.Requests(f.runs[0])
			assert.Equal(t, penalty, 0.0)
			assert.Equal(t, len(d.sent.by), 0)
		})
	}
}
