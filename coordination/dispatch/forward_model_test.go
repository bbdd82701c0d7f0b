package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/coordination/load"
	"primroseward/core"
)

// hopFault is what happens to a request on its way from one daemon to another.
type hopFault int

const (
	hopPasses        hopFault = iota
	hopUnreachable            // the request does not reach the other daemon
	hopLosesAnswer            // the answer does not come back
	hopBreaksOff              // the answer breaks off
	hopRefusedByPeer          // the other daemon is about to stop and refuses the request
)

// hopNetwork is a set of daemons that forward requests to each other. Their view of who has a path is
// stale: a daemon without one may be chosen.
type hopNetwork struct {
	route   *core.Route
	daemons []*Dispatcher
	fleets  []*fleet
	faults  []hopFault // of the hops, in turn
	hops    []core.Forward
	second  int // requests that were passed on twice
}

// newHopNetwork returns daemons with two runners, of which those in lost have no path. acts are the
// runners' actions in turn.
func newHopNetwork(r *core.Route, lost []bool, acts []act, faults []hopFault) *hopNetwork {
	n := &hopNetwork{route: r, faults: faults}
	next := script(acts...)
	for i := range lost {
		f := &fleet{nextAct: next}
		d := newDispatcher(f, 2)
		WithHelpers(hopName(i), &hopsFrom{n, i, load.New(clockwork.NewRealClock())}, func() bool { return lost[i] })(d)
		n.daemons, n.fleets = append(n.daemons, d), append(n.fleets, f)
	}
	return n
}

func hopName(i int) string { return fmt.Sprint("vm-", i) }

// runs returns how often the request has run.
func (n *hopNetwork) runs() int {
	runs := 0
	for _, f := range n.fleets {
		runs += len(f.runs)
	}
	return runs
}

// hopsFrom implements Helpers for one daemon.
type hopsFrom struct {
	n     *hopNetwork
	self  int
	loads *load.Table
}

func (h *hopsFrom) RecordUnreached(string, []core.Code) {}

func (h *hopsFrom) Loads() *load.Table { return h.loads }

func (h *hopsFrom) Names() []string {
	var out []string
	for i := range h.n.daemons {
		if i != h.self {
			out = append(out, hopName(i))
		}
	}
	return out
}

func (h *hopsFrom) Choose(exclude map[string]bool, _ []core.Code) *core.Runner {
	for _, name := range h.Names() {
		if !exclude[name] {
			return &core.Runner{ID: name}
		}
	}
	return nil
}

func (h *hopsFrom) Send(ctx context.Context, to *core.Runner, q *core.Request, out core.Outgoing) (*core.Reply, error) {
	n, fault := h.n, hopPasses
	if len(n.faults) > 0 {
		fault, n.faults = n.faults[0], n.faults[1:]
	}
	n.hops = append(n.hops, *out.Forward)
	if q.Forward != nil {
		n.second++
	}
	switch fault {
	case hopUnreachable:
		return nil, eris.Wrap(core.ErrNotSent, "dial")
	case hopRefusedByPeer:
		return nil, core.NotRun(http.StatusServiceUnavailable, core.CodePath, "m", 0)
	}
	forwarded := *q
	forwarded.Forward, forwarded.Timeout, forwarded.LastEvent = out.Forward, out.Timeout, out.LastEvent
	for i, d := range n.daemons {
		if hopName(i) != to.ID {
			continue
		}
		reply, err := d.Do(ctx, n.route, &forwarded)
		if err != nil {
			return nil, err
		}
		if fault == hopLosesAnswer {
			_ = reply.Body.Close()
			return nil, eris.Wrap(core.ErrAnswerLost, "hop")
		}
		// An answer that breaks off there closes the connection, whatever the cause.
		text, err := readAll(reply)
		if fault == hopBreaksOff {
			text, err = text[:len(text)/2], core.ErrAnswerLost
		}
		if err != nil {
			err = eris.Wrap(core.ErrAnswerLost, err.Error())
		}
		return answer(reply.Status, reply.Info, text, err), nil
	}
	return nil, eris.Wrap(core.ErrNotSent, "no such daemon")
}

// Checks that a request runs no more often than its route allows, is refused as not run only if it has
// not run, is passed on once at most, and that no answer is cut, whatever happens to daemons, runners
// and what lies between them.
func TestForwardingModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lost := rapid.SliceOfN(rapid.Bool(), 2, 4).Draw(t, "lost")
		kind := rapid.SampledFrom([]core.RequestKind{core.KindSafe, core.KindUnsafe, core.KindStream}).Draw(t, "kind")
		r := route(kind, rapid.Bool().Draw(t, "resumable"), rapid.IntRange(1, 3).Draw(t, "attempts"))
		acts := rapid.SliceOfN(rapid.SampledFrom([]act{serves, unreachable, rejects, fails, losesAnswer, breaksOff, noListener}), 0, 6).Draw(t, "acts")
		faults := rapid.SliceOfN(rapid.SampledFrom([]hopFault{hopPasses, hopUnreachable, hopLosesAnswer, hopBreaksOff, hopRefusedByPeer}), 0, 4).Draw(t, "faults")
		n := newHopNetwork(r, lost, acts, faults)

		status, body, err := call(n.daemons[0], r)

		allowed := r.MaxAttempts
		if !r.Repeatable() {
			allowed = 1
		}
		runs := n.runs()
		assert.Assert(t, runs <= allowed, "%d runs, allowed %d", runs, allowed)
		assert.Equal(t, n.second, 0, "passed on twice")
		assert.Assert(t, len(n.hops) <= maxForwards, "%d hops", len(n.hops))
		for _, f := range n.hops {
			assert.Assert(t, f.Attempts >= 1 && f.Runs+f.Attempts <= r.MaxAttempts, "%+v", f)
		}
		if err == nil {
			assert.Assert(t, status == http.StatusInternalServerError || body == eventText("", eventCount), "%d %q", status, body)
			return
		}
		if re := core.AsRequestError(err); status != http.StatusOK && (re.Outcome == core.OutcomeNotRun || re.Status == http.StatusServiceUnavailable) {
			assert.Equal(t, runs, 0, "refused as not run: %v", err)
		}
	})
}
