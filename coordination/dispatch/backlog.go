package dispatch

import (
	"context"
	"net/http"
	"reflect"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/backlog"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/tree"
)

// codeChanged is the code of refusals of requests that waited while their settings changed. changedRetry is
// when their callers may return: the new settings apply by then.
const (
	codeChanged  = "settings_changed"
	changedRetry = 300 * time.Millisecond
)

// rejectedPause is the shortest time from a send to the next one to the same runner, if that has rejected the
// request. Counts of the fleet are renewed at this interval.
const rejectedPause = 100 * time.Millisecond

// Outcomes of waits for room, as labels of metrics.
const (
	waitRoom      = "room"
	waitExpired   = "expired"
	waitDisplaced = "displaced"
	waitTooMany   = "too_many" // it did not wait, as the backlog was full or the request had no time left
	waitEnded     = "ended"    // the caller has gone, the deadline has passed or the daemon ends
	waitChanged   = "changed"  // the settings or keys have changed, or no runner may serve it any more
)

// roomWait is the wait of a request until a runner has room.
type roomWait struct {
	j       *job
	waiter  *backlog.Waiter // nil: it has not begun
	config  *core.Config    // as of the latest check
	tree    *tree.Tree
	outcome string
	// queues is set if the request accepts a runner's queue, as the backlog has no room for it.
	queues bool
	// loads is set if the request waits until its model is loaded.
	loads bool
}

// mayWait reports whether the request may wait for room at this daemon. One that another daemon has forwarded
// waits there. Requests to plain services last some 10 ms, and runners queue several times their slots.
func (w *roomWait) mayWait(ctx context.Context) bool {
	return w.j.d.balanced() && w.j.engine() && w.j.q.Forward == nil && ctx.Err() == nil
}

// request describes the request to the backlog.
func (w *roomWait) request() backlog.Request {
	j := w.j
	key := j.service + "\x00" + j.q.Model + "\x00" + j.q.Adapter
	if j.origin != nil {
		key += "\x00" + j.origin.Version
	}
	if len(j.tried) > 0 && !j.onlyRejected() {
		key += "\x00" + j.q.ID // other runners may serve it than those of the same model
	}
	return backlog.Request{Key: key, Rank: j.rank(), Arrived: j.q.Arrived, Target: j.route.Target, GiveUp: min(j.eventWait(), j.deadline.Sub(j.q.Arrived)), Bytes: len(j.q.Body), Yields: j.yields, AwaitsLoad: w.loads}
}

// awaitsRoom reports whether room at the runners that may serve the request is all that it lacks. One whose
// workspace uses more than its share has the time only if it is patient: others go first for as long as the runners
// are full, which live requests do not outlast. One that all runners have rejected must still have time to begin after
// the pause that follows a rejection. One whose model no runner has, or only runners that are down, awaits a replica that
// is expected while its caller still waits.
func (w *roomWait) awaitsRoom(err error) bool {
	absent := err == errAbsent || err == errDown
	w.loads = absent && w.awaitsLoad()
	switch {
	case w.loads:
		w.j.fullRunners = nil
		return true
	case absent && w.waiter != nil && !w.j.load.at.IsZero():
		w.outcome = waitExpired // a replica is expected, but too late
	case err == errFull:
		return true
	case err == errShare:
		r := w.request()
		kind, _, _ := r.Plan(w.j.d.clock.Now())
		return kind == backlog.Patient
	case err == errExhausted && w.j.onlyRejected():
		r := w.request()
		_, _, ok := r.Plan(w.j.sentAt.Add(rejectedPause))
		return ok
	}
	return false
}

// pausesAfterRejection reports whether the request must not be sent yet, as all runners have just rejected it.
func (j *job) pausesAfterRejection() bool {
	return j.onlyRejected() && j.d.clock.Since(j.sentAt) < rejectedPause
}

// onlyRejected reports whether the request has been sent, and all runners that it was sent to had no room.
func (j *job) onlyRejected() bool {
	return j.rejections > 0 && j.rejections == j.sends && j.runs == 0 && j.forwards == 0 && !j.misdirected
}

// beforeChoice makes the request wait behind those that compete with it for the same room and go before it. If no runner
// that is up may serve it, there is none to compete for, and it finds out at once whether a replica is expected in its
// time. It also sets whether the next choice is for a free slot only.
func (w *roomWait) beforeChoice(ctx context.Context) error {
	j := w.j
	j.freeSlotOnly, j.mayYield = false, false
	if !w.mayWait(ctx) {
		return nil
	}
	r := w.request()
	if w.waiter == nil && j.d.backlog.HasAhead(&r) && !j.lacksRunner() {
		if _, err := w.await(ctx); err != nil {
			return err
		}
	}
	j.freeSlotOnly, j.mayYield = r.NeedsFreeSlot(j.d.clock.Now()) && !w.queues, j.runs == 0
	return nil
}

// await waits until there may be room. It returns false without an error if the request may not wait any longer.
func (w *roomWait) await(ctx context.Context) (bool, error) {
	j := w.j
	if !w.mayWait(ctx) || !w.join() {
		return false, nil
	}
	pauses := j.pausesAfterRejection()
	w.waiter.SetOccupied(pauses) // it must not block those behind it, which other runners may serve
	for {
		signal := w.waiter.Wait(ctx)
		if pauses && !j.pausesAfterRejection() {
			pauses = false
			w.waiter.SetOccupied(false)
		}
		switch signal {
		case backlog.Done:
			w.outcome = waitEnded
			return false, j.contextError(ctx, core.ErrNotSent)
		case backlog.Expired:
			w.outcome = waitExpired
			return false, nil
		case backlog.Displaced:
			w.outcome = waitDisplaced
			return false, nil
		case backlog.Look:
			if err := w.checkSettings(); err != nil {
				return false, err
			}
			if pauses {
				continue
			}
			if j.onlyRejected() {
				j.tried = map[string]bool{} // runners that were full may have room now
			}
			return true, nil
		case backlog.Check:
			if err := w.checkSettings(); err != nil {
				return false, err
			}
			if !w.renewExpectation(ctx) {
				w.outcome = waitExpired
				return false, nil
			}
		}
	}
}

// acceptsQueue reports whether the request should look for a runner once more, as it may not wait for a free slot.
func (w *roomWait) acceptsQueue() bool {
	first := w.j.freeSlotOnly && !w.queues
	w.queues = w.queues || first
	return first
}

// join adds the request to the backlog, unless it waits there already.
func (w *roomWait) join() bool {
	j := w.j
	if w.waiter == nil {
		if w.waiter = j.d.backlog.Join(w.request()); w.waiter == nil {
			j.d.metrics.waited(waitTooMany, 0)
			return false
		}
		w.config, w.tree = j.d.catalog.Config(), j.d.treeInForce()
		j.d.metrics.waiting(j.d.backlog.Len())
	}
	if w.loads {
		w.waiter.AwaitLoad()
	}
	w.waiter.Looked(j.fullRunners, j.yields)
	return true
}

// checkSettings refuses the request if its key is gone, or if its settings have changed since it began to wait
// or are no longer confirmed.
func (w *roomWait) checkSettings() error {
	j := w.j
	if config := j.d.catalog.Config(); config != w.config {
		w.config = config
		if err := j.authorize(); err != nil {
			return err
		}
	}
	if err := j.checkFresh(); err != nil {
		return err
	}
	t := j.d.treeInForce()
	if t == w.tree {
		return nil
	}
	w.tree = t
	if next := j.effectiveIn(t); !reflect.DeepEqual(next, j.effective) {
		return j.refuseBySettings("", core.NotRun(http.StatusServiceUnavailable, codeChanged, "the settings have changed while the request waited", changedRetry))
	}
	return nil
}

// occupied marks the request as one that waits for something else than room, until the returned function is called.
func (j *job) occupied() (end func()) {
	if j.wait == nil || j.wait.waiter == nil {
		return func() {}
	}
	w := j.wait.waiter
	w.SetOccupied(true)
	return func() { w.SetOccupied(false) }
}

// end ends the wait, if there was one. err is the error of the choice.
func (w *roomWait) end(err error) {
	j := w.j
	j.wait, j.freeSlotOnly, j.mayYield = nil, false, false
	if w.waiter == nil {
		return
	}
	switch {
	case err == nil:
		w.outcome = waitRoom
	case w.outcome == "":
		w.outcome = waitChanged
	}
	s := w.waiter.Leave()
	j.d.metrics.waited(w.outcome, s.Waited)
	j.d.metrics.waiting(s.Waiting)
	j.log.Info(logs.RoomAwaited, zap.String("outcome", w.outcome), zap.Stringer("kind", s.Kind), zap.Bool("load", s.AwaitsLoad), zap.Duration("waited", s.Waited), zap.Int("position", s.Ahead), zap.Int("waiting", s.Waiting),
		zap.Int("rank", j.rank()), zap.Bool("yields", j.yields), zap.String("model", j.q.Model), zap.Int("candidates", len(j.fullRunners)), zap.Duration("target", j.route.Target))
}

// noteFull records the runners that are all full.
func (j *job) noteFull(candidates []policy.Candidate) {
	if !j.d.balanced() {
		return
	}
	j.fullRunners = make([]core.Code, len(candidates))
	for i := range candidates {
		j.fullRunners[i] = core.CodeOf(candidates[i].ID)
	}
}
