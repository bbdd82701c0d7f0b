// Package forward passes requests on to other daemons that reach the runners, while this daemon
// does not. The other daemon treats such a request as one of its own callers; an answer comes back
// as the runner gave it, and a refusal as that daemon decided it.
package forward

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"primroseward/coordination/load"
	"primroseward/coordination/peers"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/protocol/runner"
)

const (
	// maxRefusal bounds the body of a refusal, in bytes.
	maxRefusal = 64 << 10
	// nominalSlots is the number of forwarded requests in progress at one daemon that weighs as
	// much as a failed attempt there, or as four times the way to another data centre. All
	// daemons are equal.
	nominalSlots = 32
	// maxForwarded bounds the forwarded requests in progress at one daemon, as a multiple of
	// nominalSlots.
	maxForwarded = 8
	// unreachedTTL is how long it counts that another daemon does not reach a runner.
	unreachedTTL = 5 * time.Second
)

// Forwarder sends requests to other daemons. It implements dispatch.Helpers.
type Forwarder struct {
	self  func() peers.Peer
	alive func() []peers.Peer // this daemon first
	loads *load.Table         // of the other daemons, as if they were runners
	conns *runner.Client
	clock core.Clock

	mu        sync.Mutex
	unreached map[unreachedKey]time.Time // when it was learnt
}

// unreachedKey is a daemon that does not reach a runner.
type unreachedKey struct {
	daemon string
	runner core.Code
}

// New returns a Forwarder. dialect is that of the callers' requests.
func New(p *peers.Peers, dialect core.Dialect, clock core.Clock) *Forwarder {
	return &Forwarder{self: p.Self, alive: p.Alive, loads: load.New(clock), conns: runner.New(clock, hopDialect{dialect}), clock: clock, unreached: map[unreachedKey]time.Time{}}
}

// Loads returns the load of the other daemons by the requests that this one has forwarded.
func (f *Forwarder) Loads() *load.Table { return f.loads }

// Names returns the names of the other daemons that are alive.
func (f *Forwarder) Names() []string {
	var out []string
	for _, p := range f.alive()[1:] {
		out = append(out, p.Name)
	}
	return out
}

// RecordUnreached records that another daemon does not reach the given runners either.
func (f *Forwarder) RecordUnreached(daemon string, runners []core.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	maps.DeleteFunc(f.unreached, func(_ unreachedKey, at time.Time) bool { return now.Sub(at) >= unreachedTTL })
	for _, c := range runners {
		f.unreached[unreachedKey{daemon, c}] = now
	}
}

// reaches reports whether a daemon may reach all of the given runners, as far as is known.
func (f *Forwarder) reaches(p *peers.Peer, runners []core.Code) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	return !slices.ContainsFunc(runners, func(c core.Code) bool {
		at, ok := f.unreached[unreachedKey{p.Name, c}]
		return ok && now.Sub(at) < unreachedTTL || slices.Contains(p.RefusingRunners, c)
	})
}

// Choose returns the daemon to forward a request to, as a runner without a service, or nil if
// there is none. exclude lists daemons by name that must not get it. Daemons that report one of the
// given runners as down, or have refused a request because they do not reach it, are chosen only if
// there is no other; in a large fleet the reports are not known.
func (f *Forwarder) Choose(exclude map[string]bool, runners []core.Code) *core.Runner {
	list := slices.DeleteFunc(f.alive()[1:], func(p peers.Peer) bool { return !p.Ready || p.Leaving || p.PathLost || exclude[p.Name] })
	reaching := slices.DeleteFunc(slices.Clone(list), func(p peers.Peer) bool { return !f.reaches(&p, runners) })
	if len(reaching) > 0 {
		list = reaching
	}
	candidates := make([]policy.Candidate, 0, len(list))
	self := f.self()
	for _, p := range list {
		v := f.loads.View(p.Name)
		candidates = append(candidates, policy.Candidate{
			ID: p.Name, Slots: nominalSlots, Requests: v.Requests, Penalty: v.Penalty, Down: v.Down, SameDataCentre: p.DataCentre == self.DataCentre,
		})
	}
	i := policy.Choose(candidates, policy.Requirements{Engine: true, QueueLimit: maxForwarded - 1})
	if i < 0 {
		return nil
	}
	return &core.Runner{ID: list[i].Name, Addr: list[i].Peer, DataCentre: list[i].DataCentre}
}

// Send forwards a request. If the other daemon refuses it the error is a *core.RequestError.
func (f *Forwarder) Send(ctx context.Context, to *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error) {
	reply, err := f.conns.Send(ctx, to, q, o)
	if err != nil {
		return nil, err
	}
	if code := reply.Header.Get(core.HeaderCode); code != "" {
		return nil, readRefusal(reply, code)
	}
	for _, name := range []string{core.HeaderFrom, core.HeaderRuns, core.HeaderRequest} {
		reply.Header.Del(name)
	}
	return reply, nil
}

// readRefusal reads the refusal of another daemon.
func readRefusal(reply *core.Reply, code string) error {
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxRefusal))
	if err != nil {
		return eris.Wrapf(core.ErrAnswerLost, "refusal: %v", err)
	}
	var body struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return eris.Wrapf(core.ErrAnswerLost, "refusal: %v", err)
	}
	e := &core.RequestError{
		Outcome: core.OutcomeMayHaveRun, Status: reply.Status, Code: code, Message: body.Text, Runs: reply.Info.Runs,
		Arrived: reply.Header.Get(core.HeaderArrived) == strconv.FormatBool(true),
	}
	if reply.Header.Get(core.HeaderOutcome) == string(core.OutcomeNotRun) {
		e.Outcome = core.OutcomeNotRun
	}
	if seconds, err := strconv.ParseFloat(reply.Header.Get(core.HeaderRetryAfter), 64); err == nil {
		e.Retry = time.Duration(seconds * float64(time.Second))
	}
	return e
}

// hopDialect is the format of requests between daemons: that of the callers, with the headers of
// core.Forward.
type hopDialect struct{ core.Dialect }

// WriteOutgoing sets the headers of a forwarded request.
func (d hopDialect) WriteOutgoing(h http.Header, o core.Outgoing) {
	d.Dialect.WriteOutgoing(h, o)
	o.Forward.Write(h)
}

// ReadReply reads the headers of an answer of another daemon. A refusal has no request id of the
// callers' format, and none at all if the other daemon had no room to read the request; it then closes the connection.
func (d hopDialect) ReadReply(status int, h http.Header) core.ReplyInfo {
	info := d.Dialect.ReadReply(status, h)
	info.RequestID, info.Instance = h.Get(core.HeaderRequest), ""
	info.Unread = info.RequestID == "" && h.Get(core.HeaderCode) != "" && h.Get(core.HeaderOutcome) == string(core.OutcomeNotRun)
	info.Runs, _ = strconv.Atoi(h.Get(core.HeaderRuns)) // absent: 0
	info.Origin = core.ReadOrigin(h)
	return info
}
