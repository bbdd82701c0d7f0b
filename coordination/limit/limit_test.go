package limit

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/state/tree"
)

func code(err error) string {
	var re *core.RequestError
	if errors.As(err, &re) {
		return re.Code
	}
	return ""
}

// Guards against a limited service that takes the whole system down, or is starved, because
// each daemon treats the limit as its own. Each must enforce its share.
func TestLimitIsDividedAmongDaemons(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock, func() int { return 4 })
	eff := &tree.Effective{Concurrency: 8, Origin: map[string]string{"concurrency": "/service/s"}}
	first, err := l.Enter(eff)
	assert.NilError(t, err)
	_, err = l.Enter(eff)
	assert.NilError(t, err)
	_, err = l.Enter(eff)
	assert.Equal(t, code(err), "concurrency_limit")
	other := &tree.Effective{Concurrency: 8, Origin: map[string]string{"concurrency": "/service/other"}}
	_, err = l.Enter(other)
	assert.NilError(t, err)
	first()
	first()
	_, err = l.Enter(eff)
	assert.NilError(t, err)
	_, err = l.Enter(eff)
	assert.Equal(t, code(err), "concurrency_limit", "leaving twice frees one")

	slow := &tree.Effective{Concurrency: 1000, Rate: 4, Origin: map[string]string{"rate": "/service/r"}}
	_, err = l.Enter(slow)
	assert.NilError(t, err)
	_, err = l.Enter(slow)
	var re *core.RequestError
	assert.Assert(t, errors.As(err, &re))
	assert.Equal(t, re.Code, "rate_limit")
	assert.Equal(t, re.Retry, time.Second, "a quarter of four a second")
	clock.Advance(time.Second)
	_, err = l.Enter(slow)
	assert.NilError(t, err)
}

// A settings tree on top of a configuration adds no limit of its own.
func TestNoLimitByDefault(t *testing.T) {
	l := New(clockwork.NewFakeClock(), func() int { return 4 })
	for range 5000 {
		_, err := l.Enter(tree.NewOverlay(nil).Effective(tree.Selector{Service: "s"}))
		assert.NilError(t, err)
	}
}
