// Package dispatch sends requests to runners and returns their answers. It carries out what
// package policy decides.
package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"primroseward/coordination/allowance"
	"primroseward/coordination/availability"
	"primroseward/coordination/backlog"
	"primroseward/coordination/balance"
	"primroseward/coordination/fairness"
	"primroseward/coordination/load"
	"primroseward/coordination/origin"
	"primroseward/coordination/policy"
	"primroseward/coordination/retry"
	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/io/retain"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

const (
	// maxRejections bounds how many runners may reject a request that has not run,
	// because each of these arrivals is charged to the retry budget.
	maxRejections = 3
	// maxFailedDials bounds how many unreachable runners are tried.
	maxFailedDials = 4
	// minStall is the shortest silence of a runner after which its stream is resumed
	// at another one: callers give up after two seconds, and the next runner needs a part
	// of the second one. The limit on the silence is longer for slow routes: stallTargets
	// times the target latency before the first event, and stallGaps times the longest
	// allowed pause between events.
	minStall     = 900 * time.Millisecond
	stallTargets = 3
	stallGaps    = 6
	// minEventWait, eventWaitTargets and eventWaitGaps define how long callers wait for
	// the next event of a stream: the longest of the minimum, a multiple of the target
	// latency and a multiple of the longest allowed pause. eventWaitMargin is subtracted
	// for the transfer to the caller.
	minEventWait     = 2 * time.Second
	eventWaitTargets = 4
	eventWaitGaps    = 8
	eventWaitMargin  = 200 * time.Millisecond
	// resumeInterval is how often a broken stream looks for a runner. The interval
	// doubles after each rejection; resumeRejections bounds the rejections.
	resumeInterval = 50 * time.Millisecond
	// forwardInterval is the time until it asks another daemon again, which also doubles: no more than
	// maxForwards may be asked.
	forwardInterval  = 300 * time.Millisecond
	resumeRejections = 8
	// statusClientGone appears only in logs and metrics, as the caller gets no answer.
	statusClientGone = 499
)

// Sender sends a request to a runner.
type Sender interface {
	Send(ctx context.Context, r *core.Runner, q *core.Request, o core.Outgoing) (*core.Reply, error)
}

// Placer gets a model or adapter loaded that no runner has.
type Placer interface {
	// Place returns the runner that has the model or adapter now. With an error it returns
	// the time after which it may be there, 0 if that is not known; with ErrExpected it is
	// when the first replica of the model is expected to serve.
	Place(ctx context.Context, w PlacementKey) (runner string, retry time.Duration, err error)
}

// ExitDetector finds out whether the process of a runner has exited.
type ExitDetector interface {
	// Exited returns false if it is not known.
	Exited(ctx context.Context, r *core.Runner) bool
}

// Dispatcher serves requests.
type Dispatcher struct {
	dataCentre string
	catalog    *catalog.Catalog
	loads      *load.Table
	sender     Sender
	placer     Placer
	budget     *retry.Budget
	pacer      *policy.Pacer
	onDown     func()
	daemons    func() int // number of daemons that send to the runners now
	demand     *Demand
	clock      core.Clock
	log        *zap.Logger
	metrics    *metrics
	running    atomic.Int64
	buffers    *retain.Budget
	ahead      *retain.Budget        // of what is read ahead of callers
	byRunner   inFlight[string]      // sends in progress, by runner
	unanswered inFlight[core.Digest] // sends whose answer has not begun, by the digests of the request
	guard      core.Guard
	exits      ExitDetector // nil: the end of a connection is the end of the answer
	// allowance enforces the allowances of workspaces.
	allowance core.Allowance
	// limits are the request limits that runners announce in their answers.
	limits *allowance.Limits
	// available decides which runners accept requests.
	available *availability.Table
	// helpers are the daemons that requests are forwarded to; nil: none. pathLost reports whether
	// this daemon has lost its path to the runners.
	helpers  Helpers
	pathLost func() bool
	self     string
	origins  core.Origins
	// settings is nil if there is no settings tree.
	settings *settings
	balance  func() core.Balance
	// estimator and random are used where requests are balanced.
	estimator *balance.Estimator
	random    func() float64
	backlog   *backlog.Queue
	callers   *allowance.Callers
	// fairness decides which workspaces yield where room is short.
	fairness *fairness.Table
	// placementWaits counts the requests that wait for models to be loaded.
	placementWaits atomic.Int64
	expectations   expectations
}

// Option changes a Dispatcher.
type Option func(*Dispatcher)

// WithScope sets the scope for request metrics.
func WithScope(s tally.Scope) Option { return func(d *Dispatcher) { d.metrics = newMetrics(s) } }

// WithAnswerMemory bounds what is held of all answers together, in bytes; half as much may be read ahead of callers.
func WithAnswerMemory(n int64) Option {
	return func(d *Dispatcher) {
		d.buffers = retain.New(min(maxBufferedTotal, n))
		d.ahead = retain.New(min(maxAheadTotal, n/2))
	}
}

// WithDown sets a function to call when a runner is newly found to be down.
func WithDown(fn func()) Option { return func(d *Dispatcher) { d.onDown = fn } }

// WithDaemons sets the function that returns how many daemons share the runners.
func WithDaemons(fn func() int) Option { return func(d *Dispatcher) { d.daemons = fn } }

// WithGuard sets the guard that is consulted before each send.
func WithGuard(g core.Guard) Option { return func(d *Dispatcher) { d.guard = g } }

// WithExits sets how the end of an answer is distinguished from the exit of its runner.
func WithExits(e ExitDetector) Option { return func(d *Dispatcher) { d.exits = e } }

// WithAllowance enforces the allowances of workspaces.
func WithAllowance(a core.Allowance) Option { return func(d *Dispatcher) { d.allowance = a } }

// WithLimits sets the record of the limits that runners announce in their answers.
func WithLimits(r *allowance.Limits) Option { return func(d *Dispatcher) { d.limits = r } }

// WithAvailability sets the table of the runners that accept requests.
func WithAvailability(t *availability.Table) Option {
	return func(d *Dispatcher) { d.available = t }
}

// WithBalance sets the function that returns whether operators want requests to be balanced by counts of the
// whole fleet. Without it they are not.
func WithBalance(fn func() core.Balance) Option { return func(d *Dispatcher) { d.balance = fn } }

// WithFairness sets the table that decides which workspaces yield where room is short.
func WithFairness(t *fairness.Table) Option { return func(d *Dispatcher) { d.fairness = t } }

// balanced reports whether requests are balanced by counts of the whole fleet.
func (d *Dispatcher) balanced() bool { return d.balance().Enabled(d.catalog.Config()) }

// New returns the Dispatcher of a daemon in a data centre.
func New(dataCentre string, c *catalog.Catalog, loads *load.Table, sender Sender, placer Placer, budget *retry.Budget, demand *Demand, clock core.Clock, log *zap.Logger, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		dataCentre: dataCentre, catalog: c, loads: loads, sender: sender, placer: placer, budget: budget, demand: demand,
		pacer: policy.NewPacer(), daemons: func() int { return 1 }, onDown: func() {}, clock: clock, log: log, metrics: newMetrics(tally.NoopScope), guard: core.NoGuard{},
		allowance: core.Unbounded{}, limits: allowance.NewLimits(clock, log), pathLost: func() bool { return false },
		balance: func() core.Balance { return core.BalanceOff }, estimator: balance.NewEstimator(), random: rand.Float64,
		backlog: backlog.New(clock), callers: allowance.NewCallers(clock), fairness: fairness.New(clock),
		buffers: retain.New(maxBufferedTotal), ahead: retain.New(maxAheadTotal),
	}
	for _, o := range opts {
		o(d)
	}
	if d.origins == nil {
		d.origins = origin.New(c.Versions, clock, log)
	}
	if d.available == nil {
		d.available = availability.New(clock, c, loads, d.limits, log)
	}
	return d
}

// ObserveAnswer applies what an answer of a runner states of it: its load, its limit, that it is
// leaving or wants a backoff. It is called for each answer, whatever was sent.
func (d *Dispatcher) ObserveAnswer(r *core.Runner, info core.ReplyInfo) {
	d.loads.RecordActivity(r.ID)
	d.available.ObserveAnswer(r, info)
	d.limits.ObserveAnswer(r.ID, info)
	if info.Load != nil {
		d.loads.SetReportedLoad(r.ID, *info.Load)
		d.observePace(r, *info.Load)
	}
}

// Running returns the number of requests in progress.
func (d *Dispatcher) Running() int { return int(d.running.Load()) }

// counts is the part of a request's state that an attempt elsewhere, beside a silent runner, leaves as it was
// if it fails: the latest send, and what went wrong before.
type counts struct {
	sentAt      time.Time
	stage       stage              // progress of the answer
	framing     core.Framing       // of the answer
	answeredAt  time.Time          // when the answer began
	run         core.Run           // as the guard knows it
	granted     int                // sends that the daemon that the request was forwarded to may still make
	statedRuns  int                // runs that were stated to that daemon
	cancelSend  context.CancelFunc // closes the connection
	answerBegan func()             // called when the answer has begun
	rejections  int
	failedDials int
	closed      int // connections that a runner closed before the answer was complete
}

// job is the state of one request in progress.
type job struct {
	counts
	d                  *Dispatcher
	q                  *core.Request
	parts              []core.Part // shared parts of the prompt
	route              *core.Route
	service            string
	effective          *tree.Effective // settings of the request when it arrived
	deadline           time.Time
	tried              map[string]bool // runners that the request has been sent to
	runs               int             // sends that may have run
	unanswered         int             // sends to runners that do not answer this daemon
	silent             []string        // runners that keep the request while it is sent elsewhere
	sends              int
	units              float64           // taken from the workspace's allowance by each run
	placementRequested bool              // the holder of orders has been asked to load the model or adapter
	asked              PlacementKey      // what it was asked for
	load               expectation       // what it has answered
	resumed            bool              // its stream has broken after the first event
	paced              bool              // its send has been paced, at most once per request
	committed          bool              // the caller has received a part of an answer that no other run continues
	due                *retry.Retry      // that the next send spends; nil: it needs none
	spare              *retry.Retry      // for a send that may follow
	arrivals           *retry.Sends      // of its sends
	retryAfter         time.Duration     // until a missing model may be loaded or a limit allows the request; 0 if not known
	atLimit            bool              // a runner was skipped because its limit is used up
	limitFields        []zap.Field       // log fields on the last such runner
	limitTakenFrom     string            // runner whose limit the next send has been taken from, or empty
	probe              bool              // the next send finds out whether its runner's backoff is over
	brittleRoom        int               // of this daemon at the brittle runners of the latest choice
	brittleOwners      []string          // daemons that have room at these
	releaseRoom        func()            // of the next send at a brittle runner
	omitted            []omittedRunner   // runners left out of the latest choice
	backoffUntil       time.Time         // end of the first backoff among the runners that could serve the request
	probeAwaited       bool              // a runner was skipped because a request probes its backoff
	forwards           int               // daemons that the request has been forwarded to
	counted            bool              // for the retry budget, here or by the daemon that has forwarded it
	countedElsewhere   bool              // allowance and limits are counted by the daemon that sends the request
	leaveLimits        func()            // counts the request out of the limits of the settings
	lastEvent          string            // id of the last event passed on
	begun              bool              // an event of its stream has been passed on
	origin             *core.Origin      // where the stream began; nil: it has not begun, or it is not known
	misdirected        bool              // a runner has stated that it does not have the model or adapter
	wait               *roomWait         // of the choice in progress; nil: none
	mayYield           bool              // the next choice may leave the room to other workspaces
	yields             bool              // the latest choice did so
	draw               float64           // random number in [0, 1) that decides whether it yields
	sentPriority       int               // priority of the latest send
	returned           bool              // its caller has most likely been refused before and is late already
	freeSlotOnly       bool              // the next choice is for a runner with a free slot
	fullRunners        []core.Code       // runners of the latest choice that found them all full
	unadmitted         []core.Origin     // left out of the latest choice, as no stream may begin there yet
	endStream          func()            // called when the stream has ended
	decision           *balance.Decision // of the latest choice; nil: it was not balanced
	log                *zap.Logger
}

// Do serves a request. ctx ends when the caller disconnects. The error is a
// *core.RequestError.
func (d *Dispatcher) Do(ctx context.Context, route *core.Route, q *core.Request) (*core.Reply, error) {
	limit := route.Timeout
	if q.Timeout > 0 && (limit == 0 || q.Timeout < limit || q.Forward != nil) {
		limit = q.Timeout // of a forwarded request, what is left of its time at the daemon that it arrived at
	}
	j := &job{
		d: d, q: q, counts: counts{run: core.NoRun{}}, parts: sharedParts(q), route: route, service: pickService(route.Shares), tried: map[string]bool{}, lastEvent: q.LastEvent, draw: d.random(),
		log: d.log.With(zap.String("request", q.ID), zap.String("route", route.Name)), leaveLimits: func() {}, releaseRoom: func() {}, endStream: func() {},
	}
	j.arrivals = d.budget.Sends(j.service)
	if q.Forward != nil {
		j.runs = q.Forward.Runs
		j.log.Info(logs.ForwardReceived, zap.String("from", q.Forward.From), zap.Int("runs", q.Forward.Runs), zap.Int("attempts", q.Forward.Attempts), zap.Duration("left", limit))
	}
	if err := j.findOrigin(ctx); err != nil {
		d.requestDone(j, nil, err)
		return nil, err
	}
	j.returned = d.balanced() && q.Forward == nil && q.LastEvent == "" && d.callers.Returned(route.Name, limit, route.Target)
	j.countedElsewhere = d.pathLost() && j.hasHelper() // it is forwarded without an attempt of this daemon's own
	if err := j.admit(); err != nil {
		d.requestDone(j, nil, err)
		return nil, err
	}
	if j.effective.Deadline > 0 && (limit == 0 || j.effective.Deadline < limit) {
		limit = j.effective.Deadline
	}
	j.deadline = q.Arrived.Add(limit)
	j.countRequest()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	d.running.Add(1)
	end := func() {
		j.arrivals.End(q.Forward != nil && ctx.Err() != nil) // the daemon that forwarded it may have given up on this one
		j.refundAllowance()
		j.refundLimit()
		cancel()
		j.leaveLimits()
		j.endStream()
		j.releaseRetries()
		d.running.Add(-1)
	}
	answered := false
	defer func() { // after a panic too
		if !answered {
			end()
		}
	}()
	if !j.countedElsewhere {
		d.demand.Count(j.service, q)
		if d.balanced() {
			d.demand.CountUse(j.service, q, route.Target)
		}
	}
	reply, err := j.serve(ctx)
	d.requestDone(j, reply, err)
	if err != nil {
		return nil, err
	}
	answered = true
	reply.Info.Runs = j.runs
	_, held := reply.Body.(*answerBuffer)
	reply.Body = &closeHook{ReadCloser: reply.Body, onClose: func() { j.countEnd(reply) }}
	if !held && d.balanced() {
		reply.Body = newReadAhead(reply.Body, cancel, d.ahead, d.metrics)
	}
	reply.Body = &closeHook{ReadCloser: reply.Body, onClose: end}
	return reply, nil
}

// requestDone counts the end of a request, or a stream's first event. A forwarded request is counted
// by the daemon that took it from its caller.
func (d *Dispatcher) requestDone(j *job, reply *core.Reply, err error) {
	if re := (*core.RequestError)(nil); errors.As(err, &re) {
		re.Runs, re.Arrived = j.runs, j.arrivals.Sent()
		if re.Retry > 0 {
			d.callers.Refused(j.route.Name)
		}
	}
	if j.q.Forward != nil {
		d.metrics.helped(reply, err)
		return
	}
	if err == nil && j.forwards > 0 {
		d.metrics.forwarded(forwardServed)
	}
	d.metrics.requestDone(d.clock.Since(j.q.Arrived), reply, err)
}

// closeHook calls onClose once when the body is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

func (e *closeHook) Close() error {
	err := e.ReadCloser.Close()
	if e.onClose != nil {
		e.onClose()
		e.onClose = nil
	}
	return err
}

// pickService picks a service at random by weight.
func pickService(shares []core.Share) string {
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

// serve returns the answer, or a stream with its first event.
func (j *job) serve(ctx context.Context) (*core.Reply, error) {
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

// attempt sends the request to one runner. If it returns neither an answer nor an
// error, another attempt may be made.
func (j *job) attempt(ctx context.Context) (*core.Reply, error) {
	r, err := j.nextRunner(ctx)
	if err != nil {
		return nil, err
	}
	reply, r, err := j.send(ctx, r)
	if err != nil {
		return nil, j.handleError(ctx, r, err)
	}
	if reply.Info.NotRun {
		_ = reply.Body.Close()
		return nil, j.handleRejection(r, reply)
	}
	if err := checkStamp(reply); err != nil {
		_ = reply.Body.Close()
		return nil, j.handleError(ctx, r, err)
	}
	if reply.Status >= http.StatusInternalServerError {
		if reply.Info.Backoff.Duration == 0 && !isDaemon(r) {
			j.markFailed(r) // a runner that fails at once would look idle
		}
		if j.takeRetry() {
			_ = reply.Body.Close()
			j.log.Info(logs.RunnerFailed, zap.String("runner", r.ID), zap.Int("status", reply.Status))
			return nil, nil
		}
	}
	if core.PromisesNotRun(reply.Status) && j.runs > 1 {
		// The promise of this runner holds for its own send; to the caller it would stand for all of them.
		_ = reply.Body.Close()
		j.log.Warn(logs.AnswerLost, append(j.lostFields(r), zap.Int("runs", j.runs), zap.Int("status", reply.Status))...)
		return nil, core.MayHaveRun("answer_lost", "an earlier attempt may have run")
	}
	if j.route.Kind == core.KindStream && reply.Status < http.StatusMultipleChoices && hasEvents(reply) {
		return j.stream(ctx, r, reply)
	}
	return j.bufferAnswer(ctx, r, reply)
}

// hasEvents reports whether an answer is a series of events. One that does not state its content type
// counts as such.
func hasEvents(reply *core.Reply) bool {
	return reply.Header.Get("Content-Type") == "" || core.IsEventStream(reply.Header)
}

// checkStamp rejects successful answers that are not signed by the runner, or that are encoded.
func checkStamp(reply *core.Reply) error {
	if reply.Status < http.StatusMultipleChoices && (!reply.Info.Stamped || reply.Info.Encoded) {
		return eris.Wrap(core.ErrAnswerLost, "answer without the runner's signature, or encoded")
	}
	return nil
}

// bufferAnswer reads an answer to its end before any of it is passed on, so that one that breaks off
// can be requested again. Of a long answer only the beginning is held.
func (j *job) bufferAnswer(ctx context.Context, r *core.Runner, reply *core.Reply) (*core.Reply, error) {
	held := &answerBuffer{budget: j.d.buffers}
	err := held.fill(reply.Body)
	if err == io.EOF {
		err = j.confirmEnd(ctx, r, j.framing)
	}
	if err == nil {
		j.committed = true
		j.log.Info(logs.AnswerPassedOn, zap.String("runner", r.ID), zap.Int("status", reply.Status), zap.String("framing", string(j.framing)), zap.Int("held", held.size))
		reply.Body = &longAnswer{ctx: ctx, j: j, runner: r, held: held, body: reply.Body, status: reply.Status, bytes: held.size}
		return reply, nil
	}
	_ = reply.Body.Close()
	if err != io.EOF {
		_ = held.Close()
		return nil, j.handleError(ctx, r, eris.Wrap(err, "answer"))
	}
	j.answerEnded(r, reply.Status, held.size)
	reply.Body = held
	return reply, nil
}

// answerEnded records the complete answer to a plain request.
func (j *job) answerEnded(r *core.Runner, status, size int) {
	j.loadsOf(r).Answered(r.ID)
	if status < http.StatusInternalServerError {
		j.observeAnswer(r)
		j.loadsOf(r).RecordSuccess(r.ID)
		j.d.guard.Served(j.q.Digest)
		j.run.Whole()
	}
	j.log.Info(logs.AnswerEnded, zap.String("runner", r.ID), zap.Int("status", status), zap.String("framing", string(j.framing)), zap.Int("bytes", size),
		zap.Duration("took", j.d.clock.Since(j.q.Arrived)), zap.Duration("target", j.route.Target))
}
