package policy

import (
	"maps"
	"slices"
	"time"

	"primroseward/core"
)

// Explanation is the known cause of an exit: a request, or a part of its prompt. The exit counts for nothing
// else that was in progress, except that a request may have caused it because of a part of its prompt.
type Explanation struct {
	Cause core.Digest `json:"cause"`
	Part  bool        `json:"part,omitempty"`
	since time.Time
}

// Exits returns the runner instances that have exited under a request or prompt part, and which of the two
// it is.
func (e *ExitRecords) Exits(d core.Digest) (instances []Instance, part bool) {
	one := e.byDigest[d]
	if one == nil {
		return nil, false
	}
	for _, x := range one.exits {
		part = part || x.requests != nil
	}
	return slices.Collect(maps.Keys(one.exits)), part
}

// ShareExit reports whether a runner has exited under both of two requests or prompt parts.
func (e *ExitRecords) ShareExit(a, b core.Digest) bool {
	one, other := e.byDigest[a], e.byDigest[b]
	if one == nil || other == nil {
		return false
	}
	for instance := range one.exits {
		if other.exits[instance] != nil {
			return true
		}
	}
	return false
}

// Explain records the cause of an exit, also for reports of it that are still to come. It returns false if
// that was known already.
func (e *ExitRecords) Explain(now time.Time, instance Instance, by Explanation) bool {
	if known, ok := e.explained[instance]; ok && (known.Part || !by.Part) {
		return false
	}
	for other, known := range e.explained {
		if now.Sub(known.since) > exitRetention {
			delete(e.explained, other)
		}
	}
	by.since = now
	e.explained[instance] = by
	for d, one := range e.byDigest {
		x := one.exits[instance]
		if x == nil || d == by.Cause || !by.Part && slices.Contains(x.requests, by.Cause) {
			continue
		}
		delete(one.exits, instance)
		if len(one.exits) == 0 {
			delete(e.byDigest, d)
		}
	}
	return true
}
