package policy

import (
	"slices"
	"time"

	"primroseward/core"
)

// minSuspects is how many different requests with a prompt part must have been in progress at exits
// before the part is held back: a single one may crash runners by itself.
const minSuspects = 2

// PartExit is the exit of a runner with a request in progress whose prompt has a part.
type PartExit struct {
	Instance Instance
	Started  bool // the runner had started the request
	Fresh    bool // it had just started it
	Request  core.Digest
	Prompt   []core.Digest // the shared parts of the request's prompt, in order
}

func (x *PartExit) weight() int {
	switch {
	case x.Fresh:
		return freshWeight
	case x.Started:
		return startedWeight
	}
	return queuedWeight
}

// suspects are the requests with a prompt part that were in progress at one exit. Any of them may have
// caused it.
type suspects struct {
	since    time.Time // when the first of them was reported
	requests []core.Digest
	others   []core.Digest // all other parts of their prompts
	deeper   []core.Digest // those of them that follow the part in a prompt
	first    bool          // the part is the first one of a prompt
}

// add adds a request.
func (s *suspects) add(part core.Digest, x *PartExit) {
	s.requests = addNew(s.requests, x.Request)
	s.first = s.first || len(x.Prompt) > 0 && x.Prompt[0] == part
	follows := false
	for _, other := range x.Prompt {
		if other == part {
			follows = true
			continue
		}
		s.others = addNew(s.others, other)
		if follows {
			s.deeper = addNew(s.deeper, other)
		}
	}
}

func addNew(list []core.Digest, d core.Digest) []core.Digest {
	if slices.Contains(list, d) {
		return list
	}
	return append(list, d)
}

// AddPart records the exit of a runner with a request in progress whose prompt has a part. It returns
// how many runners have exited under requests with the part, and whether the part must be held back
// unless it has been served.
func (e *ExitRecords) AddPart(now time.Time, part core.Digest, x PartExit) (runners int, hold bool) {
	if _, ok := e.explained[x.Instance]; ok {
		return 0, false
	}
	one := e.record(now, part)
	if one.suspects == nil {
		one.suspects = map[Instance]suspects{}
	}
	one.weights[x.Instance] = max(one.weights[x.Instance], x.weight())
	at, known := one.suspects[x.Instance]
	if !known {
		at.since = now
	}
	at.add(part, &x)
	one.suspects[x.Instance] = at
	return len(one.weights), one.partTooMany(now)
}

// PartHeld reports whether the exits that were reported until a time suffice to hold a part back.
func (e *ExitRecords) PartHeld(part core.Digest, until time.Time) bool {
	one := e.byDigest[part]
	return one != nil && one.partTooMany(until)
}

// partTooMany is tooMany for a prompt part and the exits that were reported until a time.
func (r *requestExits) partTooMany(until time.Time) bool {
	var requests []core.Digest
	sum := 0
	for instance, s := range r.suspects {
		if s.since.After(until) {
			continue
		}
		sum += r.weights[instance]
		for _, d := range s.requests {
			requests = addNew(requests, d)
		}
	}
	return len(requests) >= minSuspects && sum >= maxExitWeight
}

// IsFirst reports whether a part is the first one of a prompt at one of its exits.
func (e *ExitRecords) IsFirst(part core.Digest) bool {
	if one := e.byDigest[part]; one != nil {
		for _, s := range one.suspects {
			if s.first {
				return true
			}
		}
	}
	return false
}

// Deeper returns the parts that follow a part in a prompt at each of its exits that was reported until a
// time. Prompts share their first parts most: of two parts that were there at each exit the one that follows
// is the likelier cause.
func (e *ExitRecords) Deeper(part core.Digest, until time.Time) []core.Digest {
	one := e.byDigest[part]
	if one == nil {
		return nil
	}
	var out []core.Digest
	first := true
	for _, s := range one.suspects {
		if s.since.After(until) {
			continue
		}
		if first {
			out, first = slices.Clone(s.deeper), false
			continue
		}
		out = slices.DeleteFunc(out, func(d core.Digest) bool { return !slices.Contains(s.deeper, d) })
	}
	return out
}

// Explain records that a part is the cause of the exits under requests with it, which then count for no
// other part.
func (e *ExitRecords) Explain(now time.Time, part core.Digest) {
	var instances []Instance
	for d, one := range e.byDigest {
		for instance, s := range one.suspects {
			if d == part || slices.Contains(s.others, part) {
				instances = append(instances, instance)
			}
		}
	}
	for _, instance := range instances {
		e.ExplainExit(now, instance)
	}
}

// ExplainExit records that the cause of an exit is known. It counts for no part.
func (e *ExitRecords) ExplainExit(now time.Time, instance Instance) {
	for other, at := range e.explained {
		if now.Sub(at) > exitRetention {
			delete(e.explained, other)
		}
	}
	e.explained[instance] = now
	for d, one := range e.byDigest {
		if _, ok := one.suspects[instance]; !ok {
			continue
		}
		delete(one.suspects, instance)
		delete(one.weights, instance)
		if len(one.weights) == 0 {
			delete(e.byDigest, d)
		}
	}
}
