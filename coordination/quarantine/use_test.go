package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/coordination/policy"
	"primroseward/core"
)

// recentUse returns the use of badPart by model, over an age until now.
func recentUse(q *Quarantine, age time.Duration) map[string]policy.Use {
	out := map[string]policy.Use{}
	for _, m := range q.uses.report(badPart.Digest, func(string) time.Duration { return age }) {
		out[m.Model] = m.Recent
	}
	return out
}

// Guards against time at runners that is counted twice or not at all, in any order of beginnings and ends: parts would be
// held back, or not, for what they did not do.
func TestUseIsCounted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q, clock := newSoloQuarantine()
		var runs []core.Run
		began := map[int]time.Time{}
		var want policy.Use
		rt.Repeat(map[string]func(*rapid.T){
			"begins": func(*rapid.T) {
				began[len(runs)] = clock.Now()
				runs = append(runs, q.RunBegan([]core.Part{badPart}, "m"))
			},
			"ends": func(rt *rapid.T) {
				if len(runs) == 0 {
					return
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(rt, "run")
				at, running := began[i]
				if running {
					want.Busy += clock.Since(at)
					if rapid.Bool().Draw(rt, "whole") {
						runs[i].Whole()
						want.Whole++
					}
				}
				delete(began, i)
				runs[i].Ended()
			},
			"later": func(rt *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(rt *rapid.T) {
				sum := want
				for _, at := range began {
					sum.Busy += clock.Since(at)
				}
				assert.Equal(rt, recentUse(q, time.Hour)["m"].Whole, sum.Whole)
				got := recentUse(q, time.Hour)["m"].Busy
				assert.Assert(rt, (got-sum.Busy).Abs() <= time.Duration(len(runs)), "%v, want %v", got, sum.Busy)
			},
		})
	})
}

// Guards against what was used long ago counting for a part that has begun to crash runners, and against memory without
// bounds.
func TestUseIsRecentAndBounded(t *testing.T) {
	q, clock := newSoloQuarantine()
	for range 500 {
		r := q.RunBegan([]core.Part{badPart}, "m")
		clock.Advance(time.Second)
		r.Whole()
		r.Ended()
	}
	clock.Advance(3 * time.Second)
	q.PartsServed([]core.Part{badPart})
	got := recentUse(q, 2*time.Second)
	assert.Equal(t, got["m"], policy.Use{})
	assert.Equal(t, got[""].Whole, 1)
	assert.Equal(t, len((*q.uses.parts.get(badPart.Digest))["m"].periods), maxUsePeriods)
	for i := range 3 * maxUsedModels {
		q.RunBegan([]core.Part{badPart}, fmt.Sprint("m", i)).Ended()
	}
	assert.Assert(t, len(*q.uses.parts.get(badPart.Digest)) <= maxUsedModels+1)
	for i := range maxUsedParts + 500 {
		q.RunBegan([]core.Part{core.NewPart("", fmt.Sprint(i)), badPart}, "m").Ended()
	}
	assert.Equal(t, len(q.uses.parts.byDigest), maxUsedParts)
	assert.Assert(t, q.uses.parts.get(badPart.Digest) != nil, "one that is used on")
}
