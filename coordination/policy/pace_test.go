package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// trainedPacer returns a Pacer with measurements of a service whose runners read speed prompt
// tokens per second.
func trainedPacer(speed float64) *Pacer {
	p := NewPacer()
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		tokens := 100 + rnd.IntN(1400)
		// Most first events include other waiting time.
		wait := rnd.ExpFloat64() * 0.02
		p.ObserveFirstEvent("s", tokens, time.Duration((float64(tokens)/speed+wait)*float64(time.Second)))
	}
	return p
}

// Streams of a busy model must not pause for longer than their callers accept. The demand of
// 35 requests per second at each runner, in bursts, takes 64 in 100 of a runner's prefill
// rate, but without pacing ten or more prompts reach one runner within 150 ms, as all daemons
// send theirs at once. If each daemon paces its prompts, at least a quarter fewer windows
// have more prompt tokens than a runner can read, and no prompt is delayed by more than
// a quarter of its target.
func TestPromptBurstsAreSpread(t *testing.T) {
	const (
		daemons, runners = 8, 4
		speed            = 38400.0
		target           = 400 * time.Millisecond
		window           = 150 * time.Millisecond
		seconds          = 60
	)
	overloads := func(paced bool) int {
		rnd := rand.New(rand.NewPCG(3, 4))
		pacers := make([]*Pacer, daemons)
		for i := range pacers {
			pacers[i] = trainedPacer(speed)
		}
		sent := make([][]sentPrompt, runners)
		at := time.Unix(0, 0)
		for at.Before(time.Unix(seconds, 0)) {
			at = at.Add(time.Duration(rnd.ExpFloat64() / (35 * runners / 4) * float64(time.Second)))
			preferred := rnd.IntN(runners) // the runner that all daemons consider least busy now
			for range 4 {
				p, tokens := pacers[rnd.IntN(daemons)], 150+rnd.IntN(1100)
				to, wait := preferred, time.Duration(0)
				if paced {
					candidates := make([]Candidate, runners)
					for i := range candidates {
						candidates[i] = Candidate{Slots: 64, Requests: 20, SameDataCentre: i == preferred, Wait: p.Wait(at, runnerID(i))}
					}
					to = Choose(candidates, Requirements{Engine: true})
					wait = p.Reserve(at, "s", runnerID(to), tokens, daemons, target)
					assert.Assert(t, wait <= target/4)
				}
				sent[to] = append(sent[to], sentPrompt{at.Add(wait), tokens})
			}
		}
		return countOverloads(sent, window, int(speed*window.Seconds()))
	}
	before, after := overloads(false), overloads(true)
	t.Logf("windows with more prompt tokens than a runner can read: %d, paced %d", before, after)
	assert.Assert(t, 4*after < 3*before, "%d of %d windows are left", after, before)
}

type sentPrompt struct {
	at     time.Time
	tokens int
}

func runnerID(i int) string { return string(rune('a' + i)) }

// countOverloads counts the windows, each starting with a prompt, in which a runner receives
// more than the given number of prompt tokens.
func countOverloads(sent [][]sentPrompt, window time.Duration, tokens int) int {
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

// The prefill rate is estimated from first events, most of which include other waiting time,
// and the estimate follows changes. If it were too low, prompts would be delayed needlessly;
// if it were too high, they would not be spread.
func TestPrefillRateEstimate(t *testing.T) {
	for _, speed := range []float64{10000, 38400} {
		p := trainedPacer(speed)
		got := p.services["s"].prefillRate
		assert.Assert(t, got > 0.7*speed && got < 1.05*speed, "%.0f of %.0f", got, speed)
		for range 2000 {
			p.ObserveFirstEvent("s", 1000, time.Duration(1000/(speed/2)*float64(time.Second)))
		}
		got = p.services["s"].prefillRate
		assert.Assert(t, got > 0.4*speed && got < 0.6*speed, "%.0f after the rate has halved from %.0f", got, speed)
	}
}

// Prompts of a service with few measurements and prompts of unknown size are not delayed,
// and a runner that has started again has no reserved sends.
func TestPromptsSentWithoutDelay(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPacer()
	for range minSamples - 1 {
		p.ObserveFirstEvent("s", 1000, 100*time.Millisecond)
		assert.Equal(t, p.Reserve(now, "s", "r", 1000, 8, time.Second), time.Duration(0))
	}
	p.ObserveFirstEvent("s", 1000, 100*time.Millisecond)
	assert.Equal(t, p.Reserve(now, "s", "r", 0, 8, time.Second), time.Duration(0))
	assert.Equal(t, p.Reserve(now, "s", "r", 1000, 8, time.Second), time.Duration(0), "the first prompt")
	assert.Assert(t, p.Reserve(now, "s", "r", 1000, 8, time.Second) > 0)
	assert.Assert(t, p.Wait(now, "r") > 0)
	assert.Equal(t, p.Wait(now, "other"), time.Duration(0))
	p.Forget("r")
	assert.Equal(t, p.Reserve(now, "s", "r", 1000, 8, time.Second), time.Duration(0))
}

// A delay is never negative and never more than a quarter of the target.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPacer()
		now := time.Unix(0, 0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			p.ObserveFirstEvent("s", rapid.IntRange(-1, 100000).Draw(t, "tokens"), time.Duration(rapid.Int64Range(-1, 1e10).Draw(t, "first")))
			target := time.Duration(rapid.IntRange(0, 5000).Draw(t, "target")) * time.Millisecond
			wait := p.Reserve(now, "s", "r", rapid.IntRange(-1, 100000).Draw(t, "input"), rapid.IntRange(0, 100).Draw(t, "daemons"), target)
			assert.Assert(t, wait >= 0 && wait <= target/4, "%v", wait)
		}
	})
}

// The queue limit depends on the average duration of streams, which must follow when streams
// become longer.
func TestStreamDurationAverage(t *testing.T) {
	p := NewPacer()
	assert.Equal(t, p.StreamDuration("s"), time.Duration(0))
	p.ObserveStream("s", time.Second)
	assert.Equal(t, p.StreamDuration("s"), time.Second)
	for range 150 {
		p.ObserveStream("s", 3*time.Second)
	}
	assert.Assert(t, p.StreamDuration("s") > 2800*time.Millisecond && p.StreamDuration("s") < 3*time.Second, "%v", p.StreamDuration("s"))
	assert.Equal(t, p.StreamDuration("other"), time.Duration(0))
}
