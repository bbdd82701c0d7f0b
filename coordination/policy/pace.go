package policy

import (
	"sync"
	"time"
)

const (
	// maxPrefillShare is the part of a runner's prefill rate at which prompts are sent
	// to it. A runner reads prompts between the tokens of its streams: if prompts
	// arrive without a gap, no stream's next event is on time. Of streams whose runner
	// receives 14 prompts of 700 tokens within 150 ms, 71 in 100 have a pause of over
	// 150 ms; with seven prompts, 9 in 100. Reading seven prompts takes two thirds of
	// those 150 ms, or more if none of their shared prefixes is cached on the runner.
	maxPrefillShare = 0.75
	// senderShare is the share of all daemons that send to one runner at a time: each
	// daemon prefers the runners of its own data centre.
	senderShare = 0.4
	// minSamples is how many first events are needed for an estimate of the prefill
	// rate. Until then prompts are sent without delay.
	minSamples = 50
	// rateGainUp and rateGainDown are the weights of a new sample that is above or
	// below the estimated prefill rate. Their ratio makes the estimate the rate that one
	// sample in twenty exceeds, as most first events include other waiting time as well.
	rateGainUp, rateGainDown = 0.05, 0.05 / 19
	// maxWaitShare bounds a prompt's delay as a fraction of its route's target latency:
	// most of the target is needed for reading the prompt.
	maxWaitShare = 0.25
	// minWait is the shortest delay that a timer can keep.
	minWait = 2 * time.Millisecond
)

// Pacer spreads the prompts that a daemon sends to a runner. Requests come in bursts, and
// each daemon sends to the runner that it considers least busy, so that many prompts reach
// one runner at once. Their own first events are delayed in any case, but those of all other
// streams there are delayed needlessly. A prompt is held here until the ones before it are
// likely to have been read, or sent to a runner where it need not wait.
type Pacer struct {
	mu       sync.Mutex
	services map[string]*stats
	next     map[string]time.Time // by runner: when the next prompt may be sent
}

// stats are measurements of the runners of a service.
type stats struct {
	prefillRate    float64 // prompt tokens per second
	samples        int
	streamDuration time.Duration // moving average from a stream's first event to its last
}

// streamDurationGain is the weight of a new stream in the moving average of stream durations.
// Some 50 streams, which a daemon has in a second or two, show that runners have become
// slower.
const streamDurationGain = 0.02

// ObserveStream records the time from the first to the last event of a complete stream.
func (p *Pacer) ObserveStream(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(service)
	Smooth(&r.streamDuration, took, streamDurationGain)
}

// Smooth moves an exponential moving average by a sample, whose weight is gain. The first sample sets an average of 0.
func Smooth[N ~int64 | ~float64](mean *N, sample N, gain float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += N(gain * float64(sample-*mean))
}

// StreamDuration returns the average duration of a service's streams, or 0 if none has ended
// yet.
func (p *Pacer) StreamDuration(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statsOf(service).streamDuration
}

// PrefillTime returns how long runners of a service need to read a prompt, or 0 if there are too few
// measurements.
func (p *Pacer) PrefillTime(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(service)
	if r.samples < minSamples || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.prefillRate * float64(time.Second))
}

// statsOf returns the measurements of a service. The caller holds the lock.
func (p *Pacer) statsOf(service string) *stats {
	r := p.services[service]
	if r == nil {
		r = &stats{}
		p.services[service] = r
	}
	return r
}

// NewPacer returns a Pacer without measurements.
func NewPacer() *Pacer { return &Pacer{services: map[string]*stats{}, next: map[string]time.Time{}} }

// ObserveFirstEvent records the time from sending a prompt to its first event.
func (p *Pacer) ObserveFirstEvent(service string, tokens int, first time.Duration) {
	if tokens <= 0 || first <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(service)
	rate := float64(tokens) / first.Seconds()
	r.samples++
	switch {
	case r.samples == 1:
		r.prefillRate = rate
	case rate > r.prefillRate:
		r.prefillRate += rateGainUp * (rate - r.prefillRate)
	default:
		r.prefillRate += rateGainDown * (rate - r.prefillRate)
	}
}

// Wait returns how long a prompt for a runner would be delayed now.
func (p *Pacer) Wait(now time.Time, runner string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.next[runner].Sub(now))
}

// Reserve reserves the next send to a runner for a prompt and returns how long to delay it,
// at most maxWaitShare of the target. daemons is the number of daemons that send prompts.
func (p *Pacer) Reserve(now time.Time, service, runner string, tokens, daemons int, target time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(service)
	if r.samples < minSamples || tokens <= 0 {
		return 0
	}
	rate := r.prefillRate * maxPrefillShare / max(1, senderShare*float64(daemons))
	at := p.next[runner]
	if at.Before(now) {
		at = now
	}
	p.next[runner] = at.Add(time.Duration(float64(tokens) / rate * float64(time.Second)))
	wait := min(at.Sub(now), time.Duration(maxWaitShare*float64(target)))
	if wait < minWait {
		return 0
	}
	return wait
}

// Forget drops the reservations for a runner that is gone or has started again.
func (p *Pacer) Forget(runner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.next, runner)
}
