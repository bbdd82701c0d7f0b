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
	// trialDuration is how long a counter grants no further trial of a request after one. By
	// then a stream has been served or has brought down its runner.
	trialDuration = 15 * time.Second
	// trialTimeout bounds the wait for a grant, trialResend is the interval at which the
	// request for it is resent, and trialRetry is the retry time of a caller whose trial is
	// not granted.
	trialTimeout = 200 * time.Millisecond
	trialResend  = 60 * time.Millisecond
	trialRetry   = 2 * time.Second
)

// requestTrial requests a trial from the first counter of a request.
func (q *Quarantine) requestTrial(ctx context.Context, d core.Digest) bool {
	counter := countersOf(d, q.net.Alive())[0]
	if counter.Name == q.net.Self().Name {
		return q.grantTrial(d)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var granted bool
	if err := q.net.Request(ctx, counter, kindTrial, d, &granted, trialResend); err != nil {
		q.log.Info(logs.TrialRefused, zap.Stringer("digest", d), zap.String("counter", counter.Name), logs.Err(err))
		return false
	}
	return granted
}

func (q *Quarantine) handleTrial(from peers.Peer, body json.RawMessage, answer func(any)) {
	var d core.Digest
	if !peers.Decode(q.log, from, body, &d) {
		return
	}
	answer(q.grantTrial(d))
}

// grantTrial grants one trial of a request, unless another one is in progress. A resent
// message whose answer was lost gets no grant; the caller tries again later.
func (q *Quarantine) grantTrial(d core.Digest) bool {
	r, ok := q.table.Held(d)
	now := q.clock.Now()
	if !ok || r.Remaining(now) > 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if at, tried := q.trials[d]; tried && now.Sub(at) < trialDuration {
		return false
	}
	q.trials[d] = now
	return true
}
