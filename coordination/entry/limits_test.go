package entry

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/coordination/member"
	"primroseward/core"
	"primroseward/state/tree"
)

func limitsOf(t *testing.T, entries int) (*limits, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	table := member.NewTable(clock, core.Member{Name: "a", Peer: addr, Caller: addr})
	for i := 1; i < entries; i++ {
		table.Merge(core.Member{Name: string(rune('a' + i)), Peer: addr, Caller: addr})
	}
	return newLimits(clock, table), clock
}

func code(err error) string {
	var re *core.RequestError
	if errors.As(err, &re) {
		return re.Code
	}
	return ""
}

// A service with a limit takes the whole system down, or is starved by a limit
// that each entry takes for its own: each enforces its share.
func TestLimitsAreShared(t *testing.T) {
	l, clock := limitsOf(t, 4)
	eff := &tree.Effective{Concurrency: 8, Origin: map[string]string{"concurrency": "/service/s"}}
	first, err := l.enter(eff)
	assert.NilError(t, err)
	_, err = l.enter(eff)
	assert.NilError(t, err)
	_, err = l.enter(eff)
	assert.Equal(t, code(err), "concurrency_limit")
	other := &tree.Effective{Concurrency: 8, Origin: map[string]string{"concurrency": "/service/other"}}
	_, err = l.enter(other)
	assert.NilError(t, err)
	first()
	first()
	_, err = l.enter(eff)
	assert.NilError(t, err)
	_, err = l.enter(eff)
	assert.Equal(t, code(err), "concurrency_limit", "leaving twice frees one")

	slow := &tree.Effective{Concurrency: 1000, Rate: 4, Origin: map[string]string{"rate": "/service/r"}}
	_, err = l.enter(slow)
	assert.NilError(t, err)
	_, err = l.enter(slow)
	var re *core.RequestError
	assert.Assert(t, errors.As(err, &re))
	assert.Equal(t, re.Code, "rate_limit")
	assert.Equal(t, re.Retry, time.Second, "a quarter of four a second")
	clock.Advance(time.Second)
	_, err = l.enter(slow)
	assert.NilError(t, err)
}

func TestDemandRisesFastAndFallsSlowly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := NewDemand(clock)
	for range 600 {
		d.Seen("m")
		clock.Advance(100 * time.Millisecond)
	}
	r := d.All()["m"]
	assert.Assert(t, r.Fast > 9 && r.Fast < 11, "%v", r)
	assert.Assert(t, r.Slow < 2, "%v", r)
	clock.Advance(time.Minute)
	after := d.All()["m"]
	assert.Assert(t, after.Fast < 0.1 && after.Slow > 0.8*r.Slow, "%v", after)
}
