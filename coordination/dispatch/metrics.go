package dispatch

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"primroseward/core"
)

// latencyBuckets are the bounds of the histogram of times to the answer, or to a
// stream's first event. Target latencies lie between 0.1 and 3 s.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second,
}

// Outcomes of requests, as labels of metrics.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused" // not run, the caller may retry
	outcomeLost    = "lost"    // may have run, no complete answer
	outcomeTimeout = "timeout"
	outcomeFailed  = "failed" // a failure of the runner itself, passed on
	outcomeGone    = "gone"   // the caller has disconnected
	outcomeCut     = "cut"    // broke off after a part was passed on, counted in addition to served
)

// metrics counts requests.
type metrics struct {
	scope    tally.Scope
	outcomes map[string]tally.Counter
	latency  tally.Histogram
	waits    tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{scope: scope, outcomes: map[string]tally.Counter{}, latency: scope.Histogram("request_seconds", latencyBuckets), waits: scope.Histogram("backlog_wait_seconds", latencyBuckets)}
	for _, o := range []string{outcomeServed, outcomeRefused, outcomeLost, outcomeTimeout, outcomeFailed, outcomeGone, outcomeCut} {
		m.outcomes[o] = scope.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	return m
}

// malformedPace counts a load whose pace can't be read.
func (m *metrics) malformedPace() { m.scope.Counter("paces_malformed").Inc(1) }

// Outcomes of requests that were sent elsewhere beside a silent runner, as labels of metrics.
const (
	hedgeAccepted = "accepted"
	hedgeFailed   = "failed"
	hedgeUnneeded = "unneeded" // the silent runner has gone on first
)

// hedged counts a request that was sent elsewhere beside a silent runner.
func (m *metrics) hedged(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("hedges").Inc(1)
}

// requestDone counts the end of a request, or a stream's first event.
func (m *metrics) requestDone(took time.Duration, reply *core.Reply, err error) {
	m.latency.RecordDuration(took)
	m.outcomes[outcomeOf(reply, err)].Inc(1)
	var re *core.RequestError
	if errors.As(err, &re) && re.Outcome == core.OutcomeNotRun {
		m.scope.Tagged(map[string]string{"code": re.Code}).Counter("refusals").Inc(1)
	}
}

func outcomeOf(reply *core.Reply, err error) string {
	if err == nil {
		if reply.Status >= http.StatusInternalServerError {
			return outcomeFailed
		}
		return outcomeServed
	}
	re := core.AsRequestError(err)
	switch {
	case re.Outcome == core.OutcomeNotRun:
		return outcomeRefused
	case re.Status == http.StatusGatewayTimeout:
		return outcomeTimeout
	case re.Status == statusClientGone:
		return outcomeGone
	default:
		return outcomeLost
	}
}

// waited counts the end of a wait for room.
func (m *metrics) waited(outcome string, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("backlog_waits").Inc(1)
	if outcome != waitTooMany {
		m.waits.RecordDuration(took)
	}
}

// waiting sets the number of requests that wait for room.
func (m *metrics) waiting(n int) { m.scope.Gauge("backlog_waiting").Update(float64(n)) }

// Outcomes of forwarding a request, as labels of metrics.
const (
	forwardServed      = "served"
	forwardRefused     = "refused"
	forwardLost        = "lost"
	forwardUnreachable = "unreachable"
)

// forwarded counts the outcome of forwarding a request to another daemon.
func (m *metrics) forwarded(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_forwarded").Inc(1)
}

// retry counts a retry that was taken from the budget, or denied by it.
func (m *metrics) retry(cause string, taken bool) {
	m.scope.Tagged(map[string]string{"cause": cause, "taken": strconv.FormatBool(taken)}).Counter("retries").Inc(1)
}

// helped counts a request that another daemon has forwarded to this one.
func (m *metrics) helped(reply *core.Reply, err error) {
	m.scope.Tagged(map[string]string{"outcome": outcomeOf(reply, err)}).Counter("requests_helped").Inc(1)
}

// takenUp counts a request that takes a stream up after an event.
func (m *metrics) takenUp(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("streams_taken_up").Inc(1)
}

// balanceChosen counts a runner that was chosen by counts of the whole fleet.
func (m *metrics) balanceChosen() { m.scope.Counter("balance_chosen").Inc(1) }

// sentLate counts a request that was sent with the lowest priority, as it can't meet its target any more.
func (m *metrics) sentLate() { m.scope.Counter("balance_sent_late").Inc(1) }

// balanceRefused counts a request that was refused where requests are balanced by counts of the whole fleet.
func (m *metrics) balanceRefused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("balance_refused").Inc(1)
}

// malformed counts figures that a choice has not used as they are impossible.
func (m *metrics) malformed(n int) {
	if n > 0 {
		m.scope.Counter("balance_malformed").Inc(int64(n))
	}
}

// cut counts an answer that broke off after a part of it had been passed on.
func (m *metrics) cut() { m.outcomes[outcomeCut].Inc(1) }

// Causes of broken answers, as labels of metrics.
const (
	causeInsideEvent = "inside_event" // the body ended there
	causeNoEvent     = "no_event"     // the connection ended before the first event
	causeExited      = "exited"       // the runner exited; the body ended with its connection
	causeClosed      = "closed"       // the runner closed or reset the connection
	causeOther       = "other"
)

// broken counts an answer that a runner broke off, by how its end was to be marked and by the cause.
func (m *metrics) broken(framing core.Framing, err error) {
	cause := causeOther
	switch {
	case errors.Is(err, errInsideEvent):
		cause = causeInsideEvent
	case errors.Is(err, errNoEvent):
		cause = causeNoEvent
	case errors.Is(err, errExited):
		cause = causeExited
	case errors.Is(err, core.ErrClosed):
		cause = causeClosed
	}
	if framing == "" {
		framing = "none" // no answer has begun
	}
	m.scope.Tagged(map[string]string{"framing": string(framing), "cause": cause}).Counter("answers_broken").Inc(1)
}
