package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primroseward/coordination/load"
	"primroseward/core"
	"primroseward/io/logs"
)

const (
	// maxForwards bounds how many daemons a request is forwarded to, one after the other.
	maxForwards = 3
	// pathRetry is the Retry-After time of a daemon without a path that no other one helps.
	pathRetry = 300 * time.Millisecond
)

// Helpers are the other daemons, which send requests to runners for this one while it does not
// reach them.
type Helpers interface {
	Sender
	// Choose returns a daemon that has a path to the runners, as a runner without a service, or
	// nil if there is none. exclude lists daemons that must not be chosen. Daemons that report one
	// of the given runners as down, or are known not to reach it, are chosen only if there is no other.
	Choose(exclude map[string]bool, runners []core.Code) *core.Runner
	// RecordUnreached records that a daemon does not reach the given runners either.
	RecordUnreached(daemon string, runners []core.Code)
	// Names returns the names of the daemons.
	Names() []string
	// Loads returns the load of the daemons by forwarded requests.
	Loads() *load.Table
}

// WithHelpers sets the daemons that requests are forwarded to, this daemon's name, and the function
// that reports whether this daemon has lost its path to the runners.
func WithHelpers(self string, h Helpers, pathLost func() bool) Option {
	return func(d *Dispatcher) { d.self, d.helpers, d.pathLost = self, h, pathLost }
}

// isDaemon reports whether a request goes to another daemon instead of a runner.
func isDaemon(r *core.Runner) bool { return r.Service == "" }

// loadsOf returns the table that tracks the load of a runner or a daemon.
func (j *job) loadsOf(r *core.Runner) *load.Table {
	if isDaemon(r) {
		return j.d.helpers.Loads()
	}
	return j.d.loads
}

// senderTo returns what sends to a runner or a daemon.
func (j *job) senderTo(r *core.Runner) Sender {
	if isDaemon(r) {
		return j.d.helpers
	}
	return j.d.sender
}

// chooseHelper returns the daemon to forward the request to, or nil.
func (j *job) chooseHelper(reason string) *core.Runner { return j.chooseHelperExcept(reason, j.tried) }

// chooseHelperExcept is chooseHelper with a list of daemons that must not be chosen.
func (j *job) chooseHelperExcept(reason string, exclude map[string]bool) *core.Runner {
	if !j.mayForward() {
		return nil
	}
	r := j.d.helpers.Choose(exclude, j.omittedDown())
	if r != nil {
		j.log.Info(logs.RequestForwarded, zap.String("to", r.ID), zap.String("reason", reason), zap.Int("forwards", j.forwards), zap.Int("runs", j.runs),
			zap.Duration("left", j.deadline.Sub(j.d.clock.Now())), j.omittedField())
	}
	return r
}

// omittedDown returns the runners that were left out of the latest choice as down.
func (j *job) omittedDown() []core.Code {
	var out []core.Code
	for _, o := range j.omitted {
		if o.state.Load.Down {
			out = append(out, core.CodeOf(o.id))
		}
	}
	return out
}

// exitConfirmed reports whether daemons that this one has forwarded requests to have lately found the
// same runners down. Until then the cause may be this daemon's path to them; of those that do not answer
// this daemon alone it is known to be.
func (j *job) exitConfirmed() bool {
	for _, o := range j.omitted {
		if o.state.Load.Unanswering || o.state.Load.Down && !j.d.loads.ExitConfirmed(o.id) {
			return false
		}
	}
	return true
}

// confirmExits records that other daemons do not reach the runners either that this one left out as
// down.
func (j *job) confirmExits() {
	for _, o := range j.omitted {
		if o.state.Load.Down {
			j.d.loads.ConfirmExit(o.id)
		}
	}
}

// mayForward reports whether the request may be passed on to another daemon. One that another daemon
// has forwarded may not.
func (j *job) mayForward() bool {
	return j.d.helpers != nil && j.q.Forward == nil && j.forwards < maxForwards
}

// hasHelper reports whether a daemon is left that the request may be passed on to.
func (j *job) hasHelper() bool { return j.mayForward() && j.d.helpers.Choose(j.tried, nil) != nil }

// releaseCounts gives back what was counted for the request when it arrived, as another daemon
// counts it.
func (j *job) releaseCounts() {
	if j.countedElsewhere {
		return
	}
	j.refundAllowance()
	j.refundLimit()
	j.leaveLimits()
	j.countedElsewhere = true
}

// forward sends the request to another daemon, which may send it to runners as often as is left
// but one time, so that it can be sent once more if that daemon fails.
func (j *job) forward(ctx context.Context, to *core.Runner) (*core.Reply, *core.Runner, error) {
	left := j.deadline.Sub(j.d.clock.Now())
	if left <= 0 {
		return nil, to, eris.Wrap(core.ErrNotSent, "deadline exceeded")
	}
	j.releaseCounts()
	j.forwards++
	j.tried[to.ID] = true
	j.sentAt, j.stage, j.framing, j.run = j.d.clock.Now(), stageSent, "", core.NoRun{}
	j.granted, j.statedRuns = max(1, j.maxRuns()-j.runs-1), j.runs
	out := core.Outgoing{Timeout: left, Priority: -1, LastEvent: j.lastEvent, Forward: &core.Forward{
		From: j.d.self, Runs: j.runs, Attempts: j.granted, Counted: j.counted, HasKey: j.q.Workspace != nil, Key: j.q.Key, Caller: j.q.Caller, Origin: j.origin,
	}}
	j.counted = true // from now on by the other daemon, if not before
	endLoad := j.d.helpers.Loads().Begin(to.ID)
	sending, cancel := context.WithCancel(ctx)
	j.cancelSend = cancel
	j.answerBegan = func() {}
	reply, next, err := j.sendWithStallCheck(ctx, sending, to, out)
	if next != nil || err != nil {
		cancel()
		endLoad()
	}
	if next != nil {
		return next.reply, next.runner, nil
	}
	if err != nil {
		return nil, to, err
	}
	j.stage, j.framing, j.answeredAt = stageHead, reply.Framing, j.d.clock.Now()
	runs := max(1, reply.Info.Runs-j.statedRuns)
	j.runs, j.granted = j.runs+runs, max(0, j.granted-runs)
	reply.Body = &closeHook{ReadCloser: reply.Body, onClose: func() {
		cancel()
		endLoad()
	}}
	return reply, to, nil
}

// handleForwardError is handleError for a request that was forwarded to another daemon.
func (j *job) handleForwardError(to *core.Runner, err error) error {
	var refusal *core.RequestError
	if errors.As(err, &refusal) {
		return j.handleForwardRefusal(to, refusal)
	}
	j.recordForwardError(to, err)
	if errors.Is(err, core.ErrNotSent) || j.takeRetry() {
		return nil
	}
	return core.MayHaveRun("answer_lost", err.Error())
}

// recordForwardError is recordError for a request that was forwarded to another daemon.
func (j *job) recordForwardError(to *core.Runner, err error) {
	var refusal *core.RequestError
	if errors.As(err, &refusal) {
		j.recordForwardRefusal(to, refusal)
		return
	}
	loads := j.d.helpers.Loads()
	loads.RecordFailure(to.ID)
	if errors.Is(err, core.ErrNotSent) {
		if errors.Is(err, core.ErrNoListener) {
			loads.ConnectionRefused(to.ID)
		}
		j.d.metrics.forwarded(forwardUnreachable)
		j.log.Info(logs.ForwardFailed, zap.String("to", to.ID), zap.Bool("sent", false), logs.Err(err))
		return
	}
	j.runs, j.granted = j.runs+j.granted, 0 // the daemon may have used them all
	j.d.metrics.forwarded(forwardLost)
	j.log.Warn(logs.ForwardFailed, zap.String("to", to.ID), zap.Bool("sent", true), zap.Int("runs", j.runs), logs.Err(err))
}

// handleForwardRefusal decides what follows the refusal of another daemon. If that one reaches no
// runner either, another one is asked.
func (j *job) handleForwardRefusal(to *core.Runner, e *core.RequestError) error {
	j.recordForwardRefusal(to, e)
	if e.Outcome != core.OutcomeNotRun && (e.Runs == 0 || e.Runs > j.statedRuns) { // it may have run there
		if j.takeRetry() {
			return nil
		}
		return e
	}
	switch e.Code {
	case core.CodePath, codeUnreachable, errDown.Error(), errExhausted.Error(), core.CodeOverloaded, core.CodeLeaving, core.CodeNoConfig, core.CodeNoSettings, core.CodeNoRoute:
		if j.hasHelper() && (!e.Arrived || j.spendOnNext(j.reserveRetry(retryRejected))) {
			return nil
		}
	}
	if e.Code == errDown.Error() || e.Code == errExhausted.Error() {
		j.confirmExits()
	}
	if j.runs > 0 {
		lost := core.MayHaveRun(e.Code, e.Message)
		lost.Arrived = e.Arrived
		return lost
	}
	return e
}

// recordForwardRefusal records the refusal of another daemon.
func (j *job) recordForwardRefusal(to *core.Runner, e *core.RequestError) {
	j.granted = 0
	j.d.metrics.forwarded(forwardRefused)
	j.log.Info(logs.ForwardRefused, zap.String("to", to.ID), zap.String("code", e.Code), zap.String("outcome", string(e.Outcome)), zap.Int("runs", e.Runs), zap.Duration("retry", e.Retry))
	j.runs += max(0, e.Runs-j.statedRuns)
	if e.Outcome != core.OutcomeNotRun {
		j.runs = max(1, j.runs)
		return
	}
	if e.Code == errDown.Error() || e.Code == errExhausted.Error() || e.Code == codeUnreachable {
		j.d.helpers.RecordUnreached(to.ID, j.omittedDown())
	}
}
