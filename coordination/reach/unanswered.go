package reach

import (
	"context"
	"time"

	"go.uber.org/zap"

	"primroseward/coordination/load"
	"primroseward/io/logs"
)

const (
	// maxAnswerWait is for how long requests may wait for a runner until it is found out whether it
	// answers other daemons. Callers wait for two seconds.
	maxAnswerWait = 700 * time.Millisecond
	// shortAnswerWait applies once the path to a runner is known to be lost: others are often lost with
	// it.
	shortAnswerWait = 400 * time.Millisecond
	// overtakenMargin is by how much later than these requests another daemon must have sent one that
	// is answered, as the question takes some time too.
	overtakenMargin = 100 * time.Millisecond
	// peersTimeout is the longest wait for what other daemons know.
	peersTimeout = 200 * time.Millisecond
	// inquiryInterval is the least time between two inquiries about a runner, or two checks of one that
	// does not answer. At most maxInquiries run at the same time.
	inquiryInterval = 500 * time.Millisecond
	maxInquiries    = 8
)

// PeerView is what other daemons know of a runner.
type PeerView struct {
	Answers string // daemon that it has answered; empty: none is known
	Waits   bool   // another daemon waits for an answer too
}

// Peers are the other daemons, which may reach a runner that this one does not.
type Peers interface {
	// AnsweredWithin returns whether a runner has begun to answer a request of another daemon that was
	// sent within the given time.
	AnsweredWithin(ctx context.Context, runner string, d time.Duration) PeerView
	// HeardWithin returns what other daemons with a path have received within the given time from
	// runners that do not answer checks of this one, and from any. Daemons that know nothing may be
	// left out.
	HeardWithin(ctx context.Context, runners []string, d time.Duration) []load.Heard
}

// WithPeers sets the other daemons. Without them the loss of the path to single runners is not
// noticed.
func WithPeers(p Peers) Option { return func(m *Monitor) { m.peers = p } }

// silenceOfRunners reports whether silence on connections that were accepted is the runners' own instead
// of a loss of this daemon's path. checked are the runners that do not answer checks, for the given time. A
// daemon that has received something from one of them shows a loss. Otherwise it is the runners if others send to this daemon, or
// to one that waits for all the checked ones too, or if no daemon has received anything and some wait.
func (m *Monitor) silenceOfRunners(ctx context.Context, checked []string, wait time.Duration) bool {
	var views []load.Heard
	if m.peers != nil {
		asking, cancel := context.WithTimeout(ctx, peersTimeout)
		views = m.peers.HeardWithin(asking, checked, wait-overtakenMargin)
		cancel()
	}
	own := m.loads.HeardWithin(checked, wait)
	others, same, heard := own.Any || own.Asked, false, false
	for _, v := range views {
		switch {
		case v.Asked && !own.Asked:
			return false
		case v.Any && v.Waiting == len(checked):
			others = true
		case v.Any:
			heard = true
		case v.Waiting > 0:
			same = true
		}
	}
	silent := others || same && !heard
	if silent {
		m.log.Info(logs.RunnersSilent, zap.Strings("runners", checked), zap.Duration("wait", wait),
			zap.Bool("sends", own.Asked), zap.Bool("others", own.Any), zap.Int("daemons", len(views)), zap.Bool("heard", heard), zap.Bool("same", same))
	}
	return silent
}

// lookAtUnanswered starts inquiries about runners that leave requests unanswered or close their connections, and
// checks whether those that are known not to answer do so again.
func (m *Monitor) lookAtUnanswered(ctx context.Context) {
	if m.peers == nil || m.lost.Load() {
		return
	}
	for _, u := range m.loads.Unanswered(maxAnswerWait, shortAnswerWait) {
		m.beginInquiry(u.Runner, func() { m.inquire(ctx, u) })
	}
	for _, u := range m.loads.Closing() {
		m.beginInquiry(u.Runner, func() { m.inquire(ctx, u) })
	}
	for _, runner := range m.loads.Unanswering() {
		m.beginInquiry(runner, func() { m.recheck(ctx, runner) })
	}
}

// beginInquiry runs an inquiry about a runner in a goroutine of its own, unless there are too many or the
// latest one about it is too recent.
func (m *Monitor) beginInquiry(runner string, inquiry func()) {
	now := m.clock.Now()
	for id, at := range m.inquiredAt {
		if now.Sub(at) >= inquiryInterval {
			delete(m.inquiredAt, id)
		}
	}
	if _, ok := m.inquiredAt[runner]; ok {
		return
	}
	select {
	case m.inquiries <- struct{}{}:
	default:
		return
	}
	m.inquiredAt[runner] = now
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		inquiry()
		<-m.inquiries
	}()
}

// inquire finds out whether a runner that does not answer requests of this daemon answers other daemons
// meanwhile. If so, and if it does not answer a check either, this daemon has lost its path to it. A
// runner that is slow, or has stopped, answers nobody's later requests. Where no other daemon has sent it
// any, it counts as lost with others to which the path is lost.
func (m *Monitor) inquire(ctx context.Context, u load.Unanswered) {
	asking, cancel := context.WithTimeout(ctx, peersTimeout)
	view := m.peers.AnsweredWithin(asking, u.Runner, u.Wait-overtakenMargin)
	cancel()
	if view.Answers == "" && (view.Waits || len(m.loads.Unanswering()) == 0) {
		return
	}
	checkable, answered := m.checkOne(ctx, u.Runner)
	if ctx.Err() != nil {
		return
	}
	if !answered {
		m.loads.SetUnanswering(u.Runner)
		m.scope.Counter("runner_paths_lost").Inc(1)
	}
	m.log.Warn(logs.RunnerUnanswering, zap.String("runner", u.Runner), zap.Int("requests", u.Requests), zap.Duration("wait", u.Wait), zap.Bool("closed", u.Closed),
		zap.String("answers", view.Answers), zap.Bool("checked", checkable), zap.Bool("answered", answered))
}

// recheck checks whether a runner that did not answer this daemon does so again. Where no check is
// possible, requests find it out.
func (m *Monitor) recheck(ctx context.Context, runner string) {
	if _, answered := m.checkOne(ctx, runner); answered && m.loads.ClearUnanswering(runner) {
		m.log.Info(logs.RunnerAnswersAgain, zap.String("runner", runner))
	}
}

// checkOne checks a runner on a new connection, if it may be checked.
func (m *Monitor) checkOne(ctx context.Context, runner string) (checkable, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for _, one := range m.targets() {
		if one.Runner.ID == runner {
			return true, m.checker.Check(ctx, &one.Runner, one.Path) == nil
		}
	}
	return false, false
}
