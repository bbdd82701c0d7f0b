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
	Fresh    bool // the runner had just started the request
	Request  core.Digest
	Prompt   []core.Digest // the shared parts of the request's prompt, in order
}

// weight counts a request whose answer had begun no more than a queued one: prompts share their parts, so that
// of most parts some request has just begun.
func (x *PartExit) weight() int {
	if x.Fresh {
		return freshWeight
	}
	return queuedWeight
}

// suspects are the requests with a prompt part that were in progress at one exit. Any of them may have
// caused it.
type suspects struct {
	requests []core.Digest
	deeper   []core.Digest // parts that follow the part in a prompt
	first    bool          // the part is the first one of a prompt
}

// add adds a request.
func (s *suspects) add(part core.Digest, x *PartExit) {
	s.requests = addNew(s.requests, x.Request)
	s.first = s.first || len(x.Prompt) > 0 && x.Prompt[0] == part
	if at := slices.Index(x.Prompt, part); at >= 0 {
		for _, d := range x.Prompt[at+1:] {
			s.deeper = addNew(s.deeper, d)
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
	at := e.record(now, part, x.Request, x.Instance, x.weight())
	if at == nil {
		return 0, false
	}
	at.add(part, &x)
	return e.byDigest[part].runners(), e.Held(part, now)
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
	for _, x := range one.exits {
		if !x.counts(until) {
			continue
		}
		if first {
			out, first = slices.Clone(x.deeper), false
			continue
		}
		out = slices.DeleteFunc(out, func(d core.Digest) bool { return !slices.Contains(x.deeper, d) })
	}
	return out
}
