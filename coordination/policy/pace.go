package policy

import (
	"sync"
	"time"
)

const (
	// readShare is the part of a runner's reading speed that prompts may come at.
	// A runner reads prompts between the tokens of its streams: where prompts come
	// without a gap, no stream's next event comes in time. Of streams that saw 14
	// prompts of 700 tokens come to their runner within 150 ms, 71 in 100 had a
	// pause of over 150 ms; of those that saw seven, 9 in 100, and seven take two
	// thirds of that time to read, or more where the runner has kept none of their
	// shared parts.
	readShare = 0.75
	// sendersShare is how many of the daemons send to one runner at a time, as a
	// share of all: each prefers those of its own place.
	sendersShare = 0.4
	// readSamples is how many first events tell the reading speed. Until then
	// prompts go out as they come.
	readSamples = 50
	// readUp and readDown are how fast the speed follows a faster and a slower
	// first event. Their ratio makes it the speed that one in twenty exceeds: most
	// first events wait for something else as well.
	readUp, readDown = 0.05, 0.05 / 19
	// maxPaceShare bounds a prompt's wait, in parts of its route's target: most of
	// the target is left for reading it.
	maxPaceShare = 0.25
	// leastPace is the shortest wait that a timer keeps.
	leastPace = 2 * time.Millisecond
)

// Pace spreads the prompts that a daemon sends to a runner. Requests come in clumps,
// and each daemon sends to the runner that it thinks least busy, so that many prompts
// reach one runner at once. Their own first events wait in any case; those of all its
// streams wait needlessly. A prompt waits here until the ones before it are likely to
// have been read, or goes to a runner where it need not wait.
type Pace struct {
	mu       sync.Mutex
	readings map[string]*reading  // by service
	due      map[string]time.Time // by runner: when the next prompt may go out
}

// reading is how fast the runners of a service work.
type reading struct {
	speed   float64 // tokens of prompts read a second
	samples int
	length  time.Duration // of a stream, from its first event to its last
}

// lengthStep is how fast the length of streams follows a new one: some 50 streams, a
// second or two of a daemon's, tell that runners have become slower.
const lengthStep = 0.02

// Ended takes in how long a whole stream took from its first event.
func (p *Pace) Ended(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.of(service)
	if r.length == 0 {
		r.length = took
	}
	r.length += time.Duration(lengthStep * float64(took-r.length))
}

// Length is how long the streams of a service take, 0 if none has ended yet.
func (p *Pace) Length(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service).length
}

// of returns what is known of a service; the caller holds the lock.
func (p *Pace) of(service string) *reading {
	r := p.readings[service]
	if r == nil {
		r = &reading{}
		p.readings[service] = r
	}
	return r
}

// NewPace makes a Pace that knows no service yet.
func NewPace() *Pace { return &Pace{readings: map[string]*reading{}, due: map[string]time.Time{}} }

// Learn takes in how long after its sending a prompt's first event came.
func (p *Pace) Learn(service string, tokens int, first time.Duration) {
	if tokens <= 0 || first <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.of(service)
	got := float64(tokens) / first.Seconds()
	r.samples++
	switch {
	case r.samples == 1:
		r.speed = got
	case got > r.speed:
		r.speed += readUp * (got - r.speed)
	default:
		r.speed += readDown * (got - r.speed)
	}
}

// Wait is how long a prompt for a runner would wait now.
func (p *Pace) Wait(now time.Time, runner string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.due[runner].Sub(now))
}

// Take puts a prompt in line for a runner, to which as many daemons send, and returns
// how long it is to wait: never for long, measured by its route's target.
func (p *Pace) Take(now time.Time, service, runner string, tokens, daemons int, target time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.of(service)
	if r.samples < readSamples || tokens <= 0 {
		return 0
	}
	rate := r.speed * readShare / max(1, sendersShare*float64(daemons))
	at := p.due[runner]
	if at.Before(now) {
		at = now
	}
	p.due[runner] = at.Add(time.Duration(float64(tokens) / rate * float64(time.Second)))
	wait := min(at.Sub(now), time.Duration(maxPaceShare*float64(target)))
	if wait < leastPace {
		return 0
	}
	return wait
}

// Forget drops what is in line for a runner that is gone or has started again.
func (p *Pace) Forget(runner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.due, runner)
}
