package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// learned is a Pace of a service whose runners read speed tokens a second.
func learned(speed float64) *Pace {
	p := NewPace()
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		tokens := 100 + rnd.IntN(1400)
		// Most first events wait for something else, too.
		wait := rnd.ExpFloat64() * 0.02
		p.Learn("s", tokens, time.Duration((float64(tokens)/speed+wait)*float64(time.Second)))
	}
	return p
}

// Streams of a busy model stand still for longer than their callers bear: the demand
// for it, 35 requests a second in clumps at each of its runners, takes 64 in 100 of what
// a runner can read, but ten prompts and more reach one within 150 ms, as all daemons
// have them in hand at once. With each daemon's prompts in line, a quarter and more of
// the windows are gone in which a runner gets more to read than it can, and no prompt
// waits for more than a quarter of its target.
func TestClumpsOfPromptsAreSpread(t *testing.T) {
	const (
		daemons, runners = 8, 4
		speed            = 38400.0
		target           = 400 * time.Millisecond
		window           = 150 * time.Millisecond
		seconds          = 60
	)
	crowded := func(paced bool) int {
		rnd := rand.New(rand.NewPCG(3, 4))
		paces := make([]*Pace, daemons)
		for i := range paces {
			paces[i] = learned(speed)
		}
		sent := make([][]work, runners)
		at := time.Unix(0, 0)
		for at.Before(time.Unix(seconds, 0)) {
			at = at.Add(time.Duration(rnd.ExpFloat64() / (35 * runners / 4) * float64(time.Second)))
			best := rnd.IntN(runners) // that all think least busy for a moment
			for range 4 {
				p, tokens := paces[rnd.IntN(daemons)], 150+rnd.IntN(1100)
				to, wait := best, time.Duration(0)
				if paced {
					candidates := make([]Candidate, runners)
					for i := range candidates {
						candidates[i] = Candidate{Slots: 64, Requests: 20, SamePlace: i == best, Wait: p.Wait(at, id(i))}
					}
					to = Choose(candidates, Ask{Engine: true})
					wait = p.Take(at, "s", id(to), tokens, daemons, target)
					assert.Assert(t, wait <= target/4)
				}
				sent[to] = append(sent[to], work{at.Add(wait), tokens})
			}
		}
		return windowsOver(sent, window, int(speed*window.Seconds()))
	}
	before, after := crowded(false), crowded(true)
	t.Logf("windows in which a runner has more to read than it can: %d, in line %d", before, after)
	assert.Assert(t, 4*after < 3*before, "%d of %d windows are left", after, before)
}

type work struct {
	at     time.Time
	tokens int
}

func id(i int) string { return string(rune('a' + i)) }

// windowsOver counts the windows, each begun by a prompt, in which a runner gets more
// than a number of tokens to read.
func windowsOver(sent [][]work, window time.Duration, tokens int) int {
	n := 0
	for _, list := range sent {
		for _, from := range list {
			sum := 0
			for _, w := range list {
				if d := w.at.Sub(from.at); d >= 0 && d < window {
					sum += w.tokens
				}
			}
			if sum > tokens {
				n++
			}
		}
	}
	return n
}

// Prompts wait at a runner that reads far faster than is thought, or are not spread at
// one that is slower: the speed is learned from first events, most of which wait for
// something else as well, and follows when it changes.
func TestReadingSpeedIsLearned(t *testing.T) {
	for _, speed := range []float64{10000, 38400} {
		p := learned(speed)
		got := p.readings["s"].speed
		assert.Assert(t, got > 0.7*speed && got < 1.05*speed, "%.0f of %.0f", got, speed)
		for range 2000 {
			p.Learn("s", 1000, time.Duration(1000/(speed/2)*float64(time.Second)))
		}
		got = p.readings["s"].speed
		assert.Assert(t, got > 0.4*speed && got < 0.6*speed, "%.0f after it has halved from %.0f", got, speed)
	}
}

// A service of which little is known is not paced, nor is a prompt of unknown size; a
// runner that has started again has nothing in line.
func TestPromptsGoOutAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPace()
	for range readSamples - 1 {
		p.Learn("s", 1000, 100*time.Millisecond)
		assert.Equal(t, p.Take(now, "s", "r", 1000, 8, time.Second), time.Duration(0))
	}
	p.Learn("s", 1000, 100*time.Millisecond)
	assert.Equal(t, p.Take(now, "s", "r", 0, 8, time.Second), time.Duration(0))
	assert.Equal(t, p.Take(now, "s", "r", 1000, 8, time.Second), time.Duration(0), "the first in line")
	assert.Assert(t, p.Take(now, "s", "r", 1000, 8, time.Second) > 0)
	assert.Assert(t, p.Wait(now, "r") > 0)
	assert.Equal(t, p.Wait(now, "other"), time.Duration(0))
	p.Forget("r")
	assert.Equal(t, p.Take(now, "s", "r", 1000, 8, time.Second), time.Duration(0))
}

// Whatever comes, a wait is never below 0, nor over a quarter of the target.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPace()
		now := time.Unix(0, 0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			p.Learn("s", rapid.IntRange(-1, 100000).Draw(t, "tokens"), time.Duration(rapid.Int64Range(-1, 1e10).Draw(t, "first")))
			target := time.Duration(rapid.IntRange(0, 5000).Draw(t, "target")) * time.Millisecond
			wait := p.Take(now, "s", "r", rapid.IntRange(-1, 100000).Draw(t, "input"), rapid.IntRange(0, 100).Draw(t, "daemons"), target)
			assert.Assert(t, wait >= 0 && wait <= target/4, "%v", wait)
		}
	})
}

// A runner's line is as long as when its streams were short: how long they take is
// learned, and follows.
func TestLengthOfStreams(t *testing.T) {
	p := NewPace()
	assert.Equal(t, p.Length("s"), time.Duration(0))
	p.Ended("s", time.Second)
	assert.Equal(t, p.Length("s"), time.Second)
	for range 150 {
		p.Ended("s", 3*time.Second)
	}
	assert.Assert(t, p.Length("s") > 2800*time.Millisecond && p.Length("s") < 3*time.Second, "%v", p.Length("s"))
	assert.Equal(t, p.Length("other"), time.Duration(0))
}
