package balance

import (
	"sync"
	"time"

	"primroseward/coordination/policy"
)

// gain is the weight of a new measurement in a moving average. Some 50 requests, which a daemon has in a second or
// two, show that runners have become slower.
const gain = 0.02

const (
	// ranks is how many ranks requests have; 0 is the most urgent.
	ranks = 10
	// minAheadShare bounds what is measured of a rank, which may have had no request lately.
	minAheadShare = 0.1
)

// Estimator keeps moving averages of the requests of each service.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*means
}

type means struct {
	duration time.Duration // from the send to the end of the answer, without the wait for a slot
	tokens   float64       // that a request needs of a runner's memory
	// byRank is how long runners worked on the requests of each rank, in seconds per request of the service.
	byRank [ranks]float64
}

// NewEstimator returns an Estimator without measurements.
func NewEstimator() *Estimator { return &Estimator{services: map[string]*means{}} }

// of returns the averages of a service. The caller holds the lock.
func (e *Estimator) of(service string) *means {
	m := e.services[service]
	if m == nil {
		m = &means{}
		e.services[service] = m
	}
	return m
}

// ObserveAnswer records the time from the send of a plain request to the end of its answer, at a runner that was
// believed to have some requests. The wait for a slot that follows from these is left out: otherwise a queue would
// lengthen the duration, and with it the wait that is expected of the next requests.
func (e *Estimator) ObserveAnswer(service string, took time.Duration, requests, slots int) {
	if took <= 0 {
		return
	}
	slots = max(1, slots)
	took = time.Duration(float64(took) * float64(slots) / float64(max(slots, requests+1)))
	e.mu.Lock()
	defer e.mu.Unlock()
	policy.Smooth(&e.of(service).duration, took, gain)
}

// Duration returns the mean duration of a service's plain requests, or 0 if none has ended yet.
func (e *Estimator) Duration(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.of(service).duration
}

// ObserveTokens records what a request needs of a runner's memory of some size.
func (e *Estimator) ObserveTokens(service string, tokens, memory int) {
	if tokens <= 0 || tokens > memory {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	policy.Smooth(&e.of(service).tokens, float64(tokens), gain)
}

// Tokens returns what a service's requests need of a runner's memory in the mean, or 0 if that is not known.
func (e *Estimator) Tokens(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int(e.of(service).tokens)
}

// ObserveStream records how long a runner worked on a stream of a rank.
func (e *Estimator) ObserveStream(service string, rank int, took time.Duration) {
	if took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.of(service)
	for r := range m.byRank {
		m.byRank[r] -= gain * m.byRank[r]
	}
	m.byRank[min(max(0, rank), ranks-1)] += gain * took.Seconds()
}

// AheadShare returns the part of a service's requests in progress that are at least as urgent as a rank, 0 if that is
// not known.
func (e *Estimator) AheadShare(service string, rank int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	ahead, all := 0.0, 0.0
	for r, seconds := range e.of(service).byRank {
		all += seconds
		if r <= rank {
			ahead += seconds
		}
	}
	if all == 0 {
		return 0
	}
	return max(minAheadShare, ahead/all)
}
