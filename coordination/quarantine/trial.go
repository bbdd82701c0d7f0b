package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/peers"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// trialTime is how long a counter lets nothing else through once it has let one run be
	// tried; a stream is served or has ended its runner by then.
	trialTime = 15 * time.Second
	// trialLimit is how long a daemon waits for leave to try a run, trialResend repeats
	// the question, and trialRetry is when a caller may come back where leave is not given.
	trialLimit  = 200 * time.Millisecond
	trialResend = 60 * time.Millisecond
	trialRetry  = 2 * time.Second
)

// askTrial asks the first counter of a request for leave to try a run.
func (q *Quarantine) askTrial(ctx context.Context, d core.Digest) bool {
	counter := countersOf(d, q.net.Alive())[0]
	if counter.Name == q.net.Self().Name {
		return q.grant(d)
	}
	ctx, cancel := context.WithTimeout(ctx, trialLimit)
	defer cancel()
	var granted bool
	if err := q.net.Ask(ctx, counter, kindTrial, d, &granted, trialResend); err != nil {
		q.log.Info(logs.TrialRefused, zap.Stringer("digest", d), zap.String("counter", counter.Name), logs.Err(err))
		return false
	}
	return granted
}

func (q *Quarantine) handleTrial(from peers.Peer, body json.RawMessage, answer func(any)) {
	var d core.Digest
	if !q.read(from, body, &d) {
		return
	}
	answer(q.grant(d))
}

// grant lets one run of a request be tried, unless one is being tried. A question that is
// repeated, as its answer was lost, gets no leave: the caller comes again.
func (q *Quarantine) grant(d core.Digest) bool {
	r, ok := q.table.Held(d)
	now := q.clock.Now()
	if !ok || r.Left(now) > 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if at, tried := q.trials[d]; tried && now.Sub(at) < trialTime {
		return false
	}
	q.trials[d] = now
	return true
}
