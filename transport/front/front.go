// Package front serves callers over HTTP/1.1, and answers their requests for the
// addresses of daemons.
package front

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/io/retain"
	"primroseward/io/tcp"
	"primroseward/state/catalog"
	"primroseward/transport/intake"
)

const (
	// headerBytes is the maximum size of a request's headers; a configuration may set a
	// lower one.
	headerBytes = 64 << 10
	// forwardedHeaderBytes is that of a request that another daemon passes on: it writes each header with a space and
	// CRLF, and adds its own.
	forwardedHeaderBytes = 4 * headerBytes
	copyBuffer           = 16 << 10
	// tracer is the name of the tracer of the spans of requests.
	tracer = "primroseward"
	// noConfigRetry is the Retry-After time that a daemon without a configuration sends. The
	// daemon reads one within milliseconds of reaching the store.
	noConfigRetry = 300 * time.Millisecond
	// unconfirmedRetry is the Retry-After time for a caller whose key could not be confirmed.
	// Outages of the store last some seconds.
	unconfirmedRetry = 2 * time.Second
	// leavingRetry is the Retry-After time that a daemon sends that is about to end. Other daemons serve
	// at once.
	leavingRetry = 50 * time.Millisecond
	// lateTargets is the multiple of a route's target latency in which almost all answers that are not
	// streams are complete.
	lateTargets = 4
	// noTimeout is for what the configuration bounds.
	noTimeout = 365 * 24 * time.Hour
	// fullRetry is the Retry-After time where there is no room for a body. Streams last some seconds.
	fullRetry = time.Second
	// minRetry is the minimum Retry-After time. The header has three decimals, and a value
	// that rounds to 0 means that the time is not known.
	minRetry = time.Millisecond
)

// Dispatcher serves requests.
type Dispatcher interface {
	Do(ctx context.Context, route *core.Route, q *core.Request) (*core.Reply, error)
}

// Front is the HTTP handler for callers.
type Front struct {
	catalog       *catalog.Catalog
	dialect       core.Dialect
	dispatcher    Dispatcher
	clock         core.Clock
	log           *zap.Logger
	scope         tally.Scope
	settingsKnown func() bool    // whether the operators' settings are known
	keysConfirmed func() bool    // whether the known keys may be used
	bodies        *retain.Budget // of the requests in progress; nil: no bound
	intake        *intake.Intake // of the connections
	conns         *connections
	leaving       atomic.Bool
	end           atomic.Pointer[time.Time] // when requests in progress are cut; nil: not known
}

// Option configures a Front.
type Option func(*Front)

// WithScope sets the scope in which the refusals by the front itself are counted.
func WithScope(s tally.Scope) Option { return func(f *Front) { f.scope = s } }

// WithSettingsKnown sets the function that reports whether the operators' settings are known.
// Until they are, requests are refused, as they might be served where the settings forbid it.
func WithSettingsKnown(fn func() bool) Option { return func(f *Front) { f.settingsKnown = fn } }

// WithKeysConfirmed sets the function that reports whether the known keys may be used. A key
// may have been removed while the store was unreachable.
func WithKeysConfirmed(fn func() bool) Option { return func(f *Front) { f.keysConfirmed = fn } }

// WithIntake bounds what callers' connections and requests hold. Without it there is no bound but that of the
// configuration on each request.
func WithIntake(i *intake.Intake) Option { return func(f *Front) { f.intake = i } }

// New returns a Front that passes requests to a dispatcher.
func New(c *catalog.Catalog, dialect core.Dialect, dispatcher Dispatcher, clock core.Clock, log *zap.Logger, opts ...Option) *Front {
	f := &Front{catalog: c, dialect: dialect, dispatcher: dispatcher, clock: clock, log: log, scope: tally.NoopScope, settingsKnown: func() bool { return true }, keysConfirmed: func() bool { return true }}
	f.conns = newConnections(clock, f.limits)
	for _, o := range opts {
		o(f)
	}
	f.conns.scope = f.scope
	if f.intake == nil {
		f.intake = intake.New(intake.Limits{}, clock, log)
	}
	f.bodies = f.intake.Budget()
	return f
}

// limits returns the limits of the configuration.
func (f *Front) limits() core.CallerLimits {
	if config := f.catalog.Config(); config != nil {
		return config.Limits
	}
	return core.CallerLimits{}
}

// Listen returns a listener for Server, whose connections are closed when they exceed the
// configuration's limits.
func (f *Front) Listen(ln net.Listener) net.Listener {
	return f.intake.Listen(f.conns.listen(ln), f.Port())
}

// Port describes the listener of callers.
func (f *Front) Port() intake.Port {
	return intake.Port{Name: "caller", Share: 1, HeadLimitNow: f.headLimit, WriteError: writeError, Refused: f.logRefusal}
}

// headLimit returns the largest size of a request's head in bytes.
func (f *Front) headLimit() int {
	if limit := f.limits().HeaderBytes; limit > 0 {
		return min(limit, headerBytes)
	}
	return headerBytes
}

// Leave makes the Front set "Connection: close" on all further answers.
func (f *Front) Leave() { f.leaving.Store(true) }

// EndAt sets when requests in progress are cut. From now on a request is refused if its answer may not be
// complete by then.
func (f *Front) EndAt(end time.Time) { f.end.Store(&end) }

// Connections returns the number of open connections of callers.
func (f *Front) Connections() int { return f.conns.count() }

// CloseIdle closes the connections on which no request has begun.
func (f *Front) CloseIdle() { f.conns.closeIdle() }

// EndWaiting ends the requests whose answer has not begun: they are refused as not run, or as lost if they
// may have run.
func (f *Front) EndWaiting() { f.conns.endWaiting() }

// endsTooSoon reports whether the answer to a request may not be complete when requests are cut.
func (f *Front) endsTooSoon(route *core.Route, q *core.Request) bool {
	end := f.end.Load()
	if end == nil {
		return false
	}
	need := timeLimit(route, q)
	if expected := lateTargets * route.Target; route.Kind != core.KindStream && expected > 0 {
		need = min(need, expected)
	}
	return end.Sub(f.clock.Now()) < need
}

// Server returns the HTTP server for callers. It must serve a listener of Listen.
func (f *Front) Server() *http.Server {
	s := &http.Server{
		Handler:        f,
		MaxHeaderBytes: headerBytes,
		ConnContext:    tcp.WithConn,
		ConnState:      f.conns.changed,
		IdleTimeout:    noTimeout,
		ErrorLog:       zap.NewStdLog(f.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	f.intake.Attach(s)
	return s
}

// ServeHTTP answers one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := callerConnOf(r); c != nil {
		c.enter(phaseServing)
	}
	f.serve(w, r, nil)
}

// serve answers one request. forward is set if another daemon has passed it on.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, forward *core.Forward) {
	arrived := f.clock.Now()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	var body retain.Body
	defer body.Release()
	q, route, refusal := f.read(w, r, forward, &body)
	if refusal != nil {
		f.refuse(w, r, refusal)
		return
	}
	q.Arrived = arrived
	if conn := tcp.ConnOf(r); conn != nil {
		q.Gone = func() bool { return tcp.ClosedByPeer(conn) }
	}
	defer f.passPanic(q)
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer(tracer).Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", q.ID), attribute.String("route", route.Name)))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answered := waitingOf(w, r).wait(func() { cancel(core.ErrEnding) })
	reply, refusal := f.do(ctx, route, q)
	answered()
	if refusal != nil {
		if r.Context().Err() != nil {
			f.logDisconnected(q, refusal.Status, 0, r.Context().Err())
		}
		writeError(w, refusal)
		return
	}
	defer reply.Body.Close()
	f.writeReply(w, r, q, reply)
}

// do has a request served.
func (f *Front) do(ctx context.Context, route *core.Route, q *core.Request) (reply *core.Reply, failure *core.RequestError) {
	defer f.answerPanic(q.ID, &failure)
	reply, err := f.dispatcher.Do(ctx, route, q)
	if err != nil {
		return nil, core.AsRequestError(err)
	}
	return reply, nil
}

// read reads a request and finds its route. A request that it refuses has not been sent to
// any runner.
func (f *Front) read(w http.ResponseWriter, r *http.Request, forward *core.Forward, body *retain.Body) (q *core.Request, route *core.Route, refusal *core.RequestError) {
	defer f.answerPanic(f.dialect.RequestID(r.Header), &refusal)
	config := f.catalog.Config()
	if config == nil {
		return nil, nil, core.NotRun(http.StatusServiceUnavailable, core.CodeNoConfig, "no configuration is known yet", noConfigRetry)
	}
	if !f.settingsKnown() {
		return nil, nil, core.NotRun(http.StatusServiceUnavailable, core.CodeNoSettings, "no settings are known yet", noConfigRetry)
	}
	route = config.Route(hostOf(r.Host), r.URL.Path)
	if route == nil {
		return nil, nil, core.NotRun(http.StatusNotFound, core.CodeNoRoute, "no route has this host and path", 0)
	}
	key, workspace, refusal := f.authorize(config, route, r, forward)
	if refusal != nil {
		return nil, nil, refusal
	}
	limit := config.Limits.BodyBytes
	if forward != nil {
		limit = 0 // the daemon that took it from its caller has applied its own
	}
	q, err := f.dialect.ReadRequest(r)
	if err != nil {
		return nil, nil, core.NotRun(http.StatusBadRequest, "bad_request", err.Error(), 0)
	}
	if err := f.readBody(w, r, limit, timeLimit(route, q), body); err != nil {
		return nil, nil, core.AsRequestError(err)
	}
	q.Body = body.Data
	if config.Workspaces != nil {
		f.dialect.DropKey(q.Header)
	}
	q.Key, q.Workspace, q.Forward = key, workspace, forward
	q.Caller = core.CallerOf(r.RemoteAddr)
	if forward != nil {
		q.Caller = forward.Caller
	}
	q.Digest = core.DigestOf(q)
	if f.endsTooSoon(route, q) {
		return nil, nil, refuseLeaving()
	}
	return q, route, nil
}

// refuseLeaving refuses a request that has not run because the daemon is about to end.
func refuseLeaving() *core.RequestError {
	return core.NotRun(http.StatusServiceUnavailable, core.CodeLeaving, "the daemon ends before the answer may be complete", leavingRetry)
}

// authorize returns the workspace of the caller's key, before any of the body is read. The
// workspace is nil for routes that need no key.
func (f *Front) authorize(config *core.Config, route *core.Route, r *http.Request, forward *core.Forward) (core.KeyID, *core.Workspace, *core.RequestError) {
	if !config.NeedsKey(route) {
		return core.KeyID{}, nil, nil
	}
	key, err := f.readKey(r, forward)
	if err != nil {
		return key, nil, core.NotRun(http.StatusUnauthorized, "no_key", "the route needs exactly one key", 0)
	}
	w := config.Workspace(key)
	if w == nil {
		return key, nil, core.NotRun(http.StatusUnauthorized, "unknown_key", "no workspace holds key "+key.String(), 0)
	}
	if !f.keysConfirmed() {
		return key, nil, core.NotRun(http.StatusServiceUnavailable, "keys_unconfirmed", "the configuration could not be confirmed in time", unconfirmedRetry)
	}
	return key, w, nil
}

// readKey returns the ID of the caller's key, as the caller or the forwarding daemon states it.
func (f *Front) readKey(r *http.Request, forward *core.Forward) (core.KeyID, error) {
	switch {
	case forward == nil:
		return f.dialect.ReadKey(r.Header)
	case !forward.HasKey:
		return core.KeyID{}, core.ErrKey
	}
	return forward.Key, nil
}

// refuse answers with a refusal by the front itself, logs it and counts it.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, e *core.RequestError) {
	version := uint64(0)
	if config := f.catalog.Config(); config != nil {
		version = config.Version
	}
	f.log.Info(logs.RefusedAtFront, zap.String("request", logs.Short(f.dialect.RequestID(r.Header))), zap.String("code", e.Code), zap.Int("status", e.Status),
		zap.String("host", logs.Short(r.Host)), zap.String("path", logs.Short(r.URL.Path)), zap.Uint64("config", version), zap.String("reason", e.Message))
	f.scope.Tagged(map[string]string{"code": e.Code}).Counter("refusals").Inc(1)
	if e.Status == http.StatusUnauthorized && r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // otherwise the server would wait for the body
	}
	if r.ContentLength == 0 {
		writeError(w, e)
		return
	}
	endReadIn(w, intake.DrainTime) // of what the server reads behind the answer
	if endsBody(e) {
		w.Header().Set("Connection", "close") // a read that has failed ends the connection's context
	}
	if (endsBody(e) || e.Code == core.CodeOverloaded) && r.Header.Get("Expect") == "" {
		f.answerAndSkipBody(w, r, e)
		return
	}
	writeError(w, e)
}

// logRefusal logs and counts a refusal of a request that the server has not parsed.
func (f *Front) logRefusal(e *core.RequestError) {
	f.log.Info(logs.RefusedAtFront, zap.String("code", e.Code), zap.Int("status", e.Status), zap.String("reason", e.Message))
	f.scope.Tagged(map[string]string{"code": e.Code}).Counter("refusals").Inc(1)
}

// hostOf returns the value of a Host header without the port.
func hostOf(v string) string {
	if host, _, err := net.SplitHostPort(v); err == nil {
		return host
	}
	return v
}

// hopHeaders are the hop-by-hop headers of an answer, which apply only to the connection with
// the runner.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Upgrade", "Trailer", "Te"}

// writeReply copies an answer to the caller as it arrives. If the body ends early, the
// connection with the caller is aborted, so that the answer does not look complete.
func (f *Front) writeReply(w http.ResponseWriter, r *http.Request, q *core.Request, reply *core.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if to, ok := w.(*forwardedWriter); ok {
		to.setAnswer(reply.Info.Runs, reply.Info.Origin)
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	if f.leaving.Load() {
		header.Set("Connection", "close")
	}
	complete := tcp.ResetUntilComplete(r)
	w.WriteHeader(reply.Status)
	control := http.NewResponseController(w)
	var buf [copyBuffer]byte
	sent := 0
	for {
		n, err := reply.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				f.logDisconnected(q, reply.Status, sent, werr)
				panic(http.ErrAbortHandler)
			}
			sent += n
		}
		if err == io.EOF {
			complete()
			return
		}
		if err != nil {
			if gone := r.Context().Err(); gone != nil {
				f.logDisconnected(q, reply.Status, sent, gone)
			} else {
				f.logCut(q, reply.Status, sent, err)
			}
			panic(http.ErrAbortHandler)
		}
		if err := control.Flush(); err != nil {
			f.logDisconnected(q, reply.Status, sent, err)
			panic(http.ErrAbortHandler)
		}
	}
}

// writeError answers with an error that the system itself has generated.
func writeError(w http.ResponseWriter, e *core.RequestError) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if to, ok := w.(*forwardedWriter); ok {
		to.setRefusal(e)
	}
	if e.Retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(max(e.Retry, minRetry).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.WireStatus())
	body := struct {
		Code    string `json:"code"`
		Text    string `json:"text"`
		Outcome string `json:"outcome"`
	}{e.Code, e.Message, string(e.Outcome)}
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has disconnected
}
