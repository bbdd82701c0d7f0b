// Package dispatch takes a request to a runner and brings the answer back: it
// carries out what package policy decides.
package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/load"
	"primroseward/coordination/policy"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

const (
	// maxAnswer bounds an answer that is read whole before it is passed on.
	maxAnswer = 32 << 20
	// maxRejections bounds how many runners may reject a request that has not
	// run: each of them is an arrival that the retry budget pays for.
	maxRejections = 3
	// maxDials bounds the runners that could not be reached.
	maxDials = 4
	// stallLeast is the least silence of a runner after which a stream goes on
	// elsewhere: callers give up after two seconds, and the next runner needs
	// a part of the second one. stallTargets and stallGaps are that silence in
	// targets before the first event, and in longest pauses between events.
	stallLeast   = 900 * time.Millisecond
	stallTargets = 3
	stallGaps    = 6
	// eventWaitLeast, eventWaitTargets and eventWaitGaps are how long callers wait for the
	// next event of a stream, whichever is longest. eventWaitMargin is for its way.
	eventWaitLeast   = 2 * time.Second
	eventWaitTargets = 4
	eventWaitGaps    = 8
	eventWaitMargin  = 200 * time.Millisecond
	// resumeEvery is how often a broken stream looks for a runner, half as often after
	// each rejection; resumeRejections bounds these.
	resumeEvery      = 50 * time.Millisecond
	resumeRejections = 8
	// statusClientGone is only for the log: nobody reads the answer.
	statusClientGone = 499
)

// Sender sends a request to a runner.
type Sender interface {
	Send(ctx context.Context, r *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error)
}

// Placer gets a model or adapter that no runner has.
type Placer interface {
	// Place returns the runner that has the model or adapter now. With an error
	// comes when it may be there, 0 if that is not known.
	Place(ctx context.Context, w Want) (runner string, retry time.Duration, err error)
}

// Dispatcher serves requests.
type Dispatcher struct {
	place   string
	catalog *catalog.Catalog
	loads   *load.Table
	sender  Sender
	placer  Placer
	budget  *policy.Budget
	pace    *policy.Pace
	down    func()
	daemons func() int // that send to runners now
	demand  *Demand
	clock   core.Clock
	log     *zap.Logger
	metrics *metrics
	running atomic.Int64
	sent    inFlight[string]      // by runner
	asked   inFlight[core.Digest] // by what they ask, until their answer begins
	guard   core.Guard
	// allowance holds workspaces to theirs.
	allowance core.Allowance
	// limits are those that runners name in their answers.
	limits *allowance.Limits
	// settings are nil where no tree is kept.
	settings *settings
}

// Option changes a Dispatcher.
type Option func(*Dispatcher)

// WithScope counts requests in a scope.
func WithScope(s tally.Scope) Option { return func(d *Dispatcher) { d.metrics = newMetrics(s) } }

// WithDown calls fn when a runner is found to be down that was not known to be.
func WithDown(fn func()) Option { return func(d *Dispatcher) { d.down = fn } }

// WithDaemons sets what tells how many daemons share the runners.
func WithDaemons(fn func() int) Option { return func(d *Dispatcher) { d.daemons = fn } }

// WithGuard asks a guard before each send.
func WithGuard(g core.Guard) Option { return func(d *Dispatcher) { d.guard = g } }

// WithAllowance holds workspaces to their allowances.
func WithAllowance(a core.Allowance) Option { return func(d *Dispatcher) { d.allowance = a } }

// WithLimits keeps the limits that runners name in their answers.
func WithLimits(r *allowance.Limits) Option { return func(d *Dispatcher) { d.limits = r } }

// New makes a Dispatcher of a daemon in a place.
func New(place string, c *catalog.Catalog, loads *load.Table, sender Sender, placer Placer, budget *policy.Budget, demand *Demand, clock core.Clock, log *zap.Logger, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		place: place, catalog: c, loads: loads, sender: sender, placer: placer, budget: budget, demand: demand,
		pace: policy.NewPace(), daemons: func() int { return 1 }, down: func() {}, clock: clock, log: log, metrics: newMetrics(tally.NoopScope), guard: core.NoGuard{},
		allowance: core.Unbounded{}, limits: allowance.NewLimits(clock, log),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Running is the number of requests in progress.
func (d *Dispatcher) Running() int { return int(d.running.Load()) }

// job is one request on its way.
type job struct {
	d        *Dispatcher
	q        *core.Request
	route    *core.Route
	service  string
	eff      *tree.Effective // what the settings said of the request when it came
	deadline time.Time
	tried    map[string]bool // runners that the request has been sent to
	runs     int             // sends that may have run
	rejects  int
	dials    int
	sends    int
	units    float64            // taken of the workspace's allowance by each run
	asked    bool               // the holder of orders has been asked for the model or adapter
	resumed  bool               // its stream has broken in its middle
	waited   bool               // has had its turn for a runner
	sentAt   time.Time          // of the latest send
	stage    stage              // how far its answer has come
	begunAt  time.Time          // when the answer to the latest send began
	kept     bool               // a repeat of the budget has been taken for the next send
	retry    time.Duration      // when what is absent may be there, or a limit lets it through; 0: not known
	limited  bool               // a runner was left out, as it takes no more for now
	atLimit  []zap.Field        // of the last such runner
	taken    string             // the runner of whose limit the next send has taken; empty: none
	last     string             // id of the last event passed on
	drop     context.CancelFunc // ends the connection of the latest send
	began    func()             // called when the latest send's answer has begun
	log      *zap.Logger
}

// Do serves a request. ctx ends when the caller has gone. The error is a
// *core.RequestError.
func (d *Dispatcher) Do(ctx context.Context, route *core.Route, q *core.Request) (*core.Reply, error) {
	limit := route.Timeout
	if q.Timeout > 0 && (limit == 0 || q.Timeout < limit) {
		limit = q.Timeout
	}
	j := &job{
		d: d, q: q, route: route, service: pick(route.Shares), tried: map[string]bool{}, last: q.LastEvent,
		log: d.log.With(zap.String("request", q.ID), zap.String("route", route.Name)),
	}
	leave, err := j.enter()
	if err != nil {
		d.metrics.done(d.clock.Since(q.Arrived), nil, err)
		return nil, err
	}
	if j.eff.Deadline > 0 && (limit == 0 || j.eff.Deadline < limit) {
		limit = j.eff.Deadline
	}
	j.deadline = q.Arrived.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	d.running.Add(1)
	end := func() {
		j.giveBack()
		j.giveLimit()
		cancel()
		leave()
		d.running.Add(-1)
	}
	d.demand.Count(j.service, q)
	reply, err := j.first(ctx)
	d.metrics.done(d.clock.Since(q.Arrived), reply, err)
	if err != nil {
		end()
		return nil, err
	}
	reply.Body = &ending{ReadCloser: reply.Body, end: end}
	return reply, nil
}

// ending calls end once when a body is closed.
type ending struct {
	io.ReadCloser
	end func()
}

func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	if e.end != nil {
		e.end()
		e.end = nil
	}
	return err
}

// pick draws a service by weight.
func pick(shares []core.Share) string {
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := rand.Float64() * sum
	for _, s := range shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return shares[len(shares)-1].Service
}

// first gets the answer, or a stream's first event.
func (j *job) first(ctx context.Context) (*core.Reply, error) {
	for {
		reply, err := j.attempt(ctx)
		if err != nil {
			return nil, err
		}
		if reply != nil {
			return reply, nil
		}
	}
}

// attempt sends the request to one runner. Without reply and error another
// attempt may be made.
func (j *job) attempt(ctx context.Context) (*core.Reply, error) {
	r, err := j.next(ctx)
	if err != nil {
		return nil, err
	}
	reply, err := j.send(ctx, r)
	if err != nil {
		return nil, j.afterError(ctx, r, err)
	}
	if reply.Info.NotRun {
		_ = reply.Body.Close()
		return nil, j.afterRejection(r, reply)
	}
	if err := check(reply); err != nil {
		_ = reply.Body.Close()
		return nil, j.afterError(ctx, r, err)
	}
	if reply.Status >= http.StatusInternalServerError && j.mayRepeat() {
		_ = reply.Body.Close()
		j.failed(r)
		j.log.Info(logs.RunnerFailed, zap.String("runner", r.ID), zap.Int("status", reply.Status))
		return nil, nil
	}
	if j.route.Kind == core.KindStream && reply.Status < http.StatusMultipleChoices {
		return j.stream(ctx, r, reply)
	}
	return j.whole(ctx, r, reply)
}

// check refuses answers that are not the runner's to this request.
func check(reply *core.Reply) error {
	if reply.Status < http.StatusMultipleChoices && (!reply.Info.Stamped || reply.Info.Encoded) {
		return eris.Wrap(core.ErrLost, "answer without the runner's signature, or encoded")
	}
	return nil
}

// whole reads an answer to its end before any of it is passed on: one that is
// cut must not look complete.
func (j *job) whole(ctx context.Context, r *core.Runner, reply *core.Reply) (*core.Reply, error) {
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer))
	_ = reply.Body.Close()
	if err != nil {
		return nil, j.afterError(ctx, r, eris.Wrap(err, "answer"))
	}
	j.d.loads.Answered(r.ID)
	if reply.Status < http.StatusInternalServerError {
		j.d.loads.Worked(r.ID)
		j.d.guard.Worked(j.q.Digest)
	}
	j.log.Info(logs.AnswerEnded, zap.String("runner", r.ID), zap.Int("status", reply.Status),
		zap.Duration("took", j.d.clock.Since(j.q.Arrived)), zap.Duration("target", j.route.Target))
	reply.Body = newWhole(data)
	return reply, nil
}
