package policy

import (
	"cmp"
	"maps"
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
	Model    string
	Age      time.Duration // since the request was sent to the runner
	Prompt   []core.Digest // the shared parts of the request's prompt, in order
}

// weight does not depend on how far an answer had come: a part may crash its runner at any moment. Only just after the
// start of a request is a coincidence so rare that less is enough.
func (x *PartExit) weight() int {
	if x.Fresh {
		return freshWeight
	}
	return startedWeight
}

// suspects are the requests with a prompt part that were in progress at one exit. Any of them may have
// caused it.
type suspects struct {
	requests []core.Digest
	others   []core.Digest            // the other parts of their prompts
	deeper   []core.Digest            // those of them that follow the part
	first    bool                     // the part is the first one of a prompt
	ages     map[string]time.Duration // of the oldest request by model
	early    time.Duration            // age of the youngest request that the runner had just started; 0: there is none
}

// add adds a request.
func (s *suspects) add(part core.Digest, x *PartExit) {
	s.requests = addNew(s.requests, x.Request)
	s.setAge(x.Model, x.Age)
	if age := max(minEarly, x.Age); x.Fresh && (s.early == 0 || age < s.early) {
		s.early = age
	}
	s.first = s.first || len(x.Prompt) > 0 && x.Prompt[0] == part
	at := slices.Index(x.Prompt, part)
	for i, d := range x.Prompt {
		if i != at {
			s.others = addNew(s.others, d)
		}
		if at >= 0 && i > at {
			s.deeper = addNew(s.deeper, d)
		}
	}
}

// setAge records how long a request for a model had been at the runner.
func (s *suspects) setAge(model string, age time.Duration) {
	if s.ages == nil {
		s.ages = map[string]time.Duration{}
	}
	s.ages[model] = max(s.ages[model], age)
}

func addNew[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
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

// ExitUnderPart is the exit of a runner under requests with a prompt part.
type ExitUnderPart struct {
	Instance Instance
	At       time.Time                // when it was reported first
	Early    time.Duration            // how long the youngest request that the runner had just started had been there; 0: there is none
	Ages     map[string]time.Duration // how long the oldest request had been at the runner, by model
}

// PartEvidence is what speaks against a prompt part.
type PartEvidence struct {
	Exits    []ExitUnderPart
	Requests int // different ones
	Fresh    int // exits of runners that had just started one of them
	// Companions are the other parts that were there at each of the exits, those of them that follow the part in a
	// prompt are true.
	Companions map[core.Digest]bool
}

// Evidence returns the exits under requests with a part that were reported until a time.
func (e *ExitRecords) Evidence(part core.Digest, until time.Time) PartEvidence {
	out := PartEvidence{Companions: map[core.Digest]bool{}}
	one := e.byDigest[part]
	if one == nil {
		return out
	}
	var requests []core.Digest
	for instance, x := range one.exits {
		if !x.counts(until) {
			continue
		}
		for _, r := range x.requests {
			requests = addNew(requests, r)
		}
		if x.weight == freshWeight {
			out.Fresh++
		}
		if len(out.Exits) == 0 {
			for _, d := range x.others {
				out.Companions[d] = false
			}
		}
		maps.DeleteFunc(out.Companions, func(d core.Digest, _ bool) bool { return !slices.Contains(x.others, d) })
		for _, d := range x.deeper {
			if _, ok := out.Companions[d]; ok {
				out.Companions[d] = true
			}
		}
		out.Exits = append(out.Exits, ExitUnderPart{instance, x.since, x.early, maps.Clone(x.ages)})
	}
	out.Requests = len(requests)
	return out
}

// Begin returns when the first request for each model was sent to a runner that exited.
func (e *PartEvidence) Begin() map[string]time.Time {
	out := map[string]time.Time{}
	for _, x := range e.Exits {
		for model, age := range x.Ages {
			if at, ok := out[model]; !ok || x.At.Add(-age).Before(at) {
				out[model] = x.At.Add(-age)
			}
		}
	}
	return out
}

// Models returns the fewest models whose requests explain all exits: requests for others may have been there by chance.
// Of two models at the same exits it takes the one at which the part was in use less.
func (e *PartEvidence) Models(use map[string]Use) []string {
	left, out := slices.Clone(e.Exits), []string(nil)
	for len(left) > 0 {
		count := map[string]int{}
		for _, x := range left {
			for model := range x.Ages {
				count[model]++
			}
		}
		best := slices.MaxFunc(slices.Collect(maps.Keys(count)), func(a, b string) int {
			return cmp.Or(cmp.Compare(count[a], count[b]), cmp.Compare(use[b].amount(), use[a].amount()), cmp.Compare(b, a))
		})
		out = append(out, best)
		left = slices.DeleteFunc(left, func(x ExitUnderPart) bool { _, ok := x.Ages[best]; return ok })
	}
	return out
}

// Early returns within which time of the start of a request runners exited that had just started one; 0 if there are none.
func (e *PartEvidence) Early() time.Duration {
	longest := time.Duration(0)
	for _, x := range e.Exits {
		longest = max(longest, x.Early)
	}
	return longest
}

// Age returns how long requests for some models had been at the runners that exited, on average over the exits.
func (e *PartEvidence) Age(models []string) time.Duration {
	sum := time.Duration(0)
	for _, x := range e.Exits {
		oldest := time.Duration(0)
		for _, m := range models {
			oldest = max(oldest, x.Ages[m])
		}
		sum += oldest
	}
	return sum / time.Duration(max(1, len(e.Exits)))
}

// ExitsAt returns the runner instances that have exited under requests with a part for a model.
func (e *ExitRecords) ExitsAt(part core.Digest, model string) []Instance {
	one := e.byDigest[part]
	if one == nil {
		return nil
	}
	var out []Instance
	for instance, x := range one.exits {
		if _, ok := x.ages[model]; ok {
			out = append(out, instance)
		}
	}
	return out
}

// HasOtherCause reports whether an exit is known to have another cause than a request or prompt part.
func (e *ExitRecords) HasOtherCause(instance Instance, d core.Digest) bool {
	by, ok := e.explained[instance]
	return ok && by.Cause != d
}
