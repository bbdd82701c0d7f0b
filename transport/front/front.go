// Package front answers callers over HTTP/1.1, and tells them which addresses
// to use.
package front

import (
	"context"
	"encoding/json"
	"errors"
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
	"primroseward/state/catalog"
)

const (
	// headerTimeout and idleTimeout bound connections before a configuration
	// is known, and are the least that is allowed afterwards: a caller that
	// stays within the configuration's limits is never cut by ours.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// headerBytes is what a request's headers may take before a configuration
	// says less.
	headerBytes = 64 << 10
	copyBuffer  = 16 << 10
	// tracer names the spans of requests.
	tracer = "primroseward"
	// noConfigRetry is when a caller may come back to a daemon that knows no
	// configuration yet; it reads one within milliseconds of reaching the
	// store.
	noConfigRetry = 300 * time.Millisecond
	// unconfirmedRetry is when a caller may come back whose key could not be confirmed:
	// outages of the store last some seconds.
	unconfirmedRetry = 2 * time.Second
	// leastRetry is the least time to come back that a caller is told: Retry-After has
	// three decimals, and one that rounds to 0 says that nothing is known.
	leastRetry = time.Millisecond
)

// Dispatcher serves requests.
type Dispatcher interface {
	Do(ctx context.Context, route *core.Route, q *core.Request) (*core.Reply, error)
}

// Front serves callers.
type Front struct {
	catalog *catalog.Catalog
	dialect core.Dialect
	to      Dispatcher
	clock   core.Clock
	log     *zap.Logger
	scope   tally.Scope
	known   func() bool // whether the operators' settings are
	trusted func() bool // whether keys that are known may be used
	leaving atomic.Bool
}

// Option changes a Front.
type Option func(*Front)

// WithScope counts the front's own refusals in a scope.
func WithScope(s tally.Scope) Option { return func(f *Front) { f.scope = s } }

// WithKnown sets what tells whether the operators' settings are known. Before,
// a request might be served where they forbid it.
func WithKnown(fn func() bool) Option { return func(f *Front) { f.known = fn } }

// WithTrusted sets what tells whether keys that are known may be used: one may have been
// taken away while the store was out of reach.
func WithTrusted(fn func() bool) Option { return func(f *Front) { f.trusted = fn } }

// New makes a Front.
func New(c *catalog.Catalog, dialect core.Dialect, to Dispatcher, clock core.Clock, log *zap.Logger, opts ...Option) *Front {
	f := &Front{catalog: c, dialect: dialect, to: to, clock: clock, log: log, scope: tally.NoopScope, known: func() bool { return true }, trusted: func() bool { return true }}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Leave makes every answer ask its caller to close the connection.
func (f *Front) Leave() { f.leaving.Store(true) }

// Server returns the HTTP server for callers.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          zap.NewStdLog(f.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.clock.Now()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q, route, refusal := f.read(w, r)
	if refusal != nil {
		f.refuse(w, r, refusal)
		return
	}
	q.Arrived = arrived
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer(tracer).Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", q.ID), attribute.String("route", route.Name)))
	defer span.End()
	reply, err := f.to.Do(ctx, route, q)
	if err != nil {
		writeError(w, core.AsRequestError(err))
		return
	}
	defer reply.Body.Close()
	f.pass(w, reply)
}

// read reads a request and finds its route. What it refuses no runner has seen.
func (f *Front) read(w http.ResponseWriter, r *http.Request) (*core.Request, *core.Route, *core.RequestError) {
	config := f.catalog.Config()
	if config == nil {
		return nil, nil, core.NotRun(http.StatusServiceUnavailable, "no_config", "no configuration is known yet", noConfigRetry)
	}
	if !f.known() {
		return nil, nil, core.NotRun(http.StatusServiceUnavailable, "no_settings", "no settings are known yet", noConfigRetry)
	}
	route := config.Route(hostOf(r.Host), r.URL.Path)
	if route == nil {
		return nil, nil, core.NotRun(http.StatusNotFound, "no_route", "no route has this host and path", 0)
	}
	key, workspace, refusal := f.authorize(config, route, r)
	if refusal != nil {
		return nil, nil, refusal
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, nil, core.NotRun(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "the headers are larger than "+strconv.Itoa(limit)+" bytes", 0)
	}
	q, err := f.dialect.ReadRequest(r)
	if err != nil {
		return nil, nil, core.NotRun(http.StatusBadRequest, "bad_request", err.Error(), 0)
	}
	if q.Body, err = f.readBody(w, r, config.Limits.BodyBytes); err != nil {
		return nil, nil, core.AsRequestError(err)
	}
	if config.Workspaces != nil {
		f.dialect.DropKey(q.Header)
	}
	q.Key, q.Workspace = key, workspace
	q.Caller = core.CallerOf(r.RemoteAddr)
	q.Digest = core.DigestOf(q)
	return q, route, nil
}

// authorize finds the workspace of a caller's key, before anything of the body is read.
// Routes without keys have none.
func (f *Front) authorize(config *core.Config, route *core.Route, r *http.Request) (core.KeyID, *core.Workspace, *core.RequestError) {
	if !config.NeedsKey(route) {
		return core.KeyID{}, nil, nil
	}
	key, err := f.dialect.ReadKey(r.Header)
	if err != nil {
		return key, nil, core.NotRun(http.StatusUnauthorized, "no_key", "the route needs exactly one key", 0)
	}
	w := config.Workspace(key)
	if w == nil {
		return key, nil, core.NotRun(http.StatusUnauthorized, "unknown_key", "no workspace holds key "+key.String(), 0)
	}
	if !f.trusted() {
		return key, nil, core.NotRun(http.StatusServiceUnavailable, "keys_unconfirmed", "the configuration could not be confirmed in time", unconfirmedRetry)
	}
	return key, w, nil
}

// refuse writes a refusal of the front's own, tells of it and counts it.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, e *core.RequestError) {
	version := uint64(0)
	if config := f.catalog.Config(); config != nil {
		version = config.Version
	}
	f.log.Info(logs.RefusedAtFront, zap.String("request", f.dialect.RequestID(r.Header)), zap.String("code", e.Code), zap.Int("status", e.Status),
		zap.String("host", r.Host), zap.String("path", r.URL.Path), zap.Uint64("config", version), zap.String("reason", e.Message))
	f.scope.Tagged(map[string]string{"code": e.Code}).Counter("refusals").Inc(1)
	if e.Status == http.StatusUnauthorized && r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // the server would wait for the body otherwise
	}
	writeError(w, e)
}

// hostOf is a Host header without its port.
func hostOf(v string) string {
	if host, _, err := net.SplitHostPort(v); err == nil {
		return host
	}
	return v
}

// headerSize is the size of a request's line and headers on the wire.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (f *Front) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	data, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, core.NotRun(http.StatusRequestEntityTooLarge, "too_large", "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes", 0)
	case err != nil:
		return nil, core.NotRun(http.StatusBadRequest, "bad_body", err.Error(), 0)
	}
	return data, nil
}

// hopHeaders of an answer concern the runner's connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Upgrade", "Trailer", "Te"}

// pass passes an answer on as it comes. A body that ends early ends the
// caller's connection without the mark of a complete answer.
func (f *Front) pass(w http.ResponseWriter, reply *core.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	if f.leaving.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(reply.Status)
	flush := http.NewResponseController(w)
	var buf [copyBuffer]byte
	for {
		n, err := reply.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := flush.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// writeError writes an error of the system's own.
func writeError(w http.ResponseWriter, e *core.RequestError) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.Retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(max(e.Retry, leastRetry).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.Status)
	body := struct {
		Code    string `json:"code"`
		Text    string `json:"text"`
		Outcome string `json:"outcome"`
	}{e.Code, e.Message, string(e.Outcome)}
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone reads nothing
}
