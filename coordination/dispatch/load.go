package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"primroseward/coordination/balance"
	"primroseward/coordination/policy"
)

// ErrExpected is the error of a Placer if no runner has the model, and the time that is returned with it is when
// the first replica is expected to serve.
var ErrExpected = errors.New("the model is expected to be loaded")

const (
	// expectationInterval is how often the holder of orders is asked when a replica is expected.
	expectationInterval = time.Second
	// sharedPause is after how long a request that got a former answer asks again, as another one is asking the holder
	// now. Answers take a few milliseconds, 250 at most.
	sharedPause = 100 * time.Millisecond
)

// expectation is when the first replica of a model that no runner has is expected to serve.
type expectation struct {
	at      time.Time // zero: not known
	renewAt time.Time // from when the holder of orders is to be asked again
	// loadedSeen is set once a request for an adapter has asked for it after a runner was seen to have its model.
	loadedSeen bool
}

// left returns the time until the replica is expected, 0 if that is not known.
func (e expectation) left(now time.Time) time.Duration {
	if e.at.IsZero() {
		return 0
	}
	return max(0, e.at.Sub(now))
}

// sharedExpectation is the holder's latest answer, which the requests of this daemon share.
type sharedExpectation struct {
	at      time.Time
	asked   time.Time // when the holder gave it
	pending bool      // a request is asking the holder again
}

// expectations are the answers of the holder of orders, by model and version.
type expectations struct {
	mu    sync.Mutex
	known map[PlacementKey]*sharedExpectation
}

// current returns the answer that a request may use instead of asking the holder, and when it has to be renewed. If
// there is none, ok is false, and the request has to ask and call update, forget or release.
func (x *expectations) current(key PlacementKey, now time.Time) (at, renewAt time.Time, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.known[key]
	if s == nil {
		return at, renewAt, false
	}
	renewAt = s.asked.Add(expectationInterval)
	switch {
	case now.Before(renewAt):
	case s.pending && now.Before(renewAt.Add(expectationInterval)):
		renewAt = now.Add(sharedPause)
	default:
		s.pending = true
		return at, renewAt, false
	}
	return s.at, renewAt, true
}

// update records an answer that was given at a time, and drops those that nobody has renewed.
func (x *expectations) update(key PlacementKey, at, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for k, s := range x.known {
		if now.Sub(s.asked) > 2*expectationInterval {
			delete(x.known, k)
		}
	}
	if x.known == nil {
		x.known = map[PlacementKey]*sharedExpectation{}
	}
	x.known[key] = &sharedExpectation{at: at, asked: now}
}

// forget drops an answer, as the holder has given another one or none.
func (x *expectations) forget(key PlacementKey) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.known, key)
}

// release lets another request ask the holder, as the one that was to ask has ended.
func (x *expectations) release(key PlacementKey) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.known[key]; s != nil {
		s.pending = false
	}
}

// askHolder asks the holder of orders for the request's model or adapter. Requests for a model that no runner has share
// its answer, except for those that wait at the holder, which it answers later, and those that do not wait for loads.
func (j *job) askHolder(ctx context.Context, key PlacementKey) (runner string, err error) {
	j.asked = key
	j.asked.Wait = 0
	fresh := !j.load.loadedSeen && j.adapterMissing()
	loadedSeen := j.load.loadedSeen || fresh
	shares := j.d.balanced() && j.engine() && key.Wait == 0 && !j.resumed && j.q.Forward == nil
	if shares && !fresh {
		if at, renewAt, ok := j.d.expectations.current(key, j.d.clock.Now()); ok {
			j.load = expectation{at, renewAt, loadedSeen}
			return "", ErrExpected
		}
	}
	runner, retry, err := j.d.placer.Place(ctx, key)
	now := j.d.clock.Now()
	j.load = expectation{loadedSeen: loadedSeen}
	expected := errors.Is(err, ErrExpected)
	switch {
	case expected:
		j.load.at, j.load.renewAt = now.Add(retry), now.Add(expectationInterval)
	case err != nil:
		j.retryAfter = retry
	case j.isWaitingForLoad():
		j.load.at, j.load.renewAt = now, now.Add(expectationInterval) // this daemon is about to learn of the replica
	}
	switch {
	case !shares:
	case expected:
		j.d.expectations.update(key, j.load.at, now)
	case ctx.Err() != nil:
		j.d.expectations.release(key)
	default:
		j.d.expectations.forget(key)
	}
	return runner, err
}

// lacksRunner reports whether no runner that is up may serve the request.
func (j *job) lacksRunner() bool {
	_, candidates := j.candidates()
	return policy.AllDown(candidates)
}

// adapterMissing reports whether a runner has the request's model, but its adapter has to be loaded there.
func (j *job) adapterMissing() bool { return j.q.Adapter != "" && j.capacityElsewhere() }

// adapterGone reports whether the request's adapter and its model are only at runners that are down.
func (j *job) adapterGone(candidates []policy.Candidate) bool {
	return j.q.Adapter != "" && j.d.balanced() && len(candidates) > 0 && policy.AllDown(candidates) && !j.capacityElsewhere()
}

// isWaitingForLoad reports whether the request waits in the backlog until its model is loaded.
func (j *job) isWaitingForLoad() bool { return j.wait != nil && j.wait.loads }

// renewsExpectation reports whether the holder of orders is to be asked again when a replica is expected. A request
// for an adapter asks once more when its model has been loaded, as the adapter is loaded on request.
func (j *job) renewsExpectation() bool {
	if j.wait == nil || j.load.at.IsZero() || j.runs > 0 {
		return false
	}
	return !j.d.clock.Now().Before(j.load.renewAt) || !j.load.loadedSeen && j.adapterMissing()
}

// awaitsLoad reports whether the request may wait until a runner has loaded its model.
func (w *roomWait) awaitsLoad() bool {
	j := w.j
	if j.load.at.IsZero() || j.runs > 0 {
		return false
	}
	r := w.request()
	return r.MayAwait(j.d.clock.Now(), j.load.at)
}

// renewExpectation asks the holder of orders again, if that is due, when a replica is expected, for a request behind
// others that look for it. It returns false if the request may not wait any longer.
func (w *roomWait) renewExpectation(ctx context.Context) bool {
	j := w.j
	if !w.loads || j.d.clock.Now().Before(j.load.renewAt) {
		return true
	}
	end := j.occupied()
	_, _ = j.askHolder(ctx, j.asked) // without an answer no replica is expected
	end()
	return ctx.Err() != nil || w.awaitsLoad()
}

// loadRetry returns when a request that is refused as no runner has its model should come back: when a replica is
// expected, at random within a spread. It returns false if that is not known.
func (j *job) loadRetry(code string) (time.Duration, bool) {
	if code != errAbsent.Error() && code != errDown.Error() || j.load.at.IsZero() || !j.d.balanced() {
		return 0, false
	}
	now := j.d.clock.Now()
	d := balance.Decision{Room: j.load.left(now)}
	return d.RetryAfter(j.work(), j.deadline.Sub(now), j.d.random), true
}
