package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// After one minute at 10 requests per second the fast average is near 10 and the
// slow one still below 2. One minute without requests brings the fast average
// close to 0, while the slow one keeps most of its value.
func TestFastAndSlowDemandAverages(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := NewDemand(clock)
	for range 600 {
		d.Record("m")
		clock.Advance(100 * time.Millisecond)
	}
	r := d.All()["m"]
	assert.Assert(t, r.Fast > 9 && r.Fast < 11, "%v", r)
	assert.Assert(t, r.Slow < 2, "%v", r)
	clock.Advance(time.Minute)
	after := d.All()["m"]
	assert.Assert(t, after.Fast < 0.1 && after.Slow > 0.8*r.Slow, "%v", after)
}
