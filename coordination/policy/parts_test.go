package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
)

func fresh(instance Instance, request uint64, prompt ...uint64) PartExit {
	x := PartExit{Instance: instance, Fresh: true, Request: digest(request)}
	for _, p := range prompt {
		x.Prompt = append(x.Prompt, digest(p))
	}
	return x
}

// Guards against a prompt part that is held back for what a single request did, and against one that is not though
// different requests with it crash runners.
func TestPartIsHeldAfterExitsUnderDifferentRequests(t *testing.T) {
	queued := fresh(4, 4, 1)
	queued.Fresh = false
	for _, tt := range []struct {
		name  string
		exits []PartExit
		hold  bool
	}{
		{"one exit", []PartExit{fresh(1, 11, 1)}, false},
		{"two requests, one exit", []PartExit{fresh(1, 11, 1), fresh(1, 12, 1)}, false},
		{"one request, two exits", []PartExit{fresh(1, 11, 1), fresh(2, 11, 1)}, false},
		{"one request, ten exits", []PartExit{fresh(1, 11, 1), fresh(2, 11, 1), fresh(3, 11, 1), fresh(4, 11, 1), fresh(5, 11, 1), fresh(6, 11, 1), fresh(7, 11, 1), fresh(8, 11, 1), fresh(9, 11, 1), fresh(10, 11, 1)}, false},
		{"two requests, two exits", []PartExit{fresh(1, 11, 1), fresh(2, 12, 1)}, true},
		{"not just started at the second", []PartExit{fresh(1, 11, 1), queued}, false},
	} {
		e, now, hold := NewExitRecords(), time.Unix(1e9, 0), false
		for _, x := range tt.exits {
			_, hold = e.AddPart(now, digest(1), x)
		}
		assert.Equal(t, hold, tt.hold, tt.name)
		assert.Equal(t, e.Held(digest(1), now), tt.hold, tt.name)
	}
}

// Guards against holding back the first part of all prompts beside the part that crashes runners.
func TestCompanionsOfAllExits(t *testing.T) {
	const first, bad, doc1, doc2 = 1, 2, 3, 4
	e, now := NewExitRecords(), time.Unix(1e9, 0)
	exits := []PartExit{
		fresh(1, 11, first, bad, doc1),
		fresh(1, 12, first, doc2), // in progress beside it
		fresh(2, 13, first, bad, doc2),
	}
	for _, x := range exits {
		for _, part := range x.Prompt {
			e.AddPart(now, part, x)
		}
	}
	assert.DeepEqual(t, e.Evidence(digest(first), now).Companions, map[core.Digest]bool{digest(bad): true, digest(doc2): true})
	assert.DeepEqual(t, e.Evidence(digest(bad), now).Companions, map[core.Digest]bool{digest(first): false})
	assert.Equal(t, len(e.Evidence(digest(9), now).Companions), 0)
	assert.Assert(t, !e.Held(digest(bad), now.Add(-time.Second)), "reported later")
	instances, part := e.Exits(digest(bad))
	assert.Equal(t, len(instances), 2)
	assert.Assert(t, part)
	for _, instance := range instances {
		assert.Assert(t, e.Explain(now, instance, Explanation{Cause: digest(bad), Part: true}))
		assert.Assert(t, !e.Explain(now, instance, Explanation{Cause: digest(bad), Part: true}))
	}
	assert.Assert(t, !e.Held(digest(first), now), "the exits are explained")
	_, hold := e.AddPart(now, digest(first), fresh(2, 14, first, doc2))
	assert.Assert(t, !hold && !e.Held(digest(first), now), "also those reported later")
}

// Guards against a part that is not held back because requests with it are, each of which has crashed two runners.
func TestHeldRequestsDoNotClearTheirParts(t *testing.T) {
	const first, bad, beside = 1, 2, 3
	e, now := NewExitRecords(), time.Unix(1e9, 0)
	for _, x := range []PartExit{fresh(1, 11, first, bad), fresh(2, 11, first, bad), fresh(3, 12, first, bad)} {
		e.AddFresh(now, x.Request, x.Instance)
		e.AddPart(now, digest(bad), x)
		e.AddPart(now, digest(beside), fresh(x.Instance, 13, beside))
		e.AddPart(now, digest(beside), fresh(x.Instance, 14, beside))
	}
	exits, part := e.Exits(digest(11))
	assert.Equal(t, len(exits), 2)
	assert.Assert(t, !part)
	for _, instance := range exits {
		e.Explain(now, instance, Explanation{Cause: digest(11)})
	}
	assert.Assert(t, e.Held(digest(bad), now))
	assert.Assert(t, !e.Held(digest(beside), now))
	_, hold := e.AddPart(now, digest(bad), fresh(2, 11, first, bad))
	assert.Assert(t, hold, "reported again")
	assert.Assert(t, e.Explain(now, 1, Explanation{Cause: digest(bad), Part: true}), "the part is a better explanation")
}
