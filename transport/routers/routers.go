package routers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primroseward/coordination/entry"
	"primroseward/core"
	"primroseward/io/retain"
	"primroseward/io/tcp"
	"primroseward/state/answer"
	"primroseward/state/tree"
	"primroseward/transport/intake"
)

const (
	maxID                = 128
	headerTimeout        = 10 * time.Second
	idleTimeout          = 2 * time.Minute
	headerRequestTimeout = "Primrose-Timeout"
)

// API serves the native interface to callers.
type API struct {
	entry       *entry.Entry
	clock       core.Clock
	log         *zap.Logger
	maxBody     int64
	bodies      *retain.Budget // of the bodies of requests in progress; nil: no bound
	bodyTimeout time.Duration
	maxHead     int // bytes
	scope       tally.Scope
	leaving     atomic.Bool
}

// New returns an API. maxBody bounds the body of a request in bytes, bodyTimeout the time to
// receive it.
func New(e *entry.Entry, clock core.Clock, log *zap.Logger, maxBody int64, bodyTimeout time.Duration, opts ...Option) *API {
	a := &API{entry: e, clock: clock, log: log, maxBody: maxBody, bodyTimeout: bodyTimeout, scope: tally.NoopScope}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Leave makes the API set "Connection: close" on all further answers, so that no connection
// is in use when the listener is closed.
func (a *API) Leave() { a.leaving.Store(true) }

// Server returns an HTTP server for callers.
func (a *API) Server(maxHeader int) *http.Server {
	a.maxHead = maxHeader
	return &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnContext:       tcp.WithConn,
		ErrorLog:          zap.NewStdLog(a.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// Port describes the listener of callers.
func (a *API) Port() intake.Port {
	return intake.Port{
		Name: "caller", Share: 1, HeadTimeout: headerTimeout, HeadLimit: a.maxHead,
		WriteError: func(w http.ResponseWriter, e *core.RequestError) { writeError(w, e) },
	}
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(a.traceRequests, a.answerPanics)
	r.Post("/v1/chat/completions", a.serveModel)
	r.Post("/v1/completions", a.serveModel)
	r.Get("/v1/models", a.listModels)
	r.Get("/v1/entries", a.listEntries)
	r.Get("/v1/requests/{id}", a.reconnect)
	r.HandleFunc("/services/{service}/*", a.servePlain)
	r.HandleFunc("/services/{service}", a.servePlain)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, core.NotRun(http.StatusNotFound, "unknown_path", "there is no such path", 0))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, core.NotRun(http.StatusMethodNotAllowed, "method_not_allowed", "the path does not take this method", 0))
	})
	return r
}

// traceRequests starts a span for each request, and closes the connections of a leaving daemon.
func (a *API) traceRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer("primroseward").Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		if a.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// modelRequest has the fields of a request in the format of the OpenAI API that routing needs.
type modelRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// serveModel serves a request for a model.
func (a *API) serveModel(w http.ResponseWriter, r *http.Request) {
	t, ok := a.settings(w)
	if !ok {
		return
	}
	var body retain.Body
	defer body.Release()
	if !a.readBody(w, r, &body) {
		return
	}
	var req modelRequest
	if err := json.Unmarshal(body.Data, &req); err != nil {
		writeError(w, core.NotRun(http.StatusBadRequest, "malformed_json", "body: "+err.Error(), 0))
		return
	}
	q := &entry.Request{Model: req.Model, Stream: req.Stream, Prefix: req.Messages, Service: r.Header.Get(core.HeaderService)}
	if len(q.Prefix) == 0 {
		q.Prefix = req.Prompt
	}
	if err := a.checkModel(t, q); err != nil {
		writeError(w, err)
		return
	}
	eff := t.Effective(tree.Selector{Service: q.Service, Model: q.Model})
	q.Repeatable = eff.Repeatable
	q.Path = r.URL.RequestURI()
	a.serve(w, r, q, eff, body.Data)
}

// checkModel validates the model of a request, and sets the service if the request names none.
func (a *API) checkModel(t *tree.Tree, q *entry.Request) error {
	if q.Model == "" {
		return core.NotRun(http.StatusBadRequest, "model_missing", "model: must be set", 0)
	}
	if _, ok := t.Model(q.Model); !ok {
		return core.NotRun(http.StatusNotFound, "unknown_model", fmt.Sprintf("model: %q is not served", q.Model), 0)
	}
	if q.Service == "" {
		q.Service = t.ServiceOf(q.Model)
	}
	if !t.Offers(q.Service, q.Model) {
		return core.NotRun(http.StatusNotFound, "unknown_service", fmt.Sprintf("%s: service %q does not offer model %q", core.HeaderService, q.Service, q.Model), 0)
	}
	return nil
}

// servePlain serves a request to a plain service.
func (a *API) servePlain(w http.ResponseWriter, r *http.Request) {
	t, ok := a.settings(w)
	if !ok {
		return
	}
	name := chi.URLParam(r, "service")
	spec, ok := t.Service(name)
	if !ok || spec.Kind != tree.KindPlain {
		writeError(w, core.NotRun(http.StatusNotFound, "unknown_service", fmt.Sprintf("service %q is not served", name), 0))
		return
	}
	var body retain.Body
	defer body.Release()
	if !a.readBody(w, r, &body) {
		return
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	eff := t.Effective(tree.Selector{Service: name})
	q := &entry.Request{Service: name, Path: path, Repeatable: eff.Repeatable && t.Repeatable(name, r.Method, path)}
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	a.serve(w, r, q, eff, body.Data)
}

// serve runs the request and writes its answer to the caller.
func (a *API) serve(w http.ResponseWriter, r *http.Request, q *entry.Request, eff *tree.Effective, body []byte) {
	q.Method = r.Method
	q.Body = body
	q.Scope = scopeOf(r)
	q.Key = r.Header.Get(core.HeaderIdempotencyKey)
	q.Header = forwardedHeader(r.Header)
	if err := a.setMetadata(r, q, eff); err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(core.HeaderRequest, q.ID)
	buf, err := a.entry.Begin(r.Context(), q)
	if err != nil {
		writeError(w, err)
		return
	}
	if a.writeAnswer(w, r, q.ID, buf, 0) != nil {
		a.entry.CallerDisconnected(q)
		panic(http.ErrAbortHandler) // otherwise the server would complete the answer
	}
}

// setMetadata sets the id, class and deadline of a request.
func (a *API) setMetadata(r *http.Request, q *entry.Request, eff *tree.Effective) error {
	q.ID = r.Header.Get(core.HeaderRequest)
	q.MayReconnect = q.ID != "" || q.Key != ""
	for name, v := range map[string]string{core.HeaderRequest: q.ID, core.HeaderIdempotencyKey: q.Key} {
		if !validID(v) {
			return core.NotRun(http.StatusBadRequest, "bad_header", fmt.Sprintf("%s: want up to %d printable characters", name, maxID), 0)
		}
	}
	if q.ID == "" {
		q.ID = entry.NewID()
	}
	class, err := classOf(r, eff)
	if err != nil {
		return err
	}
	q.Class = class
	limit := eff.Deadline
	if text := r.Header.Get(headerRequestTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return core.NotRun(http.StatusBadRequest, "bad_header", headerRequestTimeout+": want a duration such as 30s", 0)
		}
		limit = min(limit, requested)
	}
	q.Deadline = a.clock.Now().Add(limit)
	return nil
}

// classOf returns the class that the request names, or that of the settings if the request
// names none. If the settings name a class explicitly, the request may only name a less urgent
// one; a more urgent one is replaced by that of the settings.
func classOf(r *http.Request, eff *tree.Effective) (core.Class, error) {
	text := r.Header.Get(core.HeaderClass)
	if text == "" {
		return eff.Class, nil
	}
	class := core.Class(text)
	if !class.Valid() {
		return "", core.NotRun(http.StatusBadRequest, "bad_header", core.HeaderClass+": want urgent, normal or batch", 0)
	}
	if eff.Origin["class"] != "" && class.Rank() < eff.Class.Rank() {
		return eff.Class, nil
	}
	return class, nil
}

func validID(s string) bool {
	if len(s) > maxID {
		return false
	}
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e || s[i] == '/' {
			return false
		}
	}
	return true
}

// scopeOf returns an identifier of the caller's credentials, so that no caller can read the
// answer of another by its id.
func scopeOf(r *http.Request) string {
	return strconv.FormatUint(xxhash.Sum64String(r.Header.Get("Authorization")), 36)
}

// ownHeaders are processed by this system and not forwarded to endpoints. The idempotency key
// is forwarded, as endpoints may use it too.
var ownHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Proxy-Connection", "Proxy-Authorization",
	"Expect", "Content-Length", "Accept-Encoding", "Traceparent", "Tracestate",
	core.HeaderRequest, core.HeaderClass, core.HeaderService, core.HeaderRequestID, headerRequestTimeout,
}

// forwardedHeader returns the headers of a request that are forwarded to endpoints.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

// settings returns the settings tree, or answers with an error if there is none yet.
func (a *API) settings(w http.ResponseWriter) (*tree.Tree, bool) {
	t := a.entry.Tree()
	if t == nil {
		writeError(w, core.NotRun(http.StatusServiceUnavailable, "starting", "there are no settings yet", time.Second))
	}
	return t, t != nil
}

// readBody reads a request's body within the size limit and the timeout. It answers with an
// error and returns false on failure. A caller that stops sending occupies one goroutine until
// the timeout and no other resources.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, body *retain.Body) bool {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(a.bodyTimeout))
	in := http.MaxBytesReader(innermost(w), r.Body, a.maxBody)
	var err error
	if r.ContentLength > a.maxBody {
		_, err = io.Copy(io.Discard, in)
	} else {
		err = body.Read(in, r.ContentLength, a.bodies)
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	} else {
		_ = control.SetReadDeadline(time.Now().Add(intake.DrainTime)) // of what the server reads behind the answer
	}
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case err == nil:
		return true
	case errors.Is(err, retain.ErrFull):
		w.Header().Set("Connection", "close")
		writeError(w, core.NotRun(http.StatusServiceUnavailable, core.CodeOverloaded, "body: "+err.Error(), time.Second))
	case errors.Is(err, retain.ErrLarge):
		writeError(w, core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "body: "+err.Error(), 0))
	case errors.As(err, &tooLarge):
		writeError(w, core.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("body: over %d bytes", a.maxBody), 0))
	case errors.As(err, &netErr) && netErr.Timeout():
		w.Header().Set("Connection", "close")
		writeError(w, core.NotRun(http.StatusRequestTimeout, "slow_sender", "body: not received in time", 0))
	default:
		w.Header().Set("Connection", "close")
		writeError(w, core.NotRun(http.StatusBadRequest, "body_broken", "body: "+err.Error(), 0))
	}
	return false
}

// modelItem is a model in the format of the OpenAI API.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// listModels serves the list of models.
func (a *API) listModels(w http.ResponseWriter, _ *http.Request) {
	t, ok := a.settings(w)
	if !ok {
		return
	}
	list := []modelItem{}
	for _, name := range t.Models() {
		list = append(list, modelItem{ID: name, Object: "model", Owner: "primroseward"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

// listEntries serves the addresses of daemons that a caller may use.
func (a *API) listEntries(w http.ResponseWriter, r *http.Request) {
	t, ok := a.settings(w)
	if !ok {
		return
	}
	model := r.URL.Query().Get("model")
	if _, known := t.Model(model); model != "" && !known {
		writeError(w, core.NotRun(http.StatusNotFound, "unknown_model", fmt.Sprintf("model: %q is not served", model), 0))
		return
	}
	list := a.entry.Addresses(r.Context(), model, r.URL.Query().Get("place"))
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(entry.AddressTTL.Seconds())))
	writeJSON(w, http.StatusOK, map[string]any{"entries": list, "life": entry.AddressTTL.Seconds()})
}

// reconnect serves an answer from an offset to a caller that lost the connection.
func (a *API) reconnect(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if r.URL.Query().Get("offset") == "" {
		offset, err = 0, nil
	}
	if err != nil || offset < 0 || !validID(id) {
		writeError(w, core.NotRun(http.StatusBadRequest, "bad_request", "offset: want a number of bytes", 0))
		return
	}
	w.Header().Set(core.HeaderRequest, id)
	buf, err := a.find(r.Context(), scopeOf(r), id)
	switch {
	case errors.Is(err, core.ErrGone):
		gone := core.MayHaveRun("answer_gone", "the answer is no longer held")
		gone.Status = http.StatusGone
		writeError(w, gone)
	case errors.Is(err, core.ErrNotFound):
		// Another daemon that has lost its state may have run the request.
		unknown := core.MayHaveRun("unknown_request", "no answer is held under this id")
		unknown.Status = http.StatusNotFound
		writeError(w, unknown)
	case err != nil:
		writeError(w, err)
	default:
		if a.writeAnswer(w, r, id, buf, offset) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// find looks up an answer by id: first as a request id, then as an idempotency key.
func (a *API) find(ctx context.Context, scope, id string) (*answer.Buffer, error) {
	buf, err := a.entry.Reconnect(ctx, scope, id)
	if errors.Is(err, core.ErrNotFound) {
		return a.entry.Reconnect(ctx, scope, "key:"+id)
	}
	return buf, err
}
