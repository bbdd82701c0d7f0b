package quarantine

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/standin/memory"
	"primroseward/state/hold"
)

var (
	firstPart = core.NewPart("", "a1")
	badPart   = core.NewPart("", "bad")
	document  = core.NewPart("", "d1")
)

// brokenPrompt is a request of its own whose prompt has some parts, and that a runner had just started.
func brokenPrompt(runner string, prompt ...core.Part) core.LostRequest {
	b := broken(core.DigestOf(&core.Request{Target: fmt.Sprint(rand.Uint64())}), runner)
	b.JustStarted, b.Parts = true, prompt
	return b
}

// Guards against requests that share a prompt part and nothing else, at daemons of any number that lose one message
// in five: all must hold the part back, and not the part that comes before it in each prompt.
func TestPromptPartIsHeld(t *testing.T) {
	for _, tt := range []struct {
		daemons int
		served  bool // requests with the other parts have been served before
	}{{1, false}, {1, true}, {3, false}, {3, true}, {17, true}, {60, true}} {
		t.Run(fmt.Sprint(tt.daemons, tt.served), func(t *testing.T) {
			t.Parallel()
			n, r := newNetwork(), newRunners()
			if !tt.served {
				n.loss = 0.2
			}
			all := n.fleet(t, tt.daemons, r)
			if tt.served {
				all[rand.N(tt.daemons)].PartsServed([]core.Part{firstPart, document})
			}
			for i := range 3 {
				id := fmt.Sprint("r", i)
				r.setProbeErr(id, core.ErrNoListener)
				all[rand.N(tt.daemons)].ConnectionLost(brokenPrompt(id, firstPart, badPart))
				all[rand.N(tt.daemons)].ConnectionLost(brokenPrompt(id, firstPart)) // in progress beside it
			}
			waitForAll(t, "part held back", all, hasHold(badPart.Digest))
			time.Sleep(2 * (queryWait + doubtWait))
			for _, d := range all {
				for _, p := range []core.Part{firstPart, document} {
					assert.Equal(t, d.HoldRemaining(p.Digest), time.Duration(0), "%s: %s", d.name, p.ID)
				}
			}
		})
	}
}

// Guards against holding back a part for one request that crashes runners by itself.
func TestPartOfOneFatalRequestIsNotHeld(t *testing.T) {
	t.Parallel()
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 3, r)
	fatal := brokenPrompt("r0", firstPart, document)
	for i := range 4 {
		fatal.Runner.ID = fmt.Sprint("r", i)
		r.setProbeErr(fatal.Runner.ID, core.ErrNoListener)
		all[i%3].ConnectionLost(fatal)
	}
	waitForAll(t, "request held back", all, hasHold(fatal.Digest))
	time.Sleep(2 * queryWait)
	for _, d := range all {
		assert.Equal(t, d.HoldRemaining(firstPart.Digest), time.Duration(0))
		assert.Equal(t, d.HoldRemaining(document.Digest), time.Duration(0))
	}
}

// Guards against holds that last though requests with the part are served.
func TestServedPartIsReleased(t *testing.T) {
	t.Parallel()
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 3, r)
	for i := range 2 {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrNoListener)
		all[i].ConnectionLost(brokenPrompt(id, badPart))
	}
	waitForAll(t, "held back", all, hasHold(badPart.Digest))
	all[2].PartsServed([]core.Part{badPart})
	waitForAll(t, "released", all, released(badPart.Digest))
}

// Guards against a workspace whose requests are held back because those of another one, with a part of the same ID,
// crash runners.
func TestPartsOfWorkspacesDiffer(t *testing.T) {
	assert.Assert(t, core.NewPart("w1", "a1").Digest != core.NewPart("w2", "a1").Digest)
	assert.Assert(t, core.NewPart("w1", "a1").Digest != core.NewPart("", "w1a1").Digest)
}

// Guards against losing the holds of parts with all daemons.
func TestHeldPartSurvivesAllDaemons(t *testing.T) {
	t.Parallel()
	n, r, store := newNetwork(), newRunners(), memory.New()
	client := store.Client()
	reads := WithStore(client, func() bool { return true })
	all := n.fleet(t, 3, r, reads)
	for i := range 2 {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrNoListener)
		all[i].ConnectionLost(brokenPrompt(id, firstPart, badPart))
	}
	waitForAll(t, "held back", all, hasHold(badPart.Digest))
	waitForAll(t, "stored", all[:1], func(*daemon) bool {
		_, err := client.Get(context.Background(), core.KindHolds, badPart.Digest.String())
		return err == nil
	})
	for _, d := range all {
		d.kill()
	}
	next := n.fleet(t, 3, r, reads)
	waitForAll(t, "hold restored", next, hasHold(badPart.Digest))
}

// Guards against holding back a part that sound requests share, in any order of exits and answers: a crash may break
// off sound requests as well, at any stage, and nothing may have been served for long.
func TestSharedPartsAreNeverHeld(t *testing.T) {
	documents := []core.Part{core.NewPart("", "d1"), core.NewPart("", "d2"), core.NewPart("", "d3")}
	rapid.Check(t, func(rt *rapid.T) {
		q, clock := newSoloQuarantine()
		exits := 0
		report := func(instance int, prompt ...core.Part) {
			b := brokenPrompt("", prompt...)
			b.JustStarted = rapid.Bool().Draw(rt, "fresh")
			b.MayHaveRun = b.JustStarted || rapid.Bool().Draw(rt, "begun")
			if prompt[len(prompt)-1] == badPart || len(prompt) > 2 {
				b.JustStarted, b.MayHaveRun = true, true
			}
			q.countExit(exitReport{Runner: "r", Instance: instanceOf(&core.Runner{ID: fmt.Sprint(instance)}), Affected: affectedOf(&b)}, "d")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"crash": func(rt *rapid.T) {
				if q.HoldRemaining(badPart.Digest) > 0 {
					return
				}
				exits++
				prompt := []core.Part{firstPart, badPart}
				if rapid.Bool().Draw(rt, "document") {
					prompt = append(prompt, documents[exits%len(documents)])
				}
				order := rapid.Permutation([]int{0, 1, 2}).Draw(rt, "order")
				for _, which := range order {
					if which == 0 {
						report(exits, prompt...)
					} else if rapid.Bool().Draw(rt, "beside") {
						report(exits, firstPart, documents[(exits+which)%len(documents)])
					}
				}
			},
			"served": func(rt *rapid.T) {
				q.PartsServed([]core.Part{firstPart, rapid.SampledFrom(documents).Draw(rt, "document")})
			},
			"later": func(rt *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(0, 90).Draw(rt, "seconds")) * time.Second)
			},
			"decided": func(*rapid.T) { decideAll(q) },
			"": func(rt *rapid.T) {
				assert.Equal(rt, q.HoldRemaining(firstPart.Digest), time.Duration(0), "the first part is held")
			},
		})
	})
}

// decideAll ends all queries in the order of their digests, as after the time that each of them takes.
func decideAll(q *Quarantine) {
	for range 2 {
		q.mu.Lock()
		all := slices.SortedFunc(maps.Keys(q.queries), func(a, b core.Digest) int { return bytes.Compare(a[:], b[:]) })
		q.mu.Unlock()
		for _, d := range all {
			q.decide(d)
		}
	}
}

// Guards against holding back sound requests and parts that are in progress wherever a part crashes runners, and that
// nobody has been served yet.
func TestExitsUnderAHeldPartCountForNothingElse(t *testing.T) {
	t.Parallel()
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 5, r)
	beside := brokenPrompt("", firstPart, document)
	beside.JustStarted = false // a stream that goes on at one runner after the other
	for i := range 6 {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrNoListener)
		beside.Runner.ID = id
		all[i%5].ConnectionLost(brokenPrompt(id, firstPart, badPart))
		all[(i+1)%5].ConnectionLost(beside)
		if i == 1 {
			waitForAll(t, "part held back", all, hasHold(badPart.Digest))
		}
	}
	time.Sleep(2 * (queryWait + doubtWait))
	for _, d := range all {
		for _, digest := range []core.Digest{beside.Digest, firstPart.Digest, document.Digest} {
			assert.Assert(t, !hasHold(digest)(d), d.name)
		}
	}
}

// Guards against holding back a sound part, or a stream that was in progress beside the cause, because nothing has been
// served yet: all daemons have just started.
func TestNoPartIsHeldAtTheStart(t *testing.T) {
	t.Parallel()
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 3, r)
	started := n.bootNow(all)
	beside := broken(other, "")
	for i := range 4 {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrNoListener)
		beside.Runner.ID = id
		all[i%3].ConnectionLost(beside)
		all[i%3].ConnectionLost(brokenPrompt(id, document))
		all[i%3].ConnectionLost(brokenPrompt(id, badPart))
	}
	time.Sleep(2 * (queryWait + doubtWait))
	all[0].PartsServed([]core.Part{document})
	waitForAll(t, "held back", all, hasHold(badPart.Digest))
	assert.Assert(t, time.Since(started) >= startPeriod)
	time.Sleep(2 * (queryWait + doubtWait))
	for _, d := range all {
		assert.Assert(t, !hasHold(document.Digest)(d), d.name)
		assert.Assert(t, !hasHold(other)(d), d.name)
	}
}

// Guards against holding back sound parts that were in progress beside the cause, all under decision at the same instant:
// the end of the fleet's first seconds.
func TestCauseIsDecidedBeforeWhatIsInDoubt(t *testing.T) {
	t.Parallel()
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 3, r)
	n.bootNow(all)
	var documents []core.Part
	for i := range 12 {
		documents = append(documents, core.NewPart("", fmt.Sprint("d", i)))
	}
	for i := range 7 {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrNoListener)
		for _, p := range documents {
			beside := brokenPrompt(id, firstPart, p)
			beside.JustStarted = false
			all[i%3].ConnectionLost(beside)
		}
		all[i%3].ConnectionLost(brokenPrompt(id, firstPart, badPart))
	}
	waitForAll(t, "held back", all, hasHold(badPart.Digest))
	time.Sleep(2 * (queryWait + doubtWait))
	for _, d := range all {
		for _, p := range append(documents, firstPart) {
			assert.Check(t, !hasHold(p.Digest)(d), "%s: %s", d.name, p.ID)
		}
	}
}

// Guards against a hold that is extended, and a cause that is taken for explained, because a request with a held part
// was queued at a runner that exited for another reason.
func TestQueuedRequestDoesNotExtendTheHoldOfAPart(t *testing.T) {
	q, clock := newSolo(t)
	q.hold(hold.Record{Digest: document.Digest, Route: "r", Service: "s", Runners: 2})
	clock.Advance(hold.Duration(0))
	for i, fresh := range []bool{false, true} {
		b := brokenPrompt("", firstPart, document)
		b.MayHaveRun, b.JustStarted = fresh, fresh
		instance := instanceOf(&core.Runner{ID: fmt.Sprint(i)})
		q.countExit(exitReport{Runner: "r", Instance: instance, Affected: affectedOf(&b)}, "d")
		assert.Equal(t, q.HoldRemaining(document.Digest) > 0, fresh)
		counts := q.exits.Explain(clock.Now(), instance, policy.Explanation{Cause: badPart.Digest, Part: true})
		assert.Equal(t, counts, !fresh, "explained")
	}
}

// Guards against reports that change the prompts of others.
func TestReportsOfLongPrompts(t *testing.T) {
	var prompt []core.Part
	for i := range 3 * maxPrompt {
		prompt = append(prompt, core.NewPart("", fmt.Sprint(i)))
	}
	b := brokenPrompt("r", prompt...)
	list := affectedOf(&b)
	q, _ := newSolo(t)
	for i := range list {
		_, held := q.heldCause(&list[i])
		assert.Assert(t, !held)
	}
	for i, a := range list[1:] {
		assert.Equal(t, a.Digest, prompt[i].Digest)
		assert.Assert(t, len(a.Prompt) <= maxPrompt && slices.Contains(a.Prompt, a.Digest))
		from := slices.IndexFunc(prompt, func(p core.Part) bool { return p.Digest == a.Prompt[0] })
		for k, d := range a.Prompt {
			assert.Equal(t, d, prompt[from+k].Digest)
		}
	}
}

// TestServedPartThatCrashesRunnersIsHeld guards against a prompt part that has been in use and begins to crash runners:
// what was served before would clear it again after each pair of crashes, for as long as a minute.
func TestServedPartThatCrashesRunnersIsHeld(t *testing.T) {
	const maxExits = 8
	t.Parallel()
	n, r := newNetwork(), newRunners()
	all := n.fleet(t, 3, r)
	all[0].PartsServed([]core.Part{firstPart, badPart})
	for i := range maxExits {
		id := fmt.Sprint("r", i)
		r.setProbeErr(id, core.ErrNoListener)
		all[i%3].ConnectionLost(brokenPrompt(id, firstPart, badPart))
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			all[(i+1)%3].PartsServed([]core.Part{firstPart, document})
		}
	}
	waitForAll(t, "part held back", all, hasHold(badPart.Digest))
	for _, d := range all {
		assert.Equal(t, d.HoldRemaining(firstPart.Digest), time.Duration(0), "%s", d.name)
	}
}
