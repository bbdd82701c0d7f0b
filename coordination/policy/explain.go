package policy

import (
	"maps"
	"slices"
	"time"

	"primroseward/core"
)

// Exits returns the runner instances that have exited under a request or prompt part.
func (e *ExitRecords) Exits(d core.Digest) []Instance {
	one := e.byDigest[d]
	if one == nil {
		return nil
	}
	return slices.Collect(maps.Keys(one.exits))
}

// Explain records that the cause of an exit is known: it counts for no request or part any more, also if it
// is reported again. It returns false if that was known already.
func (e *ExitRecords) Explain(now time.Time, instance Instance) bool {
	if _, known := e.explained[instance]; known {
		return false
	}
	for other, at := range e.explained {
		if now.Sub(at) > exitRetention {
			delete(e.explained, other)
		}
	}
	e.explained[instance] = now
	for d, one := range e.byDigest {
		delete(one.exits, instance)
		if len(one.exits) == 0 {
			delete(e.byDigest, d)
		}
	}
	return true
}
